"""Keeps the configuration of a node up to date, from the store or a node."""

from collections.abc import Callable

from celeryshift_cellnode import _distribution
from celeryshift_cellnode import _evacuations
from celeryshift_cellnode import _followers
from celeryshift_cellnode import _membership
from celeryshift_cellnode import _ownership
from celeryshift_cellnode import _peers
from celeryshift_cellnode import _schema
from celeryshift_cellnode import ports


class Configurations:
    """Follower of the operator's rows that shares what it reads."""

    def __init__(
        self,
        store: ports.Store,
        tables: ports.Tables,
        decoder: ports.Decoder,
        evacuations: _evacuations.Evacuations,
        evacuation_s: float,
        peers: _peers.Peers,
        ownership: _ownership.Ownership,
        membership: _membership.Membership,
        local_node: _schema.Node,
        log_decision: Callable[..., None],
        on_configured: Callable[[ports.Configuration], None],
        on_evacuated: Callable[[frozenset[str]], None],
    ) -> None:
        self._evacuations = evacuations
        self._log_decision = log_decision
        # Called with each configuration that is newer than all before it.
        self._on_configured = on_configured
        self._on_evacuated = on_evacuated
        self._in_force: ports.Configuration | None = None
        # Encoded value of the configuration in force.
        self._value = b''
        self._follower = _followers.ConfigurationFollower(
            store,
            tables,
            decoder,
            evacuations,
            evacuation_s,
            log_decision,
            self._handle_failing,
        )
        self._distribution = _distribution.Distribution(
            peers,
            ownership,
            membership,
            local_node,
            decoder,
            log_decision,
            self._take_snapshot,
            self._adopt,
        )

    @property
    def handlers(self) -> dict[str, _peers.Handler]:
        """Return the handlers of calls of other nodes, by name."""
        return self._distribution.handlers

    def announce(self) -> None:
        """Tell other nodes about the configuration in force here."""
        self._distribution.announce()

    async def run(self) -> None:
        """Follow the operator's rows until cancelled."""
        async for change in self._follower.follow():
            if change.configuration is not None:
                self._configure(change.configuration, change.value, 'store')
            if change.evacuated is not None:
                self._on_evacuated(change.evacuated)

    def _configure(
        self, configuration: ports.Configuration, value: bytes, source: str
    ) -> None:
        current = self._in_force
        if current is not None and current.version >= configuration.version:
            return
        self._on_configured(configuration)
        self._in_force, self._value = configuration, value
        self._log_decision(
            'configuration',
            version=configuration.version,
            bytes=len(value),
            source=source,
        )
        self._distribution.announce()

    def _handle_failing(self) -> None:
        self._distribution.ask_while(lambda: self._follower.is_failing)

    def _take_snapshot(self) -> _distribution.Snapshot | None:
        if self._in_force is None:
            return None
        return _distribution.Snapshot(
            self._in_force,
            self._value,
            self._follower.read_to,
            tuple(self._evacuations.keys),
        )

    def _adopt(self, snapshot: _distribution.Snapshot) -> None:
        """Put a configuration into force that another node has sent."""
        self._follower.adopt(snapshot)
        self._configure(snapshot.configuration, snapshot.value, 'node')
