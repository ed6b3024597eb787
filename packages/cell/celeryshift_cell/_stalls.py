"""Detects stalled tasks on workers that answer, and moves them.

A faulty worker may answer polls while its runs make no progress, which would
delay their jobs for as long as the fault lasts. Workers report the progress of
every run, so a stall shows within two polls and the task is started on another
worker.
"""

from celeryshift_cell import _fillers
from celeryshift_cell import _health
from celeryshift_cell import _jobs
from celeryshift_cell import _state
from celeryshift_cell import _stops

Phase = _state.Phase

# A run without progress for this time has stalled. Resuming from a checkpoint
# takes up to 0.6 s.
STALL_S = 0.9
# The same for long tasks, as a share of the run time. Progress is reported in
# whole percents, so the report of a long task stays the same for a hundredth
# of its run time; the rest is a margin for estimates that are far off.
STALL_SHARE = 0.1
# A service that is not ready by this time after its start has stalled.
STARTUP_S = 3.0
# A task is moved at most this many times, since the cause may be the task
# itself.
MAX_MOVES = 2
# How long a worker with a stalled task gets no new tasks.
STALL_QUARANTINE_S = 2.0


def check_worker(cell: _state.Cell, worker: _state.Worker) -> None:
    """Move the stalled tasks of a worker, as of its last report."""
    for run in list(worker.runs.values()):
        if run.phase is Phase.RUNNING and _is_stalled(cell, run):
            _move_task(cell, worker, run)


def _is_stalled(cell: _state.Cell, run: _state.Run) -> bool:
    spec = run.task.step.spec
    if spec.is_gang or spec.is_filler or run.percent >= _fillers.READY_PERCENT:
        # Members of a gang wait for each other, and fillers for idle cores. A
        # run at 100 % is a service that is ready, or has no progress left to
        # report.
        return False
    if spec.is_lasting:
        return cell.now - run.confirmed_at > STARTUP_S
    return cell.now - run.progressed_at > _stall_timeout_s(cell, run)


def _stall_timeout_s(cell: _state.Cell, run: _state.Run) -> float:
    expected_s = _jobs.expected_ms(cell, run.task.step) / 1000
    if run.percent:
        elapsed_s = run.progressed_at - run.confirmed_at
        expected_s = max(expected_s, elapsed_s * 100 / run.percent)
    return max(STALL_S, STALL_SHARE * expected_s)


def _move_task(
    cell: _state.Cell, worker: _state.Worker, run: _state.Run
) -> None:
    task = run.task
    step = task.step
    if len(task.avoided_workers) >= MAX_MOVES or len(task.runs) > 1:
        return
    if not _fillers.may_interrupt(step, run):
        return
    _health.quarantine(
        cell, worker, STALL_QUARANTINE_S, 'its tasks stand still'
    )
    task.avoided_workers.add(worker.id)
    if step.spec.allows_copies and not step.spec.is_lasting:
        _jobs.queue_copy(cell, task, 'stands still')
    else:
        _stops.stop(cell, run, 'stands still')
