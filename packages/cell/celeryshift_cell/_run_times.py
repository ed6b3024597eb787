"""Model of run times, learned from completed runs.

The model has two parts. The first one is the distribution of the ratio of run
time to estimate, by queue and image, as on an average worker. The second one
is the speed of each kind of worker and of each worker, relative to the average
kind. Speeds come from medians, so that neither the tail of the run times nor
a minority of false reports moves them.

The model is used only where the speeds of kinds differ, since it would change
the order of starts otherwise.
"""

import math
from typing import Any

from celeryshift_cell import _histograms
from celeryshift_cell import _state
from celeryshift_cell import model

# Learned values are used from this number of samples on.
MIN_SAMPLES = 8
# Ratios beyond this range are not learned from: those of estimates that are
# off by 0.9 of their value and of tails of 7 times the mean lie within it.
MIN_RATIO = 1 / 32
MAX_RATIO = 128.0
# Number of distributions by queue and image, and of kinds.
MAX_KEYS = 160
MAX_KINDS = 40
# A worker adds at most one sample in this time to the speed of its kind, so
# that a worker which reports more runs than others does not outweigh them.
KIND_INTERVAL_S = 1.0
# A worker counts as at most so much faster than its kind, since one that
# reports false ends would otherwise attract all urgent work; and at most so
# much slower.
MAX_LEAD = 2.0
MAX_LAG = 8.0
# Weight of a worker's own samples against those of its kind.
MAX_OWN_SAMPLES = 12
# Time in which the confidence in a speed without new samples halves. A night
# without work must not make the model forget all speeds.
SPEED_HALF_LIFE_S = 14_400.0
# Kinds differ if their speeds do so by this number of standard errors.
SURE_ERRORS = 3.0
# Interval at which the speeds of kinds are updated.
UPDATE_S = 1.0


def is_used(cell: _state.Cell) -> bool:
    """Return whether the speeds of kinds differ, so that the model counts."""
    return cell.run_times.kinds_differ


def expected_ms(cell: _state.Cell, queue: str, spec: model.Step) -> float:
    """Return the expected run time of a task on an average worker."""
    if is_used(cell):
        ratios = _known_ratios(cell, queue, spec)
        if ratios is not None:
            return spec.estimate_ms * ratios.median
    mean_ms = cell.ms_by_image.get(spec.image) if spec.image else None
    return mean_ms if mean_ms is not None else float(spec.estimate_ms)


def quantile_ms(
    cell: _state.Cell, step: _state.StepRun, share: float
) -> float | None:
    """Return a quantile of the run time on an average worker, if known."""
    ratios = ratios_of(cell, step)
    if ratios is None:
        return None
    return step.spec.estimate_ms * ratios.quantile(share)


def ratios_of(
    cell: _state.Cell, step: _state.StepRun
) -> _histograms.Histogram | None:
    """Return the ratios of run time to estimate of a step, if known."""
    return _known_ratios(cell, step.job.spec.queue, step.spec)


def _known_ratios(
    cell: _state.Cell, queue: str, spec: model.Step
) -> _histograms.Histogram | None:
    ratios = cell.run_times.ratios_by_key.get((queue, spec.image))
    if ratios is None or ratios.weight < MIN_SAMPLES:
        return None
    return ratios if spec.estimate_ms > 0 else None


def _key(step: _state.StepRun) -> tuple[str, str]:
    return step.job.spec.queue, step.spec.image


def speed(cell: _state.Cell, worker: _state.Worker) -> float:
    """Return the speed of a worker relative to the average kind."""
    kind_speed = cell.run_times.speed_by_kind.get(worker.entry.kind, 1.0)
    return kind_speed * worker.speed.lead


def learn(cell: _state.Cell, worker: _state.Worker, run: _state.Run) -> None:
    """Learn from a run that has completed."""
    step = run.task.step
    kind = worker.entry.kind
    if not kind or not is_typical(run):
        return
    ratio = (cell.now - run.ordered_at) * 1000 / step.spec.estimate_ms
    if not MIN_RATIO <= ratio <= MAX_RATIO:
        return
    times = cell.run_times
    times.is_dirty = True
    key = _key(step)
    ratios = ratios_of(cell, step)
    if ratios is not None:
        relative = ratio / ratios.centre()
        _learn_speed(cell, worker, min(max(relative, MIN_RATIO), MAX_RATIO))
    histogram = times.ratios_by_key.pop(key, None) or _histograms.Histogram()
    histogram.add(ratio * speed(cell, worker), cell.now)
    # The keys are in the order of their last use.
    times.ratios_by_key[key] = histogram
    if len(times.ratios_by_key) > MAX_KEYS:
        del times.ratios_by_key[next(iter(times.ratios_by_key))]


