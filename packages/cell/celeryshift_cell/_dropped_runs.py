"""Log lines about runs that are dropped without a result.

A dropped run is taken to have ended, so its task may start again. If its
worker reports it later, it was dropped too early.
"""

from celeryshift_cell import _state

LEASE_EXPIRED = 'lease ran out'
INCARNATION_ENDED = 'worker restarted'
ADDRESS_TAKEN_OVER = 'another worker answers'
# Reasons that mean that the worker was lost together with the run.
WORKER_LOST = frozenset({LEASE_EXPIRED, INCARNATION_ENDED, ADDRESS_TAKEN_OVER})


def record(cell: _state.Cell, run: _state.Run, reason: str) -> None:
    """Log why a run is dropped, and remember it for later reports."""
    task = run.task
    worker = run.worker
    task.dropped_runs[worker.id, run.number] = reason, cell.now
    cell.log_decision(
        'run_gone',
        job=task.step.job.spec.id,
        task=task.name,
        run=run.number,
        worker=worker.id,
        why=reason,
        phase=run.phase.value,
        life=worker.entry.incarnation,
        workers_lost=_count_workers_lost(task),
        survived_ms=_survived_ms(run),
        confirmed_ms=_age_ms(cell, run.confirmed_at),
        answered_ms=_age_ms(cell, worker.clock_read_at),
        lease_left_ms=round((worker.lease_until - cell.now) * 1000),
        lease_clock_age_ms=round(worker.lease_clock_age_s * 1000),
    )


def log_report(
    cell: _state.Cell,
    worker: _state.Worker,
    task: _state.Task,
    number: int,
    state: str,
) -> None:
    """Log that a worker reports a run, if that run was dropped."""
    dropped = task.dropped_runs.get((worker.id, number))
    if dropped is None:
        return
    reason, dropped_at = dropped
    cell.log_decision(
        'dropped_run_reported',
        job=task.step.job.spec.id,
        task=task.name,
        run=number,
        worker=worker.id,
        state=state,
        why=reason,
        dropped_ms=_age_ms(cell, dropped_at),
        other_runs={run.number: run.worker.id for run in task.runs.values()},
    )


def _count_workers_lost(task: _state.Task) -> int:
    """Return how many workers were lost under a task, for this owner."""
    return len(
        {
            worker_id
            for (worker_id, _), (why, _) in task.dropped_runs.items()
            if why in WORKER_LOST
        }
    )


def _survived_ms(run: _state.Run) -> int | None:
    """Return how long the worker answered after it had confirmed a run."""
    if not run.confirmed_at:
        return None
    return round((run.worker.clock_read_at - run.confirmed_at) * 1000)


def _age_ms(cell: _state.Cell, at: float) -> int | None:
    """Return how long ago a time was, or None if it is not set."""
    return round((cell.now - at) * 1000) if at else None
