"""Placement by expected completion, and copies by expected gain.

Both apply only where the speeds of kinds of workers differ; see
``_run_times``. Urgent and short tasks start where they complete soonest. Long
tasks start on slower workers, which leaves the fast ones to the others.

A running task gets a copy if the copy is expected to save its step more time
than it costs others. What it costs others is its run time multiplied by the
share of the capacity that is in use, which is the chance that something else
would have run there.
"""

import collections
import math
import statistics

import attrs

from celeryshift_cell import _jobs
from celeryshift_cell import _requirements
from celeryshift_cell import _run_times
from celeryshift_cell import _state
from celeryshift_cell import model

# A task that takes no longer than this frees its worker soon enough for the
# objectives of urgent work, so that it may use a fast one.
SHORT_MS = 1000.0
# The last tasks of a step decide when it ends: those of the last eighth of
# many tasks, once the others have run for a quarter of their time.
MIN_MANY_TASKS = 8
LAST_SHARE = 8
LAST_AFTER = 0.25
# Share of the free capacity of an upstream that copies may use.
COPIES_SHARE = 0.05
# If the other tasks of a step tell nothing, a run that takes longer than
# expected may have a wrong estimate, which a copy would have too. So only
# those beyond this quantile of the run times are copied.
LATE_QUANTILE = 0.9
# Number of tasks of a step that tell how long the others take.
MIN_SIBLINGS = 3
# Progress from which the run time of a run is projected.
MIN_PERCENT = 4


def cost(
    cell: _state.Cell,
    step: _state.StepRun,
    task: _state.Task,
    worker: _state.Worker,
) -> tuple[float, ...]:
    """Return the cost of the speed of a worker for a task."""
    log_factor = math.log(cell.options.similar_factor)
    rank = math.log(_run_times.speed(cell, worker)) // log_factor
    if _completes_soon(cell, step, task):
        return (-rank,)
    return (worker.slowness > cell.options.slow_factor, rank)


def _completes_soon(
    cell: _state.Cell, step: _state.StepRun, task: _state.Task
) -> bool:
    """Return whether a task is to complete as soon as possible."""
    if step.job.queue.priority == 0 or task.runs:
        return True
    if step.spec.is_lasting:
        return False
    expected_ms = _jobs.expected_ms(cell, step)
    if expected_ms <= SHORT_MS:
        return True
    count = step.spec.count
    waited_ms = (cell.now - step.ready_at) * 1000
    return (
        count >= MIN_MANY_TASKS
        and len(step.pending) <= count // LAST_SHARE
        and waited_ms >= LAST_AFTER * expected_ms
    )


@attrs.define(slots=True, eq=False)
class _Totals:
    """Capacity of an upstream, in millicores, and what waits for it."""

    capacity: int = 0
    free: int = 0
    # Used by copies that run or wait.
    copies: float = 0.0
    # Most urgent priority of the steps that wait for capacity.
    waiting_priority: float = math.inf
    # Workers with free capacity, the fastest first.
    free_workers: list[_state.Worker] = attrs.field(factory=list)

    def add(self, worker: _state.Worker) -> None:
        """Add a usable worker."""
        self.capacity += worker.entry.capacity.cpu_milli
        self.free += max(0, worker.free_cpu)
        if worker.free_cpu > 0:
            self.free_workers.append(worker)

    @property
    def busy_share(self) -> float:
        """Return the share of the capacity that is in use."""
        return 1 - self.free / max(self.capacity, 1)

    def allows(self, step: _state.StepRun) -> bool:
        """Return whether one more copy is within the budget.

        At least one is allowed, since the share of a small upstream may be
        less than a task.
        """
        if step.job.queue.priority >= self.waiting_priority:
            return False
        used = self.copies + step.spec.size.cpu_milli
        return not self.copies or used <= COPIES_SHARE * self.free


def queue_copies(cell: _state.Cell) -> None:
    """Queue the copies with the highest expected gain."""
    fastest = max(cell.run_times.speed_by_kind.values(), default=1.0)
    fastest *= _run_times.MAX_LEAD
    margin_ms = cell.options.straggler_s * 1000
    typical_ms_by_step: dict[str, float | None] = {}
    late: list[tuple[_state.Run, float, float]] = []
    for worker in cell.workers.values():
        for run in worker.runs.values():
            if not _may_copy(cell, run):
                continue
            step = run.task.step
            if step.name not in typical_ms_by_step:
                typical_ms_by_step[step.name] = _typical_ms(cell, step)
            remaining_ms, copy_ms = _expected(
                cell, run, typical_ms_by_step[step.name]
            )
            if remaining_ms - copy_ms / fastest > margin_ms:
                late.append((run, remaining_ms, copy_ms))
    if late:
        _queue_late(cell, late)


def _queue_late(
    cell: _state.Cell, late: list[tuple[_state.Run, float, float]]
) -> None:
    """Queue copies of runs, given with their remaining and a copy's time."""
    totals_by_upstream = _count(cell)
    gains: list[tuple[float, str, _state.Run]] = []
    for run, remaining_ms, copy_ms in late:
        step = run.task.step
        totals = totals_by_upstream[step.job.queue.upstream]
        if totals.allows(step):
            cost_ms = _copy_cost_ms(cell, run, copy_ms, totals)
            if remaining_ms - cost_ms > cell.options.straggler_s * 1000:
                gains.append((cost_ms - remaining_ms, run.task.name, run))
    for _, _, run in sorted(gains, key=lambda gain: gain[:2]):
        step = run.task.step
        totals = totals_by_upstream[step.job.queue.upstream]
        if totals.allows(step):
            totals.copies += step.spec.size.cpu_milli
            _jobs.queue_copy(cell, run.task, 'expected gain')


