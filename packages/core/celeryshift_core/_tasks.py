"""Tasks, jobs and gangs, as kept by the owner of their slice."""

import enum
from typing import Any

import attrs

from celeryshift_core import _ids
from celeryshift_core import _indices
from celeryshift_core import _size

MAX_DECISIONS = 16


class TaskState(enum.Enum):
    """State of a task."""

    # May run on behalf of a former owner, or waits to retry its claim.
    UNACCOUNTED = 'unaccounted'
    # Waits for the other tasks of its gang, or for capacity for all of them.
    GATHERING = 'gathering'
    QUEUED = 'queued'
    # Has capacity, but its gang has not been sent yet.
    RESERVED = 'reserved'
    # Waits for the end of a hold of its job.
    HELD = 'held'
    # Its job is being moved to another slice.
    MOVING = 'moving'
    STARTING = 'starting'
    RUNNING = 'running'
    STOPPING = 'stopping'
    DONE = 'done'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


ENDED = frozenset((TaskState.DONE, TaskState.FAILED, TaskState.CANCELLED))


@attrs.frozen(slots=True)
class Decision:
    """A decision about a task or request, and its reason."""

    at: float
    what: str
    why: str = ''
    worker: str = ''


@attrs.define(eq=False)
class Task:
    """A task of a job, or a request.

    `failed_on` has the workers that failed or refused it, `throttled_run` the
    run that was throttled last. `victim_worker` and `victim_run` name the run
    that was preempted for it last. `claim_version` is 0 without a claim.
    `started_at` is the time at which the latest run was booked, sent or found,
    and `on_trial` is set if it is or has to be on trial (see _crashes).
    """

    id: str
    team: str
    kind: str
    upstream: str
    size: _size.Size
    urgent: bool
    arrived: float
    job: str = ''
    index: int = 0
    request: str = ''
    state: TaskState = TaskState.QUEUED
    worker: str = ''
    epoch: int = 0
    attempt: int = 0
    claim_version: int = 0
    failed_on: tuple[str, ...] = ()
    started_at: float = 0.0
    on_trial: bool = False
    throttled_run: str = ''
    victim_worker: str = ''
    victim_run: str = ''
    decisions: list[Decision] = attrs.field(factory=list)

    @property
    def run_id(self) -> str:
        """Return the name of this attempt, unique across owners."""
        return f'{self.id}~{self.epoch}.{self.attempt}'

    @property
    def is_request(self) -> bool:
        """Return whether this is a request and not a task of a job."""
        return bool(self.request)

    def set_run(self, run_id: str, worker: str) -> None:
        """Set the current attempt, which may be of an earlier owner."""
        self.epoch, self.attempt = run_order(run_id)
        self.worker = worker

    def record_decision(self, at: float, what: str, why: str = '') -> None:
        """Record a decision, unless it repeats the last one."""
        _append_decision(self.decisions, Decision(at, what, why, self.worker))


def _append_decision(decisions: list[Decision], decision: Decision) -> None:
    """Add a decision; the first and the latest ones are kept."""
    last = decisions[-1] if decisions else None
    if last and (last.what, last.why) == (decision.what, decision.why):
        return
    if len(decisions) >= MAX_DECISIONS:
        del decisions[1]
    decisions.append(decision)


def task_id_of_run(run_id: str) -> str:
    """Return the id of the task that a run is an attempt of."""
    return run_id.rpartition('~')[0]


def run_order(run_id: str) -> tuple[int, int]:
    """Return the epoch and attempt of a run; those of a later one are higher.

    This holds for the runs of a task in one slice.
    """
    epoch, _, attempt = run_id.rpartition('~')[2].partition('.')
    return int(epoch), int(attempt)


@attrs.define(eq=False)
class Job:
    """A job that is not finished.

    `done`, `failed` and `unknown` have the indices of ended tasks; unknown are
    those that may have run and must not run again. `running` has the ids of
    tasks that were sent, `ended_runs` the worker of each done run that is not
    recorded in the store yet. The tasks of a cancelled job are cancelled in
    order, so far those with an index below `cancelled_up_to`. `failures`,
    `failed_workers` and `hold_count` count since the last success;
    `probe_task` is the task that is tried after a hold.
    `lost_runs_by_index` has, by index of the task, the runs that may have
    crashed their worker, each with its points against the task (see _crashes).
    """

    id: str
    team: str
    kind: str
    tasks: int
    payload: Any
    size: _size.Size
    row_version: int = 0
    done: _indices.IndexSet = attrs.field(factory=_indices.IndexSet)
    failed: _indices.IndexSet = attrs.field(factory=_indices.IndexSet)
    unknown: _indices.IndexSet = attrs.field(factory=_indices.IndexSet)
    cancelled: bool = False
    running: set[str] = attrs.field(factory=set)
    ended_runs: dict[str, str] = attrs.field(factory=dict)
    cancelled_up_to: int = 0
    moves: int = 0
    movable_after: float = 0.0
    failed_workers: set[str] = attrs.field(factory=set)
    failures: int = 0
    hold_count: int = 0
    on_hold: bool = False
    probe_task: str = ''
    held_tasks: dict[str, Task] = attrs.field(factory=dict)
    lost_runs_by_index: dict[int, dict[str, int]] = attrs.field(factory=dict)
    losses_version: int = 0
    stored_losses_version: int = 0
    decisions: list[Decision] = attrs.field(factory=list)

    def task_id(self, index: int) -> str:
        """Return the id of a task of this job."""
        return _ids.task_of_job(self.id, index)

    def record_decision(self, decision: Decision) -> None:
        """Record a decision that concerns several tasks."""
        _append_decision(self.decisions, decision)

    @property
    def ended_count(self) -> int:
        """Return the number of tasks that will not run again."""
        return len(self.done) + len(self.failed) + len(self.unknown)

    @property
    def is_finished(self) -> bool:
        """Return whether no task is left to run or to stop."""
        if self.cancelled:
            return not self.running and self.cancelled_up_to == self.tasks
        return self.ended_count == self.tasks

    @property
    def state(self) -> str:
        """Return the state that is reported to callers."""
        if self.cancelled:
            return 'cancelled' if self.is_finished else 'cancelling'
        if self.on_hold:
            return 'held'
        if not self.is_finished:
            return 'running' if self.running or self.ended_count else 'queued'
        return 'failed' if self.failed or self.unknown else 'done'


class GangPhase(enum.Enum):
    """State of a gang, a job whose tasks start together."""

    GATHERING = 'gathering'
    QUEUED = 'queued'
    RESERVING = 'reserving'
    CLAIMING = 'claiming'
    SENDING = 'sending'
    RUNNING = 'running'
    PAUSED = 'paused'


@attrs.define(eq=False)
class Gang:
    """Tasks of a gang that are not running.

    `window_s` is how long it may reserve capacity. `claimed` is set once its
    at-most-once claim is written.
    """

    job: Job
    upstream: str
    window_s: float
    phase: GangPhase = GangPhase.GATHERING
    claimed: bool = False
    restarts: int = 0
    waiting: dict[str, Task] = attrs.field(factory=dict)
    reserved: dict[str, Task] = attrs.field(factory=dict)

    @property
    def is_gathered(self) -> bool:
        """Return whether all remaining tasks are here and none runs."""
        remaining = self.job.tasks - self.job.ended_count
        present = len(self.waiting) + len(self.reserved)
        return 0 < present == remaining and not self.job.running
