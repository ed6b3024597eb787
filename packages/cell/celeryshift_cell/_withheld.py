"""Keeps workers from discarding completions that came too late.

The runs of a silent worker are dropped when its lease has expired, and their
tasks start again. If the worker was alive and received polls all the while, it
may list such a run as done, although its lease did not lapse: a worker without
runs has nothing that could. Two runs of the task would then count, so the
owner doesn't acknowledge that completion, and the task counts as done by its
later run only. A run that lapsed after it shows that the lease did.
"""

from celeryshift_cell import _dropped_runs
from celeryshift_cell import _state
from celeryshift_cell import events
from celeryshift_cell import model


def check(
    cell: _state.Cell, worker: _state.Worker, completion: events.RunCompletion
) -> None:
    """Withhold a completion if its task has started again meanwhile."""
    if completion.result is model.RunResult.LEASE_EXPIRED:
        worker.withheld_completion = 0
        return
    if completion.result is not model.RunResult.DONE:
        return
    task = cell.task(completion.task)
    if task is None or worker.withheld_completion:
        return
    dropped = task.dropped_runs.get((worker.id, completion.run))
    if dropped is None or dropped[0] != _dropped_runs.LEASE_EXPIRED:
        return
    if task.last_run <= completion.run:
        return
    worker.withheld_completion = completion.number
    cell.log_decision(
        'completion_withheld',
        job=task.step.job.spec.id,
        task=task.name,
        run=completion.run,
        worker=worker.id,
        later_run=task.last_run,
    )
