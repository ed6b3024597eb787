"""Tracks whether the owner, the store and other data centres answer."""

import asyncio
from collections.abc import Callable
from typing import Any

from celeryshift_cellnode import _membership
from celeryshift_cellnode import _ownership
from celeryshift_cellnode import _peers
from celeryshift_cellnode import _watchedstore
from celeryshift_cellnode import errors

# The owner answers within milliseconds unless it waits for a slow store, so an
# owner that takes longer than this is pinged.
PING_AFTER_S = 0.4
PING_TIMEOUT_S = 0.4
# Interval of pings to a silent owner, and of connectivity checks.
PROBE_INTERVAL_S = 0.3
# A node that has reached neither the store nor another data centre for this
# long is cut off.
CUT_OFF_AFTER_S = 0.6
# Maximum number of nodes in other data centres that are pinged.
MAX_PINGS = 4


class OwnerUnavailableError(errors.PeerError):
    """Raised when a call does not reach an owner.

    There is no owner, it has not answered recently, or the node that was
    called is not the owner.
    """


class OwnerClient:
    """Client of the owner that fails fast while the owner is silent."""

    def __init__(
        self,
        peers: _peers.Peers,
        ownership: _ownership.Ownership,
        log_decision: Callable[..., None],
    ) -> None:
        self._peers = peers
        self._ownership = ownership
        self._log_decision = log_decision
        # Version of the owner row for which the owner did not answer.
        self._silent_version: int | None = None
        self._probe: asyncio.Task[None] | None = None

    @property
    def is_silent(self) -> bool:
        """Return whether there is no owner, or it does not answer."""
        ownership = self._ownership
        if ownership.owner is None:
            return True
        return self._silent_version == ownership.view.owner_version

    async def call(self, name: str, body: Any, timeout_s: float) -> Any:
        """Call a function of the owner.

        Raises ``OwnerUnavailableError`` or ``PeerRefusedError`` if the owner
        has certainly not received the call, and other ``PeerError`` if it may
        have.
        """
        owner = self._ownership.owner
        if owner is None or self.is_silent:
            raise OwnerUnavailableError('the owner does not answer')
        version = self._ownership.view.owner_version
        request = asyncio.ensure_future(
            self._peers.call(owner.address, name, body, timeout_s)
        )
        try:
            done, _ = await asyncio.wait({request}, timeout=PING_AFTER_S)
            if not done and not await self._peers.is_reachable(
                owner.address, PING_TIMEOUT_S
            ):
                self._mark_silent(owner.address, version, f'{name}: no answer')
                raise errors.PeerError(f'{name}: the owner is silent')
            return await request
        except errors.PeerRefusedError as error:
            self._mark_silent(owner.address, version, str(error))
            raise
        finally:
            request.cancel()

    def _mark_silent(self, address: str, version: int, error: str) -> None:
        if self._silent_version == version:
            return
        self._silent_version = version
        self._log_decision('owner_silent', address=address, error=error)
        if self._probe is None or self._probe.done():
            loop = asyncio.get_running_loop()
            self._probe = loop.create_task(self._probe_owner())

    async def _probe_owner(self) -> None:
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            owner = self._ownership.owner
            if owner is None or not self.is_silent:
                return
            if await self._peers.is_reachable(owner.address, PING_TIMEOUT_S):
                self._silent_version = None
                self._log_decision('owner_answers', owner=owner.node)
                return


class ConnectivityMonitor:
    """Monitor that detects when this node is cut off.

    It then reaches neither the store nor any node in another data centre.
    """

    def __init__(
        self,
        store: _watchedstore.WatchedStore,
        peers: _peers.Peers,
        membership: _membership.Membership,
        data_centre: str,
        log_decision: Callable[..., None],
    ) -> None:
        self._store = store
        self._peers = peers
        self._membership = membership
        self._data_centre = data_centre
        self._log_decision = log_decision
        self.is_cut_off = False

    async def run(self) -> None:
        """Check the connectivity periodically."""
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            is_cut_off = await self._is_isolated()
            if is_cut_off != self.is_cut_off:
                self._log_decision(
                    'cut_off' if is_cut_off else 'connected_again'
                )
            self.is_cut_off = is_cut_off

    async def _is_isolated(self) -> bool:
        if self._store.unanswered_s < CUT_OFF_AFTER_S:
            return False
        remote_addresses = [
            node.address
            for node in self._membership.others
            if node.data_centre != self._data_centre
        ]
        if not remote_addresses:
            return False
        pings = [
            self._peers.is_reachable(address, PING_TIMEOUT_S)
            for address in remote_addresses[:MAX_PINGS]
        ]
        return not any(await asyncio.gather(*pings))
