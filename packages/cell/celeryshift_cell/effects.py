"""Effects that the reducer of a cell asks its caller to carry out."""

from typing import Any

import attrs


@attrs.frozen(slots=True)
class StartRun:
    """Order a worker to start a run."""

    worker_id: str
    incarnation: int
    address: str
    task: str
    run: int
    spec: str
    checkpoint: str
    ticket: str
    # Time on the worker's clock. The worker rejects the order after it;
    # otherwise the order extends the worker's lease to it.
    deadline_ms: int


@attrs.frozen(slots=True)
class StopRun:
    """Order a worker to stop a run and to reject a later start of it."""

    worker_id: str
    incarnation: int
    address: str
    task: str
    run: int


@attrs.frozen(slots=True)
class PollWorker:
    """Extend the lease of a worker and poll its runs.

    The worker answers after ``wait_ms``, or as soon as it has a completed run
    to report.
    """

    worker_id: str
    # 0 if the incarnation is not known yet.
    incarnation: int
    address: str
    # Completions up to this number are stored; the worker may discard them.
    stored_completion: int
    wait_ms: int
    # End of the lease on the worker's clock. None if the poll must not extend
    # the lease, for example because that clock is not known yet.
    deadline_ms: int | None


@attrs.frozen(slots=True)
class SetPace:
    """Throttle a run to a percentage of its full speed."""

    worker_id: str
    incarnation: int
    address: str
    task: str
    run: int
    percent: int


@attrs.frozen(slots=True)
class RequestAdvice:
    """Query the policy service which workers may run a step."""

    step: str
    workers: tuple[str, ...]
    # Queries with the lowest rank are sent first.
    rank: tuple[float, ...]
    # Expected duration of the query.
    expected_ms: float


# A transaction of the platform's store holds at most 100 entries; about
# half of them are left for jobs that are submitted.
MAX_SAVE_ENTRIES = 48
# One entry writes the final state, and up to three remove rows of the job.
ENTRIES_PER_FINISHED_JOB = 4


@attrs.frozen(slots=True)
class FinishedJob:
    """Final state of a job, and the rows of it that exist in the store."""

    state: str
    has_progress: bool = True
    has_cancel: bool = True


@attrs.frozen(slots=True)
class SaveRecords:
    """Store the progress and final states of jobs in one transaction."""

    progress_by_job: dict[str, str]
    ended_by_job: dict[str, FinishedJob]
    # Workers that may have runs, as (id, incarnation, address); None if
    # unchanged.
    workers: tuple[tuple[str, int, str], ...] | None = None

    @property
    def entries(self) -> int:
        """Return the number of transaction entries that this needs."""
        ends = ENTRIES_PER_FINISHED_JOB * len(self.ended_by_job)
        return len(self.progress_by_job) + ends + (self.workers is not None)


@attrs.frozen(slots=True)
class StepDown:
    """Give up the ownership: a worker has accepted a later owner's epoch."""

    worker_id: str


@attrs.frozen(slots=True)
class LogDecision:
    """Write a structured log line about a decision."""

    decision: str
    fields: dict[str, Any]


Effect = (
    StartRun
    | StopRun
    | PollWorker
    | SetPace
    | RequestAdvice
    | SaveRecords
    | StepDown
    | LogDecision
)
