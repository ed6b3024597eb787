"""Detects jobs that can never run, so that they are rejected at once."""

from celeryshift_cell import _jobs
from celeryshift_cell import _state
from celeryshift_cell import _usage
from celeryshift_cell import model


def rejection_reason(cell: _state.Cell, job: model.Job) -> str | None:
    """Return why a job can't run under the current configuration, or None.

    If no workers of the upstream are known, the job is not rejected for lack
    of a large enough worker; it waits for workers to join, or for those that
    have shrunk to grow again.
    """
    team = cell.config.teams_by_name.get(job.team)
    queue = _jobs.queue_of(cell, job)
    workers = [
        worker
        for worker in cell.workers.values()
        if worker.entry.upstream == queue.upstream and worker.is_listed
    ]
    for number, step in enumerate(job.steps):
        if team is not None and not _usage.Usage().allows(
            step.size, team.maximum
        ):
            return f'a task of step {number} is over the limit of {team.name}'
        if workers and not any(fits(step, worker) for worker in workers):
            return f'no worker is large enough for step {number}'
    return None


def fits(step: model.Step, worker: _state.Worker) -> bool:
    """Return whether a worker is large enough and has the required label."""
    label = step.required_label
    if label and label not in worker.entry.labels:
        return False
    size = step.size
    if step.is_filler:
        size = model.Size(0, size.memory_mb, size.accelerators)
    return size.fits(worker.largest_capacity)
