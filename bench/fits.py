"""Straight lines through measured points, and configurations of a size."""

import math
import statistics
from typing import Any

import attrs

from bench import fleets
import celeryshift_client

LIMIT_SLOTS = 10_000
SECRET = 'secret-of-the-bench'


@attrs.frozen
class Fit:
    """Hold a line, and the standard error of its slope."""

    slope: float
    intercept: float
    error: float

    @classmethod
    def of(cls, points: list[tuple[float, float]]) -> 'Fit':
        """Fit a line by least squares."""
        xs = [x for x, _ in points]
        ys = [y for _, y in points]
        slope, intercept = statistics.linear_regression(xs, ys)
        left = sum((y - intercept - slope * x) ** 2 for x, y in points)
        mean = statistics.fmean(xs)
        spread = sum((x - mean) ** 2 for x in xs)
        error = math.sqrt(left / (len(points) - 2) / spread)
        return cls(slope, intercept, error)


def document(teams: int, keys: int) -> dict[str, Any]:
    """Build a configuration with a number of teams and keys."""
    fleet = celeryshift_client.Fleet()
    fleet.upstream(fleets.UPSTREAM)
    for number in range(teams):
        fleet.team(f't{number}', share=1.0, limit_slots=LIMIT_SLOTS)
        fleet.queue(f'of-t{number}', open_for=f't{number}')
    for number in range(keys):
        fleet.key(f'key-{number}', f't{number % teams}', SECRET)
    fleet.batch('batch', fleets.UPSTREAM)
    fleet.request('check', fleets.UPSTREAM, timeout_s=5.0)
    return fleet.document()
