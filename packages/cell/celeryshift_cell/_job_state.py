"""State of jobs: their steps, the tasks of these, and the runs of tasks.

What one job, step, task or run consists of belongs here; the operations on
them are in ``_jobs`` and ``_runs``. Unless noted otherwise, times are in
seconds of the monotonic clock.

A job may have thousands of occurrences and tasks. A step is in memory from
when it becomes ready until it has completed, and a task from its first start;
all others are bits of an ``IndexSet``.
"""

import collections
from collections.abc import Collection
import enum

import attrs

from celeryshift_cell import _footprint
from celeryshift_cell import _indices
from celeryshift_cell import _losses
from celeryshift_cell import _tallies
from celeryshift_cell import _tickets
from celeryshift_cell import _worker_state
from celeryshift_cell import model

FINAL = (
    model.JobState.COMPLETED,
    model.JobState.FAILED,
    model.JobState.CANCELLED,
)


class Phase(enum.Enum):
    """Known state of a run that may exist on a worker."""

    # The start order was sent and has not been answered.
    SENT = 'sent'
    RUNNING = 'running'
    STOPPING = 'stopping'
    # The start order got no response, so the run may or may not exist.
    IN_DOUBT = 'doubt'


@attrs.define(slots=True, eq=False)
class Run:
    """Attempt at a task on a worker.

    It occupies capacity on the worker until it has certainly ended.
    """

    task: 'Task'
    number: int
    worker: _worker_state.Worker
    phase: Phase
    # When the last order was sent or its outcome became unknown. If this owner
    # has sent no order for the run, when it registered the run.
    since: float
    # When this owner ordered the run; 0 if it has not.
    ordered_at: float = 0.0
    # When the worker confirmed the run; 0 if it has not.
    confirmed_at: float = 0.0
    # The run resumed from a checkpoint.
    is_resumed: bool = False
    # The current incarnation of the worker has listed the run. The answer to
    # a start order does not tell which incarnation carried the order out.
    is_listed: bool = False
    # When the worker acknowledged a stop order. If a poll that was sent later
    # does not report the run, the run certainly does not exist.
    stopped_at: float | None = None
    # Reported progress, and when it last changed.
    percent: int = 0
    progressed_at: float = 0.0
    # Tail latency in ms of a serving task, otherwise millicores in use.
    load: int = 0
    # Whether the run counts as urgent in the totals of its upstream and team.
    is_urgent: bool = False
    # Percentage of full speed that the run is throttled to, and since when.
    pace: int = 100
    pace_changed_at: float = 0.0
    # How long nothing else starts beside the run, which is on trial; 0 if it
    # is not.
    trial_s: float = 0.0
    # Version of the losses of its job that has the trial, which is ordered
    # only once that is stored, and the ticket for the order.
    trial_version: int = 0
    ticket: str = ''


@attrs.define(slots=True, eq=False)
class Task:
    """One task of a step."""

    step: 'StepRun'
    # Position in the step.
    index: int
    # Name of the step, a dot and the index.
    name: str
    # Highest number of a run of the task that this owner knows of.
    last_run: int = 0
    checkpoint: str = ''
    # Numbers of the failed runs.
    failed_runs: set[int] = attrs.field(factory=set)
    # Runs that may still be active, by number.
    runs: dict[int, Run] = attrs.field(factory=dict)
    # Workers on which the task has failed.
    failed_on: set[str] = attrs.field(factory=set)
    # Workers that the task was moved away from.
    avoided_workers: set[str] = attrs.field(factory=set)
    # Workers that were lost under the task, by their id and incarnation.
    losses_by_worker: dict[tuple[str, int], _losses.Loss] = attrs.field(
        factory=dict
    )
    # Why and when runs were dropped without a result, by (worker id, number).
    dropped_runs: dict[tuple[str, int], tuple[str, float]] = attrs.field(
        factory=dict
    )

    # The task has ended, and is kept in case its worker reports such a run.
    is_retained: bool = False

    @property
    def is_done(self) -> bool:
        """Return whether the task has completed."""
        return self.index in self.step.done


