"""Requests: routing, deadlines, answers, retries and refusals."""

from celeryshift_core import _admission
from celeryshift_core import _config
from celeryshift_core import _explain
from celeryshift_core import _ids
from celeryshift_core import _launch
from celeryshift_core import _peers
from celeryshift_core import _quarantine
from celeryshift_core import _refusals
from celeryshift_core import _refusing
from celeryshift_core import _state
from celeryshift_core import _tasks
from celeryshift_core import _timers
from celeryshift_core import effects
from celeryshift_core import events
from celeryshift_core import schema

MAX_FORWARDS = 2
RUN_TIME_WEIGHT = 0.1
HOLD_MARGIN_S = 1.0

Outcome = events.Outcome
Ran = _refusals.Ran
Reason = _refusals.Reason
Refusal = _refusals.Refusal
FINAL = (Reason.DEADLINE, Reason.NO_UPSTREAM)


def arrived(
    state: _state.State, event: events.RequestArrived, out: _state.Out
) -> None:
    """Let a request in and route it, or refuse it at once."""
    state.counters['requests'] += 1
    admitted = _admit(state, event)
    if isinstance(admitted, Refusal):
        _count_refusal(state, admitted)
        out.append(effects.RefuseRequest(event.id, admitted))
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
    )
    state.requests_by_id[request.id] = request
    state.timers.set(_timers.RequestDue(request.id), request.deadline)
    _route(state, request, kind, out)


def due(
    state: _state.State, timer: _timers.RequestDue, out: _state.Out
) -> None:
    """Refuse a request at its deadline, if it was never sent."""
    request = state.requests_by_id.get(timer.id)
    if request is None or request.sent or request.forwarding:
        return
    kind = state.config.kinds.get(request.kind)
    if kind is None or not state.config.takes_work(kind.upstream):
        detail = f'the upstream of kind {request.kind!r} takes no new work'
        _refuse(state, request, Reason.NO_UPSTREAM, Ran.NO, detail, out)
        return
    if state.now < request.deadline:
        _unqueue(state, request)
        state.timers.set(timer, request.deadline)
        _route(state, request, kind, out)
        return
    detail = 'it waited for room until its deadline'
    _refuse(state, request, Reason.DEADLINE, Ran.NO, detail, out)


def abandoned(
    state: _state.State, event: events.RequestAbandoned, out: _state.Out
) -> None:
    """Forget a request whose caller has gone, unless it was sent."""
    request = state.requests_by_id.get(event.id)
    if request is not None and not request.sent and not request.forwarding:
        _finish(state, request, 'abandoned', 'its caller has gone')


def answered(
    state: _state.State, event: events.RequestAnswered, out: _state.Out
) -> None:
    """Take in the outcome of a request at its worker."""
    request = state.requests_by_id.get(event.id)
    if request is None or request.task is None:
        return
    task = request.task
    held = state.slices_by_number.get(request.slice)
    if event.attempt != task.attempt:
        return
    if event.outcome is not Outcome.UNKNOWN or request.asked:
        if held is not None and event.outcome is not Outcome.UNKNOWN:
            _launch.unbook(state, held, task)
    else:
        _keep_room(state, request, held, task)
    if held is not None and event.outcome is Outcome.REFUSED:
        _refusing.refused(state, held, task.worker, out)
    if event.outcome is Outcome.OK:
        if held is not None:
            _refusing.accepted(held.ledger.workers_by_name.get(task.worker))
        _take_answer(state, request, task, event.failed, out)
    else:
        _take_failure(state, request, task, event.outcome, out)


def forwarded(
    state: _state.State, event: events.RequestForwarded, out: _state.Out
) -> None:
    """Take in what a peer said of a request handed to it."""
    request = state.requests_by_id.get(event.id)
    if request is None:
        return
    request.forwarding = False
    kind = state.config.kinds.get(request.kind)
    if kind is not None:
        peer = state.membership.peers_by_id.get(request.forwarded_to[-1])
        _peers.charge(peer, kind.upstream, -kind.size.slots)
    if event.outcome is Outcome.OK:
        waited_s = state.now - request.arrived
        out.append(effects.AnswerRequest(request.id, 'peer', waited_s))
        _finish(state, request, 'answered', 'by a peer')
        return
    refusal = event.refusal
    if event.outcome is Outcome.UNKNOWN:
        refusal = Refusal(Reason.WORKER_LOST, Ran.UNKNOWN)
    unsent = refusal is None or refusal.ran is Ran.NO
    again = unsent or (
        refusal is not None
        and refusal.ran is Ran.UNKNOWN
        and kind is not None
        and kind.repeatable
    )
    if (
        again
        and kind is not None
        and len(request.forwarded_to) < MAX_FORWARDS
        and state.now < request.deadline
        and not (refusal and refusal.reason in FINAL)
    ):
        state.counters['requests.retried'] += 1
        _route(state, request, kind, out)
        return
    refusal = refusal or _no_room(state, state.options.retry_after_s)
    _give_refusal(state, request, refusal, out)


