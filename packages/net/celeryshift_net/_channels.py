"""Channels that reuse HTTP/1.1 connections, without TLS."""

import asyncio
import collections
from collections.abc import Mapping
import functools
import re
import time

import attrs

from celeryshift_net import _connections
from celeryshift_net import _deadlines
from celeryshift_net import _errors
from celeryshift_net import pools

# As aiohttp does by default.
KEEP_ALIVE_S = 15.0
# Heads that are kept for each address. A worker gets four kinds of orders.
MAX_HEADS = 16

_ADDRESS = re.compile(
    r'(?:\[([0-9A-Fa-f:.]+)\]|([0-9A-Za-z._-]+))(?::([0-9]{1,5}))?'
)
_DEFAULT_PORT = 80
_MAX_PORT = 65_535
_METHOD = re.compile(r'[A-Z]+')
_TARGET = re.compile(r'/[!-"$-~]*')
_HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_CONTROL = re.compile(r'[\r\n\0]')


@attrs.define(eq=False)
class Generation:
    """Connections of a channel that are retired together.

    A call holds one of `used_slots` from before it connects until it ends.
    `idle` is ordered by time of release, the latest last.
    """

    used_slots: int = 0
    idle: list[_connections.Connection] = attrs.field(factory=list)

    def take_idle(self, now: float) -> _connections.Connection | None:
        """Return the idle connection that was used last."""
        while self.idle:
            connection = self.idle.pop()
            if (
                connection.is_usable()
                and now - connection.released_at < KEEP_ALIVE_S
            ):
                return connection
            connection.abort()
        return None


