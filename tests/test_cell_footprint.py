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
from tests import virtualtime

import celeryshift_cell as cell
from celeryshift_cell import _crashes
from celeryshift_cell import _footprint
from celeryshift_cell import _indices
from celeryshift_cell import _job_state
from celeryshift_cell import _jobs
from celeryshift_cell import _records
from celeryshift_cell import effects
from celeryshift_cell import events
from celeryshift_cell import model
from celeryshift_cellnode import _groupwriter
from celeryshift_cellnode import _memory
from celeryshift_cellnode import _ownerservice
from celeryshift_cellnode import _records as _stored
from celeryshift_cellnode import _schema
from celeryshift_cellnode import ports

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
            record = _records.encode(run)
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
    # The record of one scheduled job outgrew a transaction, and while it was
    # rejected no completion was acknowledged (review/6).
    jobs = [_scheduled('1', 6, 1440, -DAY_MS // 2), cells.job('2')]
    bench = cells.Bench()
    bench.state = cell.Cell(2)
    bench.send(_restored(*jobs))
    before = bench.state.footprint.tasks
    _crashes.suspect_in_doubt(bench.state)
    for job in bench.state.jobs.values():
        record = _records.encode(job)
        assert len(record) < 2000
        # The next owner starts the same tasks on trial.
        other = cells.Bench()
        other.state = cell.Cell(3)
        other.send(_restored(job.spec, records_by_job={job.spec.id: record}))
        task = other.state.task(f'{job.spec.id}.0.0.0')
        assert _crashes.is_suspect(task)
    assert bench.state.footprint.tasks == before


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


class _Writer:
    def __init__(self) -> None:
        self.version = 0

    async def write(self, change: object) -> _groupwriter.Result:
        self.version += 1
        outcome = _groupwriter.WriteOutcome.STORED
        return _groupwriter.Result(outcome, self.version)


class _Runner:
    def __init__(self, bench: cells.Bench) -> None:
        self.state, self.writer = bench.state, _Writer()
        self.enqueue = bench.send

    def log_decision(self, decision: str, **fields: object) -> None:
        """Log nothing."""


def _submit(
    owner: _ownerservice.OwnerService, jobs: list[model.Job], **body: object
) -> list[dict]:
    async def work() -> list[dict]:
        return [
            await owner.handlers['accept'](
                {'job': _schema.unstructure(job)} | body
            )
            for job in jobs
        ]

    return virtualtime.run(work())


def _owner(limit: int) -> tuple[cells.Bench, _ownerservice.OwnerService]:
    bench = cells.Bench()
    bench.send(events.MemoryLimited(0.0, limit))
    owner = _ownerservice.OwnerService()
    owner.runner = _Runner(bench)  # type: ignore[assignment]
    return bench, owner


def test_jobs_beyond_the_memory_are_rejected_until_others_end():
    # All were accepted, and no node could hold them any more.
    bench, owner = _owner(4 * MB)
    jobs = [cells.job(f'{n:03x}', cells.step(100)) for n in range(900)]
    answers = _submit(owner, jobs)
    accepted = [a['written'] for a in answers].count('stored')
    rejected = [a for a in answers if a['written'] != 'stored']
    assert len(bench.state.jobs) == accepted > 100
    assert len(rejected) > 100
    assert {a['written'] for a in rejected} == {_ownerservice.OVERLOADED}
    assert all(1 <= a['retry_after_s'] <= 60 for a in rejected)
    assert bench.state.footprint.accepted <= _footprint.JOBS_SHARE * 4 * MB
    for job in jobs[: accepted // 2]:
        bench.send(events.JobCancelled(0.0, job.id))
        bench.store_records()
    bench.store_records()
    bench.tick(20.0)
    bench.tick()
    (again,) = _submit(owner, jobs[-1:])
    assert again['written'] == 'stored'


def test_a_job_that_may_be_stored_already_is_not_rejected():
    _, owner = _owner(4096)
    (answer,) = _submit(owner, [cells.job('1')], in_doubt=True)
    assert answer['written'] == 'stored'


def _node(name: str, memory_mb: float) -> _schema.Node:
    return _schema.Node(name, f'{name}:1', '1', 'here', memory_mb=memory_mb)


def test_the_smallest_node_sets_the_limit():
    nodes = [_node('a', 900), _node('b', 300), _node('c', 0)]
    assert _memory.cell_bytes(nodes) == _memory.cell_bytes([nodes[1]])
    assert _memory.cell_bytes([nodes[2]]) == 0
    assert _memory.cell_bytes([_node('d', 1)]) > 0


def test_jobs_stored_without_the_owner_share_the_reserve():
    nodes = {name: _node(name, 300) for name in 'ab'}
    allowance = _memory.Allowance(lambda: nodes)
    jobs = (cells.job(f'{n:05x}') for n in range(100_000))
    taken = 0
    for job in jobs:
        if not allowance.take(job):
            break
        taken += _footprint.job_bytes(job)
    limit = _memory.cell_bytes(nodes.values())
    assert 0 < 2 * taken <= _footprint.reserve_bytes(limit)
    allowance.handle_accepted()
    assert allowance.take(job)


def _waits(emitted: list[effects.Effect]) -> list[str]:
    """Return the names of the steps that were tried for the first time."""
    return [
        effect.fields['step']
        for effect in emitted
        if isinstance(effect, effects.LogDecision)
        and effect.decision == 'step_waits'
    ]


def test_a_pass_tries_a_bounded_number_of_steps_and_the_urgent_ones():
    # An owner of 20,000 waiting jobs missed its own heartbeats.
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


def test_the_owner_does_not_decode_the_jobs_that_it_knows_again():
    # After a pause, the feed may have all that it has accepted.
    job = cells.job('1')
    rows = [
        ports.Row(_schema.JOBS, _schema.CELL, name, value, 1)
        for name, value in (('known', b'invalid'), (job.id, _schema.dump(job)))
    ]
    logged: list[str] = []
    jobs, _ = _stored.decode_jobs(
        rows,
        lambda decision, **fields: logged.append(decision),
        lambda job_id: job_id == 'known',
    )
    assert list(jobs) == [job.id]
    assert not logged


def test_queries_to_the_policy_service_have_a_bound():
    bench = cells.Bench((cells.entry('w1', 2000),))
    for number in range(1500):
        job = cells.job(f'{number:04x}', cells.step(1), queue='advised')
        bench.accept(job)
    assert bench.state.queries_in_flight <= 1024
