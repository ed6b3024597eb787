"""In-memory state that the owner keeps of its cell as a whole.

What concerns the whole cell belongs here: the jobs and workers by their ids,
and what is counted, saved or scheduled across them. ``_job_state`` has the
state of a single job, and ``_worker_state`` that of a single worker. Unless
noted otherwise, times are in seconds of the monotonic clock.
"""

import heapq
from typing import Any

import attrs

from celeryshift_cell import _capacity
from celeryshift_cell import _clocks
from celeryshift_cell import _due
from celeryshift_cell import _footprint
from celeryshift_cell import _histograms
from celeryshift_cell import _job_state
from celeryshift_cell import _options
from celeryshift_cell import _order_window
from celeryshift_cell import _priorities
from celeryshift_cell import _tallies
from celeryshift_cell import _usage
from celeryshift_cell import _waiting
from celeryshift_cell import _worker_state
from celeryshift_cell import effects
from celeryshift_cell import events
from celeryshift_cell import model

# Each epoch numbers the runs of a task from a range of its own, so that a new
# owner never reuses a run number that it has not seen.
RUNS_PER_EPOCH = 1000

# Names of the classes of ``_job_state`` and ``_worker_state`` for the modules
# that work on the state of a cell, which is most of this package.
Phase = _job_state.Phase
Run = _job_state.Run
Task = _job_state.Task
StepRun = _job_state.StepRun
JobRun = _job_state.JobRun
FINAL = _job_state.FINAL
Worker = _worker_state.Worker


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
    # Whether the configuration is known. Until then, a team or a queue that is
    # missing from it may have any limit and priority.
    is_configured: bool = False
    # Last known limits of teams with jobs that are not configured any more.
    former_teams: dict[str, model.Team] = attrs.field(factory=dict)
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
    # Memory of the jobs.
    footprint: _footprint.Footprint = attrs.field(factory=_footprint.Footprint)
    # Heap of the jobs whose next occurrence is due at a set time, as (due Unix
    # ms, job id), with some that have ended.
    scheduled_jobs: list[tuple[int, str]] = attrs.field(factory=list)
    # Ids of the jobs with due occurrences that have not been released, in the
    # order in which they are examined.
    overdue_jobs: dict[str, None] = attrs.field(factory=dict)
    # Names of the tasks that are kept in memory after their end, with those
    # of their steps, the oldest first.
    retained_tasks: dict[str, str] = attrs.field(factory=dict)
    # Free capacity that queries to the policy service are sent for, by worker
    # id and step name, as (priority, size).
    claims_by_worker: dict[str, dict[str, tuple[int, model.Size]]] = (
        attrs.field(factory=dict)
    )
    # Heap of the steps whose successors the policy service is asked about, as
    # (time, name of the step).
    planned_queries: list[tuple[float, str]] = attrs.field(factory=list)
    # Ended jobs whose final state is stored, by job id.
    recorded_jobs: dict[str, JobRun] = attrs.field(factory=dict)
    # Queries to the policy service that have not been answered.
    queries_in_flight: int = 0
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
    # Number of ticks.
    ticks: int = 0
    # When blocked steps are tried again.
    recheck_at: float = 0.0
    # Ids of workers whose stored record is out of date, in that order.
    dirty_workers: dict[str, None] = attrs.field(factory=dict)
    # Workers that may have crashed, by their id and incarnation.
    lost_workers: dict[tuple[str, int], _worker_state.LostWorker] = (
        attrs.field(factory=dict)
    )
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
    data_centres: dict[str, _worker_state.DataCentre] = attrs.field(
        factory=dict
    )
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

    def data_centre(self, worker: Worker) -> _worker_state.DataCentre:
        """Return the reachability of a worker's data centre."""
        return self.data_centres.setdefault(
            worker.entry.data_centre, _worker_state.DataCentre()
        )

    def worker(self, worker_id: str, incarnation: int) -> Worker | None:
        """Return a worker if this is its current incarnation."""
        worker = self.workers.get(worker_id)
        is_current = worker and worker.entry.incarnation == incarnation
        return worker if is_current else None

    def step(self, name: str) -> StepRun | None:
        """Return the step of a name if it is in memory."""
        found = self._find_step(name)
        if found is None:
            return None
        job, key = found
        return job.steps.get(key)

    def task(self, name: str) -> Task | None:
        """Return the task of a name, or None if the cell has no such task.

        A task that is not in memory has not started under this owner, or has
        completed.
        """
        step_name, _, index = name.rpartition('.')
        found = self._find_step(step_name)
        if found is None or not index.isdigit():
            return None
        job, (occurrence, number) = found
        if int(index) >= job.spec.steps[number].count:
            return None
        return job.steps[occurrence, number].tasks[int(index)]

    def _find_step(self, name: str) -> tuple[JobRun, tuple[int, int]] | None:
        """Return the job and the key of a step, or None if there is none."""
        job_id, _, rest = name.partition('.')
        job = self.jobs.get(job_id)
        occurrence, _, number = rest.partition('.')
        if job is None or not (occurrence.isdigit() and number.isdigit()):
            return None
        key = int(occurrence), int(number)
        if key[0] >= job.spec.occurrences or key[1] >= len(job.spec.steps):
            return None
        return job, key

    def schedule(self, due_ms: int, job_id: str) -> None:
        """Schedule the next occurrence of a job, in Unix milliseconds."""
        heapq.heappush(self.scheduled_jobs, (due_ms, job_id))
