"""Histogram of the time that work waited before it was placed."""

import bisect

from celeryshift_core import _state
from celeryshift_core import _tasks

BOUNDS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10_000)


def record_wait(state: _state.State, task: _tasks.Task) -> None:
    """Count the wait of a task that is placed for the first time."""
    if task.attempt > 1:
        return
    key = (task.kind, task.urgent)
    counts = state.waits_by_kind.get(key)
    if counts is None:
        counts = state.waits_by_kind[key] = [0] * (len(BOUNDS_MS) + 1)
    waited_ms = (state.now - task.arrived) * 1000
    counts[bisect.bisect_left(BOUNDS_MS, waited_ms)] += 1


def percentile(counts: list[int], fraction: float) -> int | None:
    """Return the bound in ms that a fraction of the waits does not exceed.

    Returns None if there are no waits, and the last bound for longer ones.
    """
    total = sum(counts)
    if not total:
        return None
    reached = 0
    for bound_ms, count in zip(BOUNDS_MS, counts, strict=False):
        reached += count
        if reached >= fraction * total:
            return bound_ms
    return BOUNDS_MS[-1]
