"""Ownership of slices: registration, leases, takeover and release.

A node has one registration row in the store and renews it with one write,
which also reads the owners of all slices of the data centre. A node may take
a slice over if the registration of its owner has not changed for longer than
a lease, by the clock of the new owner, and if promises of its peers certainly
do not extend the lease of the owner.
"""

from collections.abc import Iterator

import attrs

from celeryshift_core import _allotments
from celeryshift_core import _assignment
from celeryshift_core import _departures
from celeryshift_core import _lease
from celeryshift_core import _promises
from celeryshift_core import _slices
from celeryshift_core import _state
from celeryshift_core import _store
from celeryshift_core import _timers
from celeryshift_core import effects
from celeryshift_core import messages
from celeryshift_core import schema

STABLE_LEASE_TIMES = 2


@attrs.frozen(slots=True)
class RenewPurpose:
    """Purpose of a write that renews the registration."""

    vm_revision: int


@attrs.frozen(slots=True)
class AcquirePurpose:
    """Purpose of a write that acquires a slice."""

    number: int
    epoch: int
    value: dict


@attrs.frozen(slots=True)
class ReleasePurpose:
    """Purpose of a write that releases a slice."""

    number: int
    epoch: int


@attrs.frozen(slots=True)
class NodesPurpose:
    """Purpose of a read of the nodes of every data centre."""


def renew(state: _state.State, outbox: _state.Outbox) -> None:
    """Renew the registration, unless a renewal is outstanding."""
    options = state.options
    state.timers.set(_timers.RenewNode(), state.now + options.node_renew_s)
    if (
        state.membership.deregistering
        or state.phase is _state.NodePhase.STOPPED
    ):
        return
    if _promises.is_overdue(state):
        _extend_by_promises(state, outbox)
    if state.membership.renewing:
        return
    state.membership.renewing = True
    key = schema.node(options.data_centre, state.node)
    value = {
        'address': options.address,
        'config_version': state.config.version,
        'draining': state.phase is _state.NodePhase.DRAINING,
        'basis': state.promises.basis_version,
        'vm_revision': state.vm_revision,
    }
    _store.write(
        state,
        outbox,
        RenewPurpose(state.vm_revision),
        {key: state.membership.row_version},
        {key: value},
        prefixes=(
            f'{schema.NODES}{options.data_centre}/',
            f'{schema.SLICES}{options.data_centre}/',
        ),
    )


def handle_renewed(
    state: _state.State,
    purpose: RenewPurpose,
    result: _store.WriteResult,
    outbox: _state.Outbox,
) -> None:
    """Handle the outcome of a renewal."""
    membership = state.membership
    membership.renewing = False
    if result.ok:
        if not membership.row_version:
            membership.registered_version = result.version
        membership.row_version = result.version
    if result.settled_late:
        state.timers.set(_timers.RenewNode(), state.now)
    elif result.ok:
        was_valid = _lease.is_valid(state)
        _restart_peer_leases(state, result)
        _update_peers(state, result.rows, state.options.data_centre, outbox)
        _update_slice_rows(state, result.rows, outbox)
        _promises.handle_renewed(
            state, result.version, result.rows, result.sent_at
        )
        membership.renewed_at = result.sent_at
        membership.vm_revision = purpose.vm_revision
        _slices.mark_announced(state)
        if state.phase is _state.NodePhase.STARTING:
            state.phase = _state.NodePhase.SERVING
            outbox.append(effects.LogChange('serving', {'node': state.node}))
        if not was_valid:
            _slices.resume_all(state, outbox)
        _departures.update_gone_peers(state)
        balance(state, outbox)
        _departures.sweep(state, outbox)
    elif result.reached:
        _drop_all(state, outbox)


def handle_promise(
    state: _state.State,
    sender: str,
    message: messages.Promised,
    outbox: _state.Outbox,
) -> None:
    """Handle a promise; resume all slices if it restores the lease."""
    was_valid = _lease.is_valid(state)
    extended = _promises.handle_promise(state, sender, message)
    if extended and not was_valid:
        _slices.resume_all(state, outbox)


def poll_nodes(state: _state.State, outbox: _state.Outbox) -> None:
    """Read the nodes of every data centre."""
    at = state.now + state.options.nodes_poll_s
    state.timers.set(_timers.PollNodes(), at)
    _store.read(state, outbox, NodesPurpose(), prefixes=(schema.NODES,))


def handle_nodes_read(
    state: _state.State,
    purpose: NodesPurpose,
    rows: dict[str, schema.Row] | None,
    outbox: _state.Outbox,
) -> None:
    """Update the nodes of the other data centres."""
    if rows is not None:
        state.membership.nodes_read_at = state.now
        _update_peers(state, rows, None, outbox)


def live_peers(state: _state.State) -> Iterator[_state.Peer]:
    """Yield the peers that are live and not draining."""
    for peer in state.membership.peers_by_id.values():
        if not peer.draining and _is_live(state, peer):
            yield peer


