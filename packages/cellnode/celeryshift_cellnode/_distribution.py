"""Distributes configurations among the nodes.

Each node follows the store. A node with a slow link, or one whose call to the
store gets no answer, learns from the owner that there is a newer one, and
fetches it from another node, compressed. The owner in turn is told by the
nodes, in case it is the one without an answer.
"""

import asyncio
import base64
from collections.abc import Callable
from collections.abc import Sequence
import random
from typing import Any
import zlib

import attrs

from celeryshift_cellnode import _election
from celeryshift_cellnode import _membership
from celeryshift_cellnode import _ownership
from celeryshift_cellnode import _peers
from celeryshift_cellnode import _schema
from celeryshift_cellnode import errors
from celeryshift_cellnode import ports

# How long a node that learns of a newer configuration waits for its own call
# to the store, or for the notice of the owner.
CATCH_UP_DELAY_S = 0.25
FETCH_TIMEOUT_S = 0.5
NOTICE_TIMEOUT_S = 0.5
# Attempts to notify a node, or to fetch a configuration, and the delay between
# them. After the last one, the node depends on its own calls to the store.
ATTEMPTS = 4
RETRY_DELAY_S = 0.3
# Interval at which a node asks others while its own calls to the store fail.
ASK_INTERVAL_S = 0.5
# Nodes with fast links that are asked for a configuration before the one that
# has announced it.
MAX_SOURCES = 2
# Largest configuration that is accepted from another node.
MAX_BYTES = 64 * 1024 * 1024
COMPRESSION_LEVEL = 1

FETCH = 'configuration'
NOTICE = 'configured'


@attrs.frozen(slots=True)
class Snapshot:
    """What the operator has stored, as of a version of the store."""

    configuration: ports.Configuration
    value: bytes
    # Version up to which the operator's table has been read, and the keys of
    # all evacuations as of it.
    read_to: int = 0
    evacuations: tuple[str, ...] = ()


