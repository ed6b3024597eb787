"""Set of small non-negative integers that takes one bit for each."""

from collections.abc import Iterator


class IndexSet:
    """Set of indices, iterated in ascending order.

    It may be changed while it is iterated; the iteration does not see it.
    """

    __slots__ = ('bits',)

    def __init__(self, bits: int = 0) -> None:
        # The elements, as the positions of the bits that are set.
        self.bits = bits

    @classmethod
    def full(cls, count: int) -> 'IndexSet':
        """Return the set of all indices below a number."""
        return cls((1 << count) - 1)

    def add(self, index: int) -> None:
        """Add an index."""
        self.bits |= 1 << index

    def discard(self, index: int) -> None:
        """Remove an index, if it is an element."""
        if index in self:
            self.bits ^= 1 << index

    def clear(self) -> None:
        """Remove all indices."""
        self.bits = 0

    @property
    def first_missing(self) -> int:
        """Return the lowest index that is not an element."""
        return (~self.bits & (self.bits + 1)).bit_length() - 1

    def ranges(self) -> Iterator[tuple[int, int]]:
        """Yield the first and last index of each run of adjacent indices."""
        bits, first = self.bits, 0
        while bits:
            skipped = (bits & -bits).bit_length() - 1
            bits >>= skipped
            count = (~bits & (bits + 1)).bit_length() - 1
            first += skipped
            yield first, first + count - 1
            bits >>= count
            first += count

    def add_range(self, first: int, last: int) -> None:
        """Add all indices from the first to the last."""
        self.bits |= ((1 << (last - first + 1)) - 1) << first

    def __contains__(self, index: int) -> bool:
        return index >= 0 and bool(self.bits >> index & 1)

    def __len__(self) -> int:
        return self.bits.bit_count()

    def __bool__(self) -> bool:
        return bool(self.bits)

    def __iter__(self) -> Iterator[int]:
        bits = self.bits
        while bits:
            lowest = bits & -bits
            yield lowest.bit_length() - 1
            bits ^= lowest
