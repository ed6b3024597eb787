"""Limits the starts in flight to what the owner can follow.

An owner that orders more starts than it can read answers for within their
timeout takes all of them for unknown. Each start in doubt then costs a poll,
and a worker that is polled in doubt gets no work, so that the cell collapses
under a load that it could serve.

The window grows while answers arrive in time and shrinks when most of them are
late. A fault of some workers or of one data centre makes only a part of the
answers late, so it leaves the window as it is.
"""

import collections

import attrs

# Half of the timeout of an order. A start that takes longer is late.
LATE_S = 0.15
# Starts in flight that one core can follow: with a new connection for each, an
# answer takes some 1.2 ms of a core, and LATE_S is the time for all of them.
STARTS_PER_CORE = 80
SMALLEST = 8
# Weight of the newest answer in the share of late answers.
ANSWER_WEIGHT = 1 / 16
# Share of late answers at which the window shrinks.
LATE_SHARE = 0.5
# Answers to the starts that were in flight say nothing about a new size.
SHRINK_PAUSE_S = 0.3
# Number of ticks from which the rate of answers is computed.
RATE_TICKS = 20
# A start whose answer was lost by the caller leaves the window after this.
ANSWER_LOST_S = 2.0


@attrs.define(slots=True, eq=False)
class OrderWindow:
    """Starts that have been ordered and not been answered."""

    largest: int
    size: float
    # Times of the orders, by (task name, run number).
    sent_at_by_run: dict[tuple[str, int], float] = attrs.field(factory=dict)
    late_share: float = 0.0
    shrunk_at: float = float('-inf')
    # Answers since the last tick, and whether the window was full then.
    answered: int = 0
    was_full: bool = False
    # Time, answers, and whether the window was full, of the last ticks.
    ticks: collections.deque[tuple[float, int, bool]] = attrs.field(
        factory=lambda: collections.deque(maxlen=RATE_TICKS)
    )

    @property
    def room(self) -> int:
        """Return how many starts may be ordered now."""
        return max(0, int(self.size) - len(self.sent_at_by_run))

    @property
    def in_flight(self) -> int:
        """Return how many starts have not been answered."""
        return len(self.sent_at_by_run)

    def add(self, task: str, run: int, now: float) -> None:
        """Add a start that is being ordered."""
        self.sent_at_by_run[task, run] = now
        self.was_full = self.was_full or not self.room

    def remove(
        self, task: str, run: int, now: float, is_unknown: bool
    ) -> bool:
        """Remove a start that was answered; return whether it shrank."""
        sent_at = self.sent_at_by_run.pop((task, run), None)
        if sent_at is None:
            return False
        self.answered += 1
        is_late = is_unknown or now - sent_at > LATE_S
        self.late_share += ANSWER_WEIGHT * (is_late - self.late_share)
        if not is_late:
            if 2 * len(self.sent_at_by_run) >= self.size:
                self.size = min(float(self.largest), self.size + 1 / self.size)
            return False
        is_recent = now - self.shrunk_at < SHRINK_PAUSE_S
        if self.late_share <= LATE_SHARE or is_recent:
            return False
        self.size = max(float(SMALLEST), self.size / 2)
        self.late_share = 0.0
        self.shrunk_at = now
        return True

    def discard(self, task: str, run: int) -> None:
        """Remove a start whose outcome is known from a poll."""
        self.sent_at_by_run.pop((task, run), None)

    def start_rate(self, now: float) -> float:
        """Return the starts a second that the owner sustains; 0 if unknown.

        The rate of answers shows it only while the window is mostly full.
        """
        self.ticks.append((now, self.answered, self.was_full))
        self.answered, self.was_full = 0, not self.room
        elapsed_s = now - self.ticks[0][0]
        full = sum(is_full for _, _, is_full in self.ticks)
        if len(self.ticks) < RATE_TICKS or 2 * full < RATE_TICKS:
            return 0.0
        answered = sum(count for _, count, _ in self.ticks)
        return answered / elapsed_s if elapsed_s > 0 else 0.0

    def expire(self, now: float) -> None:
        """Remove the starts whose answers were lost."""
        for key, sent_at in list(self.sent_at_by_run.items()):
            if now - sent_at <= ANSWER_LOST_S:
                # The others were sent later.
                return
            del self.sent_at_by_run[key]


def make_window(cores: float, largest: int) -> OrderWindow:
    """Return the window of an owner with so many cores."""
    size = min(float(largest), max(float(SMALLEST), STARTS_PER_CORE * cores))
    return OrderWindow(largest, size)
