"""Events that the reducer of a cell handles.

Every event carries the monotonic time ``now``, in seconds, at which it
occurred.
"""

import enum

import attrs

from celeryshift_cell import model


class Outcome(enum.Enum):
    """Outcome of an order to a worker."""

    DONE = 'done'
    # The worker has accepted the epoch of a later owner.
    FENCED = 'fenced'
    # The run number is not higher than that of a run of the task that ended
    # or was stopped on the worker.
    STALE_RUN = 'old'
    # The deadline of the order had passed on the worker's clock.
    DEADLINE_PASSED = 'late'
    NO_CAPACITY = 'no room'
    # The order carried no valid ticket of the policy service.
    NO_TICKET = 'no ticket'
    # The worker is unhealthy and did not carry out the order.
    REFUSED = 'refused'
    # Another incarnation of the worker answered and rejected the order.
    OTHER_INCARNATION = 'other life'
    # The worker considers the order malformed and did not carry it out.
    INVALID = 'invalid'
    # No byte was sent, so the order was certainly not carried out.
    NOT_SENT = 'unsent'
    # The order may have been carried out, or may still be.
    UNKNOWN = 'unknown'


@attrs.frozen(slots=True)
class ConfigChanged:
    """The configuration changed."""

    now: float
    config: model.Config


@attrs.frozen(slots=True)
class MemoryLimited:
    """The memory for the state of the cell changed, or became known."""

    now: float
    # In bytes; 0 for no limit.
    limit: int


@attrs.frozen(slots=True)
class WorkersChanged:
    """Entries of workers were added, changed or removed."""

    now: float
    entries: tuple[model.WorkerEntry, ...] = ()
    removed: tuple[str, ...] = ()


@attrs.frozen(slots=True)
class EvacuationsChanged:
    """The operator evacuated data centres, or returned some."""

    now: float
    # Names of all evacuated data centres; '' stands for malformed names.
    data_centres: frozenset[str]


@attrs.frozen(slots=True)
class StoredJob:
    """Job with the version of the store at which it was written."""

    job: model.Job
    version: int


@attrs.frozen(slots=True)
class JobAccepted:
    """A job was accepted and stored."""

    now: float
    stored: StoredJob


@attrs.frozen(slots=True)
class JobCancelled:
    """The cancellation of a job was stored."""

    now: float
    job_id: str


@attrs.frozen(slots=True)
class StartAnswered:
    """An order to start a run was answered or timed out."""

    now: float
    worker_id: str
    # The incarnation that the order was sent to.
    incarnation: int
    task: str
    run: int
    outcome: Outcome
    # Clock of the incarnation that answered, if it told.
    clock_ms: int | None = None


@attrs.frozen(slots=True)
class StopAnswered:
    """An order to stop a run was answered or timed out."""

    now: float
    worker_id: str
    # The incarnation that the order was sent to.
    incarnation: int
    task: str
    run: int
    outcome: Outcome
    # Clock of the incarnation that answered, if it told.
    clock_ms: int | None = None


# A worker reports at most this many completions in one answer.
MAX_REPORTED_COMPLETIONS = 500


@attrs.frozen(slots=True)
class RunStatus:
    """Status of a running run, as its worker reports it."""

    task: str
    run: int
    checkpoint: str
    percent: int
    # Tail latency in ms of a serving task, otherwise the millicores in use.
    load: int = 0


@attrs.frozen(slots=True)
class RunCompletion:
    """Result of a run that ended, as its worker reports it."""

    # Position in the worker's sequence of completions.
    number: int
    task: str
    run: int
    result: model.RunResult
    checkpoint: str


@attrs.frozen(slots=True)
class PollAnswered:
    """A worker answered a poll with its running and completed runs."""

    now: float
    # When the poll was sent.
    sent_at: float
    worker_id: str
    # The incarnation that the poll was sent to, and the one that answered.
    incarnation: int
    answered_by: int
    clock_ms: int
    running: tuple[RunStatus, ...]
    ended: tuple[RunCompletion, ...]


@attrs.frozen(slots=True)
class PollFailed:
    """A poll of a worker failed or timed out."""

    now: float
    worker_id: str
    # The incarnation that the poll was sent to.
    incarnation: int
    outcome: Outcome
    clock_ms: int | None = None


@attrs.frozen(slots=True)
class AdviceAnswered:
    """The policy service issued tickets for the workers that may run a step.

    Workers of the query without a ticket may not run the step.
    """

    now: float
    step: str
    # All workers of the query.
    workers: tuple[str, ...]
    tickets_by_worker: dict[str, str]
    # When the query was sent; the validity is counted from then.
    sent_at: float
    validity_ms: int


@attrs.frozen(slots=True)
class AdviceFailed:
    """A query to the policy service failed."""

    now: float
    step: str
    workers: tuple[str, ...]
    reason: str


@attrs.frozen(slots=True)
class RecordsSaved:
    """The last ``SaveRecords`` was stored."""

    now: float


@attrs.frozen(slots=True)
class RecordsFailed:
    """The last ``SaveRecords`` failed; it may or may not be stored."""

    now: float
    # The store never takes this transaction; nothing of it is stored.
    is_rejected: bool = False


@attrs.frozen(slots=True)
class JobsRestored:
    """The new owner of a cell read some of the stored jobs.

    It restores them before ``Restored``, and before it knows any worker.
    """

    now: float
    # Unix time in milliseconds.
    wall_ms: int
    jobs: tuple[StoredJob, ...]
    records_by_job: dict[str, str]
    cancelled: frozenset[str]
    # Number of rows of the stored records, by job id; 1 for others.
    parts_by_job: dict[str, int] = attrs.field(factory=dict)


@attrs.frozen(slots=True)
class Restored:
    """The new owner of a cell read the stored state.

    It has the jobs that no ``JobsRestored`` had.
    """

    now: float
    # Unix time in milliseconds.
    wall_ms: int
    jobs: tuple[StoredJob, ...]
    records_by_job: dict[str, str]
    cancelled: tuple[str, ...]
    # Workers on which a former owner may have started runs, as (id,
    # incarnation, address).
    workers: tuple[tuple[str, int, str], ...]
    # No order of a former owner has any effect after this time.
    in_doubt_until: float
    # Version of the store; the state read here is at least as recent.
    version: int
    # The former owner sent no orders after this time.
    former_owner_until: float = float('-inf')
    # Number of rows of the stored records, by job id; 1 for others.
    parts_by_job: dict[str, int] = attrs.field(factory=dict)
    # What the former owner has learned; empty if nothing is stored.
    learned: str = ''


@attrs.frozen(slots=True)
class Ticked:
    """The periodic timer fired."""

    now: float
    # Unix time in milliseconds.
    wall_ms: int
    # How late the timer fired.
    lag_s: float = 0.0


Event = (
    ConfigChanged
    | MemoryLimited
    | WorkersChanged
    | EvacuationsChanged
    | JobAccepted
    | JobCancelled
    | StartAnswered
    | StopAnswered
    | PollAnswered
    | PollFailed
    | AdviceAnswered
    | AdviceFailed
    | RecordsSaved
    | RecordsFailed
    | JobsRestored
    | Restored
    | Ticked
)
