"""State of jobs: their steps, the tasks of these, and the runs of tasks.

What one job, step, task or run consists of belongs here; the operations on
them are in ``_jobs`` and ``_runs``. Unless noted otherwise, times are in
seconds of the monotonic clock.
"""

import collections
import enum

import attrs

from celeryshift_cell import _losses
from celeryshift_cell import _tallies
from celeryshift_cell import _tickets
from celeryshift_cell import _worker_state
from celeryshift_cell import model


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
    is_done: bool = False
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
    tasks: list[Task] = attrs.field(factory=list)
    # Indices of the tasks that wait for a worker.
    pending: set[int] = attrs.field(factory=set)
    # Number of tasks that have not completed.
    remaining_tasks: int = 0
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

    @property
    def is_blocked(self) -> bool:
        """Return whether the last attempt to place tasks failed.

        Nothing has changed since.
        """
        return self.blocked_in is not None


@attrs.define(slots=True, eq=False)
class JobRun:
    """Progress of a job."""

    spec: model.Job
    # Policy that applies to the job.
    queue: model.Queue
    # Steps by (occurrence, index of the step).
    steps: dict[tuple[int, int], StepRun] = attrs.field(factory=dict)
    state: model.JobState = model.JobState.QUEUED
    # Number of steps that have not completed.
    remaining_steps: int = 0
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
    def rank(self) -> int:
        """Return the rank of the job: the lowest is placed first."""
        return _tallies.rank(self.queue, self.is_surplus)
