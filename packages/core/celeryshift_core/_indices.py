"""Sets of task numbers, stored as ranges."""

from collections.abc import Iterable

from sortedcontainers import SortedDict


class IndexSet:
    """Set of numbers, kept as inclusive ranges.

    Adding a number is logarithmic in the count of ranges. Writing the set
    takes time linear in the count of ranges, not of numbers.
    """

    def __init__(self, ranges: Iterable[list[int]] = ()) -> None:
        self._high_by_low: SortedDict = SortedDict(ranges)
        self._count = sum(
            high - low + 1 for low, high in self._high_by_low.items()
        )

    def __len__(self) -> int:
        return self._count

    def __contains__(self, number: int) -> bool:
        low = self._low_at(number)
        return low is not None and number <= self._high_by_low[low]

    def add(self, number: int) -> None:
        """Add a number, and merge the ranges that it connects."""
        if number in self:
            return
        self._count += 1
        low = high = number
        before = self._low_at(number)
        if before is not None and self._high_by_low[before] == number - 1:
            low = before
        if number + 1 in self._high_by_low:
            high = self._high_by_low.pop(number + 1)
        self._high_by_low[low] = high

    def to_ranges(self) -> list[list[int]]:
        """Return the ranges in order."""
        return [[low, high] for low, high in self._high_by_low.items()]

    def _low_at(self, number: int) -> int | None:
        """Return the start of the last range with start <= number."""
        index = self._high_by_low.bisect_right(number)
        return self._high_by_low.peekitem(index - 1)[0] if index else None
