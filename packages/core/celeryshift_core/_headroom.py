"""Headroom: slots reserved for urgent work.

Work that cannot be preempted would otherwise fill every slot for as long as
it runs. A slice keeps free the slots that urgent work would need to reach its
recent peak again, and at least one if the upstream has an urgent kind, but at
most a quarter of its capacity.
"""

from celeryshift_core import _peaks
from celeryshift_core import _state

MAX_HEADROOM_DIVISOR = 4


def record_change(
    state: _state.State, slice_: _state.Slice, upstream: str, slots: int
) -> None:
    """Record a change of the slots held by urgent work."""
    peak = slice_.urgent_by_upstream.get(upstream)
    if peak is None:
        peak = slice_.urgent_by_upstream[upstream] = _peaks.Peak()
    peak.add(slots, state.now)


def allows(
    state: _state.State, slice_: _state.Slice, upstream: str, slots: int
) -> bool:
    """Return whether work that is not urgent leaves the headroom free."""
    free = slice_.ledger.free_slots(upstream)
    return free - slots >= headroom_slots(state, slice_, upstream)


def headroom_slots(
    state: _state.State, slice_: _state.Slice, upstream: str
) -> int:
    """Return the free slots of a slice reserved for urgent work."""
    if upstream not in state.config.urgent_upstreams:
        return 0
    capacity = slice_.ledger.capacity_slots(upstream)
    peak = slice_.urgent_by_upstream.get(upstream)
    wanted = 1
    if peak is not None:
        wanted = max(wanted, peak.recent_peak(state.now) - peak.slots)
    return min(wanted, capacity // MAX_HEADROOM_DIVISOR)
