"""Keeps the configuration of a node up to date, from the store or a node."""

import asyncio
from collections.abc import Callable
import time

from celeryshift_cellnode import _distribution
from celeryshift_cellnode import _evacuations
from celeryshift_cellnode import _followers
from celeryshift_cellnode import _membership
from celeryshift_cellnode import _ownership
from celeryshift_cellnode import _peers
from celeryshift_cellnode import _records
from celeryshift_cellnode import _schema
from celeryshift_cellnode import errors
from celeryshift_cellnode import ports

# A node that has started asks the store for its configuration at this interval
# until there is an answer, with several calls in flight: a store that was
# silent does not answer the calls of that time.
FIRST_READ_INTERVAL_S = 0.4
MAX_FIRST_READS = 4


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
        self._store = store
        self._tables = tables
        self._decoder = decoder
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

    @property
    def is_known(self) -> bool:
        """Return whether a configuration is in force."""
        return self._in_force is not None

    async def run(self) -> None:
        """Follow the operator's rows until cancelled."""
        self._distribution.ask_while(lambda: not self.is_known)
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow())
            group.create_task(self._read_first())

    async def _read_first(self) -> None:
        """Read the configuration until the store answers.

        While an answer arrives, nothing is sent: on a slow link, further ones
        would delay it.
        """
        reads: set[asyncio.Task[bool]] = set()
        try:
            while not (self.is_known or self._follower.read_to):
                await asyncio.sleep(FIRST_READ_INTERVAL_S)
                silent_s = time.monotonic() - self._store.progressed_at
                is_silent = silent_s > FIRST_READ_INTERVAL_S
                if is_silent and len(reads) < MAX_FIRST_READS:
                    reads.add(asyncio.create_task(self._read_row()))
                if any(read.done() and read.result() for read in reads):
                    return
                reads = {read for read in reads if not read.done()}
        finally:
            for read in reads:
                read.cancel()

    async def _read_row(self) -> bool:
        """Read the configuration; return whether the store answered."""
        key = self._tables.configuration_key
        try:
            rows, _ = await _records.read_all(
                self._store, self._tables.operator, '', key, key + '\0'
            )
        except errors.StoreError:
            return False
        for row in rows:
            configuration = self._decoder.configuration(row.value)
            if configuration is not None:
                self._configure(configuration, row.value, 'store')
        return True

    async def _follow(self) -> None:
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
