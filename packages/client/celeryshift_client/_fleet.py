"""Library for operators to build, validate and print a configuration."""

import hashlib
import json
import secrets
from typing import Any

import attrs

import celeryshift_core as core

SECRET_BYTES = 24
SIZE_FIELDS = frozenset(field.name for field in attrs.fields(core.Size))


class Fleet:
    """Builder of a configuration: teams, keys, queues, upstreams, kinds.

    Its methods do not raise errors for mistakes: document() and to_json()
    report all of them at once, each with its path. A duplicate name is a
    mistake unless `replace` is set; the last entry is used then.
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
        """Add a team with its weight in a full fleet and its upper limit."""
        entry = {'share': share, 'limit_slots': limit_slots, **fields}
        return self._add('teams', name, entry)

    def key(self, key_id: str, team: str, secret: str) -> str:
        """Add a key and return its token; only the hash is stored."""
        self.key_by_hash(key_id, team, hash_of(secret))
        return f'{key_id}.{secret}'

    def key_by_hash(self, key_id: str, team: str, sha256: str) -> str:
        """Add a key by the SHA-256 of its secret, in hexadecimal."""
        entry = {'team': team, 'sha256': sha256}
        return self._add('keys', key_id, entry)

    def withdraw(self, key_id: str) -> None:
        """Withdraw a key permanently."""
        self._withdrawn_keys.add(key_id)

    def queue(self, name: str, open_for: str | None = None) -> str:
        """Add a queue that requires a key, or is open to every caller.

        Work submitted to an open queue belongs to the team `open_for`.
        """
        access = core.Access.OPEN if open_for else core.Access.KEY
        entry = {'access': access.value, 'team': open_for}
        return self._add('queues', name, entry)

    def upstream(self, name: str, leaving: bool = False, **fields: Any) -> str:
        """Add an upstream; it gets no new work if `leaving` is set."""
        states = core.UpstreamState
        state = states.LEAVING if leaving else states.LIVE
        entry = {'state': state.value, **fields}
        return self._add('upstreams', name, entry)

    def request(self, name: str, upstream: str, **fields: Any) -> str:
        """Add a kind of work whose caller waits for the answer."""
        return self._add_kind(name, upstream, core.Policy.REQUEST, fields)

    def batch(self, name: str, upstream: str, **fields: Any) -> str:
        """Add a kind of work whose tasks run when capacity is free."""
        return self._add_kind(name, upstream, core.Policy.BATCH, fields)

    def gang(self, name: str, upstream: str, **fields: Any) -> str:
        """Add a kind of work that needs all its tasks at once."""
        return self._add_kind(name, upstream, core.Policy.GANG, fields)

    def service(self, name: str, upstream: str, **fields: Any) -> str:
        """Add a kind of work that runs until it is cancelled."""
        return self._add_kind(name, upstream, core.Policy.SERVICE, fields)

    def document(self) -> dict[str, Any]:
        """Return the configuration as a validated document.

        Raises ConfigurationError, which lists every mistake.
        """
        document = {
            **self._sections,
            'withdrawn_keys': sorted(self._withdrawn_keys),
        }
        return canonical(document, self._mistakes)

    def to_json(self) -> str:
        """Return the validated configuration as canonical JSON text."""
        return to_json(self.document())

    def _add_kind(
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
    """Validate a configuration and add its default values.

    Raises ConfigurationError, which lists every mistake with its path.
    """
    found = list(mistakes)
    try:
        config = core.parse(document)
    except core.ConfigurationError as error:
        found.extend(error.mistakes)
    if found:
        raise core.ConfigurationError('configuration', found)
    validated = core.unstructure(config)
    # The version is assigned by the store and not part of the input.
    del validated['version']
    return validated


def to_json(document: Any) -> str:
    """Return JSON text that is identical for equal documents."""
    return json.dumps(document, indent=2, sort_keys=True) + '\n'


def new_secret() -> str:
    """Return a random secret for a new key."""
    return secrets.token_urlsafe(SECRET_BYTES)


def hash_of(secret: str) -> str:
    """Return the hash of a secret that the configuration stores."""
    return hashlib.sha256(secret.encode()).hexdigest()
