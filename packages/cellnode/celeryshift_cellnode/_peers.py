"""Calls between nodes: HTTP with JSON, over connections that are kept."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from aiohttp import web
import orjson

from celeryshift_cellnode import errors
from celeryshift_net import exchanges
from celeryshift_net import pools

# Answers between nodes take some milliseconds; a second means trouble.
CALL_TIMEOUT_S = 1.0

Handler = Callable[[Any], Awaitable[Any]]


class Peers:
    """Call other nodes."""

    def __init__(self, channels: pools.ChannelPool) -> None:
        self._channels = channels

    async def call(
        self,
        address: str,
        name: str,
        body: Any,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Any:
        """Call a function of another node, and give its result."""
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
        return orjson.loads(received)

    async def answers(self, address: str, timeout_s: float) -> bool:
        """Tell whether a node is there; the caller logs what follows."""
        try:
            await self.call(address, 'ping', {}, timeout_s)
        except errors.PeerError:
            # The answer is all that the caller needs to know.
            return False
        return True


class PeerServer:
    """Serve the calls of other nodes, and the metrics."""

    def __init__(
        self, metrics: Callable[[], tuple[bytes, str]], note: Callable
    ) -> None:
        self._handlers: dict[str, Handler] = {}
        self._metrics = metrics
        self._note = note

    def serve(self, name: str, handler: Handler) -> None:
        """Answer the calls of a function."""
        self._handlers[name] = handler

    async def start(self, host: str, port: int) -> web.ServerRunner:
        """Listen for other nodes."""
        runner = web.ServerRunner(
            web.Server(self._answer, access_log=None), access_log=None
        )
        await runner.setup()
        await web.TCPSite(runner, host, port, backlog=256).start()
        return runner

    async def _answer(self, request: web.BaseRequest) -> web.Response:
        if request.path == '/metrics':
            body, content_type = self._metrics()
            headers = {'Content-Type': content_type}
            return web.Response(body=body, headers=headers)
        handler = self._handlers.get(request.path.removeprefix('/v1/'))
        if handler is None:
            return web.Response(status=404)
        try:
            result = await handler(orjson.loads(await request.read()))
        except (errors.CellNodeError, ValueError, LookupError) as error:
            self._note(
                'peer_call_failed', call=request.path, error=repr(error)
            )
            return web.Response(status=503)
        return web.Response(
            body=orjson.dumps(result), content_type='application/json'
        )
