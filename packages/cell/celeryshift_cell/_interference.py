"""Learns which images slow down others on the same worker.

For each image, the logarithm of a measured slowdown is explained by the images
that ran on the same worker: for a serving task the ratio of its tail latency
to its target, for others the ratio of the run time to what the model of
``_run_times`` expects. This is a regression with one coefficient for each
ordered pair of images and one for the image alone. An image that is often seen
beside a disturbing one is told apart from it where only one of both runs.

The uncertainty of each coefficient is tracked by itself (a Kalman filter with
a diagonal covariance) and grows with time, since amounts change within
seconds. A pair whose confidence has decayed has no effect on placement, so
that it is tried again.
"""

import math
from typing import Any

from celeryshift_cell import _fillers
from celeryshift_cell import _histograms
from celeryshift_cell import _run_times
from celeryshift_cell import _state

Pair = _histograms.Pair
Key = tuple[str, str]

# Time in which the confidence in a pair halves.
HALF_LIFE_S = 20.0
MAX_PAIRS = 256
# Variance of a coefficient of which nothing is known: a slowdown by a factor
# of three or more is plausible. Variance of a single measurement, which is off
# by a third.
PRIOR = 1.0
NOISE = 0.1
# A pair counts from this confidence and this slowdown on, and until it falls
# below the lower ones. A slowdown by a quarter takes half of what an objective
# of 1.5 times the critical path leaves.
FOUND_CONFIDENCE = 0.7
FOUND_RATIO = 1.25
GONE_CONFIDENCE = 0.4
GONE_RATIO = 1.1
# Ratios beyond these bounds are clamped, so that a false report counts as one
# bad measurement.
MAX_RATIO = 8.0
# Interval at which pairs are examined, and maximum number of lines each time.
UPDATE_S = 1.0
MAX_LINES = 8
# Steps of the penalty: slowdowns that differ by less are equal.
PENALTY_STEP = math.log(FOUND_RATIO)


def learn_latencies(cell: _state.Cell, worker: _state.Worker) -> None:
    """Learn from the tail latencies that a worker reports."""
    if not cell.options.learn_interference:
        return
    for run in worker.runs.values():
        spec = run.task.step.spec
        is_serving = (
            bool(spec.image and spec.target_ms and run.load > 0)
            and run.phase is _state.Phase.RUNNING
            and run.percent >= _fillers.READY_PERCENT
        )
        if is_serving:
            _learn(cell, run, run.load / spec.target_ms)


def learn_run_time(cell: _state.Cell, run: _state.Run) -> None:
    """Learn from the run time of a completed run that reported its load."""
    step = run.task.step
    spec = step.spec
    if not (cell.options.learn_interference and spec.image and run.load > 0):
        return
    expected_ms = _run_times.quantile_ms(cell, step, 0.5)
    if spec.target_ms or not expected_ms or not _run_times.is_typical(run):
        return
    run_ms = (cell.now - run.ordered_at) * 1000
    run_ms *= _run_times.speed(cell, run.worker)
    _learn(cell, run, run_ms / expected_ms)


def _learn(cell: _state.Cell, run: _state.Run, ratio: float) -> None:
    if not ratio > 0:
        return
    value = math.log(min(max(ratio, 1 / MAX_RATIO), MAX_RATIO))
    image = run.task.step.spec.image
    # The empty image stands for the image alone.
    keys = [(image, ''), *((image, other) for other in _beside(cell, run))]
    pairs = [_current(cell, key) for key in keys]
    error = value - sum(pair.mean for pair in pairs)
    total = NOISE + sum(pair.variance for pair in pairs)
    for key, pair in zip(keys, pairs, strict=True):
        gain = pair.variance / total
        pair.mean += gain * error
        pair.variance *= 1 - gain
        pair.at = cell.now
        cell.run_times.interference.pairs[key] = pair
    _evict(cell)
    cell.run_times.is_dirty = True


