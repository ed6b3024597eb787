"""Histograms of ratios that forget old samples, and what is learned."""

import math
from typing import ClassVar

import attrs


@attrs.define(slots=True, eq=False)
class Histogram:
    """Histogram of positive ratios, with buckets of one size in logarithms.

    A bucket keeps the weight and the mean of its samples, so that equal
    distributions have equal quantiles wherever the bounds of buckets lie.
    """

    BUCKETS_PER_OCTAVE: ClassVar[int] = 8
    # From this weight on, the weights of all samples are halved.
    MAX_WEIGHT: ClassVar[float] = 128.0
    # Buckets below this weight are dropped.
    MIN_WEIGHT: ClassVar[float] = 0.2
    # Logarithms and weights are stored with one decimal place, so a bucket
    # takes at most this many characters.
    MAX_BUCKETS: ClassVar[int] = 96

    # Weight and mean by bucket; the unit of the mean is a bucket.
    buckets: dict[int, tuple[float, float]] = attrs.field(factory=dict)
    weight: float = 0.0
    # Monotonic time of the last sample.
    updated_at: float = 0.0
    # Median as of the last sample; None if it has not been computed since.
    _median: float | None = None

    def add(self, ratio: float, now: float) -> None:
        """Add a sample."""
        position = math.log2(ratio) * self.BUCKETS_PER_OCTAVE
        self._put(position, 1.0)
        self.updated_at = now
        if self.weight > self.MAX_WEIGHT:
            self.buckets = {
                bucket: (weight / 2, mean)
                for bucket, (weight, mean) in self.buckets.items()
                if weight / 2 >= self.MIN_WEIGHT
            }
            self.weight = sum(weight for weight, _ in self.buckets.values())
            self._median = None

    def _put(self, position: float, added: float) -> None:
        bucket = math.floor(position)
        weight, mean = self.buckets.get(bucket, (0.0, 0.0))
        mean += (position - mean) * added / (weight + added)
        self.buckets[bucket] = weight + added, mean
        self.weight += added
        self._median = None

    @property
    def median(self) -> float:
        """Return the median of the ratios; 1 if there are none."""
        if self._median is None:
            self._median = self.quantile(0.5)
        return self._median

    def quantile(self, share: float) -> float:
        """Return a quantile of the ratios; 1 if there are none."""
        target = share * self.weight
        mean = 0.0
        for bucket in sorted(self.buckets):
            weight, mean = self.buckets[bucket]
            target -= weight
            if target <= 0:
                break
        return self._ratio(mean)

    def centre(self) -> float:
        """Return the geometric mean of the middle half of the ratios.

        It is as robust as the median, and does not jump between the modes of
        a distribution with two of them.
        """
        low, high = 0.25 * self.weight, 0.75 * self.weight
        below = total = 0.0
        for bucket in sorted(self.buckets):
            weight, mean = self.buckets[bucket]
            inside = min(below + weight, high) - max(below, low)
            total += max(0.0, inside) * mean
            below += weight
        return self._ratio(total / (high - low)) if self.weight else 1.0

    def mean_above(self, ratio: float) -> float:
        """Return the mean of the ratios above a bound, or the bound."""
        total = count = 0.0
        for weight, mean in self.buckets.values():
            value = self._ratio(mean)
            if value > ratio:
                total += weight * value
                count += weight
        return total / count if count else ratio

    def log_error(self) -> float:
        """Return the standard error of the logarithm of the median."""
        if not self.weight:
            return math.inf
        spread = math.log(self.quantile(0.75) / self.quantile(0.25))
        # Of a normal distribution: quartiles to deviation, and the median's
        # error relative to that of the mean.
        return 1.25 * spread / 1.35 / math.sqrt(self.weight)

    def _ratio(self, position: float) -> float:
        return float(2.0 ** (position / self.BUCKETS_PER_OCTAVE))

    def encode(self) -> list[float]:
        """Return the means and weights of the buckets, for a record."""
        return [
            round(value, 1)
            for weight, mean in self.buckets.values()
            for value in (mean, weight)
        ]

    @classmethod
    def decode(cls, values: list[float], now: float) -> 'Histogram':
        """Return the histogram of a record.

        Raise ``ValueError`` if the record is invalid.
        """
        histogram = cls(updated_at=now)
        pairs = list(zip(values[::2], values[1::2], strict=True))
        if len(pairs) > cls.MAX_BUCKETS:
            raise ValueError(f'{len(pairs)} buckets')
        for position, weight in pairs:
            bound = cls.BUCKETS_PER_OCTAVE * math.log2(cls.MAX_WEIGHT)
            if not (abs(position) <= bound and 0 <= weight <= cls.MAX_WEIGHT):
                raise ValueError(f'bucket at {position} of {weight}')
            if weight:
                histogram._put(position, weight)
        return histogram


@attrs.define(slots=True, eq=False)
class Pair:
    """By how much an image slows down another; see ``_interference``."""

    # Logarithm of the slowdown, and its variance when it was last measured.
    mean: float
    variance: float
    at: float


@attrs.define(slots=True, eq=False)
class Interference:
    """What was learned about images on one worker; see ``_interference``."""

    # By (disturbed image, disturbing image); the latter is empty for the
    # disturbed image alone.
    pairs: dict[tuple[str, str], Pair] = attrs.field(factory=dict)
    # Logarithms of the slowdowns that count in placement, and their images.
    found: dict[tuple[str, str], float] = attrs.field(factory=dict)
    images: set[str] = attrs.field(factory=set)
    # When the pairs that count are next updated.
    update_at: float = 0.0


@attrs.define(slots=True, eq=False)
class RunTimes:
    """What was learned about run times; see ``_run_times``.

    The keys of the histograms are in the order of their last use.
    """

    # Ratios of run time to estimate on an average worker, by queue and image.
    ratios_by_key: dict[tuple[str, str], Histogram] = attrs.field(factory=dict)
    # Run times relative to the typical one of the task, by kind of worker.
    times_by_kind: dict[str, Histogram] = attrs.field(factory=dict)
    # Speeds relative to the average kind, and whether they differ.
    speed_by_kind: dict[str, float] = attrs.field(factory=dict)
    kinds_differ: bool = False
    # When the speeds are next updated.
    update_at: float = 0.0
    interference: Interference = attrs.field(factory=Interference)
    # The stored record is out of date, or is in the save in flight, and when
    # the next one may be saved.
    is_dirty: bool = False
    is_saving: bool = False
    save_at: float = 0.0


@attrs.define(slots=True, eq=False)
class WorkerSpeed:
    """What was learned about the speed of a worker; see ``_run_times``."""

    # Run times relative to the typical ones of their tasks.
    relative_times: Histogram = attrs.field(factory=Histogram)
    # Speed relative to the kind of the worker.
    lead: float = 1.0
    # When a run last counted for the kind.
    kind_sample_at: float = float('-inf')
