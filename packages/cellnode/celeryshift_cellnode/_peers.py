"""Calls between nodes: JSON over persistent HTTP connections."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from aiohttp import web
import orjson

from celeryshift_cellnode import errors
from celeryshift_net import exchanges
from celeryshift_net import pools
from celeryshift_net import servers

# Calls with larger bodies are read this many at a time, each within a time:
# every node may submit jobs to the owner, but a ping never waits.
SMALL_BODY_BYTES = 4096
MAX_LARGE_READS = 32
READ_TIMEOUT_S = 2.0
BACKLOG = 256
# Receive buffer of a connection in the kernel.
RECEIVE_BYTES = 8192
# Nodes usually answer within milliseconds; one second means a fault.
CALL_TIMEOUT_S = 1.0

Handler = Callable[[Any], Awaitable[Any]]


class Answer(dict[str, Any]):
    """Answer of another node; a field that it lacks counts as no answer."""

    def __missing__(self, field: str) -> Any:
        """Raise ``PeerError``."""
        raise errors.PeerError(f'the answer has no {field!r}')


class Peers:
    """Client for calls to other nodes."""

    def __init__(self, channels: exchanges.ChannelPool) -> None:
        self._channels = channels

    async def call(
        self,
        address: str,
        name: str,
        body: Any,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> dict[str, Any]:
        """Call a function of another node, and return its result."""
        channel = self._channels.get(address, pools.PEERS)
        try:
            status, received = await exchanges.exchange(
                channel,
                'POST',
                f'http://{address}/v1/{name}',
                orjson.dumps(body),
                timeout_s,
            )
        except exchanges.NotListeningError as error:
            raise errors.PeerRefusedError(str(error)) from error
        except exchanges.ExchangeError as error:
            raise errors.PeerError(str(error)) from error
        if status != 200:
            raise errors.PeerError(f'{name} at {address}: status {status}')
        try:
            result = orjson.loads(received)
        except ValueError as error:
            raise errors.PeerError(f'{name} at {address}: {error}') from error
        if not isinstance(result, dict):
            raise errors.PeerError(f'{name} at {address}: no object')
        return Answer(result)

    async def is_reachable(self, address: str, timeout_s: float) -> bool:
        """Return whether a node answers a ping."""
        try:
            await self.call(address, 'ping', {}, timeout_s)
        except errors.PeerError:
            # The caller logs the consequence.
            return False
        return True


class PeerServer:
    """Server for calls of other nodes, and for the metrics."""

    def __init__(
        self, metrics: Callable[[], tuple[bytes, str]], log_decision: Callable
    ) -> None:
        self._handlers: dict[str, Handler] = {}
        self._metrics = metrics
        self._log_decision = log_decision
        self._large_reads = asyncio.Semaphore(MAX_LARGE_READS)

    def add_handler(self, name: str, handler: Handler) -> None:
        """Register the handler of a function."""
        self._handlers[name] = handler

    async def start(self, host: str, port: int) -> web.ServerRunner:
        """Listen for calls of other nodes."""
        runner = web.ServerRunner(
            web.Server(
                self._handle_request,
                access_log=None,
                read_bufsize=SMALL_BODY_BYTES,
            ),
            access_log=None,
        )
        await runner.setup()
        for listening in servers.open_sockets(
            host, port, BACKLOG, RECEIVE_BYTES
        ):
            await web.SockSite(runner, listening, backlog=BACKLOG).start()
        return runner

    async def _read(self, request: web.BaseRequest) -> bytes:
        if (request.content_length or 0) <= SMALL_BODY_BYTES:
            return await request.read()
        async with self._large_reads, asyncio.timeout(READ_TIMEOUT_S):
            return await request.read()

    async def _handle_request(self, request: web.BaseRequest) -> web.Response:
        if request.path == '/metrics':
            body, content_type = self._metrics()
            headers = {'Content-Type': content_type}
            return web.Response(body=body, headers=headers)
        handler = self._handlers.get(request.path.removeprefix('/v1/'))
        if handler is None:
            return web.Response(status=404)
        try:
            result = await handler(orjson.loads(await self._read(request)))
        except Exception as error:
            # Another release or a fault may send anything; the caller treats
            # the status as no answer.
            self._log_decision(
                'peer_call_failed',
                call=request.path,
                error=errors.describe(error),
            )
            return web.Response(status=503)
        return web.Response(
            body=orjson.dumps(result), content_type='application/json'
        )
