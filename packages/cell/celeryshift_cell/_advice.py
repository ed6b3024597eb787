"""Queries to the policy service, which decides which workers may run a step.

The service issues a ticket for each worker that it approves, and the worker
may reject a start order without a valid ticket. The decision on a worker never
changes for a step, but its ticket expires.

Two kinds of query are sent ahead of need, since a decision may take longer
than the tasks themselves: for a step whose predecessor is about to complete,
and to renew the tickets of the steps that are next to get free capacity.
"""

import heapq

from celeryshift_cell import _claims
from celeryshift_cell import _headroom
from celeryshift_cell import _jobs
from celeryshift_cell import _named_workers
from celeryshift_cell import _ordering
from celeryshift_cell import _requirements
from celeryshift_cell import _state
from celeryshift_cell import _tickets
from celeryshift_cell import effects
from celeryshift_cell import events
from celeryshift_cell import model

# Tickets are renewed ahead of need if a decision takes at least this long.
SLOW_DECISION_MS = 100.0
# Maximum number of steps whose tickets are renewed ahead, for each upstream
# and as a share of its workers: the service answers each node one call at a
# time.
MAX_RENEWED_STEPS = 12
RENEWED_STEPS_SHARE = 0.15
# Maximum number of queries in flight, and share of it and of the memory for
# decisions that steps may use that are not urgent.
MAX_QUERIES = 1024
OTHERS_SHARE = 0.5
# Margin beyond the expected duration of a query that is sent ahead.
AHEAD_MARGIN_S = 0.1


def query(cell: _state.Cell, step: _state.StepRun) -> None:
    """Query the policy service for a waiting step, if that may help."""
    service = _requirements.policy_service(step)
    if service is None or step.pending_query or cell.now < step.query_after:
        return
    if not _has_room(cell, step):
        return
    _send(cell, step, service, _named_workers.choose(cell, step, service))


def _has_room(cell: _state.Cell, step: _state.StepRun) -> bool:
    """Return whether the memory has room for a first query for a step.

    Urgent steps may use all of it, so that others don't keep them waiting.
    """
    if step.approvals or step.ineligible:
        return True
    share = 1.0 if _headroom.is_urgent(step) else OTHERS_SHARE
    return (
        cell.queries_in_flight < share * MAX_QUERIES
        and cell.footprint.may_query(share)
    )


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
    _claims.claim(cell, step, workers)
    cell.queries_in_flight += 1
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


def abandon_unusable(cell: _state.Cell) -> None:
    """Abandon the queries that name no usable worker any more.

    The steps are then queried for other workers at once.
    """
    for job in cell.jobs.values():
        for step in job.steps.known:
            named = step.pending_query
            if not named or any(
                worker is not None and worker.is_usable(cell.now)
                for worker in map(cell.workers.get, named)
            ):
                continue
            step.pending_query = {}
            _claims.release(cell, step.name, tuple(named))
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
    service = _requirements.policy_service(step)
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
        number == step.number or steps.is_done(successor.occurrence, number)
        for number in successor.spec.after
    )


def plan_ahead(cell: _state.Cell, step: _state.StepRun) -> None:
    """Schedule the queries for the successors of a step that has started."""
    service = _requirements.policy_service(step)
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
        service = _requirements.policy_service(step)
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
    service = _requirements.policy_service(step)
    if service is None or step.pending_query or cell.now < step.query_after:
        return
    approved = _named_workers.approved_workers(cell, step)
    lead_s = service.decision_ms / 1000 + AHEAD_MARGIN_S
    expiring = [
        worker
        for worker in approved
        if step.approvals[worker.id].valid_until < cell.now + lead_s
    ]
    if expiring:
        workers = _named_workers.limit_workers(
            cell, step, service, iter(()), expiring, []
        )
        _send(cell, step, service, workers)


def handle_advice_answered(
    cell: _state.Cell, event: events.AdviceAnswered
) -> None:
    """Store the approvals and tickets of a response."""
    _claims.release(cell, event.step, event.workers)
    cell.queries_in_flight = max(0, cell.queries_in_flight - 1)
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
    step.count_decisions()
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
    _claims.release(cell, event.step, event.workers)
    cell.queries_in_flight = max(0, cell.queries_in_flight - 1)
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
