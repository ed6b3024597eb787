"""Who owns which slice: registration, leases, takeover and release.

A node keeps one registration row in the store and renews it with one write,
which also reads who owns each slice of the data centre. A slice may be taken
when its owner's registration has not changed for longer than its lease, by
the taker's own clock, and surely does not go on by promises of its peers.
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

STABLE_LEASES = 2


@attrs.frozen(slots=True)
class RenewPurpose:
    """Say that a write renewed the registration."""

    vm_revision: int


@attrs.frozen(slots=True)
class TakePurpose:
    """Say that a write takes a slice."""

    number: int
    epoch: int
    value: dict


@attrs.frozen(slots=True)
class ReleasePurpose:
    """Say that a write gives a slice back."""

    number: int
    epoch: int


@attrs.frozen(slots=True)
class NodesPurpose:
    """Say that a read lists the nodes of every data centre."""


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
        _go_on(state, outbox)
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


def renewed(
    state: _state.State,
    purpose: RenewPurpose,
    answer: _store.WriteResult,
    outbox: _state.Outbox,
) -> None:
    """Take in the outcome of a renewal."""
    membership = state.membership
    membership.renewing = False
    if answer.ok:
        if not membership.row_version:
            membership.registered_version = answer.version
        membership.row_version = answer.version
    if answer.settled_late:
        state.timers.set(_timers.RenewNode(), state.now)
    elif answer.ok:
        held_before = _lease.is_valid(state)
        _forgive_outage(state, answer)
        _observe(state, answer.rows, state.options.data_centre, outbox)
        _observe_slices(state, answer.rows, outbox)
        _promises.renewed(state, answer.version, answer.rows, answer.sent_at)
        membership.renewed_at = answer.sent_at
        membership.vm_revision = purpose.vm_revision
        _slices.use_announced(state)
        if state.phase is _state.NodePhase.STARTING:
            state.phase = _state.NodePhase.SERVING
            outbox.append(effects.LogChange('serving', {'node': state.node}))
        if not held_before:
            _slices.resume_all(state, outbox)
        _departures.update_gone_peers(state)
        balance(state, outbox)
        _departures.sweep(state, outbox)
    elif answer.reached:
        _replaced(state, outbox)


def promised(
    state: _state.State,
    sender: str,
    message: messages.Promised,
    outbox: _state.Outbox,
) -> None:
    """Take in a promise, and go on with every slice that had stopped."""
    held_before = _lease.is_valid(state)
    extended = _promises.promised(state, sender, message)
    if extended and not held_before:
        _slices.resume_all(state, outbox)


def poll_nodes(state: _state.State, outbox: _state.Outbox) -> None:
    """Read the nodes of every data centre."""
    at = state.now + state.options.nodes_poll_s
    state.timers.set(_timers.PollNodes(), at)
    _store.read(state, outbox, NodesPurpose(), prefixes=(schema.NODES,))


def nodes_read(
    state: _state.State,
    purpose: NodesPurpose,
    rows: dict[str, schema.Row] | None,
    outbox: _state.Outbox,
) -> None:
    """Take in the nodes of the other data centres."""
    if rows is not None:
        state.membership.nodes_read_at = state.now
        _observe(state, rows, None, outbox)


def live_peers(state: _state.State) -> Iterator[_state.Peer]:
    """Yield the peers whose registration is fresh and that stay."""
    for peer in state.membership.peers_by_id.values():
        if not peer.draining and _is_fresh(state, peer):
            yield peer


def balance(state: _state.State, outbox: _state.Outbox) -> None:
    """Take the slices that are due to this node, and give back others."""
    owner_by_number = _assignment.assign_slices(state)
    draining = state.phase is _state.NodePhase.DRAINING
    for number in range(state.options.slices):
        mine = owner_by_number.get(number) == state.node
        if number in state.slices_by_number:
            if draining or (not mine and _is_stable(state)):
                _slices.begin_release(state, number, outbox)
        elif mine and number not in state.membership.acquiring:
            _take(state, number, outbox)
    for number in list(state.slices_by_number):
        try_release(state, number, outbox)


def try_release(
    state: _state.State, number: int, outbox: _state.Outbox
) -> None:
    """Give a slice back once nothing about it is outstanding."""
    slice_ = state.slices_by_number.get(number)
    if slice_ is None or not _slices.is_quiet(state, slice_):
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


def released(
    state: _state.State,
    purpose: ReleasePurpose,
    answer: _store.WriteResult,
    outbox: _state.Outbox,
) -> None:
    """Take in the outcome of a release."""
    if state.phase is _state.NodePhase.DRAINING:
        stop_if_drained(state, outbox)


def stop_if_drained(state: _state.State, outbox: _state.Outbox) -> None:
    """End the node once it holds nothing and nobody waits.

    While the store is down nothing can be released: what this node held is
    taken when its lease has lapsed, and its workers keep what they ran.
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


