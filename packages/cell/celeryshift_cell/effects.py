"""Effects that the reducer of a cell asks its caller to carry out."""

import math
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
    # Added to the timeout, since the owner may read the answer late.
    slack_s: float = 0.0


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
    # Added to the timeout, since the owner may read the answer late.
    slack_s: float = 0.0


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


# A transaction of the platform's store holds at most 100 entries and 1 MB;
# about half of them are left for jobs that are submitted.
MAX_SAVE_ENTRIES = 48
MAX_SAVE_BYTES = 400_000
# Two entries write the final state and remove the row of the job; others
# remove its cancellation and the parts of its progress.
ENTRIES_PER_FINISHED_JOB = 3
# A record is stored in parts of at most this size, one row each.
RECORD_PART_BYTES = 40_000


def count_parts(record: str, part_bytes: int) -> int:
    """Return the number of rows that store a record, which is ASCII."""
    return max(1, math.ceil(len(record) / part_bytes))


@attrs.frozen(slots=True)
class FinishedJob:
    """Final state of a job, and the rows of it that exist in the store."""

    state: str
    # Number of rows that its progress has or had.
    progress_parts: int = 0
    has_cancel: bool = True

    @property
    def entries(self) -> int:
        """Return the number of transaction entries that this needs."""
        return ENTRIES_PER_FINISHED_JOB + self.progress_parts


@attrs.frozen(slots=True)
class SaveRecords:
    """Store changed records of jobs and workers in one transaction."""

    progress_by_job: dict[str, str]
    ended_by_job: dict[str, FinishedJob]
    # Incarnations and addresses of workers that may have runs, by worker id.
    workers_by_id: dict[str, tuple[int, str]] = attrs.field(factory=dict)
    # Ids of workers that have no runs any more.
    removed_workers: tuple[str, ...] = ()
    # Maximum size of a part of a record.
    part_bytes: int = RECORD_PART_BYTES
    # What the owner has learned, in one row; empty to leave the row as it is.
    learned: str = ''

    @property
    def entries(self) -> int:
        """Return the number of transaction entries that this needs."""
        return (
            sum(
                count_parts(record, self.part_bytes)
                for record in self.progress_by_job.values()
            )
            + sum(job.entries for job in self.ended_by_job.values())
            + len(self.workers_by_id)
            + len(self.removed_workers)
            + bool(self.learned)
        )


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
