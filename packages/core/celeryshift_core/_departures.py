"""Departure of nodes: detection, and removal of the rows they leave."""

import attrs

from celeryshift_core import _promises
from celeryshift_core import _state
from celeryshift_core import _store
from celeryshift_core import effects
from celeryshift_core import events
from celeryshift_core import schema

MAX_GONE_ADDRESSES = 1000


@attrs.frozen(slots=True)
class LeavePurpose:
    """Purpose of a write that deletes this node's registration."""


@attrs.frozen(slots=True)
class SweepPurpose:
    """Purpose of a read that lists the write markers of a departed node."""

    node: str
    row_version: int


@attrs.frozen(slots=True)
class RemovePurpose:
    """Purpose of a write that deletes the rows of a departed node."""


def record_vm(state: _state.State, vm: events.Vm) -> None:
    """Record whether the VM of a node is gone."""
    if vm.role is not events.VmRole.ENTRY:
        return
    if vm.state is not events.VmState.GONE:
        state.gone_addresses.pop(vm.address, None)
        return
    state.gone_addresses.setdefault(vm.address, state.now)
    while len(state.gone_addresses) > MAX_GONE_ADDRESSES:
        state.gone_addresses.popitem(last=False)


def update_gone_peers(state: _state.State) -> None:
    """Update which peers have departed.

    A peer has departed if its VM is gone, or if a later process has its
    address: an address belongs to one process at a time, so of two
    registrations with one address the one with the older row has ended.
    """
    peers = state.membership.peers_by_id.values()
    latest_version_by_address = {
        state.options.address: state.membership.row_version
    }
    for peer in peers:
        latest = latest_version_by_address.get(peer.address, 0)
        latest_version_by_address[peer.address] = max(latest, peer.row_version)
    for peer in peers:
        superseded = peer.row_version < latest_version_by_address[peer.address]
        if superseded or _vm_is_gone(state, peer.address):
            if peer.gone_since is None:
                peer.gone_since = state.now
        else:
            peer.gone_since = None


def sweep(state: _state.State, outbox: _state.Outbox) -> None:
    """Delete the rows of departed nodes, if this node is responsible.

    The live node of the data centre with the lowest id is responsible. A
    registration stays while a slice names it as owner, since the node that
    acquires the slice reads from it which VM revision the owner had seen.
    """
    membership = state.membership
    owners = {
        row.value['owner'] for row in membership.slice_rows_by_number.values()
    }
    live_nodes = [
        peer.id
        for peer in membership.peers_by_id.values()
        if peer.gone_since is None
        and peer.data_centre == state.options.data_centre
    ]
    if any(node < state.node for node in live_nodes):
        return
    for peer in membership.peers_by_id.values():
        if (
            peer.data_centre == state.options.data_centre
            and peer.id not in owners
            and _promises.is_gone(state, peer)
            and state.now - peer.changed_at > state.options.takeover_s
        ):
            purpose = SweepPurpose(peer.id, peer.row_version)
            prefix = f'{schema.marker(peer.id)}/'
            _store.read(state, outbox, purpose, prefixes=(prefix,))


def handle_markers_read(
    state: _state.State,
    purpose: SweepPurpose,
    rows: dict[str, schema.Row] | None,
    outbox: _state.Outbox,
) -> None:
    """Delete markers, and the registration with the last of them."""
    if rows is None:
        return
    max_rows = state.options.rows_per_write
    key = schema.node(state.options.data_centre, purpose.node)
    deletes = tuple(rows)[:max_rows]
    if len(rows) <= max_rows:
        deletes += (key,)
    checks = {key: purpose.row_version}
    _store.write(state, outbox, RemovePurpose(), checks, {}, deletes)


def deregister(state: _state.State, outbox: _state.Outbox) -> None:
    """Delete this node's registration and the markers of its writes."""
    state.membership.deregistering = True
    key = schema.node(state.options.data_centre, state.node)
    checks = {key: state.membership.row_version}
    markers = tuple(state.store.settled_markers)
    deletes = (key, *markers[: state.options.rows_per_write])
    _store.write(
        state, outbox, LeavePurpose(), checks, {}, deletes, marked=False
    )


def handle_leave_written(
    state: _state.State,
    purpose: LeavePurpose,
    result: _store.WriteResult,
    outbox: _state.Outbox,
) -> None:
    """Finish the departure; peers remove rows that a failed write left."""
    state.membership.deregistered = True


def stop(state: _state.State, outbox: _state.Outbox) -> None:
    """Stop this node."""
    state.phase = _state.NodePhase.STOPPED
    outbox.append(effects.LogChange('stopped', {'node': state.node}))
    outbox.append(effects.StopNode())


def _vm_is_gone(state: _state.State, address: str) -> bool:
    """Return whether the VM of an address, with or without port, is gone."""
    host = address.rpartition(':')[0]
    return address in state.gone_addresses or host in state.gone_addresses
