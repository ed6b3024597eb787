"""Sizes of stored values: no fleet, job or team outgrows the store's limits.

With 1,500 workers, the one row with all of them was longer than the store
takes. The owner took the rejection for an outage, repeated it for ever, and
stored nothing else.
"""

import asyncio

import attrs
import hypothesis
from hypothesis import strategies
import pytest
from tests import cells
from tests import test_cell_journal as journal

import celeryshift_cell as cell
from celeryshift_cell import effects
from celeryshift_cell import events
from celeryshift_cell import model
from celeryshift_cellnode import _groupwriter
from celeryshift_cellnode import _jobspec
from celeryshift_cellnode import _ownerservice
from celeryshift_cellnode import _records
from celeryshift_cellnode import _schema
from celeryshift_cellnode import _watchedstore
from celeryshift_cellnode import errors
from celeryshift_cellnode import ports

WORKERS = 1500
LIMITS = ports.StoreLimits()
# Room for 1,000 tasks.
MANY_WORKERS = tuple(cells.entry(f'w{number}') for number in range(10))
WriteOutcome = _groupwriter.WriteOutcome


async def _save_all(
    harness: journal.WriterHarness, bench: cells.Bench
) -> list[WriteOutcome]:
    """Store what a cell saves until it has nothing left; return outcomes."""
    outcomes = []
    while saves := bench.effects_of(effects.SaveRecords):
        (save,) = saves
        outcome = await _records.save(harness.writer, save)
        outcomes.append(outcome)
        if outcome is WriteOutcome.STORED:
            bench.send(events.RecordsSaved(0.0))
        else:
            bench.now += 1.0
            bench.send(
                events.RecordsFailed(0.0, outcome is WriteOutcome.REJECTED)
            )
    return outcomes


async def _restore(harness: journal.WriterHarness) -> _records.Restored:
    return await _records.restore(
        harness.store, harness.writer, lambda *_, **__: None
    )


def test_a_fleet_of_any_size_is_stored():
    async def scenario():
        harness = journal.WriterHarness()
        bench = cells.Bench()
        names = [f'i-{number:016x}' for number in range(WORKERS)]
        entries = tuple(cells.entry(name) for name in names)
        bench.send(events.WorkersChanged(0.0, entries))
        outcomes = await _save_all(harness, bench)
        assert set(outcomes) == {WriteOutcome.STORED}
        assert not harness.store.rejections
        assert all(w.is_recorded for w in bench.state.workers.values())
        restored = await _restore(harness)
        assert {name for name, *_ in restored.workers} == set(names)

    journal.run(scenario)


def test_a_worker_that_joins_or_leaves_costs_one_row():
    async def scenario():
        harness = journal.WriterHarness()
        bench = cells.Bench(
            tuple(cells.entry(f'w{number}') for number in range(100))
        )
        bench.join(cells.entry('x'))
        bench.send(events.WorkersChanged(0.0, removed=('w1',)))
        bench.tick()
        (save,) = bench.effects_of(effects.SaveRecords)
        assert (save.workers_by_id, save.removed_workers) == ({}, ('w1',))
        assert await _records.save(harness.writer, save) is WriteOutcome.STORED

    journal.run(scenario)


