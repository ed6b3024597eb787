"""What the VM list says of the fleet: capacities by upstream and slice."""

import collections

import attrs

from celeryshift_core import _ids
from celeryshift_core import _size
from celeryshift_core import events


@attrs.frozen(slots=True)
class SliceName:
    """Name a slice of any data centre."""

    data_centre: str
    number: int


class Fleet:
    """Count the workers of each capacity, by upstream and slice.

    Workers of one capacity are counted together, so that a question costs
    as much as there are slices and unlike capacities.
    """

    def __init__(self) -> None:
        self._sizes_by_upstream: dict[
            str, dict[SliceName, collections.Counter[_size.Size]]
        ] = {}

    def add(self, vm: events.Vm, slices: int) -> None:
        """Count a worker in."""
        self._count(vm, slices, 1)

    def remove(self, vm: events.Vm, slices: int) -> None:
        """Count a worker out."""
        self._count(vm, slices, -1)

    def capacities(self, upstream: str) -> set[_size.Size]:
        """Give the unlike capacities of the workers of an upstream."""
        by_slice = self._sizes_by_upstream.get(upstream, {})
        return {size for sizes in by_slice.values() for size in sizes}

    def slices_fitting(
        self, upstream: str, size: _size.Size, tasks: int
    ) -> list[SliceName]:
        """List the slices that could hold a number of tasks at once."""
        by_slice = self._sizes_by_upstream.get(upstream, {})
        return [
            name
            for name, sizes in by_slice.items()
            if _tasks_held(sizes, size) >= tasks
        ]

    def max_tasks(self, upstream: str, size: _size.Size) -> int:
        """Count the tasks of a size that the largest slice could hold."""
        by_slice = self._sizes_by_upstream.get(upstream, {})
        return max(
            (_tasks_held(sizes, size) for sizes in by_slice.values()),
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


def _tasks_held(
    sizes: collections.Counter[_size.Size], size: _size.Size
) -> int:
    return sum(
        size.count_in(capacity) * count for capacity, count in sizes.items()
    )
