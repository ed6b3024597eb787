"""Leases of workers, measured on the workers' own clocks."""

from celeryshift_cell import _state

# Margin for the rounding of clocks to whole milliseconds.
ROUNDING_S = 0.05


def extend(cell: _state.Cell, worker: _state.Worker) -> int:
    """Extend the lease of a worker and return its end on the worker's clock.

    The worker's clock may run slow by ``clock_drift``, so locally the lease
    counts as expired only after the correspondingly longer time.
    """
    lease_s = cell.options.lease_s
    max_local_s = lease_s / (1 - cell.options.clock_drift) + ROUNDING_S
    worker.lease_until = max(worker.lease_until, cell.now + max_local_s)
    worker.lease_clock_age_s = cell.now - worker.clock_read_at
    return int((cell.now + lease_s) * 1000 + worker.clock_offset_ms)


def update_clock_offset(
    cell: _state.Cell, worker: _state.Worker, clock_ms: int
) -> None:
    """Update the clock offset of a worker from a response just received."""
    worker.clock_offset_ms = clock_ms - cell.now * 1000
    worker.clock_read_at = cell.now
