"""In-memory state that the owner of a cell keeps.

Unless noted otherwise, times are in seconds of the monotonic clock.
"""

import collections
import enum
import heapq
from typing import Any

import attrs

from celeryshift_cell import _capacity
from celeryshift_cell import _clocks
from celeryshift_cell import _due
from celeryshift_cell import _histograms
from celeryshift_cell import _losses
from celeryshift_cell import _options
from celeryshift_cell import _order_window
from celeryshift_cell import _priorities
from celeryshift_cell import _tallies
from celeryshift_cell import _tickets
from celeryshift_cell import _usage
from celeryshift_cell import _waiting
from celeryshift_cell import effects
from celeryshift_cell import events
from celeryshift_cell import model

# Each epoch numbers the runs of a task from a range of its own, so that a new
# owner never reuses a run number that it has not seen.
RUNS_PER_EPOCH = 1000


# A worker lists 500 completions at a time. One that keeps more than these gets
# no further tasks, since the newest ones would not be listed.
MAX_WITHHELD = 300


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
    worker: 'Worker'
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
class LostWorker:
    """Worker that is silent, and the tasks that have a loss on it."""

    address: str
    at: float
    tasks: list['Task'] = attrs.field(factory=list)


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


@attrs.define(slots=True, eq=False)
class Worker:
    """State of one incarnation of a worker."""

    entry: model.WorkerEntry
    # Free capacity, in millicores, MB and accelerators.
    free_cpu: int
    free_memory: int
    free_accelerators: int
    # Largest amount of each resource that this owner has known it to have.
    largest_capacity: model.Size
    # Position in the order in which worker ids were added.
    number: int = 0
    # Index that has the worker, if any, and its free cores as indexed.
    index: _capacity.FreeCapacity | None = None
    indexed_cpu: int = 0
    # Has accepted this owner's epoch and so rejects former owners' orders.
    is_fenced: bool = False
    # The worker is in the list of workers.
    is_listed: bool = True
    # The store has a record of the worker, which tells the next owner of it.
    is_recorded: bool = False
    # When the entry was last read.
    listed_at: float = 0.0
    # An order or a poll got no response, and another poll is in flight.
    is_suspect: bool = False
    # That poll got no response either.
    is_silent: bool = False
    # Number of failed polls in a row that the owner's own lag explains.
    excused_polls: int = 0
    # Reported runs of unknown jobs, as (task name, run number). The jobs were
    # evicted or have not arrived yet, so the runs' size is unknown too.
    unknown_runs: set[tuple[str, int]] = attrs.field(factory=set)
    # Earliest time that the worker's clock may have shown when its last
    # response arrived.
    min_clock_ms: float = float('-inf')
    # When that response arrived, and its age when the lease was last extended.
    clock_read_at: float = 0.0
    lease_clock_age_s: float = 0.0
    # Numbers of the last completion processed and of the last one stored.
    last_completion: int = 0
    last_stored_completion: int = 0
    # The worker may not discard this completion, nor any after it; 0 if none.
    withheld_completion: int = 0
    # Latest time at which the last lease granted to the worker expires.
    lease_until: float = 0.0
    polls_in_flight: int = 0
    # When to poll next; None while no poll is scheduled.
    poll_at: float | None = 0.0
    # Runs that may be active on the worker, by (task name, run number).
    runs: dict[tuple[str, int], Run] = attrs.field(factory=dict)
    # Only tasks of this job are started on the worker before a time.
    reserved_for: str = ''
    reserved_since: float = 0.0
    reserved_until: float = 0.0
    # The entry may be out of date, since the worker was silent; no task is
    # started before this time, unless the next entry is read before.
    entry_awaited_until: float = 0.0
    # No task is started on the worker before this time.
    quarantined_until: float = 0.0
    # The data centre of the worker is evacuated.
    is_evacuated: bool = False
    # Until when the worker is cold, and for how long it has been expected to
    # be since it became cold.
    cold_until: float = 0.0
    cold_s: float = 0.0
    # Ids of the jobs with failures on the worker since its last success.
    failed_jobs: set[str] = attrs.field(factory=set)
    # Millicores requested by fillers, which are not taken from ``free_cpu``.
    filler_cpu: int = 0
    # Run time of tasks on this worker relative to the average worker.
    slowness: float = 1.0
    # Mean ratio of run time to estimate on this worker.
    run_time_ratio: _usage.RunningMean = attrs.field(
        factory=_usage.RunningMean
    )
    speed: _histograms.WorkerSpeed = attrs.field(
        factory=_histograms.WorkerSpeed
    )

    @property
    def id(self) -> str:
        """Return the id of the worker."""
        return self.entry.id

    @property
    def record(self) -> tuple[int, str]:
        """Return what the store keeps of the worker."""
        return self.entry.incarnation, self.entry.address

    @property
    def storable_completion(self) -> int:
        """Return the last completion that the worker may discard."""
        if not self.withheld_completion:
            return self.last_completion
        return min(self.last_completion, self.withheld_completion - 1)

    @property
    def has_unstored(self) -> bool:
        """Return whether completions must be stored for the worker."""
        return self.storable_completion > self.last_stored_completion

    def is_usable(self, now: float) -> bool:
        """Return whether tasks may be started on the worker."""
        return (
            self.is_fenced
            and self.is_listed
            and self.is_recorded
            and not self.is_silent
            and not self.is_suspect
            and not self.unknown_runs
            and not self.entry.is_draining
            and not self.is_evacuated
            and self.quarantined_until <= now
            and self.entry_awaited_until <= now
            and self.last_completion - self.storable_completion < MAX_WITHHELD
        )

    def has_capacity(self, step: model.Step) -> bool:
        """Return whether the free capacity suffices for a task of a step."""
        size = step.size
        return (
            size.memory_mb <= self.free_memory
            and (step.is_filler or size.cpu_milli <= self.free_cpu)
            and size.accelerators <= self.free_accelerators
        )

    def allocate(self, step: model.Step, sign: int) -> None:
        """Allocate capacity for a task (sign 1) or free it (-1)."""
        if step.is_filler:
            self.filler_cpu += sign * step.size.cpu_milli
        else:
            self.free_cpu -= sign * step.size.cpu_milli
        self.free_memory -= sign * step.size.memory_mb
        self.free_accelerators -= sign * step.size.accelerators
        if self.index is not None:
            self.index.update(self)


