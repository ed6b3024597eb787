"""Placement strategies: choice of workers for the tasks of each policy."""

from typing import Protocol

from celeryshift_core import _config
from celeryshift_core import _ledger
from celeryshift_core import _size
from celeryshift_core import _state
from celeryshift_core import _tasks

BEST_FIT_CANDIDATES = 4
WORST_FIT_CANDIDATES = 4
MAX_RACKS = 8


class PlacementStrategy(Protocol):
    """Finds workers with free capacity for a task and ranks them."""

    def find(
        self, slice_: _state.Slice, task: _tasks.Task, size: _size.Size
    ) -> list[_ledger.Worker]:
        """Return a bounded number of workers with free capacity."""

    def rank(
        self, slice_: _state.Slice, task: _tasks.Task, worker: _ledger.Worker
    ) -> tuple[int, int]:
        """Return the sort key of a worker; the lowest is chosen."""


class BestFit:
    """Fills workers one after another, to keep others free for large tasks.

    Source: Johnson, Near-optimal bin packing algorithms, 1973 (first fit);
    the tightest of the first workers that fit is chosen.
    """

    def find(
        self, slice_: _state.Slice, task: _tasks.Task, size: _size.Size
    ) -> list[_ledger.Worker]:
        """Return the first workers that fit."""
        return slice_.ledger.first_fit(
            task.upstream, size, BEST_FIT_CANDIDATES
        )

    def rank(
        self, slice_: _state.Slice, task: _tasks.Task, worker: _ledger.Worker
    ) -> tuple[int, int]:
        """Rank by free capacity, accelerators before slots, least first."""
        capacity, used = worker.capacity, worker.used
        return (
            capacity.accelerators - used.accelerators,
            capacity.slots - used.slots,
        )


class WorstFit:
    """Uses the emptiest worker, to keep latency low."""

    def find(
        self, slice_: _state.Slice, task: _tasks.Task, size: _size.Size
    ) -> list[_ledger.Worker]:
        """Return the workers with the most free slots."""
        return slice_.ledger.worst_fit(
            task.upstream, size, WORST_FIT_CANDIDATES
        )

    def rank(
        self, slice_: _state.Slice, task: _tasks.Task, worker: _ledger.Worker
    ) -> tuple[int, int]:
        """Rank by free slots, the most first."""
        return worker.used.slots - worker.capacity.slots, 0


class RackSpread:
    """Spreads the tasks of a job over racks, to survive a rack failure."""

    def find(
        self, slice_: _state.Slice, task: _tasks.Task, size: _size.Size
    ) -> list[_ledger.Worker]:
        """Return workers of several racks, chosen by the task's index.

        Returns the emptiest workers of any rack if none of these fits.
        """
        ledger = slice_.ledger
        candidates = ledger.by_rack(task.upstream, size, task.index, MAX_RACKS)
        return candidates or ledger.worst_fit(
            task.upstream, size, WORST_FIT_CANDIDATES
        )

    def rank(
        self, slice_: _state.Slice, task: _tasks.Task, worker: _ledger.Worker
    ) -> tuple[int, int]:
        """Rank by the job's tasks in the rack, then by free slots."""
        racks = slice_.ledger.tasks_by_rack(task.job)
        return racks[worker.rack], worker.used.slots - worker.capacity.slots


BY_POLICY: dict[_config.Policy, PlacementStrategy] = {
    _config.Policy.REQUEST: WorstFit(),
    _config.Policy.BATCH: BestFit(),
    _config.Policy.GANG: BestFit(),
    _config.Policy.SERVICE: RackSpread(),
}
