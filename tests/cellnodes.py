"""Nodes in the test process that share a store and call each other."""

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


class StoreAccess:
    """Access of one node to the store, which a test can cut off."""

    progressed_at = 0.0

    def __init__(self, store: rowstore.RowStore) -> None:
        self.store = store
        self.is_reachable = True
        # Latency of the answer to a transaction.
        self.answer_delay_s = 0.0

    async def _wait_for_access(self, timeout_s: float) -> None:
        if not self.is_reachable:
            await asyncio.sleep(timeout_s)
            raise errors.StoreOutcomeUnknownError('no answer')

    async def transact(
        self, transaction: ports.Transaction, timeout_s: float
    ) -> Any:
        """Carry out a transaction."""
        await self._wait_for_access(timeout_s)
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
        await self._wait_for_access(timeout_s)
        return await self.store.read(table, part, first, last)

    async def read_changes(
        self, table: str, after: int, wait_ms: int
    ) -> ports.ReadResult:
        """Wait for changes to a table."""
        await self._wait_for_access(wait_ms / 1000)
        return await self.store.read_changes(table, after, wait_ms)


class Network:
    """Network for calls between nodes."""

    def __init__(self) -> None:
        self.handlers: dict[str, dict[str, Callable]] = {}
        self.unresponsive: set[str] = set()
        # Connections to these addresses are reset, as some partitions do.
        self.refusing: set[str] = set()

    async def call(
        self, address: str, name: str, body: Any, timeout_s: float = 1.0
    ) -> Any:
        """Call a function of a node."""
        if address in self.unresponsive:
            await asyncio.sleep(timeout_s)
            raise errors.PeerError('no answer')
        if address not in self.handlers or address in self.refusing:
            raise errors.PeerRefusedError('refused')
        return await self.handlers[address][name](body)


class Member:
    """One node with its ownership, and a record of its decisions."""

    def __init__(
        self,
        name: str,
        store: rowstore.RowStore,
        network: Network,
        cores: float = 1.0,
    ) -> None:
        self.node = _schema.Node(name, name, f'{name}-1', f'dc-{name}', cores)
        self.access = StoreAccess(store)
        self.decisions: list[str] = []
        self.acquired_at: list[float] = []
        # Until when the former owner may act, by the last ownership.
        self.former_owner_until = 0.0
        self.lost_at: list[float] = []
        watched = _watchedstore.WatchedStore(self.access, self.log_decision)
        self.membership = _membership.Membership(
            watched, self.node, self.log_decision
        )
        self.ownership = _ownership.Ownership(
            watched,
            self.node,
            self.membership,
            network,  # type: ignore[arg-type]
            self.log_decision,
            self._on_acquired,
            self._on_lost,
        )
        self._watched = watched
        self.network = network
        self.tasks: list[asyncio.Task] = []

    def log_decision(self, decision: str, **fields: Any) -> None:
        """Record a decision."""
        self.decisions.append(decision)

    async def _on_acquired(
        self, owner: _schema.Owner, version: int, former_owner_until: float
    ) -> None:
        self.acquired_at.append(asyncio.get_running_loop().time())
        self.former_owner_until = former_owner_until
        self.tasks.append(asyncio.create_task(self._renew()))

    def _on_lost(self, reason: str) -> None:
        self.lost_at.append(asyncio.get_running_loop().time())

    async def _renew(self) -> None:
        while self.ownership.is_owner:
            sent_at = asyncio.get_running_loop().time()
            view = self.ownership.view
            change = ports.Transaction(
                _schema.CELL,
                {_ownership.OWNER: view.owner_version},
                {_ownership.HEARTBEAT: b'beat'},
            )
            try:
                answer = await self._watched.transact(change, 1.0)
            except errors.StoreError:
                continue
            if isinstance(answer, ports.Conflict):
                self.ownership.step_down('deposed')
                return
            self.ownership.lease.renew(sent_at)
            await asyncio.sleep(0.3)

    async def start(self) -> None:
        """Register the handlers, and start the node."""
        ownership = self.ownership
        self.network.handlers[self.node.address] = {
            'ping': ownership.handle_ping,
            'owner': ownership.handle_announcement,
            'promise': ownership.promises.handle_request,
            'resigned': ownership.handle_resignation,
        }
        self.tasks += [
            asyncio.create_task(self.membership.run()),
            asyncio.create_task(ownership.run()),
        ]

    def kill(self) -> None:
        """Stop the node as if its process had been killed."""
        self.network.handlers.pop(self.node.address, None)
        for task in self.tasks:
            task.cancel()


async def start_members(
    *names: str, cores: float = 1.0
) -> tuple[list[Member], Network]:
    """Start nodes; wait until one owns the cell and all know each other."""
    members = await start_mixed_members(dict.fromkeys(names, cores))
    network = members[0].network
    return members, network


async def start_mixed_members(cores_by_name: dict[str, float]) -> list[Member]:
    """Start nodes with different numbers of cores, as above."""
    store, network = rowstore.RowStore(), Network()
    members = [
        Member(name, store, network, cores)
        for name, cores in cores_by_name.items()
    ]
    for member in members:
        await member.start()
    await wait_until(lambda: any(member.acquired_at for member in members))
    for member in members:
        await member.membership.read()
    await asyncio.sleep(0.5)
    return members


async def wait_until(
    condition: Callable[[], bool], within_s: float = 10
) -> float:
    """Wait for a condition; return how long it took."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    async with asyncio.timeout(within_s):
        while not condition():
            await asyncio.sleep(0.01)
    return loop.time() - started_at


def split_owner(members: list[Member]) -> tuple[Member, list[Member]]:
    """Return the owner and the other nodes."""
    (owner,) = [m for m in members if m.ownership.is_owner]
    return owner, [m for m in members if m is not owner]
