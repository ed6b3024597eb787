"""Division of the slot limits of teams into allotments of slices.

The limit of a team is divided into allotments, one for each slice. A row per
team counts the slots that are allotted in total and never exceeds the limit,
so that each slice can count locally and the limit still holds.

Source: O'Neil, The escrow transactional method, 1986.
"""

import attrs

POOL_DIVISOR = 2


@attrs.define(eq=False)
class Pool:
    """Last known row that counts the allotted slots of a team.

    If it was read under an older configuration than the one in force, the
    count may have grown since, up to the former limit. `former_limit` is None
    if that is unknown and 0 if the row is current.
    """

    row_version: int = 0
    allotted_slots: int = 0
    former_limit: int | None = None

    @property
    def bound(self) -> int | None:
        """Return the most slots that may be allotted, None if unknown."""
        if self.former_limit is None:
            return None
        return max(self.allotted_slots, self.former_limit)


@attrs.define(eq=False)
class Allotment:
    """Slots that a slice may use for each team.

    Inherited slots cover tasks of a former owner that may still run on
    workers which have not reported yet. Needed slots are drawn with the next
    move, owed slots are returned because other slices have claimed them, and
    base slots are a reserve for outages of the store. Free slots were not used
    at the last review, and idle slots at the last two. `fenced` is set if
    another node owns the slice, so that this node moves no slots.
    """

    row_version: int = 0
    slots_by_team: dict[str, int] = attrs.field(factory=dict)
    inherited_by_team: dict[str, int] = attrs.field(factory=dict)
    need_by_team: dict[str, int] = attrs.field(factory=dict)
    owed_by_team: dict[str, int] = attrs.field(factory=dict)
    base_by_team: dict[str, int] = attrs.field(factory=dict)
    free_by_team: dict[str, int] = attrs.field(factory=dict)
    idle_by_team: dict[str, int] = attrs.field(factory=dict)
    fenced: bool = False

    def change(self, team: str, slots: int) -> None:
        """Add slots for a team, or subtract them if negative."""
        total = self.slots_by_team.get(team, 0) + slots
        if total:
            self.slots_by_team[team] = total
        else:
            self.slots_by_team.pop(team, None)

    def settle_inherited(self, team: str, slots: int) -> None:
        """Reduce the inherited slots by those of a task that was found."""
        remaining = self.inherited_by_team.pop(team, 0) - slots
        if remaining > 0:
            self.inherited_by_team[team] = remaining


@attrs.frozen(slots=True)
class Move:
    """Slots of a team that a slice draws, or returns if negative."""

    slice: int
    epoch: int
    team: str
    slots: int


@attrs.define(eq=False)
class Escrow:
    """Pools of the teams, and the state of the current move."""

    pools_by_team: dict[str, Pool] = attrs.field(factory=dict)
    moving: bool = False
    conflicts: int = 0
    moved_at: float = float('-inf')

    def pool(self, team: str) -> Pool:
        """Return the pool of a team."""
        return self.pools_by_team.setdefault(team, Pool())


def slots_to_draw(
    need: int, allotted: int, available: int, slices: int, capacity_left: int
) -> int:
    """Return how many of the available slots of a pool to draw.

    Nothing is drawn if fewer slots are available than needed.

    Chunks shrink with the pool and grow with the allotment of the slice, so
    that few moves serve a rising demand and the last slots stay divisible.

    Source: Polychronopoulos and Kuck, Guided self-scheduling, 1987.
    """
    if need > available:
        return 0
    ahead = max(allotted, available // (POOL_DIVISOR * slices))
    return max(need, min(ahead, available // POOL_DIVISOR, capacity_left))
