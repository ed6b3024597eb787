"""Until when a node may act as the owner of its slices."""

from celeryshift_core import _state

SEND_ALLOWANCE_S = 0.05


def valid_until(state: _state.State) -> float:
    """Give the time until which this node may act on its slices."""
    return state.membership.lease_until


def is_valid(state: _state.State) -> bool:
    """Tell whether an act begun now would still be sent in time."""
    return state.now + SEND_ALLOWANCE_S < valid_until(state)