def not_claimed(
    state: _state.State,
    held: _state.Slice,
    task: _tasks.Task,
    found: schema.Row | None,
    out: _state.Out,
) -> None:
    """Refuse a request whose only run is claimed, or cannot be claimed."""
    request = state.requests_by_id[task.request]
    if found is None:
        detail = 'the claim of its only run could not be written'
        _refuse(state, request, Reason.STORE_DOWN, Ran.NO, detail, out)
    else:
        detail = 'a request of this name was sent before'
        _refuse(state, request, Reason.ALREADY_SENT, Ran.UNKNOWN, detail, out)


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


def _route(
    state: _state.State,
    request: _state.Request,
    kind: _config.Kind,
    out: _state.Out,
) -> None:
    """Use room of this node, else of a peer, else wait in a queue."""
    best = _own_slice(state, kind)
    if best is not None and _has_room(best, kind):
        _enqueue(state, request, kind, best, out)
        return
    peer = None
    if request.hops < state.options.max_hops:
        peer = _peers.with_room(
            state, kind.upstream, request.forwarded_to, best is None
        )
    if peer is not None:
        _forward(state, request, kind, peer, out)
    elif best is None:
        detail = 'this node owns no workers of the upstream yet'
        _refuse(state, request, Reason.NOT_READY, Ran.NO, detail, out)
    else:
        wait_s = _expected_wait(state, best, request.kind, kind)
        if state.now + wait_s >= request.deadline:
            _give_refusal(state, request, _no_room(state, wait_s), out)
        else:
            _enqueue(state, request, kind, best, out)


def _own_slice(state: _state.State, kind: _config.Kind) -> _state.Slice | None:
    """Give the slice with the most room left after its queue is served."""
    best = None
    most = 0
    for held in state.slices_by_number.values():
        if held.phase is _state.SlicePhase.RELEASING:
            continue
        if kind.upstream not in held.ledger.upstreams:
            continue
        room = held.ledger.free_slots(kind.upstream) - held.queue.length
        if best is None or room > most:
            best, most = held, room
    return best


def _has_room(held: _state.Slice, kind: _config.Kind) -> bool:
    waiting = 0 if kind.urgent else held.queue.length
    free = held.ledger.free_slots(kind.upstream)
    return free - waiting >= kind.size.slots


def _enqueue(
    state: _state.State,
    request: _state.Request,
    kind: _config.Kind,
    held: _state.Slice,
    out: _state.Out,
) -> None:
    task_id = _ids.task_of_request(request.team, request.name)
    if task_id in held.tasks_by_id:
        detail = 'a request of this name is being run now'
        _refuse(state, request, Reason.DUPLICATE, Ran.UNKNOWN, detail, out)
        return
    task = _tasks.Task(
        task_id,
        request.team,
        request.kind,
        kind.upstream,
        kind.size,
        kind.urgent,
        request.arrived,
        request=request.id,
    )
    task.note(state.now, 'queued', f'slice {held.number}')
    held.tasks_by_id[task_id] = task
    request.task = task
    request.slice = held.number
    held.queue.push(task)
    state.touched[held.number] = None


def _unqueue(state: _state.State, request: _state.Request) -> None:
    task = request.task
    held = state.slices_by_number.get(request.slice)
    request.task = None
    request.slice = -1
    if task is not None and held is not None:
        held.queue.leave(task, _tasks.TaskState.CANCELLED)
        if held.tasks_by_id.get(task.id) is task:
            del held.tasks_by_id[task.id]


def _forward(
    state: _state.State,
    request: _state.Request,
    kind: _config.Kind,
    peer: _state.Peer,
    out: _state.Out,
) -> None:
    request.forwarding = True
    request.forwarded_to += (peer.id,)
    _peers.charge(peer, kind.upstream, kind.size.slots)
    state.counters['requests.forwarded'] += 1
    out.append(
        effects.ForwardRequest(
            request.id,
            request.name,
            peer.id,
            peer.address,
            request.team,
            request.kind,
            request.deadline - state.now,
            request.hops + 1,
        )
    )


def _keep_room(
    state: _state.State,
    request: _state.Request,
    held: _state.Slice | None,
    task: _tasks.Task,
) -> None:
    """Keep the room of a run that may go on until its timeout."""
    if held is None:
        return
    held.unconfirmed.discard(task.run_id)
    key = _timers.HoldEnds(held.number, held.epoch, task.worker, task.run_id)
    left_s = max(0.0, request.deadline - state.now)
    state.timers.set(key, state.now + left_s + HOLD_MARGIN_S)


def _take_answer(
    state: _state.State,
    request: _state.Request,
    task: _tasks.Task,
    failed: bool,
    out: _state.Out,
) -> None:
    placed_at = task.decisions[-1].at
    _learn_run_time(state, request.kind, state.now - placed_at)
    _quarantine.request_ended(state, request.slice, task, failed, out)
    if failed:
        detail = f'worker {task.worker} ran it and reported a failure'
        _refuse(state, request, Reason.UPSTREAM_FAILED, Ran.YES, detail, out)
        return
    waited_s = placed_at - request.arrived
    out.append(effects.AnswerRequest(request.id, task.worker, waited_s))
    state.counters['requests.answered'] += 1
    _finish(state, request, 'answered', '')


