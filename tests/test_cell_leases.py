"""Leases of workers, by clocks of their own that may run slow."""

import attrs
import pytest
from tests import cells

from celeryshift_cell import effects
from celeryshift_cell import events
from celeryshift_cell import model

Outcome = events.Outcome
# Rate of the slowest clock that the platform allows.
SLOW_RATE = 0.98
TICK_S = 0.1
SHORT_TICK_S = 0.01
# Longest lease that a worker grants.
MAX_HOLD_MS = 6000
# Shortest lease on a clock that is not slow.
MIN_LEASE_MS = 3000
# Time without a response after which a lease would be over at once.
LONG_S = 300.0


def _bench(rate):
    bench = cells.Bench()
    bench.clock_rates['a'] = rate
    bench.join(cells.entry('a'))
    return bench


def _idle(bench, seconds):
    """Let a worker idle for a while; return the number of polls."""
    polls = 0
    until = bench.now + seconds
    while bench.now < until - TICK_S / 2:
        bench.tick(TICK_S)
        for poll in bench.effects_of(effects.PollWorker):
            polls += 1
            bench.answer_poll(poll.worker_id)
    return polls


def _silence_until_start(bench, worker):
    """Fail the polls of a worker until a task starts elsewhere.

    Returns the latest lease that these polls may have granted, as a time on
    the worker's clock.
    """
    lease_until_ms = 0.0
    while True:
        bench.tick(SHORT_TICK_S)
        polls = bench.effects_of(effects.PollWorker)
        if bench.effects_of(effects.StartRun):
            return lease_until_ms
        while polls:
            poll = polls.pop()
            if poll.worker_id != worker:
                bench.answer_poll(poll.worker_id)
                continue
            if poll.deadline_ms is not None:
                granted_ms = _granted_ms(bench, poll)
                lease_until_ms = max(lease_until_ms, granted_ms)
            bench.send(events.PollFailed(0.0, worker, 1, Outcome.UNKNOWN))
            polls += bench.effects_of(effects.PollWorker)


def _granted_ms(bench, order):
    """Return the end of the lease that a worker grants now for an order."""
    longest_ms = bench.clock_ms(order.worker_id) + MAX_HOLD_MS
    return min(order.deadline_ms, longest_ms)


@pytest.mark.parametrize('idle_s', [1, 5, 10, 30, 120, 600])
def test_a_task_starts_elsewhere_before_the_lease_ends_on_a_slow_clock(idle_s):
    bench = _bench(SLOW_RATE)
    _idle(bench, idle_s)
    (order,) = bench.accept(cells.job('j', cells.step(is_lasting=True)))
    lease_until_ms = _granted_ms(bench, order)
    bench.answer_start(order)
    bench.join(cells.entry('b'))
    lease_until_ms = max(lease_until_ms, _silence_until_start(bench, 'a'))
    assert bench.clock_ms('a') > lease_until_ms


@pytest.mark.parametrize('rate', [SLOW_RATE, 1.0])
def test_the_first_start_of_a_worker_that_idled_is_not_late(rate):
    bench = _bench(rate)
    polls = _idle(bench, 600)
    (order,) = bench.accept(cells.job('j'))
    assert order.deadline_ms - bench.clock_ms('a') > MIN_LEASE_MS
    # Polls of idle workers are priced.
    assert polls <= 20


def test_idle_workers_are_not_polled_all_at_once():
    entries = tuple(cells.entry(f'w{number}') for number in range(200))
    bench = cells.Bench(entries)
    polls_by_tick = []
    while bench.now < 60:
        bench.tick(TICK_S)
        polls = bench.effects_of(effects.PollWorker)
        polls_by_tick.append(len(polls))
        for poll in polls:
            bench.answer_poll(poll.worker_id)
    assert sum(polls_by_tick) >= len(entries)
    assert max(polls_by_tick) <= 2


@pytest.mark.parametrize('outcome', [Outcome.DONE, Outcome.DEADLINE_PASSED])
def test_the_answer_to_a_start_renews_the_reading_of_the_clock(outcome):
    bench = _bench(1.0)
    bench.now = LONG_S
    (order,) = bench.accept(cells.job('j'))
    assert order.deadline_ms < bench.clock_ms('a')
    bench.answer_start(order, outcome)
    bench.now += 1
    (again,) = bench.accept(cells.job('k'))
    assert again.deadline_ms - bench.clock_ms('a') > MIN_LEASE_MS


@pytest.mark.parametrize(
    'event',
    [
        events.StopAnswered(0.0, 'a', 1, 'x', 1, Outcome.DONE, 500_000),
        events.PollFailed(0.0, 'a', 1, Outcome.REFUSED, 500_000),
    ],
)
def test_other_answers_renew_the_reading_of_the_clock(event):
    bench = _bench(1.0)
    bench.now = LONG_S
    bench.send(event)
    assert bench.state.workers['a'].min_clock_ms == event.clock_ms


@pytest.mark.parametrize(
    ('incarnation', 'outcome'),
    [(1, Outcome.OTHER_INCARNATION), (2, Outcome.DONE)],
)
def test_the_clock_of_another_incarnation_is_ignored(incarnation, outcome):
    bench = _bench(1.0)
    bench.now = 1.0
    bench.send(
        events.StopAnswered(0.0, 'a', incarnation, 'x', 1, outcome, 500_000)
    )
    assert bench.state.workers['a'].min_clock_ms < 500_000


def test_a_delayed_answer_does_not_shorten_the_lease():
    bench = _bench(1.0)
    bench.now = 10.0
    bench.answer_poll('a')
    bench.now = 11.0
    bench.send(events.PollAnswered(0.0, 8.0, 'a', 1, 1, 8000, (), ()))
    (order,) = bench.accept(cells.job('j'))
    assert order.deadline_ms - bench.clock_ms('a') > MIN_LEASE_MS


def test_runs_found_at_a_takeover_start_elsewhere_before_their_lease_ends():
    # A data centre was cut off before the new owner had extended the lease.
    bench = cells.Bench(epoch=2)
    job = cells.job('1', cells.step(3))
    bench.restore(job, silent='a')
    entries = tuple(
        attrs.evolve(cells.entry(name, cores=2), data_centre=data_centre)
        for name, data_centre in (('a', 'x'), ('b', 'x'), ('c', 'y'))
    )
    bench.send(events.WorkersChanged(0.0, entries))
    names = [f'{job.id}.0.0.{index}' for index in range(3)]
    running = tuple(events.RunStatus(name, 1, '', 10) for name in names[:2])
    ended = events.RunCompletion(1, names[2], 1, model.RunResult.FAILED, '')
    bench.answer_poll('b')
    bench.answer_poll('a', running, (ended,))
    bench.answer_poll('c')
    starts = []
    while bench.now < bench.state.in_doubt_until:
        starts += bench.effects_of(effects.StartRun)
        bench.tick(TICK_S)
        for poll in bench.effects_of(effects.PollWorker):
            if poll.worker_id == 'a':
                failed = events.PollFailed(0.0, 'a', 1, Outcome.UNKNOWN)
                bench.send(failed)
                starts += bench.effects_of(effects.StartRun)
    assert not {start.task for start in starts} & set(names[:2])
