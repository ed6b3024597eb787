"""Index of the workers of each upstream by free processor cores.

Queries to the policy service and reservations need the workers with the most
free capacity. A sorted list finds them without a scan of the fleet; an update
costs two binary searches.
"""

import bisect
from collections.abc import Iterator
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from celeryshift_cell import _worker_state

# Free millicores, negated, and the number of the worker, which is unique.
Entry = tuple[int, int, '_worker_state.Worker']


@attrs.define(slots=True, eq=False)
class FreeCapacity:
    """Workers of one upstream, the one with the most free cores first.

    Workers with equally many are in the order in which they were added.
    """

    entries: list[Entry] = attrs.field(factory=list)

    def add(self, worker: '_worker_state.Worker') -> None:
        """Add a worker, with the free cores that it has now."""
        worker.index = self
        worker.indexed_cpu = worker.free_cpu
        bisect.insort(self.entries, _entry(worker))

    def remove(self, worker: '_worker_state.Worker') -> None:
        """Remove a worker."""
        del self.entries[bisect.bisect_left(self.entries, _entry(worker))]
        worker.index = None

    def update(self, worker: '_worker_state.Worker') -> None:
        """Move a worker whose free cores may have changed."""
        if worker.free_cpu != worker.indexed_cpu:
            self.remove(worker)
            self.add(worker)

    def workers(
        self, cpu_milli: int | None = None
    ) -> Iterator['_worker_state.Worker']:
        """Yield the workers with at least so many free millicores, or all.

        The index must not change meanwhile.
        """
        for negated_cpu, _, worker in self.entries:
            if cpu_milli is not None and -negated_cpu < cpu_milli:
                return
            yield worker

    def workers_from(self, cpu_milli: int) -> Iterator['_worker_state.Worker']:
        """Yield the workers with at least so many, the fullest first."""
        for number in range(self.count(cpu_milli) - 1, -1, -1):
            yield self.entries[number][2]

    def count(self, cpu_milli: int) -> int:
        """Return how many workers have at least so many free millicores."""
        return bisect.bisect_right(
            self.entries, -cpu_milli, key=lambda entry: entry[0]
        )

    def workers_below(
        self, cpu_milli: int
    ) -> Iterator['_worker_state.Worker']:
        """Yield the workers with fewer free millicores."""
        for number in range(self.count(cpu_milli), len(self.entries)):
            yield self.entries[number][2]


def _entry(worker: '_worker_state.Worker') -> Entry:
    return -worker.indexed_cpu, worker.number, worker
