"""Memory of accepted jobs: it grows with what has started, not with them.

Scheduled jobs took memory for each task of each occurrence from when they were
accepted. Jobs that were due hours later made the owner exceed its memory, and
each next owner too, for as long as the jobs existed.
"""

import gc
import random

import attrs
import pytest
from tests import cells

import celeryshift_cell as cell
from celeryshift_cell import _crashes
from celeryshift_cell import _footprint
from celeryshift_cell import _indices
from celeryshift_cell import _job_state
from celeryshift_cell import _jobs
from celeryshift_cell import _progress
from celeryshift_cell import effects
from celeryshift_cell import events
from celeryshift_cell import model

MINUTE_MS = 60_000
DAY_MS = 1440 * MINUTE_MS
MB = 2**20


def _scheduled(
    name: str, tasks: int, times: int, due_ms: int, *more: model.Step
) -> model.Job:
    return cells.job(
        name,
        cells.step(tasks),
        *more,
        first_due_ms=due_ms,
        every_ms=MINUTE_MS,
        times=times,
    )


SHAPES = {
    'many occurrences': [
        _scheduled(f'{n:x}', 6, 1440, 1000) for n in range(9)
    ],
    'many short occurrences': [_scheduled('1', 1, 9900, DAY_MS)],
    'overdue': [_scheduled('1', 6, 1440, -DAY_MS)],
    'long overdue': [_scheduled('1', 1, 9900, -7 * DAY_MS)],
    'wide': [cells.job(f'{n:x}', cells.step(1000)) for n in range(9)],
    'deep': [
        cells.job(
            f'{n:x}',
            cells.step(16),
            *(cells.step(16, after=(i,)) for i in range(63)),
        )
        for n in range(9)
    ],
}


def _count_objects() -> int:
    """Return the number of steps and tasks in memory."""
    gc.collect()
    kinds = _job_state.StepRun, _job_state.Task
    return sum(isinstance(item, kinds) for item in gc.get_objects())


def _restored(*jobs: model.Job, **fields: object) -> events.Restored:
    stored = tuple(
        events.StoredJob(job, number) for number, job in enumerate(jobs)
    )
    event = events.Restored(0.0, 0, stored, {}, (), (), 0.0, len(jobs))
    return attrs.evolve(event, **fields)


@pytest.mark.parametrize('shape', SHAPES)
@pytest.mark.parametrize('is_taken_over', [False, True])
def test_what_has_not_started_takes_no_memory(shape, is_taken_over):
    before = _count_objects()
    bench = cells.Bench()
    jobs = SHAPES[shape]
    if is_taken_over:
        bench.state = cell.Cell(2)
        bench.send(events.ConfigChanged(0.0, cells.config()))
        bench.send(_restored(*jobs))
    else:
        bench.accept(*jobs)
    for _ in range(5):
        bench.tick()
    # One occurrence, or as many as may wait.
    bound = sum(max(len(job.steps), 32) for job in jobs)
    assert _count_objects() - before <= bound


class _Work:
    """Workers that run all tasks of some jobs, some of them unsuccessfully."""

    def __init__(self, bench: cells.Bench, seed: int = 0) -> None:
        self.bench = bench
        self.random = random.Random(seed)
        self.orders: list[effects.StartRun] = []
        self.done: list[str] = []
        self.most = 0

    def step(self, count: int) -> None:
        """End some runs, and collect the new orders."""
        self._take()
        self.random.shuffle(self.orders)
        ending, self.orders = self.orders[:count], self.orders[count:]
        for order in ending:
            fails = self.random.random() < 0.02
            result = model.RunResult.LEASE_EXPIRED if fails else None
            if result is None:
                self.done.append(order.task)
            self.bench.finish_run(order, result or model.RunResult.DONE)
            self._take()
            self.bench.store_records()
            self._take()
        self.bench.tick()
        self._take()

    def _take(self) -> None:
        orders = self.bench.effects_of(effects.StartRun)
        self.bench.last_effects = []
        for order in orders:
            self.bench.answer_start(order)
            self._take()
        self.orders += orders
        footprint = self.bench.state.footprint
        self.most = max(self.most, footprint.started)


