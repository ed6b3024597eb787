"""Orders to stop runs, and their outcomes."""

from celeryshift_cell import _jobs
from celeryshift_cell import _state
from celeryshift_cell import effects
from celeryshift_cell import events
from celeryshift_cell import model

Outcome = events.Outcome
Phase = _state.Phase


def stop(cell: _state.Cell, run: _state.Run, reason: str) -> None:
    """Order a worker to stop a run."""
    run.phase = Phase.STOPPING
    cell.due.stopping.add(run.worker.id)
    run.since = cell.now
    entry = run.worker.entry
    cell.log_decision(
        'run_stopped',
        job=run.task.step.job.spec.id,
        task=run.task.name,
        run=run.number,
        worker=entry.id,
        why=reason,
    )
    cell.emit(
        effects.StopRun(
            entry.id,
            entry.incarnation,
            entry.address,
            run.task.name,
            run.number,
        )
    )


def stop_job(cell: _state.Cell, job: _state.JobRun, reason: str) -> None:
    """Stop all runs of a job."""
    for step in job.steps.known:
        for task in step.tasks.known:
            for run in task.runs.values():
                if run.phase is not Phase.STOPPING:
                    stop(cell, run, reason)


def stop_gang(cell: _state.Cell, step: _state.StepRun, number: int) -> None:
    """Stop all runs of a gang that can't be complete any more."""
    for task in step.tasks.known:
        run = task.runs.get(number)
        if run is not None and run.phase is not Phase.STOPPING:
            stop(cell, run, 'gang incomplete')


def give_up(cell: _state.Cell, tasks: list[_state.Task]) -> None:
    """Fail the jobs of tasks that crash their workers."""
    for task in tasks:
        job = task.step.job
        if job.state in _jobs.FINAL:
            continue
        cell.log_decision(
            'task_given_up',
            job=job.spec.id,
            task=task.name,
            workers=[worker for worker, _ in task.losses_by_worker],
        )
        _jobs.finish(cell, job, model.JobState.FAILED)
        stop_job(cell, job, 'its task crashes workers')


def handle_stop_answered(
    cell: _state.Cell, event: events.StopAnswered
) -> _state.Worker | None:
    """Apply the outcome of a stop order.

    Return the worker if it must be polled at once: if the run was never
    confirmed, only its absence from a later poll shows that it is over.
    """
    worker = cell.workers.get(event.worker_id)
    run = worker and worker.runs.get((event.task, event.run))
    if worker is None or not run:
        return None
    if event.outcome is Outcome.FENCED:
        cell.emit(effects.StepDown(event.worker_id))
    elif (
        event.outcome is Outcome.DONE
        and worker.entry.incarnation == event.incarnation
    ):
        run.stopped_at = cell.now
        return None if run.confirmed_at else worker
    # Without a response, ``retry_stops`` repeats the order.
    return None


def retry_stops(cell: _state.Cell) -> None:
    """Repeat stop orders without a response.

    If the order was acknowledged but the run has not been reported as ended,
    schedule a poll instead.
    """
    retry_s = cell.options.stop_retry_s
    for worker in cell.workers_in(cell.due.stopping):
        if all(
            run.phase is not Phase.STOPPING for run in worker.runs.values()
        ):
            cell.due.stopping.discard(worker.id)
            continue
        if worker.is_silent:
            continue
        for run in list(worker.runs.values()):
            is_due = cell.now - run.since > retry_s
            if run.phase is not Phase.STOPPING or not is_due:
                continue
            if run.stopped_at is None:
                stop(cell, run, 'no answer to the stop')
            elif not worker.polls_in_flight or worker.poll_at is None:
                worker.poll_at = cell.now
