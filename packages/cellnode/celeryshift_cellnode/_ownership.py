"""Decides, with the store, which node owns the cell.

The owner keeps its lease valid and may hand the cell over. Every other node
follows the owner row in the store, and acquires the cell when the owner fails.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import enum
import time
from typing import Any

from celeryshift_cellnode import _election
from celeryshift_cellnode import _groupwriter
from celeryshift_cellnode import _membership
from celeryshift_cellnode import _peers
from celeryshift_cellnode import _schema
from celeryshift_cellnode import _watchedstore
from celeryshift_cellnode import errors
from celeryshift_cellnode import ports

OWNER = _groupwriter.OWNER
HEARTBEAT = _groupwriter.HEARTBEAT
ACQUIRE_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 1.0
# How often the owner checks its lease, and the remaining validity below which
# it requests promises from the other nodes.
OWNER_CHECK_INTERVAL_S = 0.1
PROMISE_REQUEST_MARGIN_S = 0.5
PING_TIMEOUT_S = 0.15
PROMISE_TIMEOUT_S = 0.5
# A weak owner hands over to a strong node only after this time, because nodes
# that start together appear one after the other.
WEAK_OWNER_GRACE_S = 2.0
# Timeout of the ping that a successor must answer before a handover.
HANDOVER_TIMEOUT_S = 0.5

# Called with the new owner, the version of its row, and the time until which
# the former owner may act.
AcquiredCallback = Callable[[_schema.Owner, int, float], Awaitable[None]]


class Promise(enum.Enum):
    """Answers of a node to an owner's request for a promise.

    A promise is the pledge not to acquire the cell for a while.
    """

    GIVEN = 'given'
    REFUSED = 'refused'
    NO_ANSWER = 'no answer'


class Ownership:
    """Ownership of the cell, as seen and acted on by this node."""

    def __init__(
        self,
        store: _watchedstore.WatchedStore,
        local_node: _schema.Node,
        membership: _membership.Membership,
        peers: _peers.Peers,
        log_decision: Callable[..., None],
        on_acquired: AcquiredCallback,
        on_lost: Callable[[str], None],
    ) -> None:
        self._store = store
        self._local_node = local_node
        self._membership = membership
        self._peers = peers
        self._log_decision = log_decision
        self._on_acquired = on_acquired
        self._on_lost = on_lost
        self.view = _election.OwnerView()
        self.lease = _election.OwnerLease()
        self.is_leaving = False
        # Version of the owner row for which this node last became the owner.
        self._active_version = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._has_failed_read = False
        # Inputs from which the cached takeover order was computed.
        self._order_inputs: tuple[
            dict[str, _schema.Node], _schema.Owner | None
        ] = ({}, None)
        self._cached_order = _election.TakeoverOrder()
        # Since when this node has been weak compared with others.
        self._weak_since: float | None = None

    @property
    def owner(self) -> _schema.Owner | None:
        """Return the last known owner."""
        return self.view.owner

    @property
    def is_owner(self) -> bool:
        """Return whether this process owns the cell."""
        view = self.view
        return (
            view.owner is not None
            and view.owner.is_process(self._local_node)
            and view.deposed_version != view.owner_version
        )

    def step_down(self, reason: str) -> None:
        """Stop acting as the owner."""
        if self.is_owner:
            self._log_decision(
                'cell_lost', why=reason, version=self.view.owner_version
            )
        self.view.deposed_version = self.view.owner_version
        self._on_lost(reason)

    async def run(self) -> None:
        """Follow the owner, or act as the owner, until cancelled."""
        while True:
            if self.is_owner:
                if self._active_version != self.view.owner_version:
                    # This node became the owner by a handover, or by a write
                    # whose answer was lost.
                    await self._start_owning(
                        None, self._latest_former_owner_until()
                    )
                await self._extend_lease()
                await self._yield_to_stronger_node()
                await asyncio.sleep(OWNER_CHECK_INTERVAL_S)
                continue
            await self._follow_owner()
            if self.is_owner:
                continue
            is_standby = self._rank() < _election.STANDBY_COUNT
            await asyncio.sleep(
                _election.STANDBY_POLL_S
                if is_standby
                else _election.OTHER_POLL_S
            )

    @property
    def _takeover_order(self) -> _election.TakeoverOrder:
        """Return the takeover order, recomputed when its inputs change."""
        nodes, owner = self._membership.nodes, self.view.owner
        known_nodes, known_owner = self._order_inputs
        if known_nodes is not nodes or known_owner != owner:
            self._order_inputs = nodes, owner
            self._cached_order = _election.takeover_order(nodes, owner)
        return self._cached_order

    def _rank(self) -> int:
        return self._takeover_order.rank(self._local_node.name)

    async def _follow_owner(self) -> None:
        try:
            await asyncio.gather(self.read_owner(), self._ping_owner())
        except errors.StoreError as error:
            if not self._has_failed_read:
                self._log_decision('owner_not_seen', error=str(error))
            self._has_failed_read = True
            return
        self._has_failed_read = False
        if self.is_leaving or self.is_owner:
            return
        reason = self.view.takeover_reason(
            time.monotonic(),
            self._rank(),
            self._local_node,
            self._store.last_latency_s,
        )
        if reason is not None:
            await self.acquire(reason)

    async def read_owner(self) -> None:
        """Read the owner row and the latest heartbeat."""
        result = await self._store.read(
            _schema.CELLS,
            _schema.CELL,
            HEARTBEAT.key,
            OWNER.key + '\0',
            READ_TIMEOUT_S,
        )
        rows = {row.key: row for row in result.rows}
        heartbeat = rows.get(HEARTBEAT.key)
        heartbeat_version = heartbeat.version if heartbeat else 0
        owner_row = rows.get(OWNER.key)
        owner = (
            _schema.load(_schema.Owner, owner_row.value) if owner_row else None
        )
        if (
            owner_row is not None
            and owner_row.version < self.view.owner_version
        ):
            # The read is stale: a newer row is already known.
            return
        version = owner_row.version if owner_row else 0
        if version != self.view.owner_version and owner is not None:
            self._log_decision(
                'owner_known', owner=owner.node, epoch=owner.epoch
            )
        self.view.update(time.monotonic(), owner, version, heartbeat_version)

    async def _ping_owner(self) -> None:
        owner = self.view.owner
        is_standby = self._rank() < _election.STANDBY_COUNT
        if (
            owner is None
            or owner.is_process(self._local_node)
            or not is_standby
        ):
            return
        try:
            answer = await self._peers.call(
                owner.address, 'ping', {}, PING_TIMEOUT_S
            )
        except errors.PeerRefusedError:
            if self.view.owner is owner and self.view.refused_since is None:
                self.view.refused_since = time.monotonic()
            return
        except errors.PeerError:
            # A timeout alone does not show that the owner has failed. Missing
            # heartbeats in the store show it.
            return
        if self.view.owner is not owner:
            # The answer says nothing about an owner that was read meanwhile.
            return
        self.view.refused_since = None
        if answer['incarnation'] != owner.incarnation:
            self.view.has_restarted = True

    async def acquire(
        self, reason: str, former_owner_until: float | None = None
    ) -> None:
        """Acquire the cell, unless its owner row or heartbeat has changed.

        ``former_owner_until`` is the time until which the former owner may
        act. If omitted, it is derived from what this node has seen.
        """
        previous = self.view.owner
        epoch = previous.epoch + 1 if previous else 1
        local_node = self._local_node
        owner = _schema.Owner(
            local_node.name, local_node.address, local_node.incarnation, epoch
        )
        has_ended = self.view.has_restarted or (
            previous is None or previous.node == local_node.name
        )
        if former_owner_until is None:
            former_owner_until = (
                time.monotonic()
                if has_ended
                else self.view.former_owner_until()
            )
        await self._write_owner(owner, reason, former_owner_until)

    async def _write_owner(
        self, owner: _schema.Owner, reason: str, former_owner_until: float
    ) -> None:
        view = self.view
        sent_at = time.monotonic()
        change = ports.Transaction(
            _schema.CELL,
            {OWNER: view.owner_version, HEARTBEAT: view.heartbeat_version},
            {OWNER: _schema.dump(owner)},
        )
        try:
            answer = await self._store.transact(change, ACQUIRE_TIMEOUT_S)
        except errors.StoreError as error:
            # If the write took effect after all, the next read shows this node
            # as the owner, and `run` starts the ownership.
            self._log_decision(
                'takeover_unknown', epoch=owner.epoch, error=str(error)
            )
            return
        if isinstance(answer, ports.Conflict):
            # The next read returns the new owner.
            self._log_decision('takeover_lost', epoch=owner.epoch, why=reason)
            return
        self._log_decision(
            'cell_taken',
            epoch=owner.epoch,
            why=reason,
            former=view.owner.node if view.owner else None,
            beat_age_s=round(sent_at - view.heartbeat_seen_at, 3),
        )
        view.update(
            time.monotonic(), owner, answer.version, view.heartbeat_version
        )
        # The former owner may rely on a promise that was given meanwhile.
        former_owner_until = max(former_owner_until, view.promised_until)
        await self._start_owning(sent_at, former_owner_until)

    def _latest_former_owner_until(self) -> float:
        """Return the latest time until which the former owner may act."""
        # The former owner may have renewed its lease until now. This node may
        # also have extended it by a promise while its own write was in flight.
        return max(
            time.monotonic() + _election.OWNER_LEASE_S,
            self.view.promised_until,
        )

    async def _start_owning(
        self, sent_at: float | None, former_owner_until: float
    ) -> None:
        owner, version = self.view.owner, self.view.owner_version
        assert owner is not None
        if self._active_version == version:
            # A read returned the row before the write was answered.
            return
        self._active_version = version
        self.lease.expires_at = 0.0
        if sent_at is not None:
            self.lease.renew(sent_at)
        try:
            await self._on_acquired(owner, version, former_owner_until)
        except Exception as error:
            # An owner that renews its lease but does not act would keep the
            # others from taking over.
            self._log_decision('ownership_not_started', error=repr(error))
            self.step_down('the ownership could not be started')
            return
        for node in self._membership.others:
            self._spawn(self._announce_owner(node.address, owner, version))

    def _spawn(self, work: Any) -> None:
        """Run a coroutine in the background, referenced until it ends."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _announce_owner(
        self, address: str, owner: _schema.Owner, version: int
    ) -> None:
        body = {'owner': _schema.unstructure(owner), 'version': version}
        try:
            await self._peers.call(address, 'owner', body)
        except errors.PeerError as error:
            # The node will read the row from the store.
            self._log_decision(
                'announcement_failed', to=address, error=str(error)
            )

    async def handle_announcement(self, body: Any) -> dict[str, Any]:
        """Record a new owner, which is this node after a handover to it."""
        owner = _schema.structure(_schema.Owner, body['owner'])
        version = body['version']
        if version <= self.view.owner_version:
            return {}
        if owner.is_process(self._local_node):
            self._log_decision('cell_given', epoch=owner.epoch)
        was_owner = self.is_owner
        self.view.update(
            time.monotonic(), owner, version, self.view.heartbeat_version
        )
        self._log_decision('owner_known', owner=owner.node, epoch=owner.epoch)
        if was_owner and not self.is_owner:
            self._on_lost(f'{owner.node} owns the cell')
        return {}

    async def _extend_lease(self) -> None:
        remaining_s = self.lease.expires_at - time.monotonic()
        if remaining_s < PROMISE_REQUEST_MARGIN_S:
            await self._request_promises()

    async def _request_promises(self) -> None:
        """Request promises from all other nodes to extend the lease."""
        requested_at = time.monotonic()
        others = self._membership.others
        if not self.is_owner or not others:
            return
        has_store_contact = (
            self._store.unanswered_s < _election.STORE_CONTACT_S
        )
        answers = await asyncio.gather(
            *(
                self._request_promise(node.address, has_store_contact)
                for node in others
            )
        )
        if all(answer is Promise.GIVEN for answer in answers):
            self.lease.extend_by_promises(requested_at)
            return
        self._log_decision(
            'promises_refused',
            asked=len(answers),
            promised=answers.count(Promise.GIVEN),
            heard=has_store_contact,
            right_left_s=round(self.lease.expires_at - requested_at, 3),
        )
        if has_store_contact or Promise.REFUSED not in answers:
            return
        # A node that can reach the store refuses. The store may have just
        # recovered, and the node may have noticed it before this one.
        if not await self._can_reach_store(_election.LAST_PROBE_S):
            await self._resign(
                [
                    node
                    for node, answer in zip(others, answers, strict=True)
                    if answer is Promise.REFUSED
                ]
            )

    async def _resign(self, nodes: list[_schema.Node]) -> None:
        """Give the cell up to one of the nodes that can reach the store.

        The first in takeover order is asked, since a weak node would hand the
        cell over once more.
        """
        if not self.is_owner:
            return
        order = self._takeover_order
        version = self.view.owner_version
        self.step_down('only other nodes reach the store')
        for node in sorted(nodes, key=lambda node: order.rank(node.name)):
            try:
                await self._peers.call(
                    node.address, 'resigned', {'version': version}
                )
            except errors.PeerRefusedError as error:
                self._log_decision(
                    'no_successor', peer=node.name, error=str(error)
                )
                continue
            except errors.PeerError as error:
                # The node may have been told. If not, the other nodes notice
                # that the heartbeats have stopped.
                self._log_decision(
                    'no_successor', peer=node.name, error=str(error)
                )
            return

    async def handle_resignation(self, body: Any) -> dict[str, Any]:
        """Acquire the cell from an owner that resigns."""
        self._spawn(self._acquire_resigned(body['version']))
        return {}

    async def _acquire_resigned(self, version: int) -> None:
        """Acquire the cell if the owner row still has a version."""
        try:
            await self.read_owner()
        except errors.StoreError as error:
            self._log_decision('owner_not_seen', error=str(error))
            return
        if self.view.owner_version != version:
            # Another node has acquired the cell since.
            return
        if not self.is_owner and not self.is_leaving:
            self.view.promised_until = 0.0
            await self.acquire('owner resigned', time.monotonic())

    async def _request_promise(
        self, address: str, has_store_contact: bool
    ) -> Promise:
        try:
            answer = await self._peers.call(
                address,
                'promise',
                {'heard': has_store_contact},
                PROMISE_TIMEOUT_S,
            )
        except errors.PeerError:
            # The node may be running and acquire the cell, even if its port
            # refuses connections: a network partition can cause that too.
            return Promise.NO_ANSWER
        return Promise.GIVEN if answer['promised'] else Promise.REFUSED

    async def handle_promise_request(self, body: Any) -> dict[str, Any]:
        """Promise not to acquire the cell, or refuse the promise.

        It is refused if this node is the owner, or if this node can reach the
        store and the requesting owner cannot.
        """
        if self.is_owner:
            return {'promised': False}
        if not body['heard'] and await self._can_reach_store(
            _election.STORE_PROBE_S
        ):
            return {'promised': False}
        self.view.promised_until = (
            time.monotonic() + _election.PROMISE_DURATION_S
        )
        return {'promised': True}

    async def _can_reach_store(self, timeout_s: float) -> bool:
        try:
            await self._store.read(
                _schema.CELLS,
                _schema.CELL,
                HEARTBEAT.key,
                OWNER.key,
                timeout_s=timeout_s,
            )
        except errors.StoreError:
            # The caller logs the consequence.
            return False
        return True

    async def handle_ping(self, body: Any) -> dict[str, Any]:
        """Return the incarnation of this process and whether it is leaving."""
        return {
            'incarnation': self._local_node.incarnation,
            'is_leaving': self.is_leaving,
        }

    async def _yield_to_stronger_node(self) -> None:
        """Hand the cell over once a stronger node is available."""
        now = time.monotonic()
        if self._local_node.name not in self._takeover_order.weak:
            self._weak_since = None
        elif self._weak_since is None:
            self._weak_since = now
        elif (
            now - self._weak_since > WEAK_OWNER_GRACE_S
            and self.lease.is_valid(now)
        ):
            self._weak_since = None
            await self.hand_over(to_strong=True)

    async def hand_over(self, to_strong: bool = False) -> None:
        """Make the first reachable node in takeover order the owner."""
        order = self._takeover_order
        nodes = sorted(
            (
                node
                for node in self._membership.others
                if not (to_strong and node.name in order.weak)
            ),
            key=lambda node: order.rank(node.name),
        )
        for node in nodes:
            if not self.is_owner:
                return
            try:
                answer = await self._peers.call(
                    node.address, 'ping', {}, HANDOVER_TIMEOUT_S
                )
            except errors.PeerError as error:
                self._log_decision(
                    'no_successor', peer=node.name, error=str(error)
                )
                continue
            if answer['is_leaving']:
                continue
            if await self._transfer_to(node):
                return

    async def _transfer_to(self, node: _schema.Node) -> bool:
        """Name a node as the owner; return whether the handover is over.

        It is over after every outcome of the write, so no other node is tried.
        """
        previous = self.view.owner
        assert previous is not None
        owner = _schema.Owner(
            node.name, node.address, node.incarnation, previous.epoch + 1
        )
        change = ports.Transaction(
            _schema.CELL,
            {OWNER: self.view.owner_version},
            {OWNER: _schema.dump(owner)},
        )
        try:
            answer = await self._store.transact(change, ACQUIRE_TIMEOUT_S)
        except errors.StoreError as error:
            self._log_decision(
                'handover_unknown', to=node.name, error=str(error)
            )
            # The write may take effect, so no other node is tried.
            return True
        if isinstance(answer, ports.Conflict):
            self.step_down('the store names a later owner')
            return True
        self._log_decision('cell_handed_over', to=node.name, epoch=owner.epoch)
        self.view.update(
            time.monotonic(),
            owner,
            answer.version,
            self.view.heartbeat_version,
        )
        self._on_lost('handed over')
        for other in self._membership.others:
            self._spawn(
                self._announce_owner(other.address, owner, answer.version)
            )
        return True
