"""Claims of queries to the policy service on free capacity.

A query claims the free capacity that it is sent for until it is answered.
Otherwise each waiting step would query for the same capacity, which only the
first can use, and the service, which answers each node one call at a time,
would have no time for the others.
"""

from collections.abc import Iterable
from collections.abc import Iterator

from celeryshift_cell import _cold
from celeryshift_cell import _state
from celeryshift_cell import model


def claim(
    cell: _state.Cell, step: _state.StepRun, workers: list[_state.Worker]
) -> None:
    """Claim free capacity of the named workers for the tasks of a step."""
    if step.spec.is_filler or not step.is_ready:
        return
    size = step.spec.size
    rank = step.job.rank
    remaining = len(step.pending)
    for worker in workers:
        if not remaining:
            return
        if not worker.has_capacity(step.spec):
            continue
        free = _unclaimed(cell, worker, rank)
        while remaining and size.fits(free):
            remaining -= 1
            free = free.minus(size)
            claims = cell.claims_by_worker.setdefault(worker.id, {})
            claimed = claims.get(step.name)
            total = size if claimed is None else claimed[1].plus(size)
            claims[step.name] = (rank, total)


def release(
    cell: _state.Cell, step_name: str, worker_ids: tuple[str, ...]
) -> None:
    """Release what a query for a step has claimed on the named workers."""
    for worker_id in worker_ids:
        claims = cell.claims_by_worker.get(worker_id)
        if claims is not None:
            claims.pop(step_name, None)
            if not claims:
                del cell.claims_by_worker[worker_id]


def _unclaimed(
    cell: _state.Cell, worker: _state.Worker, rank: int
) -> model.Size:
    """Return the free capacity that no step as urgent has claimed."""
    cpu, memory = worker.free_cpu, worker.free_memory
    accelerators = worker.free_accelerators
    claims = cell.claims_by_worker.get(worker.id)
    for claimant, size in claims.values() if claims else ():
        if claimant <= rank:
            cpu -= size.cpu_milli
            memory -= size.memory_mb
            accelerators -= size.accelerators
    return model.Size(cpu, memory, accelerators)


def _has_unclaimed(
    cell: _state.Cell, worker: _state.Worker, rank: int, size: model.Size
) -> bool:
    """Return whether a size fits into the unclaimed capacity of a worker."""
    cpu = worker.free_cpu - size.cpu_milli
    memory = worker.free_memory - size.memory_mb
    accelerators = worker.free_accelerators - size.accelerators
    for claimant, claimed in cell.claims_by_worker[worker.entry.id].values():
        if claimant <= rank:
            cpu -= claimed.cpu_milli
            memory -= claimed.memory_mb
            accelerators -= claimed.accelerators
    return cpu >= 0 and memory >= 0 and accelerators >= 0


def with_unclaimed_capacity(
    cell: _state.Cell,
    step: _state.StepRun,
    workers: Iterable[_state.Worker],
) -> Iterator[_state.Worker]:
    """Yield the workers where a task of a step fits beside all claims."""
    spec = step.spec
    rank = step.job.rank
    for worker in workers:
        if _cold.has_capacity(cell, worker, step) and (
            spec.is_filler
            or worker.entry.id not in cell.claims_by_worker
            or _has_unclaimed(cell, worker, rank, spec.size)
        ):
            yield worker
