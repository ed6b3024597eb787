"""Placers: where the tasks of each policy find room."""

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
    """Look for workers with room for a task of one policy, and rank them."""

    def find(
        self, slice_: _state.Slice, task: _tasks.Task, size: _size.Size
    ) -> list[_ledger.Worker]:
        """List a bounded number of workers that have room."""

    def rank(
        self, slice_: _state.Slice, task: _tasks.Task, worker: _ledger.Worker
    ) -> tuple[int, int]:
        """Rank a worker with room; the lowest is taken."""


class BestFit:
    """Fill workers one after another, so that large tasks find room.

    Source: Johnson, Near-optimal bin packing algorithms, 1973 (first fit);
    the tightest is taken among the workers that come first.
    """

    def find(
        self, slice_: _state.Slice, task: _tasks.Task, size: _size.Size
    ) -> list[_ledger.Worker]:
        """List the workers that are filled first."""
        return slice_.ledger.first_fit(
            task.upstream, size, BEST_FIT_CANDIDATES
        )

    def rank(
        self, slice_: _state.Slice, task: _tasks.Task, worker: _ledger.Worker
    ) -> tuple[int, int]:
        """Rank by the room that is left, accelerators first."""
        capacity, used = worker.capacity, worker.used
        return (
            capacity.accelerators - used.accelerators,
            capacity.slots - used.slots,
        )


class WorstFit:
    """Use the emptiest worker, so that waiting stays short."""

    def find(
        self, slice_: _state.Slice, task: _tasks.Task, size: _size.Size
    ) -> list[_ledger.Worker]:
        """List the workers with the most free slots."""
        return slice_.ledger.worst_fit(
            task.upstream, size, WORST_FIT_CANDIDATES
        )

    def rank(
        self, slice_: _state.Slice, task: _tasks.Task, worker: _ledger.Worker
    ) -> tuple[int, int]:
        """Rank by free slots, the most first."""
        return worker.used.slots - worker.capacity.slots, 0


class RackSpread:
    """Spread the tasks of a job over racks, so that a rack may fail."""

    def find(
        self, slice_: _state.Slice, task: _tasks.Task, size: _size.Size
    ) -> list[_ledger.Worker]:
        """List workers from a number of racks, other ones for each task."""
        ledger = slice_.ledger
        candidates = ledger.by_rack(task.upstream, size, task.index, MAX_RACKS)
        return candidates or ledger.worst_fit(
            task.upstream, size, WORST_FIT_CANDIDATES
        )

    def rank(
        self, slice_: _state.Slice, task: _tasks.Task, worker: _ledger.Worker
    ) -> tuple[int, int]:
        """Rank by the tasks of the job in the rack, then by free slots."""
        racks = slice_.ledger.tasks_by_rack(task.job)
        return racks[worker.rack], worker.used.slots - worker.capacity.slots


BY_POLICY: dict[_config.Policy, PlacementStrategy] = {
    _config.Policy.REQUEST: WorstFit(),
    _config.Policy.BATCH: BestFit(),
    _config.Policy.GANG: BestFit(),
    _config.Policy.SERVICE: RackSpread(),
}
