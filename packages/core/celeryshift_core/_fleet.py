"""Capacities of the workers in the VM list, by upstream and slice."""

import collections

import attrs

from celeryshift_core import _ids
from celeryshift_core import _size
from celeryshift_core import events


@attrs.frozen(slots=True)
class SliceName:
    """Identifier of a slice in any data centre."""

    data_centre: str
    number: int


class Fleet:
    """Counts of the workers of each capacity, by upstream and slice.

    Workers of equal capacity are counted together, so that the cost of a
    query depends on the number of slices and distinct capacities only.
    """

    def __init__(self) -> None:
        self._sizes_by_upstream: dict[
            str, dict[SliceName, collections.Counter[_size.Size]]
        ] = {}

    def add(self, vm: events.Vm, slices: int) -> None:
        """Add a worker to the counts."""
        self._count(vm, slices, 1)

    def remove(self, vm: events.Vm, slices: int) -> None:
        """Remove a worker from the counts."""
        self._count(vm, slices, -1)

    def capacities(self, upstream: str) -> set[_size.Size]:
        """Return the distinct capacities of the workers of an upstream."""
        by_slice = self._sizes_by_upstream.get(upstream, {})
        return {size for sizes in by_slice.values() for size in sizes}

    def slices_fitting(
        self, upstream: str, size: _size.Size, tasks: int
    ) -> list[SliceName]:
        """Return the slices that could run a number of tasks at once."""
        by_slice = self._sizes_by_upstream.get(upstream, {})
        return [
            name
            for name, sizes in by_slice.items()
            if _max_tasks(sizes, size) >= tasks
        ]

    def max_tasks(self, upstream: str, size: _size.Size) -> int:
        """Return how many tasks of a size the largest slice could run."""
        by_slice = self._sizes_by_upstream.get(upstream, {})
        return max(
            (_max_tasks(sizes, size) for sizes in by_slice.values()),
            default=0,
        )

    def _count(self, vm: events.Vm, slices: int, change: int) -> None:
        if vm.role is not events.VmRole.WORKER:
            return
        name = SliceName(vm.data_centre, _ids.slice_of(vm.name, slices))
        by_slice = self._sizes_by_upstream.setdefault(vm.upstream, {})
        sizes = by_slice.setdefault(name, collections.Counter())
        sizes[vm.capacity] += change
        if sizes[vm.capacity] <= 0:
            del sizes[vm.capacity]
            if not sizes:
                del by_slice[name]


def _max_tasks(
    sizes: collections.Counter[_size.Size], size: _size.Size
) -> int:
    return sum(
        size.count_in(capacity) * count for capacity, count in sizes.items()
    )
