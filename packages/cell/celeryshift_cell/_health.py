"""Detects workers that fail tasks or are slow.

Failures are counted by job, so that a worker is not quarantined because of the
failures of one faulty job.
"""

from celeryshift_cell import _cold
from celeryshift_cell import _interference
from celeryshift_cell import _jobs
from celeryshift_cell import _run_times
from celeryshift_cell import _state
from celeryshift_cell import _usage
from celeryshift_cell import model

# Weight of the newest run time in the average of an image.
LEARNING_RATE = 0.2
# Ratios of run time to estimate are clamped to this range; values beyond it
# say nothing about the worker.
MIN_RATIO = 0.1
MAX_RATIO = 10.0
# Images whose run times are kept.
MAX_IMAGES = 4096
# Maximum weight of a worker's own mean, as a number of samples. A new worker
# reaches it after as many tasks.
MAX_SAMPLES = 12


def record_result(
    cell: _state.Cell,
    worker: _state.Worker,
    task: _state.Task,
    run: _state.Run | None,
    result: model.RunResult,
) -> None:
    """Update the failures and slowness of a worker from a run's result."""
    if result is model.RunResult.DONE:
        worker.failed_jobs.clear()
        if run is not None and run.confirmed_at:
            run_s = cell.now - run.since
            task.step.slowest_s = max(task.step.slowest_s, run_s)
            if not _cold.was_cold_during(run):
                _learn_run_time(cell, worker, task, run_s * 1000)
                if task.step.spec.allows_copies:
                    average_ms = run_s * 1000 * _run_times.speed(cell, worker)
                    task.step.average_run_times_ms.append(average_ms)
                _interference.learn_run_time(cell, run)
                _run_times.learn(cell, worker, run)
    elif result is model.RunResult.FAILED:
        if len(worker.failed_jobs) < cell.options.quarantine_failures:
            worker.failed_jobs.add(task.step.job.spec.id)
        if len(worker.failed_jobs) >= cell.options.quarantine_failures:
            quarantine(
                cell,
                worker,
                cell.options.quarantine_s,
                'fails what it starts',
            )


def _learn_run_time(
    cell: _state.Cell,
    worker: _state.Worker,
    task: _state.Task,
    run_ms: float,
) -> None:
    spec = task.step.spec
    if spec.estimate_ms <= 0 or spec.is_gang or task.checkpoint:
        return
    # Estimates are inaccurate, but equally so for all workers.
    ratio = min(max(run_ms / spec.estimate_ms, MIN_RATIO), MAX_RATIO)
    kind = worker.entry.kind
    cell.run_time_ratio.add(ratio)
    cell.run_time_ratio_by_kind.setdefault(kind, _usage.RunningMean()).add(
        ratio
    )
    worker.run_time_ratio.add(ratio)
    kind_ratio = cell.run_time_ratio_by_kind[kind].value
    samples = cell.options.kind_samples
    weight = min(worker.run_time_ratio.count, MAX_SAMPLES)
    worker_ratio = (
        kind_ratio * samples + worker.run_time_ratio.value * weight
    ) / (samples + weight)
    worker.slowness = worker_ratio / cell.run_time_ratio.value
    if spec.image:
        average_ms = cell.ms_by_image.get(spec.image, run_ms)
        average_ms += LEARNING_RATE * (run_ms - average_ms)
        cell.ms_by_image[spec.image] = average_ms
        if len(cell.ms_by_image) > MAX_IMAGES:
            del cell.ms_by_image[next(iter(cell.ms_by_image))]


def copy_stragglers(cell: _state.Cell) -> None:
    """Queue copies of tasks that take far longer than expected."""
    for worker in cell.workers_in(cell.due.copyable):
        if not any(
            run.task.step.spec.allows_copies for run in worker.runs.values()
        ):
            cell.due.copyable.discard(worker.id)
            continue
        for run in worker.runs.values():
            step = run.task.step
            if not step.spec.allows_copies or len(run.task.runs) > 1:
                continue
            if cell.now - run.since > _straggler_after_s(cell, step):
                _jobs.queue_copy(cell, run.task, 'straggler')


def _straggler_after_s(cell: _state.Cell, step: _state.StepRun) -> float:
    """Return the run time after which a task counts as a straggler."""
    options = cell.options
    if 2 * step.remaining_tasks <= step.spec.count:
        # Once half of the step is done, its own run times predict the rest
        # better than the estimate.
        return step.slowest_s * options.sibling_factor + options.straggler_s
    expected_s = _jobs.expected_ms(cell, step) / 1000
    return expected_s * options.straggler_factor + options.straggler_s


def quarantine(
    cell: _state.Cell, worker: _state.Worker, duration_s: float, reason: str
) -> None:
    """Start no tasks on a worker for a while."""
    if worker.quarantined_until >= cell.now + duration_s / 2:
        return
    worker.quarantined_until = cell.now + duration_s
    cell.log_decision(
        'worker_quarantined',
        worker=worker.id,
        why=reason,
        failed_jobs=len(worker.failed_jobs),
        for_s=duration_s,
    )


def copy_runs(cell: _state.Cell, worker: _state.Worker) -> None:
    """Queue copies of the runs of a silent worker, where allowed."""
    for run in worker.runs.values():
        if run.task.step.spec.allows_copies and len(run.task.runs) == 1:
            _jobs.queue_copy(cell, run.task, 'worker silent')
