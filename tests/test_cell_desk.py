"""Answers of the owner to nodes that submit jobs."""

import asyncio

import attrs
from tests import cells
from tests import virtualtime

import celeryshift_cell as cell
from celeryshift_cell import events
from celeryshift_cellnode import _election
from celeryshift_cellnode import _groupwriter
from celeryshift_cellnode import _ownerservice
from celeryshift_cellnode import _schema
from celeryshift_cellnode import ports
from celeryshift_standins import rowstore


@attrs.define
class Runner:
    """Runner that applies events without executing effects."""

    state: cell.Cell
    writer: _groupwriter.GroupWriter

    def enqueue(self, event: events.Event) -> None:
        """Apply an event at once."""
        cell.reduce(self.state, event)


def _open_service() -> tuple[_ownerservice.OwnerService, rowstore.RowStore]:
    store = rowstore.RowStore()
    store.put(_schema.CELLS, _schema.CELL, _schema.OWNER_KEY, b'me')
    writer = _groupwriter.GroupWriter(
        store,
        store.version,
        0,
        _election.OwnerLease(),
        lambda *_, **__: None,
        lambda _: None,
        ports.StoreLimits(),
    )
    owner_service = _ownerservice.OwnerService()
    owner_service.runner = Runner(cell.Cell(1), writer)  # type: ignore[assignment]
    return owner_service, store


async def _accept(owner_service, name):
    body = {'job': _schema.unstructure(cells.job(name))}
    return (await owner_service.handlers['accept'](body))['written']


def test_a_job_that_comes_twice_at_once_is_written_once():
    # While the store was slow, callers submitted jobs again. Each repetition
    # made the whole group of changes be written once more without the row that
    # already existed.
    async def work():
        owner_service, store = _open_service()
        store.latency_s = 0.1
        first = asyncio.ensure_future(_accept(owner_service, 'j'))
        await asyncio.sleep(0.05)
        again = asyncio.ensure_future(_accept(owner_service, 'j'))
        other = asyncio.ensure_future(_accept(owner_service, 'k'))
        assert await asyncio.gather(first, again) == ['stored', 'stored']
        assert await other == 'stored'
        assert store.writes == 2

    virtualtime.run(work())


def test_a_job_that_is_known_is_not_written_again():
    async def work():
        owner_service, store = _open_service()
        assert await _accept(owner_service, 'j') == 'stored'
        assert await _accept(owner_service, 'j') == 'exists'
        assert store.writes == 1

    virtualtime.run(work())


def test_a_job_that_has_ended_under_a_former_owner_is_not_taken_again():
    async def work():
        owner_service, store = _open_service()
        name = cells.job('j').id
        store.put(_schema.ENDED, _schema.CELL, name, b'{}')
        assert await _accept(owner_service, 'j') == 'exists'
        assert not owner_service.runner.state.jobs

    virtualtime.run(work())
