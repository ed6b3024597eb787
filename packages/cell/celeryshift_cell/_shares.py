"""Shares of teams by weight, and the order of starts that follows from them.

If the weights of the teams differ, a team is entitled to ``weight`` jobs per
second. The owner marks further jobs as surplus when it accepts them; the mark
is stored with the job, so that the next owner decides the same. Surplus work
is placed after all other work. While more work waits than fits, the team that
is furthest below its weighted dominant share starts next within a priority.
"""

import collections
from collections.abc import Iterator
import math

import attrs

from celeryshift_cell import _backlog
from celeryshift_cell import _headroom
from celeryshift_cell import _ordering
from celeryshift_cell import _state
from celeryshift_cell import _tallies
from celeryshift_cell import _usage
from celeryshift_cell import model

# Least burst of a team, in jobs.
MIN_BURST = 2.0
# Weights outside of these bounds are invalid.
MIN_WEIGHT = 1e-6
MAX_WEIGHT = 1e6
# Names in the log line about invalid weights.
MAX_LOGGED_TEAMS = 20


def is_valid_weight(weight: object) -> bool:
    """Return whether a weight may be used as it is."""
    if isinstance(weight, bool) or not isinstance(weight, int | float):
        return False
    return math.isfinite(weight) and MIN_WEIGHT <= weight <= MAX_WEIGHT


def configure(cell: _state.Cell) -> None:
    """Read the weights of a new configuration.

    An invalid weight counts as the smallest valid one, or as 1 without any.
    """
    weight_by_team = {
        name: team.weight for name, team in cell.config.teams_by_name.items()
    }
    valid = [w for w in weight_by_team.values() if is_valid_weight(w)]
    shares = cell.shares
    shares.default_weight = min(valid, default=1.0)
    invalid = tuple(
        sorted(
            name
            for name, weight in weight_by_team.items()
            if not is_valid_weight(weight)
        )
    )
    weight_by_team |= dict.fromkeys(invalid, shares.default_weight)
    shares.weight_by_team = weight_by_team
    shares.is_weighted = len(set(weight_by_team.values())) > 1
    if invalid and invalid != shares.invalid_teams:
        cell.log_decision(
            'weights_invalid',
            teams=invalid[:MAX_LOGGED_TEAMS],
            count=len(invalid),
            used=shares.default_weight,
        )
    shares.invalid_teams = invalid


def mark_surplus(cell: _state.Cell, job: model.Job) -> model.Job:
    """Return a job with its mark as it would be accepted now."""
    is_surplus = _is_counted(cell, job) and _bucket(cell, job.team).tokens < 1
    return attrs.evolve(job, is_surplus=is_surplus)


def count_accepted(cell: _state.Cell, job: model.Job) -> None:
    """Count an accepted job that is not surplus."""
    if _is_counted(cell, job) and not job.is_surplus:
        _bucket(cell, job.team).tokens -= 1


def token_wait_s(cell: _state.Cell, team: str) -> float:
    """Return when the next job of a team is within its share."""
    missing = max(0.0, 1 - _bucket(cell, team).tokens)
    return missing / cell.shares.weight(team)


def _is_counted(cell: _state.Cell, job: model.Job) -> bool:
    """Return whether a job counts towards the jobs per second of its team.

    Services last until they are cancelled, so they have no rate.
    """
    return (
        cell.shares.is_weighted
        and job.team in cell.shares.weight_by_team
        and not any(step.is_lasting for step in job.steps)
    )


def _bucket(cell: _state.Cell, team: str) -> _tallies.Bucket:
    """Return the bucket of a team, filled up to the current time."""
    weight = cell.shares.weight(team)
    options = cell.options
    burst = max(
        MIN_BURST, options.share_window_s * weight + options.share_slack
    )
    bucket = cell.shares.bucket_by_team.get(team)
    if bucket is None:
        bucket = _tallies.Bucket(burst, cell.now)
        cell.shares.bucket_by_team[team] = bucket
    elapsed_s = max(0.0, cell.now - bucket.filled_at)
    bucket.tokens = min(burst, bucket.tokens + weight * elapsed_s)
    bucket.filled_at = cell.now
    return bucket


