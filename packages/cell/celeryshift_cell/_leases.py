"""Leases of workers, measured on the workers' own clocks."""

from celeryshift_cell import _state

# Margin for the rounding of clocks to whole milliseconds.
ROUNDING_S = 0.05


def extend(cell: _state.Cell, worker: _state.Worker) -> int:
    """Extend the lease of a worker and return its end on the worker's clock.

    The lease is counted from the earliest time that the worker's clock may
    show now. That clock may run slow by ``clock_drift``, so locally the lease
    counts as expired only after the correspondingly longer time.
    """
    lease_s = cell.options.lease_s
    _count_lease(cell, worker, lease_s)
    worker.lease_clock_age_s = cell.now - worker.clock_read_at
    return int(_min_clock_ms(cell, worker, cell.now) + lease_s * 1000)


def extend_to_maximum(cell: _state.Cell, worker: _state.Worker) -> None:
    """Count the longest lease that a worker may have granted until now.

    A later incarnation may have carried out an order whose deadline is a time
    on the clock of a former one.
    """
    _count_lease(cell, worker, cell.options.max_lease_s)


def _count_lease(
    cell: _state.Cell, worker: _state.Worker, lease_s: float
) -> None:
    max_local_s = lease_s / (1 - cell.options.clock_drift) + ROUNDING_S
    worker.lease_until = max(worker.lease_until, cell.now + max_local_s)


def record_clock(
    cell: _state.Cell, worker: _state.Worker, clock_ms: int
) -> None:
    """Record the clock of a worker from a response just received.

    Responses may be delayed, so that an earlier one may tell more.
    """
    worker.min_clock_ms = max(clock_ms, _min_clock_ms(cell, worker, cell.now))
    worker.clock_read_at = cell.now


def is_other_clock(
    cell: _state.Cell, worker: _state.Worker, sent_at: float, clock_ms: int
) -> bool:
    """Return whether another incarnation answered an order.

    Clocks start anew in each incarnation, so a clock that shows less than this
    one did when the order was sent is that of a later incarnation.
    """
    least_ms = _min_clock_ms(cell, worker, sent_at) - ROUNDING_S * 1000
    return clock_ms < least_ms


def _min_clock_ms(
    cell: _state.Cell, worker: _state.Worker, at: float
) -> float:
    """Return the earliest time that a worker's clock may show at a time."""
    elapsed_ms = (at - worker.clock_read_at) * 1000
    return worker.min_clock_ms + elapsed_ms * (1 - cell.options.clock_drift)


def needs_reading(cell: _state.Cell, worker: _state.Worker) -> bool:
    """Return whether the last reading of a worker's clock is too old.

    The leases of a worker whose clock is not slow get shorter as it ages.
    """
    return cell.now - worker.clock_read_at > cell.options.clock_refresh_s
