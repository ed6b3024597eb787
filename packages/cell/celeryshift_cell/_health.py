"""Workers that fail, hang or are slow, told apart from bad jobs."""

from celeryshift_cell import _jobs
from celeryshift_cell import _state
from celeryshift_cell import model

# Weight of the newest time of an image.
LEARNING_RATE = 0.2
# Ratios of times to estimates beyond these say nothing of the worker.
MIN_RATIO = 0.1
MAX_RATIO = 10.0
# A worker that turns slow or fast again shows after about so many tasks.
MAX_SAMPLES = 12


def ended(
    cell: _state.Cell,
    worker: _state.Worker,
    task: _state.Task,
    run: _state.Run | None,
    ending: model.RunResult,
) -> None:
    """Learn from the end of a run how its worker fares."""
    if ending is model.RunResult.DONE:
        worker.failed_jobs.clear()
        if run is not None and run.confirmed_at:
            took_s = cell.now - run.since
            task.step.slowest_s = max(task.step.slowest_s, took_s)
            _learn(cell, worker, task, took_s * 1000)
    elif ending is model.RunResult.FAILED:
        worker.failed_jobs.add(task.step.job.spec.id)
        if len(worker.failed_jobs) >= cell.options.quarantine_failures:
            pause(
                cell,
                worker,
                cell.options.quarantine_s,
                'fails what it starts',
            )


def _learn(
    cell: _state.Cell,
    worker: _state.Worker,
    task: _state.Task,
    took_ms: float,
) -> None:
    spec = task.step.spec
    if spec.estimate_ms <= 0 or spec.is_gang or task.checkpoint:
        return
    # Estimates are off, but alike for all workers.
    ratio = min(max(took_ms / spec.estimate_ms, MIN_RATIO), MAX_RATIO)
    kind = worker.entry.kind
    cell.speed.add(ratio)
    cell.speed_by_kind.setdefault(kind, _state.Mean()).add(ratio)
    worker.speed.add(ratio)
    of_kind = cell.speed_by_kind[kind].value
    samples = cell.options.kind_samples
    weight = min(worker.speed.count, MAX_SAMPLES)
    mixed = (of_kind * samples + worker.speed.value * weight) / (
        samples + weight
    )
    worker.slowness = mixed / cell.speed.value
    if spec.image:
        known = cell.ms_by_image.get(spec.image, took_ms)
        known += LEARNING_RATE * (took_ms - known)
        cell.ms_by_image[spec.image] = known


def stragglers(cell: _state.Cell) -> None:
    """Start copies of tasks that take far longer than expected."""
    for worker in cell.workers.values():
        for run in worker.runs.values():
            step = run.task.step
            if not step.spec.allows_copies or len(run.task.runs) > 1:
                continue
            if cell.now - run.since > _longest_s(cell, step):
                _jobs.copy(cell, run.task, 'straggler')


def _longest_s(cell: _state.Cell, step: _state.StepRun) -> float:
    """Give how long a task of a step takes where nothing is wrong."""
    options = cell.options
    if 2 * step.left <= step.spec.count:
        # Most of the step is done, which tells more than the estimate.
        return step.slowest_s * options.sibling_factor + options.straggler_s
    expected_s = _jobs.expected_ms(cell, step.spec) / 1000
    return expected_s * options.straggler_factor + options.straggler_s


def pause(
    cell: _state.Cell, worker: _state.Worker, for_s: float, why: str
) -> None:
    """Start nothing on a worker for a while."""
    if worker.quarantined_until >= cell.now + for_s / 2:
        return
    worker.quarantined_until = cell.now + for_s
    cell.note(
        'worker_quarantined',
        worker=worker.id,
        why=why,
        failed_jobs=len(worker.failed_jobs),
        for_s=for_s,
    )


def copy_runs(cell: _state.Cell, worker: _state.Worker) -> None:
    """Start copies of what a silent worker runs, where they are allowed."""
    for run in worker.runs.values():
        if run.task.step.spec.allows_copies and len(run.task.runs) == 1:
            _jobs.copy(cell, run.task, 'worker silent')
