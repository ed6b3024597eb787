"""Open connections of a listener, and which of them is closed for another."""

import collections
import enum
from typing import Protocol

# A request that has taken longer to arrive is given up before idle connections
# are closed.
INCOMPLETE_S = 1.0


class Phase(enum.Enum):
    """What a connection is doing."""

    # It was refused and will be closed.
    REFUSED = 'refused'
    # It has sent no request, or a part of one, or does not read its answer.
    INCOMPLETE = 'incomplete'
    # Its requests are answered.
    IDLE = 'idle'
    # It waits for an answer.
    WAITING = 'waiting'


class Connection(Protocol):
    """Connection that can be closed."""

    phase: Phase
    # When the phase began.
    since: float

    def abort(self, reason: str) -> None:
        """Close the connection at once, and count the reason."""


class ConnectionTable:
    """Connections by phase, each phase in the order in which it began."""

    def __init__(self, most: int) -> None:
        self._most = most
        self._by_phase: dict[Phase, dict[Connection, None]] = {
            phase: {} for phase in Phase
        }
        self.counters: collections.Counter[str] = collections.Counter()

    def __len__(self) -> int:
        """Return the number of connections."""
        return sum(map(len, self._by_phase.values()))

    def add(self, connection: Connection, now: float) -> None:
        """Add a connection, and close one if there are too many."""
        connection.since = now
        self._by_phase[connection.phase][connection] = None
        if len(self) > self._most:
            chosen = self._choose(connection, now)
            # It is closed in the next turn; others may come before that.
            self.remove(chosen)
            chosen.abort('crowded')

    def remove(self, connection: Connection) -> None:
        """Remove a connection."""
        self._by_phase[connection.phase].pop(connection, None)

    def move(self, connection: Connection, phase: Phase, now: float) -> None:
        """Note that a phase of a connection begins."""
        connections = self._by_phase[connection.phase]
        if connection not in connections:
            return
        del connections[connection]
        connection.phase, connection.since = phase, now
        self._by_phase[phase][connection] = None

    def _choose(self, newest: Connection, now: float) -> Connection:
        """Return the connection to close; one that waits is not closed."""
        refused, incomplete, idle = (
            next(iter(self._by_phase[phase]), None)
            for phase in (Phase.REFUSED, Phase.INCOMPLETE, Phase.IDLE)
        )
        if refused is not None:
            return refused
        is_late = (
            incomplete is not None and now - incomplete.since > INCOMPLETE_S
        )
        choices = (incomplete, idle) if is_late else (idle, incomplete)
        return next((c for c in choices if c is not None), newest)

    def connections(self) -> list[Connection]:
        """Return all connections."""
        return [c for group in self._by_phase.values() for c in group]
