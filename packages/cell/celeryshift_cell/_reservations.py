"""Reservations of waiting steps for workers and within team limits.

Without them a large urgent task could starve, because small tasks of lower
priority would take all capacity that becomes free on a worker or within the
limit of the team. While a waiting step has reserved a worker or the limit of
its team, no task of lower priority starts on that worker or within that limit.
Surplus work ranks behind all work within its team's share.
"""

from collections.abc import Iterator
import heapq

from celeryshift_cell import _cold
from celeryshift_cell import _jobs
from celeryshift_cell import _state
from celeryshift_cell import _waiting
from celeryshift_cell import model

# A step that has waited for longer than this, or than its tasks run, reserves
# no workers: the capacity may not become free soon, and other tasks could use
# it meanwhile. Tasks of one upstream take about as long as each other.
RESERVATION_S = 2.0


def collect(cell: _state.Cell) -> None:
    """Collect the reservations of all waiting steps for the next pass."""
    for step in cell.steps.changed.values():
        is_waiting = step.name in cell.waiting
        is_limited = is_waiting and step.blocked_by_limit
        rank = step.job.rank
        workers = step.reserved_workers if is_waiting else ()
        teams = (step.job.spec.team,) if is_limited else ()
        cell.worker_reservations.replace(step.name, workers, rank)
        cell.limit_reservations.replace(step.name, teams, rank)
    cell.steps.changed.clear()
    cell.worker_reservations.begin_pass()
    cell.limit_reservations.begin_pass()


def reserve_workers(
    cell: _state.Cell,
    step: _state.StepRun,
    candidates: Iterator[_state.Worker],
    is_sorted: bool,
) -> None:
    """Reserve for a step the workers with the smallest shortfall.

    If the candidates are sorted, those with the most free cores come first.
    """
    run_s = _jobs.expected_ms(cell, step) / 1000
    reserved_s = max(RESERVATION_S, run_s)
    if step.spec.is_filler or cell.now > step.ready_at + reserved_s:
        return
    is_least_urgent = step.job.rank >= cell.least_urgent
    if is_least_urgent and len(cell.waiting) > _waiting.MAX_RETRIED:
        # The reservation would keep no task from a worker; with few waiting
        # steps, its changes still tell when these are tried again.
        return
    if is_sorted:
        chosen = _first_of_sorted(cell, step, candidates)
    else:
        chosen = heapq.nsmallest(
            len(step.pending),
            candidates,
            key=lambda worker: _shortfall(cell, step, worker),
        )
    step.reserved_workers = frozenset(worker.id for worker in chosen)
    for worker_id in step.reserved_workers:
        cell.worker_reservations.add(worker_id, step.job.rank)


def _first_of_sorted(
    cell: _state.Cell,
    step: _state.StepRun,
    candidates: Iterator[_state.Worker],
) -> list[_state.Worker]:
    """Return the workers with the smallest shortfall.

    Further candidates lack at least as many cores, so that few are examined.
    """
    size = step.spec.size
    count = len(step.pending)
    # Heap of the chosen workers, the one with the largest shortfall first.
    heap: list[tuple[float, int, _state.Worker]] = []
    for worker in candidates:
        if len(heap) == count and _cpu_shortfall(size, worker) > -heap[0][0]:
            break
        entry = (
            -_shortfall(cell, step, worker),
            -worker.number,
            worker,
        )
        if len(heap) < count:
            heapq.heappush(heap, entry)
        else:
            heapq.heappushpop(heap, entry)
    return [worker for _, _, worker in heap]


def reserve_limit(cell: _state.Cell, step: _state.StepRun) -> None:
    """Reserve for a step what becomes free within its team's limit."""
    cell.limit_reservations.add(step.job.spec.team, step.job.rank)


def _shortfall(
    cell: _state.Cell, step: _state.StepRun, worker: _state.Worker
) -> float:
    """Return the largest share of a task's size that a worker lacks."""
    size = step.spec.size
    free_cpu, free_memory = _cold.free(cell, worker, step)
    cpu = (size.cpu_milli - free_cpu) / max(size.cpu_milli, 1)
    memory = (size.memory_mb - free_memory) / max(size.memory_mb, 1)
    return max(cpu, memory)


def _cpu_shortfall(size: model.Size, worker: _state.Worker) -> float:
    """Return the least shortfall that a worker may have."""
    return (size.cpu_milli - worker.free_cpu) / max(size.cpu_milli, 1)
