"""Links between named endpoints that can be cut, slowed or silenced.

An endpoint is a node, a worker, a data centre or the platform. A process has
several: a node has its own and that of its data centre, and faults of either
apply to it.
"""

import itertools

Endpoints = tuple[str, ...]

SILENT_CONNECTION_CLOSE_S = 2.0


class Links:
    """Faults of the links between endpoints."""

    def __init__(self) -> None:
        # Time of the last change by which messages are dropped or pass again.
        self.changed_at = 0.0
        self._cuts: set[tuple[str, str]] = set()
        self._slow_s: dict[frozenset[str], float] = {}
        self._silent_since: dict[tuple[str, str], float] = {}

    def cut(
        self, now: float, source: str, target: str, both_ways: bool
    ) -> None:
        """Drop messages from the source to the target, or both ways."""
        self.changed_at = now
        self._cuts.add((source, target))
        if both_ways:
            self._cuts.add((target, source))

    def heal(self, now: float, first: str, second: str) -> None:
        """Remove the cuts and added delays between two endpoints."""
        self.changed_at = now
        self._cuts -= {(first, second), (second, first)}
        self._slow_s.pop(frozenset((first, second)), None)

    def heal_all(self, now: float) -> None:
        """Remove all cuts and added delays."""
        self.changed_at = now
        self._cuts.clear()
        self._slow_s.clear()

    def slow(self, first: str, second: str, seconds: float) -> None:
        """Add a delay in each direction."""
        self._slow_s[frozenset((first, second))] = seconds

    def silence(
        self, now: float, source: str, target: str, both_ways: bool
    ) -> None:
        """Drop what the source sends over connections that are now open.

        Calls over them are lost until a caller times out and closes the
        connection, which takes SILENT_CONNECTION_CLOSE_S.
        """
        self.changed_at = now
        self._silent_since[(source, target)] = now
        if both_ways:
            self._silent_since[(target, source)] = now

    def passes(self, source: Endpoints, target: Endpoints, now: float) -> bool:
        """Return whether a message that is sent now arrives."""
        return not any(
            pair in self._cuts or self._is_silent(pair, now, now)
            for pair in itertools.product(source, target)
        )

    def passes_reply(
        self,
        source: Endpoints,
        target: Endpoints,
        called_at: float,
        now: float,
    ) -> bool:
        """Return whether a reply sent now to an earlier call arrives."""
        return not any(
            pair in self._cuts or self._is_silent(pair, called_at, now)
            for pair in itertools.product(source, target)
        )

    def delay_s(self, first: Endpoints, second: Endpoints) -> float:
        """Return the delay that is added in each direction."""
        if not self._slow_s:
            return 0.0
        pairs = itertools.product(first, second)
        return max(self._slow_s.get(frozenset(pair), 0.0) for pair in pairs)

    def _is_silent(
        self, pair: tuple[str, str], called_at: float, now: float
    ) -> bool:
        silent_since = self._silent_since.get(pair)
        if silent_since is None or silent_since > now:
            return False
        return called_at <= silent_since + SILENT_CONNECTION_CLOSE_S
