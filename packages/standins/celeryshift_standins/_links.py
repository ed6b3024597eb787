"""Links between named ends: cut, cut one way, slow, or gone silent.

An end is a node, a worker, a data centre or the platform; whoever talks has
several of them, as a node has its own and that of its data centre.
"""

import itertools

Ends = tuple[str, ...]

CLOSED_AFTER_S = 2.0


class Links:
    """Tell what gets through between two ends, and how late."""

    def __init__(self) -> None:
        self.changed_at = 0.0
        self._cuts: set[tuple[str, str]] = set()
        self._slow_s: dict[frozenset[str], float] = {}
        self._silenced_at: dict[tuple[str, str], float] = {}

    def cut(self, now: float, one: str, other: str, both: bool) -> None:
        """Lose what one end sends the other, and the other way if both."""
        self.changed_at = now
        self._cuts.add((one, other))
        if both:
            self._cuts.add((other, one))

    def heal(self, now: float, one: str, other: str) -> None:
        """Undo every fault between two ends."""
        self.changed_at = now
        self._cuts -= {(one, other), (other, one)}
        self._slow_s.pop(frozenset((one, other)), None)

    def heal_all(self, now: float) -> None:
        """Undo every fault."""
        self.changed_at = now
        self._cuts.clear()
        self._slow_s.clear()

    def slow(self, one: str, other: str, seconds: float) -> None:
        """Add a delay each way."""
        self._slow_s[frozenset((one, other))] = seconds

    def silence(self, now: float, one: str, other: str, both: bool) -> None:
        """Lose what one end sends over the connections that are open.

        Calls are lost on them until a caller gives one up and closes it.
        """
        self.changed_at = now
        self._silenced_at[(one, other)] = now
        if both:
            self._silenced_at[(other, one)] = now

    def passes(self, source: Ends, target: Ends, now: float) -> bool:
        """Tell whether what is sent now arrives."""
        return not any(
            pair in self._cuts or self._is_silent(pair, now, now)
            for pair in itertools.product(source, target)
        )

    def answers(
        self, source: Ends, target: Ends, asked_at: float, now: float
    ) -> bool:
        """Tell whether an answer to a call that began earlier arrives."""
        return not any(
            pair in self._cuts or self._is_silent(pair, asked_at, now)
            for pair in itertools.product(source, target)
        )

    def delay_s(self, one: Ends, other: Ends) -> float:
        """Give the delay that is added each way."""
        if not self._slow_s:
            return 0.0
        pairs = itertools.product(one, other)
        return max(self._slow_s.get(frozenset(pair), 0.0) for pair in pairs)

    def _is_silent(
        self, pair: tuple[str, str], asked_at: float, now: float
    ) -> bool:
        silenced_at = self._silenced_at.get(pair)
        if silenced_at is None or silenced_at > now:
            return False
        return asked_at <= silenced_at + CLOSED_AFTER_S