class Distribution:
    """Configuration of this node, as it is offered to others and fetched."""

    def __init__(
        self,
        peers: _peers.Peers,
        ownership: _ownership.Ownership,
        membership: _membership.Membership,
        local_node: _schema.Node,
        decoder: ports.Decoder,
        log_decision: Callable[..., None],
        take_snapshot: Callable[[], Snapshot | None],
        on_fetched: Callable[[Snapshot], None],
    ) -> None:
        self._peers = peers
        self._ownership = ownership
        self._membership = membership
        self._local_node = local_node
        self._decoder = decoder
        self._log_decision = log_decision
        # Returns the present snapshot of this node.
        self._take_snapshot = take_snapshot
        # Called with a configuration that is newer than that of this node.
        self._on_fetched = on_fetched
        self._random = random.Random()
        # Newest version that another node is known to have, and its address.
        self._newest = 0
        self._newest_at = ''
        # Version that the owner is known to have.
        self._owner_version = 0
        # Encoded value of the last configuration that was asked for.
        self._encoded: tuple[int, str] = (0, '')
        self._fetching: asyncio.Task[None] | None = None
        self._asking: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def handlers(self) -> dict[str, _peers.Handler]:
        """Return the handlers of calls of other nodes, by name."""
        return {FETCH: self._handle_fetch, NOTICE: self._handle_notice}

    @property
    def _version(self) -> int:
        snapshot = self._take_snapshot()
        return snapshot.configuration.version if snapshot else 0

    def announce(self) -> None:
        """Tell other nodes about the configuration of this one.

        The owner tells all nodes, and any other node tells the owner.
        """
        if self._ownership.is_owner:
            for node in self._membership.others:
                self._spawn(self._notify(node.address, self._version))
        else:
            self._spawn(self._notify_owner(self._version))

    def ask_while(self, is_needed: Callable[[], bool]) -> None:
        """Ask other nodes for a newer configuration while it is needed."""
        if self._asking is None or self._asking.done():
            loop = asyncio.get_running_loop()
            self._asking = loop.create_task(self._ask_while(is_needed))

    async def _ask_while(self, is_needed: Callable[[], bool]) -> None:
        while is_needed():
            silent: set[str] = set()
            for address in self._sources(silent):
                if not is_needed() or await self._fetch(address):
                    break
            await asyncio.sleep(ASK_INTERVAL_S)

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _notify_owner(self, version: int) -> None:
        # Usually the owner has the configuration first.
        await asyncio.sleep(CATCH_UP_DELAY_S)
        owner = self._ownership.owner
        if owner is None or self._owner_version >= version:
            return
        if not self._ownership.is_owner:
            await self._notify(owner.address, version)

    async def _notify(self, address: str, version: int) -> None:
        """Tell a node about a version, unless there is a later one here."""
        body = {'version': version, 'address': self._local_node.address}
        reason = ''
        for _ in range(ATTEMPTS):
            if version and self._version > version:
                return
            try:
                answer = await self._peers.call(
                    address, NOTICE, body, NOTICE_TIMEOUT_S
                )
                self._learn(_to_version(answer.get('version')), address)
            except (errors.PeerError, TypeError) as error:
                reason = str(error)
                await asyncio.sleep(RETRY_DELAY_S)
            else:
                return
        self._log_decision(
            'configuration_not_announced', to=address, error=reason
        )

    async def _handle_notice(self, body: Any) -> dict[str, Any]:
        version = _to_version(body['version'])
        address = body['address']
        if not isinstance(address, str):
            raise TypeError('the address is no text')
        owner = self._ownership.owner
        if owner is not None and owner.address == address:
            self._owner_version = version
        self._learn(version, address)
        return {'version': self._version}

    def _learn(self, version: int, address: str) -> None:
        """Fetch a configuration unless it arrives from the store soon."""
        if version <= max(self._version, self._newest):
            return
        self._newest, self._newest_at = version, address
        if self._fetching is None or self._fetching.done():
            loop = asyncio.get_running_loop()
            self._fetching = loop.create_task(self._catch_up())

    async def _catch_up(self) -> None:
        attempts, wanted = 0, 0
        silent: set[str] = set()
        while self._version < self._newest:
            if wanted != self._newest:
                attempts, wanted = 0, self._newest
            if attempts == ATTEMPTS:
                break
            attempts += 1
            await asyncio.sleep(CATCH_UP_DELAY_S)
            for address in self._sources(silent):
                if self._version >= self._newest:
                    break
                if not await self._fetch(address):
                    silent.add(address)
        # A version that could not be fetched may be announced again.
        self._newest, self._newest_at = 0, ''

    def _sources(self, silent: set[str]) -> list[str]:
        """Return some nodes with fast links, near ones first, and the newest.

        The nodes that need a configuration thus do not all fetch it from the
        owner.
        """
        others = self._membership.others
        most_mbps = max((node.link_mbps for node in others), default=0.0)
        nodes = [
            node
            for node in others
            if node.link_mbps >= _election.WEAK_NODE_FRACTION * most_mbps
            and node.address not in silent
            and node.address != self._newest_at
        ]
        self._random.shuffle(nodes)
        nodes.sort(
            key=lambda node: node.data_centre != self._local_node.data_centre
        )
        addresses = [node.address for node in nodes[:MAX_SOURCES]]
        return [*addresses, self._newest_at] if self._newest_at else addresses

    async def _fetch(self, address: str) -> bool:
        """Fetch a configuration; return whether the node answered."""
        body = {'version': self._version}
        try:
            answer = await self._peers.call(
                address, FETCH, body, FETCH_TIMEOUT_S
            )
            snapshot = self._decode(answer)
        except errors.PeerError as error:
            reason = str(error)
        except (ValueError, TypeError, LookupError, zlib.error) as error:
            reason = type(error).__name__
        else:
            is_newer = (
                snapshot is not None
                and snapshot.configuration.version > self._version
            )
            if snapshot is not None and is_newer:
                self._on_fetched(snapshot)
            return True
        if self._newest_at:
            self._log_decision(
                'configuration_not_fetched',
                at=address,
                version=self._newest,
                error=reason,
            )
        return False

    def _decode(self, answer: Any) -> Snapshot | None:
        """Return the snapshot of another node, or None if it has no newer."""
        if not answer.get('value'):
            return None
        value = _decompress(base64.b64decode(answer['value'], validate=True))
        configuration = self._decoder.configuration(value)
        if configuration is None:
            return None
        keys: Sequence[Any] = answer['evacuations']
        if not all(isinstance(key, str) for key in keys):
            raise TypeError('a key is no text')
        read_to = _to_version(answer['read_to'])
        return Snapshot(configuration, value, read_to, tuple(keys))

    async def _handle_fetch(self, body: Any) -> dict[str, Any]:
        snapshot = self._take_snapshot()
        known = _to_version(body['version'])
        if snapshot is None or snapshot.configuration.version <= known:
            return {'version': self._version}
        version = snapshot.configuration.version
        if self._encoded[0] != version:
            compressed = zlib.compress(snapshot.value, COMPRESSION_LEVEL)
            self._encoded = version, base64.b64encode(compressed).decode()
        return {
            'version': version,
            'value': self._encoded[1],
            'read_to': snapshot.read_to,
            'evacuations': list(snapshot.evacuations),
        }


def _to_version(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise TypeError('the version is no whole number')
    return value


def _decompress(data: bytes) -> bytes:
    reader = zlib.decompressobj()
    value = reader.decompress(data, MAX_BYTES)
    if not reader.eof:
        raise ValueError('the configuration is incomplete or too large')
    return value
