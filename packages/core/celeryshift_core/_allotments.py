"""Moves of team slots between the pools in the store and this node's slices.

A move is one write to the row of each team and the allotment of each slice
concerned, fenced by the rows of the slices and of the configuration. Slots
returned to a pool are debited before the write; slots drawn from it are
credited once the write is known to have succeeded. Allotments have rows of
their own, so that a move never blocks another write of the slice.
"""

import attrs

from celeryshift_core import _config
from celeryshift_core import _escrow
from celeryshift_core import _limit_claims
from celeryshift_core import _size
from celeryshift_core import _state
from celeryshift_core import _store
from celeryshift_core import _timers
from celeryshift_core import schema

MOVE_INTERVAL_S = 0.25
RETRY_S = 0.01
REVIEW_S = 3.0
FAST_REVIEW_S = 1.0
STABLE_S = 1.5
INHERITED_MARGIN_S = 2.0
SCARCE_DIVISOR = 8
BASE_DIVISOR = 2
UNCONFIGURED_TEAM = _config.Team(limit_slots=0)


@attrs.frozen(slots=True)
class MovePurpose:
    """Purpose of a write that moves slots."""

    config_version: int
    moves: tuple[_escrow.Move, ...]
    allotted_by_team: dict[str, int]


@attrs.frozen(slots=True)
class PoolsPurpose:
    """Purpose of a read of the total allotted slots of each team."""


def limit(state: _state.State, team: str) -> int:
    """Return the slot limit of a team, 0 if it is not configured."""
    return state.config.teams.get(team, UNCONFIGURED_TEAM).limit_slots


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
    team_limit = limit(state, team)
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
    _schedule_move(state, MOVE_INTERVAL_S)


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
    _update_pools(state, rows)
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


def handle_config_changed(
    state: _state.State, before: _config.Config, outbox: _state.Outbox
) -> None:
    """Assume that slots are allotted up to the former limits.

    Other nodes may have drawn them since the rows were last read.
    """
    lowered = False
    for name, pool in state.escrow.pools_by_team.items():
        former = before.teams.get(name, UNCONFIGURED_TEAM).limit_slots
        if not before.version:
            pool.former_limit = None
        elif pool.former_limit is not None:
            pool.former_limit = max(pool.former_limit, former)
        lowered = lowered or limit(state, name) < former
    if lowered or not before.version:
        read_pools(state, outbox)


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
            _in_excess(state, team) for team in slice_.allotment.slots_by_team
        )
    fast = excess or not _is_stable(state)
    wait_s = FAST_REVIEW_S if fast else REVIEW_S
    wait_s *= 1 + state.rng.random() / SCARCE_DIVISOR
    state.timers.set(_timers.ReviewAllotments(), state.now + wait_s)
    read_pools(state, outbox)


def read_pools(state: _state.State, outbox: _state.Outbox) -> None:
    """Read the total of allotted slots of each team."""
    prefixes = (schema.CONFIG_HEAD, schema.POOLS)
    _store.read(state, outbox, PoolsPurpose(), prefixes=prefixes)


def handle_pools_read(
    state: _state.State,
    purpose: PoolsPurpose,
    rows: dict[str, schema.Row] | None,
    outbox: _state.Outbox,
) -> None:
    """Update the pools and schedule the next move."""
    if rows is not None:
        _update_pools(state, rows)
        _request_base(state)
        if _limit_claims.claim_slots(state, outbox):
            _review_soon(state)
        _schedule_move(state, MOVE_INTERVAL_S)


def move(state: _state.State, timer: object, outbox: _state.Outbox) -> None:
    """Return and draw slots in one write."""
    escrow = state.escrow
    if escrow.moving or not state.config_row_version:
        return
    plan = _MovePlan(state)
    for slice_ in state.slices_by_number.values():
        if not slice_.allotment.fenced:
            plan.add_returns(slice_)
    for slice_ in state.slices_by_number.values():
        releasing = slice_.phase is _state.SlicePhase.RELEASING
        if not (slice_.allotment.fenced or releasing):
            plan.add_draws(slice_)
            plan.add_base(slice_)
    if plan.moves:
        escrow.moving = True
        escrow.moved_at = state.now
        _write(state, plan, outbox)
    elif _has_needs(state):
        _review_soon(state)
    if any(
        slice_.allotment.owed_by_team
        for slice_ in state.slices_by_number.values()
    ):
        state.timers.set(_timers.MoveAllotments(), state.now + MOVE_INTERVAL_S)


