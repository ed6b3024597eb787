"""Group writer of a cell: grouping, order and writes in doubt."""

import asyncio

from tests import virtualtime

from celeryshift_cellnode import _election
from celeryshift_cellnode import _groupwriter
from celeryshift_cellnode import _schema
from celeryshift_cellnode import ports
from celeryshift_standins import rowstore

Fault = rowstore.Fault
WriteOutcome = _groupwriter.WriteOutcome


class WriterHarness:
    """A group writer with its store and a record of its callbacks."""

    def __init__(self) -> None:
        self.store = rowstore.RowStore()
        self.store.put(_schema.CELLS, _schema.CELL, _schema.OWNER_KEY, b'me')
        self.lease = _election.OwnerLease()
        self.lost_reasons: list[str] = []
        self.decisions: list[str] = []
        self.writer = _groupwriter.GroupWriter(
            self.store,
            self.store.version,
            0,
            self.lease,
            lambda decision, **_: self.decisions.append(decision),
            self.lost_reasons.append,
            ports.StoreLimits(),
        )

    def value(self, name: str) -> bytes | None:
        """Return the value of a row of the cell, None if there is none."""
        row = self.store.rows.get(('t', _schema.CELL, name))
        return row and row.value


def change(
    name: str, value: bytes = b'v', **fields: bool
) -> _groupwriter.Change:
    """Return a change that adds a row, which must not exist."""
    key = ports.Key('t', name)
    return _groupwriter.Change((key,), {key: value}, **fields)


def overwrite(name: str, value: bytes) -> _groupwriter.Change:
    """Return a change that writes a row, whether or not it exists."""
    return _groupwriter.Change(puts={ports.Key('t', name): value})


def run(scenario) -> None:
    virtualtime.run(scenario(), 20)


def test_changes_that_come_together_take_one_transaction():
    async def scenario():
        harness = WriterHarness()
        writes = [harness.writer.write(change(f'k{i}')) for i in range(20)]
        results = await asyncio.gather(*writes)
        assert all(r.outcome is WriteOutcome.STORED for r in results)
        assert harness.store.writes == 1

    run(scenario)


def test_a_row_that_is_there_does_not_hold_up_the_others():
    async def scenario():
        harness = WriterHarness()
        harness.store.put('t', _schema.CELL, 'old', b'there')
        old, new = await asyncio.gather(
            harness.writer.write(change('old')),
            harness.writer.write(change('new')),
        )
        assert old.outcome is WriteOutcome.EXISTS
        assert new.outcome is WriteOutcome.STORED
        assert harness.value('old') == b'there'

    run(scenario)


def test_the_end_of_a_job_and_its_repetition_are_not_written_together():
    # One group removed the row of a job that had ended and stored it again
    # for a caller who had repeated it.
    async def scenario():
        harness = WriterHarness()
        live, ended = (ports.Key(t, 'job') for t in ('live', 'ended'))
        harness.store.put('live', _schema.CELL, 'job', b'job')
        end = _groupwriter.Change(puts={ended: b'end'}, removes=(live,))
        repetition = _groupwriter.Change(
            absent=(ended,), puts={live: b'job'}, fails_fast=True
        )
        results = await asyncio.gather(
            harness.writer.write(end), harness.writer.write(repetition)
        )
        outcomes = [result.outcome for result in results]
        assert outcomes == [WriteOutcome.STORED, WriteOutcome.EXISTS]
        assert ('live', _schema.CELL, 'job') not in harness.store.rows

    run(scenario)


def test_a_lost_answer_is_settled_by_another_attempt():
    async def scenario():
        harness = WriterHarness()
        harness.store.faults = [Fault.LOSE_ANSWER]
        loop = asyncio.get_running_loop()
        began = loop.time()
        result = await harness.writer.write(change('k'))
        assert result.outcome is WriteOutcome.STORED
        assert result.version == harness.store.rows['t', 'cell-0', 'k'].version
        assert loop.time() - began < 1.0

    run(scenario)


