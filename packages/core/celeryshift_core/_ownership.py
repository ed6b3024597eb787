"""Who owns which slice: registration, leases, takeover and release.

A node keeps one registration row in the store and renews it with one write,
which also reads who owns each slice of the data centre. A slice may be taken
when its owner's registration has not changed for longer than its lease, by
the taker's own clock.
"""

from collections.abc import Iterator

import attrs

from celeryshift_core import _allotments
from celeryshift_core import _ids
from celeryshift_core import _slices
from celeryshift_core import _state
from celeryshift_core import _store
from celeryshift_core import _timers
from celeryshift_core import effects
from celeryshift_core import events
from celeryshift_core import schema

STABLE_LEASES = 2
WORKER_WEIGHT = 10


@attrs.frozen(slots=True)
class RenewPurpose:
    """Say that a write renewed the registration."""


@attrs.frozen(slots=True)
class TakePurpose:
    """Say that a write takes a slice."""

    number: int
    epoch: int


@attrs.frozen(slots=True)
class ReleasePurpose:
    """Say that a write gives a slice back."""

    number: int
    epoch: int


@attrs.frozen(slots=True)
class NodesPurpose:
    """Say that a read lists the nodes of every data centre."""


def renew(state: _state.State, out: _state.Out) -> None:
    """Renew the registration, unless a renewal is outstanding."""
    options = state.options
    state.timers.set(_timers.RenewNode(), state.now + options.node_renew_s)
    if state.membership.renewing or state.phase is _state.NodePhase.STOPPED:
        return
    state.membership.renewing = True
    key = schema.node(options.data_centre, state.node)
    value = {
        'address': options.address,
        'config_version': state.config.version,
        'draining': state.phase is _state.NodePhase.DRAINING,
    }
    _store.write(
        state,
        out,
        RenewPurpose(),
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
    answer: _store.Written,
    out: _state.Out,
) -> None:
    """Take in the outcome of a renewal."""
    membership = state.membership
    membership.renewing = False
    if answer.ok:
        membership.row_version = answer.version
        if answer.settled_late:
            state.timers.set(_timers.RenewNode(), state.now)
            return
        _observe(state, answer.rows, state.options.data_centre, out)
        _observe_slices(state, answer.rows, out)
        membership.lease_until = answer.sent_at + state.options.node_lease_s
        if state.phase is _state.NodePhase.STARTING:
            state.phase = _state.NodePhase.SERVING
            out.append(effects.LogChange('serving', {'node': state.node}))
        _slices.wake(state, out)
        balance(state, out)
    elif answer.reached:
        _replaced(state, out)


def poll_nodes(state: _state.State, out: _state.Out) -> None:
    """Read the nodes of every data centre."""
    at = state.now + state.options.nodes_poll_s
    state.timers.set(_timers.PollNodes(), at)
    _store.read(state, out, NodesPurpose(), prefixes=(schema.NODES,))


def nodes_read(
    state: _state.State,
    purpose: NodesPurpose,
    rows: dict[str, schema.Row] | None,
    out: _state.Out,
) -> None:
    """Take in the nodes of the other data centres."""
    if rows is not None:
        state.membership.nodes_read_at = state.now
        _observe(state, rows, None, out)


def live_peers(state: _state.State) -> Iterator[_state.Peer]:
    """Yield the peers whose registration is fresh and that stay."""
    for peer in state.membership.peers_by_id.values():
        if not peer.draining and _is_fresh(state, peer):
            yield peer


def balance(state: _state.State, out: _state.Out) -> None:
    """Take the slices that are due to this node, and give back others."""
    owner_by_number = _assign(state)
    draining = state.phase is _state.NodePhase.DRAINING
    for number in range(state.options.slices):
        mine = owner_by_number.get(number) == state.node
        if number in state.slices_by_number:
            if draining or (not mine and _is_stable(state)):
                _slices.begin_release(state, number, out)
        elif mine and number not in state.membership.taking:
            _take(state, number, out)
    for number in list(state.slices_by_number):
        try_release(state, number, out)


def try_release(state: _state.State, number: int, out: _state.Out) -> None:
    """Give a slice back once nothing about it is outstanding."""
    held = state.slices_by_number.get(number)
    if held is None or not _slices.is_quiet(state, held):
        return
    key = schema.slice_(state.options.data_centre, number)
    row = state.membership.slice_rows_by_number[number]
    value = {**row.value, 'owner': '', 'epoch': held.epoch}
    purpose = ReleasePurpose(number, held.epoch)
    _slices.drop(state, number, out)
    checks = {key: held.row_version}
    _store.write(state, out, purpose, checks, {key: value})


def released(
    state: _state.State,
    purpose: ReleasePurpose,
    answer: _store.Written,
    out: _state.Out,
) -> None:
    """Take in the outcome of a release."""
    if state.phase is _state.NodePhase.DRAINING:
        stop_if_drained(state, out)


def stop_if_drained(state: _state.State, out: _state.Out) -> None:
    """End the node once it holds nothing and nobody waits."""
    if (
        state.phase is _state.NodePhase.DRAINING
        and not state.slices_by_number
        and not state.requests_by_id
        and not state.replies_due
        and not state.store.writes_by_op
    ):
        state.phase = _state.NodePhase.STOPPED
        out.append(effects.LogChange('stopped', {'node': state.node}))
        out.append(effects.StopNode())


