"""Workers that may start the tasks of a step, or be reserved for them."""

from collections.abc import Iterator

from celeryshift_cell import _cold
from celeryshift_cell import _crashes
from celeryshift_cell import _polls
from celeryshift_cell import _requirements
from celeryshift_cell import _state

# Number of candidates that are compared for tasks without a policy service.
MAX_CANDIDATES = 256

# Position for the choice among equal costs, worker and ticket.
_Candidate = tuple[int, _state.Worker, str]


def in_order(cell: _state.Cell, step: _state.StepRun) -> list[_Candidate]:
    """Return the workers on which a task of a step can start now.

    They come in the order of the cell, or in that of their approvals.
    """
    spec = step.spec
    if _requirements.policy_service(step) is None:
        index = cell.capacity_of(step.job.queue.upstream)
        candidates = [
            (worker.number, worker, '')
            for worker in index.workers(
                None if spec.is_filler else spec.size.cpu_milli
            )
            if _cold.has_capacity(cell, worker, step)
            and is_eligible(cell, step, worker)
        ]
        candidates.sort()
        return candidates
    return list(_with_ticket(cell, step))


def fullest(cell: _state.Cell, step: _state.StepRun) -> Iterator[_Candidate]:
    """Yield candidates for tasks without a history.

    On a large fleet without a policy service, these are the fullest workers
    that fit, or for fillers the emptiest.
    """
    spec = step.spec
    if _requirements.policy_service(step) is not None:
        yield from _with_ticket(cell, step)
        return
    index = cell.capacity_of(step.job.queue.upstream)
    workers = (
        index.workers()
        if spec.is_filler
        else index.workers_from(spec.size.cpu_milli)
    )
    count = 0
    for worker in workers:
        if _cold.has_capacity(cell, worker, step) and is_eligible(
            cell, step, worker
        ):
            yield worker.number, worker, ''
            count += 1
            if count >= MAX_CANDIDATES:
                return


def _with_ticket(
    cell: _state.Cell, step: _state.StepRun
) -> Iterator[_Candidate]:
    """Yield the candidates of a step that needs approvals."""
    workers = cell.workers
    required_until = cell.now + cell.options.ticket_margin_s
    for position, (worker_id, approval) in enumerate(step.approvals.items()):
        if approval.valid_until < required_until:
            continue
        worker = workers.get(worker_id)
        if (
            worker is not None
            and _cold.has_capacity(cell, worker, step)
            and worker.entry.incarnation == approval.incarnation
            and is_eligible(cell, step, worker)
        ):
            yield position, worker, approval.ticket


def reservable(
    cell: _state.Cell, step: _state.StepRun
) -> Iterator[_state.Worker]:
    """Yield the workers that may run a step, also with an expired ticket.

    Without a policy service, those with the most free cores come first.
    """
    if _requirements.policy_service(step) is None:
        index = cell.capacity_of(step.job.queue.upstream)
        for worker in index.workers():
            if is_eligible(cell, step, worker):
                yield worker
        return
    for worker_id, approval in step.approvals.items():
        approved = cell.worker(worker_id, approval.incarnation)
        if approved is not None and is_eligible(cell, step, approved):
            yield approved


def is_eligible(
    cell: _state.Cell, step: _state.StepRun, worker: _state.Worker
) -> bool:
    """Return whether a worker may start tasks of a step, if they fit."""
    return (
        worker.is_usable(cell.now)
        and not _crashes.is_reserved(cell, worker, step)
        and _requirements.meets_constraints(step, worker)
    )


def is_reserved(
    cell: _state.Cell, step: _state.StepRun, worker: _state.Worker
) -> bool:
    """Return whether a more urgent step has reserved a worker."""
    rank = step.job.rank
    return cell.worker_reservations.get(worker.id, rank) < rank


def reserve_for_trial(
    cell: _state.Cell, step: _state.StepRun, worker: _state.Worker
) -> None:
    """Keep a worker from other starts, and poll it before a trial."""
    if not worker.reserved_until > cell.now:
        _polls.poll_reserved(cell, worker)
    _crashes.reserve(cell, worker, step.job)
