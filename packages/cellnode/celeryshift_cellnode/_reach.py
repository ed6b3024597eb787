"""What a node reaches: the store, the owner, other data centres."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import time
from typing import Any
from typing import TypeVar

from celeryshift_cellnode import _membership
from celeryshift_cellnode import _ownership
from celeryshift_cellnode import _peers
from celeryshift_cellnode import errors
from celeryshift_cellnode import ports

# The owner answers in some milliseconds, but waits for a slow store; so one
# that takes longer than this is asked whether it is there.
DOUBT_S = 0.4
PING_TIMEOUT_S = 0.4
# An owner that did not answer is asked again so often.
PROBE_S = 0.3
# The store counts as away when nothing has been heard of it for so long and
# the last call failed.
AWAY_S = 0.3
# A node that reaches neither the store nor another data centre for so long
# is cut off.
CUT_OFF_S = 1.5
# So many nodes of other data centres are asked whether they are there.
MAX_PINGS = 4

T = TypeVar('T')


class OwnerAwayError(errors.PeerError):
    """Report that the owner was not asked, since it does not answer."""


class WatchedStore:
    """Pass calls on to the store, and know whether it answers."""

    def __init__(self, store: ports.Store, note: Callable[..., None]) -> None:
        self._store = store
        self._note = note
        self._answered_at = time.monotonic()
        self._failed_at: float | None = None
        self._is_lost = False

    @property
    def is_away(self) -> bool:
        """Tell whether the store does not answer this node."""
        return (
            self._failed_at is not None
            and self._failed_at - self._answered_at > AWAY_S
        )

    @property
    def unheard_s(self) -> float:
        """Give the time since the last answer, if the last call failed."""
        if self._failed_at is None:
            return 0.0
        return time.monotonic() - self._answered_at

    async def transact(
        self, transaction: ports.Transaction, timeout_s: float
    ) -> ports.Committed | ports.Conflict:
        """Carry out a transaction."""
        return await self._watch(self._store.transact(transaction, timeout_s))

    async def read(
        self,
        table: str,
        part: str,
        first: str = '',
        last: str | None = None,
        timeout_s: float = 1.0,
    ) -> ports.Read:
        """Read the rows with keys from the first up to before the last."""
        return await self._watch(
            self._store.read(table, part, first, last, timeout_s)
        )

    async def feed(self, table: str, after: int, wait_ms: int) -> ports.Read:
        """Wait for rows that changed after a version."""
        return await self._watch(self._store.feed(table, after, wait_ms))

    async def _watch(self, call: Awaitable[T]) -> T:
        try:
            answer = await call
        except errors.HistoryLostError:
            self._heard()
            raise
        except errors.StoreError as error:
            self._failed_at = time.monotonic()
            if self.is_away and not self._is_lost:
                self._is_lost = True
                self._note('store_lost', error=str(error))
            raise
        self._heard()
        return answer

    def _heard(self) -> None:
        now = time.monotonic()
        if self._is_lost:
            self._is_lost = False
            away_s = round(now - self._answered_at, 3)
            self._note('store_regained', away_s=away_s)
        self._answered_at = now
        self._failed_at = None


class OwnerLink:
    """Ask the owner of the cell, unless it is known not to answer."""

    def __init__(
        self,
        peers: _peers.Peers,
        ownership: _ownership.Ownership,
        note: Callable[..., None],
    ) -> None:
        self._peers = peers
        self._ownership = ownership
        self._note = note
        # The version of the owner's row under which it fell silent.
        self._silent_version: int | None = None
        self._probe: asyncio.Task[None] | None = None

    @property
    def is_silent(self) -> bool:
        """Tell whether there is no owner that answers."""
        ownership = self._ownership
        if ownership.owner is None:
            return True
        return self._silent_version == ownership.view.owner_version

    async def ask(self, name: str, body: Any, timeout_s: float) -> Any:
        """Call a function of the owner.

        Raises ``OwnerAwayError`` and ``PeerGoneError`` if it surely has not
        got the call, other ``PeerError`` if it may have.
        """
        owner = self._ownership.owner
        if owner is None or self.is_silent:
            raise OwnerAwayError('the owner does not answer')
        version = self._ownership.view.owner_version
        call = asyncio.ensure_future(
            self._peers.call(owner.address, name, body, timeout_s)
        )
        try:
            done, _ = await asyncio.wait({call}, timeout=DOUBT_S)
            if not done and not await self._pings(owner.address):
                self._lost(owner.address, version, f'{name}: no answer')
                raise errors.PeerError(f'{name}: the owner is silent')
            return await call
        except errors.PeerGoneError as error:
            self._lost(owner.address, version, str(error))
            raise
        finally:
            call.cancel()

    async def _pings(self, address: str) -> bool:
        try:
            await self._peers.call(address, 'ping', {}, PING_TIMEOUT_S)
        except errors.PeerError:
            # The caller logs that the owner is silent.
            return False
        return True

    def _lost(self, address: str, version: int, error: str) -> None:
        if self._silent_version == version:
            return
        self._silent_version = version
        self._note('owner_silent', address=address, error=error)
        if self._probe is None or self._probe.done():
            loop = asyncio.get_running_loop()
            self._probe = loop.create_task(self._probe_owner())

    async def _probe_owner(self) -> None:
        while True:
            await asyncio.sleep(PROBE_S)
            owner = self._ownership.owner
            if owner is None or not self.is_silent:
                return
            if await self._pings(owner.address):
                self._silent_version = None
                self._note('owner_answers', owner=owner.node)
                return


class Reach:
    """Tell whether this node is cut off from the rest of the system."""

    def __init__(
        self,
        store: WatchedStore,
        peers: _peers.Peers,
        membership: _membership.Membership,
        data_centre: str,
        note: Callable[..., None],
    ) -> None:
        self._store = store
        self._peers = peers
        self._membership = membership
        self._data_centre = data_centre
        self._note = note
        self.is_cut_off = False

    async def run(self) -> None:
        """Look again and again."""
        while True:
            await asyncio.sleep(PROBE_S)
            is_cut_off = await self._look()
            if is_cut_off != self.is_cut_off:
                self._note('cut_off' if is_cut_off else 'connected_again')
            self.is_cut_off = is_cut_off

    async def _look(self) -> bool:
        if self._store.unheard_s < CUT_OFF_S:
            return False
        elsewhere = [
            node.address
            for node in self._membership.others
            if node.data_centre != self._data_centre
        ]
        if not elsewhere:
            return False
        pings = [self._pings(address) for address in elsewhere[:MAX_PINGS]]
        return not any(await asyncio.gather(*pings))

    async def _pings(self, address: str) -> bool:
        try:
            await self._peers.call(address, 'ping', {}, PING_TIMEOUT_S)
        except errors.PeerError:
            # Only the sum of all counts, and that is logged.
            return False
        return True
