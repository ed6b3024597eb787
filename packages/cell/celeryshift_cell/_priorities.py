"""Most urgent priority that has reserved something, by its name.

What a step reserves is replaced as a whole, so that a placement pass costs
only as much as has changed since the last one.
"""

from collections.abc import Iterable

import attrs


@attrs.define(slots=True, eq=False)
class Priorities:
    """Reservations of workers or of team limits, by name."""

    # Most urgent priority by name, including what was added in this pass.
    _lowest_by_name: dict[str, int] = attrs.field(factory=dict)
    # Number of steps by name and priority.
    _counts_by_name: dict[str, dict[int, int]] = attrs.field(factory=dict)
    # What a step has reserved, by name of the step, as (names, priority).
    _reserved_by_step: dict[str, tuple[tuple[str, ...], int]] = attrs.field(
        factory=dict
    )
    # Names whose most urgent priority is to be determined anew.
    _changed: set[str] = attrs.field(factory=set)

    def get(self, name: str, default: int) -> int:
        """Return the most urgent priority, or a default if there is none."""
        return self._lowest_by_name.get(name, default)

    def add(self, name: str, priority: int) -> None:
        """Add a reservation until the next pass."""
        lowest = self._lowest_by_name.get(name, priority)
        self._lowest_by_name[name] = min(priority, lowest)
        self._changed.add(name)

    def replace(
        self, step_name: str, names: Iterable[str], priority: int
    ) -> None:
        """Replace what a step reserves, as of ``begin_pass``."""
        former, former_priority = self._reserved_by_step.pop(
            step_name, ((), 0)
        )
        for name in former:
            counts = self._counts_by_name[name]
            counts[former_priority] -= 1
            if not counts[former_priority]:
                del counts[former_priority]
            self._changed.add(name)
        reserved = tuple(names)
        if reserved:
            self._reserved_by_step[step_name] = reserved, priority
        for name in reserved:
            counts = self._counts_by_name.setdefault(name, {})
            counts[priority] = counts.get(priority, 0) + 1
            self._changed.add(name)

    def begin_pass(self) -> None:
        """Drop what was added in the last pass, and apply replacements."""
        for name in self._changed:
            counts = self._counts_by_name.get(name)
            if counts:
                self._lowest_by_name[name] = min(counts)
            else:
                self._counts_by_name.pop(name, None)
                self._lowest_by_name.pop(name, None)
        self._changed.clear()
