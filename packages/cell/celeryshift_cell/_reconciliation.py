"""Reconciliation of the runs that workers report with those known."""

from celeryshift_cell import _crashes
from celeryshift_cell import _dropped_runs
from celeryshift_cell import _jobs
from celeryshift_cell import _runs
from celeryshift_cell import _state
from celeryshift_cell import _stops
from celeryshift_cell import effects
from celeryshift_cell import events

Phase = _state.Phase

# How long completions of unknown jobs are kept, in case the job arrives late.
EARLY_COMPLETION_S = 10.0


def reconcile(
    cell: _state.Cell,
    worker: _state.Worker,
    event: events.PollAnswered,
    is_first: bool,
) -> None:
    """Compare the runs that a worker reports with those that are known."""
    seen = set()
    worker.unknown_runs.clear()
    for status in event.running:
        seen.add((status.task, status.run))
        run = worker.runs.get((status.task, status.run))
        if run is None:
            run = _adopt(cell, worker, status)
            if run is not None and is_first:
                step = run.task.step
                adopted = cell.adopted_usage(step.job.spec.team)
                adopted.add(step.spec.size, 1)
        if run is not None:
            _update_run(cell, run, status)
    if len(event.ended) >= events.MAX_REPORTED_COMPLETIONS:
        # The missing runs may be among further completions.
        return
    for key, run in list(worker.runs.items()):
        if key not in seen:
            _check_missing_run(cell, run, event.sent_at)


def _adopt(
    cell: _state.Cell, worker: _state.Worker, status: events.RunStatus
) -> _state.Run | None:
    task = cell.task(status.task)
    if task is None:
        worker.unknown_runs.add((status.task, status.run))
        cell.due.unknown.add(worker.id)
        worker_entry = worker.entry
        cell.log_decision('unknown_run', task=status.task, worker=worker.id)
        cell.emit(
            effects.StopRun(
                worker_entry.id,
                worker_entry.incarnation,
                worker_entry.address,
                status.task,
                status.run,
            )
        )
        return None
    _dropped_runs.log_report(cell, worker, task, status.run, 'running')
    other_runs = len(task.runs)
    run = _register_run(cell, task, status.run, worker)
    cell.log_decision(
        'run_adopted',
        job=task.step.job.spec.id,
        task=task.name,
        run=status.run,
        worker=worker.id,
    )
    job = task.step.job
    is_surplus = other_runs and not task.step.spec.allows_copies
    if task.is_done or job.state in _jobs.FINAL or is_surplus:
        _stops.stop(cell, run, 'not wanted')
    return run


def _register_run(
    cell: _state.Cell, task: _state.Task, number: int, worker: _state.Worker
) -> _state.Run:
    """Register a run that exists but was not ordered by this owner."""
    run = _state.Run(task, number, worker, Phase.RUNNING, cell.now)
    _runs.confirm(cell, run)
    run.is_listed = True
    task.last_run = max(task.last_run, number)
    _runs.attach(cell, run)
    return run


def reconcile_new_job(cell: _state.Cell, job: _state.JobRun) -> None:
    """Account for runs of a job that were reported before the job arrived.

    A former owner may have started them. Completed runs count; running ones
    are stopped, and their tasks start again once they have certainly ended.
    """
    prefix = f'{job.spec.id}.'
    _apply_early_completions(cell, prefix)
    for worker in cell.workers_in(cell.due.unknown):
        if not worker.unknown_runs:
            cell.due.unknown.discard(worker.id)
        for name, number in sorted(worker.unknown_runs):
            task = cell.task(name) if name.startswith(prefix) else None
            if task is not None:
                worker.unknown_runs.discard((name, number))
                run = _register_run(cell, task, number, worker)
                _stops.stop(cell, run, 'started before its job was known')


def _apply_early_completions(cell: _state.Cell, prefix: str) -> None:
    early, cell.early_completions = cell.early_completions, []
    for reported_at, worker_id, completion in early:
        if cell.now - reported_at >= EARLY_COMPLETION_S:
            continue
        if not completion.task.startswith(prefix):
            cell.early_completions.append((reported_at, worker_id, completion))
        elif worker_id in cell.workers:
            _runs.handle_run_completed(
                cell, cell.workers[worker_id], completion
            )


def _update_run(
    cell: _state.Cell, run: _state.Run, status: events.RunStatus
) -> None:
    run.is_listed = True
    if run.task.losses_by_worker or run.trial_s:
        _crashes.handle_reported(cell, run.task, run.number)
        _crashes.handle_progress(cell, run)
    if run.phase in (Phase.SENT, Phase.IN_DOUBT):
        cell.window.discard(run.task.name, run.number)
        _runs.confirm(cell, run)
    if status.checkpoint:
        run.task.checkpoint = status.checkpoint
    if status.percent != run.percent:
        run.progressed_at = cell.now
    run.percent = status.percent
    run.load = status.load


def _check_missing_run(
    cell: _state.Cell, run: _state.Run, polled_at: float
) -> None:
    if run.phase is Phase.RUNNING and polled_at > run.confirmed_at:
        _runs.drop_run(cell, run, 'no longer listed')
    elif run.phase is Phase.IN_DOUBT and polled_at > run.since:
        _stops.stop(cell, run, 'start in doubt')
    elif run.stopped_at is not None and polled_at > run.stopped_at:
        _runs.drop_run(cell, run, 'never ran')
