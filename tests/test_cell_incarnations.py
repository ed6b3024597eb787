"""Answers that belong to another incarnation of a worker than the current."""

import attrs
import pytest
from tests import cells

from celeryshift_cell import effects
from celeryshift_cell import events
from celeryshift_cell import model

Outcome = events.Outcome
# Ends that a worker reports at a time.
ENDS_PER_ANSWER = 500


def _restart(bench, address='elsewhere:80', **fields):
    """List the second incarnation of worker a, at another address."""
    entry = cells.entry('a', incarnation=2, **fields)
    entry = attrs.evolve(entry, address=address)
    bench.send(events.WorkersChanged(0.0, (entry,)))


def _status(order):
    return events.RunStatus(order.task, order.run, '', 10)


def _answer_stop(bench, stop, outcome=Outcome.DONE):
    bench.send(
        events.StopAnswered(
            0.0,
            stop.worker_id,
            stop.incarnation,
            stop.task,
            stop.run,
            outcome,
        )
    )


def _restarted_bench(*names):
    """Return a restarted worker, a start of its first life and later ones."""
    bench = cells.Bench((cells.entry('a'),))
    (late,) = bench.accept(cells.job('late'))
    _restart(bench)
    bench.answer_poll('a', incarnation=2)
    orders = bench.accept(*(cells.job(name) for name in names))
    for order in orders:
        bench.answer_start(order)
    bench.join(cells.entry('b'))
    return bench, late, orders


def test_a_late_421_of_the_previous_incarnation_drops_no_runs():
    # Both runs started on another worker while they ran.
    bench, late, orders = _restarted_bench('one', 'two')
    bench.answer_start(late, Outcome.OTHER_INCARNATION)
    starts = bench.effects_of(effects.StartRun)
    assert [order.task for order in starts] == [late.task]
    worker = bench.state.workers['a']
    assert worker.runs.keys() >= {(o.task, o.run) for o in orders}
    assert worker.is_usable(bench.now)


def test_a_421_of_the_current_incarnation_drops_its_runs():
    bench, _, orders = _restarted_bench('one', 'two')
    bench.send(events.PollFailed(0.0, 'a', 2, Outcome.OTHER_INCARNATION))
    restarted = {order.task for order in bench.effects_of(effects.StartRun)}
    assert restarted >= {order.task for order in orders}


def test_a_refusal_by_the_previous_incarnation_does_not_pause_the_next():
    # A healthy worker was given no tasks for half a second.
    bench, late, _ = _restarted_bench('one')
    bench.answer_start(late, Outcome.REFUSED)
    assert len(bench.effects_of(effects.StartRun)) == 1
    assert bench.state.workers['a'].is_usable(bench.now)


def test_a_start_confirmed_by_the_previous_incarnation_is_in_doubt():
    # The run counted as confirmed on a worker that did not have it.
    bench, late, _ = _restarted_bench('one')
    bench.answer_start(late)
    run = bench.state.workers['a'].runs[late.task, late.run]
    assert not run.confirmed_at
    assert bench.effects_of(effects.PollWorker)


def test_a_start_carried_out_by_the_next_incarnation_runs_once():
    # The worker had restarted under its id and address, and its new entry
    # arrived after the answers. All tasks just started there ran twice.
    bench = cells.Bench((cells.entry('a'),))
    orders = bench.accept(cells.job('j', cells.step(2)))
    for order in orders:
        bench.answer_start(order)
    bench.join(cells.entry('b'))
    bench.tick()
    _restart(bench, address='a:80')
    assert not bench.effects_of(effects.StartRun)
    running = tuple(_status(order) for order in orders)
    bench.answer_poll('a', running, incarnation=2)
    assert not bench.effects_of(effects.StartRun)


def test_a_run_listed_by_the_previous_incarnation_starts_again_at_once():
    bench = cells.Bench((cells.entry('a'),))
    (order,) = bench.accept(cells.job('j'))
    bench.answer_start(order)
    bench.answer_poll('a', (_status(order),))
    bench.join(cells.entry('b'))
    _restart(bench)
    (again,) = bench.effects_of(effects.StartRun)
    assert again.worker_id == 'b'


def _stopped_unconfirmed_start(bench):
    """Stop a start without an answer; return the order and its stop."""
    (order,) = bench.accept(cells.job('j'))
    bench.answer_start(order, Outcome.UNKNOWN)
    bench.tick()
    bench.answer_poll('a')
    (stop,) = bench.effects_of(effects.StopRun)
    bench.join(cells.entry('b'))
    return order, stop


def test_a_stopped_start_may_still_be_carried_out_after_a_restart():
    # The task started on another worker, and the late start of its first run
    # was then carried out by the restarted worker.
    bench = cells.Bench((cells.entry('a'),))
    order, _ = _stopped_unconfirmed_start(bench)
    _restart(bench, address='a:80')
    assert not bench.effects_of(effects.StartRun)
    bench.answer_poll('a', (_status(order),), incarnation=2)
    assert not bench.effects_of(effects.StartRun)


def test_a_stop_acknowledged_by_the_previous_incarnation_settles_nothing():
    bench = cells.Bench((cells.entry('a'),))
    _, stop = _stopped_unconfirmed_start(bench)
    _restart(bench, address='a:80')
    _answer_stop(bench, stop)
    bench.tick()
    bench.answer_poll('a', incarnation=2)
    assert not bench.effects_of(effects.StartRun)
    stops = []
    for _ in range(6):
        bench.tick()
        stops += bench.effects_of(effects.StopRun)
    assert {again.incarnation for again in stops} == {2}
    _answer_stop(bench, stops[-1])
    bench.tick()
    bench.answer_poll('a', incarnation=2)
    assert len(bench.effects_of(effects.StartRun)) == 1


