"""HTTP server whose connections and bodies take a bounded memory.

A client may open many connections and send a part of a request on each. The
number of connections and the sizes of headers are limited, a request must be
complete soon after it has begun, and all bodies together have a budget.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import time
from typing import Any

from aiohttp import web
import attrs

from celeryshift_cellnode import _memory
from celeryshift_cellnode import errors
from celeryshift_net import servers

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

BACKLOG = 512
KEEPALIVE_S = 75.0
# How long a client may take to send the header of a request.
HEADER_TIMEOUT_S = 5.0
# How long the rest of a refused body is read and discarded, so that the client
# receives the response instead of a reset.
LINGERING_S = 1.0
MAX_HEADERS = 32
MAX_HEADER_BYTES = 1024
# Bytes of a body that are read before it is asked for.
READ_BUFFER_BYTES = 4096
# Buffers of a connection in the kernel.
RECEIVE_BYTES = 8192
SEND_BYTES = 16_384
# Memory of a connection whose header is almost complete.
CONNECTION_BYTES = (
    MAX_HEADERS * MAX_HEADER_BYTES + servers.KERNEL_FACTOR * RECEIVE_BYTES
)
# Shares of the memory that the process does not need itself.
CONNECTIONS_SHARE = 0.2
BODIES_SHARE = 0.1
# Share of the file descriptors for connections of clients.
DESCRIPTORS_SHARE = 0.5
# Connections if neither memory nor descriptors are limited.
MAX_CONNECTIONS = 10_000
# Idle connections are searched for among this many of the oldest.
MAX_SEARCHED = 256
# Memory of a decoded body as a multiple of its size, and of a call.
DECODED_FACTOR = 6
CALL_BYTES = 16_384
# Larger bodies may use only this share of the budget.
SMALL_BODY_BYTES = 8192
LARGE_BODIES_SHARE = 0.5
# Longest time for which a body is read, whatever the client's timeout.
MAX_BODY_S = 10.0


def max_connections(memory_mb: float, descriptors: int) -> int:
    """Return how many connections clients may open; 0 means no limit."""
    limits = [MAX_CONNECTIONS]
    if memory_mb > 0:
        share = CONNECTIONS_SHARE * _memory.free_bytes(memory_mb)
        limits.append(int(share / CONNECTION_BYTES))
    if descriptors > 0:
        limits.append(int(DESCRIPTORS_SHARE * descriptors))
    return max(1, min(limits))


@attrs.define(eq=False)
class BodyBudget:
    """Memory for the bodies of all calls in progress; 0 for no limit."""

    limit: int = 0
    used: int = 0

    @classmethod
    def of_memory(cls, memory_mb: float) -> 'BodyBudget':
        """Return the budget of a process with a memory limit, 0 for none."""
        if memory_mb <= 0:
            return cls()
        return cls(int(BODIES_SHARE * _memory.free_bytes(memory_mb)))

    def take(self, size: int, is_large: bool) -> bool:
        """Use a part of the budget, and return whether there was enough."""
        limit = self.limit * (LARGE_BODIES_SHARE if is_large else 1.0)
        if self.limit and self.used + size > limit:
            return False
        self.used += size
        return True


class Body:
    """Body of a call, which keeps its part of the budget until it is closed.

    It is a context manager.
    """

    def __init__(self, request: web.BaseRequest, budget: BodyBudget) -> None:
        self._request = request
        self._budget = budget
        self._taken = 0

    def __enter__(self) -> 'Body':
        """Return the body."""
        return self

    def __exit__(self, *error: object) -> None:
        """Give the part of the budget back."""
        self._budget.used -= self._taken

    async def read(self, max_bytes: int, deadline: float) -> bytes:
        """Read the body.

        Raises ``BodyTooLargeError``, ``BusyError`` if the budget is used up,
        or ``IncompleteBodyError``.
        """
        declared = self._request.content_length
        if declared is not None and declared > max_bytes:
            raise errors.BodyTooLargeError(f'a body of {declared} bytes')
        is_large = (declared or max_bytes) > SMALL_BODY_BYTES
        self._take(CALL_BYTES, is_large)
        timeout_s = min(max(0.0, deadline - time.monotonic()), MAX_BODY_S)
        try:
            async with asyncio.timeout(timeout_s):
                return await self._read(max_bytes, is_large)
        except TimeoutError as error:
            raise errors.IncompleteBodyError('it is late') from error
        except (ConnectionError, web.RequestPayloadError) as error:
            raise errors.IncompleteBodyError(errors.describe(error)) from error

    async def _read(self, max_bytes: int, is_large: bool) -> bytes:
        chunks = []
        size = 0
        while chunk := await self._request.content.readany():
            size += len(chunk)
            if size > max_bytes:
                raise errors.BodyTooLargeError(
                    f'a body of more than {max_bytes} bytes'
                )
            self._take(DECODED_FACTOR * len(chunk), is_large)
            chunks.append(chunk)
        return b''.join(chunks)

    def _take(self, size: int, is_large: bool) -> None:
        if not self._budget.take(size, is_large):
            raise errors.BusyError('the bodies of other calls take all memory')
        self._taken += size


class _Connection(web.RequestHandler):
    """Connection of a client."""

    __slots__ = ('_header_timer', 'is_busy')

    def __init__(self, server: '_Server', **options: Any) -> None:
        super().__init__(server, **options)
        # Whether a request is complete and not answered yet.
        self.is_busy = False
        self._header_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept a connection, in place of an idle one if there are many."""
        super().connection_made(transport)
        server = self._manager
        assert isinstance(server, _Server)
        server.make_room(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget the connection."""
        self._cancel_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Read a part of a request, whose header must be complete soon."""
        if not self.is_busy and self._header_timer is None:
            self._header_timer = asyncio.get_running_loop().call_later(
                HEADER_TIMEOUT_S, self.abort
            )
        super().data_received(data)

    def begin(self) -> None:
        """Note that the header of a request is complete."""
        self.is_busy = True
        self._cancel_timer()

    def abort(self) -> None:
        """Close the connection at once."""
        self.force_close()
        if self.transport is not None:
            self.transport.abort()

    def _cancel_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None


class _Server(web.Server):
    """Server with a maximum of connections."""

    def __init__(self, handler: Handler, most: int, **options: Any) -> None:
        self._handler = handler
        self._most = most
        self._options = options
        super().__init__(
            self._handle, request_factory=self._make_call, **options
        )

    def __call__(self) -> web.RequestHandler:
        """Return the protocol of a new connection."""
        loop = asyncio.get_running_loop()
        return _Connection(self, loop=loop, **self._options)

    def _make_call(self, message: Any, payload: Any, *rest: Any) -> Any:
        connection = rest[0]
        connection.begin()
        return self._make_request(message, payload, *rest)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        try:
            return await self._handler(request)
        finally:
            connection = request.protocol
            assert isinstance(connection, _Connection)
            connection.is_busy = False

    def make_room(self, newest: _Connection) -> None:
        """Close the oldest idle connection, or the newest, beyond the limit.

        A connection that has begun to send a request counts as idle.
        """
        connections = self.connections
        if len(connections) <= self._most:
            return
        for connection in connections[:MAX_SEARCHED]:
            transport = connection.transport
            if transport is None or transport.is_closing():
                continue
            if isinstance(connection, _Connection) and not connection.is_busy:
                connection.abort()
                return
        newest.abort()


async def listen(
    handler: Handler, host: str, port: int, most: int = MAX_CONNECTIONS
) -> web.ServerRunner:
    """Listen for clients, with a maximum number of connections."""
    options = {
        'access_log': None,
        'keepalive_timeout': KEEPALIVE_S,
        'lingering_time': LINGERING_S,
        'max_line_size': MAX_HEADER_BYTES,
        'max_field_size': MAX_HEADER_BYTES,
        'max_headers': MAX_HEADERS,
        'read_bufsize': READ_BUFFER_BYTES,
    }
    server_runner = web.ServerRunner(_Server(handler, most, **options))
    await server_runner.setup()
    for listening in servers.open_sockets(
        host, port, BACKLOG, RECEIVE_BYTES, SEND_BYTES
    ):
        await web.SockSite(server_runner, listening, backlog=BACKLOG).start()
    return server_runner
