"""Requests: routing, deadlines, answers, retries and refusals."""

from celeryshift_core import _admission
from celeryshift_core import _config
from celeryshift_core import _dispatch
from celeryshift_core import _explain
from celeryshift_core import _peers
from celeryshift_core import _quarantine
from celeryshift_core import _refusal_checks
from celeryshift_core import _refusals
from celeryshift_core import _retry_budget
from celeryshift_core import _routing
from celeryshift_core import _state
from celeryshift_core import _tasks
from celeryshift_core import _timers
from celeryshift_core import _worker_backoff
from celeryshift_core import effects
from celeryshift_core import events
from celeryshift_core import schema

# Weight of the latest run in the moving average of the run times of a kind.
RUN_TIME_WEIGHT = 0.1
BOOKING_MARGIN_S = 1.0
DEADLINE_MARGIN_S = 0.1

Outcome = events.Outcome
Ran = _refusals.Ran
Reason = _refusals.Reason
Refusal = _refusals.Refusal
# Refusals that do not depend on the peer, so that no other one is tried.
FINAL_REASONS = (Reason.DEADLINE, Reason.NO_UPSTREAM)


def handle_arrived(
    state: _state.State, event: events.RequestArrived, outbox: _state.Outbox
) -> None:
    """Admit a request and route it, or refuse it at once."""
    state.counters['requests'] += 1
    admitted = _admit(state, event)
    if isinstance(admitted, Refusal):
        _count_refusal(state, admitted)
        outbox.append(effects.RefuseRequest(event.id, admitted))
        return
    kind = admitted.kind
    timeout_s = min(event.timeout_s or kind.timeout_s, kind.timeout_s)
    request = _state.Request(
        event.id,
        event.name,
        event.kind,
        admitted.team,
        state.now,
        state.now + timeout_s,
        event.hops,
        event.named,
    )
    state.requests_by_id[request.id] = request
    _budget_of(state, request.team).earn()
    _route(state, request, kind, outbox)


def handle_due(
    state: _state.State, timer: _timers.RequestDue, outbox: _state.Outbox
) -> None:
    """Route a waiting request again, or refuse it at its deadline."""
    request = state.requests_by_id.get(timer.id)
    if request is None or request.sent or request.forwarding:
        return
    kind = state.config.kinds.get(request.kind)
    if kind is None or not state.config.takes_work(kind.upstream):
        detail = f'the upstream of kind {request.kind!r} takes no new work'
        _refuse(state, request, Reason.NO_UPSTREAM, Ran.NO, detail, outbox)
        return
    if state.now < request.deadline:
        if request.task is None or _routing.can_run_elsewhere(
            state, request, kind
        ):
            _routing.remove_from_queue(state, request)
            _route(state, request, kind, outbox)
        else:
            _routing.schedule_recheck(state, request)
        return
    detail = 'it waited for room until its deadline'
    _refuse(state, request, Reason.DEADLINE, Ran.NO, detail, outbox)


def handle_abandoned(
    state: _state.State, event: events.RequestAbandoned, outbox: _state.Outbox
) -> None:
    """Drop a request whose caller disconnected, unless it was sent."""
    request = state.requests_by_id.get(event.id)
    if request is not None and not request.sent and not request.forwarding:
        _finish(state, request, 'abandoned', 'its caller has gone')


def handle_answered(
    state: _state.State, event: events.RequestAnswered, outbox: _state.Outbox
) -> None:
    """Handle the outcome of a request at its worker."""
    request = state.requests_by_id.get(event.id)
    if request is None or request.task is None:
        return
    task = request.task
    slice_ = state.slices_by_number.get(request.slice)
    if event.attempt != task.attempt:
        return
    # If a query of the outcome fails too, the booking stays until the timer
    # that was set before the query.
    if event.outcome is not Outcome.UNKNOWN or request.outcome_queried:
        if slice_ is not None and event.outcome is not Outcome.UNKNOWN:
            _dispatch.release_task(state, slice_, task)
    else:
        _keep_booking(state, request, slice_, task)
    if slice_ is not None and event.outcome is Outcome.REFUSED:
        _worker_backoff.handle_refusal(state, slice_, task.worker, outbox)
    # A timeout at the deadline may be due to slow work, and so does not count
    # against the worker.
    before_deadline = state.now < request.deadline - DEADLINE_MARGIN_S
    if (
        slice_ is not None
        and event.outcome is Outcome.UNKNOWN
        and before_deadline
    ):
        _worker_backoff.handle_no_answer(state, slice_, task.worker, outbox)
    if event.outcome is Outcome.OK:
        if slice_ is not None:
            _worker_backoff.handle_accepted(
                slice_.ledger.workers_by_name.get(task.worker)
            )
        _handle_answer(state, request, task, event.failed, outbox)
    else:
        _handle_failure(state, request, task, event.outcome, outbox)