def in_turn(
    cell: _state.Cell, steps: list[_state.StepRun]
) -> Iterator[_state.StepRun]:
    """Yield steps in the order in which they are placed.

    A step is yielded again if ``Shares.turn`` let it start only a part of its
    tasks.
    """
    cell.shares.turn = 0
    keyed = sorted(
        ((_ordering.sort_key(cell, step), step) for step in steps),
        key=lambda pair: pair[0],
    )
    teams = {step.job.spec.team for step in steps}
    is_shared = cell.shares.is_weighted and len(teams) > 1
    if not (is_shared and _backlog.update_saturation(cell)):
        for _, step in keyed:
            yield step
        return
    by_rank: dict[float, list[tuple[tuple[float, ...], _state.StepRun]]] = {}
    for key, step in keyed:
        by_rank.setdefault(key[0], []).append((key, step))
    try:
        for group in by_rank.values():
            yield from _Turns(cell, group).run()
    finally:
        cell.shares.turn = 0


class _Turns:
    """Turns of the teams that have waiting steps of one rank."""

    def __init__(
        self,
        cell: _state.Cell,
        keyed: list[tuple[tuple[float, ...], _state.StepRun]],
    ) -> None:
        self._cell = cell
        self._whole = _backlog.whole_capacity(cell)
        self._queue_by_team: dict[
            str, collections.deque[tuple[tuple[float, ...], _state.StepRun]]
        ] = {}
        # Services and fillers are not counted, so they wait for no turn.
        self._exempt = [s for _, s in keyed if _headroom.is_exempt(s)]
        for key, step in keyed:
            if not _headroom.is_exempt(step):
                self._queue_by_team.setdefault(
                    step.job.spec.team, collections.deque()
                ).append((key, step))

    def run(self) -> Iterator[_state.StepRun]:
        """Yield the steps in the order of the turns."""
        yield from self._exempt
        shares = self._cell.shares
        while self._queue_by_team:
            team = self._next_team()
            queue = self._queue_by_team[team]
            step = queue[0][1]
            is_alone = len(self._queue_by_team) == 1
            shares.turn = 0 if is_alone else self._turn(team, step)
            waiting = len(step.pending)
            yield step
            # A step that was not placed as far as its turn went is blocked.
            is_over = waiting - len(step.pending) < shares.turn
            if not step.pending or is_over or not shares.turn:
                queue.popleft()
                if not queue:
                    del self._queue_by_team[team]

    def _next_team(self) -> str:
        """Return the team furthest below its share, or the first in order.

        The first in order counts unless its next task takes it above its
        share.
        """
        queues = self._queue_by_team
        first = min(queues, key=lambda name: queues[name][0][0])
        use_by_team, share_by_team = self._shares()
        of_task = _dominant(self._whole, queues[first][0][1].spec.size)
        if use_by_team[first] + of_task <= share_by_team[first]:
            return first
        # The difference counts, not the ratio: small teams, whose shares are
        # rounded up to whole tasks, would keep a large one from its share.
        neediest = max(
            queues, key=lambda name: share_by_team[name] - use_by_team[name]
        )
        if use_by_team[neediest] < share_by_team[neediest]:
            return neediest
        return first

    def _turn(self, team: str, step: _state.StepRun) -> int:
        """Return how many tasks a team may start before others are asked."""
        use_by_team, share_by_team = self._shares()
        of_task = _dominant(self._whole, step.spec.size)
        left = share_by_team[team] - use_by_team[team]
        return max(1, int(left / of_task)) if of_task > 0 else 1

    def _shares(self) -> tuple[dict[str, float], dict[str, float]]:
        """Return the share in use and the entitlement of the active teams.

        Active teams have running or waiting work. What the others would be
        entitled to is lent to them in proportion to their weights.
        """
        shares = self._cell.shares
        use_by_team = dict.fromkeys(self._queue_by_team, 0.0)
        for name, usage in shares.usage_by_team.items():
            use = _dominant(self._whole, usage)
            if use > 0:
                use_by_team[name] = use
        total = sum(map(shares.weight, use_by_team))
        share_by_team = {
            name: shares.weight(name) / total for name in use_by_team
        }
        return use_by_team, share_by_team


def _dominant(whole: model.Size, used: model.Size | _usage.Usage) -> float:
    """Return the largest share of a resource that is used."""
    return max(
        used.cpu_milli / max(1, whole.cpu_milli),
        used.memory_mb / max(1, whole.memory_mb),
        used.accelerators / max(1, whole.accelerators),
    )
