"""Moves tasks off workers that are draining.

Runs that are still active when a worker leaves are lost, and can be restarted
only after its lease has expired. So a task that can't complete in time is
stopped while the worker still answers, which also saves its checkpoint.
"""

from celeryshift_cell import _jobs
from celeryshift_cell import _state
from celeryshift_cell import _stops

Phase = _state.Phase


def move_tasks(cell: _state.Cell) -> None:
    """Stop the runs that would not complete before their worker leaves."""
    for worker in cell.workers_in(cell.due.draining):
        if not worker.entry.is_draining:
            cell.due.draining.discard(worker.id)
            continue
        if worker.is_silent:
            continue
        remaining_s = _remaining_s(cell, worker)
        for run in list(worker.runs.values()):
            if run.phase is Phase.RUNNING and _must_move(
                cell, run, remaining_s
            ):
                _stops.stop(cell, run, 'worker leaves')


def _remaining_s(cell: _state.Cell, worker: _state.Worker) -> float:
    remaining_ms = worker.entry.remaining_ms
    if remaining_ms is None:
        return 0.0
    return worker.listed_at + remaining_ms / 1000 - cell.now


def _must_move(cell: _state.Cell, run: _state.Run, remaining_s: float) -> bool:
    spec = run.task.step.spec
    if spec.is_gang:
        return False
    required_s = _required_s(cell, run)
    if required_s < remaining_s - cell.options.drain_margin_s:
        return False
    # A run without checkpoints loses its work anyway, so it is stopped at
    # once. All others are stopped as late as possible.
    is_resumable = spec.is_lasting or spec.checkpoints
    return not is_resumable or remaining_s < cell.options.drain_margin_s


def _required_s(cell: _state.Cell, run: _state.Run) -> float:
    spec = run.task.step.spec
    if spec.is_lasting:
        return float('inf')
    elapsed_s = cell.now - run.since
    if run.percent > 0:
        return elapsed_s * (100 - run.percent) / run.percent
    return max(0.0, _jobs.expected_ms(cell, run.task.step) / 1000 - elapsed_s)