def _beside(cell: _state.Cell, run: _state.Run) -> list[str]:
    """Return the images that ran beside a run for half of its time or more.

    Tasks that serve report a latency of the last moments, for which all count
    that run now.
    """
    images = set()
    is_serving = bool(run.task.step.spec.target_ms)
    halfway = (run.ordered_at + cell.now) / 2
    for other in run.worker.runs.values():
        image = other.task.step.spec.image
        if other is run or not image:
            continue
        if other.phase is not _state.Phase.RUNNING or not other.pace:
            continue
        if is_serving or other.confirmed_at <= halfway:
            images.add(image)
    return sorted(images)


def _current(cell: _state.Cell, key: Key) -> Pair:
    """Return a pair with its uncertainty as of now."""
    pair = cell.run_times.interference.pairs.get(key)
    if pair is None:
        return Pair(0.0, PRIOR, cell.now)
    return Pair(pair.mean, PRIOR * (1 - confidence(cell, pair)), pair.at)


def confidence(cell: _state.Cell, pair: Pair) -> float:
    """Return the confidence in a pair, from 0 to 1."""
    age_s = max(0.0, cell.now - pair.at)
    decay = 0.5 ** (age_s / HALF_LIFE_S)
    return float((1 - pair.variance / PRIOR) * decay)


def _evict(cell: _state.Cell) -> None:
    """Remove the pairs with the least confidence beyond the maximum."""
    pairs = cell.run_times.interference.pairs
    while len(pairs) > MAX_PAIRS:
        least = min(pairs, key=lambda key: confidence(cell, pairs[key]))
        del pairs[least]


def update(cell: _state.Cell) -> None:
    """Update which pairs count, once in a while, and log the changes."""
    state = cell.run_times.interference
    if cell.now < state.update_at:
        return
    state.update_at = cell.now + UPDATE_S
    found: dict[Key, float] = {}
    for key, pair in state.pairs.items():
        known = key in state.found
        sure = GONE_CONFIDENCE if known else FOUND_CONFIDENCE
        bound = GONE_RATIO if known else FOUND_RATIO
        is_found = pair.mean >= math.log(bound)
        if key[1] and is_found and confidence(cell, pair) >= sure:
            found[key] = pair.mean
    changed = sorted(found.keys() ^ state.found.keys())
    for key in changed[:MAX_LINES]:
        pair = state.pairs.get(key, Pair(0.0, PRIOR, cell.now))
        cell.log_decision(
            'interference_found' if key in found else 'interference_gone',
            disturbed=key[0],
            disturbing=key[1],
            ratio=round(math.exp(pair.mean), 2),
            confidence=round(confidence(cell, pair), 2),
            changes=len(changed),
        )
    state.found = found
    state.images = {image for key in found for image in key}


def penalty(
    cell: _state.Cell, step: _state.StepRun, worker: _state.Worker
) -> float:
    """Return by how much a task and those on a worker slow each other down.

    The unit is a slowdown that counts; smaller ones make no difference.
    """
    state = cell.run_times.interference
    image = step.spec.image
    if image not in state.images:
        return 0.0
    others = {run.task.step.spec.image for run in worker.runs.values()}
    total = sum(
        state.found.get((image, other), 0.0)
        + (state.found.get((other, image), 0.0) if other != image else 0.0)
        for other in others
    )
    return total // PENALTY_STEP


def encode(cell: _state.Cell) -> list[Any]:
    """Return the record of the pairs, the most certain ones first."""
    pairs = sorted(
        (
            (confidence(cell, pair), *key, pair.mean)
            for key, pair in cell.run_times.interference.pairs.items()
        ),
        reverse=True,
    )
    return [
        [disturbed, disturbing, round(mean, 3), round(sure, 3)]
        for sure, disturbed, disturbing, mean in pairs
    ]


def restore(cell: _state.Cell, record: list[Any]) -> None:
    """Restore the pairs from their record.

    Raise ``ValueError`` or ``TypeError`` if the record is invalid.
    """
    if not cell.options.learn_interference:
        return
    pairs: dict[Key, Pair] = {}
    for disturbed, disturbing, mean, sure in record[:MAX_PAIRS]:
        if not (abs(mean) <= 2 * math.log(MAX_RATIO) and 0 <= sure <= 1):
            raise ValueError(f'pair with {mean} at {sure}')
        key = str(disturbed), str(disturbing)
        pairs[key] = Pair(mean, PRIOR * (1 - sure), cell.now)
    cell.run_times.interference.pairs = pairs
