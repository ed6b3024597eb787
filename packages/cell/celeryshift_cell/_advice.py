"""Queries to the policy service, which decides which workers may run a step.

The service issues a ticket for each worker that it approves, and the worker
may reject a start order without a valid ticket. The decision on a worker never
changes for a step, but its ticket expires. The first query for a step names
the workers most likely to have free capacity. Later ones renew expired
tickets, or name further workers once all approved ones are full.
"""

from celeryshift_cell import _state
from celeryshift_cell import effects
from celeryshift_cell import events
from celeryshift_cell import model

# A query that would take longer names only the workers with the most free
# capacity.
LONG_QUERY_MS = 200.0


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
    workers = _query_candidates(cell, step, service)
    if not workers:
        return
    step.pending_query = {
        worker.id: worker.entry.incarnation for worker in workers
    }
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
    stale = [w for w in approved if valid_ticket(cell, step, w) is None]
    stale_with_capacity = [w for w in stale if w.has_capacity(spec)]
    new_with_capacity = [w for w in new if w.has_capacity(spec)]
    if not approved:
        # First query: if no worker has free capacity, name all of them, since
        # capacity may become free before the response.
        chosen = new_with_capacity or new
    elif stale_with_capacity or new_with_capacity:
        chosen = new_with_capacity + stale
    else:
        return []
    chosen.sort(key=lambda w: (not w.has_capacity(spec), -w.free_cpu))
    limit = cell.options.max_queried_workers
    if service.decision_ms + service.each_ms * len(chosen) > LONG_QUERY_MS:
        limit = min(limit, cell.options.long_query_workers)
    return chosen[:limit]


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
            step.approvals[worker_id] = _state.Approval(
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
