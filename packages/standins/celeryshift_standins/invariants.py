"""What must always hold, judged from what the workers really ran."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import itertools
import math

import attrs


@attrs.frozen
class Span:
    """Hold when a run took room on a worker; an end of None is still to be."""

    run_id: str
    worker: str
    team: str
    slots: int
    started_at: float
    ended_at: float | None

    @property
    def task(self) -> str:
        """Name the task or request that was run."""
        return self.run_id.rpartition('~')[0]

    @property
    def until(self) -> float:
        """Give the end, or infinity."""
        return math.inf if self.ended_at is None else self.ended_at


def over_committed(
    spans: Iterable[Span], slots_by_worker: dict[str, int]
) -> Iterator[str]:
    """Yield a line for each moment at which a worker held too much."""
    yield from _over(
        spans, lambda span: span.worker, slots_by_worker, 'worker'
    )


def over_limit(
    spans: Iterable[Span], limit_by_team: dict[str, int]
) -> Iterator[str]:
    """Yield a line for each moment at which a team ran too much."""
    yield from _over(spans, lambda span: span.team, limit_by_team, 'team')


def overlapping_runs(spans: Iterable[Span]) -> Iterator[str]:
    """Yield a line for each task that ran twice at the same time."""
    spans_by_task = _by_task(spans)
    for task, runs in spans_by_task.items():
        for before, after in itertools.pairwise(runs):
            if after.started_at < before.until:
                yield (
                    f'{task} ran on {before.worker} and {after.worker} '
                    f'at {after.started_at}'
                )


def run_more_than_once(spans: Iterable[Span], once: set[str]) -> Iterator[str]:
    """Yield a line for each task that must not be repeated but was."""
    for task, runs in _by_task(spans).items():
        if task in once and len(runs) > 1:
            yield f'{task} ran {len(runs)} times'


def _by_task(spans: Iterable[Span]) -> dict[str, list[Span]]:
    spans_by_task = collections.defaultdict(list)
    for span in sorted(spans, key=lambda span: span.started_at):
        spans_by_task[span.task].append(span)
    return spans_by_task


def _over(
    spans: Iterable[Span],
    key: Callable[[Span], str],
    most_by_key: dict[str, int],
    what: str,
) -> Iterator[str]:
    changes = collections.defaultdict(list)
    for span in spans:
        name = key(span)
        changes[name].append((span.started_at, span.slots))
        changes[name].append((span.until, -span.slots))
    for name, steps in changes.items():
        held = 0
        # Room that is freed at a moment may be used at the same moment.
        for at, slots in sorted(steps):
            held += slots
            if held > most_by_key.get(name, math.inf):
                yield f'{what} {name} held {held} slots at {at}'
