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

import heapq

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
            (job.queue.priority, expected_ms, step.ready_at),
            expected_ms,
        )
    )


def _query_candidates(
    cell: _state.Cell, step: _state.StepRun, service: model.PolicyService
) -> list[_state.Worker]:
    spec = step.spec
    approved, new = _known_and_new(cell, step)
    stale = [w for w in approved if valid_ticket(cell, step, w) is None]
    if approved:
        stale_with_capacity = _with_unclaimed_capacity(cell, step, stale)
        new_with_capacity = _with_unclaimed_capacity(cell, step, new)
        if not (stale_with_capacity or new_with_capacity):
            return []
        chosen = new_with_capacity + stale
    else:
        # First query: if no worker has free capacity, name all of them, since
        # capacity may become free before the response.
        chosen = [w for w in new if w.has_capacity(spec)] or new
    return _limit(cell, step, service, chosen, [*stale, *new])


def _claim(
    cell: _state.Cell, step: _state.StepRun, workers: list[_state.Worker]
) -> None:
    """Claim free capacity of the named workers for the tasks of a step."""
    if step.spec.is_filler or not step.is_ready:
        return
    size = step.spec.size
    priority = step.job.queue.priority
    remaining = len(step.pending)
    for worker in workers:
        free = _unclaimed(cell, worker, priority)
        while remaining and size.fits(free):
            remaining -= 1
            free = free.minus(size)
            claims = cell.claims_by_worker.setdefault(worker.id, {})
            claimed = claims.get(step.name)
            total = size if claimed is None else claimed[1].plus(size)
            claims[step.name] = (priority, total)


def _release_claims(
    cell: _state.Cell, step_name: str, worker_ids: tuple[str, ...]
) -> None:
    for worker_id in worker_ids:
        claims = cell.claims_by_worker.get(worker_id, {})
        claims.pop(step_name, None)
        if not claims:
            cell.claims_by_worker.pop(worker_id, None)


def _unclaimed(
    cell: _state.Cell, worker: _state.Worker, priority: int
) -> model.Size:
    """Return the free capacity that no step as urgent has claimed."""
    free = model.Size(
        worker.free_cpu, worker.free_memory, worker.free_accelerators
    )
    for claimant, size in cell.claims_by_worker.get(worker.id, {}).values():
        if claimant <= priority:
            free = free.minus(size)
    return free


def _with_unclaimed_capacity(
    cell: _state.Cell, step: _state.StepRun, workers: list[_state.Worker]
) -> list[_state.Worker]:
    spec = step.spec
    priority = step.job.queue.priority
    return [
        worker
        for worker in workers
        if worker.has_capacity(spec)
        and (
            spec.is_filler
            or worker.id not in cell.claims_by_worker
            or spec.size.fits(_unclaimed(cell, worker, priority))
        )
    ]


def _known_and_new(
    cell: _state.Cell, step: _state.StepRun
) -> tuple[list[_state.Worker], list[_state.Worker]]:
    """Return the usable workers that are approved, and those not asked for."""
    spec = step.spec
    approved, new = [], []
    for worker in cell.workers.values():
        entry = worker.entry
        if (
            entry.upstream != step.job.queue.upstream
            or step.ineligible.get(worker.id) == entry.incarnation
            or not spec.size.fits(entry.capacity)
            or not worker.is_usable(cell.now)
            or not meets_constraints(step, worker)
        ):
            continue
        approval = step.approvals.get(worker.id)
        if approval is not None and approval.incarnation == entry.incarnation:
            approved.append(worker)
        else:
            new.append(worker)
    return approved, new


def _limit(
    cell: _state.Cell,
    step: _state.StepRun,
    service: model.PolicyService,
    chosen: list[_state.Worker],
    others: list[_state.Worker],
) -> list[_state.Worker]:
    """Return the workers to name: the chosen ones, and others if cheap."""
    spec = step.spec

    def rank(worker: _state.Worker) -> tuple[bool, int]:
        return (not worker.has_capacity(spec), -worker.free_cpu)

    enough = max(
        cell.options.min_queried_workers,
        cell.options.queried_workers_per_task * len(step.pending),
    )
    limit = min(cell.options.max_queried_workers, enough)
    if service.decision_ms + service.each_ms * len(chosen) > LONG_QUERY_MS:
        limit = min(limit, cell.options.long_query_workers)
    named = sorted(chosen, key=rank)[:limit]
    breadth = limit
    if service.each_ms:
        cheap = int(BREADTH_SHARE * service.decision_ms / service.each_ms)
        breadth = min(limit, cheap)
    if len(named) < breadth:
        known = {worker.id for worker in named}
        further = [worker for worker in others if worker.id not in known]
        further.sort(key=rank)
        named += further[: breadth - len(named)]
    return named


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
        workers = sum(
            worker.entry.upstream == upstream
            for worker in cell.workers.values()
        )
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
    approved, new = _known_and_new(cell, step)
    lead_s = service.decision_ms / 1000 + AHEAD_MARGIN_S
    expiring = [
        worker
        for worker in approved
        if step.approvals[worker.id].valid_until < cell.now + lead_s
    ]
    if expiring:
        workers = _limit(cell, step, service, expiring, new)
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
    queried, step.pending_query = step.pending_query, {}
    valid_until = event.sent_at + event.validity_ms / 1000
    for worker_id, incarnation in queried.items():
        if cell.worker(worker_id, incarnation) is None:
            continue
        ticket = event.tickets_by_worker.get(worker_id)
        if ticket is None:
            step.ineligible[worker_id] = incarnation
            step.approvals.pop(worker_id, None)
        else:
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
    step.is_blocked = False


def handle_advice_failed(
    cell: _state.Cell, event: events.AdviceFailed
) -> None:
    """Allow the next query after a pause."""
    _release_claims(cell, event.step, event.workers)
    step = cell.step(event.step)
    if step is None:
        return
    step.pending_query = {}
    step.query_after = cell.now + cell.options.query_retry_s
    cell.log_decision(
        'advice_failed',
        job=step.job.spec.id,
        step=step.name,
        reason=event.reason,
    )
    step.is_blocked = False
