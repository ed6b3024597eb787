"""What the owner answers to nodes that hand jobs in."""

import asyncio

import attrs
from tests import cells

import celeryshift_cell as cell
from celeryshift_cell import events
from celeryshift_cellnode import _desk
from celeryshift_cellnode import _election
from celeryshift_cellnode import _groupwriter
from celeryshift_cellnode import _schema
from celeryshift_standins import rowstore


@attrs.define
class Runner:
    """Stand in for the runner of a cell."""

    state: cell.Cell
    journal: _groupwriter.GroupWriter

    def feed(self, event: events.Event) -> None:
        """Apply an event at once."""
        cell.reduce(self.state, event)


def _open() -> tuple[_desk.Desk, rowstore.RowStore]:
    store = rowstore.RowStore()
    store.put(_schema.CELLS, _schema.CELL, _schema.OWNER_KEY, b'me')
    journal = _groupwriter.GroupWriter(
        store,
        store.version,
        0,
        _election.OwnerLease(),
        lambda *_, **__: None,
        lambda _: None,
    )
    desk = _desk.Desk()
    desk.runner = Runner(cell.Cell(1), journal)  # type: ignore[assignment]
    return desk, store


async def _accept(desk, name):
    body = {'job': _schema.dump_parts(cells.job(name))}
    return (await desk.handlers['accept'](body))['written']


def test_a_job_that_comes_twice_at_once_is_written_once():
    # Seen on the bench (trouble-2 of apmn-escala-grown): on a slow store
    # callers came again, and each time the whole group of changes was
    # written once more without the row that was there.
    async def work():
        desk, store = _open()
        store.latency_s = 0.1
        first = asyncio.ensure_future(_accept(desk, 'j'))
        await asyncio.sleep(0.05)
        again = asyncio.ensure_future(_accept(desk, 'j'))
        other = asyncio.ensure_future(_accept(desk, 'k'))
        assert await asyncio.gather(first, again) == ['stored', 'stored']
        assert await other == 'stored'
        assert store.writes == 2

    asyncio.run(work())


def test_a_job_that_is_known_is_not_written_again():
    async def work():
        desk, store = _open()
        assert await _accept(desk, 'j') == 'stored'
        assert await _accept(desk, 'j') == 'exists'
        assert store.writes == 1

    asyncio.run(work())


def test_a_job_that_has_ended_under_a_former_owner_is_not_taken_again():
    async def work():
        desk, store = _open()
        name = cells.job('j').id
        store.put(_schema.ENDED, _schema.CELL, name, b'{}')
        assert await _accept(desk, 'j') == 'exists'
        assert not desk.runner.state.jobs

    asyncio.run(work())
