"""The listener: it closes connections that are slow or idle."""

import asyncio
from typing import Any

from aiohttp import web
from aiohttp import web_protocol

from celeryshift_node import _settings

LINGER_S = 1.0


class FirstRequestTimeouts:
    """Close a connection on which no first request arrives in time.

    Between requests the idle timeout of aiohttp does the same.
    """

    def __init__(self, timeout_s: float) -> None:
        self._timeout_s = timeout_s
        self._timers_by_connection: dict[Any, asyncio.TimerHandle] = {}

    def opened(self, connection: web_protocol.RequestHandler) -> None:
        """Wait for the first request on a new connection."""
        loop = asyncio.get_running_loop()
        timer = loop.call_later(self._timeout_s, self._close, connection)
        self._timers_by_connection[connection] = timer

    def seen(self, connection: web_protocol.RequestHandler) -> None:
        """Note that a request has arrived on a connection."""
        timer = self._timers_by_connection.pop(connection, None)
        if timer is not None:
            timer.cancel()

    def _close(self, connection: web_protocol.RequestHandler) -> None:
        self._timers_by_connection.pop(connection, None)
        if connection.transport is not None:
            connection.transport.abort()


class Listener(web.AppRunner):
    """Run an application whose connections are bounded in time and size."""

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
            lingering_time=LINGER_S,
            max_line_size=bounds.max_header_bytes,
            max_field_size=bounds.max_header_bytes,
            max_headers=bounds.max_headers,
        )
        self._first_request_timeouts = first_request_timeouts

    @property
    def server(self) -> Any:
        """Give the factory of connections."""
        return self._open

    async def refuse(self) -> None:
        """Take no further connections; those that are open go on."""
        for site in list(self.sites):
            await site.stop()

    def _open(self) -> web_protocol.RequestHandler:
        assert self._server is not None
        connection = self._server()
        self._first_request_timeouts.opened(connection)
        return connection
