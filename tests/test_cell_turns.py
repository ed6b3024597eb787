"""Turns of an owner of much accepted work are short.

An owner of 20,000 waiting jobs missed its own heartbeats: it examined all of
them in one turn of its event loop, and so did the next owner.
"""

import attrs
from tests import cells

import celeryshift_cell as cell
from celeryshift_cell import effects
from celeryshift_cell import events
from celeryshift_cell import model
from celeryshift_cellnode import _followers
from celeryshift_cellnode import _schema
from celeryshift_cellnode import ports


def _waits(emitted: list[effects.Effect]) -> list[str]:
    """Return the names of the steps that were tried for the first time."""
    return [
        effect.fields['step']
        for effect in emitted
        if isinstance(effect, effects.LogDecision)
        and effect.decision == 'step_waits'
    ]


def test_a_pass_tries_a_bounded_number_of_steps_and_the_urgent_ones():
    jobs = [
        cells.job(f'{n:04x}', cells.step(1, 200), queue='weekly')
        for n in range(3000)
    ]
    urgent = cells.job('f', cells.step(1, 200))
    bench = cells.Bench((cells.entry('w1'),))
    stored = [events.StoredJob(job, n) for n, job in enumerate(jobs, 1)]
    stored.append(events.StoredJob(urgent, 5000))
    for event in stored:
        cell.reduce(bench.state, events.JobAccepted(0.0, event), False)
    tried: list[str] = []
    for _ in range(5):
        names = _waits(bench.tick())
        assert len(names) <= 1024
        tried += names
    assert len(set(tried)) == len(stored)
    assert tried.index(f'{urgent.id}.0.0') < 1024


def test_a_run_that_ends_retries_a_bounded_number_of_equal_steps():
    bench = cells.Bench((cells.entry('w1', 2),))
    for number in range(600):
        bench.accept(cells.job(f'{number:03x}', cells.step(1, 2)))
    bench.tick()
    (order,) = [
        effects.StartRun('w1', 1, '', task, run, '', '', '', 0)
        for task, run in bench.state.workers['w1'].runs
    ]
    bench.answer_start(order)
    state = bench.state
    for _ in range(3):
        bench.tick()
    event = events.PollAnswered(
        bench.now,
        bench.now,
        'w1',
        1,
        1,
        int(bench.clock_ms('w1')),
        (),
        (events.RunCompletion(1, order.task, 1, model.RunResult.DONE, ''),),
    )
    cell.reduce(state, event, False)
    assert 0 < len(state.steps.unblocked) <= 256


def test_different_sizes_leave_no_empty_groups():
    # Each size that a caller chose was kept for good.
    bench = cells.Bench((cells.entry('w1'),))
    for number in range(500):
        size = model.Size(32_001 + number, 1)
        job = cells.job(
            f'{number:03x}', attrs.evolve(cells.step(1), size=size)
        )
        bench.accept(job)
        bench.send(events.JobCancelled(0.0, job.id))
    groups = bench.state.steps.open_by_upstream[cells.UPSTREAM]
    assert len(groups) <= 65


def test_queries_to_the_policy_service_have_a_bound():
    bench = cells.Bench((cells.entry('w1', 2000),))
    for number in range(1500):
        job = cells.job(f'{number:04x}', cells.step(1), queue='advised')
        bench.accept(job)
    assert bench.state.queries_in_flight <= 1024


class _Runner:
    """Runner that only keeps the events."""

    def __init__(self, bench: cells.Bench) -> None:
        self.state = bench.state
        self.events: list[events.Event] = []
        self.enqueue = self.events.append


def test_the_owner_does_not_decode_the_jobs_that_it_knows_again():
    # After a pause, the feed may have all that it has accepted.
    bench = cells.Bench()
    known, new = cells.job('1'), cells.job('2')
    bench.accept(known)
    runner = _Runner(bench)
    logged: list[str] = []
    follower = _followers.JobsFollower(
        None,  # type: ignore[arg-type]
        runner,  # type: ignore[arg-type]
        lambda decision, **fields: logged.append(decision),
    )
    rows = [(known.id, b'not decoded'), (new.id, _schema.dump(new))]
    follower._enqueue_events(
        [
            ports.Row(_schema.JOBS, _schema.CELL, name, value, 9)
            for name, value in rows
        ]
    )
    assert [event.stored.job.id for event in runner.events] == [new.id]
    assert not logged
