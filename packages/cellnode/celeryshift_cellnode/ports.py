"""What a node needs of its surroundings, for an adapter to provide."""

from collections.abc import Mapping
from collections.abc import Sequence
from typing import Protocol

import attrs

from celeryshift_cell import effects
from celeryshift_cell import events
from celeryshift_cell import model


@attrs.frozen(slots=True)
class Row:
    """Hold a row of a table of the store."""

    table: str
    part: str
    key: str
    value: bytes
    # The version of the store at which the row was written.
    version: int
    is_removed: bool = False


@attrs.frozen(slots=True)
class Key:
    """Name a row."""

    table: str
    key: str


@attrs.frozen(slots=True)
class Transaction:
    """Describe changes to one part, all carried out or none."""

    part: str
    # The version that each of these rows must have; 0 if it must be absent.
    expected: Mapping[Key, int] = attrs.field(factory=dict)
    puts: Mapping[Key, bytes] = attrs.field(factory=dict)
    removes: Sequence[Key] = ()


@attrs.frozen(slots=True)
class Committed:
    """Report changes that are stored, with their version."""

    version: int


@attrs.frozen(slots=True)
class Conflict:
    """Report that a row was not as expected; gives the rows there are."""

    rows: Mapping[Key, Row]


@attrs.frozen(slots=True)
class ReadResult:
    """Hold rows as of one version of the store."""

    rows: Sequence[Row]
    version: int
    # The range goes on behind the last of these rows.
    has_more: bool = False


class Store(Protocol):
    """Keep rows in tables, with versions and whole transactions.

    Every call raises ``StoreRefusedError`` if nothing was done and
    ``StoreSilentError`` if that is not known.
    """

    async def transact(
        self, transaction: Transaction, timeout_s: float
    ) -> Committed | Conflict:
        """Carry out a transaction."""

    async def read(
        self,
        table: str,
        part: str,
        first: str = '',
        last: str | None = None,
        timeout_s: float = 1.0,
    ) -> ReadResult:
        """Read the rows with keys from the first up to before the last."""

    async def read_changes(
        self, table: str, after: int, wait_ms: int
    ) -> ReadResult:
        """Wait for rows that changed after a version.

        Raises ``HistoryLostError`` if those changes are not kept.
        """


class Workers(Protocol):
    """Give orders to workers; every answer comes as an event."""

    async def start(
        self, order: effects.StartRun, fence: int, now: 'Clock'
    ) -> events.StartAnswered:
        """Start a run."""

    async def stop(
        self, order: effects.StopRun, fence: int, now: 'Clock'
    ) -> events.StopAnswered:
        """Stop a run."""

    async def poll(
        self, order: effects.PollWorker, fence: int, now: 'Clock'
    ) -> events.PollAnswered | events.PollFailed:
        """Extend the lease, and ask for the lists."""

    async def set_pace(self, order: effects.SetPace, fence: int) -> None:
        """Let a run work at a share of its speed."""


@attrs.frozen(slots=True)
class AdviceResult:
    """Hold the tickets for the workers that may run a step."""

    tickets_by_worker: Mapping[str, str]
    validity_ms: int


class PolicyClient(Protocol):
    """Ask the policy service; raises ``PeerError`` without an answer."""

    async def advise(
        self, step: str, workers: Sequence[str], timeout_s: float
    ) -> AdviceResult:
        """Ask which workers may run a step."""


class Clock(Protocol):
    """Give the monotonic time in seconds."""

    def __call__(self) -> float: ...


@attrs.frozen(slots=True)
class Route:
    """Say which calls belong to a queue."""

    host: str
    path_prefix: str
    queue: str
    # Taken without a key.
    is_public: bool


@attrs.frozen(slots=True)
class Configuration:
    """Hold a configuration in force: what is called for, by whom."""

    cell: model.Config
    routes: tuple[Route, ...] = ()
    team_by_key: Mapping[str, str] = attrs.field(factory=dict)
    max_body_bytes: int = 262_144

    @property
    def version(self) -> int:
        """Give the version, which only rises."""
        return self.cell.version


class Decoder(Protocol):
    """Decode what others wrote to the store; None if it can't be read."""

    def configuration(self, value: bytes) -> Configuration | None:
        """Decode a configuration."""

    def worker(self, key: str, value: bytes) -> model.WorkerEntry | None:
        """Decode the entry of a worker."""


@attrs.frozen(slots=True)
class Tables:
    """Name the tables that others write."""

    operator: str
    configuration_key: str
    workers: str


@attrs.frozen(slots=True)
class Settings:
    """Hold what a node is told at its start."""

    name: str
    data_centre: str
    # Where other nodes call this one.
    host: str
    peer_port: int
    cell: 'CellSettings'
    # The processor time of the VM, and the bandwidth of its link; 0 if that
    # is not known.
    cores: float = 1.0
    link_mbps: float = 0.0
    grace_s: float = 6.0
    final_state_retention_s: float = 120.0


@attrs.frozen(slots=True)
class CellSettings:
    """Hold what the platform grants or guarantees."""

    max_lease_s: float = 6.0
    # Teams may be found over their limits by such a share.
    team_overage: float = 0.0
