"""The owner's writes: grouped, in order, and settled when in doubt."""

import asyncio

from celeryshift_cellnode import _election
from celeryshift_cellnode import _groupwriter
from celeryshift_cellnode import _schema
from celeryshift_cellnode import ports
from celeryshift_standins import rowstore

Fault = rowstore.Fault
WriteOutcome = _groupwriter.WriteOutcome


class Desk:
    """Hold a journal, its store, and what it told."""

    def __init__(self) -> None:
        self.store = rowstore.RowStore()
        self.store.put(_schema.CELLS, _schema.CELL, _schema.OWNER_KEY, b'me')
        self.right = _election.OwnerLease()
        self.lost: list[str] = []
        self.notes: list[str] = []
        self.journal = _groupwriter.GroupWriter(
            self.store,
            self.store.version,
            0,
            self.right,
            lambda decision, **_: self.notes.append(decision),
            self.lost.append,
        )

    def value(self, name: str) -> bytes | None:
        """Give the value of a row of the cell."""
        row = self.store.rows.get(('t', _schema.CELL, name))
        return row and row.value


def change(
    name: str, value: bytes = b'v', **fields: bool
) -> _groupwriter.Change:
    key = ports.Key('t', name)
    return _groupwriter.Change((key,), {key: value}, **fields)


def overwrite(name: str, value: bytes) -> _groupwriter.Change:
    return _groupwriter.Change(puts={ports.Key('t', name): value})


def run(work) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(20):
            await work()

    asyncio.run(bounded())


def test_changes_that_come_together_take_one_transaction():
    async def work():
        desk = Desk()
        writes = [desk.journal.write(change(f'k{i}')) for i in range(20)]
        results = await asyncio.gather(*writes)
        assert all(r.outcome is WriteOutcome.STORED for r in results)
        assert desk.store.writes == 1

    run(work)


def test_a_row_that_is_there_does_not_hold_up_the_others():
    async def work():
        desk = Desk()
        desk.store.put('t', _schema.CELL, 'old', b'there')
        old, new = await asyncio.gather(
            desk.journal.write(change('old')),
            desk.journal.write(change('new')),
        )
        assert old.outcome is WriteOutcome.EXISTS
        assert new.outcome is WriteOutcome.STORED
        assert desk.value('old') == b'there'

    run(work)


def test_a_lost_answer_is_settled_by_another_attempt():
    async def work():
        desk = Desk()
        desk.store.faults = [Fault.LOSE_ANSWER]
        loop = asyncio.get_running_loop()
        began = loop.time()
        result = await desk.journal.write(change('k'))
        assert result.outcome is WriteOutcome.STORED
        assert result.version == desk.store.rows['t', 'cell-0', 'k'].version
        assert loop.time() - began < 1.0

    run(work)


def test_a_late_group_never_overwrites_a_later_one():
    async def work():
        desk = Desk()
        desk.store.late_write_delay_s = 0.5
        desk.store.faults = [Fault.APPLY_LATE]
        await desk.journal.write(overwrite('k', b'first'))
        await desk.journal.write(overwrite('k', b'second'))
        await asyncio.sleep(0.6)
        assert desk.value('k') == b'second'

    run(work)


def test_a_refused_job_is_given_back_at_once_and_never_stored():
    async def work():
        desk = Desk()
        desk.store.faults = [Fault.REFUSE] * 8
        result = await desk.journal.write(change('k', fails_fast=True))
        assert result.outcome is WriteOutcome.REFUSED
        while desk.store.faults:
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.5)
        assert desk.value('k') is None

    run(work)


def test_a_job_in_doubt_is_not_told_as_refused():
    async def work():
        desk = Desk()
        desk.store.faults = [Fault.APPLY_LATE, Fault.REFUSE]
        desk.store.late_write_delay_s = 2.0
        result = await desk.journal.write(change('k', fails_fast=True))
        assert result.outcome is WriteOutcome.UNKNOWN

    run(work)


def test_records_wait_for_the_store_to_come_back():
    async def work():
        desk = Desk()
        desk.store.faults = [Fault.REFUSE] * 4
        result = await desk.journal.write(overwrite('k', b'v'))
        assert result.outcome is WriteOutcome.STORED
        assert 'writes_fail' in desk.notes

    run(work)


def test_a_deposed_owner_writes_nothing():
    async def work():
        desk = Desk()
        desk.store.put(_schema.CELLS, _schema.CELL, _schema.OWNER_KEY, b'x')
        result = await desk.journal.write(overwrite('k', b'v'))
        assert result.outcome is WriteOutcome.NOT_OWNER
        assert desk.value('k') is None
        assert desk.lost

    run(work)


def test_a_change_on_its_way_when_the_journal_closes_is_in_doubt():
    async def work():
        desk = Desk()
        desk.store.latency_s = 0.5
        sent = asyncio.create_task(desk.journal.write(change('sent')))
        await asyncio.sleep(0.1)
        queued = asyncio.create_task(desk.journal.write(change('queued')))
        await asyncio.sleep(0.05)
        desk.journal.close()
        assert (await sent).outcome is WriteOutcome.UNKNOWN
        assert (await queued).outcome is WriteOutcome.NOT_OWNER

    run(work)


def test_a_flush_waits_for_what_is_there_and_no_more():
    async def work():
        desk = Desk()
        first = asyncio.create_task(desk.journal.write(change('first')))
        await asyncio.sleep(0)

        async def press() -> None:
            for number in range(1000):
                await desk.journal.write(change(f'more-{number}'))

        pressing = asyncio.create_task(press())
        async with asyncio.timeout(1.0):
            await desk.journal.flush()
        assert first.done()
        pressing.cancel()

    run(work)


def test_an_idle_owner_renews_its_right():
    async def work():
        desk = Desk()
        await asyncio.sleep(1.3)
        loop = asyncio.get_running_loop()
        assert desk.right.expires_at > loop.time()
        assert 2 <= desk.store.writes <= 1.3 / _election.HEARTBEAT_INTERVAL_S

    run(work)


def test_jobs_handed_in_do_not_hold_up_the_ends_of_others():
    # Seen on the bench (trouble-2 of apmn-escala-grown): while the store
    # was slow, every group was full of jobs handed in, and no job was shown
    # as completed for five seconds.
    async def work():
        desk = Desk()
        desk.store.latency_s = 0.05
        flood = [
            asyncio.ensure_future(
                desk.journal.write(change(f'k{i}', fails_fast=True))
            )
            for i in range(200)
        ]
        result = await desk.journal.write(overwrite('ended', b'v'))
        assert result.outcome is WriteOutcome.STORED
        assert desk.store.writes <= 2
        await asyncio.gather(*flood)

    run(work)
