"""Queries to the policy service, which answers each node one at a time."""

from tests import cells

from celeryshift_cell import effects
from celeryshift_cell import events

VALIDITY_MS = 2500


def _answer(bench, query):
    tickets = dict.fromkeys(query.workers, 'ticket')
    return bench.send(
        events.AdviceAnswered(
            0.0, query.step, query.workers, tickets, bench.now, VALIDITY_MS
        )
    )


def _submit(bench, name, queue='advised', count=1):
    """Submit a job that needs a whole worker, and answer its first query."""
    bench.accept(cells.job(name, cells.step(count, cores=32), queue=queue))
    (query,) = bench.effects_of(effects.RequestAdvice)
    _answer(bench, query)
    return bench.effects_of(effects.StartRun)


def _queries(bench):
    return [e.step[0] for e in bench.effects_of(effects.RequestAdvice)]


def test_only_the_step_that_is_next_queries_for_capacity():
    # Every waiting step queried for the capacity of a run that ended. One of
    # them got it, and the others had used up the service's time.
    bench = cells.Bench((cells.entry('w'),))
    (order,) = _submit(bench, 'a')
    bench.answer_start(order)
    for name in 'bcd':
        assert not _submit(bench, name)
    bench.now += 3.0
    bench.finish_run(order)
    assert _queries(bench) == ['b']
    (query,) = bench.effects_of(effects.RequestAdvice)
    bench.tick(0.3)
    assert not _queries(bench)
    _answer(bench, query)
    (order,) = bench.effects_of(effects.StartRun)
    assert order.task.startswith('b')


def test_a_failed_query_leaves_the_capacity_to_the_next_step():
    bench = cells.Bench((cells.entry('w'),))
    (order,) = _submit(bench, 'a')
    bench.answer_start(order)
    for name in 'bc':
        _submit(bench, name)
    bench.now += 3.0
    bench.finish_run(order)
    (query,) = bench.effects_of(effects.RequestAdvice)
    bench.send(
        events.AdviceFailed(0.0, query.step, query.workers, 'no answer')
    )
    assert not bench.state.claims_by_worker
    bench.tick(0.3)
    assert len(_queries(bench)) == 1


def test_a_claim_does_not_outlive_its_job():
    bench = cells.Bench((cells.entry('w'),))
    (order,) = _submit(bench, 'a')
    bench.answer_start(order)
    _submit(bench, 'b')
    bench.now += 3.0
    bench.finish_run(order)
    (query,) = bench.effects_of(effects.RequestAdvice)
    assert bench.state.claims_by_worker
    bench.send(events.JobCancelled(0.0, cells.job('b').id))
    while bench.state.save_in_flight:
        bench.store_records()
    bench.tick(20.0)
    bench.tick()
    assert cells.job('b').id not in bench.state.jobs
    _answer(bench, query)
    assert not bench.state.claims_by_worker


def test_a_claim_does_not_hold_up_more_urgent_work():
    bench = cells.Bench((cells.entry('w'),))
    (order,) = _submit(bench, 'a')
    bench.answer_start(order)
    _submit(bench, 'b', queue='simulations')
    _submit(bench, 'c')
    bench.now += 3.0
    # The less urgent step queries first, since the other one is at its limit
    # of queries.
    urgent = bench.state.step(f'{cells.job("c").id}.0.0')
    urgent.query_after = bench.now + 0.1
    bench.finish_run(order)
    assert _queries(bench) == ['b']
    bench.tick(0.3)
    assert _queries(bench) == ['c']


def test_a_query_names_no_more_workers_than_a_step_needs():
    entries = tuple(cells.entry(f'w{number}') for number in range(200))
    bench = cells.Bench(entries)
    for count, named in ((1, 30), (6, 30), (20, 80), (60, 100)):
        job = cells.job(f'{count:x}', cells.step(count), queue='advised')
        bench.accept(job)
        (query,) = bench.effects_of(effects.RequestAdvice)
        assert len(query.workers) == named
