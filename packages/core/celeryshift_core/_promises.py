"""Extension of an owner's lease by its peers while the store is down.

An owner may act on its slices until its lease expires. During an outage of
the store it may continue as long as every node that was registered at its
last renewal promises not to take the slices over. Since the owner needs the
promises of all these nodes, a node may take over once one of them has expired
and will not be renewed: its own, or that of another node that vouches for
this.

A node vouches by confirming that it will give the owner no more promises, and
by stating when its last one expires.

The basis of a lease is the version of the renewal that returned the list of
nodes to ask. Every renewal records the basis under which it was made, so
that other nodes know which promises the owner needs even if the answer to
the renewal was lost.

Source: Gray and Cheriton, Leases: an efficient fault-tolerant mechanism for
distributed file cache consistency, 1989.
"""

import math

from celeryshift_core import _lease
from celeryshift_core import _state
from celeryshift_core import effects
from celeryshift_core import messages
from celeryshift_core import schema

OVERDUE_RENEWAL_INTERVALS = 1.5


def handle_renewed(
    state: _state.State,
    version: int,
    rows: dict[str, schema.Row],
    sent_at: float,
) -> None:
    """Renew the lease, and record which nodes to ask for promises."""
    promises = state.promises
    prefix = schema.node(state.options.data_centre, '')
    address_by_node = {
        key[len(prefix) :]: row.value['address']
        for key, row in rows.items()
        if key.startswith(prefix)
    }
    promises.fence_by_node = {
        node: fence
        for node, fence in promises.fence_by_node.items()
        if node in address_by_node
    }
    address_by_node.pop(state.node, None)
    promises.basis_version = version
    promises.address_by_peer = address_by_node
    promises.promised_until_by_peer = {}
    promises.leaving_peers = set()
    until = sent_at + state.options.node_lease_s
    state.membership.lease_until = max(state.membership.lease_until, until)


def is_overdue(state: _state.State) -> bool:
    """Return whether the latest renewals have failed or are late."""
    since = state.now - state.membership.renewed_at
    return since > OVERDUE_RENEWAL_INTERVALS * state.options.node_renew_s


def request_promises(state: _state.State, outbox: _state.Outbox) -> None:
    """Request promises from the nodes registered at the last renewal.

    The promise of a leaving node does not expire and is not requested again.
    """
    promises = state.promises
    if _has_expired(state):
        return
    for node in promises.leaving_peers:
        promises.promised_until_by_peer[node] = (
            state.now + state.options.node_lease_s
        )
    _extend_lease(state)
    for node, address in promises.address_by_peer.items():
        if node not in promises.leaving_peers:
            message = messages.PromiseAsked(
                node, promises.basis_version, state.now
            )
            outbox.append(effects.SendMessage(node, address, message))


def handle_promise_request(
    state: _state.State,
    sender: str,
    message: messages.PromiseAsked,
    outbox: _state.Outbox,
) -> None:
    """Promise a peer not to take over from it, unless it is fenced.

    A peer that the store does not answer, although it answers this node, gets
    no promise either.
    """
    peer = state.membership.peers_by_id.get(sender)
    if (
        not _is_for_this_process(state, message.to)
        or peer is None
        or not _needs_promise(state, message.basis)
        or _is_fenced(state, sender, message.basis)
        or _was_seen_cut_off(state, peer)
    ):
        return
    promises = state.promises
    promises.given_until_by_node[sender] = state.now + state.options.takeover_s
    leaving = state.phase is _state.NodePhase.DRAINING
    reply = messages.Promised(sender, message.basis, message.asked_at, leaving)
    outbox.append(effects.SendMessage(peer.id, peer.address, reply))


def handle_promise(
    state: _state.State, sender: str, message: messages.Promised
) -> bool:
    """Record a promise and return whether it extends the lease."""
    promises = state.promises
    if (
        not _is_for_this_process(state, message.to)
        or message.basis != promises.basis_version
        or sender not in promises.address_by_peer
        or _has_expired(state)
    ):
        return False
    if message.leaving:
        promises.leaving_peers.add(sender)
    until = _promise_start(state, message) + state.options.node_lease_s
    before = promises.promised_until_by_peer.get(sender, -math.inf)
    promises.promised_until_by_peer[sender] = max(before, until)
    return _extend_lease(state)