class Tasks:
    """Tasks of a step by index, kept in memory from their first start."""

    __slots__ = ('_by_index', '_step')

    def __init__(self, step: 'StepRun') -> None:
        self._step = step
        self._by_index: dict[int, Task] = {}

    def __len__(self) -> int:
        return self._step.spec.count

    def __getitem__(self, index: int) -> Task:
        """Return a task, and keep it from now on."""
        return self.keep(self.peek(index))

    @property
    def known(self) -> Collection[Task]:
        """Return the tasks in memory; nothing has happened to the others."""
        return self._by_index.values()

    def get(self, index: int) -> Task | None:
        """Return a task if it is in memory."""
        return self._by_index.get(index)

    def peek(self, index: int) -> Task:
        """Return a task, which is not kept if it is not in memory yet."""
        task = self._by_index.get(index)
        if task is not None:
            return task
        if not 0 <= index < len(self):
            raise IndexError(f'{self._step.name} has no task {index}')
        step = self._step
        task = Task(step, index, f'{step.name}.{index}')
        task.losses_by_worker.update(step.suspicions)
        return task

    def keep(self, task: Task) -> Task:
        """Keep a task that ``peek`` returned."""
        if task.index not in self._by_index:
            self._by_index[task.index] = task
            self._step.job.footprint.tasks += 1
        return self._by_index[task.index]

    def forget(self, task: Task) -> None:
        """Keep a task no longer."""
        if self._by_index.pop(task.index, None) is not None:
            footprint = self._step.job.footprint
            footprint.tasks -= 1
            footprint.retained -= task.is_retained


@attrs.define(slots=True, eq=False)
class StepRun:
    """One step of one occurrence of a job."""

    job: 'JobRun'
    occurrence: int
    # Index of the step in the job.
    number: int
    spec: model.Step
    # Job id, occurrence and number, separated by dots.
    name: str
    # Indices of the tasks that have completed, and of those that wait for a
    # worker.
    done: _indices.IndexSet
    pending: _indices.IndexSet
    tasks: Tasks = attrs.field(default=attrs.Factory(Tasks, takes_self=True))
    # Losses of the tasks that are not in memory, as in ``Task``.
    suspicions: dict[tuple[str, int], _losses.Loss] = attrs.field(factory=dict)
    # Number of runs that may still be active.
    active_runs: int = 0
    is_ready: bool = False
    ready_at: float = 0.0
    # Position in the order in which steps began to wait.
    waiting_number: int = 0
    # Group of blocked steps that has this one, or None; see ``_waiting``.
    blocked_in: dict[str, 'StepRun'] | None = None
    # Why the last attempt failed, as last logged.
    wait_reason: str = ''
    # The step is blocked by the resource limit of its team.
    blocked_by_limit: bool = False
    # The step is blocked by the headroom kept for urgent work.
    blocked_by_headroom: bool = False
    # The step is blocked by the memory of the owner.
    blocked_by_memory: bool = False
    # Longest run time among the completed tasks.
    slowest_s: float = 0.0
    # Run times of its completed tasks, as on an average worker.
    average_run_times_ms: list[float] = attrs.field(factory=list)
    # Approvals of the policy service, by worker id.
    approvals: dict[str, _tickets.Approval] = attrs.field(factory=dict)
    # Incarnations of workers that the policy service rejected, by worker id.
    ineligible: dict[str, int] = attrs.field(factory=dict)
    # Incarnations of the workers in the query to the policy service in flight,
    # by worker id; empty if none.
    pending_query: dict[str, int] = attrs.field(factory=dict)
    # Number of decisions that the footprint counts.
    counted_decisions: int = 0
    # No query is sent before this time.
    query_after: float = 0.0
    # Number of runs of this step, by worker id.
    runs_by_worker: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    # A former owner may have started the tasks.
    in_doubt: bool = False
    # Workers on which no task of lower priority may start before this step.
    reserved_workers: frozenset[str] = frozenset()

    def count_decisions(self) -> None:
        """Count the decisions of the policy service in the footprint."""
        count = len(self.approvals) + len(self.ineligible)
        self.job.footprint.decisions += count - self.counted_decisions
        self.counted_decisions = count

    @property
    def remaining_tasks(self) -> int:
        """Return the number of tasks that have not completed."""
        return self.spec.count - len(self.done)

    @property
    def is_blocked(self) -> bool:
        """Return whether the last attempt to place tasks failed.

        Nothing has changed since.
        """
        return self.blocked_in is not None


