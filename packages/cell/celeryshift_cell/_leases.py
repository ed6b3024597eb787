"""Leases of workers, counted on their own clocks."""

from celeryshift_cell import _state

# Room for the rounding of clocks to whole milliseconds.
ROUNDING_S = 0.05


def extend(cell: _state.Cell, worker: _state.Worker) -> int:
    """Extend the lease of a worker; give its end on the worker's clock."""
    lease_s = cell.options.lease_s
    longest_s = lease_s / (1 - cell.options.clock_drift) + ROUNDING_S
    worker.lease_until = max(worker.lease_until, cell.now + longest_s)
    return int((cell.now + lease_s) * 1000 + worker.clock_offset_ms)


def note_clock(
    cell: _state.Cell, worker: _state.Worker, clock_ms: int
) -> None:
    """Learn a worker's clock from an answer that has just arrived."""
    worker.clock_offset_ms = clock_ms - cell.now * 1000
