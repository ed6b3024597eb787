"""The operator library: it builds, checks and prints a configuration."""

import hashlib
import json
import secrets
from typing import Any

import attrs

import celeryshift_core as core

SECRET_BYTES = 24
SIZE_FIELDS = frozenset(field.name for field in attrs.fields(core.Size))


class Fleet:
    """Collect teams, keys, queues, upstreams and kinds of work.

    Mistakes are not raised where they are made: document() and to_json()
    report all of them at once, each with its path. A name that is given
    twice is a mistake, unless later entries are to replace earlier ones.
    """

    def __init__(self, replace: bool = False) -> None:
        self._replace = replace
        self._sections: dict[str, dict[str, Any]] = {
            'teams': {},
            'keys': {},
            'queues': {},
            'upstreams': {},
            'kinds': {},
        }
        self._withdrawn_keys: set[str] = set()
        self._mistakes: list[str] = []

    def team(
        self,
        name: str,
        share: float = 1.0,
        limit_slots: int = 1_000_000,
        **fields: Any,
    ) -> str:
        """Add a team: its share when the fleet is full, its upper limit."""
        entry = {'share': share, 'limit_slots': limit_slots, **fields}
        return self._add('teams', name, entry)

    def key(self, key_id: str, team: str, secret: str) -> str:
        """Add a key; give what callers show. Only its hash is kept."""
        self.key_by_hash(key_id, team, hash_of(secret))
        return f'{key_id}.{secret}'

    def key_by_hash(self, key_id: str, team: str, sha256: str) -> str:
        """Add a key whose secret is known to its holders alone."""
        entry = {'team': team, 'sha256': sha256}
        return self._add('keys', key_id, entry)

    def withdraw(self, key_id: str) -> None:
        """Withdraw a key for good."""
        self._withdrawn_keys.add(key_id)

    def queue(self, name: str, open_for: str | None = None) -> str:
        """Add a queue, by key or open to all for the work of one team."""
        access = core.Access.OPEN if open_for else core.Access.KEY
        entry = {'access': access.value, 'team': open_for}
        return self._add('queues', name, entry)

    def upstream(self, name: str, leaving: bool = False, **fields: Any) -> str:
        """Add an upstream; one that is leaving gets no new work."""
        states = core.UpstreamState
        state = states.LEAVING if leaving else states.LIVE
        entry = {'state': state.value, **fields}
        return self._add('upstreams', name, entry)

    def request(self, name: str, upstream: str, **fields: Any) -> str:
        """Add a kind of work whose caller waits for the answer."""
        return self._kind(name, upstream, core.Policy.REQUEST, fields)

    def batch(self, name: str, upstream: str, **fields: Any) -> str:
        """Add a kind of work whose tasks run whenever there is room."""
        return self._kind(name, upstream, core.Policy.BATCH, fields)

    def gang(self, name: str, upstream: str, **fields: Any) -> str:
        """Add a kind of work that needs all its tasks at once."""
        return self._kind(name, upstream, core.Policy.GANG, fields)

    def service(self, name: str, upstream: str, **fields: Any) -> str:
        """Add a kind of work that runs until it is cancelled."""
        return self._kind(name, upstream, core.Policy.SERVICE, fields)

    def document(self) -> dict[str, Any]:
        """Give the configuration as a checked document.

        Raises ConfigurationError, which lists every mistake.
        """
        document = {
            **self._sections,
            'withdrawn_keys': sorted(self._withdrawn_keys),
        }
        return canonical(document, self._mistakes)

    def to_json(self) -> str:
        """Write the checked configuration; the same input, the same text."""
        return to_json(self.document())

    def _kind(
        self,
        name: str,
        upstream: str,
        policy: core.Policy,
        fields: dict[str, Any],
    ) -> str:
        size = {key: fields.pop(key) for key in SIZE_FIELDS & set(fields)}
        entry = {'upstream': upstream, 'policy': policy.value, **fields}
        if size:
            entry['size'] = size
        return self._add('kinds', name, entry)

    def _add(self, section: str, name: str, entry: dict[str, Any]) -> str:
        entries = self._sections[section]
        if name in entries and not self._replace:
            self._mistakes.append(f'is given twice @ $.{section}.{name}')
        entries[name] = entry
        return name


def canonical(
    document: Any, mistakes: list[str] | tuple[str, ...] = ()
) -> dict[str, Any]:
    """Check a configuration and write out its defaults.

    Raises ConfigurationError, which lists every mistake with its path.
    """
    found = list(mistakes)
    try:
        config = core.parse(document)
    except core.ConfigurationError as error:
        found.extend(error.mistakes)
    if found:
        raise core.ConfigurationError('configuration', found)
    written = core.unstructure(config)
    # The store gives the version; it is no part of what is handed in.
    del written['version']
    return written


def to_json(document: Any) -> str:
    """Write a document so that equal documents give equal text."""
    return json.dumps(document, indent=2, sort_keys=True) + '\n'


def new_secret() -> str:
    """Make the secret of a new key."""
    return secrets.token_urlsafe(SECRET_BYTES)


def hash_of(secret: str) -> str:
    """Give what the configuration keeps of a secret."""
    return hashlib.sha256(secret.encode()).hexdigest()