def test_a_late_group_never_overwrites_a_later_one():
    async def scenario():
        harness = WriterHarness()
        harness.store.late_write_delay_s = 0.5
        harness.store.faults = [Fault.APPLY_LATE]
        await harness.writer.write(overwrite('k', b'first'))
        await harness.writer.write(overwrite('k', b'second'))
        await asyncio.sleep(0.6)
        assert harness.value('k') == b'second'

    run(scenario)


def test_a_refused_job_is_given_back_at_once_and_never_stored():
    async def scenario():
        harness = WriterHarness()
        harness.store.faults = [Fault.REFUSE] * 8
        result = await harness.writer.write(change('k', fails_fast=True))
        assert result.outcome is WriteOutcome.REFUSED
        while harness.store.faults:
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.5)
        assert harness.value('k') is None

    run(scenario)


def test_a_job_in_doubt_is_not_told_as_refused():
    async def scenario():
        harness = WriterHarness()
        harness.store.faults = [Fault.APPLY_LATE, Fault.REFUSE]
        harness.store.late_write_delay_s = 2.0
        result = await harness.writer.write(change('k', fails_fast=True))
        assert result.outcome is WriteOutcome.UNKNOWN

    run(scenario)


def test_records_wait_for_the_store_to_come_back():
    async def scenario():
        harness = WriterHarness()
        harness.store.faults = [Fault.REFUSE] * 4
        result = await harness.writer.write(overwrite('k', b'v'))
        assert result.outcome is WriteOutcome.STORED
        assert 'writes_fail' in harness.decisions

    run(scenario)


def test_a_deposed_owner_writes_nothing():
    async def scenario():
        harness = WriterHarness()
        harness.store.put(_schema.CELLS, _schema.CELL, _schema.OWNER_KEY, b'x')
        result = await harness.writer.write(overwrite('k', b'v'))
        assert result.outcome is WriteOutcome.NOT_OWNER
        assert harness.value('k') is None
        assert harness.lost_reasons

    run(scenario)


def test_a_change_on_its_way_when_the_journal_closes_is_in_doubt():
    async def scenario():
        harness = WriterHarness()
        harness.store.latency_s = 0.5
        sent = asyncio.create_task(harness.writer.write(change('sent')))
        await asyncio.sleep(0.1)
        queued = asyncio.create_task(harness.writer.write(change('queued')))
        await asyncio.sleep(0.05)
        harness.writer.close()
        assert (await sent).outcome is WriteOutcome.UNKNOWN
        assert (await queued).outcome is WriteOutcome.NOT_OWNER

    run(scenario)


def test_a_flush_waits_for_what_is_there_and_no_more():
    async def scenario():
        harness = WriterHarness()
        first = asyncio.create_task(harness.writer.write(change('first')))
        await asyncio.sleep(0)

        async def submit() -> None:
            for number in range(1000):
                await harness.writer.write(change(f'more-{number}'))

        submissions = asyncio.create_task(submit())
        async with asyncio.timeout(1.0):
            await harness.writer.flush()
        assert first.done()
        submissions.cancel()

    run(scenario)


def test_an_idle_owner_renews_its_right():
    async def scenario():
        harness = WriterHarness()
        await asyncio.sleep(1.3)
        loop = asyncio.get_running_loop()
        assert harness.lease.expires_at > loop.time()
        assert (
            2 <= harness.store.writes <= 1.3 / _election.HEARTBEAT_INTERVAL_S
        )

    run(scenario)


def test_jobs_handed_in_do_not_hold_up_the_ends_of_others():
    # While the store was slow, submitted jobs filled every group, and no job
    # was shown as completed for five seconds.
    async def scenario():
        harness = WriterHarness()
        harness.store.latency_s = 0.05
        flood = [
            asyncio.ensure_future(
                harness.writer.write(change(f'k{i}', fails_fast=True))
            )
            for i in range(200)
        ]
        result = await harness.writer.write(overwrite('ended', b'v'))
        assert result.outcome is WriteOutcome.STORED
        assert harness.store.writes <= 2
        await asyncio.gather(*flood)

    run(scenario)