def test_a_save_begun_before_a_restart_acknowledges_no_ends_after_it():
    # The restarted worker forgot an end that nobody had seen, and the task
    # ran again.
    bench = cells.Bench((cells.entry('a'),))
    (order,) = bench.accept(cells.job('one'))
    bench.answer_start(order)
    bench.finish_run(order)
    assert bench.effects_of(effects.SaveRecords)
    _restart(bench)
    bench.answer_poll('a', incarnation=2)
    bench.accept(cells.job('two'))
    bench.store_records()
    polls = bench.effects_of(effects.PollWorker)
    bench.store_records()
    polls += bench.effects_of(effects.PollWorker)
    (order,) = bench.effects_of(effects.StartRun)
    bench.answer_start(order)
    bench.answer_poll('a', (_status(order),), incarnation=2)
    polls += bench.effects_of(effects.PollWorker)
    assert {poll.stored_completion for poll in polls} == {0}


def test_a_run_is_not_over_while_its_end_may_be_on_a_later_page():
    # The store was slow, more ends than one answer holds were waiting, and a
    # task that was done started again.
    bench = cells.Bench((cells.entry('a'), cells.entry('b')))
    (order,) = bench.accept(cells.job('j'))
    bench.answer_start(order)
    worker = order.worker_id
    ends = tuple(
        events.RunCompletion(
            number + 1,
            f'{number:016x}.0.0.0',
            1,
            model.RunResult.DONE,
            '',
        )
        for number in range(ENDS_PER_ANSWER)
    )
    bench.tick()
    bench.answer_poll(worker, (), ends)
    assert not bench.effects_of(effects.StartRun)
    end = events.RunCompletion(
        ENDS_PER_ANSWER + 1, order.task, order.run, model.RunResult.DONE, ''
    )
    bench.tick()
    bench.answer_poll(worker, (), (end,))
    job = next(iter(bench.state.jobs.values()))
    assert job.state is model.JobState.COMPLETED


def test_an_answer_to_a_poll_of_the_previous_incarnation_adds_no_polls():
    # Two polls were in flight at a time for as long as the worker had runs.
    bench, _, _ = _restarted_bench('one')
    worker = bench.state.workers['a']
    assert worker.polls_in_flight == 1
    running = tuple(events.RunStatus(*key, '', 10) for key in worker.runs)
    bench.answer_poll('a', running, incarnation=2, sent_to=1)
    assert not bench.effects_of(effects.PollWorker)
    assert worker.polls_in_flight == 1


def test_a_worker_that_is_listed_after_a_421_is_used_again():
    # Nothing polled it any more, so it stayed silent for ever.
    bench = cells.Bench((cells.entry('a'),))
    bench.send(events.PollFailed(0.0, 'a', 1, Outcome.OTHER_INCARNATION))
    bench.send(events.WorkersChanged(0.0, (cells.entry('a', cores=16),)))
    bench.tick()
    polls = bench.effects_of(effects.PollWorker)
    assert [poll.worker_id for poll in polls] == ['a']
    bench.answer_poll('a')
    assert len(bench.accept(cells.job('j'))) == 1


@pytest.mark.parametrize('tickets', [{}, {'a': 'ticket'}])
def test_advice_on_the_previous_incarnation_is_not_applied(tickets):
    # A rejection kept the step off the restarted worker for good.
    bench = cells.Bench((cells.entry('a'),))
    bench.accept(cells.job('j', queue='advised'))
    (query,) = bench.effects_of(effects.RequestAdvice)
    _restart(bench)
    bench.answer_poll('a', incarnation=2)
    bench.store_records()
    bench.send(
        events.AdviceAnswered(
            0.0, query.step, query.workers, tickets, bench.now, 2500
        )
    )
    assert not bench.effects_of(effects.StartRun)
    (again,) = bench.effects_of(effects.RequestAdvice)
    assert again.workers == ('a',)


def test_a_421_of_a_stale_entry_does_not_settle_the_recorded_incarnation():
    # The former owner had used an incarnation that the new owner's list did
    # not have yet, and its task started again beside it.
    bench = cells.Bench((cells.entry('b'),), epoch=2)
    bench.send(events.WorkersChanged(0.0, (cells.entry('a'),)))
    job = cells.job('j')
    bench.send(
        events.Restored(
            0.0,
            0,
            (events.StoredJob(job, 1),),
            {},
            (),
            (('a', 2, 'elsewhere:80'),),
            in_doubt_until=7.0,
            version=3,
        )
    )
    bench.send(events.PollFailed(0.0, 'a', 1, Outcome.OTHER_INCARNATION))
    assert not bench.effects_of(effects.StartRun)
    bench.tick()
    assert not bench.effects_of(effects.StartRun)
    listed = events.RunStatus(f'{job.id}.0.0.0', 1, '', 10)
    bench.answer_poll('a', (listed,), incarnation=2)
    assert not bench.effects_of(effects.StopRun)


def test_a_worker_whose_address_changes_while_it_is_stored_is_used():
    bench = cells.Bench((cells.entry('a'),))
    bench.tick()
    bench.answer_poll('a', incarnation=2, sent_to=1)
    moved = attrs.evolve(cells.entry('a', incarnation=2), address='b:80')
    bench.send(events.WorkersChanged(0.0, (moved,)))
    bench.answer_poll('a', incarnation=2)
    orders = bench.accept(cells.job('j'))
    for _ in range(3):
        bench.store_records()
        orders += bench.effects_of(effects.StartRun)
        bench.tick()
        orders += bench.effects_of(effects.StartRun)
    assert orders