def taken(
    state: _state.State,
    purpose: TakePurpose,
    answer: _store.Written,
    out: _state.Out,
) -> None:
    """Take in the outcome of a takeover."""
    state.membership.taking.discard(purpose.number)
    if not answer.ok or answer.settled_late:
        # A late success is found by the next renewal, which reads the rows.
        return
    key = schema.slice_(state.options.data_centre, purpose.number)
    value = {'owner': state.node, 'epoch': purpose.epoch}
    row = schema.Row(answer.version, value)
    state.membership.slice_rows_by_number[purpose.number] = row
    prefix = schema.jobs(state.options.data_centre, purpose.number)
    job_rows = {
        row_key: row
        for row_key, row in answer.rows.items()
        if row_key.startswith(prefix)
    }
    assert key not in job_rows
    _slices.recover(
        state, purpose.number, purpose.epoch, answer.version, job_rows, out
    )
    held = state.slices_by_number[purpose.number]
    _allotments.restore(state, held, answer.rows, out)


def _take(state: _state.State, number: int, out: _state.Out) -> None:
    options = state.options
    row = state.membership.slice_rows_by_number.get(number)
    key = schema.slice_(options.data_centre, number)
    checks = {key: row.version if row else 0}
    owner = row.value['owner'] if row else ''
    if owner and owner != state.node:
        peer = state.membership.peers_by_id.get(owner)
        if peer is not None:
            if state.now - peer.changed_at <= options.takeover_s:
                return
            owner_key = schema.node(options.data_centre, owner)
            checks[owner_key] = peer.row_version
    epoch = (row.value['epoch'] if row else 0) + 1
    state.membership.taking.add(number)
    value = {**(row.value if row else {})}
    value.update({'owner': state.node, 'epoch': epoch})
    prefixes = (
        schema.jobs(options.data_centre, number),
        schema.allotment(options.data_centre, number),
        schema.LIMITS,
        schema.CONFIG_HEAD,
    )
    purpose = TakePurpose(number, epoch)
    _store.write(state, out, purpose, checks, {key: value}, (), prefixes)


def _assign(state: _state.State) -> dict[int, str]:
    """Assign each slice to a live node, none with more than its part.

    An owner keeps its slices as long as it stays within its part; the rest
    goes by rank. All nodes work this out alike from the same rows; where
    they differ for a moment, the store lets only one of them take a slice.

    Source: Mirrokni, Thorup and Zadimoghaddam, Consistent hashing with
    bounded loads, 2018.
    """
    nodes = _candidates(state)
    if not nodes:
        return {}
    weight_by_number = _weigh(state)
    part = -(-sum(weight_by_number.values()) // len(nodes))
    part = max(part, *weight_by_number.values())
    load_by_node = dict.fromkeys(nodes, 0)
    owner_by_number = {}
    for number, weight in weight_by_number.items():
        row = state.membership.slice_rows_by_number.get(number)
        owner = row.value['owner'] if row else ''
        if owner in load_by_node and load_by_node[owner] + weight <= part:
            owner_by_number[number] = owner
            load_by_node[owner] += weight
    for number, weight in weight_by_number.items():
        if number not in owner_by_number:
            best = min(
                nodes,
                key=lambda node: (
                    load_by_node[node] + weight > part,
                    -_ids.rank(node, number),
                ),
            )
            owner_by_number[number] = best
            load_by_node[best] += weight
    return owner_by_number


def _candidates(state: _state.State) -> list[str]:
    nodes = [
        peer.id
        for peer in live_peers(state)
        if peer.data_centre == state.options.data_centre
    ]
    if state.phase is _state.NodePhase.SERVING:
        nodes.append(state.node)
    return nodes


def _weigh(state: _state.State) -> dict[int, int]:
    """Give the weight of each slice, the heaviest first."""
    options = state.options
    weight_by_number = dict.fromkeys(range(options.slices), 1)
    for vm in state.vms_by_name.values():
        if (
            vm.role is events.VmRole.WORKER
            and vm.data_centre == options.data_centre
        ):
            number = _ids.slice_of(vm.name, options.slices)
            weight_by_number[number] += WORKER_WEIGHT
    heaviest = sorted(
        weight_by_number.items(), key=lambda item: (-item[1], item[0])
    )
    return dict(heaviest)


def _observe(
    state: _state.State,
    rows: dict[str, schema.Row],
    data_centre: str | None,
    out: _state.Out,
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
            out.append(effects.LogChange('peer-seen', fields))
        elif peer.row_version != row.version:
            peer.row_version = row.version
            peer.changed_at = state.now
        peer.draining = row.value['draining']
        peer.config_version = row.value['config_version']
    for node, peer in list(membership.peers_by_id.items()):
        if node not in seen and data_centre in (None, peer.data_centre):
            del membership.peers_by_id[node]


def _observe_slices(
    state: _state.State, rows: dict[str, schema.Row], out: _state.Out
) -> None:
    prefix = f'{schema.SLICES}{state.options.data_centre}/'
    for key, row in rows.items():
        if not key.startswith(prefix):
            continue
        number = int(key[len(prefix) :])
        state.membership.slice_rows_by_number[number] = row
        held = state.slices_by_number.get(number)
        if held is None:
            continue
        if (row.value['owner'], row.value['epoch']) != (
            state.node,
            held.epoch,
        ):
            _slices.drop(state, number, out)
        else:
            held.row_version = max(held.row_version, row.version)


def _replaced(state: _state.State, out: _state.Out) -> None:
    """Give up everything: somebody removed this node's registration."""
    state.membership.lease_until = 0.0
    state.membership.row_version = 0
    for number in list(state.slices_by_number):
        _slices.drop(state, number, out)
    out.append(effects.LogChange('registration-lost'))


def _is_fresh(state: _state.State, peer: _state.Peer) -> bool:
    lease_s = state.options.takeover_s
    if peer.data_centre != state.options.data_centre:
        lease_s += state.options.nodes_poll_s
    return state.now - peer.changed_at <= lease_s


def _is_stable(state: _state.State) -> bool:
    since = state.now - state.membership.stable_since
    return since > STABLE_LEASES * state.options.node_lease_s
