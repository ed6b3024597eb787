"""Moves of allotments between the slices of this node and the store.

A move is one write over the row of each team and the allotment of each slice
that it concerns, fenced by the rows of the slices and of the configuration.
What is given back is debited before the write; what is drawn is credited
once the write is known to have taken effect. Allotments have rows of their
own, so that a move never stands in the way of another write of the slice.
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

MOVE_GAP_S = 0.25
RETRY_S = 0.01
REVIEW_S = 3.0
HURRIED_REVIEW_S = 1.0
STABLE_S = 1.5
RESERVE_MARGIN_S = 2.0
SCARCE_DIVISOR = 8
BASE_DIVISOR = 2
NO_LIMIT = _config.Team(limit_slots=0)


@attrs.frozen(slots=True)
class MovePurpose:
    """Say that a write moves allotments."""

    config_version: int
    moves: tuple[_escrow.Move, ...]
    slots_by_team: dict[str, int]


@attrs.frozen(slots=True)
class PoolsPurpose:
    """Say that a read finds what is allotted to each team in all."""


def limit(state: _state.State, team: str) -> int:
    """Give the upper limit of a team, 0 for one that is not configured."""
    return state.config.teams.get(team, NO_LIMIT).limit_slots


def used_slots(slice_: _state.Slice, team: str) -> int:
    """Give the slots of a slice that a team uses, or may be using."""
    inherited = slice_.allotment.inherited_by_team.get(team, 0)
    return slice_.used_by_team.get(team, _size.ZERO).slots + inherited


def usable_slots(state: _state.State, slice_: _state.Slice, team: str) -> int:
    """Give the slots of a slice that a team may use.

    While more than a lowered limit is allotted, no task starts anywhere, but
    what ends is given back. During an outage nobody can give back, and each
    slice uses its part, rounded down so that the sum keeps to the limit.
    """
    own = slice_.allotment.slots_by_team.get(team, 0)
    most = limit(state, team)
    bound = state.escrow.pool(team).bound
    if bound is None:
        return 0
    if bound <= most:
        return own - slice_.allotment.owed_by_team.get(team, 0)
    if state.store.failing_since is None:
        return 0
    return own * most // bound


def request_slots(
    state: _state.State, slice_: _state.Slice, team: str, slots: int
) -> None:
    """Note that a team must have so many slots here, and better more."""
    own = slice_.allotment.slots_by_team.get(team, 0)
    need = slice_.allotment.need_by_team
    need[team] = max(slots - own, need.get(team, 0))
    _schedule(state, MOVE_GAP_S)


def restore(
    state: _state.State,
    slice_: _state.Slice,
    rows: dict[str, schema.Row],
    outbox: _state.Outbox,
) -> None:
    """Take over the allotment of a slice with the slice.

    All of it counts as used until the workers have said what they run: a
    request has no lease, and may run on for as long as its kind allows.
    """
    key = schema.allotment(state.options.data_centre, slice_.number)
    row = rows.get(key)
    allotment = slice_.allotment
    if row is not None:
        allotment.row_version = row.version
        allotment.slots_by_team = dict(row.value['slots_by_team'])
        allotment.inherited_by_team = dict(allotment.slots_by_team)
    _take_pools(state, rows)
    timeouts = [kind.timeout_s for kind in state.config.kinds.values()]
    wait_s = max(state.options.tasks_end_s, *timeouts, 0.0)
    timer = _timers.InheritedEnds(slice_.number, slice_.epoch)
    state.timers.set(timer, state.now + wait_s + RESERVE_MARGIN_S)
    state.timers.set_once(_timers.ReviewAllotments(), state.now)
    check_accounted(state, slice_)


def check_accounted(state: _state.State, slice_: _state.Slice) -> None:
    """Count only what was found once every worker has answered."""
    if slice_.phase is not _state.SlicePhase.READY:
        return
    workers = slice_.ledger.workers_by_name.values()
    if all(worker.answered for worker in workers):
        slice_.allotment.inherited_by_team.clear()


def inherited_ends(
    state: _state.State, timer: _timers.InheritedEnds, outbox: _state.Outbox
) -> None:
    """Count only what was found once all else has surely ended."""
    slice_ = state.slices_by_number.get(timer.slice)
    if slice_ is not None and slice_.epoch == timer.epoch:
        slice_.allotment.inherited_by_team.clear()
        state.slices_to_place[slice_.number] = None


def config_changed(
    state: _state.State, before: _config.Config, outbox: _state.Outbox
) -> None:
    """Expect as much to be allotted as the former limits allowed."""
    lowered = False
    for name, pool in state.escrow.pools_by_team.items():
        former = before.teams.get(name, NO_LIMIT).limit_slots
        if not before.version:
            pool.former_limit = None
        elif pool.former_limit is not None:
            pool.former_limit = max(pool.former_limit, former)
        lowered = lowered or limit(state, name) < former
    if lowered or not before.version:
        read_pools(state, outbox)


def review(state: _state.State, timer: object, outbox: _state.Outbox) -> None:
    """Note which allotments lie idle, and look at the pools."""
    if not state.slices_by_number:
        return
    excess = False
    for slice_ in state.slices_by_number.values():
        _note_idle(slice_)
        # What is needed still is noted again when the queue is served.
        slice_.allotment.need_by_team.clear()
        slice_.allotment.owed_by_team.clear()
        state.slices_to_place[slice_.number] = None
        excess = excess or any(
            _in_excess(state, team) for team in slice_.allotment.slots_by_team
        )
    hurried = excess or not _is_stable(state)
    wait_s = HURRIED_REVIEW_S if hurried else REVIEW_S
    wait_s *= 1 + state.rng.random() / SCARCE_DIVISOR
    state.timers.set(_timers.ReviewAllotments(), state.now + wait_s)
    read_pools(state, outbox)


def read_pools(state: _state.State, outbox: _state.Outbox) -> None:
    """Read what is allotted to each team in all."""
    prefixes = (schema.CONFIG_HEAD, schema.LIMITS)
    _store.read(state, outbox, PoolsPurpose(), prefixes=prefixes)


def pools_read(
    state: _state.State,
    purpose: PoolsPurpose,
    rows: dict[str, schema.Row] | None,
    outbox: _state.Outbox,
) -> None:
    """Take in the pools, and move what has to move."""
    if rows is not None:
        _take_pools(state, rows)
        _want_base(state)
        if _limit_claims.claim_slots(state, outbox):
            _review_soon(state)
        _schedule(state, MOVE_GAP_S)


def move(state: _state.State, timer: object, outbox: _state.Outbox) -> None:
    """Give back and draw, all in one write."""
    escrow = state.escrow
    if escrow.moving or not state.config_row_version:
        return
    plan = _Plan(state)
    for slice_ in state.slices_by_number.values():
        if not slice_.allotment.fenced:
            plan.add_given_back(slice_)
    for slice_ in state.slices_by_number.values():
        releasing = slice_.phase is _state.SlicePhase.RELEASING
        if not (slice_.allotment.fenced or releasing):
            plan.add_drawn(slice_)
            plan.add_base(slice_)
    if plan.moves:
        escrow.moving = True
        escrow.moved_at = state.now
        _write(state, plan, outbox)
    elif _needs(state):
        _review_soon(state)
    if any(
        slice_.allotment.owed_by_team
        for slice_ in state.slices_by_number.values()
    ):
        state.timers.set(_timers.MoveAllotments(), state.now + MOVE_GAP_S)


def moved(
    state: _state.State,
    purpose: MovePurpose,
    answer: _store.WriteResult,
    outbox: _state.Outbox,
) -> None:
    """Credit what was drawn, or what could not be given back."""
    state.escrow.moving = False
    for entry in purpose.moves:
        slice_ = _state.owned_slice(state, entry)
        if slice_ is None:
            continue
        if answer.ok:
            slice_.allotment.row_version = answer.version
            if entry.slots < 0:
                _settle_owed(slice_, entry)
            idle = slice_.allotment.idle_by_team
            need = slice_.allotment.need_by_team
            (need if entry.slots > 0 else idle).pop(entry.team, None)
        if answer.ok == (entry.slots > 0):
            slice_.allotment.change(entry.team, abs(entry.slots))
            state.slices_to_place[slice_.number] = None
    if answer.ok:
        state.escrow.conflicts = 0
        current = purpose.config_version >= state.config.version
        for team, slots in purpose.slots_by_team.items():
            _take_pool(state, team, answer.version, slots, current)
        if _needs(state):
            _schedule(state, MOVE_GAP_S)
    elif answer.reached:
        state.counters['allotments.conflicts'] += 1
        _learn_from_conflict(state, purpose, answer)
        _want_base(state)
        _retry(state)


def _settle_owed(slice_: _state.Slice, entry: _escrow.Move) -> None:
    owed = slice_.allotment.owed_by_team.pop(entry.team, 0) + entry.slots
    if owed > 0:
        slice_.allotment.owed_by_team[entry.team] = owed


class _Plan:
    """Collect the moves of one write."""

    def __init__(self, state: _state.State) -> None:
        self.state = state
        self.moves: list[_escrow.Move] = []
        self.slots_by_team: dict[str, int] = {}
        self.slices = _slices_of_fleet(state)

    def add_given_back(self, slice_: _state.Slice) -> None:
        """Debit what a slice does not use while others may."""
        for team in list(slice_.allotment.slots_by_team):
            slots = _to_give_back(self.state, slice_, team)
            if slots > 0 and self._left(team) is not None:
                slice_.allotment.change(team, -slots)
                self._add(slice_, team, -slots)

    def add_drawn(self, slice_: _state.Slice) -> None:
        """Draw what a slice needs, and a little ahead of it."""
        allotment = slice_.allotment
        capacity = sum(
            map(slice_.ledger.capacity_slots, slice_.ledger.upstreams)
        )
        for team, need in list(allotment.need_by_team.items()):
            left = self._left(team)
            if left is None or team in allotment.owed_by_team:
                continue
            own = allotment.slots_by_team.get(team, 0)
            room = max(0, capacity - own)
            slots = _escrow.draw(need, own, left, self.slices, room)
            if slots > 0:
                self._add(slice_, team, slots)
            elif not need:
                del allotment.need_by_team[team]

    def add_base(self, slice_: _state.Slice) -> None:
        """Draw what an outage is to find here, from a pool little used."""
        wanted, slice_.allotment.base_by_team = (
            slice_.allotment.base_by_team,
            {},
        )
        for team, slots in wanted.items():
            most = limit(self.state, team)
            after = self._slots(team) + slots
            if self._left(team) and BASE_DIVISOR * after <= most:
                self._add(slice_, team, slots)

    def _left(self, team: str) -> int | None:
        """Give what may be drawn for a team, or None when unknown."""
        if self.state.escrow.pool(team).former_limit is None:
            return None
        return limit(self.state, team) - self._slots(team)

    def _slots(self, team: str) -> int:
        pool = self.state.escrow.pool(team)
        return self.slots_by_team.get(team, pool.slots)

    def _add(self, slice_: _state.Slice, team: str, slots: int) -> None:
        self.slots_by_team[team] = self._slots(team) + slots
        entry = _escrow.Move(slice_.number, slice_.epoch, team, slots)
        self.moves.append(entry)


def _write(state: _state.State, plan: _Plan, outbox: _state.Outbox) -> None:
    data_centre = state.options.data_centre
    checks = {schema.CONFIG_HEAD: state.config_row_version}
    puts: dict[str, dict] = {}
    for team, slots in plan.slots_by_team.items():
        key = schema.limit(team)
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
        state.config.version, tuple(plan.moves), plan.slots_by_team
    )
    state.counters['allotments.moves'] += 1
    _store.write(state, outbox, purpose, checks, puts)


def _learn_from_conflict(
    state: _state.State, purpose: MovePurpose, answer: _store.WriteResult
) -> None:
    head_held = schema.CONFIG_HEAD not in answer.rows
    current = head_held and purpose.config_version >= state.config.version
    for team in purpose.slots_by_team:
        row = answer.rows.get(schema.limit(team))
        if row is not None:
            slots = row.value['slots']
            _take_pool(state, team, row.version, slots, current)
    if not head_held:
        state.timers.set(_timers.PollConfig(), state.now)
    data_centre = state.options.data_centre
    for entry in purpose.moves:
        slice_ = _state.owned_slice(state, entry)
        if slice_ is None:
            continue
        if schema.slice_(data_centre, slice_.number) in answer.rows:
            # Another node took the slice; the next renewal drops it here.
            slice_.allotment.fenced = True


def _take_pools(state: _state.State, rows: dict[str, schema.Row]) -> None:
    head = rows.get(schema.CONFIG_HEAD)
    version = head.value['version'] if head else 0
    current = version >= state.config.version
    for team in {*state.config.teams, *state.escrow.pools_by_team}:
        row = rows.get(schema.limit(team))
        if row is not None:
            slots = row.value['slots']
            _take_pool(state, team, row.version, slots, current)
        elif not state.escrow.pool(team).row_version and current:
            state.escrow.pool(team).former_limit = 0


def _take_pool(
    state: _state.State,
    team: str,
    row_version: int,
    slots: int,
    current: bool,
) -> None:
    """Take in the row of a team.

    Only a row read under the configuration in force is current: under an
    older one more may have been drawn since.
    """
    pool = state.escrow.pool(team)
    if row_version >= pool.row_version:
        pool.row_version = row_version
        pool.slots = slots
        if current:
            pool.former_limit = 0


def _to_give_back(state: _state.State, slice_: _state.Slice, team: str) -> int:
    if state.escrow.pool(team).former_limit != 0:
        return 0
    own = slice_.allotment.slots_by_team[team]
    free = own - used_slots(slice_, team)
    if _in_excess(state, team):
        return free
    owed = slice_.allotment.owed_by_team.get(team, 0)
    if owed:
        return min(free, owed)
    pool = state.escrow.pool(team)
    most = limit(state, team)
    if most - pool.slots < most // SCARCE_DIVISOR + 1:
        return min(free, slice_.allotment.idle_by_team.get(team, 0))
    return 0


def _in_excess(state: _state.State, team: str) -> bool:
    bound = state.escrow.pool(team).bound
    return bound is not None and bound > limit(state, team)


def _note_idle(slice_: _state.Slice) -> None:
    """Note what was free at this review and at the last one."""
    allotment = slice_.allotment
    free_by_team = {
        team: max(0, own - used_slots(slice_, team))
        for team, own in allotment.slots_by_team.items()
    }
    allotment.idle_by_team = {
        team: min(free, allotment.free_by_team.get(team, 0))
        for team, free in free_by_team.items()
    }
    allotment.free_by_team = free_by_team


def _want_base(state: _state.State) -> None:
    """Want a few slots for every team, so that an outage finds some here."""
    if not _is_stable(state):
        # The number of data centres is not known yet.
        return
    slices = _slices_of_fleet(state)
    for name, team in state.config.teams.items():
        base = max(1, team.limit_slots // (BASE_DIVISOR * slices))
        for slice_ in state.slices_by_number.values():
            own = slice_.allotment.slots_by_team.get(name, 0)
            if own < base and slice_.ledger.upstreams:
                slice_.allotment.base_by_team[name] = base - own


def _is_stable(state: _state.State) -> bool:
    return state.now - state.membership.stable_since > STABLE_S


def _slices_of_fleet(state: _state.State) -> int:
    centres = {
        peer.data_centre for peer in state.membership.peers_by_id.values()
    }
    centres.add(state.options.data_centre)
    return state.options.slices * len(centres)


def _needs(state: _state.State) -> bool:
    return any(
        slice_.allotment.need_by_team
        for slice_ in state.slices_by_number.values()
    )


def _retry(state: _state.State) -> None:
    """Move again while the rows found are fresh, later at each conflict.

    Source: Metcalfe and Boggs, Ethernet, 1976 (binary exponential backoff).
    """
    escrow = state.escrow
    wait_s = min(RETRY_S * 2**escrow.conflicts, MOVE_GAP_S)
    escrow.conflicts += 1
    at = state.now + wait_s * state.rng.random()
    state.timers.set(_timers.MoveAllotments(), at)


def _review_soon(state: _state.State) -> None:
    timer = _timers.ReviewAllotments()
    at = state.now + HURRIED_REVIEW_S
    if (state.timers.at(timer) or at) >= at:
        state.timers.set(timer, at)


def _schedule(state: _state.State, gap_s: float) -> None:
    at = max(state.now, state.escrow.moved_at + gap_s)
    state.timers.set_once(_timers.MoveAllotments(), at)