def _may_copy(cell: _state.Cell, run: _state.Run) -> bool:
    task, spec = run.task, run.task.step.spec
    return (
        spec.allows_copies
        and len(task.runs) == 1
        and task.index not in task.step.pending
        and run.phase is not _state.Phase.STOPPING
        and not (spec.is_gang or spec.is_lasting or spec.is_filler)
        and cell.now - run.since > cell.options.straggler_s
    )


def _count(cell: _state.Cell) -> dict[str, _Totals]:
    """Return the totals of all upstreams."""
    by_upstream: dict[str, _Totals] = collections.defaultdict(_Totals)
    for worker in cell.workers.values():
        if worker.is_usable(cell.now):
            by_upstream[worker.entry.upstream].add(worker)
        for run in worker.runs.values():
            upstream = run.task.step.job.queue.upstream
            by_upstream[upstream].copies += _copies_milli(run)
    for totals in by_upstream.values():
        totals.free_workers.sort(key=lambda w: -_run_times.speed(cell, w))
    for step in cell.waiting.values():
        if not _waits_for_capacity(step):
            continue
        totals = by_upstream[step.job.queue.upstream]
        totals.waiting_priority = min(
            totals.waiting_priority, step.job.queue.priority
        )
    return by_upstream


def _copies_milli(run: _state.Run) -> float:
    """Return the share of a run in the millicores of copies of its task."""
    task = run.task
    copies = len(task.runs) - 1 + (task.index in task.step.pending)
    return task.step.spec.size.cpu_milli * copies / len(task.runs)


def _waits_for_capacity(step: _state.StepRun) -> bool:
    """Return whether a step waits for more than copies or its team."""
    if step.spec.is_filler or step.blocked_by_limit:
        return False
    copies = sum(
        bool(task.runs) and task.index in step.pending
        for task in step.tasks.known
    )
    return copies < len(step.pending)


def _copy_cost_ms(
    cell: _state.Cell, run: _state.Run, copy_ms: float, totals: _Totals
) -> float:
    """Return when a copy would end, plus what it costs others."""
    step = run.task.step
    for worker in totals.free_workers:
        if _may_run(run, step.spec, worker):
            copy_ms /= _run_times.speed(cell, worker)
            service = _requirements.policy_service(step)
            wait_ms = service.decision_ms if service is not None else 0.0
            return wait_ms + copy_ms * (1 + totals.busy_share)
    return math.inf


def _typical_ms(cell: _state.Cell, step: _state.StepRun) -> float | None:
    """Return the run time of the tasks of a step on an average worker.

    It comes from how long tasks of the step took or, by their progress, will
    take, since they have the same error of the estimate. Return None if these
    are few.
    """
    times_ms = list(step.average_run_times_ms)
    for task in step.tasks.known:
        for run in task.runs.values():
            projected_ms = _projected_ms(run)
            if projected_ms is not None:
                speed = _run_times.speed(cell, run.worker)
                times_ms.append(projected_ms * speed)
    if len(times_ms) < MIN_SIBLINGS or 2 * len(times_ms) < step.spec.count:
        return None
    return statistics.median(times_ms)


def _expected(
    cell: _state.Cell, run: _state.Run, typical_ms: float | None
) -> tuple[float, float]:
    """Return the expected remaining time, and the run time of a copy.

    The latter is that on an average worker.
    """
    if typical_ms is None:
        return _expected_by_model(cell, run)
    elapsed_ms = (cell.now - run.since) * 1000
    projected_ms = _projected_ms(run)
    if projected_ms is not None:
        return max(0.0, projected_ms - elapsed_ms), typical_ms
    speed = _run_times.speed(cell, run.worker)
    if elapsed_ms * speed <= typical_ms * cell.options.sibling_factor:
        return 0.0, typical_ms
    # It has run for longer than expected, and may do so once more.
    return elapsed_ms, typical_ms


def _projected_ms(run: _state.Run) -> float | None:
    """Return the run time that the progress of a run suggests, if any."""
    if run.percent < MIN_PERCENT or run.is_resumed or not run.ordered_at:
        return None
    return (run.progressed_at - run.ordered_at) * 100_000 / run.percent


def _expected_by_model(
    cell: _state.Cell, run: _state.Run
) -> tuple[float, float]:
    """Return the same as ``_expected`` from the model."""
    step = run.task.step
    ratios = _run_times.ratios_of(cell, step)
    elapsed_ms = (cell.now - run.since) * 1000
    if ratios is None:
        copy_ms = _jobs.expected_ms(cell, step)
        is_late = elapsed_ms > copy_ms * cell.options.straggler_factor
        return elapsed_ms if is_late else 0.0, copy_ms
    estimate_ms = step.spec.estimate_ms
    speed = _run_times.speed(cell, run.worker)
    copy_ms = ratios.mean_above(0.0) * estimate_ms
    # On an average worker.
    ratio = elapsed_ms * speed / estimate_ms
    if ratio <= ratios.quantile(LATE_QUANTILE):
        return 0.0, copy_ms
    remaining = ratios.mean_above(ratio) - ratio
    return (remaining or ratio) * estimate_ms / speed, copy_ms


def _may_run(run: _state.Run, spec: model.Step, worker: _state.Worker) -> bool:
    return (
        worker is not run.worker
        and worker.has_capacity(spec)
        and _requirements.meets_constraints(run.task.step, worker)
    )
