"""Moves tasks off workers that are about to leave.

A worker that leaves takes with it whatever still runs. Its end is certain
only once its lease has run out, so a task that cannot end in time is stopped
while the worker still answers, which also saves its checkpoint.
"""

from celeryshift_cell import _jobs
from celeryshift_cell import _runs
from celeryshift_cell import _state

Phase = _state.Phase


def move(cell: _state.Cell) -> None:
    """Stop what would not end before its worker leaves."""
    for worker in cell.workers.values():
        if not worker.entry.is_draining or worker.is_silent:
            continue
        left_s = _left_s(cell, worker)
        for run in list(worker.runs.values()):
            if run.phase is Phase.RUNNING and _must_move(cell, run, left_s):
                _runs.stop(cell, run, 'worker leaves')


def _left_s(cell: _state.Cell, worker: _state.Worker) -> float:
    told_ms = worker.entry.remaining_ms
    if told_ms is None:
        return 0.0
    return worker.listed_at + told_ms / 1000 - cell.now


def _must_move(cell: _state.Cell, run: _state.Run, left_s: float) -> bool:
    spec = run.task.step.spec
    if spec.is_gang:
        return False
    needs_s = _needs_s(cell, run)
    if needs_s < left_s - cell.options.leave_margin_s:
        return False
    # Work that is not saved is given up at once, all other as late as may
    # be.
    is_saved = spec.is_lasting or spec.checkpoints
    return not is_saved or left_s < cell.options.leave_margin_s


def _needs_s(cell: _state.Cell, run: _state.Run) -> float:
    spec = run.task.step.spec
    if spec.is_lasting:
        return float('inf')
    ran_s = cell.now - run.since
    if run.percent > 0:
        return ran_s * (100 - run.percent) / run.percent
    return max(0.0, _jobs.expected_ms(cell, spec) / 1000 - ran_s)
