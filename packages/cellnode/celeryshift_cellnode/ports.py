"""Interfaces of a node to the platform, which an adapter implements."""

from collections.abc import Mapping
from collections.abc import Sequence
from typing import Protocol

import attrs

from celeryshift_cell import effects
from celeryshift_cell import events
from celeryshift_cell import model

# Size of a client's request body if the configuration sets none.
MAX_BODY_BYTES = 262_144


@attrs.frozen(slots=True)
class Row:
    """Row of a table of the store."""

    table: str
    # Part of the store that contains the row; a transaction covers one part.
    part: str
    key: str
    value: bytes
    # Version of the store at which the row was written.
    version: int
    is_removed: bool = False


@attrs.frozen(slots=True)
class Key:
    """Table and key of a row."""

    table: str
    key: str


@attrs.frozen(slots=True)
class Transaction:
    """Changes to one part of the store, applied all or not at all."""

    part: str
    # Required version of each of these rows; 0 if it must be absent.
    expected: Mapping[Key, int] = attrs.field(factory=dict)
    puts: Mapping[Key, bytes] = attrs.field(factory=dict)
    removes: Sequence[Key] = ()


@attrs.frozen(slots=True)
class StoreLimits:
    """Largest transaction and row that the store takes."""

    entries: int = 100
    # Size of all values of a transaction; encoded they take a third more, and
    # the store takes calls of 1 MB.
    transaction_bytes: int = 600_000
    row_bytes: int = 65_536
    # Size of the name of a table, a part or a key.
    name_bytes: int = 200


@attrs.frozen(slots=True)
class Committed:
    """Result of a transaction that is stored, with its version."""

    version: int


@attrs.frozen(slots=True)
class Conflict:
    """Result of a transaction with an unmet condition."""

    # Current rows for the keys in the condition.
    rows: Mapping[Key, Row]


@attrs.frozen(slots=True)
class ReadResult:
    """Rows as of one version of the store."""

    rows: Sequence[Row]
    version: int
    # Whether the range continues after the last of these rows.
    has_more: bool = False


class Store(Protocol):
    """Store of versioned rows in tables, with atomic transactions.

    Every call raises ``StoreRefusedError`` if the store has not carried it
    out, and ``StoreOutcomeUnknownError`` if it may have. The first one is a
    ``StoreRejectedError`` if the store will not carry out the call later
    either. The timeouts bound the wait for an answer; one that has begun may
    take longer, as long as it keeps arriving.
    """

    @property
    def progressed_at(self) -> float:
        """Return when a part of a long answer last arrived; 0 if never."""

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
        """Read the rows with ``first`` <= key < ``last``.

        Without ``last``, the range has no upper bound.
        """

    async def read_changes(
        self, table: str, after: int, wait_ms: int
    ) -> ReadResult:
        """Wait up to ``wait_ms`` for rows that changed after a version.

        Returns no rows if none has changed by then. Raises
        ``HistoryLostError`` if these changes are no longer available.
        """


class Workers(Protocol):
    """Client for orders to workers, which returns answers as events.

    Workers refuse orders whose ``fence``, the owner's epoch, is lower than one
    they have accepted.
    """

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
        """Extend the lease of a worker, and fetch its runs and completions."""

    async def set_pace(self, order: effects.SetPace, fence: int) -> None:
        """Limit a run to a percentage of its speed."""


@attrs.frozen(slots=True)
class AdviceResult:
    """Tickets for the workers that may run a step.

    Orders to start the step contain the ticket, which expires after
    ``validity_ms``.
    """

    tickets_by_worker: Mapping[str, str]
    validity_ms: int


class PolicyClient(Protocol):
    """Client of the policy service; raises ``PeerError`` without an answer."""

    async def advise(
        self, step: str, workers: Sequence[str], timeout_s: float
    ) -> AdviceResult:
        """Ask which workers may run a step."""


class Clock(Protocol):
    """Function that returns the monotonic time in seconds."""

    def __call__(self) -> float: ...


@attrs.frozen(slots=True)
class Route:
    """Assignment of calls to a queue."""

    host: str
    path_prefix: str
    queue: str
    # Whether calls are accepted without the key of a team.
    is_public: bool


@attrs.frozen(slots=True)
class Configuration:
    """Configuration: cell settings, routes, keys of teams and limits."""

    cell: model.Config
    routes: tuple[Route, ...] = ()
    team_by_key: Mapping[str, str] = attrs.field(factory=dict)
    max_body_bytes: int = MAX_BODY_BYTES

    @property
    def version(self) -> int:
        """Return the version, which only increases."""
        return self.cell.version


class Decoder(Protocol):
    """Decoder of rows written by others; returns None for invalid rows."""

    def configuration(self, value: bytes) -> Configuration | None:
        """Decode a configuration."""

    def worker(self, key: str, value: bytes) -> model.WorkerEntry | None:
        """Decode the entry of a worker."""

    def evacuated_data_centre(self, key: str) -> str | None:
        """Return the data centre that a key of the operator evacuates.

        It is empty if the key is malformed, and None if the key is another.
        """


@attrs.frozen(slots=True)
class Tables:
    """Names of tables that others write."""

    operator: str
    configuration_key: str
    # The keys of evacuations start with this.
    evacuation_prefix: str
    workers: str


@attrs.frozen(slots=True)
class Settings:
    """Settings of a node, which are read when it starts."""

    name: str
    data_centre: str
    # Address for calls of other nodes.
    host: str
    peer_port: int
    cell: 'CellSettings'
    store_limits: StoreLimits = StoreLimits()
    # Number of cores available to the VM, and the bandwidth of its link; 0 if
    # unknown.
    cores: float = 1.0
    link_mbps: float = 0.0
    # Memory that a process may use; 0 for no limit.
    memory_mb: float = 0.0
    # Descriptors that a process may use; 0 for no limit.
    file_descriptors: int = 0
    # Read from the settings, but not used.
    grace_s: float = 6.0
    # How long the state of a job can be queried after the job has finished.
    final_state_retention_s: float = 120.0


@attrs.frozen(slots=True)
class CellSettings:
    """Limits that the platform sets or guarantees."""

    # Maximum lease that a worker grants.
    max_lease_s: float = 6.0
    # Fraction by which a team may exceed its limits. Used only after a change
    # of owner.
    team_overage: float = 0.0
    # Interval at which workers publish their entries.
    report_interval_s: float = 1.5
    # Whether jobs that would end too late are rejected. Off by default: where
    # estimates of run times are far off, callers lose by it.
    rejects_late_jobs: bool = False
    # Window over which the jobs of a team are compared with its weight, and
    # the number of jobs by which it may exceed it.
    share_window_s: float = 2.0
    share_slack: float = 0.0
    # Time from the operator's evacuation of a data centre to the last start
    # there.
    evacuation_s: float = 5.0
