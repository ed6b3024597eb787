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
    ending: model.Ending,
) -> None:
    """Learn from the end of a run how its worker fares."""
    if ending is model.Ending.DONE:
        worker.failed_jobs.clear()
        if run is not None and run.confirmed_at:
            _learn(cell, worker, task, (cell.now - run.since) * 1000)
    elif ending is model.Ending.FAILED:
        worker.failed_jobs.add(task.step.job.spec.id)
        if len(worker.failed_jobs) >= cell.options.quarantine_failures:
            _quarantine(cell, worker, 'fails what it starts')


def _learn(
    cell: _state.Cell,
    worker: _state.Worker,
    task: _state.Task,
    took_ms: float,
) -> None:
    spec = task.step.spec
    if spec.estimate_ms <= 0 or spec.is_gang or task.saved:
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
    options = cell.options
    for worker in cell.workers.values():
        for run in worker.runs.values():
            step = run.task.step
            if not step.spec.allows_copies or len(run.task.runs) > 1:
                continue
            expected_s = _jobs.expected_ms(cell, step.spec) / 1000
            longest_s = expected_s * options.straggler_factor
            if cell.now - run.since > longest_s + options.straggler_s:
                _jobs.copy(cell, run.task, 'straggler')


def _quarantine(cell: _state.Cell, worker: _state.Worker, why: str) -> None:
    until = cell.now + cell.options.quarantine_s
    if worker.quarantined_until >= cell.now + cell.options.quarantine_s / 2:
        return
    worker.quarantined_until = until
    cell.note(
        'worker_quarantined',
        worker=worker.id,
        why=why,
        failed_jobs=len(worker.failed_jobs),
        for_s=cell.options.quarantine_s,
    )


def copy_runs(cell: _state.Cell, worker: _state.Worker) -> None:
    """Start copies of what a silent worker runs, where they are allowed."""
    for run in worker.runs.values():
        if run.task.step.spec.allows_copies and len(run.task.runs) == 1:
            _jobs.copy(cell, run.task, 'worker silent')