def balance(state: _state.State, outbox: _state.Outbox) -> None:
    """Acquire the slices assigned to this node, and release the others."""
    owner_by_number = _assignment.assign_slices(state)
    draining = state.phase is _state.NodePhase.DRAINING
    for number in range(state.options.slices):
        is_mine = owner_by_number.get(number) == state.node
        if number in state.slices_by_number:
            if draining or (not is_mine and _is_stable(state)):
                _slices.begin_release(state, number, outbox)
        elif is_mine and number not in state.membership.acquiring:
            _acquire(state, number, outbox)
    for number in list(state.slices_by_number):
        try_release(state, number, outbox)


def try_release(
    state: _state.State, number: int, outbox: _state.Outbox
) -> None:
    """Release a slice that has no outstanding operations."""
    slice_ = state.slices_by_number.get(number)
    if slice_ is None or not _slices.is_idle(state, slice_):
        return
    key = schema.slice_(state.options.data_centre, number)
    row = state.membership.slice_rows_by_number[number]
    value = {**row.value, 'owner': '', 'epoch': slice_.epoch}
    value['vm_revision'] = max(
        slice_.vm_revision, state.membership.vm_revision
    )
    purpose = ReleasePurpose(number, slice_.epoch)
    _slices.drop(state, number, outbox)
    checks = {key: slice_.row_version}
    _store.write(state, outbox, purpose, checks, {key: value})


def handle_released(
    state: _state.State,
    purpose: ReleasePurpose,
    result: _store.WriteResult,
    outbox: _state.Outbox,
) -> None:
    """Handle the outcome of a release."""
    if state.phase is _state.NodePhase.DRAINING:
        stop_if_drained(state, outbox)


def stop_if_drained(state: _state.State, outbox: _state.Outbox) -> None:
    """Stop the node once it owns no slice and no caller waits.

    While the store is down nothing can be released. The slices are then taken
    over when the lease of this node has expired, and their tasks keep running
    on the workers.
    """
    if (
        state.phase is not _state.NodePhase.DRAINING
        or state.requests_by_id
        or state.pending_replies
        or state.refusals_in_doubt
    ):
        return
    if state.membership.deregistered or _is_store_lost(state):
        _departures.stop(state, outbox)
    elif (
        not state.membership.deregistering
        and not state.slices_by_number
        and not state.store.writes_by_op
    ):
        _departures.deregister(state, outbox)


def handle_acquired(
    state: _state.State,
    purpose: AcquirePurpose,
    result: _store.WriteResult,
    outbox: _state.Outbox,
) -> None:
    """Handle the outcome of the acquisition of a slice."""
    state.membership.acquiring.discard(purpose.number)
    if not result.ok or result.settled_late:
        # The next renewal reads the rows and so finds a late success.
        return
    key = schema.slice_(state.options.data_centre, purpose.number)
    seen = state.membership.slice_rows_by_number.get(purpose.number)
    if seen is not None and seen.version > result.version:
        # A later renewal has read the row, and its result is newer.
        return
    row = schema.Row(result.version, purpose.value)
    state.membership.slice_rows_by_number[purpose.number] = row
    prefix = schema.jobs(state.options.data_centre, purpose.number)
    job_rows = {
        row_key: row
        for row_key, row in result.rows.items()
        if row_key.startswith(prefix)
    }
    assert key not in job_rows
    _slices.recover(
        state,
        purpose.number,
        purpose.epoch,
        row,
        job_rows,
        outbox,
    )
    slice_ = state.slices_by_number[purpose.number]
    _allotments.restore(state, slice_, result.rows, outbox)


def _acquire(state: _state.State, number: int, outbox: _state.Outbox) -> None:
    options = state.options
    row = state.membership.slice_rows_by_number.get(number)
    key = schema.slice_(options.data_centre, number)
    own_key = schema.node(options.data_centre, state.node)
    checks = {key: row.version if row else 0}
    checks[own_key] = state.membership.row_version
    owner = row.value['owner'] if row else ''
    vm_revision = row.value.get('vm_revision', 0) if row else 0
    if owner and owner != state.node:
        peer = state.membership.peers_by_id.get(owner)
        if peer is not None:
            if _may_be_live(state, peer):
                return
            if not _promises.may_acquire(state, peer, outbox):
                return
            vm_revision = max(vm_revision, peer.vm_revision)
        owner_key = schema.node(options.data_centre, owner)
        checks[owner_key] = peer.row_version if peer else 0
    epoch = (row.value['epoch'] if row else 0) + 1
    state.membership.acquiring.add(number)
    value = {**(row.value if row else {})}
    value.update(
        {'owner': state.node, 'epoch': epoch, 'vm_revision': vm_revision}
    )
    prefixes = (
        schema.jobs(options.data_centre, number),
        schema.allotment(options.data_centre, number),
        schema.POOLS,
        schema.CONFIG_HEAD,
    )
    purpose = AcquirePurpose(number, epoch, value)
    _store.write(state, outbox, purpose, checks, {key: value}, (), prefixes)


