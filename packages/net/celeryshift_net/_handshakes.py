"""TLS handshakes of a listener, which count as its connections."""

import asyncio
from collections.abc import Callable
import ssl
from typing import Any

from celeryshift_net import _connectiontable
from celeryshift_net import _guard


class Handshake(asyncio.Protocol):
    """Protocol of an accepted connection until its handshake is complete."""

    def __init__(
        self,
        listener: _guard.Listener,
        context: ssl.SSLContext,
        make_guard: Callable[[], _guard.Guard],
    ) -> None:
        self._table = listener.table
        self._timeout_s = listener.limits.handshake_timeout_s
        self._context = context
        self._make_guard = make_guard
        self._transport: Any = None
        self._task: asyncio.Task[None] | None = None
        self.phase = _connectiontable.Phase.INCOMPLETE
        self.since = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin the handshake, in place of a connection if there are many."""
        self._transport = transport
        loop = asyncio.get_running_loop()
        self._task = loop.create_task(self._run())
        self._table.add(self, loop.time())

    def abort(self, reason: str) -> None:
        """Close the connection at once, and count the reason."""
        self._table.counters[reason] += 1
        self._table.remove(self)
        self._transport.abort()

    async def _run(self) -> None:
        guard = self._make_guard()
        try:
            transport = await asyncio.get_running_loop().start_tls(
                self._transport,
                guard,
                self._context,
                server_side=True,
                ssl_handshake_timeout=self._timeout_s,
            )
        except (OSError, RuntimeError):
            # The client has left, is too slow, or speaks no TLS.
            self._table.counters['handshake_failed'] += 1
            self._transport.abort()
            return
        finally:
            self._table.remove(self)
        if transport is not None and not transport.is_closing():
            guard.connection_made(transport)
