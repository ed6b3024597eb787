"""Upper limits of the teams over the whole fleet."""

from celeryshift_core import _allotments
from celeryshift_core import _state
from celeryshift_core import _tasks

REQUEST_AHEAD_DIVISOR = 4


def may_start(
    state: _state.State, slice_: _state.Slice, task: _tasks.Task
) -> bool:
    """Return whether a task keeps its team within its upper limit.

    Requests more slots for the slice once less than a quarter of those that
    it may use would remain.
    """
    usable = _allotments.usable_slots(state, slice_, task.team)
    needed = _allotments.used_slots(slice_, task.team) + task.size.slots
    if usable - needed < usable // REQUEST_AHEAD_DIVISOR or needed > usable:
        _allotments.request_slots(state, slice_, task.team, needed)
    return needed <= usable


def remaining_slots(
    state: _state.State, slice_: _state.Slice, team: str
) -> int:
    """Return the slots of a slice that a team may still use."""
    usable = _allotments.usable_slots(state, slice_, team)
    return usable - _allotments.used_slots(slice_, team)