def _all_tasks(job: model.Job) -> set[str]:
    return {
        f'{job.id}.{occurrence}.{number}.{index}'
        for occurrence in range(job.occurrences)
        for number, step in enumerate(job.steps)
        for index in range(step.count)
    }


@pytest.mark.parametrize('limit', [0, 200_000])
@pytest.mark.parametrize('seed', range(4))
def test_all_occurrences_run_once_within_the_limit(limit, seed):
    # As many as the memory has room for run at a time, and all of them end.
    chooser = random.Random(seed)
    after = cells.step(chooser.randint(1, 3), after=(0,))
    jobs = [
        _scheduled('a', 2, 60, -DAY_MS, after),
        _scheduled('b', 1, 80, -chooser.randint(0, DAY_MS)),
        cells.job('c', cells.step(chooser.randint(50, 150))),
        cells.job('d', cells.step(4, is_gang=True)),
    ]
    bench = cells.Bench((cells.entry('w1', 200), cells.entry('w2', 200)))
    bench.send(events.MemoryLimited(0.0, limit))
    work = _Work(bench, seed)
    bench.now = 2 * DAY_MS / 1000
    bench.tick()
    for job in jobs:
        bench.accept(job)
        work.step(0)
    for _ in range(200):
        work.step(8)
        if not work.orders and not bench.state.waiting:
            break
    assert sorted(work.done) == sorted(set().union(*map(_all_tasks, jobs)))
    assert not any(step.steps.known for step in bench.state.jobs.values())
    if limit:
        share = _footprint.STARTED_SHARE * limit
        # A gang starts as a whole.
        assert work.most <= share + 8 * _footprint.TASK_BYTES


def test_the_next_owner_continues_within_the_limit():
    job = _scheduled('1', 3, 400, -7 * DAY_MS, cells.step(1, after=(0,)))
    done, number = set(), 0
    stored = _restored(job)
    while len(done) < len(_all_tasks(job)) and number < 40:
        bench = cells.Bench((cells.entry('w1', 40),), epoch=number + 1)
        bench.state.jobs.clear()
        bench.send(events.MemoryLimited(0.0, 200_000))
        bench.send(attrs.evolve(stored, wall_ms=0))
        work = _Work(bench, number)
        for _ in range(12):
            work.step(8)
        again = done.intersection(work.done)
        assert not again
        done.update(work.done)
        # Completions are known to the next owner by the record.
        run = bench.state.jobs.get(job.id)
        if run is not None:
            record = _progress.encode(run)
            assert len(record) < 2000
            stored = _restored(job, records_by_job={job.id: record})
        number += 1
    assert done == _all_tasks(job)


def test_a_record_of_an_earlier_release_is_restored():
    job = _scheduled('1', 3, 4, 0, cells.step(2, after=(0,)))
    record = '{"done":{"0.0":"7","0.1":"3","1.0":"7","2.0":"5"},"tasks":{}}'
    bench = cells.Bench()
    bench.send(_restored(job, records_by_job={job.id: record}))
    run = bench.state.jobs[job.id]
    assert list(run.steps.done) == [0, 1, 2]
    assert list(run.steps[2, 0].done) == [0, 2]
    assert list(run.steps[2, 0].pending) == [1]
    assert run.next_occurrence == 1


