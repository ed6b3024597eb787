"""Shares of the teams: who is served next when room is short."""

from celeryshift_core import _config
from celeryshift_core import _state

DEFAULT_TEAM = _config.Team()


def load(state: _state.State, held: _state.Slice, team: str) -> float:
    """Give what a team has running for each unit of its share.

    Source: Demers, Keshav and Shenker, fair queueing, 1989.
    """
    share = state.config.teams.get(team, DEFAULT_TEAM).share
    return held.slots_by_team.get(team, 0) / share


def charge(
    state: _state.State, held: _state.Slice, team: str, slots: int
) -> None:
    """Count slots as taken by a team, or as free again if negative."""
    left = held.slots_by_team.get(team, 0) + slots
    if left:
        held.slots_by_team[team] = left
    else:
        held.slots_by_team.pop(team, None)
    held.queue.rank(team)
