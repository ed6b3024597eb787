"""HTTP listener that closes slow and idle connections."""

import asyncio
import ssl
from typing import Any

from aiohttp import web

from celeryshift_net import servers
from celeryshift_node import _runner
from celeryshift_node import _settings


def _limits(bounds: _settings.Bounds) -> servers.Limits:
    return servers.Limits(
        max_connections=bounds.max_connections,
        max_line_bytes=bounds.max_header_bytes,
        max_fields=bounds.max_headers,
        max_head_bytes=bounds.max_head_bytes,
        heads_bytes=bounds.max_heads_bytes,
        first_head_timeout_s=bounds.header_timeout_s,
        head_timeout_s=bounds.header_timeout_s,
        idle_timeout_s=bounds.idle_timeout_s,
        write_timeout_s=bounds.write_timeout_s,
    )


def _report_error(error: str, where: str) -> None:
    _runner.log.error('request failed: {} at {}', error, where)


class Listener(web.AppRunner):
    """Application runner that limits connections in time and size."""

    def __init__(self, app: web.Application, bounds: _settings.Bounds) -> None:
        limits = _limits(bounds)
        self._options = servers.handler_options(limits, _report_error)
        super().__init__(
            app,
            handler_cancellation=True,
            shutdown_timeout=bounds.drain_timeout_s,
            **self._options,
        )
        self._guarded = servers.Listener(limits)
        self._context: ssl.SSLContext | None = None

    @property
    def server(self) -> Any:
        """Return the factory of connection protocols, for use by sites."""
        return self._make_connection

    @property
    def connections(self) -> servers.ConnectionTable:
        """Return the open connections, and counters of the closed ones."""
        return self._guarded.table

    async def listen(
        self,
        host: str,
        port: int,
        backlog: int,
        context: ssl.SSLContext | None,
    ) -> None:
        """Accept connections at all addresses of a host."""
        limits = self._guarded.limits
        self._context = context
        for listening in servers.open_sockets(
            host, port, backlog, limits.receive_bytes
        ):
            await web.SockSite(self, listening, backlog=backlog).start()

    async def stop_accepting(self) -> None:
        """Stop accepting connections; open ones remain in use."""
        for site in list(self.sites):
            await site.stop()

    def _make_connection(self) -> asyncio.BaseProtocol:
        if self._context is None:
            return self._make_guard()
        return servers.Handshake(
            self._guarded, self._context, self._make_guard
        )

    def _make_guard(self) -> servers.Guard:
        return servers.Guard(self._guarded, self._make_handler)

    def _make_handler(self, guard: servers.Guard) -> servers.RequestHandler:
        assert self._server is not None
        return servers.RequestHandler(self._server, guard, **self._options)
