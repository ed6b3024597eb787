"""Shares of the teams: order of service when capacity is scarce.

Each slice serves the waiting team with the smallest dominant share relative to
its weight, which is the `share` of its configuration. Only running work
counts, so an idle team accumulates no credit and a busy one no debt.

Source: Ghodsi et al., Dominant resource fairness, 2011.
"""

from celeryshift_core import _config
from celeryshift_core import _size
from celeryshift_core import _state

DEFAULT_TEAM = _config.Team()


def weighted_share(
    state: _state.State, slice_: _state.Slice, team: str
) -> float:
    """Return the dominant share of a team divided by its weight."""
    weight = state.config.teams.get(team, DEFAULT_TEAM).share
    return dominant_share(slice_, team) / weight


def charge(
    state: _state.State, slice_: _state.Slice, team: str, size: _size.Size
) -> None:
    """Add an amount to the use of a team."""
    before = slice_.used_by_team.get(team, _size.ZERO)
    slice_.used_by_team[team] = before + size
    slice_.queue.update_load(team)


def refund(
    state: _state.State, slice_: _state.Slice, team: str, size: _size.Size
) -> None:
    """Subtract an amount from the use of a team."""
    remaining = slice_.used_by_team.get(team, _size.ZERO) - size
    if remaining == _size.ZERO:
        slice_.used_by_team.pop(team, None)
    else:
        slice_.used_by_team[team] = remaining
    slice_.queue.update_load(team)


def handle_config_changed(state: _state.State, before: _config.Config) -> None:
    """Reorder the teams whose weight has changed."""
    for name, team in state.config.teams.items():
        if before.teams.get(name, DEFAULT_TEAM).share != team.share:
            for slice_ in state.slices_by_number.values():
                slice_.queue.update_load(name)


def dominant_share(slice_: _state.Slice, team: str) -> float:
    """Return the largest fraction of any resource that a team uses."""
    used = slice_.used_by_team.get(team)
    if used is None:
        return 0.0
    capacity = slice_.ledger.capacity
    return max(
        _fraction(used.slots, capacity.slots),
        _fraction(used.cpu_milli, capacity.cpu_milli),
        _fraction(used.memory_mb, capacity.memory_mb),
        _fraction(used.accelerators, capacity.accelerators),
    )


def _fraction(used: int, capacity: int) -> float:
    return used / capacity if capacity else 0.0
