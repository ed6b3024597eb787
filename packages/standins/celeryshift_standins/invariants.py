"""Invariants over the recorded runs of workers."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import itertools
import math

import attrs


@attrs.frozen
class Span:
    """The time for which a run occupied slots of a worker.

    An `ended_at` of None means that the run has not ended.
    """

    run_id: str
    worker: str
    team: str
    slots: int
    started_at: float
    ended_at: float | None

    @property
    def task(self) -> str:
        """Return the id of the task or request that was run."""
        return self.run_id.rpartition('~')[0]

    @property
    def until(self) -> float:
        """Return the end, or infinity if the run has not ended."""
        return math.inf if self.ended_at is None else self.ended_at


def over_committed(
    spans: Iterable[Span], slots_by_worker: dict[str, int]
) -> Iterator[str]:
    """Yield a line for each time at which a worker exceeded its slots."""
    yield from _above_limit(
        spans, lambda span: span.worker, slots_by_worker, 'worker'
    )


def over_limit(
    spans: Iterable[Span], limit_by_team: dict[str, int]
) -> Iterator[str]:
    """Yield a line for each time at which a team exceeded its limit."""
    yield from _above_limit(
        spans, lambda span: span.team, limit_by_team, 'team'
    )


def overlapping_runs(spans: Iterable[Span]) -> Iterator[str]:
    """Yield a line for each task of which two runs overlapped in time."""
    spans_by_task = _group_by_task(spans)
    for task, runs in spans_by_task.items():
        for before, after in itertools.pairwise(runs):
            if after.started_at < before.until:
                yield (
                    f'{task} ran on {before.worker} and {after.worker} '
                    f'at {after.started_at}'
                )


def run_more_than_once(
    spans: Iterable[Span], non_repeatable: set[str]
) -> Iterator[str]:
    """Yield a line for each non-repeatable task that ran more than once."""
    for task, runs in _group_by_task(spans).items():
        if task in non_repeatable and len(runs) > 1:
            yield f'{task} ran {len(runs)} times'


def _group_by_task(spans: Iterable[Span]) -> dict[str, list[Span]]:
    spans_by_task = collections.defaultdict(list)
    for span in sorted(spans, key=lambda span: span.started_at):
        spans_by_task[span.task].append(span)
    return spans_by_task


def _above_limit(
    spans: Iterable[Span],
    key: Callable[[Span], str],
    limit_by_key: dict[str, int],
    noun: str,
) -> Iterator[str]:
    changes = collections.defaultdict(list)
    for span in spans:
        name = key(span)
        changes[name].append((span.started_at, span.slots))
        changes[name].append((span.until, -span.slots))
    for name, deltas in changes.items():
        used = 0
        # The sort puts releases first: slots that are freed at some time can
        # be used at the same time.
        for at, slots in sorted(deltas):
            used += slots
            if used > limit_by_key.get(name, math.inf):
                yield f'{noun} {name} held {used} slots at {at}'
