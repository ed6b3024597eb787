"""Peak number of slots in a sliding window, in constant space."""

import attrs

WINDOW_S = 60.0


@attrs.define(eq=False)
class Peak:
    """Slots held by urgent work, and the recent peak of them."""

    slots: int = 0
    peak: int = 0
    previous_peak: int = 0
    window_start: float = 0.0

    def add(self, slots: int, now: float) -> None:
        """Add slots held by urgent work; a negative number releases them."""
        if now - self.window_start > WINDOW_S:
            recent = now - self.window_start <= 2 * WINDOW_S
            self.previous_peak = self.peak if recent else self.slots
            self.peak = self.slots
            self.window_start = now
        self.slots += slots
        self.peak = max(self.peak, self.slots)

    def recent_peak(self, now: float) -> int:
        """Return the peak of the last one or two windows."""
        if now - self.window_start > 2 * WINDOW_S:
            return self.slots
        return max(self.peak, self.previous_peak)