def may_acquire(
    state: _state.State, owner: _state.Peer, outbox: _state.Outbox
) -> bool:
    """Return whether an owner whose lease has expired certainly does not act.

    Unless the owner is gone, this node's last promise to it must have expired.
    If the owner needs promises of this node, it gets no more until it renews
    its registration. If not, another node has to vouch, and vouches are
    requested if none has.
    """
    if is_gone(state, owner):
        return True
    if not _own_promise_ended(state, owner):
        return False
    if _needs_promise(state, owner.basis):
        _fence(state, owner.id, owner.row_version)
        return True
    vouch = state.promises.vouch_by_node.get(owner.id)
    if vouch is not None and vouch.version == owner.row_version:
        return state.now > vouch.at
    _request_vouches(state, owner, outbox)
    return False


def is_gone(state: _state.State, peer: _state.Peer) -> bool:
    """Return whether a peer's process has certainly ended."""
    return (
        peer.gone_since is not None
        and state.now - peer.gone_since > state.options.takeover_s
    )


def handle_vouch_request(
    state: _state.State,
    sender: str,
    message: messages.VouchAsked,
    outbox: _state.Outbox,
) -> None:
    """Stop promising to an owner; reply how long the last promise lasts."""
    if not _is_for_this_process(state, message.to) or not _may_vouch(
        state, message.basis
    ):
        return
    _fence(state, message.owner, message.version)
    until = state.promises.given_until_by_node.get(message.owner, -math.inf)
    reply = messages.Vouched(
        sender, message.owner, message.version, max(0.0, until - state.now)
    )
    outbox.append(effects.SendMessage(sender, message.address, reply))


def handle_vouch(
    state: _state.State,
    sender: str,
    message: messages.Vouched,
    outbox: _state.Outbox,
) -> None:
    """Record that a node gives an owner no more promises."""
    if _is_for_this_process(state, message.to):
        wait_s = message.wait_s * (1 + state.options.clock_margin)
        state.promises.vouch_by_node[message.owner] = _state.Vouch(
            message.version, state.now + wait_s
        )


def forget(state: _state.State, node: str) -> None:
    """Forget the promises to a node that is no longer registered."""
    state.promises.given_until_by_node.pop(node, None)
    state.promises.vouch_by_node.pop(node, None)


def _request_vouches(
    state: _state.State, owner: _state.Peer, outbox: _state.Outbox
) -> None:
    for peer in state.membership.peers_by_id.values():
        if (
            peer.data_centre == state.options.data_centre
            and peer.id != owner.id
        ):
            message = messages.VouchAsked(
                peer.id,
                state.options.address,
                owner.id,
                owner.row_version,
                owner.basis,
            )
            outbox.append(effects.SendMessage(peer.id, peer.address, message))


def _extend_lease(state: _state.State) -> bool:
    """Extend the lease to the earliest end of the promises."""
    until = _covered_until(state)
    if until <= state.membership.lease_until:
        return False
    state.membership.lease_until = until
    return True


def _covered_until(state: _state.State) -> float:
    """Return the time until which every node asked has promised."""
    promises = state.promises
    if not promises.address_by_peer:
        return -math.inf
    return min(
        promises.promised_until_by_peer.get(node, -math.inf)
        for node in promises.address_by_peer
    )


def _has_expired(state: _state.State) -> bool:
    """Return whether the lease has expired and only the store can renew it."""
    return state.now >= _lease.valid_until(state)


def _promise_start(state: _state.State, message: messages.Promised) -> float:
    """Return the time from which a promise counts: that of its request."""
    return message.asked_at


def _is_for_this_process(state: _state.State, node: str) -> bool:
    """Return whether a message is to this process, not to a former one."""
    return node == state.node


def _needs_promise(state: _state.State, basis: int) -> bool:
    """Return whether an owner with this basis needs this node's promise."""
    return 0 < state.membership.registered_version <= basis


def _may_vouch(state: _state.State, basis: int) -> bool:
    """Return whether this node is serving and its promise is needed."""
    is_serving = state.phase is _state.NodePhase.SERVING
    return is_serving and _needs_promise(state, basis)


def _is_fenced(state: _state.State, node: str, basis: int) -> bool:
    return basis <= state.promises.fence_by_node.get(node, 0)


def _fence(state: _state.State, node: str, version: int) -> None:
    before = state.promises.fence_by_node.get(node, 0)
    state.promises.fence_by_node[node] = max(before, version)


def _own_promise_ended(state: _state.State, owner: _state.Peer) -> bool:
    given = state.promises.given_until_by_node.get(owner.id, -math.inf)
    return state.now > given


def _was_seen_cut_off(state: _state.State, peer: _state.Peer) -> bool:
    """Return whether the store has answered this node but not the peer."""
    seen_for = state.membership.renewed_at - peer.changed_at
    return seen_for > state.options.takeover_s
