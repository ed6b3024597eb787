"""Extends an owner's lease by promises of the other nodes.

A promise is the pledge not to acquire the cell for a while. An owner without
contact with the store needs the promise of every other node to continue.
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
from celeryshift_cellnode import _ownerstatus
from celeryshift_cellnode import _peers
from celeryshift_cellnode import _schema
from celeryshift_cellnode import _watchedstore
from celeryshift_cellnode import errors

# Remaining validity of the lease below which the owner requests promises.
PROMISE_REQUEST_MARGIN_S = 0.5
PROMISE_TIMEOUT_S = 0.5

# Called with the nodes that can reach the store when the owner cannot.
Resign = Callable[[list[_schema.Node]], Awaitable[None]]


class Promise(enum.Enum):
    """Answers of a node to an owner's request for a promise.

    A promise is the pledge not to acquire the cell for a while.
    """

    GIVEN = 'given'
    REFUSED = 'refused'
    NO_ANSWER = 'no answer'


class Promises:
    """Promises that this node requests as the owner, and gives otherwise."""

    def __init__(
        self,
        store: _watchedstore.WatchedStore,
        status: _ownerstatus.OwnerStatus,
        membership: _membership.Membership,
        peers: _peers.Peers,
        log_decision: Callable[..., None],
        resign: Resign,
    ) -> None:
        self._store = store
        self._status = status
        self._membership = membership
        self._peers = peers
        self._log_decision = log_decision
        self._resign = resign

    async def extend_lease(self) -> None:
        """Request promises if the lease is about to expire."""
        remaining_s = self._status.lease.expires_at - time.monotonic()
        if remaining_s < PROMISE_REQUEST_MARGIN_S:
            await self._request_promises()

    async def _request_promises(self) -> None:
        """Request promises from all other nodes to extend the lease."""
        requested_at = time.monotonic()
        others = self._membership.others
        if not self._status.is_owner or not others:
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
            self._status.lease.extend_by_promises(requested_at)
            return
        self._log_decision(
            'promises_refused',
            asked=len(answers),
            promised=answers.count(Promise.GIVEN),
            heard=has_store_contact,
            right_left_s=round(
                self._status.lease.expires_at - requested_at, 3
            ),
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
            is_given = answer['promised']
        except errors.PeerError:
            # The node may be running and acquire the cell, even if its port
            # refuses connections: a network partition can cause that too.
            return Promise.NO_ANSWER
        return Promise.GIVEN if is_given else Promise.REFUSED

    async def handle_request(self, body: Any) -> dict[str, Any]:
        """Promise not to acquire the cell, or refuse the promise.

        It is refused if this node is the owner, or if this node can reach the
        store and the requesting owner cannot.
        """
        if self._status.is_owner:
            return {'promised': False}
        if not body['heard'] and await self._can_reach_store(
            _election.STORE_PROBE_S
        ):
            return {'promised': False}
        self._status.view.promised_until = (
            time.monotonic() + _election.PROMISE_DURATION_S
        )
        return {'promised': True}

    async def _can_reach_store(self, timeout_s: float) -> bool:
        try:
            await self._store.read(
                _schema.CELLS,
                _schema.CELL,
                _groupwriter.HEARTBEAT.key,
                _groupwriter.OWNER.key,
                timeout_s=timeout_s,
            )
        except errors.StoreError:
            # The caller logs the consequence.
            return False
        return True
