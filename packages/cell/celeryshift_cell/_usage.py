"""Resources in use, their recent peaks, and averages of run times."""

from typing import ClassVar

import attrs

from celeryshift_cell import model


@attrs.define(slots=True, eq=False)
class RunningMean:
    """Mean of all samples that turns into an exponential moving average."""

    # From this number of samples on, old samples fade.
    WINDOW: ClassVar[int] = 40

    value: float = 1.0
    count: int = 0

    def add(self, sample: float) -> None:
        """Update the mean with a sample."""
        self.count = min(self.count + 1, self.WINDOW)
        self.value += (sample - self.value) / self.count


@attrs.define(slots=True, eq=False)
class DecayingPeak:
    """Current usage and the recent peak of demand, which decays linearly."""

    used: int = 0
    peak: float = 0.0
    # Peak when it was last raised; it decays by fractions of this value.
    decay_base: float = 0.0

    def update(self, demand: int, fraction: float) -> None:
        """Raise the peak to the demand, or let it decay by a fraction."""
        if demand >= self.peak:
            self.peak = self.decay_base = demand
        else:
            self.peak = max(demand, self.peak - fraction * self.decay_base)

    @property
    def headroom(self) -> float:
        """Return how far the recent peak exceeds the current usage."""
        return max(0.0, self.peak - self.used)


@attrs.define(slots=True, eq=False)
class Usage:
    """Resources used by the runs of a team."""

    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    # The part used by urgent tasks.
    urgent_cpu: DecayingPeak = attrs.field(factory=DecayingPeak)
    urgent_memory: DecayingPeak = attrs.field(factory=DecayingPeak)

    def add(self, size: model.Size, count: int) -> None:
        """Add a size ``count`` times: 1 for one more task, -1 for one less."""
        self.cpu_milli += count * size.cpu_milli
        self.memory_mb += count * size.memory_mb
        self.accelerators += count * size.accelerators

    def plus(self, other: 'Usage') -> 'Usage':
        """Return the sum of two usages."""
        return Usage(
            self.cpu_milli + other.cpu_milli,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def cap(self, maximum: model.Size, other: 'Usage') -> None:
        """Cap the usage at a maximum minus another usage.

        A resource is not capped if the other usage alone exceeds its maximum,
        since the maximum was lowered after that usage began.
        """
        self.cpu_milli = _capped(
            self.cpu_milli, maximum.cpu_milli, other.cpu_milli
        )
        self.memory_mb = _capped(
            self.memory_mb, maximum.memory_mb, other.memory_mb
        )
        self.accelerators = _capped(
            self.accelerators, maximum.accelerators, other.accelerators
        )

    def allows(self, size: model.Size, maximum: model.Size) -> bool:
        """Return whether one more task stays within the maximum."""
        return (
            _within(self.cpu_milli + size.cpu_milli, maximum.cpu_milli)
            and _within(self.memory_mb + size.memory_mb, maximum.memory_mb)
            and _within(
                self.accelerators + size.accelerators, maximum.accelerators
            )
        )


def _within(amount: int, maximum: int) -> bool:
    return maximum == 0 or amount <= maximum


def _capped(amount: int, maximum: int, taken: int) -> int:
    if maximum == 0 or taken > maximum:
        return amount
    return min(amount, maximum - taken)


@attrs.define(slots=True, eq=False)
class Pool:
    """Totals over the usable workers of an upstream and its urgent tasks.

    A slot is capacity for one urgent task; see ``_headroom``.
    """

    slot_cpu_milli: int = 0
    slot_memory_mb: int = 0
    slots: int = 0
    free_slots: int = 0
    # Urgent runs, and the recent peak of running plus waiting urgent tasks.
    urgent: DecayingPeak = attrs.field(factory=DecayingPeak)
    # Number of waiting urgent tasks that no team limit blocks.
    waiting: int = 0
