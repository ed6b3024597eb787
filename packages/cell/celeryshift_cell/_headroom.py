"""Headroom: capacity that is kept free for urgent work.

Under overload, long tasks of lower priority would fill all capacity, and a
burst of urgent tasks would have to wait until they end. So lower-priority work
leaves capacity for as many urgent tasks as ran or waited at the recent peak,
up to a share of the total. Headroom is counted in slots, which are larger than
the mean urgent task by ``SLOT_FACTOR``. Free memory or cores that are too
small for a slot may be used by any task. Services (``is_lasting``) are exempt,
since every second that they do not run is lost, and so are fillers.
"""

from celeryshift_cell import _capacity
from celeryshift_cell import _state
from celeryshift_cell import _usage

# The rank that headroom is kept for; 0 is the most urgent.
URGENT = 0
# A peak decays to zero over this time, which covers several bursts.
PEAK_DECAY_S = 16.0
# Size of a slot as a multiple of the mean urgent task.
SLOT_FACTOR = 1.5
# Weight of the newest step in that mean.
SIZE_WEIGHT = 0.1
# Maximum share of the capacity that is kept free, which bounds the idle
# capacity when there is more lower-priority work than fits.
MAX_HEADROOM_SHARE = 0.12


def update(cell: _state.Cell) -> None:
    """Update the peaks of urgent work and count the free slots."""
    fraction = (cell.now - cell.headroom_updated_at) / PEAK_DECAY_S
    cell.headroom_updated_at = cell.now
    for pool in cell.pools.values():
        pool.waiting = pool.slots = pool.free_slots = 0
    for step in cell.waiting.values():
        if is_urgent(step) and not step.blocked_by_limit:
            cell.pool(step.job.queue.upstream).waiting += len(step.pending)
        if step.blocked_by_headroom:
            step.blocked_by_headroom = False
            cell.steps.unblock(step)
    for pool in cell.pools.values():
        pool.urgent.update(pool.urgent.used + pool.waiting, fraction)
    for usage in cell.usage_by_team.values():
        for part in (usage.urgent_cpu, usage.urgent_memory):
            part.update(part.used, fraction)
    for upstream, index in cell.free_capacity.items():
        _count_upstream(cell, cell.pool(upstream), index)


def _count_upstream(
    cell: _state.Cell, pool: _usage.Pool, index: _capacity.FreeCapacity
) -> None:
    """Count the slots of the usable workers of an upstream."""
    cpu = pool.slot_cpu_milli
    if not cpu:
        return
    memory = max(pool.slot_memory_mb, 1)
    now = cell.now
    for _, _, worker in index.entries:
        if worker.is_usable(now):
            size = worker.entry.capacity
            slots = min(size.cpu_milli // cpu, size.memory_mb // memory)
            free = min(worker.free_cpu // cpu, worker.free_memory // memory)
            pool.slots += max(0, slots)
            pool.free_slots += max(0, free)


def is_urgent(step: _state.StepRun) -> bool:
    """Return whether a step is urgent work that headroom is kept for."""
    return step.job.rank == URGENT and not is_exempt(step)


def is_exempt(step: _state.StepRun) -> bool:
    """Return whether a step may use the headroom at any priority."""
    return step.spec.is_lasting or step.spec.is_filler


def free_slots(pool: _usage.Pool, worker: _state.Worker) -> int:
    """Return the number of free slots on a worker."""
    return _count_slots(pool, worker.free_cpu, worker.free_memory)


def _count_slots(pool: _usage.Pool, cpu_milli: int, memory_mb: int) -> int:
    if not pool.slot_cpu_milli:
        return 0
    by_cpu = cpu_milli // pool.slot_cpu_milli
    by_memory = memory_mb // max(pool.slot_memory_mb, 1)
    return max(0, min(by_cpu, by_memory))


def learn_size(cell: _state.Cell, step: _state.StepRun) -> None:
    """Update the slot size from an urgent step that has become ready."""
    if not is_urgent(step):
        return
    pool = cell.pool(step.job.queue.upstream)
    size = step.spec.size
    cpu = SLOT_FACTOR * size.cpu_milli
    memory = SLOT_FACTOR * size.memory_mb
    weight = SIZE_WEIGHT if pool.slot_cpu_milli else 1.0
    pool.slot_cpu_milli += int(weight * (cpu - pool.slot_cpu_milli))
    pool.slot_memory_mb += int(weight * (memory - pool.slot_memory_mb))


def required_slots(cell: _state.Cell, step: _state.StepRun) -> int | None:
    """Return how many slots a step must leave free, or None for no bound."""
    if step.job.rank == URGENT or is_exempt(step):
        return None
    pool = cell.pool(step.job.queue.upstream)
    return (
        int(min(pool.urgent.headroom, MAX_HEADROOM_SHARE * pool.slots)) or None
    )


def leaves_required_slots(
    cell: _state.Cell,
    step: _state.StepRun,
    worker: _state.Worker,
    required: int,
) -> bool:
    """Return whether a task on a worker leaves the required slots free."""
    pool = cell.pool(worker.entry.upstream)
    size = step.spec.size
    after = _count_slots(
        pool,
        worker.free_cpu - size.cpu_milli,
        worker.free_memory - size.memory_mb,
    )
    used_slots = free_slots(pool, worker) - after
    return not used_slots or pool.free_slots - used_slots >= required
