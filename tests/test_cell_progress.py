"""Stalled tasks on workers that answer polls."""

import attrs
from tests import cells

from celeryshift_cell import effects
from celeryshift_cell import events


def _report_progress(bench, order, percents, pause_s=0.5):
    """Report the progress of a run repeatedly; return all effects."""
    emitted = []
    for percent in percents:
        bench.now += pause_s
        listed = events.RunStatus(order.task, order.run, '', percent)
        emitted += bench.answer_poll(order.worker_id, (listed,))
    return emitted


def _stop_orders(emitted):
    return [e for e in emitted if isinstance(e, effects.StopRun)]


def _start_run(**fields):
    bench = cells.Bench((cells.entry('a'),))
    step = attrs.evolve(cells.step(), **fields)
    (order,) = bench.accept(cells.job('j', step))
    bench.answer_start(order)
    bench.join(cells.entry('b'))
    return bench, order


def test_a_task_that_stands_still_is_started_elsewhere():
    # Tasks on a worker that answered polls but made no progress delayed their
    # jobs for six seconds, until the fault ended.
    bench, order = _start_run()
    (stop,) = _stop_orders(_report_progress(bench, order, (20, 20, 20)))
    assert stop.worker_id == 'a'
    bench.finish_run(order, cells.model.RunResult.STOPPED)
    (again,) = bench.effects_of(effects.StartRun)
    assert again.worker_id == 'b'


def test_a_copy_is_started_where_it_is_allowed():
    bench, order = _start_run(allows_copies=True)
    emitted = _report_progress(bench, order, (20, 20, 20))
    assert not _stop_orders(emitted)
    (copy,) = [e for e in emitted if isinstance(e, effects.StartRun)]
    assert copy.worker_id == 'b'


def test_a_task_that_goes_on_is_left_alone():
    bench, order = _start_run()
    assert not _stop_orders(_report_progress(bench, order, range(1, 20)))


def test_a_task_that_lasts_is_moved_if_it_never_comes_to_work():
    bench, order = _start_run(is_lasting=True)
    assert not _stop_orders(_report_progress(bench, order, (0,) * 5))
    assert _stop_orders(_report_progress(bench, order, (0,) * 3))


def test_a_task_that_lasts_and_works_is_left_alone():
    bench, order = _start_run(is_lasting=True)
    assert not _stop_orders(_report_progress(bench, order, (100,) * 20))


def test_a_task_is_not_moved_for_ever():
    # The cause of the stall may be the task itself.
    bench, order = _start_run()
    moves = 0
    for _ in range(5):
        stops = _stop_orders(_report_progress(bench, order, (20, 20, 20)))
        if not stops:
            break
        moves += 1
        bench.finish_run(order, cells.model.RunResult.STOPPED)
        while not bench.effects_of(effects.StartRun):
            bench.tick()
        (order,) = bench.effects_of(effects.StartRun)
        bench.answer_start(order)
    assert moves == 2


def test_a_straggler_is_measured_by_the_rest_of_its_step():
    bench = cells.Bench(tuple(cells.entry(n, cores=2) for n in 'ab'))
    step = cells.step(4, allows_copies=True)
    orders = bench.accept(cells.job('j', step))
    for order in orders:
        bench.answer_start(order)
    bench.now += 0.4
    for order in orders[:3]:
        bench.finish_run(order)
    bench.now += 0.6
    # By its estimate of one second alone it would get a copy only after 2.3 s.
    bench.tick()
    (copy,) = bench.effects_of(effects.StartRun)
    assert copy.task == orders[3].task


def test_a_task_of_many_minutes_is_given_time_for_each_percent():
    bench, order = _start_run(estimate_ms=500_000)
    # The task progresses by one percent every five seconds.
    percents = [number // 10 for number in range(100)]
    assert not _stop_orders(_report_progress(bench, order, percents))
