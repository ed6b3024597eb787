"""Calls between nodes: JSON over persistent HTTP connections."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import time
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
# Largest call: a job, whose row the store limits.
MAX_BODY_BYTES = 1_048_576
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
        self,
        metrics: Callable[[], tuple[bytes, str]],
        log_decision: Callable,
        budget: servers.BodyBudget | None = None,
    ) -> None:
        self._handlers: dict[str, Handler] = {}
        self._metrics = metrics
        self._log_decision = log_decision
        self._budget = budget or servers.BodyBudget()
        self._large_reads = asyncio.Semaphore(MAX_LARGE_READS)

    def add_handler(self, name: str, handler: Handler) -> None:
        """Register the handler of a function."""
        self._handlers[name] = handler

    async def start(self, host: str, port: int) -> web.ServerRunner:
        """Listen for calls of other nodes, with the default limits."""

        def report(error: str, where: str) -> None:
            self._log_decision('request_failed', error=error, where=where)

        server = servers.Server(self.handle_request, servers.Limits(), report)
        return await servers.listen(server, host, port)

    async def _read(
        self, request: web.BaseRequest, body: servers.Body
    ) -> bytes:
        length = request.content_length
        if length is not None and length <= SMALL_BODY_BYTES:
            return await body.read(
                SMALL_BODY_BYTES, time.monotonic() + READ_TIMEOUT_S
            )
        # Bodies in chunks have an unknown length.
        async with self._large_reads:
            return await body.read(
                MAX_BODY_BYTES, time.monotonic() + READ_TIMEOUT_S
            )

    async def handle_request(self, request: web.BaseRequest) -> web.Response:
        """Answer a call of another node, or a request of the metrics."""
        if request.path == '/metrics':
            content, content_type = self._metrics()
            headers = {'Content-Type': content_type}
            return web.Response(body=content, headers=headers)
        name = request.path.removeprefix('/v1/')
        handler = self._handlers.get(name)
        if handler is None:
            return web.Response(status=404)
        try:
            with servers.Body(request, self._budget) as body:
                call = orjson.loads(await self._read(request, body))
            # Calls that wait are limited by the number of connections.
            result = await handler(call)
        except Exception as error:
            # Another release or a fault may send anything; the caller treats
            # the status as no answer.
            self._log_decision(
                'peer_call_failed', call=name, error=errors.describe(error)
            )
            return web.Response(status=503)
        return web.Response(
            body=orjson.dumps(result), content_type='application/json'
        )
