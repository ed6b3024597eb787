"""Exchange of summaries with peers, and choice of a peer with capacity."""

from collections.abc import Callable
from typing import Any

from celeryshift_core import _configuration
from celeryshift_core import _confirmation
from celeryshift_core import _job_arrivals
from celeryshift_core import _keys
from celeryshift_core import _limit_claims
from celeryshift_core import _ownership
from celeryshift_core import _promises
from celeryshift_core import _state
from celeryshift_core import _timers
from celeryshift_core import _usage
from celeryshift_core import effects
from celeryshift_core import events
from celeryshift_core import messages

EARLY_POLL_S = 0.2
PROBE_INTERVAL_S = 3.0


def send_summaries(state: _state.State, outbox: _state.Outbox) -> None:
    """Send summaries to peers after changes, and at regular intervals.

    Peers in other data centres receive them less often, and after a change of
    free slots only if an upstream becomes full or is full no longer, so that
    the traffic of a node hardly grows with the fleet.
    """
    at = state.now + state.options.summary_s
    state.timers.set(_timers.SendSummaries(), at)
    if state.phase is _state.NodePhase.STARTING:
        return
    confirmed_at = state.config_confirmed_at
    summary = messages.Summary(
        state.node,
        sorted(state.slices_by_number),
        _state.sum_free_slots(state),
        state.config.version,
        state.now - confirmed_at if confirmed_at is not None else -1.0,
        state.phase is _state.NodePhase.DRAINING,
    )
    live = {peer.id for peer in _ownership.live_peers(state)}
    for peer in state.membership.peers_by_id.values():
        silent_s = state.now - peer.unreachable_at
        is_reachable = peer.id in live or silent_s > PROBE_INTERVAL_S
        if is_reachable and _is_due(state, peer, summary):
            peer.last_summary_sent = summary
            peer.summary_sent_at = state.now
            outbox.append(effects.SendMessage(peer.id, peer.address, summary))


def handle_message(
    state: _state.State,
    event: events.PeerMessageArrived,
    outbox: _state.Outbox,
) -> None:
    """Dispatch a message from another node to its handler."""
    handler = _HANDLERS_BY_TYPE[type(event.message)]
    handler(state, event.sender, event.message, outbox)


def handle_unreachable(
    state: _state.State, event: events.PeerUnreachable, outbox: _state.Outbox
) -> None:
    """Discard the summary of a peer that does not answer."""
    mark_unreachable(state, state.membership.peers_by_id.get(event.peer))


def mark_unreachable(state: _state.State, peer: _state.Peer | None) -> None:
    """Treat a peer as full until its next summary arrives."""
    if peer is not None:
        peer.last_heard_at = None
        peer.unreachable_at = state.now
        peer.free_slots_by_upstream = {}


def choose_with_free_slots(
    state: _state.State,
    upstream: str,
    tried: tuple[str, ...],
    may_wait: bool,
) -> _state.Peer | None:
    """Return a peer with free slots, preferably in this data centre.

    If work may wait at the peer, one with workers but no free slot qualifies.

    Source: Mitzenmacher, The power of two choices, 2001.
    """
    near: list[_state.Peer] = []
    far: list[_state.Peer] = []
    full: list[_state.Peer] = []
    for peer in _ownership.live_peers(state):
        if peer.id in tried or peer.last_heard_at is None:
            continue
        if peer.free_slots_by_upstream.get(upstream, 0) > 0:
            is_near = peer.data_centre == state.options.data_centre
            (near if is_near else far).append(peer)
        elif may_wait and upstream in peer.free_slots_by_upstream:
            full.append(peer)
    candidates = near or far or full
    if not candidates:
        return None
    pair = state.rng.sample(candidates, min(2, len(candidates)))
    return max(pair, key=lambda peer: peer.free_slots_by_upstream[upstream])


def any_has_free_slots(
    state: _state.State, upstream: str, tried: tuple[str, ...]
) -> bool:
    """Return whether any peer that was not tried has free slots."""
    return any(
        peer.free_slots_by_upstream.get(upstream, 0) > 0
        and peer.last_heard_at is not None
        and peer.id not in tried
        for peer in _ownership.live_peers(state)
    )


