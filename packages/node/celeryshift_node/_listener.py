"""HTTP listener that closes slow and idle connections."""

import asyncio
from typing import Any

from aiohttp import web
from aiohttp import web_protocol

from celeryshift_node import _settings

LINGERING_TIME_S = 1.0


class FirstRequestTimeouts:
    """Timeouts for the first request on each new connection.

    Between requests the keep-alive timeout of aiohttp applies.
    """

    def __init__(self, timeout_s: float) -> None:
        self._timeout_s = timeout_s
        self._timers_by_connection: dict[Any, asyncio.TimerHandle] = {}

    def start(self, connection: web_protocol.RequestHandler) -> None:
        """Start the timeout of a new connection."""
        loop = asyncio.get_running_loop()
        timer = loop.call_later(self._timeout_s, self._abort, connection)
        self._timers_by_connection[connection] = timer

    def cancel(self, connection: web_protocol.RequestHandler) -> None:
        """Cancel the timeout of a connection that got a request."""
        timer = self._timers_by_connection.pop(connection, None)
        if timer is not None:
            timer.cancel()

    def _abort(self, connection: web_protocol.RequestHandler) -> None:
        self._timers_by_connection.pop(connection, None)
        if connection.transport is not None:
            connection.transport.abort()


class Listener(web.AppRunner):
    """Application runner that limits connections in time and size."""

    def __init__(
        self,
        app: web.Application,
        first_request_timeouts: FirstRequestTimeouts,
        bounds: _settings.Bounds,
    ) -> None:
        super().__init__(
            app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=bounds.drain_timeout_s,
            keepalive_timeout=bounds.idle_timeout_s,
            lingering_time=LINGERING_TIME_S,
            max_line_size=bounds.max_header_bytes,
            max_field_size=bounds.max_header_bytes,
            max_headers=bounds.max_headers,
        )
        self._first_request_timeouts = first_request_timeouts

    @property
    def server(self) -> Any:
        """Return the factory of connection handlers, for use by sites."""
        return self._make_connection

    async def stop_accepting(self) -> None:
        """Stop accepting connections; open ones remain in use."""
        for site in list(self.sites):
            await site.stop()

    def _make_connection(self) -> web_protocol.RequestHandler:
        assert self._server is not None
        connection = self._server()
        self._first_request_timeouts.start(connection)
        return connection
