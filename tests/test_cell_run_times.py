"""Model of run times that the owner learns from completed runs."""

import json
import random

import attrs
import pytest
from tests import cells

from celeryshift_cell import _histograms
from celeryshift_cell import _jobs
from celeryshift_cell import _run_times
from celeryshift_cell import effects
from celeryshift_cell import events
from celeryshift_cell import model


def run(bench, run_ms, **fields):
    """Run a job of one task and let it end after a time."""
    described = cells.job(f'j{bench.version:06d}x', cells.step(1, **fields))
    (order,) = bench.accept(described)
    bench.answer_start(order)
    bench.now += run_ms / 1000
    bench.finish_run(order)
    bench.now += 1.0
    return order


def _bench(**kinds):
    entries = tuple(
        cells.entry(name, kind=kind) for name, kind in kinds.items()
    )
    bench = cells.Bench(entries)
    # At 0, runs count as not ordered.
    bench.now = 1.0
    return bench


def _drain(bench, name, is_draining=True):
    entry = attrs.evolve(
        bench.state.workers[name].entry, is_draining=is_draining
    )
    bench.send(events.WorkersChanged(0.0, (entry,)))


def _teach(bench, run_ms_by_worker, rounds=20, **fields):
    """Run tasks on each worker in turn, which take as long as told."""
    for _ in range(rounds):
        for name, run_ms in run_ms_by_worker.items():
            for other in bench.state.workers:
                _drain(bench, other, other != name)
            bench.tick()
            assert run(bench, run_ms, **fields).worker_id == name
    for name in bench.state.workers:
        _drain(bench, name, False)
    bench.tick()


def _speeds(bench):
    state = bench.state
    return {
        name: _run_times.speed(state, worker)
        for name, worker in state.workers.items()
    }


def _expected_ms(bench, **fields):
    described = cells.job(f'p{bench.version:06d}x', cells.step(1, **fields))
    bench.accept(described)
    step = bench.state.jobs[described.id].steps[0, 0]
    return _jobs.expected_ms(bench.state, step)


def test_speeds_of_kinds_are_learned_despite_a_tail():
    # Means mistook the kind with more runs in the tail for the slow one.
    bench = _bench(a='old', b='new')
    for number in range(30):
        is_tail = number % 5 == 4
        _teach(bench, {'a': 1430, 'b': 590 * (7 if is_tail else 1)}, 1)
    speeds = _speeds(bench)
    assert speeds['b'] / speeds['a'] == pytest.approx(1430 / 590, rel=0.1)
    assert bench.state.run_times.kinds_differ


def test_kinds_that_are_alike_keep_the_current_model():
    # Noise of the run times must not change the order of starts.
    bench = _bench(a='old', b='new')
    for number in range(60):
        noise = 0.4 + 0.3 * (number * 7 % 5)
        _teach(bench, {'a': 1000 * noise, 'b': 1000 * (2 - noise)}, 1)
        assert not bench.state.run_times.kinds_differ
    assert _expected_ms(bench) == 1000