def _take_failure(
    state: _state.State,
    request: _state.Request,
    task: _tasks.Task,
    outcome: Outcome,
    out: _state.Out,
) -> None:
    kind = state.config.kinds.get(request.kind)
    surely_not_run = outcome in (Outcome.UNSENT, Outcome.REFUSED)
    repeatable = kind is not None and kind.repeatable
    if outcome is Outcome.UNKNOWN and not repeatable and not request.asked:
        _ask_outcome(state, request, task, out)
        return
    ran = Ran.NO if surely_not_run else Ran.UNKNOWN
    may_retry = (
        kind is not None
        and (repeatable or surely_not_run)
        and task.attempt < kind.max_attempts
        and state.now < request.deadline
    )
    if may_retry and kind is not None:
        _retry(state, request, task, kind, surely_not_run, out)
    elif surely_not_run and state.now >= request.deadline:
        detail = 'it was not sent before its deadline'
        _refuse(state, request, Reason.DEADLINE, ran, detail, out)
    else:
        detail = f'worker {task.worker} did not answer'
        _refuse(state, request, Reason.WORKER_LOST, ran, detail, out)


def _ask_outcome(
    state: _state.State,
    request: _state.Request,
    task: _tasks.Task,
    out: _state.Out,
) -> None:
    held = state.slices_by_number.get(request.slice)
    worker = held.ledger.workers_by_name.get(task.worker) if held else None
    left_s = request.deadline - state.now
    if worker is None or left_s <= 0:
        detail = f'worker {task.worker} did not answer'
        _refuse(state, request, Reason.WORKER_LOST, Ran.UNKNOWN, detail, out)
        return
    request.asked = True
    out.append(
        effects.AskOutcome(
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
    out: _state.Out,
) -> None:
    """Try again, in another slice if this one has no room left."""
    state.counters['requests.retried'] += 1
    task.note(state.now, 'retried', f'after {task.worker}')
    task.failed_on += (task.worker,)
    request.sent = False
    held = state.slices_by_number.get(request.slice)
    if (
        held is None
        or held.phase is _state.SlicePhase.RELEASING
        or (elsewhere and not _has_room(held, kind))
    ):
        _unqueue(state, request)
        _route(state, request, kind, out)
    else:
        held.queue.push(task, front=True)
        state.touched[held.number] = None


def _refuse(
    state: _state.State,
    request: _state.Request,
    reason: Reason,
    ran: Ran,
    detail: str,
    out: _state.Out,
) -> None:
    retry_s = None if ran is Ran.YES else state.options.retry_after_s
    refusal = Refusal(reason, ran, retry_s, detail)
    _give_refusal(state, request, refusal, out)


def _give_refusal(
    state: _state.State,
    request: _state.Request,
    refusal: Refusal,
    out: _state.Out,
) -> None:
    _count_refusal(state, refusal)
    out.append(effects.RefuseRequest(request.id, refusal))
    why = f'{refusal.reason.value}: {refusal.detail}'
    _finish(state, request, 'refused', why)


def _finish(
    state: _state.State, request: _state.Request, what: str, why: str
) -> None:
    del state.requests_by_id[request.id]
    state.timers.cancel(_timers.RequestDue(request.id))
    task = request.task
    held = state.slices_by_number.get(request.slice)
    if task is None:
        return
    if held is not None:
        held.queue.leave(task, _tasks.TaskState.CANCELLED)
        if held.tasks_by_id.get(task.id) is task:
            del held.tasks_by_id[task.id]
        if task.state is _tasks.TaskState.STARTING and not request.sent:
            _launch.unbook(state, held, task)
    task.state = _tasks.TaskState.DONE
    task.note(state.now, what, why)
    _explain.remember(state, task)


def _no_room(state: _state.State, wait_s: float) -> Refusal:
    retry_s = max(wait_s, state.options.retry_after_s)
    return Refusal(Reason.NO_ROOM, Ran.NO, retry_s, 'no room in time')


def _count_refusal(state: _state.State, refusal: Refusal) -> None:
    state.counters[f'refused.{refusal.reason.value}'] += 1


def _expected_wait(
    state: _state.State,
    held: _state.Slice,
    kind_name: str,
    kind: _config.Kind,
) -> float:
    """Estimate the wait from the queue and the mean run time of the kind.

    Source: Little, A proof for the queuing formula L = λW, 1961.
    """
    run_s = state.run_s_by_kind.get(kind_name, 0.0)
    slots = held.ledger.capacity_slots(kind.upstream)
    return held.queue.ahead_of(kind.urgent) * run_s / max(1, slots)


def _learn_run_time(state: _state.State, kind_name: str, run_s: float) -> None:
    before = state.run_s_by_kind.get(kind_name, run_s)
    state.run_s_by_kind[kind_name] = (
        before + (run_s - before) * RUN_TIME_WEIGHT
    )
