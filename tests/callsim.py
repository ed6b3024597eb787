"""Nodes that store and cancel jobs for callers, in virtual time.

The services, the owner's writer and its runner are real. The store and the
network are simulated, and a node may freeze: its messages then wait. Jobs are
stored and cancelled, but there are no workers that could run them.
"""

import asyncio
from collections.abc import Callable
import time
from typing import Any

from tests import cells

import celeryshift_cell as cell
from celeryshift_cell import events
from celeryshift_cellnode import _advice
from celeryshift_cellnode import _election
from celeryshift_cellnode import _followers
from celeryshift_cellnode import _groupwriter
from celeryshift_cellnode import _metrics
from celeryshift_cellnode import _records
from celeryshift_cellnode import _runner
from celeryshift_cellnode import _schema
from celeryshift_cellnode import _watchedstore
from celeryshift_cellnode import errors
from celeryshift_cellnode import ports
from celeryshift_cellnode import service
from celeryshift_standins import rowstore

HOST = 'host'
PREFIX = '/field/'
ROUTE = ports.Route(HOST, PREFIX, 'field', True)
NETWORK_S = 0.001
LEASE_S = 1000.0


def _ignore(*_: Any, **__: Any) -> None:
    pass


class _StoreAccess:
    """Access of one node to the store."""

    progressed_at = 0.0

    def __init__(self, store: rowstore.RowStore, node: 'Node') -> None:
        self._store = store
        self._node = node

    async def transact(
        self, transaction: ports.Transaction, timeout_s: float
    ) -> Any:
        """Carry out a transaction."""
        return await self._call(self._store.transact, transaction, timeout_s)

    async def read(self, *arguments: Any) -> Any:
        """Read rows."""
        return await self._call(self._store.read, *arguments)

    async def read_changes(self, *arguments: Any) -> Any:
        """Wait for changes to a table."""
        return await self._call(self._store.read_changes, *arguments)

    async def _call(self, function: Callable, *arguments: Any) -> Any:
        await self._node.thaw()
        await asyncio.sleep(NETWORK_S)
        try:
            return await function(*arguments)
        finally:
            await self._node.thaw()


class Node:
    """Node that answers callers, and may own the cell."""

    def __init__(self, site: 'Site', name: str) -> None:
        self._site = site
        self.name = name
        self.frozen_until = 0.0
        self.store = _watchedstore.WatchedStore(
            _StoreAccess(site.rows, self), _ignore
        )
        self.service = service.Service(
            self.store,
            self,  # type: ignore[arg-type]
            _ignore,
            _metrics.Metrics(),
            ports.StoreLimits().row_bytes,
        )
        self.service.configure(ports.Configuration(cells.config(), (ROUTE,)))
        self._follower: asyncio.Task[None] | None = None
        self._calls: set[asyncio.Task[Any]] = set()

    async def thaw(self) -> None:
        """Wait until the node is not frozen."""
        until = time.monotonic()
        while until < self.frozen_until:
            # It may freeze for longer meanwhile.
            until = self.frozen_until
            await asyncio.sleep(until - time.monotonic())

    async def call(self, name: str, body: Any, timeout_s: float) -> Any:
        """Call a function of the owner, which goes on after a timeout."""
        owner = self._site.owner
        await self.thaw()
        task = asyncio.create_task(owner.answer(name, body))
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)
        done, _ = await asyncio.wait({task}, timeout=timeout_s)
        await self.thaw()
        if not done:
            raise errors.PeerError('no answer')
        return task.result()

    async def answer(self, name: str, body: Any) -> Any:
        """Answer a call of another node, once this one is not frozen."""
        await asyncio.sleep(NETWORK_S)
        await self.thaw()
        return await self.service.owner_service.handlers[name](body)

    async def acquire(self, epoch: int) -> None:
        """Own the cell, with what the store has of it."""
        self.close()
        rows = self._site.rows
        rows.put(_schema.CELLS, _schema.CELL, _schema.OWNER_KEY, b'%d' % epoch)
        heartbeat = rows.rows.get(
            (_schema.CELLS, _schema.CELL, _schema.HEARTBEAT_KEY)
        )
        lease = _election.OwnerLease(time.monotonic() + LEASE_S)
        writer = _groupwriter.GroupWriter(
            self.store,
            rows.version,
            heartbeat.version if heartbeat else 0,
            lease,
            _ignore,
            lambda _: self._lose(writer),
            ports.StoreLimits(),
        )
        runner = _runner.Runner(
            epoch,
            cell.Options(),
            lease,
            None,  # type: ignore[arg-type]
            _advice.AdviceScheduler(None, list),  # type: ignore[arg-type]
            writer,
            _ignore,
            _metrics.Metrics(),
            _ignore,
        )
        restored = await _records.restore(self.store, writer, _ignore)
        now = time.monotonic()
        runner.enqueue(events.ConfigChanged(now, cells.config()))
        runner.enqueue(restored.to_event(now, now))
        self.service.owner_service.runner = runner
        follower = _followers.JobsFollower(self.store, runner, _ignore)
        self._follower = asyncio.create_task(follower.run(restored.version))

    def _lose(self, writer: _groupwriter.GroupWriter) -> None:
        runner = self.service.owner_service.runner
        if runner is not None and runner.writer is writer:
            self.close()

    def close(self) -> None:
        """Stop owning the cell."""
        runner = self.service.owner_service.runner
        self.service.owner_service.runner = None
        if runner is not None:
            runner.close()
        if self._follower is not None:
            self._follower.cancel()


class Site:
    """Nodes of one cell, their store, and calls of callers."""

    def __init__(self, count: int = 3) -> None:
        self.rows = rowstore.RowStore()
        self.nodes = [Node(self, f'n{number}') for number in range(count)]
        # Node that the others take for the owner.
        self.owner = self.nodes[0]
        self._epoch = 0

    async def take_over(self, owner: Node) -> None:
        """Make a node the owner; the former one learns it from the store."""
        self._epoch += 1
        await owner.acquire(self._epoch)
        self.owner = owner

    def close(self) -> None:
        """End all work of the nodes."""
        for node in self.nodes:
            node.close()

    async def submit(
        self, node: Node, job_id: str, timeout_s: float = 3.0
    ) -> service.Verdict:
        """Submit a job through a node."""
        await node.thaw()

        def build(*_: str) -> Any:
            return cells.job(job_id)

        answer = await node.service.submit(_call(job_id, timeout_s), build)
        await node.thaw()
        return answer.verdict

    async def cancel(
        self, node: Node, job_id: str, timeout_s: float = 3.0
    ) -> service.Verdict:
        """Cancel a job through a node."""
        await node.thaw()
        answer = await node.service.cancel(_call(job_id, timeout_s))
        await node.thaw()
        return answer.verdict

    async def state(self, node: Node, job_id: str) -> str | None:
        """Return the state of a job that a node shows."""
        answer = await node.service.get_state(_call(job_id, 3.0))
        return answer.body['state'] if answer.body else None

    def is_live(self, job_id: str) -> bool:
        """Return whether the store has a job that may still run."""
        return (_schema.JOBS, _schema.CELL, job_id) in self.rows.rows


def _call(job_id: str, timeout_s: float) -> service.Call:
    return service.Call(HOST, PREFIX + job_id, None, timeout_s)