def taken(
    state: _state.State,
    purpose: TakePurpose,
    answer: _store.WriteResult,
    outbox: _state.Outbox,
) -> None:
    """Take in the outcome of a takeover."""
    state.membership.acquiring.discard(purpose.number)
    if not answer.ok or answer.settled_late:
        # A late success is found by the next renewal, which reads the rows.
        return
    key = schema.slice_(state.options.data_centre, purpose.number)
    seen = state.membership.slice_rows_by_number.get(purpose.number)
    if seen is not None and seen.version > answer.version:
        # A renewal has read the row since; it goes by what it read.
        return
    row = schema.Row(answer.version, purpose.value)
    state.membership.slice_rows_by_number[purpose.number] = row
    prefix = schema.jobs(state.options.data_centre, purpose.number)
    job_rows = {
        row_key: row
        for row_key, row in answer.rows.items()
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
    _allotments.restore(state, slice_, answer.rows, outbox)


def _take(state: _state.State, number: int, outbox: _state.Outbox) -> None:
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
            if not _promises.may_take(state, peer, outbox):
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
        schema.LIMITS,
        schema.CONFIG_HEAD,
    )
    purpose = TakePurpose(number, epoch, value)
    _store.write(state, outbox, purpose, checks, {key: value}, (), prefixes)


def _observe(
    state: _state.State,
    rows: dict[str, schema.Row],
    data_centre: str | None,
    outbox: _state.Outbox,
) -> None:
    """Note which registrations changed, by this node's clock."""
    membership = state.membership
    seen = set()
    for key, row in rows.items():
        if not key.startswith(schema.NODES):
            continue
        where, _, node = key[len(schema.NODES) :].partition('/')
        if node == state.node:
            continue
        seen.add(node)
        peer = membership.peers_by_id.get(node)
        if peer is None:
            peer = _state.Peer(
                node, row.value['address'], where, row.version, state.now
            )
            membership.peers_by_id[node] = peer
            membership.stable_since = state.now
            fields = {'peer': node, 'data_centre': where}
            outbox.append(effects.LogChange('peer-seen', fields))
        elif peer.row_version != row.version:
            peer.row_version = row.version
            peer.changed_at = state.now
        # Summaries are fresher than rows: versions only rise, and a node
        # that drains never serves again under the same id.
        peer.draining = peer.draining or row.value['draining']
        version = row.value['config_version']
        peer.config_version = max(peer.config_version, version)
        peer.basis = row.value['basis'] or row.version
        peer.vm_revision = row.value['vm_revision']
    own = state.options.data_centre
    for node, peer in list(membership.peers_by_id.items()):
        # Only a renewal, never a read that may be old, forgets peers of
        # this data centre: promises hang on them.
        is_whole = (peer.data_centre == own) == (data_centre == own)
        if node not in seen and is_whole:
            del membership.peers_by_id[node]
            _promises.forget(state, node)


def _observe_slices(
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


def _replaced(state: _state.State, outbox: _state.Outbox) -> None:
    """Give up everything: somebody removed this node's registration."""
    state.membership.lease_until = 0.0
    state.membership.row_version = 0
    state.membership.registered_version = 0
    state.promises = _state.Promises()
    for number in list(state.slices_by_number):
        _slices.drop(state, number, outbox)
    outbox.append(effects.LogChange('registration-lost'))


def _go_on(state: _state.State, outbox: _state.Outbox) -> None:
    """Ask for promises, and go on with what their refresh lets go on."""
    held_before = _lease.is_valid(state)
    _promises.ask(state, outbox)
    if _lease.is_valid(state) and not held_before:
        _slices.resume_all(state, outbox)


def _forgive_outage(state: _state.State, answer: _store.WriteResult) -> None:
    """Give every peer a lease's time after this node was cut off."""
    membership = state.membership
    if answer.sent_at - membership.renewed_at > state.options.takeover_s:
        for peer in membership.peers_by_id.values():
            peer.changed_at = state.now


def _is_store_lost(state: _state.State) -> bool:
    """Tell whether the store has failed for as long as peers may need.

    In that time each peer that goes on asks for promises, and is promised
    for good that this node takes nothing from it any more.
    """
    since = state.store.failing_since
    if since is None:
        return False
    since = max(since, state.membership.draining_since)
    return state.now - since > state.options.node_lease_s


def _is_fresh(state: _state.State, peer: _state.Peer) -> bool:
    """Tell whether a peer has lately renewed, or said anything."""
    last_heard_at = peer.last_heard_at
    options = state.options
    is_near = peer.data_centre == options.data_centre
    heard_s = options.takeover_s if is_near else options.far_heard_s
    is_heard = (
        last_heard_at is not None and state.now - last_heard_at <= heard_s
    )
    return is_heard or _assignment.is_registration_current(state, peer)


def _is_stable(state: _state.State) -> bool:
    since = state.now - state.membership.stable_since
    return since > STABLE_LEASES * state.options.node_lease_s


def _may_be_live(state: _state.State, peer: _state.Peer) -> bool:
    """Tell whether the lease of a peer may still run."""
    return state.now - peer.changed_at <= state.options.takeover_s
