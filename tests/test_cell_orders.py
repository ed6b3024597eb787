"""Orders that the owner can follow, and silences that are its own."""

from tests import cells

import celeryshift_cell as cell
from celeryshift_cell import _order_window
from celeryshift_cell import effects
from celeryshift_cell import events
from celeryshift_cell import model

Outcome = events.Outcome
WORKERS = tuple(cells.entry(f'w{n}', cores=100) for n in range(10))
LATE_S = 0.5
JOB = cells.job('a').id


def _weak_owner():
    return cells.Bench(WORKERS, options=cell.Options(cores=0.12))


def test_a_weak_owner_does_not_order_all_starts_at_once():
    bench = _weak_owner()
    orders = bench.accept(cells.job('a', cells.step(60)))
    assert len(orders) == bench.state.window.in_flight == 9
    waiting = bench.state.waiting[f'{JOB}.0.0']
    assert len(waiting.pending) == 51
    # What is not ordered holds no capacity and is in no doubt.
    assert sum(len(w.runs) for w in bench.state.workers.values()) == 9
    answered = 0
    while answered < len(orders):
        bench.answer_start(orders[answered])
        orders += bench.effects_of(effects.StartRun)
        answered += 1
    assert len(orders) == 60
    assert not bench.state.window.in_flight


def test_urgent_work_gets_the_window_first():
    bench = _weak_owner()
    bench.accept(cells.job('a', cells.step(60), queue=cells.LEAST_URGENT.name))
    orders = bench.accept(
        cells.job('b', cells.step(5), queue=cells.QUEUE.name)
    )
    assert not orders
    (first, *_) = bench.state.window.sent_at_by_run
    bench.send(
        events.StartAnswered(bench.now, 'w0', 1, *first, Outcome.DONE, None)
    )
    assert bench.effects_of(effects.StartRun)[0].task.startswith('b')


def test_late_answers_shrink_the_window_and_faults_of_few_workers_do_not():
    window = _order_window.OrderWindow(256, 64.0)
    for number in range(64):
        window.add('a', number, 0.0)
        window.remove('a', number, LATE_S, is_unknown=number % 3 == 0)
    assert window.size < 64
    window = _order_window.OrderWindow(256, 64.0)
    for number in range(64):
        window.add('a', number, 0.0)
        window.remove('a', number, 0.01, is_unknown=number % 3 == 0)
    assert window.size == 64
    for number in range(600):
        window.add('a', number, 0.0)
        if number >= 40:
            window.remove('a', number, 0.01, is_unknown=False)
    assert window.size > 64


def test_answers_that_were_lost_leave_the_window():
    window = _order_window.OrderWindow(256, 8.0)
    for number in range(8):
        window.add('a', number, float(number))
    window.expire(5.5)
    assert window.in_flight == 4
    window.discard('a', 4)
    assert window.in_flight == 3


def _fail_polls(bench, lag_s, count):
    for _ in range(count):
        bench.send(events.Ticked(bench.now, 0, lag_s))
        bench.send(events.PollFailed(bench.now, 'w0', 1, Outcome.UNKNOWN))
    return bench.state.workers['w0'].is_silent


def test_a_silence_that_the_owners_lag_explains_is_not_a_workers():
    assert _fail_polls(_weak_owner(), 0.0, 2)
    assert not _fail_polls(_weak_owner(), LATE_S, 3)
    # The worker may be lost all the same.
    assert _fail_polls(_weak_owner(), LATE_S, 4)


def test_an_end_whose_task_started_again_is_not_acknowledged():
    """The end of a run that was dropped while its worker heard polls."""
    bench = cells.Bench(WORKERS[:2])
    (order,) = bench.accept(cells.job('a', cells.step(1)))
    bench.answer_start(order)
    worker = bench.state.workers[order.worker_id]
    for _ in range(2):
        bench.send(events.PollFailed(bench.now, worker.id, 1, Outcome.UNKNOWN))
    bench.tick(5.0)
    (again,) = bench.effects_of(effects.StartRun)
    assert again.worker_id != order.worker_id
    end = events.RunCompletion(
        1, order.task, order.run, model.RunResult.DONE, ''
    )
    bench.send(
        events.PollAnswered(
            bench.now, bench.now, worker.id, 1, 1, 5000, (), (end,)
        )
    )
    assert worker.last_completion == 1
    assert worker.storable_completion == 0
    lapsed = events.RunCompletion(
        2, 'a.0.0.9', 1, model.RunResult.LEASE_EXPIRED, ''
    )
    bench.send(
        events.PollAnswered(
            bench.now, bench.now, worker.id, 1, 1, 6000, (), (lapsed,)
        )
    )
    assert worker.storable_completion == 2


def test_the_rate_of_starts_is_known_only_while_the_window_is_full():
    """Guards against a rate of an owner that has little to do."""
    window = _order_window.OrderWindow(256, 8.0)
    for tick in range(40):
        for number in range(2):
            window.add('a', 2 * tick + number, tick / 10)
            window.remove('a', 2 * tick + number, tick / 10, False)
        assert window.start_rate(tick / 10) == 0.0
    for number in range(8):
        window.add('b', number, 4.0)
    for tick in range(40, 80):
        for number in range(2):
            window.remove('b', 2 * tick - 80 + number, tick / 10, False)
            window.add('b', 2 * tick - 72 + number, tick / 10)
        rate = window.start_rate(tick / 10)
    assert 18 < rate < 23


def test_a_worker_that_may_have_restarted_acknowledges_nothing():
    """The next incarnation would discard ends that were never listed."""
    bench = cells.Bench(WORKERS[:1])
    (order,) = bench.accept(cells.job('a', cells.step(1)))
    bench.answer_start(order)
    bench.finish_run(order)
    while bench.state.save_in_flight:
        bench.store_records()
    worker = bench.state.workers[order.worker_id]
    assert worker.last_stored_completion == 1
    bench.send(
        events.StartAnswered(
            0.0, worker.id, 1, *_start_again(bench), Outcome.UNKNOWN
        )
    )
    (probe,) = bench.effects_of(effects.PollWorker)
    assert probe.stored_completion == 0
    emitted = bench.answer_poll(worker.id) + bench.tick(2.0)
    polls = [e for e in emitted if isinstance(e, effects.PollWorker)]
    assert {poll.stored_completion for poll in polls} == {1}


def _start_again(bench):
    (order,) = bench.accept(cells.job('b', cells.step(1)))
    return order.task, order.run
