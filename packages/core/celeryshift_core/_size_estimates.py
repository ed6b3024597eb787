"""Estimates of the actual resource use of tasks, from worker reports.

Declared sizes are inaccurate. For each kind and declared size, a high
quantile of the processor time and memory used by ended tasks is tracked;
where it is above the declared size, it is booked instead. A size is never
corrected below the declared one, since a task may still use that.
"""

import attrs

from celeryshift_core import _size
from celeryshift_core import _state
from celeryshift_core import _tasks

QUANTILE = 0.95
STEP_FRACTION = 0.02
MIN_SAMPLES = 20
MAX_FACTOR = 4
MAX_ESTIMATES = 1000


def observe(state: _state.State, task: _tasks.Task, used: _size.Size) -> None:
    """Update the estimate for a kind and size after a task has ended."""
    key = (task.kind, task.size)
    estimate = state.estimates.pop(key, None)
    if estimate is None:
        estimate = _state.Estimate(task.size)
    # Reinserted at the end, so that the least recently used is evicted.
    state.estimates[key] = estimate
    if len(state.estimates) > MAX_ESTIMATES:
        del state.estimates[next(iter(state.estimates))]
    estimate.samples += 1
    is_warmup = estimate.samples <= MIN_SAMPLES
    estimate.cpu_milli = _update_quantile(
        estimate.cpu_milli, used.cpu_milli, is_warmup
    )
    estimate.memory_mb = _update_quantile(
        estimate.memory_mb, used.memory_mb, is_warmup
    )
    if estimate.samples >= MIN_SAMPLES:
        estimate.size = _corrected_size(state, task, estimate)


def booked_size(state: _state.State, task: _tasks.Task) -> _size.Size:
    """Return the size to book for a task."""
    if not state.estimates:
        return task.size
    estimate = state.estimates.get((task.kind, task.size))
    return task.size if estimate is None else estimate.size


def _update_quantile(quantile: float, used: int, is_warmup: bool) -> float:
    """Return the estimate of a quantile after one more sample.

    Source: Robbins and Monro, A stochastic approximation method, 1951.
    """
    if is_warmup:
        return max(quantile, float(used))
    step = STEP_FRACTION * max(quantile, 1.0)
    if used > quantile:
        return quantile + step * QUANTILE
    return quantile - step * (1 - QUANTILE)


def _corrected_size(
    state: _state.State, task: _tasks.Task, estimate: _state.Estimate
) -> _size.Size:
    capacities = state.fleet.capacities(task.upstream)
    declared = task.size
    max_cpu = max((total.cpu_milli for total in capacities), default=0)
    max_memory = max((total.memory_mb for total in capacities), default=0)
    return attrs.evolve(
        declared,
        cpu_milli=_bound(declared.cpu_milli, estimate.cpu_milli, max_cpu),
        memory_mb=_bound(declared.memory_mb, estimate.memory_mb, max_memory),
    )


def _bound(declared: int, estimated: float, capacity: int) -> int:
    """Return an estimate bounded by the declared size and an upper bound.

    The upper bound is the given capacity or, if that is lower and not 0,
    MAX_FACTOR times the declared size.
    """
    upper = min(declared * MAX_FACTOR or capacity, capacity)
    return max(declared, min(int(estimated), upper))
