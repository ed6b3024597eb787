"""Sizes of tasks and capacities of workers."""

import attrs


@attrs.frozen(slots=True)
class Size:
    """An amount of each resource of a worker."""

    slots: int = 1
    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: 'Size') -> 'Size':
        return Size(
            self.slots + other.slots,
            self.cpu_milli + other.cpu_milli,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: 'Size') -> 'Size':
        return Size(
            self.slots - other.slots,
            self.cpu_milli - other.cpu_milli,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def maximum(self, other: 'Size') -> 'Size':
        """Return the larger amount of each resource."""
        return Size(
            max(self.slots, other.slots),
            max(self.cpu_milli, other.cpu_milli),
            max(self.memory_mb, other.memory_mb),
            max(self.accelerators, other.accelerators),
        )

    def fits(self, capacity: 'Size') -> bool:
        """Return whether this amount fits into a free capacity."""
        return (
            self.slots <= capacity.slots
            and self.cpu_milli <= capacity.cpu_milli
            and self.memory_mb <= capacity.memory_mb
            and self.accelerators <= capacity.accelerators
        )

    def count_in(self, capacity: 'Size') -> int:
        """Return how many times this amount fits into a capacity."""
        pairs = (
            (self.slots, capacity.slots),
            (self.cpu_milli, capacity.cpu_milli),
            (self.memory_mb, capacity.memory_mb),
            (self.accelerators, capacity.accelerators),
        )
        return min(
            available // needed for needed, available in pairs if needed > 0
        )


ZERO = Size(0, 0, 0, 0)
ONE_SLOT = Size()
