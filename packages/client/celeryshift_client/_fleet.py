"""The operator library: it builds, checks and prints a configuration."""

import hashlib
import json
import secrets
from typing import Any

import attrs

import celeryshift_core as core

SECRET_BYTES = 24


class Fleet:
    """Collect teams, keys, queues, upstreams and kinds of work."""

    def __init__(self) -> None:
        self._config = core.Config()

    def team(
        self, name: str, share: float = 1.0, limit_slots: int = 1_000_000
    ) -> str:
        """Add a team: its share when the fleet is full, its upper limit."""
        self._config.teams[name] = core.Team(float(share), limit_slots)
        return name

    def key(self, key_id: str, team: str, secret: str) -> str:
        """Add a key; give what callers show. Only its hash is kept."""
        digest = hashlib.sha256(secret.encode()).hexdigest()
        self._config.keys[key_id] = core.Key(team, digest)
        return f'{key_id}.{secret}'

    def queue(self, name: str, open_for: str | None = None) -> str:
        """Add a queue, by key or open to all for the work of one team."""
        access = core.Access.OPEN if open_for else core.Access.KEY
        self._config.queues[name] = core.Queue(access, open_for)
        return name

    def upstream(self, name: str, leaving: bool = False) -> str:
        """Add an upstream; one that is leaving gets no new work."""
        states = core.UpstreamState
        state = states.LEAVING if leaving else states.LIVE
        self._config.upstreams[name] = core.Upstream(state)
        return name

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
        document = core.unstructure(self._config)
        core.parse(document)
        return document

    def to_json(self) -> str:
        """Write the checked configuration; the same input, the same text."""
        return json.dumps(self.document(), indent=2, sort_keys=True) + '\n'

    def _kind(
        self,
        name: str,
        upstream: str,
        policy: core.Policy,
        fields: dict[str, Any],
    ) -> str:
        size = core.Size(
            **{
                field.name: fields.pop(field.name)
                for field in attrs.fields(core.Size)
                if field.name in fields
            }
        )
        kind = core.Kind(upstream, policy, size=size, **fields)
        self._config.kinds[name] = kind
        return name


def new_secret() -> str:
    """Make the secret of a new key."""
    return secrets.token_urlsafe(SECRET_BYTES)
