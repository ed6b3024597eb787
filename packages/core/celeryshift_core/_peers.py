"""What nodes tell each other, and which peer has room."""

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

SOON_S = 0.2
PROBE_S = 3.0


def send_summaries(state: _state.State, outbox: _state.Outbox) -> None:
    """Tell the peers what has changed here, and now and then all of it.

    Peers of other data centres hear only of what tells them whether there
    is room at all, and more rarely, so that the bytes of a node hardly grow
    with the fleet.
    """
    at = state.now + state.options.summary_s
    state.timers.set(_timers.SendSummaries(), at)
    if state.phase is _state.NodePhase.STARTING:
        return
    confirmed_at = state.config_confirmed_at
    summary = messages.Summary(
        state.node,
        sorted(state.slices_by_number),
        _state.total_free(state),
        state.config.version,
        state.now - confirmed_at if confirmed_at is not None else -1.0,
        state.phase is _state.NodePhase.DRAINING,
    )
    live = {peer.id for peer in _ownership.live_peers(state)}
    for peer in state.membership.peers_by_id.values():
        silent_s = state.now - peer.unreachable_at
        may_hear = peer.id in live or silent_s > PROBE_S
        if may_hear and _is_due(state, peer, summary):
            peer.last_summary_sent = summary
            peer.summary_sent_at = state.now
            outbox.append(effects.SendMessage(peer.id, peer.address, summary))


def arrived(
    state: _state.State,
    event: events.PeerMessageArrived,
    outbox: _state.Outbox,
) -> None:
    """Take in a message from another node."""
    handler = _HANDLERS_BY_TYPE[type(event.message)]
    handler(state, event.sender, event.message, outbox)


def unreachable(
    state: _state.State, event: events.PeerUnreachable, outbox: _state.Outbox
) -> None:
    """Forget what a peer said that no longer answers."""
    mark_unreachable(state, state.membership.peers_by_id.get(event.peer))


def mark_unreachable(state: _state.State, peer: _state.Peer | None) -> None:
    """Take a peer as without room until it is heard of again."""
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
    """Choose a peer with room, one of this data centre if there is any.

    Where work may wait at the peer, one that merely has workers will do.

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
    among = near or far or full
    if not among:
        return None
    pair = state.rng.sample(among, min(2, len(among)))
    return max(pair, key=lambda peer: peer.free_slots_by_upstream[upstream])


def any_has_free_slots(
    state: _state.State, upstream: str, tried: tuple[str, ...]
) -> bool:
    """Tell whether any peer that was not tried has room."""
    return any(
        peer.free_slots_by_upstream.get(upstream, 0) > 0
        and peer.last_heard_at is not None
        and peer.id not in tried
        for peer in _ownership.live_peers(state)
    )


def choose_with_workers(
    state: _state.State, upstream: str
) -> _state.Peer | None:
    """Choose the peer with the most room among those with workers."""
    able = [
        peer
        for peer in _ownership.live_peers(state)
        if upstream in peer.free_slots_by_upstream
    ]
    if not able:
        return None
    return max(
        able,
        key=lambda peer: (
            peer.data_centre == state.options.data_centre,
            peer.free_slots_by_upstream[upstream],
        ),
    )


def debit_free_slots(
    peer: _state.Peer | None, upstream: str, slots: int
) -> None:
    """Count room of a peer as used, or free again, until its summary."""
    if peer is not None and upstream in peer.free_slots_by_upstream:
        free = peer.free_slots_by_upstream[upstream] - slots
        peer.free_slots_by_upstream[upstream] = max(0, free)


def _is_due(
    state: _state.State, peer: _state.Peer, summary: messages.Summary
) -> bool:
    """Tell whether a peer has to hear of this node again."""
    told = peer.last_summary_sent
    if told is None or told.draining != summary.draining:
        return True
    options = state.options
    since_s = state.now - peer.summary_sent_at
    if peer.data_centre == options.data_centre:
        return since_s >= options.heartbeat_s or (
            since_s >= options.summary_s and _near(told) != _near(summary)
        )
    return since_s >= options.far_heartbeat_s or (
        since_s >= options.far_summary_s and _far(told) != _far(summary)
    )


def _near(summary: messages.Summary) -> Any:
    """Give what peers of the same data centre hear of when it changes."""
    return (
        summary.slices,
        summary.free_slots_by_upstream,
        summary.config_version,
    )


def _far(summary: messages.Summary) -> Any:
    """Give what peers of other data centres hear of when it changes."""
    free = summary.free_slots_by_upstream
    room = {upstream: slots > 0 for upstream, slots in free.items()}
    return summary.slices, room


def _take_summary(
    state: _state.State,
    sender: str,
    message: messages.Summary,
    outbox: _state.Outbox,
) -> None:
    peer = state.membership.peers_by_id.get(message.node)
    if peer is None:
        # A node that has just registered: read the registrations soon.
        at = state.now + SOON_S
        if (state.timers.at(_timers.PollNodes()) or at) >= at:
            state.timers.set(_timers.PollNodes(), at)
        return
    if peer.last_heard_at is None:
        # It may not have heard this node either.
        peer.last_summary_sent = None
    peer.last_heard_at = state.now
    peer.slices = tuple(message.slices)
    peer.free_slots_by_upstream = dict(message.free_slots_by_upstream)
    peer.draining = message.draining
    _confirmation.by_peer(state, peer, message)
    if message.config_version > state.config.version:
        _configuration.heard_newer(state, peer, outbox)
    peer.config_version = max(peer.config_version, message.config_version)


_HANDLERS_BY_TYPE: dict[
    type, Callable[[_state.State, str, Any, _state.Outbox], None]
]
_HANDLERS_BY_TYPE = {
    messages.Summary: _take_summary,
    messages.PromiseAsked: _promises.asked,
    messages.Promised: _ownership.promised,
    messages.VouchAsked: _promises.vouch_asked,
    messages.Vouched: _promises.vouched,
    messages.KeysWithdrawn: _keys.told,
    messages.KeysHeard: _keys.heard,
    messages.ConfigAsked: _configuration.peer_asked,
    messages.ConfigTold: _configuration.peer_told,
    messages.Usage: _usage.handle_usage,
    messages.SlotsClaimed: _limit_claims.handle_slots_claimed,
    messages.JobsMoved: _job_arrivals.handle_jobs_moved,
}