def handle_forwarded(
    state: _state.State, event: events.RequestForwarded, outbox: _state.Outbox
) -> None:
    """Handle the reply of a peer to a forwarded request."""
    request = state.requests_by_id.get(event.id)
    if request is None:
        return
    request.forwarding = False
    kind = state.config.kinds.get(request.kind)
    peer = state.membership.peers_by_id.get(request.forwarded_to[-1])
    if kind is not None:
        _peers.debit_free_slots(peer, kind.upstream, -kind.size.slots)
    if event.outcome is Outcome.UNSENT:
        # A peer that accepts no connection counts as full until it reports
        # free slots.
        _peers.mark_unreachable(state, peer)
    if event.outcome is Outcome.OK:
        waited_s = request.forwarded_at - request.arrived + event.waited_s
        outbox.append(
            effects.AnswerRequest(request.id, event.worker, waited_s)
        )
        _finish(state, request, 'answered', 'by a peer')
        return
    refusal = event.refusal
    if event.outcome is Outcome.UNKNOWN:
        refusal = Refusal(Reason.WORKER_LOST, Ran.UNKNOWN)
    if kind is not None and _may_route_again(state, request, kind, refusal):
        state.counters['requests.retried'] += 1
        _route(state, request, kind, outbox)
        return
    refusal = refusal or _routing.no_capacity_refusal(
        state, state.options.retry_after_s
    )
    _send_refusal(state, request, refusal, outbox)


def handle_claim_failed(
    state: _state.State,
    slice_: _state.Slice,
    task: _tasks.Task,
    claim_row: schema.Row | None,
    outbox: _state.Outbox,
) -> None:
    """Refuse a request whose at-most-once claim was not obtained."""
    request = state.requests_by_id[task.request]
    if claim_row is None:
        detail = 'the claim of its only run could not be written'
        _refuse(state, request, Reason.STORE_DOWN, Ran.NO, detail, outbox)
    else:
        detail = 'a request of this name was sent before'
        _refuse(
            state, request, Reason.ALREADY_SENT, Ran.UNKNOWN, detail, outbox
        )


def _may_route_again(
    state: _state.State,
    request: _state.Request,
    kind: _config.Kind,
    refusal: Refusal | None,
) -> bool:
    """Return whether to route a request that a peer did not answer."""
    if state.now >= request.deadline:
        return False
    if refusal is None:
        # It was not sent, so another attempt adds no load.
        return True
    return (
        (refusal.ran is Ran.NO or kind.repeatable)
        and refusal.ran is not Ran.YES
        and refusal.reason not in FINAL_REASONS
        and len(request.forwarded_to) < _routing.MAX_FORWARDS
        and _budget_of(state, request.team).spend()
    )


def _admit(
    state: _state.State, event: events.RequestArrived
) -> _admission.Admitted | Refusal:
    if event.credentials is not None:
        admitted = _admission.admit(state, event.credentials, event.kind, None)
    else:
        admitted = _admission.admit_from_peer(state, event.team, event.kind)
    if isinstance(admitted, Refusal):
        return admitted
    if admitted.kind.policy is not _config.Policy.REQUEST:
        detail = f'kind {event.kind!r} is for jobs'
        return Refusal(Reason.BAD_REQUEST, detail=detail)
    return admitted


def _budget_of(state: _state.State, team: str) -> _retry_budget.RetryBudget:
    budget = state.budgets_by_team.get(team)
    if budget is None:
        budget = state.budgets_by_team[team] = _retry_budget.RetryBudget()
    return budget


def _keep_booking(
    state: _state.State,
    request: _state.Request,
    slice_: _state.Slice | None,
    task: _tasks.Task,
) -> None:
    """Keep the booking of a run that may continue until its timeout."""
    if slice_ is None:
        return
    slice_.unconfirmed_starts.discard(task.run_id)
    key = _timers.BookingEnds(
        slice_.number, slice_.epoch, task.worker, task.run_id
    )
    # The worker measures the time limit on its own clock, from the arrival.
    limit_s = request.deadline - task.decisions[-1].at
    slow_s = limit_s * state.options.clock_margin
    ends_at = max(state.now, request.deadline + slow_s)
    state.timers.set(key, ends_at + BOOKING_MARGIN_S)


def _handle_answer(
    state: _state.State,
    request: _state.Request,
    task: _tasks.Task,
    failed: bool,
    outbox: _state.Outbox,
) -> None:
    # The last decision about a request that was sent is its placement.
    placed_at = task.decisions[-1].at
    _update_run_time(state, request.kind, state.now - placed_at)
    _quarantine.record_request_result(
        state, request.slice, task, failed, outbox
    )
    if failed:
        detail = f'worker {task.worker} ran it and reported a failure'
        _refuse(
            state, request, Reason.UPSTREAM_FAILED, Ran.YES, detail, outbox
        )
        return
    waited_s = placed_at - request.arrived
    outbox.append(effects.AnswerRequest(request.id, task.worker, waited_s))
    state.counters['requests.answered'] += 1
    _finish(state, request, 'answered', '')