def choose_with_workers(
    state: _state.State, upstream: str
) -> _state.Peer | None:
    """Return the peer with workers that has the most free slots.

    Peers in this data centre are preferred, even if they have fewer.
    """
    candidates = [
        peer
        for peer in _ownership.live_peers(state)
        if upstream in peer.free_slots_by_upstream
    ]
    if not candidates:
        return None
    return max(
        candidates,
        key=lambda peer: (
            peer.data_centre == state.options.data_centre,
            peer.free_slots_by_upstream[upstream],
        ),
    )


def debit_free_slots(
    peer: _state.Peer | None, upstream: str, slots: int
) -> None:
    """Subtract slots from the known free slots of a peer.

    The next summary of the peer replaces the count; negative slots are added.
    """
    if peer is not None and upstream in peer.free_slots_by_upstream:
        free = peer.free_slots_by_upstream[upstream] - slots
        peer.free_slots_by_upstream[upstream] = max(0, free)


def _is_due(
    state: _state.State, peer: _state.Peer, summary: messages.Summary
) -> bool:
    """Return whether a change or the time passed calls for a summary."""
    last = peer.last_summary_sent
    if last is None or last.draining != summary.draining:
        return True
    options = state.options
    since_s = state.now - peer.summary_sent_at
    if peer.data_centre == options.data_centre:
        return since_s >= options.heartbeat_s or (
            since_s >= options.summary_s
            and _local_part(last) != _local_part(summary)
        )
    return since_s >= options.far_heartbeat_s or (
        since_s >= options.far_summary_s
        and _remote_part(last) != _remote_part(summary)
    )


def _local_part(summary: messages.Summary) -> Any:
    """Return the parts whose changes are sent within the data centre."""
    return (
        summary.slices,
        summary.free_slots_by_upstream,
        summary.config_version,
    )


def _remote_part(summary: messages.Summary) -> Any:
    """Return the parts whose changes are sent to other data centres."""
    free = summary.free_slots_by_upstream
    has_free = {upstream: slots > 0 for upstream, slots in free.items()}
    return summary.slices, has_free


def _handle_summary(
    state: _state.State,
    sender: str,
    message: messages.Summary,
    outbox: _state.Outbox,
) -> None:
    peer = state.membership.peers_by_id.get(message.node)
    if peer is None:
        # The node has just registered, so read the registrations soon.
        at = state.now + EARLY_POLL_S
        if (state.timers.at(_timers.PollNodes()) or at) >= at:
            state.timers.set(_timers.PollNodes(), at)
        return
    if peer.last_heard_at is None:
        # The peer may not have received a summary of this node either.
        peer.last_summary_sent = None
    peer.last_heard_at = state.now
    peer.slices = tuple(message.slices)
    peer.free_slots_by_upstream = dict(message.free_slots_by_upstream)
    peer.draining = message.draining
    _confirmation.confirm_by_peer(state, peer, message)
    if message.config_version > state.config.version:
        _configuration.request_newer(state, peer, outbox)
    peer.config_version = max(peer.config_version, message.config_version)


_HANDLERS_BY_TYPE: dict[
    type, Callable[[_state.State, str, Any, _state.Outbox], None]
]
_HANDLERS_BY_TYPE = {
    messages.Summary: _handle_summary,
    messages.PromiseAsked: _promises.handle_promise_request,
    messages.Promised: _ownership.handle_promise,
    messages.VouchAsked: _promises.handle_vouch_request,
    messages.Vouched: _promises.handle_vouch,
    messages.KeysWithdrawn: _keys.handle_withdrawals,
    messages.KeysHeard: _keys.handle_confirmation,
    messages.ConfigAsked: _configuration.handle_config_request,
    messages.ConfigTold: _configuration.handle_config,
    messages.Usage: _usage.handle_usage,
    messages.SlotsClaimed: _limit_claims.handle_slots_claimed,
    messages.JobsMoved: _job_arrivals.handle_jobs_moved,
}
