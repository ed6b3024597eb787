"""Network of nodes and a store in virtual time, with links of limited rate.

The calls go through the real client of ``celeryshift_net.http1``. Whoever
connects is told by a context variable, which tasks inherit.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextvars
import random
import types
from typing import Any

import attrs

CHUNK_BYTES = 8192
DELAY_S = 0.002
BITS = 8
# Time after which a connection to a host that doesn't answer fails.
CONNECT_S = 60.0

# Status and body of the answer to a caller's method, target and body.
Handler = Callable[[str, str, str, bytes], Awaitable[tuple[int, bytes]]]
caller = contextvars.ContextVar('caller', default='')


class Link:
    """Link of one host, which carries the bytes of all its connections."""

    def __init__(self, mbps: float) -> None:
        self.bytes_per_s = mbps * 1e6 / BITS
        self.carried = 0
        self._free_at = 0.0

    async def carry(self, size: int) -> None:
        """Wait until some bytes have passed."""
        now = asyncio.get_running_loop().time()
        self.carried += size
        self._free_at = max(now, self._free_at) + size / self.bytes_per_s
        await asyncio.sleep(self._free_at - now)


@attrs.define(eq=False)
class Host:
    """Host with a link, and a server if it has a handler."""

    link: Link
    handler: Handler | None = None


class Network:
    """Hosts that call each other."""

    def __init__(self) -> None:
        self.hosts: dict[str, Host] = {}
        # Pairs of caller and host between which nothing is delivered.
        self.silent: set[tuple[str, str]] = set()
        # Share of the answers that are lost, by host.
        self.lost_share: dict[str, float] = {}
        self.random = random.Random(0)
        # Added to each answer, by host.
        self.latency_s: dict[str, float] = {}

    async def connect(
        self, make_protocol: Callable[[], Any], host: str, port: int
    ) -> tuple[Any, Any]:
        """Connect the current caller to a host."""
        if (caller.get(), host) in self.silent:
            await asyncio.sleep(CONNECT_S)
        await asyncio.sleep(2 * DELAY_S)
        if self.hosts[host].handler is None:
            raise ConnectionRefusedError(host)
        protocol = make_protocol()
        transport = _Transport(self, caller.get(), host, protocol)
        protocol.connection_made(transport)
        return transport, protocol

    def is_silent(self, name: str, host: str) -> bool:
        """Return whether nothing is delivered between a caller and a host."""
        return (name, host) in self.silent

    def loses_answer(self, host: str) -> bool:
        """Draw whether the answer of a host is lost."""
        return self.random.random() < self.lost_share.get(host, 0.0)


class _Transport:
    """Connection that carries one call at a time."""

    def __init__(
        self, network: Network, name: str, host: str, protocol: Any
    ) -> None:
        self._network = network
        self._name = name
        self._host = host
        self._protocol = protocol
        self._is_closed = False
        self._is_dead = False
        self._tasks: set[asyncio.Task[None]] = set()

    def get_extra_info(self, name: str) -> Any:
        """Return a socket that ignores its options."""
        return types.SimpleNamespace(setsockopt=lambda *_: None)

    def get_write_buffer_size(self) -> int:
        """Return 0: requests are sent at once."""
        return 0

    def is_closing(self) -> bool:
        """Return whether the connection is closed."""
        return self._is_closed

    def abort(self) -> None:
        """Close the connection; its answer in flight is discarded."""
        if self._is_closed:
            return
        self._is_closed = True
        loop = asyncio.get_running_loop()
        loop.call_soon(self._protocol.connection_lost, None)

    def write(self, request: bytes) -> None:
        """Send a request, which is answered in the background."""
        task = asyncio.get_running_loop().create_task(self._answer(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _is_lost(self) -> bool:
        is_silent = self._network.is_silent(self._name, self._host)
        self._is_dead = self._is_dead or is_silent
        return self._is_dead or self._is_closed

    async def _answer(self, request: bytes) -> None:
        await asyncio.sleep(DELAY_S)
        head, _, body = request.partition(b'\r\n\r\n')
        method, target, _ = head.decode().split(' ', 2)
        host = self._network.hosts[self._host]
        if self._is_lost() or host.handler is None:
            return
        status, answer = await host.handler(self._name, method, target, body)
        await asyncio.sleep(self._network.latency_s.get(self._host, 0.0))
        if self._network.loses_answer(self._host):
            self._is_dead = True
        data = b'HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%b' % (
            status,
            len(answer),
            answer,
        )
        own_link = self._network.hosts[self._name].link
        for start in range(0, len(data), CHUNK_BYTES):
            chunk = data[start : start + CHUNK_BYTES]
            if self._is_lost():
                return
            await host.link.carry(len(chunk))
            await own_link.carry(len(chunk))
            if self._is_lost():
                return
            self._protocol.data_received(chunk)
