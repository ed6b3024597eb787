"""Parts of the upper limits of the teams, as one node knows them.

The limit of a team is divided into allotments that slices hold. A row for
each team says how many slots are allotted in all, and never more than the
limit, so that slices can count for themselves and still keep to it.

Source: O'Neil, The escrow transactional method, 1986.
"""

import attrs

POOL_DIVISOR = 2


@attrs.define(eq=False)
class Pool:
    """Hold what the row of a team said last.

    What was read under an older configuration than the one in force may
    have grown since, up to the former limit. That is None when unknown, and
    0 when the row is current.
    """

    row_version: int = 0
    slots: int = 0
    former_limit: int | None = None

    @property
    def bound(self) -> int | None:
        """Give what is allotted at most, or None when unknown."""
        if self.former_limit is None:
            return None
        return max(self.slots, self.former_limit)


@attrs.define(eq=False)
class Allotment:
    """Hold the slots that a slice may use for each team.

    What was inherited stands for tasks of an earlier owner that may run on
    workers which have not answered yet.
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
        """Add slots for a team, or take them off if negative."""
        left = self.slots_by_team.get(team, 0) + slots
        if left:
            self.slots_by_team[team] = left
        else:
            self.slots_by_team.pop(team, None)

    def settle_inherited(self, team: str, slots: int) -> None:
        """Note that slots that were inherited are accounted for."""
        left = self.inherited_by_team.pop(team, 0) - slots
        if left > 0:
            self.inherited_by_team[team] = left


@attrs.frozen(slots=True)
class Move:
    """Say how many slots of a team a slice draws, or gives back."""

    slice: int
    epoch: int
    team: str
    slots: int


@attrs.define(eq=False)
class Escrow:
    """Hold the pools of the teams, and the move that is outstanding."""

    pools_by_team: dict[str, Pool] = attrs.field(factory=dict)
    moving: bool = False
    conflicts: int = 0
    moved_at: float = float('-inf')

    def pool(self, team: str) -> Pool:
        """Give the pool of a team."""
        return self.pools_by_team.setdefault(team, Pool())


def draw(need: int, own: int, left: int, slices: int, room: int) -> int:
    """Choose how many of the slots left in a pool to draw.

    Chunks shrink with the pool and grow with what the slice holds, so that
    few moves serve a rising demand and the last slots stay divisible.

    Source: Polychronopoulos and Kuck, Guided self-scheduling, 1987.
    """
    if need > left:
        return 0
    ahead = max(own, left // (POOL_DIVISOR * slices))
    return max(need, min(ahead, left // POOL_DIVISOR, room))
