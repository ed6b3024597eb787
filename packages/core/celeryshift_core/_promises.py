"""Promises: how an owner goes on while the store does not answer.

An owner acts on its slices until its lease lapses or, during an outage, as
long as every node that it read as registered promises not to take them. A
node may take from an owner only if that owner needs its promise, or that of
a node that vouches for it, and no such promise runs: the owner asks all, so
that the word of any one of them is enough to a taker.

The basis of a right is the version of the renewal whose rows told the owner
whom to ask. Every renewal records the basis it was made under, so that
others know who is asked even when its answer was lost.

Source: Gray and Cheriton, Leases: an efficient fault-tolerant mechanism for
distributed file cache consistency, 1989.
"""

import math

from celeryshift_core import _lease
from celeryshift_core import _state
from celeryshift_core import effects
from celeryshift_core import messages
from celeryshift_core import schema

OVERDUE_RENEWALS = 1.5


def renewed(
    state: _state.State,
    version: int,
    rows: dict[str, schema.Row],
    sent_at: float,
) -> None:
    """Base the right to act on a renewal and the rows read with it."""
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
    """Tell whether the latest renewals have failed or are late."""
    since = state.now - state.membership.renewed_at
    return since > OVERDUE_RENEWALS * state.options.node_renew_s


def ask(state: _state.State, outbox: _state.Outbox) -> None:
    """Ask every node that was read as registered for its promise."""
    promises = state.promises
    if _has_lapsed(state):
        return
    for node in promises.leaving_peers:
        promises.promised_until_by_peer[node] = (
            state.now + state.options.node_lease_s
        )
    _extend(state)
    for node, address in promises.address_by_peer.items():
        if node not in promises.leaving_peers:
            message = messages.PromiseAsked(
                node, promises.basis_version, state.now
            )
            outbox.append(effects.SendMessage(node, address, message))


def asked(
    state: _state.State,
    sender: str,
    message: messages.PromiseAsked,
    outbox: _state.Outbox,
) -> None:
    """Promise a peer not to take from it nor to vouch against it."""
    peer = state.membership.peers_by_id.get(sender)
    if (
        not _is_to(state, message.to)
        or peer is None
        or not _is_asked(state, message.basis)
        or _is_fenced(state, sender, message.basis)
        or _was_seen_stale(state, peer)
    ):
        return
    promises = state.promises
    promises.given_until_by_node[sender] = state.now + state.options.takeover_s
    leaving = state.phase is _state.NodePhase.DRAINING
    reply = messages.Promised(sender, message.basis, message.asked_at, leaving)
    outbox.append(effects.SendMessage(peer.id, peer.address, reply))


def promised(
    state: _state.State, sender: str, message: messages.Promised
) -> bool:
    """Take in a promise; tell whether this node may act for longer."""
    promises = state.promises
    if (
        not _is_to(state, message.to)
        or message.basis != promises.basis_version
        or sender not in promises.address_by_peer
        or _has_lapsed(state)
    ):
        return False
    if message.leaving:
        promises.leaving_peers.add(sender)
    until = _counted_from(state, message) + state.options.node_lease_s
    before = promises.promised_until_by_peer.get(sender, -math.inf)
    promises.promised_until_by_peer[sender] = max(before, until)
    return _extend(state)


def may_take(
    state: _state.State, owner: _state.Peer, outbox: _state.Outbox
) -> bool:
    """Tell whether an owner whose lease has lapsed surely does not act.

    From then on this node promises the owner nothing, unless the owner has
    renewed its registration.
    """
    if is_gone(state, owner):
        return True
    if not _own_promise_ended(state, owner):
        return False
    if _is_asked(state, owner.basis):
        _fence(state, owner.id, owner.row_version)
        return True
    vouch = state.promises.vouch_by_node.get(owner.id)
    if vouch is not None and vouch.version == owner.row_version:
        return state.now > vouch.at
    _ask_vouches(state, owner, outbox)
    return False


def is_gone(state: _state.State, peer: _state.Peer) -> bool:
    """Tell whether a peer's process has surely ended."""
    return (
        peer.gone_since is not None
        and state.now - peer.gone_since > state.options.takeover_s
    )


def vouch_asked(
    state: _state.State,
    sender: str,
    message: messages.VouchAsked,
    outbox: _state.Outbox,
) -> None:
    """Promise an owner nothing more, and say how long promises run."""
    if not _is_to(state, message.to) or not _may_vouch(state, message.basis):
        return
    _fence(state, message.owner, message.version)
    until = state.promises.given_until_by_node.get(message.owner, -math.inf)
    reply = messages.Vouched(
        sender, message.owner, message.version, max(0.0, until - state.now)
    )
    outbox.append(effects.SendMessage(sender, message.address, reply))


def vouched(
    state: _state.State,
    sender: str,
    message: messages.Vouched,
    outbox: _state.Outbox,
) -> None:
    """Take in that a node promises an owner nothing more."""
    if _is_to(state, message.to):
        wait_s = message.wait_s * (1 + state.options.clock_margin)
        state.promises.vouch_by_node[message.owner] = _state.Vouch(
            message.version, state.now + wait_s
        )


def forget(state: _state.State, node: str) -> None:
    """Forget what was promised to a node that is not registered."""
    state.promises.given_until_by_node.pop(node, None)
    state.promises.vouch_by_node.pop(node, None)


def _ask_vouches(
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


def _extend(state: _state.State) -> bool:
    """Extend the right to act as far as every promise reaches."""
    until = _covered_until(state)
    if until <= state.membership.lease_until:
        return False
    state.membership.lease_until = until
    return True


def _covered_until(state: _state.State) -> float:
    """Give the time until which every node that is asked has promised."""
    promises = state.promises
    if not promises.address_by_peer:
        return -math.inf
    return min(
        promises.promised_until_by_peer.get(node, -math.inf)
        for node in promises.address_by_peer
    )


def _has_lapsed(state: _state.State) -> bool:
    """Tell whether only the store can give back the right to act."""
    return state.now >= _lease.valid_until(state)


def _counted_from(state: _state.State, message: messages.Promised) -> float:
    """Give the time that a promise counts from: before it was asked for."""
    return message.asked_at


def _is_to(state: _state.State, node: str) -> bool:
    """Tell whether a message is to this process, and to no earlier one."""
    return node == state.node


def _is_asked(state: _state.State, basis: int) -> bool:
    """Tell whether an owner with this basis needs this node's promise."""
    return 0 < state.membership.registered_version <= basis


def _may_vouch(state: _state.State, basis: int) -> bool:
    """Tell whether this node is asked for promises, and stays."""
    serving = state.phase is _state.NodePhase.SERVING
    return serving and _is_asked(state, basis)


def _is_fenced(state: _state.State, node: str, basis: int) -> bool:
    return basis <= state.promises.fence_by_node.get(node, 0)


def _fence(state: _state.State, node: str, version: int) -> None:
    before = state.promises.fence_by_node.get(node, 0)
    state.promises.fence_by_node[node] = max(before, version)


def _own_promise_ended(state: _state.State, owner: _state.Peer) -> bool:
    given = state.promises.given_until_by_node.get(owner.id, -math.inf)
    return state.now > given


def _was_seen_stale(state: _state.State, peer: _state.Peer) -> bool:
    """Tell whether the store answers this node but not the peer."""
    seen_for = state.membership.renewed_at - peer.changed_at
    return seen_for > state.options.takeover_s