@attrs.define(slots=True, eq=False)
class DataCentre:
    """Reachability of a data centre."""

    # Send time of the first start order since the last response, or None.
    unanswered_since: float | None = None


def _make_window(cell: 'Cell') -> _order_window.OrderWindow:
    options = cell.options
    return _order_window.make_window(
        options.cores, options.max_starts_in_flight
    )


@attrs.define(slots=True, eq=False)
class Cell:
    """State of a cell under one owner."""

    # Fencing token of the owner, which increases with every change of owner.
    epoch: int
    options: _options.Options = attrs.field(factory=_options.Options)
    now: float = 0.0
    clocks: _clocks.Clocks = attrs.field(factory=_clocks.Clocks)
    config: model.Config = attrs.field(factory=model.Config)
    jobs: dict[str, JobRun] = attrs.field(factory=dict)
    workers: dict[str, Worker] = attrs.field(factory=dict)
    # Workers that ticks examine.
    due: _due.DueWorkers = attrs.field(factory=_due.DueWorkers)
    # Number of worker ids ever added.
    worker_count: int = 0
    # Workers by upstream.
    free_capacity: dict[str, _capacity.FreeCapacity] = attrs.field(
        factory=dict
    )
    usage_by_team: dict[str, _usage.Usage] = attrs.field(factory=dict)
    # Highest rank of any job, and priority of any configured queue.
    least_urgent: int = 0
    # Steps with waiting tasks.
    steps: _waiting.WaitingSteps = attrs.field(factory=_waiting.WaitingSteps)
    # Heap of the steps that start at a set time, as (due Unix ms, name).
    scheduled_steps: list[tuple[int, str]] = attrs.field(factory=list)
    # Free capacity that queries to the policy service are sent for, by worker
    # id and step name, as (priority, size).
    claims_by_worker: dict[str, dict[str, tuple[int, model.Size]]] = (
        attrs.field(factory=dict)
    )
    # Heap of the steps whose successors the policy service is asked about, as
    # (time, name of the step).
    planned_queries: list[tuple[float, str]] = attrs.field(factory=list)
    # When ended jobs were removed from memory, by job id.
    evicted_at: dict[str, float] = attrs.field(factory=dict)
    # Version of the store that this owner restored its state from.
    restored_version: int = 0
    # Jobs whose stored progress is out of date.
    dirty_jobs: dict[str, JobRun] = attrs.field(factory=dict)
    save_in_flight: bool = False
    # The save in flight: last completion of each worker, by its id and
    # incarnation; jobs; ended jobs; ids of workers; and their records.
    saving_completions: dict[tuple[str, int], int] = attrs.field(factory=dict)
    saving_jobs: tuple[str, ...] = ()
    saving_ended: tuple[str, ...] = ()
    saving_workers: tuple[str, ...] = ()
    saving_records: dict[str, tuple[int, str]] = attrs.field(factory=dict)
    # No save is started before this time.
    save_after: float = 0.0
    # Number of jobs and workers in one save; lowered while saves are rejected.
    max_saved: int = effects.MAX_SAVE_ENTRIES
    # Ids of jobs whose records the store rejects even alone.
    rejected_jobs: set[str] = attrs.field(factory=set)
    # When blocked steps are tried again.
    recheck_at: float = 0.0
    # Ids of workers whose stored record is out of date, in that order.
    dirty_workers: dict[str, None] = attrs.field(factory=dict)
    # Workers that may have crashed, by their id and incarnation.
    lost_workers: dict[tuple[str, int], LostWorker] = attrs.field(factory=dict)
    # Runs on trial that are ordered once their trial is stored.
    unsent_runs: list[Run] = attrs.field(factory=list)
    # Number of silent workers, counted on every tick.
    silent_workers: int = 0
    # Workers that a former owner may have used and that are not yet fenced.
    unfenced: set[str] = attrs.field(factory=set)
    # No order of a former owner has any effect after this time.
    in_doubt_until: float = 0.0
    # Completions of jobs that are not known, because they were evicted or
    # have not arrived yet, as (time of the report, worker id, completion).
    early_completions: list[tuple[float, str, events.RunCompletion]] = (
        attrs.field(factory=list)
    )
    # Until when the former owner may have sent orders.
    former_owner_until: float = float('-inf')
    # Whether the stored state has been restored, and when.
    is_restored: bool = False
    restored_at: float = 0.0
    # What teams may be running on unfenced workers, and when to recount it.
    in_doubt_by_team: dict[str, _usage.Usage] = attrs.field(factory=dict)
    in_doubt_recount_at: float = 0.0
    # What teams were found running when this owner took over.
    adopted_by_team: dict[str, _usage.Usage] = attrs.field(factory=dict)
    # Mean ratio of run time to estimate, overall and by kind of worker.
    run_time_ratio: _usage.RunningMean = attrs.field(
        factory=_usage.RunningMean
    )
    run_time_ratio_by_kind: dict[str, _usage.RunningMean] = attrs.field(
        factory=dict
    )
    run_times: _histograms.RunTimes = attrs.field(factory=_histograms.RunTimes)
    # Average run time by image.
    ms_by_image: dict[str, float] = attrs.field(factory=dict)
    # Totals by upstream. Slots and waiting tasks are counted on every tick.
    # Free slots and urgent runs are also updated with every run.
    pools: dict[str, _usage.Pool] = attrs.field(factory=dict)
    headroom_updated_at: float = 0.0
    data_centres: dict[str, DataCentre] = attrs.field(factory=dict)
    # Names of the evacuated data centres, and those of them that no worker has
    # had since they were evacuated.
    evacuated: frozenset[str] = frozenset()
    unknown_evacuations: set[str] = attrs.field(factory=set)
    # Most urgent priority of the steps that reserve a worker, by worker id,
    # as of the current placement pass.
    worker_reservations: _priorities.Priorities = attrs.field(
        factory=_priorities.Priorities
    )
    # Most urgent priority of the steps that wait for a team limit, by team.
    limit_reservations: _priorities.Priorities = attrs.field(
        factory=_priorities.Priorities
    )
    # Workers on which the current step just started tasks, by task index.
    placements: dict[int, str] = attrs.field(factory=dict)
    window: _order_window.OrderWindow = attrs.field(
        default=attrs.Factory(_make_window, takes_self=True)
    )
    # Recent lag of the owner's event loop.
    lag_s: float = 0.0
    shares: _tallies.Shares = attrs.field(factory=_tallies.Shares)
    backlog: _tallies.Backlog = attrs.field(factory=_tallies.Backlog)
    # Starts per second that the owner sustains; 0 if unknown.
    start_rate: float = 0.0
    # Effects of the event being handled.
    outbox: list[effects.Effect] = attrs.field(factory=list)

    @property
    def waiting(self) -> dict[str, StepRun]:
        """Return the steps with waiting tasks, by name."""
        return self.steps.by_name

    def emit(self, effect: effects.Effect) -> None:
        """Append an effect for the caller to carry out."""
        self.outbox.append(effect)

    def log_decision(self, decision: str, **fields: Any) -> None:
        """Append a structured log line about a decision."""
        self.outbox.append(effects.LogDecision(decision, fields))

    @property
    def wall_ms(self) -> float:
        """Return the Unix time in milliseconds by which jobs are due."""
        return self.now * 1000 + self.clocks.offset_ms

    @property
    def timeout_slack_s(self) -> float:
        """Return how much later than usual the owner may read an answer."""
        options = self.options
        return min(options.lag_slack_factor * self.lag_s, options.max_slack_s)

    def usage(self, team: str) -> _usage.Usage:
        """Return the usage of a team."""
        usage = self.usage_by_team.get(team)
        if usage is None:
            usage = self.usage_by_team[team] = _usage.Usage()
        return usage

    def adopted_usage(self, team: str) -> _usage.Usage:
        """Return what a team was found running when this owner took over."""
        return self.adopted_by_team.setdefault(team, _usage.Usage())

    def pool(self, upstream: str) -> _usage.Pool:
        """Return the pool of an upstream."""
        pool = self.pools.get(upstream)
        if pool is None:
            pool = self.pools[upstream] = _usage.Pool()
        return pool

    def add_worker(self, worker: Worker) -> None:
        """Add a worker, or replace a former incarnation by it."""
        former = self.workers.get(worker.id)
        if former is not None:
            worker.number = former.number
            if former.index is not None:
                former.index.remove(former)
        else:
            worker.number = self.worker_count
            self.worker_count += 1
        self.workers[worker.id] = worker
        self.index_worker(worker)

    def remove_worker(self, worker: Worker) -> None:
        """Remove a worker."""
        del self.workers[worker.id]
        if worker.index is not None:
            worker.index.remove(worker)

    def workers_in(self, ids: set[str]) -> list[Worker]:
        """Return the workers of a set in the order of the cell.

        Ids of workers that were removed are dropped from the set.
        """
        if not ids:
            return []
        found = [self.workers[i] for i in ids if i in self.workers]
        if len(found) < len(ids):
            ids.intersection_update(self.workers)
        found.sort(key=lambda worker: worker.number)
        return found

    def index_worker(self, worker: Worker) -> None:
        """Update the index for a worker whose entry has changed."""
        if worker.index is not None:
            worker.index.remove(worker)
        self.capacity_of(worker.entry.upstream).add(worker)

    def capacity_of(self, upstream: str) -> _capacity.FreeCapacity:
        """Return the index of the workers of an upstream."""
        index = self.free_capacity.get(upstream)
        if index is None:
            index = self.free_capacity[upstream] = _capacity.FreeCapacity()
        return index

    def mark_data_centre_reachable(self, worker: Worker) -> None:
        """Record a response from the data centre of a worker."""
        self.data_centre(worker).unanswered_since = None

    def data_centre(self, worker: Worker) -> DataCentre:
        """Return the reachability of a worker's data centre."""
        return self.data_centres.setdefault(
            worker.entry.data_centre, DataCentre()
        )

    def worker(self, worker_id: str, incarnation: int) -> Worker | None:
        """Return a worker if this is its current incarnation."""
        worker = self.workers.get(worker_id)
        is_current = worker and worker.entry.incarnation == incarnation
        return worker if is_current else None

    def step(self, name: str) -> StepRun | None:
        """Return the step of a name, or None if the cell has no such step."""
        job_id, _, rest = name.partition('.')
        job = self.jobs.get(job_id)
        occurrence, _, number = rest.partition('.')
        if job is None or not (occurrence.isdigit() and number.isdigit()):
            return None
        return job.steps.get((int(occurrence), int(number)))

    def task(self, name: str) -> Task | None:
        """Return the task of a name, or None if the cell has no such task."""
        step_name, _, index = name.rpartition('.')
        step = self.step(step_name)
        if step is None or not index.isdigit():
            return None
        is_known = int(index) < len(step.tasks)
        return step.tasks[int(index)] if is_known else None

    def schedule(self, due_ms: int, name: str) -> None:
        """Schedule a step for a time, in Unix milliseconds."""
        heapq.heappush(self.scheduled_steps, (due_ms, name))
