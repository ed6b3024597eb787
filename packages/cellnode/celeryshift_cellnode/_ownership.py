"""Decides, with the store, which node owns the cell.

The owner keeps its lease valid and may hand the cell over. Every other node
follows the owner row in the store, and acquires the cell when the owner fails.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import time
from typing import Any

from celeryshift_cellnode import _election
from celeryshift_cellnode import _groupwriter
from celeryshift_cellnode import _handover
from celeryshift_cellnode import _membership
from celeryshift_cellnode import _ownerstatus
from celeryshift_cellnode import _peers
from celeryshift_cellnode import _promises
from celeryshift_cellnode import _schema
from celeryshift_cellnode import _watchedstore
from celeryshift_cellnode import errors
from celeryshift_cellnode import ports

OWNER = _groupwriter.OWNER
HEARTBEAT = _groupwriter.HEARTBEAT
READ_TIMEOUT_S = 1.0
# How often the owner checks its lease.
OWNER_CHECK_INTERVAL_S = 0.1
PING_TIMEOUT_S = 0.15

# Called with the new owner, the version of its row, and the time until which
# the former owner may act.
AcquiredCallback = Callable[[_schema.Owner, int, float], Awaitable[None]]


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
        self._status = _ownerstatus.OwnerStatus(
            local_node, membership, log_decision, on_lost
        )
        self.view = self._status.view
        self.lease = self._status.lease
        self.handover = _handover.Handover(
            store,
            self._status,
            local_node,
            membership,
            peers,
            log_decision,
            self._announce_owner,
        )
        self.promises = _promises.Promises(
            store,
            self._status,
            membership,
            peers,
            log_decision,
            self.handover.resign,
        )
        self.is_leaving = False
        # Whether this node knows its configuration. One that doesn't starts
        # nothing, so others own the cell rather than this node.
        self.is_configured: Callable[[], bool] = lambda: True
        # Version of the owner row for which this node last became the owner.
        self._active_version = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._has_failed_read = False

    @property
    def owner(self) -> _schema.Owner | None:
        """Return the last known owner."""
        return self._status.owner

    @property
    def is_owner(self) -> bool:
        """Return whether this process owns the cell."""
        return self._status.is_owner

    def step_down(self, reason: str) -> None:
        """Stop acting as the owner."""
        self._status.step_down(reason)

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
                await self.promises.extend_lease()
                await self.handover.yield_to_stronger_node()
                await asyncio.sleep(OWNER_CHECK_INTERVAL_S)
                continue
            await self._follow_owner()
            if self.is_owner:
                continue
            is_standby = self._status.rank < _election.STANDBY_COUNT
            await asyncio.sleep(
                _election.STANDBY_POLL_S
                if is_standby
                else _election.OTHER_POLL_S
            )

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
            self._status.rank,
            self._local_node,
            self._store.last_latency_s,
            self.is_configured(),
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
        is_standby = self._status.rank < _election.STANDBY_COUNT
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
            incarnation = answer['incarnation']
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
        if incarnation != owner.incarnation:
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
            answer = await self._store.transact(
                change, _election.ACQUIRE_TIMEOUT_S
            )
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
            self._log_decision(
                'ownership_not_started', error=errors.describe(error)
            )
            self.step_down('the ownership could not be started')
            return
        self._announce_owner(owner, version)

    def _spawn(self, work: Any) -> None:
        """Run a coroutine in the background, referenced until it ends."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _announce_owner(self, owner: _schema.Owner, version: int) -> None:
        """Announce the owner to the other nodes in the background."""
        for node in self._membership.others:
            self._spawn(self._announce_to(node.address, owner, version))

    async def _announce_to(
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
            self._status.on_lost(f'{owner.node} owns the cell')
        return {}

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

    async def handle_ping(self, body: Any) -> dict[str, Any]:
        """Return the incarnation of this process, and what it is fit for."""
        return {
            'incarnation': self._local_node.incarnation,
            'is_leaving': self.is_leaving,
            'is_configured': self.is_configured(),
        }
