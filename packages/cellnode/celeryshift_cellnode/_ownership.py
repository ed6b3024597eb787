"""Takes the cell, renews it, hands it over, or follows its owner."""

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
BEAT = _groupwriter.BEAT
TAKE_TIMEOUT_S = 2.0
LOOK_TIMEOUT_S = 1.0
# How often an owner looks at its right to act, and the rest of it with
# which it asks the other nodes for promises.
OWNER_LOOK_S = 0.1
ASK_PROMISES_S = 0.5
PING_TIMEOUT_S = 0.15
PROMISE_TIMEOUT_S = 0.5
# A weak owner gives way to a strong node after this time, since nodes that
# start together come one by one.
GIVE_WAY_S = 2.0
# A successor is asked whether it is there before it is named.
HANDOVER_TIMEOUT_S = 0.5

# Called with the owner, the version of its row, and the time until which
# the former owner may have acted.
Taken = Callable[[_schema.Owner, int, float], Awaitable[None]]


class Promise(enum.Enum):
    """Name the answers to an owner that asks to go on."""

    GIVEN = 'given'
    REFUSED = 'refused'
    NO_ANSWER = 'no answer'


class Ownership:
    """Decide with the store who owns the cell."""

    def __init__(
        self,
        store: _watchedstore.WatchedStore,
        me: _schema.Node,
        membership: _membership.Membership,
        peers: _peers.Peers,
        note: Callable[..., None],
        taken: Taken,
        lost: Callable[[str], None],
    ) -> None:
        self._store = store
        self._me = me
        self._membership = membership
        self._peers = peers
        self._note = note
        self._taken = taken
        self._lost = lost
        self.view = _election.View()
        self.right = _election.OwnerLease()
        self.is_leaving = False
        # The version of the owner's row that this node has acted on.
        self._active_version = 0
        self._renewals: set[asyncio.Task[None]] = set()
        self._is_silent = False
        # What the standing below was worked out for.
        self._stands_for: tuple[
            dict[str, _schema.Node], _schema.Owner | None
        ] = ({}, None)
        self._known_standing = _election.Standing()
        # Since when far better equipped nodes have been there.
        self._weak_since: float | None = None

    @property
    def owner(self) -> _schema.Owner | None:
        """Give the owner, as far as known."""
        return self.view.owner

    @property
    def is_owner(self) -> bool:
        """Tell whether this process owns the cell."""
        view = self.view
        return (
            view.owner is not None
            and view.owner.is_process(self._me)
            and view.deposed_version != view.owner_version
        )

    def step_down(self, why: str) -> None:
        """Act as the owner no longer."""
        if self.is_owner:
            self._note('cell_lost', why=why, version=self.view.owner_version)
        self.view.deposed_version = self.view.owner_version
        self._lost(why)

    async def run(self) -> None:
        """Follow the owner, or renew, again and again."""
        while True:
            if self.is_owner:
                if self._active_version != self.view.owner_version:
                    # Named by a handover, or by a write whose answer was
                    # lost.
                    await self._become(None, self._unsure_until())
                await self._keep_right()
                await self._give_way()
                await asyncio.sleep(OWNER_LOOK_S)
                continue
            await self._follow()
            if self.is_owner:
                continue
            is_standby = self._rank() < _election.STANDBYS
            await asyncio.sleep(
                _election.STANDBY_LOOK_S
                if is_standby
                else _election.OTHER_LOOK_S
            )

    @property
    def _standing(self) -> _election.Standing:
        """Give the turns of all nodes, worked out when something changes."""
        nodes, owner = self._membership.nodes, self.view.owner
        known_nodes, known_owner = self._stands_for
        if known_nodes is not nodes or known_owner != owner:
            self._stands_for = nodes, owner
            self._known_standing = _election.stand(nodes, owner)
        return self._known_standing

    def _rank(self) -> int:
        return self._standing.turn(self._me.name)

    async def _follow(self) -> None:
        try:
            await asyncio.gather(self.look(), self._ping())
        except errors.StoreError as error:
            if not self._is_silent:
                self._note('owner_not_seen', error=str(error))
            self._is_silent = True
            return
        self._is_silent = False
        if self.is_leaving or self.is_owner:
            return
        why = self.view.reason_to_take(
            time.monotonic(), self._rank(), self._me, self._store.took_s
        )
        if why is not None:
            await self.take(why)

    async def look(self) -> None:
        """Read the owner's row and its last renewal."""
        read = await self._store.read(
            _schema.CELLS,
            _schema.CELL,
            BEAT.key,
            OWNER.key + '\0',
            LOOK_TIMEOUT_S,
        )
        rows = {row.key: row for row in read.rows}
        beat = rows.get(BEAT.key)
        beat_version = beat.version if beat else 0
        row = rows.get(OWNER.key)
        owner = _schema.load(_schema.Owner, row.value) if row else None
        if row is not None and row.version < self.view.owner_version:
            # A read that is behind; the newer row is known already.
            return
        version = row.version if row else 0
        if version != self.view.owner_version and owner is not None:
            self._note('owner_known', owner=owner.node, epoch=owner.epoch)
        self.view.look(time.monotonic(), owner, version, beat_version)

    async def _ping(self) -> None:
        owner = self.view.owner
        is_standby = self._rank() < _election.STANDBYS
        if owner is None or owner.is_process(self._me) or not is_standby:
            return
        try:
            answer = await self._peers.call(
                owner.address, 'ping', {}, PING_TIMEOUT_S
            )
        except errors.PeerRefusedError:
            if self.view.refused_since is None:
                self.view.refused_since = time.monotonic()
            return
        except errors.PeerError:
            # Silence is judged by the renewals in the store.
            return
        self.view.refused_since = None
        if answer['incarnation'] != owner.incarnation:
            self.view.has_restarted = True

    async def take(self, why: str, ended_at: float | None = None) -> None:
        """Become the owner, unless another did or the owner renewed.

        The former owner is known to act no longer since ``ended_at``.
        """
        before = self.view.owner
        epoch = before.epoch + 1 if before else 1
        me = self._me
        owner = _schema.Owner(me.name, me.address, me.incarnation, epoch)
        is_ended = self.view.has_restarted or (
            before is None or before.node == me.name
        )
        if ended_at is None:
            ended_at = (
                time.monotonic()
                if is_ended
                else self.view.former_right_until()
            )
        await self._change_owner(owner, why, ended_at)

    async def _change_owner(
        self, owner: _schema.Owner, why: str, ended_at: float
    ) -> None:
        view = self.view
        sent_at = time.monotonic()
        change = ports.Transaction(
            _schema.CELL,
            {OWNER: view.owner_version, BEAT: view.beat_version},
            {OWNER: _schema.dump(owner)},
        )
        try:
            answer = await self._store.transact(change, TAKE_TIMEOUT_S)
        except errors.StoreError as error:
            # If it took effect after all, the next look shows this node
            # as the owner, and `look` goes on from there.
            self._note('takeover_unknown', epoch=owner.epoch, error=str(error))
            return
        if isinstance(answer, ports.Conflict):
            # The next look shows who was faster.
            self._note('takeover_lost', epoch=owner.epoch, why=why)
            return
        self._note(
            'cell_taken',
            epoch=owner.epoch,
            why=why,
            former=view.owner.node if view.owner else None,
            beat_age_s=round(sent_at - view.beat_seen_at, 3),
        )
        view.look(time.monotonic(), owner, answer.version, view.beat_version)
        await self._become(sent_at, ended_at)

    def _unsure_until(self) -> float:
        # The former owner may also count on a promise that this node gave
        # while its own write was on its way.
        return max(
            time.monotonic() + _election.RIGHT_S, self.view.promised_until
        )

    async def _become(self, sent_at: float | None, ended_at: float) -> None:
        owner, version = self.view.owner, self.view.owner_version
        assert owner is not None
        if self._active_version == version:
            # A look has shown the row before the answer to the write came.
            return
        self._active_version = version
        self.right.expires_at = 0.0
        if sent_at is not None:
            self.right.renewed(sent_at)
        await self._taken(owner, version, ended_at)
        for node in self._membership.others:
            self.spawn(self._announce(node.address, owner, version))

    def spawn(self, work: Any) -> None:
        """Run work beside, and keep it from being collected."""
        task = asyncio.get_running_loop().create_task(work)
        self._renewals.add(task)
        task.add_done_callback(self._renewals.discard)

    async def _announce(
        self, address: str, owner: _schema.Owner, version: int
    ) -> None:
        body = {'owner': _schema.dump_parts(owner), 'version': version}
        try:
            await self._peers.call(address, 'owner', body)
        except errors.PeerError as error:
            # It reads the row later.
            self._note('announcement_failed', to=address, error=str(error))

    async def announced(self, body: Any) -> dict[str, Any]:
        """Take in a new owner; it may be this node, by a handover."""
        owner = _schema.load_parts(_schema.Owner, body['owner'])
        version = body['version']
        if version <= self.view.owner_version:
            return {}
        if owner.is_process(self._me):
            self._note('cell_given', epoch=owner.epoch)
        was_owner = self.is_owner
        self.view.look(
            time.monotonic(), owner, version, self.view.beat_version
        )
        self._note('owner_known', owner=owner.node, epoch=owner.epoch)
        if was_owner and not self.is_owner:
            self._lost(f'{owner.node} owns the cell')
        return {}

    async def _keep_right(self) -> None:
        left_s = self.right.expires_at - time.monotonic()
        if left_s < ASK_PROMISES_S:
            await self._ask_promises()

    async def _ask_promises(self) -> None:
        """Ask all other nodes not to take the cell for a while."""
        asked_at = time.monotonic()
        others = self._membership.others
        if not self.is_owner or not others:
            return
        heard = self._store.unheard_s < _election.OWNER_HEARS_S
        answers = await asyncio.gather(
            *(self._promise_of(node.address, heard) for node in others)
        )
        if all(answer is Promise.GIVEN for answer in answers):
            self.right.promised(asked_at)
            return
        self._note(
            'promises_refused',
            asked=len(answers),
            promised=answers.count(Promise.GIVEN),
            heard=heard,
            right_left_s=round(self.right.expires_at - asked_at, 3),
        )
        if heard or Promise.REFUSED not in answers:
            return
        # The store may be back by now, and the others have heard it first.
        if not await self._reaches_store(_election.LAST_LOOK_S):
            await self._resign(others[answers.index(Promise.REFUSED)])

    async def _resign(self, node: _schema.Node) -> None:
        """Let a node that reaches the store own the cell."""
        if not self.is_owner:
            return
        self.step_down('the store answers others only')
        try:
            await self._peers.call(node.address, 'resigned', {})
        except errors.PeerError as error:
            # The others see that there are no renewals any more.
            self._note('no_successor', peer=node.name, error=str(error))

    async def resigned(self, body: Any) -> dict[str, Any]:
        """Take the cell from an owner that gives it up."""
        self.view.promised_until = 0.0
        self.spawn(self._take_resigned())
        return {}

    async def _take_resigned(self) -> None:
        try:
            await self.look()
        except errors.StoreError as error:
            self._note('owner_not_seen', error=str(error))
            return
        if not self.is_owner and not self.is_leaving:
            await self.take('owner resigned', time.monotonic())

    async def _promise_of(self, address: str, heard: bool) -> Promise:
        try:
            answer = await self._peers.call(
                address, 'promise', {'heard': heard}, PROMISE_TIMEOUT_S
            )
        except errors.PeerError:
            # It may be there and take the cell, also if its port refuses
            # connections: a cut may look the same.
            return Promise.NO_ANSWER
        return Promise.GIVEN if answer['promised'] else Promise.REFUSED

    async def promise(self, body: Any) -> dict[str, Any]:
        """Promise not to take the cell from an owner that may go on."""
        if self.is_owner:
            return {'promised': False}
        if not body['heard'] and await self._reaches_store(
            _election.STORE_PROBE_S
        ):
            return {'promised': False}
        self.view.promised_until = time.monotonic() + _election.PROMISE_S
        return {'promised': True}

    async def _reaches_store(self, within_s: float) -> bool:
        try:
            await self._store.read(
                _schema.CELLS,
                _schema.CELL,
                BEAT.key,
                OWNER.key,
                timeout_s=within_s,
            )
        except errors.StoreError:
            # The asker logs what follows from it.
            return False
        return True

    async def ping(self, body: Any) -> dict[str, Any]:
        """Say which process this is, and whether it is about to end."""
        return {
            'incarnation': self._me.incarnation,
            'is_leaving': self.is_leaving,
        }

    async def _give_way(self) -> None:
        """Hand the cell over to a stronger node once one is there."""
        now = time.monotonic()
        if self._me.name not in self._standing.weak:
            self._weak_since = None
        elif self._weak_since is None:
            self._weak_since = now
        elif now - self._weak_since > GIVE_WAY_S and self.right.holds(now):
            self._weak_since = None
            await self.hand_over(to_strong=True)

    async def hand_over(self, to_strong: bool = False) -> None:
        """Name another node as the owner, if one is there."""
        standing = self._standing
        nodes = sorted(
            (
                node
                for node in self._membership.others
                if not (to_strong and node.name in standing.weak)
            ),
            key=lambda node: standing.turn(node.name),
        )
        for node in nodes:
            if not self.is_owner:
                return
            try:
                answer = await self._peers.call(
                    node.address, 'ping', {}, HANDOVER_TIMEOUT_S
                )
            except errors.PeerError as error:
                self._note('no_successor', peer=node.name, error=str(error))
                continue
            if answer['is_leaving']:
                continue
            if await self._name(node):
                return

    async def _name(self, node: _schema.Node) -> bool:
        before = self.view.owner
        assert before is not None
        owner = _schema.Owner(
            node.name, node.address, node.incarnation, before.epoch + 1
        )
        change = ports.Transaction(
            _schema.CELL,
            {OWNER: self.view.owner_version},
            {OWNER: _schema.dump(owner)},
        )
        try:
            answer = await self._store.transact(change, TAKE_TIMEOUT_S)
        except errors.StoreError as error:
            self._note('handover_unknown', to=node.name, error=str(error))
            return True
        if isinstance(answer, ports.Conflict):
            self.step_down('the store names a later owner')
            return True
        self._note('cell_handed_over', to=node.name, epoch=owner.epoch)
        self.view.look(
            time.monotonic(), owner, answer.version, self.view.beat_version
        )
        self._lost('handed over')
        for other in self._membership.others:
            self.spawn(self._announce(other.address, owner, answer.version))
        return True
