"""Builders of nodes that meet in one store and call each other."""

import asyncio
from collections.abc import Callable
from typing import Any

from celeryshift_cellnode import _membership
from celeryshift_cellnode import _ownership
from celeryshift_cellnode import _schema
from celeryshift_cellnode import _watchedstore
from celeryshift_cellnode import errors
from celeryshift_cellnode import ports
from celeryshift_standins import rowstore


class Access:
    """Reach a store, as long as this node is let in."""

    def __init__(self, store: rowstore.RowStore) -> None:
        self.store = store
        self.is_open = True
        # Time that the answer to a transaction takes to arrive.
        self.answer_delay_s = 0.0

    async def _wait(self, timeout_s: float) -> None:
        if not self.is_open:
            await asyncio.sleep(timeout_s)
            raise errors.StoreOutcomeUnknownError('no answer')

    async def transact(
        self, transaction: ports.Transaction, timeout_s: float
    ) -> Any:
        """Carry out a transaction."""
        await self._wait(timeout_s)
        answer = await self.store.transact(transaction, timeout_s)
        await asyncio.sleep(self.answer_delay_s)
        return answer

    async def read(
        self,
        table: str,
        part: str,
        first: str = '',
        last: str | None = None,
        timeout_s: float = 1.0,
    ) -> ports.ReadResult:
        """Read rows."""
        await self._wait(timeout_s)
        return await self.store.read(table, part, first, last)

    async def read_changes(
        self, table: str, after: int, wait_ms: int
    ) -> ports.ReadResult:
        """Follow a table."""
        await self._wait(wait_ms / 1000)
        return await self.store.read_changes(table, after, wait_ms)


class Network:
    """Carry calls between nodes."""

    def __init__(self) -> None:
        self.handlers: dict[str, dict[str, Callable]] = {}
        self.silent: set[str] = set()
        # Connections to these are reset, as by some cuts.
        self.reset: set[str] = set()

    async def call(
        self, address: str, name: str, body: Any, timeout_s: float = 1.0
    ) -> Any:
        """Call a function of a node."""
        if address in self.silent:
            await asyncio.sleep(timeout_s)
            raise errors.PeerError('no answer')
        if address not in self.handlers or address in self.reset:
            raise errors.PeerRefusedError('refused')
        return await self.handlers[address][name](body)


class Member:
    """Hold one node: its ownership, and what it was told."""

    def __init__(
        self,
        name: str,
        store: rowstore.RowStore,
        network: Network,
        cores: float = 1.0,
    ) -> None:
        self.me = _schema.Node(name, name, f'{name}-1', f'dc-{name}', cores)
        self.access = Access(store)
        self.notes: list[str] = []
        self.owned_at: list[float] = []
        self.lost_at: list[float] = []
        watched = _watchedstore.WatchedStore(self.access, self.note)
        self.membership = _membership.Membership(watched, self.me, self.note)
        self.ownership = _ownership.Ownership(
            watched,
            self.me,
            self.membership,
            network,  # type: ignore[arg-type]
            self.note,
            self._taken,
            self._lost,
        )
        self._watched = watched
        self._network = network
        self.tasks: list[asyncio.Task] = []

    def note(self, decision: str, **fields: Any) -> None:
        """Keep what was decided."""
        self.notes.append(decision)

    async def _taken(
        self, owner: _schema.Owner, version: int, former_until: float
    ) -> None:
        self.owned_at.append(asyncio.get_running_loop().time())
        self.tasks.append(asyncio.create_task(self._renew()))

    def _lost(self, why: str) -> None:
        self.lost_at.append(asyncio.get_running_loop().time())

    async def _renew(self) -> None:
        while self.ownership.is_owner:
            sent_at = asyncio.get_running_loop().time()
            view = self.ownership.view
            change = ports.Transaction(
                _schema.CELL,
                {_ownership.OWNER: view.owner_version},
                {_ownership.BEAT: b'beat'},
            )
            try:
                answer = await self._watched.transact(change, 1.0)
            except errors.StoreError:
                continue
            if isinstance(answer, ports.Conflict):
                self.ownership.step_down('deposed')
                return
            self.ownership.right.renewed(sent_at)
            await asyncio.sleep(0.3)

    async def start(self) -> None:
        """Join the others."""
        ownership = self.ownership
        self._network.handlers[self.me.address] = {
            'ping': ownership.ping,
            'owner': ownership.announced,
            'promise': ownership.promise,
            'resigned': ownership.resigned,
        }
        self.tasks += [
            asyncio.create_task(self.membership.run()),
            asyncio.create_task(ownership.run()),
        ]

    def kill(self) -> None:
        """End the process."""
        self._network.handlers.pop(self.me.address, None)
        for task in self.tasks:
            task.cancel()


async def members(
    *names: str, cores: float = 1.0
) -> tuple[list[Member], Network]:
    """Start nodes, and wait until one owns the cell and all know all."""
    store, network = rowstore.RowStore(), Network()
    made = [Member(name, store, network, cores) for name in names]
    for member in made:
        await member.start()
    await until(lambda: any(member.owned_at for member in made))
    for member in made:
        await member.membership.read()
    await asyncio.sleep(0.5)
    return made, network


async def until(condition: Callable[[], bool], within_s: float = 10) -> float:
    """Wait for a condition; give the time that it took."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    async with asyncio.timeout(within_s):
        while not condition():
            await asyncio.sleep(0.01)
    return loop.time() - began


def split(made: list[Member]) -> tuple[Member, list[Member]]:
    """Give the owner and the others."""
    (owner,) = [m for m in made if m.ownership.is_owner]
    return owner, [m for m in made if m is not owner]
