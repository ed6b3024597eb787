"""Moves of team slots between the pools in the store and this node's slices.

A move is one write to the row of each team and the allotment of each slice
concerned, fenced by the rows of the slices and of the configuration. Slots
returned to a pool are debited before the write; slots drawn from it are
credited once the write is known to have succeeded. Allotments have rows of
their own, so that a move never blocks another write of the slice.
"""

import attrs

from celeryshift_core import _allotments
from celeryshift_core import _escrow
from celeryshift_core import _pools
from celeryshift_core import _state
from celeryshift_core import _store
from celeryshift_core import _timers
from celeryshift_core import schema

RETRY_S = 0.01


@attrs.frozen(slots=True)
class MovePurpose:
    """Purpose of a write that moves slots."""

    config_version: int
    moves: tuple[_escrow.Move, ...]
    allotted_by_team: dict[str, int]


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
        _allotments.review_soon(state)
    if any(
        slice_.allotment.owed_by_team
        for slice_ in state.slices_by_number.values()
    ):
        state.timers.set(
            _timers.MoveAllotments(), state.now + _allotments.MOVE_INTERVAL_S
        )


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
            _pools.update_pool(state, team, result.version, slots, current)
        if _has_needs(state):
            _allotments.schedule_move(state, _allotments.MOVE_INTERVAL_S)
    elif result.reached:
        state.counters['allotments.conflicts'] += 1
        _apply_conflict(state, purpose, result)
        _allotments.request_base(state)
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
        self.slices = _allotments.slices_of_fleet(state)

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
            team_limit = _pools.limit(self.state, team)
            after = self._allotted(team) + slots
            if (
                self._drawable(team)
                and _allotments.BASE_DIVISOR * after <= team_limit
            ):
                self._add(slice_, team, slots)

    def _drawable(self, team: str) -> int | None:
        """Return the slots that may be drawn for a team, None if unknown."""
        if self.state.escrow.pool(team).former_limit is None:
            return None
        return _pools.limit(self.state, team) - self._allotted(team)

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
            _pools.update_pool(state, team, row.version, slots, current)
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


def _slots_to_return(
    state: _state.State, slice_: _state.Slice, team: str
) -> int:
    if state.escrow.pool(team).former_limit != 0:
        return 0
    allotted = slice_.allotment.slots_by_team[team]
    free = allotted - _allotments.used_slots(slice_, team)
    if _pools.is_in_excess(state, team):
        return free
    owed = slice_.allotment.owed_by_team.get(team, 0)
    if owed:
        return min(free, owed)
    pool = state.escrow.pool(team)
    team_limit = _pools.limit(state, team)
    if (
        team_limit - pool.allotted_slots
        < team_limit // _allotments.SCARCE_DIVISOR + 1
    ):
        return min(free, slice_.allotment.idle_by_team.get(team, 0))
    return 0


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
    wait_s = min(RETRY_S * 2**escrow.conflicts, _allotments.MOVE_INTERVAL_S)
    escrow.conflicts += 1
    at = state.now + wait_s * state.rng.random()
    state.timers.set(_timers.MoveAllotments(), at)