def test_few_samples_change_nothing():
    bench = _bench(a='old', b='new')
    _teach(bench, {'a': 1430, 'b': 590}, _run_times.MIN_SAMPLES // 2)
    assert _speeds(bench) == {'a': 1.0, 'b': 1.0}
    assert _expected_ms(bench) == 1000


@pytest.mark.parametrize('run_ms', [0, 1, 7_200_000])
def test_impossible_run_times_do_not_distort_the_model(run_ms):
    # A worker that answers at once, or a clock of the owner that was held,
    # would count as very fast or slow.
    bench = _bench(a='old', b='new')
    _teach(bench, {'a': 1430, 'b': 590})
    before = _expected_ms(bench)
    _teach(bench, {'a': run_ms, 'b': 590}, 3)
    speeds = _speeds(bench)
    assert speeds['b'] / speeds['a'] == pytest.approx(1430 / 590, rel=0.1)
    assert _expected_ms(bench) == pytest.approx(before, rel=0.1)


def test_a_run_that_ends_before_it_began_is_ignored():
    bench = _bench(a='old')
    order = bench.accept(cells.job('1'))[0]
    bench.answer_start(order)
    tracked = bench.state.workers['a'].runs[order.task, order.run]
    tracked.since = tracked.ordered_at = bench.now + 5
    bench.finish_run(order)
    assert not bench.state.run_times.ratios_by_key


def test_resumed_and_throttled_runs_are_not_learned_from():
    bench = _bench(a='old')
    for name in ('is_resumed', 'pace_changed_at'):
        (order,) = bench.accept(cells.job(name[:3]))
        bench.answer_start(order)
        tracked = bench.state.workers['a'].runs[order.task, order.run]
        setattr(tracked, name, 1)
        bench.now += 1
        bench.finish_run(order)
    assert not bench.state.run_times.ratios_by_key


def test_a_new_kind_and_an_unknown_one_count_as_average():
    bench = _bench(a='old', b='new', c='newest', d='')
    _teach(bench, {'a': 1430, 'b': 590, 'd': 200})
    speeds = _speeds(bench)
    assert speeds['c'] == speeds['d'] == 1.0


def test_a_worker_that_lies_neither_moves_its_kind_nor_leads_it_far():
    # One that reports each run as ended at once attracted all urgent work.
    bench = _bench(a='old', a2='old', a3='old', b='new')
    honest = {'a': 1430, 'a2': 1430, 'b': 590}
    _teach(bench, {**honest, 'a3': 100}, 30)
    speeds = _speeds(bench)
    assert speeds['b'] / speeds['a'] == pytest.approx(1430 / 590, rel=0.15)
    kind_speed = bench.state.run_times.speed_by_kind['old']
    assert speeds['a3'] <= _run_times.MAX_LEAD * kind_speed * 1.001


def test_the_model_is_bounded():
    bench = _bench(a='old')
    for number in range(_run_times.MAX_KEYS + 20):
        run(bench, 1000, image=f'image-{number}')
    keys = bench.state.run_times.ratios_by_key
    assert len(keys) == _run_times.MAX_KEYS
    assert ('field', 'image-0') not in keys


def test_learned_times_apply_on_deployments_whose_kinds_differ():
    bench = _bench(a='old', b='new')
    _teach(bench, {'a': 2860, 'b': 1180}, image='slow')
    # Twice the estimate; the scale is the mean of both kinds.
    expected_ms = _expected_ms(bench, image='slow')
    assert expected_ms == pytest.approx((2860 * 1180) ** 0.5, rel=0.15)
    assert _expected_ms(bench, image='other') == 1000


def test_the_model_outlives_its_owner():
    # A new owner learned from nothing, and placed urgent work on slow workers
    # meanwhile.
    bench = _bench(a='old', b='new')
    _teach(bench, {'a': 1430, 'b': 590})
    record = _run_times.encode(bench.state)
    decoded = json.loads(json.dumps(record))
    successor = _bench(a='old', b='new')
    _run_times.restore(successor.state, decoded)
    speeds = _speeds(successor)
    assert speeds['b'] / speeds['a'] == pytest.approx(1430 / 590, rel=0.1)
    assert successor.state.run_times.kinds_differ


def test_a_job_of_an_unknown_queue_is_expected_to_take_its_estimate():
    bench = _bench(a='old')
    described = attrs.evolve(cells.job('1'), queue='unknown')
    bench.accept(described)
    step = bench.state.jobs[described.id].steps[0, 0]
    assert _jobs.expected_ms(bench.state, step) == 1000
    assert _run_times.quantile_ms(bench.state, step, 0.9) is None
    assert isinstance(step.spec, model.Step)


def _learned_rows(emitted):
    return [
        effect.learned
        for effect in emitted
        if isinstance(effect, effects.SaveRecords) and effect.learned
    ]


def test_the_model_is_stored_at_most_every_few_seconds_and_if_changed():
    # Each completion would otherwise rewrite a row of 16 KB.
    bench = _bench(a='old')
    rows = []
    for number in range(100):
        if number < 20:
            (order,) = bench.accept(cells.job(f'j{number}x'))
            rows += _learned_rows(bench.answer_start(order))
            bench.now += 0.1
            rows += _learned_rows(bench.finish_run(order))
        rows += _learned_rows(bench.tick())
        rows += _learned_rows(bench.store_records())
    assert 1 <= len(rows) <= 3


def test_the_stored_row_is_bounded():
    # A row beyond the limit of the store would be rejected for ever.
    bench = _bench(a='old')
    random_ = random.Random(1)
    times = bench.state.run_times
    for number in range(_run_times.MAX_KEYS):
        histogram = _histograms.Histogram()
        for _ in range(200):
            histogram.add(2 ** random_.uniform(-5, 7), 0.0)
        times.ratios_by_key['a queue', f'an image {number}'] = histogram
    times.is_dirty = True
    (row,) = _learned_rows(bench.tick())
    assert len(row) <= 16_000
    kept = json.loads(row)['ratios']
    assert kept[0][1] == f'an image {_run_times.MAX_KEYS - 1}'
    assert len(kept) > 10


@pytest.mark.parametrize(
    'row',
    [
        '{',
        '[]',
        '{"kinds": [["old", 0, [1]]]}',
        '{"kinds": [["old", "x", [1, 1]]]}',
        '{"ratios": [["q", "i", [1e9, 1]]]}',
        '{"ratios": [["q", "i", [NaN, 1]]]}',
        '{"ratios": 7}',
    ],
)
def test_a_row_that_cannot_be_read_is_ignored(row):
    # It must not keep the new owner from its work.
    bench = _bench(a='old')
    bench.send(events.Restored(0.0, 0, (), {}, (), (), 0.0, 0, learned=row))
    decisions = [
        effect.decision for effect in bench.effects_of(effects.LogDecision)
    ]
    assert 'learned_unreadable' in decisions
    assert not bench.state.run_times.ratios_by_key
    assert bench.accept(cells.job('1'))


def test_a_row_that_the_store_rejects_delays_nothing_else():
    # Saves were halved until a record of a job was taken for the cause.
    bench = _bench(a='old')
    run(bench, 1000)
    bench.store_records()
    run(bench, 1000)
    bench.now += 10
    saved = bench.tick() + bench.store_records()
    assert _learned_rows(saved)
    retried = bench.send(events.RecordsFailed(0.0, is_rejected=True))
    assert not bench.state.rejected_jobs
    assert bench.state.max_saved == effects.MAX_SAVE_ENTRIES
    assert not _learned_rows(retried + bench.tick(20.0))
