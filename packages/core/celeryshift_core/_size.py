"""Sizes of tasks and capacities of workers."""

import attrs


@attrs.frozen(slots=True)
class Size:
    """Hold an amount of each resource that a worker offers."""

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
        """Give the larger amount of each resource."""
        return Size(
            max(self.slots, other.slots),
            max(self.cpu_milli, other.cpu_milli),
            max(self.memory_mb, other.memory_mb),
            max(self.accelerators, other.accelerators),
        )

    def fits(self, capacity: 'Size') -> bool:
        """Tell whether this amount fits into the room given."""
        return (
            self.slots <= capacity.slots
            and self.cpu_milli <= capacity.cpu_milli
            and self.memory_mb <= capacity.memory_mb
            and self.accelerators <= capacity.accelerators
        )

    def count_in(self, capacity: 'Size') -> int:
        """Count how often this amount fits into the room given."""
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
