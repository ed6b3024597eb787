"""Queries to the policy service, which decides which workers may run a step.

The service issues a ticket for each worker that it approves, and the worker
may reject a start order without a valid ticket. The decision on a worker never
changes for a step, but its ticket expires. The first query for a step names
the workers most likely to have free capacity. Later ones renew expired
tickets, or name further workers once all approved ones are full. Further
workers that add little to the duration of a query are named in any case.

A query claims the free capacity that it is sent for until it is answered.
Otherwise each waiting step would query for the same capacity, which only the
first can use, and the service, which answers each node one call at a time,
would have no time for the others.

Two kinds of query are sent ahead of need, since a decision may take longer
than the tasks themselves: for a step whose predecessor is about to complete,
and to renew the tickets of the steps that are next to get free capacity.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import heapq
import itertools

from celeryshift_cell import _cold
from celeryshift_cell import _jobs
from celeryshift_cell import _ordering
from celeryshift_cell import _state
from celeryshift_cell import _tickets
from celeryshift_cell import effects
from celeryshift_cell import events
from celeryshift_cell import model

# A query that would take longer names only the workers with the most free
# capacity.
LONG_QUERY_MS = 200.0
# Up to so many workers are counted one by one for that; of more, all that have
# enough free cores are counted.
MAX_COUNTED = 256
# Share of the time of a decision that further workers may add to a query.
BREADTH_SHARE = 0.25
# Tickets are renewed ahead of need if a decision takes at least this long.
SLOW_DECISION_MS = 100.0
# Maximum number of steps whose tickets are renewed ahead, for each upstream
# and as a share of its workers: the service answers each node one call at a
# time.
MAX_RENEWED_STEPS = 12
RENEWED_STEPS_SHARE = 0.15
# Margin beyond the expected duration of a query that is sent ahead.
AHEAD_MARGIN_S = 0.1


def policy_service(step: _state.StepRun) -> model.PolicyService | None:
    """Return the policy service of a step's queue, or None."""
    return step.job.queue.advice


def valid_ticket(
    cell: _state.Cell, step: _state.StepRun, worker: _state.Worker
) -> str | None:
    """Return a ticket that remains valid long enough, or None."""
    approval = step.approvals.get(worker.id)
    if approval is None or approval.incarnation != worker.entry.incarnation:
        return None
    if approval.valid_until < cell.now + cell.options.ticket_margin_s:
        return None
    return approval.ticket


def query(cell: _state.Cell, step: _state.StepRun) -> None:
    """Query the policy service for a waiting step, if that may help."""
    service = policy_service(step)
    if service is None or step.pending_query or cell.now < step.query_after:
        return
    _send(cell, step, service, _query_candidates(cell, step, service))


def _send(
    cell: _state.Cell,
    step: _state.StepRun,
    service: model.PolicyService,
    workers: list[_state.Worker],
) -> None:
    """Send a query about some workers, unless there are none."""
    if not workers:
        return
    step.pending_query = {
        worker.id: worker.entry.incarnation for worker in workers
    }
    _claim(cell, step, workers)
    job = step.job
    expected_ms = service.decision_ms + service.each_ms * len(workers)
    cell.emit(
        effects.RequestAdvice(
            step.name,
            tuple(worker.id for worker in workers),
            (job.rank, expected_ms, step.ready_at),
            expected_ms,
        )
    )


def _query_candidates(
    cell: _state.Cell, step: _state.StepRun, service: model.PolicyService
) -> list[_state.Worker]:
    approved = _approved(cell, step)
    stale = [w for w in approved if valid_ticket(cell, step, w) is None]
    if approved:
        new = _with_unclaimed_capacity(cell, step, _new(cell, step, True))
        first_new = next(new, None)
        chosen_new: Iterator[_state.Worker]
        if first_new is not None:
            chosen_new = itertools.chain((first_new,), new)
        elif any(_with_unclaimed_capacity(cell, step, stale)):
            chosen_new = iter(())
        else:
            return []
        return _limit(cell, step, service, chosen_new, stale, stale)
    # First query: if no worker has free capacity, name all of them, since
    # capacity may become free before the response.
    first_new = next(_new(cell, step, True), None)
    chosen_new = _new(cell, step, first_new is not None)
    return _limit(cell, step, service, chosen_new, [], stale)


