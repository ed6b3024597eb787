"""Linear regression; configurations with given numbers of teams and keys."""

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
    """A fitted line and the standard error of its slope."""

    slope: float
    intercept: float
    slope_error: float

    @classmethod
    def least_squares(cls, points: list[tuple[float, float]]) -> 'Fit':
        """Fit a line by least squares."""
        xs = [x for x, _ in points]
        ys = [y for _, y in points]
        slope, intercept = statistics.linear_regression(xs, ys)
        residual_sum = sum((y - intercept - slope * x) ** 2 for x, y in points)
        mean = statistics.fmean(xs)
        x_variation = sum((x - mean) ** 2 for x in xs)
        slope_error = math.sqrt(residual_sum / (len(points) - 2) / x_variation)
        return cls(slope, intercept, slope_error)


def fleet_document(teams: int, keys: int) -> dict[str, Any]:
    """Build a configuration with the given numbers of teams and keys."""
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