def handle_moved(
    state: _state.State,
    purpose: MovePurpose,
    result: _store.WriteResult,
    outbox: _state.Outbox,
) -> None:
    """Credit slots that were drawn or could not be returned."""
    state.escrow.moving = False
    for entry in purpose.moves:
        slice_ = _state.owned_slice(state, entry)
        if slice_ is None:
            continue
        if result.ok:
            slice_.allotment.row_version = result.version
            if entry.slots < 0:
                _settle_owed(slice_, entry)
            idle = slice_.allotment.idle_by_team
            need = slice_.allotment.need_by_team
            (need if entry.slots > 0 else idle).pop(entry.team, None)
        if result.ok == (entry.slots > 0):
            slice_.allotment.change(entry.team, abs(entry.slots))
            state.slices_to_place[slice_.number] = None
    if result.ok:
        state.escrow.conflicts = 0
        current = purpose.config_version >= state.config.version
        for team, slots in purpose.allotted_by_team.items():
            _update_pool(state, team, result.version, slots, current)
        if _has_needs(state):
            _schedule_move(state, MOVE_INTERVAL_S)
    elif result.reached:
        state.counters['allotments.conflicts'] += 1
        _apply_conflict(state, purpose, result)
        _request_base(state)
        _retry(state)


def _settle_owed(slice_: _state.Slice, entry: _escrow.Move) -> None:
    owed = slice_.allotment.owed_by_team.pop(entry.team, 0) + entry.slots
    if owed > 0:
        slice_.allotment.owed_by_team[entry.team] = owed


class _MovePlan:
    """Moves that are collected for one write."""

    def __init__(self, state: _state.State) -> None:
        self.state = state
        self.moves: list[_escrow.Move] = []
        self.allotted_by_team: dict[str, int] = {}
        self.slices = _slices_of_fleet(state)

    def add_returns(self, slice_: _state.Slice) -> None:
        """Debit the unused slots of a slice that others may need."""
        for team in list(slice_.allotment.slots_by_team):
            slots = _slots_to_return(self.state, slice_, team)
            if slots > 0 and self._drawable(team) is not None:
                slice_.allotment.change(team, -slots)
                self._add(slice_, team, -slots)

    def add_draws(self, slice_: _state.Slice) -> None:
        """Draw the slots that a slice needs, and some in advance."""
        allotment = slice_.allotment
        capacity = sum(
            map(slice_.ledger.capacity_slots, slice_.ledger.upstreams)
        )
        for team, need in list(allotment.need_by_team.items()):
            available = self._drawable(team)
            if available is None or team in allotment.owed_by_team:
                continue
            allotted = allotment.slots_by_team.get(team, 0)
            capacity_left = max(0, capacity - allotted)
            slots = _escrow.slots_to_draw(
                need, allotted, available, self.slices, capacity_left
            )
            if slots > 0:
                self._add(slice_, team, slots)
            elif not need:
                del allotment.need_by_team[team]

    def add_base(self, slice_: _state.Slice) -> None:
        """Draw the base slots for outages from pools with ample free slots."""
        base, slice_.allotment.base_by_team = slice_.allotment.base_by_team, {}
        for team, slots in base.items():
            team_limit = limit(self.state, team)
            after = self._allotted(team) + slots
            if self._drawable(team) and BASE_DIVISOR * after <= team_limit:
                self._add(slice_, team, slots)

    def _drawable(self, team: str) -> int | None:
        """Return the slots that may be drawn for a team, None if unknown."""
        if self.state.escrow.pool(team).former_limit is None:
            return None
        return limit(self.state, team) - self._allotted(team)

    def _allotted(self, team: str) -> int:
        pool = self.state.escrow.pool(team)
        return self.allotted_by_team.get(team, pool.allotted_slots)

    def _add(self, slice_: _state.Slice, team: str, slots: int) -> None:
        self.allotted_by_team[team] = self._allotted(team) + slots
        entry = _escrow.Move(slice_.number, slice_.epoch, team, slots)
        self.moves.append(entry)


def _write(
    state: _state.State, plan: _MovePlan, outbox: _state.Outbox
) -> None:
    data_centre = state.options.data_centre
    checks = {schema.CONFIG_HEAD: state.config_row_version}
    puts: dict[str, dict] = {}
    for team, slots in plan.allotted_by_team.items():
        key = schema.pool(team)
        checks[key] = state.escrow.pool(team).row_version
        puts[key] = {'slots': slots}
    for entry in plan.moves:
        slice_ = state.slices_by_number[entry.slice]
        checks[schema.slice_(data_centre, slice_.number)] = slice_.row_version
        key = schema.allotment(data_centre, slice_.number)
        checks[key] = slice_.allotment.row_version
        value = puts.setdefault(
            key, {'slots_by_team': dict(slice_.allotment.slots_by_team)}
        )
        if entry.slots > 0:
            by_team = value['slots_by_team']
            by_team[entry.team] = by_team.get(entry.team, 0) + entry.slots
    purpose = MovePurpose(
        state.config.version, tuple(plan.moves), plan.allotted_by_team
    )
    state.counters['allotments.moves'] += 1
    _store.write(state, outbox, purpose, checks, puts)


