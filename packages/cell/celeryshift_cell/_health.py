"""Workers that fail, hang or are slow, told apart from bad jobs."""

from celeryshift_cell import _state
from celeryshift_cell import model

LEARNING_RATE = 0.2


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
        if run is not None and task.step.spec.image:
            _learn(cell, task.step.spec, (cell.now - run.since) * 1000)
    elif ending is model.Ending.FAILED:
        worker.failed_jobs.add(task.step.job.spec.id)
        if len(worker.failed_jobs) >= cell.options.quarantine_failures:
            _quarantine(cell, worker, 'fails what it starts')


def _learn(cell: _state.Cell, spec: model.Step, took_ms: float) -> None:
    known = cell.ms_by_image.get(spec.image)
    if known is None:
        cell.ms_by_image[spec.image] = took_ms
    else:
        cell.ms_by_image[spec.image] = known + LEARNING_RATE * (
            took_ms - known
        )


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


def unanswered(cell: _state.Cell, worker: _state.Worker) -> None:
    """Ask a worker at once that has left an order unanswered."""
    worker.is_silent = True
    worker.ask_at = cell.now
    worker.quarantined_until = max(
        worker.quarantined_until, cell.now + cell.options.hold_retry_s
    )
