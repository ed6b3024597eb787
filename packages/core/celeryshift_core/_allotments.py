"""Division of team slots among the slices of this node.

A slice requests the slots that it needs and returns those that it leaves idle;
`_slot_moves` moves them between the slices and the pools in the store.
"""

from celeryshift_core import _limit_claims
from celeryshift_core import _pools
from celeryshift_core import _size
from celeryshift_core import _state
from celeryshift_core import _timers
from celeryshift_core import schema

MOVE_INTERVAL_S = 0.25
REVIEW_S = 3.0
FAST_REVIEW_S = 1.0
STABLE_S = 1.5
INHERITED_MARGIN_S = 2.0
SCARCE_DIVISOR = 8
BASE_DIVISOR = 2


def used_slots(slice_: _state.Slice, team: str) -> int:
    """Return the slots that a team uses, or may use, on a slice."""
    inherited = slice_.allotment.inherited_by_team.get(team, 0)
    return slice_.used_by_team.get(team, _size.ZERO).slots + inherited


def usable_slots(state: _state.State, slice_: _state.Slice, team: str) -> int:
    """Return the slots that a team may use on a slice.

    While more slots are allotted than a lowered limit allows, no task of the
    team starts, and the slots of completed tasks are returned. During an
    outage of the store no slots can be returned, so each slice uses its
    proportional part, rounded down so that the sum stays within the limit.
    """
    allotted = slice_.allotment.slots_by_team.get(team, 0)
    team_limit = _pools.limit(state, team)
    bound = state.escrow.pool(team).bound
    if bound is None:
        return 0
    if bound <= team_limit:
        return allotted - slice_.allotment.owed_by_team.get(team, 0)
    if state.store.failing_since is None:
        return 0
    return allotted * team_limit // bound


def request_slots(
    state: _state.State, slice_: _state.Slice, team: str, slots: int
) -> None:
    """Request slots until a team has at least a number on a slice."""
    allotted = slice_.allotment.slots_by_team.get(team, 0)
    need = slice_.allotment.need_by_team
    need[team] = max(slots - allotted, need.get(team, 0))
    schedule_move(state, MOVE_INTERVAL_S)


def restore(
    state: _state.State,
    slice_: _state.Slice,
    rows: dict[str, schema.Row],
    outbox: _state.Outbox,
) -> None:
    """Restore the allotment of an acquired slice.

    All of it counts as used until the workers have reported their tasks:
    requests have no lease and may run until the timeout of their kind.
    """
    key = schema.allotment(state.options.data_centre, slice_.number)
    row = rows.get(key)
    allotment = slice_.allotment
    if row is not None:
        allotment.row_version = row.version
        allotment.slots_by_team = dict(row.value['slots_by_team'])
        allotment.inherited_by_team = dict(allotment.slots_by_team)
    _pools.update_pools(state, rows)
    longest_s = max(
        (kind.timeout_s for kind in state.config.kinds.values()), default=0.0
    )
    # The workers measure the timeouts on their own clocks.
    request_s = longest_s * (1 + state.options.clock_margin)
    wait_s = max(state.options.inherited_tasks_end_s, request_s)
    timer = _timers.InheritedEnds(slice_.number, slice_.epoch)
    state.timers.set(timer, state.now + wait_s + INHERITED_MARGIN_S)
    state.timers.set_once(_timers.ReviewAllotments(), state.now)
    clear_inherited_if_reported(state, slice_)


def clear_inherited_if_reported(
    state: _state.State, slice_: _state.Slice
) -> None:
    """Clear the inherited slots once every worker has reported."""
    if slice_.phase is not _state.SlicePhase.READY:
        return
    workers = slice_.ledger.workers_by_name.values()
    if all(worker.answered for worker in workers):
        slice_.allotment.inherited_by_team.clear()


def handle_inherited_end(
    state: _state.State, timer: _timers.InheritedEnds, outbox: _state.Outbox
) -> None:
    """Clear the inherited slots once inherited tasks have certainly ended."""
    slice_ = state.slices_by_number.get(timer.slice)
    if slice_ is not None and slice_.epoch == timer.epoch:
        slice_.allotment.inherited_by_team.clear()
        state.slices_to_place[slice_.number] = None


def review(state: _state.State, timer: object, outbox: _state.Outbox) -> None:
    """Record the idle slots of each slice, and read the pools."""
    if not state.slices_by_number:
        return
    excess = False
    for slice_ in state.slices_by_number.values():
        _record_idle(slice_)
        # The next placement requests again what is still needed.
        slice_.allotment.need_by_team.clear()
        slice_.allotment.owed_by_team.clear()
        state.slices_to_place[slice_.number] = None
        excess = excess or any(
            _pools.is_in_excess(state, team)
            for team in slice_.allotment.slots_by_team
        )
    fast = excess or not _is_stable(state)
    wait_s = FAST_REVIEW_S if fast else REVIEW_S
    wait_s *= 1 + state.rng.random() / SCARCE_DIVISOR
    state.timers.set(_timers.ReviewAllotments(), state.now + wait_s)
    _pools.read_pools(state, outbox)


def handle_pools_read(
    state: _state.State,
    purpose: _pools.PoolsPurpose,
    rows: dict[str, schema.Row] | None,
    outbox: _state.Outbox,
) -> None:
    """Update the pools and schedule the next move."""
    if rows is not None:
        _pools.update_pools(state, rows)
        request_base(state)
        if _limit_claims.claim_slots(state, outbox):
            review_soon(state)
        schedule_move(state, MOVE_INTERVAL_S)


def _record_idle(slice_: _state.Slice) -> None:
    """Record the slots that were free at this review and the last one."""
    allotment = slice_.allotment
    free_by_team = {
        team: max(0, allotted - used_slots(slice_, team))
        for team, allotted in allotment.slots_by_team.items()
    }
    allotment.idle_by_team = {
        team: min(free, allotment.free_by_team.get(team, 0))
        for team, free in free_by_team.items()
    }
    allotment.free_by_team = free_by_team


def request_base(state: _state.State) -> None:
    """Request a few slots for every team as a reserve for outages."""
    if not _is_stable(state):
        # Nodes were found recently, so the number of data centres may rise.
        return
    slices = slices_of_fleet(state)
    for name, team in state.config.teams.items():
        base = max(1, team.limit_slots // (BASE_DIVISOR * slices))
        for slice_ in state.slices_by_number.values():
            allotted = slice_.allotment.slots_by_team.get(name, 0)
            if allotted < base and slice_.ledger.upstreams:
                slice_.allotment.base_by_team[name] = base - allotted


def _is_stable(state: _state.State) -> bool:
    """Return whether no node was found recently."""
    return state.now - state.membership.stable_since > STABLE_S


def slices_of_fleet(state: _state.State) -> int:
    """Return the number of slices of all data centres with a known node."""
    centres = {
        peer.data_centre for peer in state.membership.peers_by_id.values()
    }
    centres.add(state.options.data_centre)
    return state.options.slices * len(centres)


def review_soon(state: _state.State) -> None:
    """Advance the next review."""
    timer = _timers.ReviewAllotments()
    at = state.now + FAST_REVIEW_S
    if (state.timers.at(timer) or at) >= at:
        state.timers.set(timer, at)


def schedule_move(state: _state.State, interval_s: float) -> None:
    """Schedule a move, at an interval from the last one."""
    at = max(state.now, state.escrow.moved_at + interval_s)
    state.timers.set_once(_timers.MoveAllotments(), at)