class Steps:
    """Steps of a job by (occurrence, index of the step)."""

    __slots__ = ('_by_key', '_job', 'done')

    def __init__(self, job: 'JobRun') -> None:
        self._job = job
        # Positions of the steps that have completed.
        self.done = _indices.IndexSet()
        self._by_key: dict[tuple[int, int], StepRun] = {}

    def __len__(self) -> int:
        return self._job.spec.occurrences * len(self._job.spec.steps)

    def __getitem__(self, key: tuple[int, int]) -> StepRun:
        """Return a step, and keep it in memory from now on."""
        step = self._by_key.get(key)
        if step is None:
            step = self._by_key[key] = self._make(*key)
            self._job.footprint.steps += 1
        return step

    def _make(self, occurrence: int, number: int) -> StepRun:
        job = self._job
        is_known = (
            0 <= occurrence < job.spec.occurrences
            and 0 <= number < len(job.spec.steps)
        )
        if not is_known:
            raise KeyError((occurrence, number))
        spec = job.spec.steps[number]
        name = f'{job.spec.id}.{occurrence}.{number}'
        done, pending = _indices.IndexSet(), _indices.IndexSet()
        if self.is_done(occurrence, number):
            done = _indices.IndexSet.full(spec.count)
        elif not job.is_final:
            pending = _indices.IndexSet.full(spec.count)
        step = StepRun(job, occurrence, number, spec, name, done, pending)
        step.in_doubt = occurrence < job.occurrences_in_doubt
        if occurrence < job.suspected_occurrences:
            step.suspicions.update(job.suspicions)
        return step

    @property
    def known(self) -> list[StepRun]:
        """Return the steps in memory."""
        return list(self._by_key.values())

    def get(self, key: tuple[int, int]) -> StepRun | None:
        """Return a step if it is in memory."""
        return self._by_key.get(key)

    def forget(self, step: StepRun) -> None:
        """Keep a step no longer."""
        if self._by_key.pop((step.occurrence, step.number), None) is not None:
            self._job.footprint.steps -= 1
            self._job.footprint.decisions -= step.counted_decisions
            step.counted_decisions = 0

    def is_done(self, occurrence: int, number: int) -> bool:
        """Return whether a step has completed."""
        return self._position(occurrence, number) in self.done

    def mark_done(self, occurrence: int, number: int) -> None:
        """Record that a step has completed."""
        self.done.add(self._position(occurrence, number))

    def are_done(self, occurrence: int, numbers: tuple[int, ...]) -> bool:
        """Return whether several steps of an occurrence have completed."""
        return all(self.is_done(occurrence, number) for number in numbers)

    def count_remaining(self, number: int, occurrences: int) -> int:
        """Return in how many of the first occurrences a step is not done."""
        if not (self.done and occurrences):
            return occurrences
        width = len(self._job.spec.steps)
        # The bits of the positions of the step.
        bits = ((1 << width * occurrences) - 1) // ((1 << width) - 1)
        return (bits << number & ~self.done.bits).bit_count()

    def _position(self, occurrence: int, number: int) -> int:
        return occurrence * len(self._job.spec.steps) + number


@attrs.define(slots=True, eq=False)
class JobRun:
    """Progress of a job."""

    spec: model.Job
    # Policy that applies to the job.
    queue: model.Queue
    # Counts the steps and tasks that are in memory.
    footprint: _footprint.Footprint
    steps: Steps = attrs.field(default=attrs.Factory(Steps, takes_self=True))
    state: model.JobState = model.JobState.QUEUED
    # First occurrence that has not been released, and number of steps that
    # wait for a worker.
    next_occurrence: int = 0
    waiting_steps: int = 0
    # Number of the first occurrences whose tasks a former owner may have
    # started; and losses that may have been under it, of the tasks that are
    # not in memory, with the number of occurrences that they concern.
    occurrences_in_doubt: int = 0
    suspected_occurrences: int = 0
    suspicions: dict[tuple[str, int], _losses.Loss] = attrs.field(factory=dict)
    # The final state of the job is stored.
    is_recorded: bool = False
    recorded_at: float = 0.0
    # Highest number of rows that the stored progress record has or had.
    progress_parts: int = 0
    # The store rejected the full record, so a reduced one is stored.
    is_record_reduced: bool = False
    # Versions of the losses and trials of its tasks: the newest one, the ones
    # in the save in flight and in the store, and the one that must be stored
    # before the next trial.
    loss_version: int = 0
    saving_loss_version: int = 0
    stored_loss_version: int = 0
    required_loss_version: int = 0
    # When its age was 0, as of the wall clock when the job became known.
    arrived_at: float = 0.0
    # Expected duration of the longest chain of dependent steps.
    critical_path_ms: float = 0.0
    # The job is surplus, and the weights in force differ.
    is_surplus: bool = False

    @property
    def is_final(self) -> bool:
        """Return whether the job has ended."""
        return self.state in FINAL

    @property
    def remaining_steps(self) -> int:
        """Return the number of steps that have not completed."""
        return len(self.steps) - len(self.steps.done)

    @property
    def rank(self) -> int:
        """Return the rank of the job: the lowest is placed first."""
        return _tallies.rank(self.queue, self.is_surplus)
