"""Preempts surplus work in favour of urgent work within its team's share.

Capacity that was lent to surplus work returns when its tasks end, which may
take long. If urgent work within its share has waited for ``GRACE_S`` and can
still meet its objective, surplus tasks with checkpoints are stopped to make
room for it, at most ``SHARE_PER_S`` of the capacity per second.
"""

from celeryshift_cell import _backlog
from celeryshift_cell import _headroom
from celeryshift_cell import _ordering
from celeryshift_cell import _preemption
from celeryshift_cell import _requirements
from celeryshift_cell import _state
from celeryshift_cell import _stops
from celeryshift_cell import model

# Share of the processors whose surplus tasks may be stopped per second.
SHARE_PER_S = 0.02


def reclaim(cell: _state.Cell) -> None:
    """Stop surplus tasks where urgent work within its share waits for room."""
    shares = cell.shares
    elapsed_s = max(0.0, cell.now - shares.reclaim_updated_at)
    shares.reclaim_updated_at = cell.now
    if not (shares.is_weighted and cell.backlog.saturated):
        shares.reclaimable_cpu = 0.0
        return
    per_s = SHARE_PER_S * _backlog.whole_capacity(cell).cpu_milli
    # A task larger than the amount of a second is saved up for, so that the
    # bound also holds in small cells.
    bound = max(per_s, _largest_victim(cell))
    shares.reclaimable_cpu = min(
        bound, shares.reclaimable_cpu + per_s * elapsed_s
    )
    # Room that this pass has counted on, by worker id.
    promised: dict[str, model.Size] = {}
    for step in list(cell.waiting.values()):
        if _may_reclaim(cell, step):
            for _ in step.pending:
                if not _reclaim_for_task(cell, step, promised):
                    break


def _may_reclaim(cell: _state.Cell, step: _state.StepRun) -> bool:
    return (
        step.is_blocked
        and _headroom.is_urgent(step)
        and not step.blocked_by_limit
        and not step.spec.is_gang
        and cell.now - step.ready_at >= _preemption.GRACE_S
        and _ordering.can_meet_objective(cell, step)
    )


def _largest_victim(cell: _state.Cell) -> int:
    return max(
        (
            run.task.step.spec.size.cpu_milli
            for worker in cell.workers.values()
            for run in worker.runs.values()
            if _is_preemptible(run)
        ),
        default=0,
    )


def _reclaim_for_task(
    cell: _state.Cell,
    step: _state.StepRun,
    promised: dict[str, model.Size],
) -> bool:
    """Make room for a task on one worker; return whether there will be."""
    best: list[_state.Run] = []
    best_cpu = cell.shares.reclaimable_cpu
    best_worker = None
    for worker in cell.workers.values():
        if (
            worker.entry.upstream != step.job.queue.upstream
            or not worker.is_usable(cell.now)
            or not _requirements.meets_constraints(step, worker)
        ):
            continue
        needed = promised.get(worker.id, model.Size()).plus(step.spec.size)
        victims = _victims(worker, needed)
        if victims is None:
            continue
        cpu = sum(run.task.step.spec.size.cpu_milli for run in victims)
        if (best_worker is None and cpu <= best_cpu) or cpu < best_cpu:
            best, best_cpu, best_worker = victims, cpu, worker
    if best_worker is None:
        return False
    before = promised.get(best_worker.id, model.Size())
    promised[best_worker.id] = before.plus(step.spec.size)
    cell.shares.reclaimable_cpu -= best_cpu
    for run in best:
        _stops.stop(cell, run, 'urgent work within its share waits')
    return True


def _victims(
    worker: _state.Worker, size: model.Size
) -> list[_state.Run] | None:
    """Return the runs to stop so that a task fits, or None if it can't.

    What is being stopped already counts as free.
    """
    free = model.Size(
        worker.free_cpu, worker.free_memory, worker.free_accelerators
    )
    candidates = []
    for run in worker.runs.values():
        if run.phase is _state.Phase.STOPPING:
            free = free.plus(run.task.step.spec.size)
        elif _is_preemptible(run):
            candidates.append(run)
    candidates.sort(key=lambda run: (run.percent, run.task.name))
    victims = []
    while not size.fits(free):
        if not candidates:
            return None
        run = candidates.pop(0)
        free = free.plus(run.task.step.spec.size)
        victims.append(run)
    return victims


def _is_preemptible(run: _state.Run) -> bool:
    step = run.task.step
    spec = step.spec
    return (
        step.job.is_surplus
        and run.phase is _state.Phase.RUNNING
        and spec.checkpoints
        and not (spec.is_lasting or spec.is_gang or spec.is_filler)
    )
