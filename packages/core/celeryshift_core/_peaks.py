"""The most that was held in a sliding window, in constant space."""

import attrs

WINDOW_S = 60.0


@attrs.define(eq=False)
class Peak:
    """Hold the slots that urgent work holds, and the most it held lately."""

    slots: int = 0
    most: int = 0
    most_before: int = 0
    began_at: float = 0.0

    def change(self, slots: int, now: float) -> None:
        """Note that urgent work holds more, or less if negative."""
        if now - self.began_at > WINDOW_S:
            recent = now - self.began_at <= 2 * WINDOW_S
            self.most_before = self.most if recent else self.slots
            self.most = self.slots
            self.began_at = now
        self.slots += slots
        self.most = max(self.most, self.slots)

    def recent(self, now: float) -> int:
        """Give the most slots held in the last one or two windows."""
        if now - self.began_at > 2 * WINDOW_S:
            return self.slots
        return max(self.most, self.most_before)
