"""Reservations of waiting steps for workers and within team limits.

Without them a large urgent task could starve, because small tasks of lower
priority would take all capacity that becomes free on a worker or within the
limit of the team. While a waiting step has reserved a worker or the limit of
its team, no task of lower priority starts on that worker or within that limit.
"""

from celeryshift_cell import _jobs
from celeryshift_cell import _state
from celeryshift_cell import model

# A step that has waited for longer than this, or than its tasks run, reserves
# no workers: the capacity may not become free soon, and other tasks could use
# it meanwhile. Tasks of one upstream take about as long as each other.
RESERVATION_S = 2.0


def collect(cell: _state.Cell) -> None:
    """Collect the reservations of all waiting steps for the next pass."""
    cell.worker_reservations, cell.limit_reservations = {}, {}
    for step in cell.waiting.values():
        _add_workers(cell, step)
        if step.blocked_by_limit:
            reserve_limit(cell, step)


def reserve_workers(
    cell: _state.Cell,
    step: _state.StepRun,
    candidates: list[_state.Worker],
) -> None:
    """Reserve for a step the workers with the smallest shortfall."""
    run_s = _jobs.expected_ms(cell, step) / 1000
    reserved_s = max(RESERVATION_S, run_s)
    if step.spec.is_filler or cell.now > step.ready_at + reserved_s:
        return
    candidates.sort(key=lambda worker: _shortfall(step.spec.size, worker))
    chosen = candidates[: len(step.pending)]
    step.reserved_workers = frozenset(worker.id for worker in chosen)
    _add_workers(cell, step)


def reserve_limit(cell: _state.Cell, step: _state.StepRun) -> None:
    """Reserve for a step what becomes free within its team's limit."""
    _add(cell.limit_reservations, step.job.spec.team, step)


def _add_workers(cell: _state.Cell, step: _state.StepRun) -> None:
    for worker_id in step.reserved_workers:
        _add(cell.worker_reservations, worker_id, step)


def _add(
    reservations: dict[str, int], name: str, step: _state.StepRun
) -> None:
    """Record the priority of a step unless a more urgent one is recorded."""
    priority = step.job.queue.priority
    reservations[name] = min(priority, reservations.get(name, priority))


def _shortfall(size: model.Size, worker: _state.Worker) -> float:
    """Return the largest share of a task's size that a worker lacks."""
    cpu = (size.cpu_milli - worker.free_cpu) / max(size.cpu_milli, 1)
    memory = (size.memory_mb - worker.free_memory) / max(size.memory_mb, 1)
    return max(cpu, memory)