class Channel:
    """Connections to one address."""

    def __init__(
        self, address: str, max_connections: int, traffic: pools.Traffic
    ) -> None:
        self.traffic = traffic
        self.progressed_at = 0.0
        self._address = address
        self._prefix = f'http://{address}'
        self._max_connections = max_connections
        # Request lines and headers, by method, URL and headers.
        self._heads: dict[tuple[object, ...], bytes] = {}
        self._generation = Generation()
        self._connections: set[_connections.Connection] = set()
        self._waiting: collections.deque[asyncio.Future[Generation]]
        self._waiting = collections.deque()
        self._idle_timer: asyncio.TimerHandle | None = None
        self._is_closed = False

    async def exchange(
        self,
        method: str,
        url: str,
        data: bytes,
        timeout_s: float,
        headers: Mapping[str, str],
    ) -> tuple[int, bytes]:
        """Make a call and return its status and complete body."""
        self.traffic.count_call(len(data))
        loop = asyncio.get_running_loop()
        deadline = _deadlines.Deadline(loop.time(), timeout_s)
        generation = self._generation
        connection = response = None
        try:
            request = self._encode(method, url, data, headers)
            connection = self._take_idle(loop.time())
            if connection is None:
                async with asyncio.timeout_at(deadline.at):
                    connection = await self._acquire(loop)
            response = await connection.send(
                request, method == 'HEAD', loop, deadline
            )
            self.traffic.count_reply(len(response.body))
            return response.status, response.body
        except asyncio.CancelledError:
            self._retire(generation)
            raise
        except TimeoutError as error:
            self._retire(generation)
            message = f'{url}: no answer within {timeout_s:g} s'
            if connection is None:
                raise _errors.NotSentError(message) from error
            message += f', {deadline.received} bytes received'
            raise _errors.NoAnswerError(message) from error
        except (OSError, ValueError) as error:
            message = f'{url}: {error!r}'
            if connection is not None:
                raise _errors.NoAnswerError(message) from error
            if isinstance(error, _errors.REFUSED_ERRORS):
                raise _errors.NotListeningError(message) from error
            raise _errors.NotSentError(message) from error
        finally:
            if connection is not None:
                if response is None:
                    connection.abort()
                self._release(connection, loop)

    async def close(self) -> None:
        """Close every connection; calls in flight and later ones fail."""
        self._is_closed = True
        for waiter in self._waiting:
            if not waiter.done():
                waiter.set_exception(_closed_error())
        self._waiting.clear()
        for connection in list(self._connections):
            connection.abort()
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        # The transports close in the next iteration of the event loop.
        await asyncio.sleep(0)

    def _encode(
        self, method: str, url: str, data: bytes, headers: Mapping[str, str]
    ) -> bytes:
        key = (method, url, *headers.items())
        head = self._heads.get(key)
        if head is None:
            if len(self._heads) >= MAX_HEADS:
                self._heads.clear()
            head = self._encode_head(method, url, headers)
            self._heads[key] = head
        if not data and method in ('GET', 'HEAD'):
            return head + b'\r\n'
        return b'%bContent-Length: %d\r\n\r\n%b' % (head, len(data), data)

    def _encode_head(
        self, method: str, url: str, headers: Mapping[str, str]
    ) -> bytes:
        target = url[len(self._prefix) :]
        if (
            not url.startswith(self._prefix)
            or not _TARGET.fullmatch(target)
            or not _METHOD.fullmatch(method)
        ):
            raise ValueError(f'not a call to {self._prefix}')
        lines = [f'{method} {target} HTTP/1.1\r\nHost: {self._address}\r\n']
        for name, value in headers.items():
            if not _HEADER_NAME.fullmatch(name) or _CONTROL.search(value):
                raise ValueError(f'malformed header {name!r}')
            lines.append(f'{name}: {value}\r\n')
        return ''.join(lines).encode()

    def _take_idle(self, now: float) -> _connections.Connection | None:
        """Return an idle connection with a slot, unless a call must wait."""
        generation = self._generation
        if generation.used_slots >= self._max_connections:
            return None
        connection = generation.take_idle(now)
        if connection is not None:
            generation.used_slots += 1
        return connection

    async def _acquire(
        self, loop: asyncio.AbstractEventLoop
    ) -> _connections.Connection:
        """Return a connection with a slot, once there is a free slot."""
        if self._is_closed:
            raise _closed_error()
        generation = self._generation
        if generation.used_slots < self._max_connections:
            generation.used_slots += 1
        else:
            generation = await self._wait_for_slot(loop)
        connection = generation.take_idle(loop.time())
        if connection is not None:
            return connection
        try:
            return await self._connect(generation, loop)
        except BaseException:
            self._release_slot(generation)
            raise

    async def _wait_for_slot(
        self, loop: asyncio.AbstractEventLoop
    ) -> Generation:
        waiter: asyncio.Future[Generation] = loop.create_future()
        self._waiting.append(waiter)
        try:
            return await waiter
        except asyncio.CancelledError:
            # The slot may have been granted in the same iteration of the loop.
            if not waiter.cancelled() and waiter.exception() is None:
                self._release_slot(waiter.result())
            raise

    async def _connect(
        self, generation: Generation, loop: asyncio.AbstractEventLoop
    ) -> _connections.Connection:
        host, port = _parse_address(self._address)
        _, connection = await loop.create_connection(
            functools.partial(
                _connections.Connection,
                generation,
                self._handle_lost,
                self._handle_progress,
            ),
            host,
            port,
        )
        self.traffic.count_connection()
        if self._is_closed:
            connection.abort()
            raise _closed_error()
        if not connection.is_usable():
            raise ConnectionAbortedError('closed at once by the server')
        self._connections.add(connection)
        return connection

    def _handle_lost(self, connection: _connections.Connection) -> None:
        self._connections.discard(connection)
        idle = connection.generation.idle
        if connection in idle:
            idle.remove(connection)

    def _handle_progress(self) -> None:
        self.progressed_at = time.monotonic()

    def _release(
        self,
        connection: _connections.Connection,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """Keep a connection after its call, unless it is retired."""
        generation = connection.generation
        if generation is not self._generation:
            connection.abort()
        elif connection.is_usable():
            connection.released_at = loop.time()
            generation.idle.append(connection)
            if self._idle_timer is None:
                self._idle_timer = loop.call_later(
                    KEEP_ALIVE_S, self._close_idle, loop
                )
        self._release_slot(generation)

    def _release_slot(self, generation: Generation) -> None:
        generation.used_slots -= 1
        self._grant_slots()

    def _grant_slots(self) -> None:
        """Let waiting calls continue, in order of arrival."""
        generation = self._generation
        while self._waiting and generation.used_slots < self._max_connections:
            waiter = self._waiting.popleft()
            if not waiter.done():
                generation.used_slots += 1
                waiter.set_result(generation)

    def _retire(self, generation: Generation) -> None:
        """Close idle connections; those of calls in flight close later.

        Waiting calls continue, over new connections.
        """
        if generation is not self._generation:
            return
        self._generation = Generation()
        for connection in generation.idle:
            connection.abort()
        self._grant_slots()

    def _close_idle(self, loop: asyncio.AbstractEventLoop) -> None:
        """Close connections that have been idle for long.

        One timer serves all connections of the channel.
        """
        self._idle_timer = None
        idle = self._generation.idle
        while idle and idle[0].released_at + KEEP_ALIVE_S <= loop.time():
            idle.pop(0).abort()
        if idle:
            self._idle_timer = loop.call_at(
                idle[0].released_at + KEEP_ALIVE_S, self._close_idle, loop
            )


class ChannelPool:
    """Pool of channels, one for each address."""

    def __init__(
        self,
        max_connections_per_address: int = pools.MAX_CONNECTIONS_PER_ADDRESS,
    ) -> None:
        self._max_connections = max_connections_per_address
        self._channels_by_address: dict[str, Channel] = {}
        self.counters: collections.Counter[str] = collections.Counter()

    def get(self, address: str, kind: str = pools.WORKERS) -> Channel:
        """Return the channel to an address.

        `kind` names the counters of a new channel; an existing one keeps its
        counters.
        """
        channel = self._channels_by_address.get(address)
        if channel is None:
            traffic = pools.Traffic(kind, self.counters)
            channel = Channel(address, self._max_connections, traffic)
            self._channels_by_address[address] = channel
        return channel

    async def remove(self, address: str) -> None:
        """Close and remove the channel to an address."""
        channel = self._channels_by_address.pop(address, None)
        if channel is not None:
            await channel.close()

    async def close(self) -> None:
        """Close every channel."""
        for address in list(self._channels_by_address):
            await self.remove(address)


def _parse_address(address: str) -> tuple[str, int]:
    match = _ADDRESS.fullmatch(address)
    port = int(match[3] or _DEFAULT_PORT) if match else 0
    if match is None or not 0 < port <= _MAX_PORT:
        raise ValueError('malformed address')
    return match[1] or match[2], port


def _closed_error() -> ConnectionError:
    return ConnectionAbortedError('the channel is closed')
