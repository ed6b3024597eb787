"""Tasks that crash the workers that start them, and those beside them."""

import pytest
from tests import cells

from celeryshift_cell import effects
from celeryshift_cell import events
from celeryshift_cell import model

# Starts of a task that may follow once three workers have crashed under it.
MAX_STARTS = 5
WORKERS = tuple(f'w{number}' for number in range(8))


def _crash(bench, name):
    """Let a worker crash; another incarnation answers seconds later."""
    bench.send(events.PollFailed(0.0, name, 1, events.Outcome.UNKNOWN))
    bench.send(events.PollFailed(0.0, name, 1, events.Outcome.NOT_SENT))


def _come_back(bench, name):
    outcome = events.Outcome.OTHER_INCARNATION
    bench.send(events.PollFailed(0.0, name, 1, outcome))


def _starts(bench):
    return bench.effects_of(effects.StartRun)


def _crash_all(bench, orders, victim, rounds=10):
    """Crash each worker that starts a task, and return its starts."""
    starts, pending, crashed = [], list(orders), []
    for _ in range(rounds * 40):
        for order in pending:
            bench.answer_start(order)
            pending = []
            if order.task == victim:
                starts.append(order)
                crashed.append((bench.now + 3.3, order.worker_id))
                _crash(bench, order.worker_id)
                pending += _starts(bench)
        bench.tick()
        pending += _starts(bench)
        for at, name in list(crashed):
            if at <= bench.now:
                crashed.remove((at, name))
                _come_back(bench, name)
                pending += _starts(bench)
        while bench.state.save_in_flight:
            bench.store_records()
            pending += _starts(bench)
    return starts


@pytest.mark.parametrize(
    'fields',
    [{}, {'allows_copies': True}, {'is_lasting': True}, {'is_gang': True}],
    ids=['plain', 'copies', 'lasting', 'gang'],
)
def test_a_task_that_crashes_one_worker_after_the_other_is_given_up(fields):
    bench = cells.Bench(tuple(cells.entry(name) for name in WORKERS))
    bench.tick()
    job = cells.job('j', cells.step(2, **fields))
    orders = bench.accept(job)
    starts = _crash_all(bench, orders, orders[0].task)
    assert len(starts) <= MAX_STARTS
    assert bench.state.jobs[job.id].state is model.JobState.FAILED