def is_typical(run: _state.Run) -> bool:
    """Return whether a run tells how long its task takes.

    Runs that were adopted, in doubt, stopped, throttled or resumed don't.
    """
    spec = run.task.step.spec
    return (
        spec.estimate_ms > 0
        and not (spec.is_gang or spec.is_lasting or spec.is_filler)
        and not run.is_resumed
        and run.ordered_at > 0
        and run.since == run.ordered_at
        and not run.pace_changed_at
    )


def _learn_speed(
    cell: _state.Cell, worker: _state.Worker, relative: float
) -> None:
    """Learn the speeds of a worker and its kind.

    The argument is the run time relative to the typical one of its task.
    """
    times = cell.run_times
    kind = worker.entry.kind
    worker.speed.relative_times.add(relative, cell.now)
    if cell.now - worker.speed.kind_sample_at >= KIND_INTERVAL_S:
        worker.speed.kind_sample_at = cell.now
        histogram = times.times_by_kind.pop(kind, None)
        histogram = histogram or _histograms.Histogram()
        histogram.add(relative, cell.now)
        times.times_by_kind[kind] = histogram
        if len(times.times_by_kind) > MAX_KINDS:
            del times.times_by_kind[next(iter(times.times_by_kind))]
    kind_times = times.times_by_kind.get(kind)
    if kind_times is None or kind_times.weight < MIN_SAMPLES:
        return
    own = worker.speed.relative_times
    log_lead = math.log(kind_times.median / own.median)
    weight = min(own.weight, MAX_OWN_SAMPLES)
    log_lead *= weight / (weight + cell.options.kind_samples)
    lead = min(max(math.exp(log_lead), 1 / MAX_LAG), MAX_LEAD)
    worker.speed.lead = lead


def update(cell: _state.Cell) -> None:
    """Update the speeds of the kinds, and whether they differ."""
    times = cell.run_times
    if cell.now < times.update_at:
        return
    times.update_at = cell.now + UPDATE_S
    known = {
        kind: histogram
        for kind, histogram in times.times_by_kind.items()
        if _confidence(cell, histogram) >= MIN_SAMPLES / 2
        and histogram.weight >= MIN_SAMPLES
    }
    log_speeds = {
        kind: -math.log(histogram.median) for kind, histogram in known.items()
    }
    mean = sum(log_speeds.values()) / max(len(log_speeds), 1)
    times.speed_by_kind = {
        kind: math.exp(value - mean) for kind, value in log_speeds.items()
    }
    kinds_differ = False
    if len(known) > 1:
        fast = max(log_speeds, key=lambda kind: log_speeds[kind])
        slow = min(log_speeds, key=lambda kind: log_speeds[kind])
        error = math.hypot(known[fast].log_error(), known[slow].log_error())
        # The margin only delays the decision that kinds differ.
        margin = 0.0 if times.kinds_differ else SURE_ERRORS * error
        kinds_differ = log_speeds[fast] - log_speeds[slow] > (
            math.log(cell.options.similar_factor) + margin
        )
    if kinds_differ != times.kinds_differ:
        times.kinds_differ = kinds_differ
        cell.log_decision(
            'kinds_differ' if kinds_differ else 'kinds_alike',
            speeds={
                kind: round(value, 2)
                for kind, value in times.speed_by_kind.items()
            },
            samples={
                kind: round(histogram.weight)
                for kind, histogram in known.items()
            },
        )


def _confidence(cell: _state.Cell, histogram: _histograms.Histogram) -> float:
    """Return the number of samples, less those that have become old."""
    age_s = max(0.0, cell.now - histogram.updated_at)
    return float(histogram.weight * 0.5 ** (age_s / SPEED_HALF_LIFE_S))


def encode(cell: _state.Cell) -> dict[str, Any]:
    """Return the record of the model, the most recently used keys first."""
    times = cell.run_times
    return {
        'kinds': [
            [kind, round(cell.now - histogram.updated_at), histogram.encode()]
            for kind, histogram in reversed(times.times_by_kind.items())
        ],
        'ratios': [
            [*key, histogram.encode()]
            for key, histogram in reversed(times.ratios_by_key.items())
        ],
    }


def restore(cell: _state.Cell, record: dict[str, Any]) -> None:
    """Restore the model from its record.

    Raise ``ValueError`` or ``TypeError`` if the record is invalid.
    """
    times = model_from(record, cell.now)
    cell.run_times.ratios_by_key = times.ratios_by_key
    cell.run_times.times_by_kind = times.times_by_kind
    cell.run_times.update_at = cell.now
    update(cell)


def model_from(record: dict[str, Any], now: float) -> _histograms.RunTimes:
    """Return the model of a record."""
    times = _histograms.RunTimes()
    for kind, age_s, values in reversed(record.get('kinds', [])[:MAX_KINDS]):
        times.times_by_kind[str(kind)] = _histograms.Histogram.decode(
            values, now - max(0.0, age_s)
        )
    for queue, image, values in reversed(record.get('ratios', [])[:MAX_KEYS]):
        times.ratios_by_key[str(queue), str(image)] = (
            _histograms.Histogram.decode(values, now)
        )
    return times
