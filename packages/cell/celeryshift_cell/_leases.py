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
    max_local_s = lease_s / (1 - cell.options.clock_drift) + ROUNDING_S
    worker.lease_until = max(worker.lease_until, cell.now + max_local_s)
    worker.lease_clock_age_s = cell.now - worker.clock_read_at
    return int(_min_clock_ms(cell, worker) + lease_s * 1000)


def record_clock(
    cell: _state.Cell, worker: _state.Worker, clock_ms: int
) -> None:
    """Record the clock of a worker from a response just received.

    Responses may be delayed, so that an earlier one may tell more.
    """
    worker.min_clock_ms = max(clock_ms, _min_clock_ms(cell, worker))
    worker.clock_read_at = cell.now


def _min_clock_ms(cell: _state.Cell, worker: _state.Worker) -> float:
    """Return the earliest time that a worker's clock may show now."""
    elapsed_ms = (cell.now - worker.clock_read_at) * 1000
    return worker.min_clock_ms + elapsed_ms * (1 - cell.options.clock_drift)


def needs_reading(cell: _state.Cell, worker: _state.Worker) -> bool:
    """Return whether the last reading of a worker's clock is too old.

    The leases of a worker whose clock is not slow get shorter as it ages.
    """
    return cell.now - worker.clock_read_at > cell.options.clock_refresh_s
