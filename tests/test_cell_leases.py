"""Leases of workers whose clocks run slow."""

import pytest
from tests import cells

from celeryshift_cell import effects
from celeryshift_cell import events

Outcome = events.Outcome
# Rate of the slowest clock that the platform allows.
SLOW_RATE = 0.98
TICK_S = 0.1
SHORT_TICK_S = 0.01
# Longest lease that a worker grants.
MAX_HOLD_MS = 6000


def _slow_bench(rate):
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
    bench = _slow_bench(SLOW_RATE)
    _idle(bench, idle_s)
    (order,) = bench.accept(cells.job('j', cells.step(is_lasting=True)))
    lease_until_ms = _granted_ms(bench, order)
    bench.answer_start(order)
    bench.join(cells.entry('b'))
    lease_until_ms = max(lease_until_ms, _silence_until_start(bench, 'a'))
    assert bench.clock_ms('a') > lease_until_ms
