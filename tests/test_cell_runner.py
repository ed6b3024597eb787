"""Events and effects of a cell that its runner handles."""

import asyncio
import time

import pytest
from tests import cells
from tests import virtualtime

import celeryshift_cell as cell
from celeryshift_cell import events
from celeryshift_cell import model
from celeryshift_cellnode import _election
from celeryshift_cellnode import _groupwriter
from celeryshift_cellnode import _metrics
from celeryshift_cellnode import _runner
from celeryshift_cellnode import _schema
from celeryshift_cellnode import ports
from celeryshift_standins import rowstore

LEASE_S = 60.0


class Workers:
    """Workers that record start orders and leave polls unanswered."""

    def __init__(self) -> None:
        self.started: list[str] = []
        # How long the connection of a start order takes.
        self.connect_s = 0.0

    async def start(self, order, fence, now):
        """Record a start order once its connection is open."""
        await asyncio.sleep(self.connect_s)
        self.started.append(order.worker_id)
        return events.StartAnswered(
            now(),
            order.worker_id,
            order.incarnation,
            order.task,
            order.run,
            events.Outcome.DONE,
        )

    async def poll(self, order, fence, now):
        """Leave a poll unanswered; tests enqueue the answers."""
        await asyncio.Event().wait()


def _run(work):
    async def bounded():
        workers = Workers()
        store = rowstore.RowStore()
        store.put(_schema.CELLS, _schema.CELL, _schema.OWNER_KEY, b'me')
        lease = _election.OwnerLease(time.monotonic() + LEASE_S)
        writer = _groupwriter.GroupWriter(
            store,
            store.version,
            0,
            lease,
            lambda *_, **__: None,
            lambda _: None,
            ports.StoreLimits(),
        )
        runner = _runner.Runner(
            2,
            cell.Options(),
            lease,
            workers,
            None,  # type: ignore[arg-type]
            writer,
            lambda *_, **__: None,
            _metrics.Metrics(),
            lambda _: None,
        )
        await work(runner, workers)
        runner.close()

    virtualtime.run(bounded(), 10)


def _restore(runner, job):
    now = time.monotonic()
    runner.enqueue(events.ConfigChanged(now, cells.config()))
    entries = (cells.entry('a'), cells.entry('b'))
    runner.enqueue(events.WorkersChanged(now, entries))
    runner.enqueue(
        events.Restored(
            now,
            0,
            (events.StoredJob(job, 1),),
            {},
            (),
            (),
            in_doubt_until=now + LEASE_S,
            version=1,
        )
    )


def _answer_poll(runner, worker, running=(), ended=()):
    now = time.monotonic()
    runner.enqueue(
        events.PollAnswered(now, now, worker, 1, 1, 1000, running, ended)
    )


def test_a_list_that_can_not_be_applied_is_not_taken_for_an_empty_one():
    async def work(runner, workers):
        job = cells.job('1', cells.step(2))
        _restore(runner, job)
        running = events.RunStatus(f'{job.id}.0.0.0', 1, '', 10)
        malformed = events.RunCompletion(
            1,
            f'{job.id}.0.0.1',
            None,  # type: ignore[arg-type]
            model.RunResult.DONE,
            '',
        )
        _answer_poll(runner, 'a', (running,), (malformed,))
        await asyncio.sleep(0.05)
        _answer_poll(runner, 'b')
        await asyncio.sleep(0.2)
        assert not workers.started

    _run(work)


def test_an_event_that_fails_does_not_take_others_with_it():
    async def work(runner, workers):
        _restore(runner, cells.job('1'))
        await asyncio.sleep(0.05)
        malformed = events.RunStatus('x', 1, '', 10)
        runner.enqueue(
            events.PollAnswered(0.0, 0.0, 'a', 1, 1, None, (malformed,), ())
        )
        _answer_poll(runner, 'a')
        _answer_poll(runner, 'b')
        await asyncio.sleep(0.2)
        assert len(workers.started) == 1

    _run(work)


def test_an_order_that_is_connecting_is_not_sent_after_the_ownership():
    async def work(runner, workers):
        workers.connect_s = 0.1
        _restore(runner, cells.job('1'))
        _answer_poll(runner, 'a')
        _answer_poll(runner, 'b')
        await asyncio.sleep(0.05)
        runner.close()
        await asyncio.sleep(0.2)
        assert not workers.started

    _run(work)


class BusyWorkers(Workers):
    """Workers whose answers one process handles one after the other."""

    ANSWER_S = 0.0006
    TIMEOUT_S = 0.3

    def __init__(self, dead: int = 0) -> None:
        super().__init__()
        self._lock = asyncio.Lock()
        self._dead = {f'w{number}' for number in range(dead)}
        self.failed = 0

    async def poll(self, order, fence, now):
        """Answer a poll, unless that takes longer than the timeout."""
        sent_at = now()
        try:
            async with asyncio.timeout(self.TIMEOUT_S):
                if order.worker_id in self._dead:
                    await asyncio.Event().wait()
                async with self._lock:
                    await asyncio.sleep(self.ANSWER_S)
        except TimeoutError:
            self.failed += order.worker_id not in self._dead
            return events.PollFailed(
                now(),
                order.worker_id,
                order.incarnation,
                events.Outcome.UNKNOWN,
            )
        return events.PollAnswered(
            now(),
            sent_at,
            order.worker_id,
            order.incarnation,
            order.incarnation,
            5000,
            (),
            (),
        )


@pytest.mark.parametrize('dead', [0, 500])
def test_a_new_owner_of_many_workers_fences_them_one_after_the_other(dead):
    # A new owner of 3,000 workers polled all of them at once. Most polls took
    # longer than their timeout and were repeated together, so that nearly all
    # workers stayed silent and no task started.
    async def work(runner, _):
        workers = runner._workers = BusyWorkers(dead)
        now = time.monotonic()
        entries = tuple(cells.entry(f'w{n}') for n in range(3000))
        runner.enqueue(events.WorkersChanged(now, entries))
        runner.enqueue(events.Restored(now, 0, (), {}, (), (), 7.0, 0))
        await asyncio.sleep(4.0)
        fenced = [w for w in runner.state.workers.values() if w.is_fenced]
        assert len(fenced) == 3000 - dead
        assert not workers.failed

    _run(work)
