"""The most that was held in a sliding window, in constant space."""

import attrs

WINDOW_S = 60.0


@attrs.define(eq=False)
class Peak:
    """Hold the slots that urgent work holds, and the most it held lately."""

    slots: int = 0
    peak: int = 0
    previous_peak: int = 0
    window_start: float = 0.0

    def add(self, slots: int, now: float) -> None:
        """Note that urgent work holds more, or less if negative."""
        if now - self.window_start > WINDOW_S:
            recent = now - self.window_start <= 2 * WINDOW_S
            self.previous_peak = self.peak if recent else self.slots
            self.peak = self.slots
            self.window_start = now
        self.slots += slots
        self.peak = max(self.peak, self.slots)

    def recent_peak(self, now: float) -> int:
        """Give the most slots held in the last one or two windows."""
        if now - self.window_start > 2 * WINDOW_S:
            return self.slots
        return max(self.peak, self.previous_peak)
