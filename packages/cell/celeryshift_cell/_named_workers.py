"""Choice of the workers that a query to the policy service names.

The first query for a step names the workers most likely to have free capacity.
Later ones renew expired tickets, or name further workers once all approved
ones are full. Further workers that add little to the duration of a query are
named in any case.
"""

from collections.abc import Iterator
import itertools

from celeryshift_cell import _claims
from celeryshift_cell import _cold
from celeryshift_cell import _requirements
from celeryshift_cell import _state
from celeryshift_cell import model

# A query that would take longer names only the workers with the most free
# capacity.
LONG_QUERY_MS = 200.0
# Up to so many workers are counted one by one for that; of more, all that have
# enough free cores are counted.
MAX_COUNTED = 256
# Share of the time of a decision that further workers may add to a query.
BREADTH_SHARE = 0.25


def choose(
    cell: _state.Cell, step: _state.StepRun, service: model.PolicyService
) -> list[_state.Worker]:
    """Return the workers that the next query for a step names."""
    approved = approved_workers(cell, step)
    stale = [
        w
        for w in approved
        if _requirements.valid_ticket(cell, step, w) is None
    ]
    if approved:
        new = _claims.with_unclaimed_capacity(
            cell, step, _new(cell, step, True)
        )
        first_new = next(new, None)
        chosen_new: Iterator[_state.Worker]
        if first_new is not None:
            chosen_new = itertools.chain((first_new,), new)
        elif any(_claims.with_unclaimed_capacity(cell, step, stale)):
            chosen_new = iter(())
        else:
            return []
        return limit_workers(cell, step, service, chosen_new, stale, stale)
    # First query: if no worker has free capacity, name all of them, since
    # capacity may become free before the response.
    first_new = next(_new(cell, step, True), None)
    chosen_new = _new(cell, step, first_new is not None)
    return limit_workers(cell, step, service, chosen_new, [], stale)


def _may_name(
    cell: _state.Cell, step: _state.StepRun, worker: _state.Worker
) -> bool:
    """Return whether a query for a step may name a worker."""
    return (
        step.spec.size.fits(worker.entry.capacity)
        and worker.is_usable(cell.now)
        and _requirements.meets_constraints(step, worker)
    )


def approved_workers(
    cell: _state.Cell, step: _state.StepRun
) -> list[_state.Worker]:
    """Return the usable workers that are approved, in the order of the cell.

    Their tickets may have expired.
    """
    upstream = step.job.queue.upstream
    approved = []
    for worker_id, approval in step.approvals.items():
        worker = cell.worker(worker_id, approval.incarnation)
        if (
            worker is not None
            and step.ineligible.get(worker_id) != approval.incarnation
            and worker.entry.upstream == upstream
            and _may_name(cell, step, worker)
        ):
            approved.append(worker)
    approved.sort(key=lambda worker: worker.number)
    return approved


def _new(
    cell: _state.Cell, step: _state.StepRun, with_capacity: bool = False
) -> Iterator[_state.Worker]:
    """Yield the usable workers that were not asked for, by ``_rank``."""
    spec = step.spec
    index = cell.capacity_of(step.job.queue.upstream)
    lacking = []
    minimum = None if spec.is_filler else spec.size.cpu_milli
    # What has free capacity is large enough, and nothing else is required.
    is_plain = not (
        spec.is_filler or spec.required_label or spec.most_per_worker
    )
    ineligible, approvals, now = step.ineligible, step.approvals, cell.now
    for worker in index.workers(minimum):
        if not _cold.has_capacity(cell, worker, step):
            lacking.append(worker)
            continue
        # Most workers are new to a step, so that this comes before ``_is_new``
        # and spares a call for each of them.
        worker_id = worker.entry.id
        is_known = worker_id in ineligible or worker_id in approvals
        if is_known and not _is_new(step, worker):
            continue
        if not worker.is_usable(now):
            continue
        if is_plain or _may_name(cell, step, worker):
            yield worker
    if with_capacity:
        return
    rest = [] if minimum is None else index.workers_below(minimum)
    for worker in itertools.chain(lacking, rest):
        if _is_new(step, worker) and _may_name(cell, step, worker):
            yield worker


def _is_new(step: _state.StepRun, worker: _state.Worker) -> bool:
    """Return whether the policy service has not decided on a worker."""
    incarnation = worker.entry.incarnation
    if step.ineligible.get(worker.id) == incarnation:
        return False
    approval = step.approvals.get(worker.id)
    return approval is None or approval.incarnation != incarnation


def _rank(
    cell: _state.Cell, step: _state.StepRun, worker: _state.Worker
) -> tuple[bool, bool, int]:
    """Return the rank of a worker in a query; the lowest is named first."""
    return (
        not _cold.has_capacity(cell, worker, step),
        _cold.is_cold_for_urgent(cell, step, worker),
        -worker.free_cpu,
    )


def limit_workers(
    cell: _state.Cell,
    step: _state.StepRun,
    service: model.PolicyService,
    chosen_new: Iterator[_state.Worker],
    chosen_known: list[_state.Worker],
    other_known: list[_state.Worker],
) -> list[_state.Worker]:
    """Return the workers to name: the chosen ones, and others if cheap.

    New workers come in the order of free cores, and only as many are examined
    as are needed.
    """

    def rank(worker: _state.Worker) -> tuple[bool, bool, int]:
        return _rank(cell, step, worker)

    spec = step.spec
    enough = max(
        cell.options.min_queried_workers,
        cell.options.queried_workers_per_task * len(step.pending),
    )
    limit = min(cell.options.max_queried_workers, enough)
    first = list(itertools.islice(chosen_new, limit))
    # A query about all chosen workers would take at least so long.
    expected_ms = service.decision_ms + service.each_ms * (
        len(first) + len(chosen_known)
    )
    if expected_ms <= LONG_QUERY_MS and service.each_ms:
        index = cell.capacity_of(step.job.queue.upstream)
        cpu_milli = 0 if spec.is_filler else spec.size.cpu_milli
        further = index.count(cpu_milli) - len(first)
        if further <= MAX_COUNTED:
            further = sum(1 for _ in chosen_new)
        expected_ms += service.each_ms * further
    if expected_ms > LONG_QUERY_MS:
        limit = min(limit, cell.options.long_query_workers)
    named = sorted([*first, *chosen_known], key=rank)[:limit]
    breadth = limit
    if service.each_ms:
        cheap = int(BREADTH_SHARE * service.decision_ms / service.each_ms)
        breadth = min(limit, cheap)
    missing = breadth - len(named)
    if missing > 0:
        known = {worker.id for worker in named}
        others = [worker for worker in other_known if worker.id not in known]
        new = (w for w in _new(cell, step) if w.id not in known)
        others += itertools.islice(new, missing)
        others.sort(key=rank)
        named += others[:missing]
    return named
