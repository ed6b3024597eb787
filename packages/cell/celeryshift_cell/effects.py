"""What a cell wants done; nothing here has happened yet."""

from typing import Any

import attrs


@attrs.frozen(slots=True)
class StartRun:
    """Start a run on a worker."""

    worker_id: str
    incarnation: int
    address: str
    task: str
    run: int
    spec: str
    checkpoint: str
    ticket: str
    # On the worker's clock; the order is void afterwards, and the lease of
    # the worker's runs ends.
    deadline_ms: int


@attrs.frozen(slots=True)
class StopRun:
    """Stop a run, or make it impossible if it never arrived."""

    worker_id: str
    incarnation: int
    address: str
    task: str
    run: int


@attrs.frozen(slots=True)
class PollWorker:
    """Extend the lease of a worker and ask for its lists."""

    worker_id: str
    # 0 if the life is not known yet.
    incarnation: int
    address: str
    # The worker may forget its ends up to this one.
    stored_completion: int
    wait_ms: int
    # On the worker's clock; None before that clock is known.
    deadline_ms: int | None


@attrs.frozen(slots=True)
class SetPace:
    """Let a run work at a share of its speed."""

    worker_id: str
    incarnation: int
    address: str
    task: str
    run: int
    percent: int


@attrs.frozen(slots=True)
class RequestAdvice:
    """Ask the policy service which workers may run a step."""

    step: str
    workers: tuple[str, ...]
    # The lowest goes first.
    rank: tuple[float, ...]
    # How long the answer should take.
    expected_ms: float


# A transaction of the platform's store holds at most 100 entries; the other
# half is for jobs that are handed in.
MAX_SAVE_ENTRIES = 48
# The final state is written, and up to three rows are removed.
ENTRIES_PER_FINISHED_JOB = 4


@attrs.frozen(slots=True)
class FinishedJob:
    """Hold the final state of a job, and which rows there are of it."""

    state: str
    has_progress: bool = True
    has_cancel: bool = True


@attrs.frozen(slots=True)
class SaveRecords:
    """Store the progress of jobs in one transaction."""

    progress_by_job: dict[str, str]
    ended_by_job: dict[str, FinishedJob]
    # The workers that hold or may hold runs, if that changed.
    workers: tuple[tuple[str, int, str], ...] | None = None

    @property
    def entries(self) -> int:
        """Count the entries of a transaction that it takes."""
        ends = ENTRIES_PER_FINISHED_JOB * len(self.ended_by_job)
        return len(self.progress_by_job) + ends + (self.workers is not None)


@attrs.frozen(slots=True)
class StepDown:
    """Give the cell up: another owner has given orders."""

    worker_id: str


@attrs.frozen(slots=True)
class LogDecision:
    """Say what was decided and why, for the log."""

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