def _claim(
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


def _release_claims(
    cell: _state.Cell, step_name: str, worker_ids: tuple[str, ...]
) -> None:
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


def _with_unclaimed_capacity(
    cell: _state.Cell,
    step: _state.StepRun,
    workers: Iterable[_state.Worker],
) -> Iterator[_state.Worker]:
    spec = step.spec
    rank = step.job.rank
    for worker in workers:
        if _cold.has_capacity(cell, worker, step) and (
            spec.is_filler
            or worker.entry.id not in cell.claims_by_worker
            or _has_unclaimed(cell, worker, rank, spec.size)
        ):
            yield worker


def _may_name(
    cell: _state.Cell, step: _state.StepRun, worker: _state.Worker
) -> bool:
    """Return whether a query for a step may name a worker."""
    return (
        step.spec.size.fits(worker.entry.capacity)
        and worker.is_usable(cell.now)
        and meets_constraints(step, worker)
    )


def _approved(cell: _state.Cell, step: _state.StepRun) -> list[_state.Worker]:
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


def _limit(
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


def abandon_unusable(cell: _state.Cell) -> None:
    """Abandon the queries that name no usable worker any more.

    The steps are then queried for other workers at once.
    """
    for job in cell.jobs.values():
        for step in job.steps.values():
            named = step.pending_query
            if not named or any(
                worker is not None and worker.is_usable(cell.now)
                for worker in map(cell.workers.get, named)
            ):
                continue
            step.pending_query = {}
            _release_claims(cell, step.name, tuple(named))
            cell.log_decision(
                'advice_abandoned',
                job=job.spec.id,
                step=step.name,
                workers=len(named),
            )


def _take_query(
    step: _state.StepRun, workers: tuple[str, ...]
) -> dict[str, int] | None:
    """Remove the query in flight; None if another one was answered."""
    if step.pending_query.keys() != set(workers):
        return None
    queried, step.pending_query = step.pending_query, {}
    return queried


def query_successors(cell: _state.Cell, step: _state.StepRun) -> None:
    """Query for the steps that become ready once a step has completed."""
    job = step.job
    service = policy_service(step)
    if job.state in _jobs.FINAL or not step.remaining_tasks:
        return
    for number, spec in enumerate(job.spec.steps):
        if step.number not in spec.after or service is None:
            continue
        successor = job.steps[step.occurrence, number]
        if successor.approvals or not _awaits_only(successor, step):
            continue
        query(cell, successor)


def _awaits_only(successor: _state.StepRun, step: _state.StepRun) -> bool:
    steps = successor.job.steps
    return all(
        number == step.number
        or not steps[successor.occurrence, number].remaining_tasks
        for number in successor.spec.after
    )


def plan_ahead(cell: _state.Cell, step: _state.StepRun) -> None:
    """Schedule the queries for the successors of a step that has started."""
    service = policy_service(step)
    if service is None or step.spec.is_lasting:
        return
    if not any(step.number in spec.after for spec in step.job.spec.steps):
        return
    lead_s = service.decision_ms / 1000 + AHEAD_MARGIN_S
    run_s = _jobs.expected_ms(cell, step) / 1000
    due_at = cell.now + max(0.0, run_s - lead_s)
    heapq.heappush(cell.planned_queries, (due_at, step.name))


def query_ahead(cell: _state.Cell) -> None:
    """Send the planned queries that are due."""
    while cell.planned_queries and cell.planned_queries[0][0] <= cell.now:
        _, name = heapq.heappop(cell.planned_queries)
        step = cell.step(name)
        if step is not None:
            query_successors(cell, step)


def renew_ahead(cell: _state.Cell) -> None:
    """Renew the tickets of the steps that are next to get free capacity.

    Otherwise capacity that becomes free waits for the service, or goes to
    less urgent work meanwhile.
    """
    steps_by_upstream: dict[str, list[_state.StepRun]] = {}
    for step in cell.waiting.values():
        service = policy_service(step)
        if (
            service is not None
            and service.decision_ms >= SLOW_DECISION_MS
            and step.approvals
            and not (step.blocked_by_limit or step.blocked_by_headroom)
        ):
            upstream = step.job.queue.upstream
            steps_by_upstream.setdefault(upstream, []).append(step)
    for upstream, steps in steps_by_upstream.items():
        workers = len(cell.capacity_of(upstream).entries)
        count = min(MAX_RENEWED_STEPS, int(RENEWED_STEPS_SHARE * workers))
        first = heapq.nsmallest(
            count, steps, key=lambda step: _ordering.sort_key(cell, step)
        )
        for step in first:
            _renew(cell, step)


def _renew(cell: _state.Cell, step: _state.StepRun) -> None:
    service = policy_service(step)
    if service is None or step.pending_query or cell.now < step.query_after:
        return
    approved = _approved(cell, step)
    lead_s = service.decision_ms / 1000 + AHEAD_MARGIN_S
    expiring = [
        worker
        for worker in approved
        if step.approvals[worker.id].valid_until < cell.now + lead_s
    ]
    if expiring:
        workers = _limit(cell, step, service, iter(()), expiring, [])
        _send(cell, step, service, workers)


def meets_constraints(step: _state.StepRun, worker: _state.Worker) -> bool:
    """Return whether a worker meets the constraints of a step."""
    spec = step.spec
    if spec.required_label and spec.required_label not in (
        worker.entry.labels
    ):
        return False
    limit = spec.most_per_worker
    return not limit or step.runs_by_worker[worker.id] < limit


def handle_advice_answered(
    cell: _state.Cell, event: events.AdviceAnswered
) -> None:
    """Store the approvals and tickets of a response."""
    _release_claims(cell, event.step, event.workers)
    step = cell.step(event.step)
    if step is None:
        return
    queried = _take_query(step, event.workers)
    if queried is None:
        return
    valid_until = event.sent_at + event.validity_ms / 1000
    for worker_id, incarnation in queried.items():
        if cell.worker(worker_id, incarnation) is None:
            continue
        ticket = event.tickets_by_worker.get(worker_id)
        if ticket is None:
            step.ineligible[worker_id] = incarnation
            cell.steps.drop_approval(step, worker_id)
        else:
            cell.steps.add_approval(step, worker_id)
            step.approvals[worker_id] = _tickets.Approval(
                incarnation, ticket, valid_until
            )
    cell.log_decision(
        'advice',
        job=step.job.spec.id,
        step=step.name,
        asked=len(event.workers),
        good=len(event.tickets_by_worker),
        took_ms=round((cell.now - event.sent_at) * 1000),
    )
    cell.steps.unblock(step)


def handle_advice_failed(
    cell: _state.Cell, event: events.AdviceFailed
) -> None:
    """Allow the next query after a pause."""
    _release_claims(cell, event.step, event.workers)
    step = cell.step(event.step)
    if step is None or _take_query(step, event.workers) is None:
        return
    step.query_after = cell.now + cell.options.query_retry_s
    cell.log_decision(
        'advice_failed',
        job=step.job.spec.id,
        step=step.name,
        reason=event.reason,
    )
    cell.steps.unblock(step)