def test_suspicion_after_a_crash_does_not_grow_with_the_job():
    # The record of a scheduled job outgrew a transaction and was rejected.
    jobs = [_scheduled('1', 6, 1440, -DAY_MS // 2), cells.job('2')]
    bench = cells.Bench()
    bench.state = cell.Cell(2)
    bench.send(_restored(*jobs))
    _crashes.suspect_in_doubt(bench.state)
    bench.store_records()
    records: dict[str, str] = {}
    for save in bench.effects_of(effects.SaveRecords):
        records |= save.progress_by_job
    for job in jobs:
        record = records[job.id]
        assert len(record) < 2000
        # The next owner starts the same tasks on trial.
        other = cells.Bench()
        other.state = cell.Cell(3)
        other.send(_restored(job, records_by_job={job.id: record}))
        assert _crashes.is_suspect(other.state.task(f'{job.id}.0.0.0'))


def test_a_cancelled_schedule_leaves_nothing():
    bench = cells.Bench()
    for number in range(300):
        job = _scheduled(f'{number:03x}', 1, 100, DAY_MS)
        bench.accept(job)
        bench.send(events.JobCancelled(0.0, job.id))
        bench.store_records()
    bench.store_records()
    bench.tick(20.0)
    bench.tick()
    assert not bench.state.jobs
    assert bench.state.footprint.jobs == 0
    assert bench.state.footprint.included_steps == 0
    assert len(bench.state.scheduled_jobs) < 100


def test_a_late_end_of_a_run_that_was_dropped_is_still_withheld():
    # The task is kept for that after it has completed elsewhere.
    bench = cells.Bench((cells.entry('w1'), cells.entry('w2')))
    (order,) = bench.accept(cells.job('1', cells.step(1), cells.step(1)))[:1]
    bench.answer_start(order)
    task = bench.state.task(order.task)
    task.dropped_runs['w1', order.run] = 'lease ran out', 0.0
    bench.finish_run(order)
    assert bench.state.task(order.task) is task
    _jobs.finish(bench.state, task.step.job, model.JobState.CANCELLED)
    assert bench.state.task(order.task) is task


def test_a_set_of_indices_is_one_of_integers():
    chooser = random.Random(1)
    for _ in range(100):
        expected: set[int] = set()
        actual = _indices.IndexSet()
        for _ in range(chooser.randrange(60)):
            index = chooser.randrange(70)
            if chooser.random() < 0.6:
                expected.add(index)
                actual.add(index)
            else:
                expected.discard(index)
                actual.discard(index)
            assert (index in actual) == (index in expected)
        assert list(actual) == sorted(expected)
        assert len(actual) == len(expected)
        missing = (i for i in range(99) if i not in expected)
        assert actual.first_missing == next(missing)
        copy = _indices.IndexSet()
        for first, last in actual.ranges():
            copy.add_range(first, last)
        assert copy.bits == actual.bits


def test_jobs_restored_one_by_one_are_those_restored_at_once():
    jobs = [_scheduled('1', 2, 5, -MINUTE_MS), cells.job('2', cells.step(9))]
    record = '{"done":{"0-1":""},"tasks":{"2.0.1":[7,[7],"saved"]}}'
    whole = _restored(*jobs, records_by_job={jobs[0].id: record})
    descriptions = []
    for is_split in (False, True):
        bench = cells.Bench()
        bench.state = cell.Cell(2)
        for stored in whole.jobs if is_split else ():
            part = events.JobsRestored(
                0.0, 0, (stored,), whole.records_by_job, frozenset()
            )
            bench.send(part)
        bench.send(attrs.evolve(whole, jobs=()) if is_split else whole)
        explained = [cell.explain(bench.state, job.id) for job in jobs]
        descriptions.append((explained, bench.state.footprint.accepted))
    assert descriptions[0] == descriptions[1]


def test_a_worker_that_fails_all_jobs_keeps_few_of_their_names():
    # Each name was kept until a run on the worker succeeded.
    bench = cells.Bench((cells.entry('w1'),))
    for number in range(20):
        (order,) = bench.accept(cells.job(f'{number:02x}'))
        bench.answer_start(order)
        bench.finish_run(order, model.RunResult.FAILED)
        bench.send(events.JobCancelled(0.0, order.task.partition('.')[0]))
        bench.state.workers['w1'].quarantined_until = 0.0
    assert len(bench.state.workers['w1'].failed_jobs) == 3