def _apply_conflict(
    state: _state.State, purpose: MovePurpose, result: _store.WriteResult
) -> None:
    head_unchanged = schema.CONFIG_HEAD not in result.rows
    current = head_unchanged and purpose.config_version >= state.config.version
    for team in purpose.allotted_by_team:
        row = result.rows.get(schema.pool(team))
        if row is not None:
            slots = row.value['slots']
            _update_pool(state, team, row.version, slots, current)
    if not head_unchanged:
        state.timers.set(_timers.PollConfig(), state.now)
    data_centre = state.options.data_centre
    for entry in purpose.moves:
        slice_ = _state.owned_slice(state, entry)
        if slice_ is None:
            continue
        if schema.slice_(data_centre, slice_.number) in result.rows:
            # Another node owns the slice; the next renewal drops it here.
            slice_.allotment.fenced = True


def _update_pools(state: _state.State, rows: dict[str, schema.Row]) -> None:
    head = rows.get(schema.CONFIG_HEAD)
    version = head.value['version'] if head else 0
    current = version >= state.config.version
    for team in {*state.config.teams, *state.escrow.pools_by_team}:
        row = rows.get(schema.pool(team))
        if row is not None:
            slots = row.value['slots']
            _update_pool(state, team, row.version, slots, current)
        elif not state.escrow.pool(team).row_version and current:
            state.escrow.pool(team).former_limit = 0


def _update_pool(
    state: _state.State, team: str, row_version: int, slots: int, current: bool
) -> None:
    """Update the pool of a team from its row.

    Only a row that was read under the configuration in force is current:
    if it was read under an older one, more may have been drawn since.
    """
    pool = state.escrow.pool(team)
    if row_version >= pool.row_version:
        pool.row_version = row_version
        pool.allotted_slots = slots
        if current:
            pool.former_limit = 0


def _slots_to_return(
    state: _state.State, slice_: _state.Slice, team: str
) -> int:
    if state.escrow.pool(team).former_limit != 0:
        return 0
    allotted = slice_.allotment.slots_by_team[team]
    free = allotted - used_slots(slice_, team)
    if _in_excess(state, team):
        return free
    owed = slice_.allotment.owed_by_team.get(team, 0)
    if owed:
        return min(free, owed)
    pool = state.escrow.pool(team)
    team_limit = limit(state, team)
    if team_limit - pool.allotted_slots < team_limit // SCARCE_DIVISOR + 1:
        return min(free, slice_.allotment.idle_by_team.get(team, 0))
    return 0


def _in_excess(state: _state.State, team: str) -> bool:
    bound = state.escrow.pool(team).bound
    return bound is not None and bound > limit(state, team)


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


def _request_base(state: _state.State) -> None:
    """Request a few slots for every team as a reserve for outages."""
    if not _is_stable(state):
        # Nodes were found recently, so the number of data centres may rise.
        return
    slices = _slices_of_fleet(state)
    for name, team in state.config.teams.items():
        base = max(1, team.limit_slots // (BASE_DIVISOR * slices))
        for slice_ in state.slices_by_number.values():
            allotted = slice_.allotment.slots_by_team.get(name, 0)
            if allotted < base and slice_.ledger.upstreams:
                slice_.allotment.base_by_team[name] = base - allotted


def _is_stable(state: _state.State) -> bool:
    """Return whether no node was found recently."""
    return state.now - state.membership.stable_since > STABLE_S


def _slices_of_fleet(state: _state.State) -> int:
    centres = {
        peer.data_centre for peer in state.membership.peers_by_id.values()
    }
    centres.add(state.options.data_centre)
    return state.options.slices * len(centres)


def _has_needs(state: _state.State) -> bool:
    return any(
        slice_.allotment.need_by_team
        for slice_ in state.slices_by_number.values()
    )


def _retry(state: _state.State) -> None:
    """Retry a move while the rows are fresh, with exponential backoff.

    Source: Metcalfe and Boggs, Ethernet, 1976 (binary exponential backoff).
    """
    escrow = state.escrow
    wait_s = min(RETRY_S * 2**escrow.conflicts, MOVE_INTERVAL_S)
    escrow.conflicts += 1
    at = state.now + wait_s * state.rng.random()
    state.timers.set(_timers.MoveAllotments(), at)


def _review_soon(state: _state.State) -> None:
    timer = _timers.ReviewAllotments()
    at = state.now + FAST_REVIEW_S
    if (state.timers.at(timer) or at) >= at:
        state.timers.set(timer, at)


def _schedule_move(state: _state.State, interval_s: float) -> None:
    at = max(state.now, state.escrow.moved_at + interval_s)
    state.timers.set_once(_timers.MoveAllotments(), at)
