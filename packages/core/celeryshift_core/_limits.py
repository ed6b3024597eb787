"""Upper limits of the teams over the whole fleet."""

from celeryshift_core import _state
from celeryshift_core import _tasks


def may_start(
    state: _state.State, held: _state.Slice, task: _tasks.Task
) -> bool:
    """Tell whether a task keeps its team within its upper limit."""
    team = state.config.teams.get(task.team)
    if team is None:
        return False
    running = held.slots_by_team.get(task.team, 0)
    return running + task.size.slots <= team.limit_slots
