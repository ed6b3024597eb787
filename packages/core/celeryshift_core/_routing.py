"""Routing of requests: to a slice of this node, to a peer, or to a queue."""

from celeryshift_core import _config
from celeryshift_core import _ids
from celeryshift_core import _limits
from celeryshift_core import _peers
from celeryshift_core import _refusals
from celeryshift_core import _state
from celeryshift_core import _tasks
from celeryshift_core import _timers
from celeryshift_core import effects

MAX_FORWARDS = 2
MIN_RECHECK_S = 0.05
MAX_RECHECK_S = 0.25
MAX_UNOWNED_WAIT_S = 1.0

Ran = _refusals.Ran
Reason = _refusals.Reason
Refusal = _refusals.Refusal


def route(
    state: _state.State,
    request: _state.Request,
    kind: _config.Kind,
    outbox: _state.Outbox,
) -> Refusal | None:
    """Use capacity of this node, else of a peer, else queue the request.

    Returns a refusal if none of them is possible.
    """
    best = _best_local_slice(state, request.team, kind)
    if best is not None and has_free_capacity(state, best, request.team, kind):
        return _enqueue(state, request, kind, best)
    peer = None
    if _may_forward(state, request):
        peer = _peers.choose_with_free_slots(
            state, kind.upstream, request.forwarded_to, best is None
        )
    if peer is not None:
        _forward(state, request, kind, peer, outbox)
        return None
    if best is None:
        detail = 'this node owns no workers of the upstream yet'
        retry_s = state.options.retry_after_s
        return Refusal(Reason.NOT_READY, Ran.NO, retry_s, detail)
    wait_s = _expected_wait(state, best, request.kind, kind)
    if state.now + wait_s >= request.deadline:
        return no_capacity_refusal(state, wait_s)
    return _enqueue(state, request, kind, best)


def schedule_recheck(state: _state.State, request: _state.Request) -> None:
    """Schedule the next check for capacity elsewhere, with backoff."""
    waited_s = state.now - request.arrived
    delay_s = min(max(MIN_RECHECK_S, waited_s), MAX_RECHECK_S)
    at = min(request.deadline, state.now + delay_s)
    state.timers.set(_timers.RequestDue(request.id), at)


def is_transient(
    state: _state.State, request: _state.Request, refusal: Refusal
) -> bool:
    """Return whether to route a refused request again a little later.

    That is if neither this node nor a known peer has a slice for it yet, for
    at most MAX_UNOWNED_WAIT_S after its arrival.
    """
    waited_s = state.now - request.arrived
    return (
        refusal.reason is Reason.NOT_READY
        and request.hops == 0
        and waited_s < MAX_UNOWNED_WAIT_S
        and state.now < request.deadline
    )


def can_run_elsewhere(
    state: _state.State, request: _state.Request, kind: _config.Kind
) -> bool:
    """Return whether to route a queued request again.

    That is if its slice can no longer run it, or if another slice of this
    node or a peer has free capacity.
    """
    task = request.task
    if task is None or task.state is not _tasks.TaskState.QUEUED:
        return False
    slice_ = state.slices_by_number.get(request.slice)
    if slice_ is None or slice_.phase is _state.SlicePhase.RELEASING:
        return True
    if kind.upstream not in slice_.ledger.upstreams:
        return True
    best = _best_local_slice(state, request.team, kind)
    if (
        best is not None
        and best.number != request.slice
        and has_free_capacity(state, best, request.team, kind)
    ):
        return True
    return _may_forward(state, request) and _peers.any_has_free_slots(
        state, kind.upstream, request.forwarded_to
    )


def has_free_capacity(
    state: _state.State, slice_: _state.Slice, team: str, kind: _config.Kind
) -> bool:
    """Return whether a slice can run one more request of a team."""
    free = slice_.ledger.free_slots(kind.upstream) - slice_.queue.count_ahead(
        kind.urgent
    )
    return (
        free >= kind.size.slots
        and _limits.remaining_slots(state, slice_, team) >= kind.size.slots
    )


def remove_from_queue(state: _state.State, request: _state.Request) -> None:
    """Remove a request from the queue of its slice."""
    task = request.task
    slice_ = state.slices_by_number.get(request.slice)
    request.detach_from_slice()
    if task is not None and slice_ is not None:
        slice_.queue.discard(task, _tasks.TaskState.CANCELLED)
        if slice_.tasks_by_id.get(task.id) is task:
            del slice_.tasks_by_id[task.id]


def no_capacity_refusal(state: _state.State, wait_s: float) -> Refusal:
    """Return the refusal of a request that would wait too long."""
    retry_s = max(wait_s, state.options.retry_after_s)
    return Refusal(Reason.NO_ROOM, Ran.NO, retry_s, 'no room in time')


def _best_local_slice(
    state: _state.State, team: str, kind: _config.Kind
) -> _state.Slice | None:
    """Return the slice with the most capacity beyond its queue.

    A slice whose allotment for the team is used up counts as full.
    """
    candidates = [
        slice_
        for slice_ in state.slices_by_number.values()
        if slice_.phase is not _state.SlicePhase.RELEASING
        and kind.upstream in slice_.ledger.upstreams
    ]

    def remaining_capacity(slice_: _state.Slice) -> tuple[int, int]:
        ahead = slice_.queue.count_ahead(kind.urgent)
        free = slice_.ledger.free_slots(kind.upstream) - ahead
        remaining = _limits.remaining_slots(state, slice_, team) - ahead
        return min(free, remaining), free

    return max(candidates, key=remaining_capacity, default=None)


def _enqueue(
    state: _state.State,
    request: _state.Request,
    kind: _config.Kind,
    slice_: _state.Slice,
) -> Refusal | None:
    task_id = _ids.task_of_request(request.team, request.name)
    if task_id in slice_.tasks_by_id:
        detail = 'a request of this name is being run now'
        retry_s = state.options.retry_after_s
        return Refusal(Reason.DUPLICATE, Ran.UNKNOWN, retry_s, detail)
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
    # The attempt count continues, so that each run has a unique name.
    task.attempt = request.attempt
    task.failed_on = request.failed_on
    task.claim_version = request.claim_version
    task.record_decision(state.now, 'queued', f'slice {slice_.number}')
    slice_.tasks_by_id[task_id] = task
    request.task = task
    request.slice = slice_.number
    slice_.queue.push(task)
    state.slices_to_place[slice_.number] = None
    return None


def _may_forward(state: _state.State, request: _state.Request) -> bool:
    return (
        request.hops < state.options.max_hops
        # A peer would find the claim and not send the request.
        and not request.claim_version
        and len(request.forwarded_to) < MAX_FORWARDS
    )


def _forward(
    state: _state.State,
    request: _state.Request,
    kind: _config.Kind,
    peer: _state.Peer,
    outbox: _state.Outbox,
) -> None:
    request.forwarding = True
    request.forwarded_at = state.now
    request.forwarded_to += (peer.id,)
    _peers.debit_free_slots(peer, kind.upstream, kind.size.slots)
    state.counters['requests.forwarded'] += 1
    outbox.append(
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


def _expected_wait(
    state: _state.State,
    slice_: _state.Slice,
    kind_name: str,
    kind: _config.Kind,
) -> float:
    """Estimate the wait from the queue and the mean run time of the kind.

    Source: Little, A proof for the queuing formula L = λW, 1961.
    """
    run_s = state.run_s_by_kind.get(kind_name, 0.0)
    slots = slice_.ledger.capacity_slots(kind.upstream)
    return slice_.queue.count_ahead(kind.urgent) * run_s / max(1, slots)