def _update_peers(
    state: _state.State,
    rows: dict[str, schema.Row],
    data_centre: str | None,
    outbox: _state.Outbox,
) -> None:
    """Update the peers from their registrations.

    Changes are timed by this node's clock. `data_centre` is that of the rows,
    or None if they are of every data centre.
    """
    membership = state.membership
    seen = set()
    for key, row in rows.items():
        if not key.startswith(schema.NODES):
            continue
        peer_centre, _, node = key[len(schema.NODES) :].partition('/')
        if node == state.node:
            continue
        seen.add(node)
        peer = membership.peers_by_id.get(node)
        if peer is None:
            peer = _state.Peer(
                node, row.value['address'], peer_centre, row.version, state.now
            )
            membership.peers_by_id[node] = peer
            membership.stable_since = state.now
            fields = {'peer': node, 'data_centre': peer_centre}
            outbox.append(effects.LogChange('peer-seen', fields))
        elif peer.row_version != row.version:
            peer.row_version = row.version
            peer.changed_at = state.now
        # Summaries may be newer than rows, so keep the later value: versions
        # only rise, and a draining node never serves again under its id.
        peer.draining = peer.draining or row.value['draining']
        version = row.value['config_version']
        peer.config_version = max(peer.config_version, version)
        # The first registration has basis 0, and its own version counts.
        peer.basis = row.value['basis'] or row.version
        peer.vm_revision = row.value['vm_revision']
    local_centre = state.options.data_centre
    for node, peer in list(membership.peers_by_id.items()):
        # Peers of this data centre are only removed by a renewal, since the
        # promises depend on them and another read may be outdated.
        may_remove = (peer.data_centre == local_centre) == (
            data_centre == local_centre
        )
        if node not in seen and may_remove:
            del membership.peers_by_id[node]
            _promises.forget(state, node)


def _update_slice_rows(
    state: _state.State, rows: dict[str, schema.Row], outbox: _state.Outbox
) -> None:
    prefix = f'{schema.SLICES}{state.options.data_centre}/'
    for key, row in rows.items():
        if not key.startswith(prefix):
            continue
        number = int(key[len(prefix) :])
        seen = state.membership.slice_rows_by_number.get(number)
        if seen is not None and seen.version > row.version:
            continue
        state.membership.slice_rows_by_number[number] = row
        slice_ = state.slices_by_number.get(number)
        if slice_ is None:
            continue
        if (row.value['owner'], row.value['epoch']) != (
            state.node,
            slice_.epoch,
        ):
            _slices.drop(state, number, outbox)
        else:
            slice_.row_version = max(slice_.row_version, row.version)


def _drop_all(state: _state.State, outbox: _state.Outbox) -> None:
    """Drop every slice, as this node's registration was removed."""
    state.membership.lease_until = 0.0
    state.membership.row_version = 0
    state.membership.registered_version = 0
    state.promises = _state.Promises()
    for number in list(state.slices_by_number):
        _slices.drop(state, number, outbox)
    outbox.append(effects.LogChange('registration-lost'))


def _extend_by_promises(state: _state.State, outbox: _state.Outbox) -> None:
    """Request promises; resume all slices if the lease is valid again."""
    was_valid = _lease.is_valid(state)
    _promises.request_promises(state, outbox)
    if _lease.is_valid(state) and not was_valid:
        _slices.resume_all(state, outbox)


def _restart_peer_leases(
    state: _state.State, result: _store.WriteResult
) -> None:
    """Restart the leases of all peers after this node was cut off.

    The store may have been down, so that they could not renew either.
    """
    membership = state.membership
    if result.sent_at - membership.renewed_at > state.options.takeover_s:
        for peer in membership.peers_by_id.values():
            peer.changed_at = state.now


def _is_store_lost(state: _state.State) -> bool:
    """Return whether the store has been down for longer than a lease.

    Within that time each peer that extends its lease has requested a promise
    of this node, and the promise of a leaving node does not expire.
    """
    since = state.store.failing_since
    if since is None:
        return False
    since = max(since, state.membership.draining_since)
    return state.now - since > state.options.node_lease_s


def _is_live(state: _state.State, peer: _state.Peer) -> bool:
    """Return whether a peer has recently renewed or sent a summary."""
    last_heard_at = peer.last_heard_at
    options = state.options
    is_near = peer.data_centre == options.data_centre
    live_s = options.takeover_s if is_near else options.far_heard_s
    was_heard = (
        last_heard_at is not None and state.now - last_heard_at <= live_s
    )
    return was_heard or _assignment.is_registration_current(state, peer)


def _is_stable(state: _state.State) -> bool:
    """Return whether no node has joined recently."""
    since = state.now - state.membership.stable_since
    return since > STABLE_LEASE_TIMES * state.options.node_lease_s


def _may_be_live(state: _state.State, peer: _state.Peer) -> bool:
    """Return whether the lease of a peer may still be valid."""
    return state.now - peer.changed_at <= state.options.takeover_s
