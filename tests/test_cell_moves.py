"""Tasks that are moved or slowed down in favour of others."""

from tests import cells

from celeryshift_cell import effects
from celeryshift_cell import events
from celeryshift_cell import model


def _drain(bench, name, remaining_ms):
    entry = cells.entry(name, is_draining=True, remaining_ms=remaining_ms)
    bench.send(events.WorkersChanged(0.0, (entry,)))


def test_a_lasting_task_leaves_a_worker_before_it_goes():
    bench = cells.Bench((cells.entry('a'),))
    (order,) = bench.accept(cells.job('1', cells.step(is_lasting=True)))
    bench.answer_start(order)
    bench.join(cells.entry('b'))
    _drain(bench, 'a', 3000)
    bench.tick(1.0)
    assert not bench.effects_of(effects.StopRun)
    bench.tick(1.0)
    (stop,) = bench.effects_of(effects.StopRun)
    assert stop.worker_id == 'a'
    bench.tick()
    bench.finish_run(order, model.RunResult.STOPPED)
    (again,) = bench.effects_of(effects.StartRun)
    assert again.worker_id == 'b'


def test_a_task_that_ends_in_time_stays_on_a_worker_that_leaves():
    bench = cells.Bench((cells.entry('a'),))
    (order,) = bench.accept(cells.job('1'))
    bench.answer_start(order)
    _drain(bench, 'a', 6000)
    for _ in range(9):
        bench.tick()
        assert not bench.effects_of(effects.StopRun)


def test_nothing_starts_on_a_worker_that_leaves():
    bench = cells.Bench((cells.entry('a'),))
    _drain(bench, 'a', 9000)
    assert not bench.accept(cells.job('1'))


def _start_serving_and_filler(may_miss=1):
    """Start a serving task and a filler on one worker."""
    bench = cells.Bench((cells.entry('a'),))
    serving, filler = bench.accept(
        cells.job('1', cells.step(is_lasting=True, target_ms=100)),
        cells.job(
            '2',
            cells.step(is_lasting=True, is_filler=True, may_miss=may_miss),
        ),
    )
    bench.answer_start(serving)
    bench.answer_start(filler)
    return bench, serving, filler


def _report(bench, serving, filler, tail_ms):
    """Report a tail latency; return the resulting changes of the pace."""
    bench.tick(0.4)
    bench.answer_poll(
        'a',
        (
            events.RunStatus(serving.task, serving.run, '', 100, tail_ms),
            events.RunStatus(filler.task, filler.run, '', 100, 500),
        ),
    )
    return bench.effects_of(effects.SetPace)


def test_a_filler_is_slowed_until_the_serving_task_is_well():
    bench, serving, filler = _start_serving_and_filler()
    (pace,) = _report(bench, serving, filler, 90)
    assert (pace.task, pace.percent) == (filler.task, 50)
    percents = []
    for _ in range(4):
        percents += [p.percent for p in _report(bench, serving, filler, 120)]
    assert percents == [25, 12, 0]
    (pace,) = _report(bench, serving, filler, 20)
    assert pace.percent > 0


def test_a_filler_at_a_standstill_is_moved():
    bench, serving, filler = _start_serving_and_filler()
    bench.join(cells.entry('b'))
    for _ in range(4):
        _report(bench, serving, filler, 120)
    stops = []
    # 22 ticks of 0.1 s take longer than ``Options.filler_stall_s``, 2 s.
    for _ in range(22):
        bench.tick()
        stops += bench.effects_of(effects.StopRun)
    (stop,) = stops
    assert stop.task == filler.task


def test_a_filler_that_may_not_be_away_stays():
    bench, serving, filler = _start_serving_and_filler(may_miss=0)
    for _ in range(4):
        _report(bench, serving, filler, 120)
    for _ in range(30):
        bench.tick()
        assert not bench.effects_of(effects.StopRun)