def _handle_failure(
    state: _state.State,
    request: _state.Request,
    task: _tasks.Task,
    outcome: Outcome,
    outbox: _state.Outbox,
) -> None:
    kind = state.config.kinds.get(request.kind)
    did_not_run = outcome in (Outcome.UNSENT, Outcome.REFUSED)
    repeatable = kind is not None and kind.repeatable
    if (
        outcome is Outcome.UNKNOWN
        and not repeatable
        and not request.outcome_queried
    ):
        _query_outcome(state, request, task, outbox)
        return
    ran = Ran.NO if did_not_run else Ran.UNKNOWN
    may_retry = (
        kind is not None
        and (repeatable or did_not_run)
        and task.attempt < kind.max_attempts
        and state.now < request.deadline
        and _budget_of(state, request.team).spend()
    )
    if may_retry and kind is not None:
        _retry(state, request, task, kind, did_not_run, outbox)
    elif did_not_run and state.now >= request.deadline:
        detail = 'it was not sent before its deadline'
        _refuse(state, request, Reason.DEADLINE, ran, detail, outbox)
    else:
        detail = f'worker {task.worker} did not answer'
        _refuse(state, request, Reason.WORKER_LOST, ran, detail, outbox)


def _query_outcome(
    state: _state.State,
    request: _state.Request,
    task: _tasks.Task,
    outbox: _state.Outbox,
) -> None:
    slice_ = state.slices_by_number.get(request.slice)
    worker = slice_.ledger.workers_by_name.get(task.worker) if slice_ else None
    left_s = request.deadline - state.now
    if worker is None or left_s <= 0:
        detail = f'worker {task.worker} did not answer'
        _refuse(
            state, request, Reason.WORKER_LOST, Ran.UNKNOWN, detail, outbox
        )
        return
    request.outcome_queried = True
    outbox.append(
        effects.QueryOutcome(
            request.id,
            task.attempt,
            task.run_id,
            worker.name,
            worker.address,
            left_s,
        )
    )


def _retry(
    state: _state.State,
    request: _state.Request,
    task: _tasks.Task,
    kind: _config.Kind,
    elsewhere: bool,
    outbox: _state.Outbox,
) -> None:
    """Retry a request, in another slice if this one has no capacity."""
    state.counters['requests.retried'] += 1
    task.record_decision(state.now, 'retried', f'after {task.worker}')
    task.failed_on += (task.worker,)
    request.sent = False
    request.outcome_queried = False
    slice_ = state.slices_by_number.get(request.slice)
    if (
        slice_ is None
        or slice_.phase is _state.SlicePhase.RELEASING
        or (
            elsewhere
            and not _routing.has_free_capacity(state, slice_, task.team, kind)
        )
    ):
        _routing.remove_from_queue(state, request)
        _route(state, request, kind, outbox)
    else:
        _routing.schedule_recheck(state, request)
        slice_.queue.push(task, front=True)
        state.slices_to_place[slice_.number] = None


def _route(
    state: _state.State,
    request: _state.Request,
    kind: _config.Kind,
    outbox: _state.Outbox,
) -> None:
    _routing.schedule_recheck(state, request)
    refusal = _routing.route(state, request, kind, outbox)
    if refusal is None:
        return
    if _routing.is_transient(state, request, refusal):
        # Its timer routes it again, for at most MAX_UNOWNED_WAIT_S, which is
        # about as long as a change of slice ownership takes.
        request.forwarded_to = ()
    else:
        _send_refusal(state, request, refusal, outbox)


def _refuse(
    state: _state.State,
    request: _state.Request,
    reason: Reason,
    ran: Ran,
    detail: str,
    outbox: _state.Outbox,
) -> None:
    retry_s = None if ran is Ran.YES else state.options.retry_after_s
    refusal = Refusal(reason, ran, retry_s, detail)
    _send_refusal(state, request, refusal, outbox)


def _send_refusal(
    state: _state.State,
    request: _state.Request,
    refusal: Refusal,
    outbox: _state.Outbox,
) -> None:
    _refusal_checks.refuse(state, request, refusal, outbox)
    why = f'{refusal.reason.value}: {refusal.detail}'
    _finish(state, request, 'refused', why)


def _finish(
    state: _state.State, request: _state.Request, what: str, why: str
) -> None:
    del state.requests_by_id[request.id]
    state.timers.cancel(_timers.RequestDue(request.id))
    task = request.task
    slice_ = state.slices_by_number.get(request.slice)
    if task is None:
        return
    if slice_ is not None:
        slice_.queue.discard(task, _tasks.TaskState.CANCELLED)
        if slice_.tasks_by_id.get(task.id) is task:
            del slice_.tasks_by_id[task.id]
        if task.state is _tasks.TaskState.STARTING and not request.sent:
            _dispatch.release_task(state, slice_, task)
    task.state = _tasks.TaskState.DONE
    task.record_decision(state.now, what, why)
    _explain.remember_completed(state, task)


def _count_refusal(state: _state.State, refusal: Refusal) -> None:
    state.counters[f'refused.{refusal.reason.value}'] += 1


def _update_run_time(
    state: _state.State, kind_name: str, run_s: float
) -> None:
    before = state.run_s_by_kind.get(kind_name, run_s)
    state.run_s_by_kind[kind_name] = (
        before + (run_s - before) * RUN_TIME_WEIGHT
    )
