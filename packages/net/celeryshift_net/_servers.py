"""HTTP servers of aiohttp with a guard in front of each connection."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import logging
import traceback
from typing import Any

from aiohttp import web

from celeryshift_net import _guard
from celeryshift_net import _limits
from celeryshift_net import _sockets

RequestFunction = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
# Receives the error of a request that was answered 500, and where it is from.
ReportError = Callable[[str, str], None]

BACKLOG = 512
MAX_TEXT_CHARS = 200
MAX_FRAMES = 3


class RequestHandler(web.RequestHandler):
    """Request handler of aiohttp that reads by the guard of a connection."""

    __slots__ = ('_guard',)

    def __init__(
        self, server: web.Server, guard: _guard.Guard, **options: Any
    ) -> None:
        loop = asyncio.get_running_loop()
        super().__init__(server, loop=loop, **options)
        self._guard = guard
        parser = self._parser
        assert parser is not None
        self._parser = _guard.Parser(parser, guard)  # type: ignore[assignment]

    def _pause_transport_reading(self) -> None:
        self._guard.hold()

    def _resume_transport_reading(self) -> None:
        self._guard.release()

    def force_close(self) -> None:
        """Close the connection once its last answer is sent."""
        self._guard.close()
        super().force_close()

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Write the response, and have the guard go on."""
        finished = await super().finish_response(request, resp, start_time)
        self._guard.end_answer(bool(finished[0].keep_alive))
        return finished


class _ErrorHandler(logging.Handler):
    """Handler of the log of aiohttp that reports errors in short."""

    def __init__(self, report: ReportError) -> None:
        super().__init__(logging.ERROR)
        self._report = report

    def emit(self, record: logging.LogRecord) -> None:
        """Report an error."""
        error = record.exc_info[1] if record.exc_info else None
        frames = traceback.extract_tb(error.__traceback__) if error else []
        places = (f'{f.name}:{f.lineno}' for f in frames[-MAX_FRAMES:])
        self._report(repr(error)[:MAX_TEXT_CHARS], ' '.join(places))


def handler_options(
    limits: _limits.Limits, report: ReportError
) -> dict[str, Any]:
    """Return the options of a request handler."""
    logger = logging.Logger('celeryshift.requests', logging.ERROR)
    logger.addHandler(_ErrorHandler(report))
    return {
        'access_log': None,
        'logger': logger,
        'keepalive_timeout': limits.idle_timeout_s,
        'lingering_time': _limits.LINGERING_S,
        'max_line_size': limits.max_line_bytes,
        'max_field_size': limits.max_line_bytes,
        'max_headers': limits.max_fields,
        'read_bufsize': _limits.BODY_BUFFER_BYTES,
        'auto_decompress': False,
    }


class Server(web.Server):
    """Server for one function, whose connections are limited."""

    def __init__(
        self,
        function: RequestFunction,
        limits: _limits.Limits,
        report: ReportError,
    ) -> None:
        self._options = handler_options(limits, report)
        super().__init__(function, **self._options)
        self.listener = _guard.Listener(limits)

    def __call__(self) -> Any:
        """Return the protocol of a new connection."""
        return _guard.Guard(self.listener, self._make_handler)

    def _make_handler(self, guard: _guard.Guard) -> RequestHandler:
        return RequestHandler(self, guard, **self._options)


async def listen(server: Server, host: str, port: int) -> web.ServerRunner:
    """Serve at an address."""
    runner = web.ServerRunner(server)
    await runner.setup()
    limits = server.listener.limits
    for listening in _sockets.open_sockets(
        host, port, BACKLOG, limits.receive_bytes, limits.send_bytes
    ):
        await web.SockSite(runner, listening, backlog=BACKLOG).start()
    return runner
