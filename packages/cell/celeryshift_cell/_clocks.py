"""Clock for the due times of scheduled jobs.

The wall clock of the owner may jump by seconds, and back. Due times count from
the least offset between both clocks in a window: a jump forward makes nothing
start early unless it lasts, and after a jump back, what has not started waits
for its time on the clock as it is now.
"""

import collections

import attrs

# A jump forward counts once it has lasted for so long. An occurrence that
# becomes due meanwhile is late by at most this time.
WINDOW_S = 10.0


@attrs.define(slots=True, eq=False)
class Clocks:
    """Least recent offset of the wall clock from the monotonic clock."""

    # Unix time minus monotonic time, in milliseconds.
    offset_ms: float = 0.0
    # Offset at the last reading.
    _latest_ms: float | None = None
    # Offsets with the monotonic time at which they last applied, in seconds.
    # Those that a later one is not above are left out.
    _recent: collections.deque[tuple[float, float]] = attrs.field(
        factory=collections.deque
    )

    def read(self, now: float, wall_ms: float) -> None:
        """Record a reading of both clocks."""
        offset_ms = wall_ms - now * 1000
        if self._latest_ms is not None:
            # It applied until now, however long ago it was read.
            self._add(now, self._latest_ms)
        self._add(now, offset_ms)
        self._latest_ms = offset_ms
        while self._recent[0][0] < now - WINDOW_S:
            self._recent.popleft()
        self.offset_ms = self._recent[0][1]

    def _add(self, now: float, offset_ms: float) -> None:
        while self._recent and self._recent[-1][1] >= offset_ms:
            self._recent.pop()
        self._recent.append((now, offset_ms))
