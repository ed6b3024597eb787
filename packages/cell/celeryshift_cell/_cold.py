"""Cold workers, which are slow for some time, for example after a start.

Urgent work goes to warm workers if one has capacity. Other work fills at most
a share of a cold worker's capacity, which grows linearly until the worker is
warm, so that what is urgent finds room on warm workers and the cold ones get
less of the work that they would delay.
"""

from celeryshift_cell import _headroom
from celeryshift_cell import _state
from celeryshift_cell import model

# Share of the capacity that non-urgent work fills on a worker that has just
# become cold.
FIRST_SHARE = 0.25


def is_cold(cell: _state.Cell, worker: _state.Worker) -> bool:
    """Return whether a worker is cold."""
    return worker.cold_until > cell.now


def count(cell: _state.Cell) -> int:
    """Return the number of cold workers in the list of workers."""
    return sum(
        worker.is_listed and is_cold(cell, worker)
        for worker in cell.workers.values()
    )


def is_cold_for_urgent(
    cell: _state.Cell, step: _state.StepRun, worker: _state.Worker
) -> bool:
    """Return whether a worker is to be avoided by an urgent step."""
    return is_cold(cell, worker) and _is_urgent(step)


def update_worker(
    cell: _state.Cell,
    worker: _state.Worker,
    previous: model.WorkerEntry | None = None,
) -> bool:
    """Apply the cold time of a worker's new entry.

    Return whether the worker has become warm earlier than expected. An entry
    that was read before, as after a lost history, does not extend the time.
    """
    entry = worker.entry
    if previous is not None and (
        (entry.clock_ms, entry.cold_remaining_ms)
        == (previous.clock_ms, previous.cold_remaining_ms)
    ):
        return False
    was_cold = is_cold(cell, worker)
    remaining_s = entry.cold_remaining_ms / 1000
    if remaining_s <= 0:
        worker.cold_until = min(worker.cold_until, cell.now)
        return was_cold
    worker.cold_until = cell.now + remaining_s
    if was_cold:
        worker.cold_s = max(worker.cold_s, remaining_s)
        return False
    worker.cold_s = remaining_s
    cell.log_decision(
        'worker_cold',
        worker=worker.id,
        remaining_ms=entry.cold_remaining_ms,
        runs=len(worker.runs),
    )
    return False


def free(
    cell: _state.Cell, worker: _state.Worker, step: _state.StepRun
) -> tuple[int, int]:
    """Return the processor and memory that a step may use on a worker."""
    if not is_cold(cell, worker) or _is_urgent(step):
        return worker.free_cpu, worker.free_memory
    capacity = worker.entry.capacity
    share = _share(cell, worker)
    cpu = int(share * capacity.cpu_milli)
    memory = int(share * capacity.memory_mb)
    for run in worker.runs.values():
        other = run.task.step
        if not _is_urgent(other):
            cpu -= 0 if other.spec.is_filler else other.spec.size.cpu_milli
            memory -= other.spec.size.memory_mb
    return min(cpu, worker.free_cpu), min(memory, worker.free_memory)


def has_capacity(
    cell: _state.Cell, worker: _state.Worker, step: _state.StepRun
) -> bool:
    """Return whether a task of a step fits into what it may use."""
    spec = step.spec
    if not worker.has_capacity(spec):
        return False
    if not is_cold(cell, worker):
        return True
    cpu, memory = free(cell, worker, step)
    return spec.size.memory_mb <= memory and (
        spec.is_filler or spec.size.cpu_milli <= cpu
    )


def holds_back(cell: _state.Cell, step: _state.StepRun) -> bool:
    """Return whether a step waits for the share of cold workers to grow."""
    return any(
        is_cold(cell, worker)
        and worker.is_usable(cell.now)
        and worker.entry.upstream == step.job.queue.upstream
        and worker.has_capacity(step.spec)
        and not has_capacity(cell, worker, step)
        for worker in cell.workers.values()
    )


def was_cold_during(run: _state.Run) -> bool:
    """Return whether the worker of a run was cold at some time of the run."""
    return run.worker.cold_until > run.since


def _share(cell: _state.Cell, worker: _state.Worker) -> float:
    """Return the share of a cold worker's capacity for non-urgent work."""
    remaining = (worker.cold_until - cell.now) / worker.cold_s
    return 1 - (1 - FIRST_SHARE) * min(1.0, remaining)


def _is_urgent(step: _state.StepRun) -> bool:
    return step.job.queue.priority == _headroom.URGENT
