"""Validity of this node's lease on its slices."""

from celeryshift_core import _state

SEND_ALLOWANCE_S = 0.05


def valid_until(state: _state.State) -> float:
    """Return the time until which this node may act on its slices."""
    return state.membership.lease_until


def is_valid(state: _state.State) -> bool:
    """Return whether an operation started now is sent within the lease."""
    return state.now + SEND_ALLOWANCE_S < valid_until(state)
