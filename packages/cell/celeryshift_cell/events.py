"""What happens to a cell; each event carries the time at which it did."""

import enum

import attrs

from celeryshift_cell import model


class Outcome(enum.Enum):
    """Name what became of an order to a worker."""

    DONE = 'done'
    # Another owner has given orders to this worker.
    FENCED = 'fenced'
    # The run is not higher than one that ended or was stopped there.
    STALE_RUN = 'old'
    # The order's own deadline had passed on the worker's clock.
    DEADLINE_PASSED = 'late'
    NO_CAPACITY = 'no room'
    NO_TICKET = 'no ticket'
    # The worker is unhealthy and has done nothing.
    REFUSED = 'refused'
    # Another life of the worker answered.
    OTHER_INCARNATION = 'other life'
    # The worker finds the order malformed and has done nothing.
    INVALID = 'invalid'
    # No byte has left, so the order was surely not carried out.
    NOT_SENT = 'unsent'
    # The order may have been carried out, or may be later.
    UNKNOWN = 'unknown'


@attrs.frozen(slots=True)
class ConfigChanged:
    """Report the configuration in force."""

    now: float
    config: model.Config


@attrs.frozen(slots=True)
class WorkersChanged:
    """Report entries of workers that changed, and the ids that went."""

    now: float
    entries: tuple[model.WorkerEntry, ...] = ()
    removed: tuple[str, ...] = ()


@attrs.frozen(slots=True)
class StoredJob:
    """Hold a job and the version of the store that it came with."""

    job: model.Job
    version: int


@attrs.frozen(slots=True)
class JobAccepted:
    """Report a job that is stored."""

    now: float
    stored: StoredJob


@attrs.frozen(slots=True)
class JobCancelled:
    """Report that the cancelling of a job is stored."""

    now: float
    job_id: str


@attrs.frozen(slots=True)
class StartAnswered:
    """Report what became of the order to start a run."""

    now: float
    worker_id: str
    task: str
    run: int
    outcome: Outcome


@attrs.frozen(slots=True)
class StopAnswered:
    """Report what became of the order to stop a run."""

    now: float
    worker_id: str
    task: str
    run: int
    outcome: Outcome


@attrs.frozen(slots=True)
class RunStatus:
    """Describe a run that a worker says is there."""

    task: str
    run: int
    checkpoint: str
    percent: int
    # Tail of the response times in ms of a serving task, else the
    # thousandths of a core in use.
    load: int = 0


@attrs.frozen(slots=True)
class RunCompletion:
    """Describe a run that a worker says has ended."""

    number: int
    task: str
    run: int
    result: model.RunResult
    checkpoint: str


@attrs.frozen(slots=True)
class PollAnswered:
    """Report the lists of a worker that has been asked."""

    now: float
    sent_at: float
    worker_id: str
    incarnation: int
    clock_ms: int
    running: tuple[RunStatus, ...]
    ended: tuple[RunCompletion, ...]


@attrs.frozen(slots=True)
class PollFailed:
    """Report that a worker gave no lists."""

    now: float
    worker_id: str
    incarnation: int
    outcome: Outcome


@attrs.frozen(slots=True)
class AdviceAnswered:
    """Report which of the workers asked about may run a step."""

    now: float
    step: str
    workers: tuple[str, ...]
    tickets_by_worker: dict[str, str]
    # When the question was sent, since the ticket ages from about then.
    sent_at: float
    validity_ms: int


@attrs.frozen(slots=True)
class AdviceFailed:
    """Report that the policy service did not answer."""

    now: float
    step: str
    workers: tuple[str, ...]
    reason: str


@attrs.frozen(slots=True)
class RecordsSaved:
    """Report that the records sent last are stored."""

    now: float


@attrs.frozen(slots=True)
class RecordsFailed:
    """Report that the records sent last may not be stored."""

    now: float


@attrs.frozen(slots=True)
class Restored:
    """Report what the store holds, to a node that has become the owner."""

    now: float
    wall_ms: int
    jobs: tuple[StoredJob, ...]
    records_by_job: dict[str, str]
    cancelled: tuple[str, ...]
    # Workers on which a former owner may have started something.
    workers: tuple[tuple[str, int, str], ...]
    # Nothing that a former owner sent can take effect after this.
    in_doubt_until: float
    # The version of the store that all this was read at, or a lower one.
    version: int
    # The former owner gave no orders after this.
    former_owner_until: float = float('-inf')


@attrs.frozen(slots=True)
class Ticked:
    """Report the time."""

    now: float
    wall_ms: int


Event = (
    ConfigChanged
    | WorkersChanged
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
    | Restored
    | Ticked
)
