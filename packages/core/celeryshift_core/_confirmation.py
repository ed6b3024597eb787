"""Time at which the configuration was last known to be the newest one.

The store confirms a configuration, and so does a peer that has confirmed the
same one. While no node reaches the store, the configuration counts as
confirmed as long as every registered node is heard, since any of them would
announce a withdrawal of a key.
"""

from celeryshift_core import _state
from celeryshift_core import messages

# Time in which the messages that arrived during a pause have been handled.
BACKLOG_S = 1.0


def confirm_by_store(state: _state.State, asked_at: float) -> None:
    """Record that the store had this configuration when it was asked."""
    before = state.config_confirmed_at
    if before is None or asked_at > before:
        state.config_confirmed_at = asked_at


def confirm_by_peer(
    state: _state.State, peer: _state.Peer, message: messages.Summary
) -> None:
    """Apply the confirmation of a peer with the same configuration.

    The age that it states counts from the arrival, so a message that may have
    arrived during a pause of this process confirms nothing.
    """
    peer.config_version = message.config_version
    is_same = message.config_version == state.config.version
    is_late = state.now - state.resumed_at < BACKLOG_S
    if is_same and message.config_age_s >= 0 and not is_late:
        confirm_by_store(state, state.now - message.config_age_s)


def latest(state: _state.State) -> float | None:
    """Return the time of the latest confirmation, or None."""
    confirmed_at = state.config_confirmed_at
    stale_s = state.options.config_stale_s
    if confirmed_at is None or state.now - confirmed_at <= stale_s:
        return confirmed_at
    return max(confirmed_at, _heard_from_all(state))


def is_stale(state: _state.State) -> bool:
    """Return whether keys may have been withdrawn unknown to this node."""
    confirmed_at = latest(state)
    stale_s = state.options.config_stale_s
    return confirmed_at is None or state.now - confirmed_at > stale_s


def _heard_from_all(state: _state.State) -> float:
    """Return the earliest time at which a registered node was last heard.

    Negative infinity if some node was not heard or has a newer version. A
    node whose registration had not changed for a lease and a poll interval at
    the last read counts as stopped and is left out.
    """
    membership = state.membership
    stopped_before = (
        membership.nodes_read_at
        - state.options.takeover_s
        - state.options.nodes_poll_s
    )
    times = []
    for peer in membership.peers_by_id.values():
        if peer.config_version > state.config.version:
            return float('-inf')
        if peer.changed_at >= stopped_before:
            times.append(peer.last_heard_at or float('-inf'))
    return min(times, default=float('-inf'))