def test_the_list_of_an_earlier_release_is_replaced():
    async def scenario():
        harness = journal.WriterHarness()
        former = [[f'w{n}', 5, f'w{n}:80'] for n in range(WORKERS // 2)]
        harness.store.put(
            _schema.CELLS,
            _schema.CELL,
            _schema.FORMER_WORKERS_KEY,
            _schema.dump(former),
        )
        # Another owner began to replace it, and a worker restarted since.
        for name, incarnation in (('w1', 5), ('w2', 7)):
            harness.store.put(
                _schema.WORKERS,
                _schema.CELL,
                name,
                _schema.dump([incarnation, f'{name}:80']),
            )
        expected = {(name, born, at) for name, born, at in former}
        expected ^= {('w2', 5, 'w2:80'), ('w2', 7, 'w2:80')}
        for _ in range(2):
            restored = await _restore(harness)
            assert set(restored.workers) == expected
        keys = {key for _, _, key in harness.store.rows}
        assert _schema.FORMER_WORKERS_KEY not in keys

    journal.run(scenario)


def _run_job_with_checkpoints(
    bench: cells.Bench, checkpoint: str
) -> model.Job:
    """Fail the first run of each of 1,000 tasks, which keeps a checkpoint."""
    job = cells.job('a', cells.step(1000, 0.1, checkpoints=True))
    orders = bench.accept(job)
    bench.state.save_after = bench.now + 1.0
    for order in orders:
        bench.answer_start(order)
        bench.finish_run(order, model.RunResult.FAILED, checkpoint=checkpoint)
    return job


@pytest.mark.parametrize('length', [16, 100, 1000])
def test_a_job_of_many_tasks_with_checkpoints_is_stored(length):
    async def scenario():
        harness = journal.WriterHarness()
        options = cell.Options(cores=16, max_starts_in_flight=1000)
        bench = cells.Bench(MANY_WORKERS, options=options)
        job = _run_job_with_checkpoints(bench, 'c' * length)
        bench.tick(2.0)
        outcomes = await _save_all(harness, bench)
        assert set(outcomes) == {WriteOutcome.STORED}
        assert not harness.store.rejections
        restored = await _restore(harness)
        successor = cells.Bench(epoch=2)
        successor.send(
            attrs.evolve(
                restored.to_event(0.0, 0.0),
                jobs=(events.StoredJob(job, 1),),
            )
        )
        (stored,) = successor.state.jobs.values()
        tasks = stored.steps[0, 0].tasks
        assert all(len(task.failed_runs) == 1 for task in tasks)
        # Checkpoints that are too long are lost, and nothing else.
        kept = {task.checkpoint for task in tasks}
        assert kept == ({'c' * length} if length < 1000 else {''})
        # The job ends, and leaves no row of its record behind.
        successor.send(events.JobCancelled(0.0, job.id))
        outcomes = await _save_all(harness, successor)
        assert set(outcomes) == {WriteOutcome.STORED}
        tables = {table for table, _, _ in harness.store.rows}
        assert _schema.PROGRESS not in tables

    journal.run(scenario)


def test_parts_left_from_a_longer_record_are_not_read():
    async def scenario():
        harness = journal.WriterHarness()
        for record in ('{"a":"' + 100_000 * 'x' + '"}', '{"b":1}'):
            save = effects.SaveRecords({'j': record}, {})
            outcome = await _records.save(harness.writer, save)
            assert outcome is WriteOutcome.STORED
            restored = await _restore(harness)
            assert restored.records == {'j': record}
            assert restored.parts_by_job == {'j': 3}

    journal.run(scenario)


def test_small_rows_are_respected():
    options = cell.Options(
        record_part_bytes=1000, cores=16, max_starts_in_flight=1000
    )
    bench = cells.Bench(MANY_WORKERS, options=options)
    _run_job_with_checkpoints(bench, 'c')
    bench.tick(2.0)
    (save,) = bench.effects_of(effects.SaveRecords)
    (record,) = save.progress_by_job.values()
    assert save.entries == effects.count_parts(record, 1000) > 20


def test_a_rejected_save_is_split_until_one_record_is_left():
    bench = cells.Bench((cells.entry('w', cores=500),))
    orders = []
    for number in range(8):
        orders += bench.accept(cells.job(f'{number:x}', cells.step(2)))
    bench.state.save_after = bench.now + 1.0
    for order in orders[::2]:
        bench.answer_start(order)
        bench.finish_run(order)
    bench.tick(2.0)
    bad = cells.job('3').id
    stored: set[str] = set()
    for _ in range(100):
        saves = bench.effects_of(effects.SaveRecords)
        if not saves:
            # A save that failed is repeated after a pause.
            bench.tick(1.0)
            continue
        (save,) = saves
        if bad in save.progress_by_job:
            bench.send(events.RecordsFailed(0.0, is_rejected=True))
            continue
        stored |= set(save.progress_by_job)
        bench.store_records()
    assert stored == {cells.job(f'{n:x}').id for n in range(8)} - {bad}
    assert bench.state.rejected_jobs == {bad}
    # The next owner needs the completions that are not stored.
    worker = bench.state.workers['w']
    assert worker.last_stored_completion < worker.last_completion


def test_a_rejected_change_fails_alone():
    async def scenario():
        harness = journal.WriterHarness()
        # The store takes less than the writer knows of.
        harness.store.limits = ports.StoreLimits(row_bytes=1000)
        names = [f'k{number}' for number in range(20)]
        long = {'k3', 'k11'}
        results = await asyncio.gather(
            *(
                harness.writer.write(
                    journal.overwrite(n, b'v' * (2000 if n in long else 1))
                )
                for n in names
            )
        )
        rejected = {
            name
            for name, result in zip(names, results, strict=True)
            if result.outcome is WriteOutcome.REJECTED
        }
        assert rejected == long
        assert all(r.reason for r in results if r.outcome.value == 'rejected')
        stored = {key for _, _, key in harness.store.rows}
        assert set(names) - stored == long
        assert harness.decisions.count('change_rejected') == 2
        assert 'writes_fail' not in harness.decisions

    journal.run(scenario)


sizes = strategies.one_of(
    strategies.integers(0, 300),
    strategies.integers(LIMITS.row_bytes - 2, LIMITS.row_bytes + 2),
)
changes = strategies.tuples(
    # Number of rows, size of each, and length of the key.
    strategies.one_of(
        strategies.integers(1, 12), strategies.integers(90, 110)
    ),
    sizes,
    strategies.one_of(
        strategies.integers(8, 20), strategies.integers(198, 202)
    ),
    strategies.booleans(),
)


@hypothesis.given(strategies.lists(changes, min_size=1, max_size=12))
def test_changes_of_any_size_are_stored_or_rejected_alone(drawn):
    async def scenario():
        harness = journal.WriterHarness()
        planned = []
        for number, (rows, size, length, fails_fast) in enumerate(drawn):
            keys = [
                f'{number:03}-{row:03}'.ljust(length, 'k')
                for row in range(rows)
            ]
            planned.append((keys, size, fails_fast))
        results = await asyncio.gather(
            *(
                harness.writer.write(
                    _groupwriter.Change(
                        puts={ports.Key('t', k): b'v' * size for k in keys},
                        fails_fast=fails_fast,
                    )
                )
                for keys, size, fails_fast in planned
            )
        )
        stored = {key for _, _, key in harness.store.rows}
        for (keys, size, _), result in zip(planned, results, strict=True):
            fits = (
                len(keys) <= LIMITS.entries - _groupwriter.OWN_ENTRIES
                and size <= LIMITS.row_bytes
                and size * len(keys) <= LIMITS.transaction_bytes
                and len(keys[0]) <= LIMITS.name_bytes
            )
            expected = WriteOutcome.STORED if fits else WriteOutcome.REJECTED
            assert result.outcome is expected
            assert set(keys) & stored == (set(keys) if fits else set())
        # The writer knows all limits, so no call goes out in vain.
        assert not harness.store.rejections
        harness.writer.close()

    journal.run(scenario)


def test_a_rejection_is_no_outage():
    async def scenario():
        harness = journal.WriterHarness()
        decisions: list[str] = []
        store = _watchedstore.WatchedStore(
            harness.store, lambda decision, **_: decisions.append(decision)
        )
        change = ports.Transaction(
            'cell-0', puts={ports.Key('t', 'k'): b'v' * 70_000}
        )
        for _ in range(3):
            with pytest.raises(errors.StoreRejectedError):
                await store.transact(change, 1.0)
            await asyncio.sleep(0.2)
        assert not store.is_unavailable
        assert not decisions

    journal.run(scenario)


@pytest.mark.parametrize(
    'job',
    [
        cells.job('a', cells.step(required_label='x' * 70_000)),
        cells.job('a', cells.step(), times=10_001, every_ms=1),
        cells.job('a', cells.step(500), times=9000, every_ms=1),
    ],
)
def test_a_job_too_large_to_store_or_hold_is_invalid(job):
    with pytest.raises(errors.JobError):
        _jobspec.validate(job, LIMITS.row_bytes)


def test_the_caller_learns_that_the_store_never_takes_a_job():
    async def scenario():
        harness = journal.WriterHarness()
        owner_service = _ownerservice.OwnerService()
        state = cell.Cell(1)

        @attrs.define
        class Runner:
            state: cell.Cell
            writer: _groupwriter.GroupWriter

        owner_service.runner = Runner(state, harness.writer)
        job = cells.job('a', cells.step(required_label='x' * 70_000))
        answer = await owner_service.handlers['accept'](
            {'job': _schema.unstructure(job)}
        )
        assert answer['written'] == 'rejected'
        assert 'bytes' in answer['reason']
        assert not state.jobs

    journal.run(scenario)


def test_what_the_owner_has_learned_is_stored_beside_the_other_rows():
    # A key between those of the heartbeat and the owner would be read by all
    # nodes several times a second.
    async def scenario():
        harness = journal.WriterHarness()
        save = effects.SaveRecords({}, {}, learned='{"kinds":[]}')
        assert save.entries == 1
        assert await _records.save(harness.writer, save) is WriteOutcome.STORED
        restored = await _restore(harness)
        assert restored.to_event(0.0, 0.0).learned == '{"kinds":[]}'
        assert _schema.LEARNED_KEY > _schema.OWNER_KEY

    journal.run(scenario)
