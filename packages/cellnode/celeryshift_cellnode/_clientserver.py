"""Limits of the connections and bodies of a node, by its memory.

The shares add up with those of the cell; see ``docs/PROMISES.md``.
"""

import asyncio
from collections.abc import Callable

from celeryshift_cellnode import _memory
from celeryshift_cellnode import _peers
from celeryshift_cellnode import ports
from celeryshift_net import servers

Body = servers.Body
BodyBudget = servers.BodyBudget

# How long a client may take to send the header of a request.
HEADER_TIMEOUT_S = 5.0
# Shares of the memory that the process does not need itself.
CONNECTIONS_SHARE = 0.18
HEADS_SHARE = 0.02
BODIES_SHARE = 0.07
PEER_BODIES_SHARE = 0.03
# Shares of the file descriptors.
DESCRIPTORS_SHARE = 0.5
PEER_DESCRIPTORS_SHARE = 0.2
# Connections if neither memory nor descriptors are limited.
MAX_CONNECTIONS = 10_000
# The memory of these is part of what the process needs itself.
MAX_PEER_CONNECTIONS = 512
READINESS_CONNECTIONS = 16
# Room for one large head.
MIN_HEADS_BYTES = 65_536
SEND_BYTES = 16_384
# Between log lines about connections that were refused or closed.
REPORT_INTERVAL_S = 10.0


def max_connections(memory_mb: float, descriptors: int) -> int:
    """Return how many connections clients may open; 0 means no limit."""
    limits = [MAX_CONNECTIONS]
    if memory_mb > 0:
        share = CONNECTIONS_SHARE * _memory.free_bytes(memory_mb)
        limits.append(int(share / servers.connection_bytes()))
    if descriptors > 0:
        limits.append(int(DESCRIPTORS_SHARE * descriptors))
    return max(1, min(limits))


def client_limits(memory_mb: float, descriptors: int) -> servers.Limits:
    """Return the limits of the connections of clients."""
    heads_bytes = 0
    if memory_mb > 0:
        share = HEADS_SHARE * _memory.free_bytes(memory_mb)
        heads_bytes = max(MIN_HEADS_BYTES, int(share))
    return servers.Limits(
        max_connections=max_connections(memory_mb, descriptors),
        heads_bytes=heads_bytes,
        head_timeout_s=HEADER_TIMEOUT_S,
        send_bytes=SEND_BYTES,
    )


def peer_limits(descriptors: int) -> servers.Limits:
    """Return the limits of the connections of other nodes."""
    most = MAX_PEER_CONNECTIONS
    if descriptors > 0:
        most = min(most, int(PEER_DESCRIPTORS_SHARE * descriptors))
    return servers.Limits(
        max_connections=max(1, most),
        heads_bytes=MIN_HEADS_BYTES,
        head_timeout_s=HEADER_TIMEOUT_S,
    )


def readiness_limits() -> servers.Limits:
    """Return the limits of the connections of readiness checks."""
    return servers.Limits(
        max_connections=READINESS_CONNECTIONS,
        heads_bytes=MIN_HEADS_BYTES,
        head_timeout_s=HEADER_TIMEOUT_S,
        send_bytes=SEND_BYTES,
    )


def client_budget(memory_mb: float) -> BodyBudget:
    """Return the budget of the bodies of clients."""
    return _budget(memory_mb, BODIES_SHARE, ports.MAX_BODY_BYTES)


def peer_budget(memory_mb: float) -> BodyBudget:
    """Return the budget of the bodies of calls of other nodes."""
    return _budget(memory_mb, PEER_BODIES_SHARE, _peers.MAX_BODY_BYTES)


def _budget(memory_mb: float, share: float, max_bytes: int) -> BodyBudget:
    if memory_mb <= 0:
        return BodyBudget()
    share_bytes = share * _memory.free_bytes(memory_mb)
    return BodyBudget(servers.budget_bytes(share_bytes, max_bytes))


class Servers:
    """Listeners of a node, and what is reported of their connections."""

    def __init__(self, log_decision: Callable[..., None]) -> None:
        self._log_decision = log_decision
        self._servers_by_name: dict[str, servers.Server] = {}
        self._reported: dict[str, int] = {}

    def make(
        self,
        name: str,
        function: servers.RequestFunction,
        limits: servers.Limits,
    ) -> servers.Server:
        """Return the server of a listener."""
        server = servers.Server(function, limits, self._report_error)
        self._servers_by_name[name] = server
        return server

    def counters(self) -> dict[str, int]:
        """Return how many connections were closed, by listener and reason."""
        return {
            f'{name}_{reason}': count
            for name, server in self._servers_by_name.items()
            for reason, count in server.listener.table.counters.items()
        }

    def gauges(self) -> dict[str, int]:
        """Return the counters, and the open connections of each listener."""
        connections = {
            f'{name}_connections': len(server.listener.table)
            for name, server in self._servers_by_name.items()
        }
        return {**connections, **self.counters()}

    async def run(self) -> None:
        """Log regularly which connections were closed."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            counters = self.counters()
            new = {
                name: count - self._reported.get(name, 0)
                for name, count in counters.items()
                if count != self._reported.get(name, 0)
            }
            if new:
                self._log_decision('connections_closed', counts=new)
            self._reported = counters

    def _report_error(self, error: str, where: str) -> None:
        self._log_decision('request_failed', error=error, where=where)
