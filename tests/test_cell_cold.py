"""Cold workers: urgent work avoids them, and other work fills a share."""

import json

import pytest
from tests import cells
from tests import test_cell_malformed as malformed

from celeryshift_cell import effects
from celeryshift_cell import events

COLD = cells.entry('cold', 8, cold_remaining_ms=8000)


@pytest.mark.parametrize('is_gang', [False, True])
def test_urgent_work_takes_cold_workers_only_without_warm_capacity(is_gang):
    bench = cells.Bench((COLD, cells.entry('warm', 8)))
    for number, name in enumerate(('warm', 'cold')):
        step = cells.step(4, 2, is_gang=is_gang)
        starts = bench.accept(cells.job(f'{number}', step))
        assert {start.worker_id for start in starts} == {name}


@pytest.mark.parametrize('is_gang', [False, True])
def test_other_work_fills_a_share_that_grows_until_the_worker_is_warm(is_gang):
    bench = cells.Bench((COLD,))
    steps = [cells.step(2, is_gang=is_gang) for _ in range(4)]
    starts = bench.accept(cells.job('1', *steps, queue='weekly'))
    assert len(starts) == 2
    for second in range(1, 9):
        bench.tick(1.0)
        starts += bench.effects_of(effects.StartRun)
        assert len(starts) <= 2 + 0.75 * second
        # The same entry, read again, makes the worker cold for no longer.
        bench.send(events.WorkersChanged(0.0, (COLD,)))
        runs = bench.state.workers['cold'].runs
        status = (events.RunStatus(*run, '', second) for run in runs)
        bench.answer_poll('cold', tuple(status))
        starts += bench.effects_of(effects.StartRun)
    assert len(starts) == 8


def test_run_times_of_cold_workers_train_nothing():
    bench = cells.Bench((COLD,))
    for pause_s, samples in ((1.0, 0), (9.0, 1)):
        bench.tick(pause_s)
        (start,) = bench.accept(cells.job(f'{samples}'))
        bench.answer_start(start)
        bench.finish_run(start)
        assert bench.state.run_time_ratio.count == samples


@pytest.mark.parametrize('value', [0, -1, True, '9', None, [9]])
def test_a_malformed_cold_time_counts_as_warm(value):
    entry = malformed.ENTRY | {'cold_remaining_ms': value}
    raw = json.dumps(entry).encode()
    assert malformed._decoder()[0].worker('i', raw).cold_remaining_ms == 0
