"""Assignment of slices to nodes."""

from celeryshift_core import _ids
from celeryshift_core import _state
from celeryshift_core import events

# Weight of a worker; the slice itself has weight 1.
WORKER_WEIGHT = 10


def assign_slices(state: _state.State) -> dict[int, str]:
    """Return the live node to own each slice, with balanced load.

    An owner keeps its slices while its load is within the maximum; the other
    slices are assigned by rendezvous rank. All nodes compute the same result
    from the same rows. Where the results differ for a moment, the store lets
    only one node acquire a slice.

    Source: Mirrokni, Thorup and Zadimoghaddam, Consistent hashing with
    bounded loads, 2018.
    """
    nodes = _candidates(state)
    if not nodes:
        return {}
    weight_by_number = _weigh_slices(state)
    max_load = -(-sum(weight_by_number.values()) // len(nodes))
    max_load = max(max_load, *weight_by_number.values())
    load_by_node = dict.fromkeys(nodes, 0)
    owner_by_number = {}
    for number, weight in weight_by_number.items():
        row = state.membership.slice_rows_by_number.get(number)
        owner = row.value['owner'] if row else ''
        if owner in load_by_node and load_by_node[owner] + weight <= max_load:
            owner_by_number[number] = owner
            load_by_node[owner] += weight
    for number, weight in weight_by_number.items():
        if number not in owner_by_number:
            best = min(
                nodes,
                key=lambda node: (
                    load_by_node[node] + weight > max_load,
                    -_ids.rank(node, number),
                ),
            )
            owner_by_number[number] = best
            load_by_node[best] += weight
    return owner_by_number


def is_registration_current(state: _state.State, peer: _state.Peer) -> bool:
    """Return whether a peer has renewed its registration recently."""
    lease_s = state.options.takeover_s
    if peer.data_centre != state.options.data_centre:
        # Its registration is read only at this interval.
        lease_s += state.options.nodes_poll_s
    return state.now - peer.changed_at <= lease_s


def _candidates(state: _state.State) -> list[str]:
    nodes = [
        peer.id
        for peer in state.membership.peers_by_id.values()
        if peer.data_centre == state.options.data_centre
        and not peer.draining
        and is_registration_current(state, peer)
    ]
    if state.phase is _state.NodePhase.SERVING:
        nodes.append(state.node)
    return nodes


def _weigh_slices(state: _state.State) -> dict[int, int]:
    """Return the weight of each slice, the heaviest first."""
    revision, weights = state.slice_weights
    if revision == state.vm_revision:
        return weights
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
    state.slice_weights = (state.vm_revision, dict(heaviest))
    return state.slice_weights[1]
