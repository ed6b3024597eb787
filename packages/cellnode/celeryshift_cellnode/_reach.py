"""What a node reaches: the store, the owner, other data centres."""

import asyncio
from collections.abc import Callable
from typing import Any

from celeryshift_cellnode import _membership
from celeryshift_cellnode import _ownership
from celeryshift_cellnode import _peers
from celeryshift_cellnode import _watchedstore
from celeryshift_cellnode import errors

# The owner answers in some milliseconds, but waits for a slow store; so one
# that takes longer than this is asked whether it is there.
DOUBT_S = 0.4
PING_TIMEOUT_S = 0.4
# An owner that did not answer is asked again so often.
PROBE_S = 0.3
# A node that reaches neither the store nor another data centre for so long
# is cut off.
CUT_OFF_S = 0.6
# So many nodes of other data centres are asked whether they are there.
MAX_PINGS = 4


class OwnerAwayError(errors.PeerError):
    """Report that the owner was not asked, since it does not answer."""


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
            if not done and not await self._peers.answers(
                owner.address, PING_TIMEOUT_S
            ):
                self._lost(owner.address, version, f'{name}: no answer')
                raise errors.PeerError(f'{name}: the owner is silent')
            return await call
        except errors.PeerRefusedError as error:
            self._lost(owner.address, version, str(error))
            raise
        finally:
            call.cancel()

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
            if await self._peers.answers(owner.address, PING_TIMEOUT_S):
                self._silent_version = None
                self._note('owner_answers', owner=owner.node)
                return


class Reach:
    """Tell whether this node is cut off from the rest of the system."""

    def __init__(
        self,
        store: _watchedstore.WatchedStore,
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
        pings = [
            self._peers.answers(address, PING_TIMEOUT_S)
            for address in elsewhere[:MAX_PINGS]
        ]
        return not any(await asyncio.gather(*pings))
