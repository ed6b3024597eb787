"""Spreads requests to the policy service over the nodes.

The service handles one request at a time per calling node, in turn, and a
request takes up to one second. Each node therefore sends one at a time. Long
requests leave some nodes idle, so that an urgent short request need not wait.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import heapq
import itertools
import time

from celeryshift_cell import effects
from celeryshift_cell import events
from celeryshift_cellnode import errors
from celeryshift_cellnode import ports

# Requests that are expected to take longer than this are long.
LONG_REQUEST_MS = 200.0
# Fraction of the nodes that is reserved for short requests.
RESERVED_NODE_FRACTION = 0.25
# Added to the expected duration of a request to give its timeout: time for the
# transfer, also through a loaded node. If the node is cut off, the request
# fails after this much more than its expected duration.
NETWORK_MARGIN_S = 0.3
# A node that did not answer is not used for this time, which doubles with each
# further failure.
BACKOFF_S = 2.0
MAX_BACKOFF_S = 30.0

SendRequest = Callable[
    [str, str, list[str], float], Awaitable[ports.AdviceResult]
]


class AdviceScheduler:
    """Scheduler of policy requests, with one at a time for each node."""

    def __init__(
        self, send: SendRequest, addresses: Callable[[], list[str]]
    ) -> None:
        # Returns the addresses of all nodes, this one included.
        self._addresses = addresses
        self._send = send
        self._busy: set[str] = set()
        self._retry_at: dict[str, float] = {}
        self._backoff_s: dict[str, float] = {}
        # Heap of (rank, sequence number, request, future of the address).
        self._queue: list[
            tuple[
                tuple[float, ...], int, effects.RequestAdvice, asyncio.Future
            ]
        ] = []
        self._sequence = itertools.count()

    @property
    def waiting(self) -> int:
        """Return the number of requests that no node has been assigned to."""
        return len(self._queue)

    @property
    def in_flight(self) -> int:
        """Return the number of nodes that are sending a request."""
        return len(self._busy)

    async def request_advice(
        self, request: effects.RequestAdvice
    ) -> events.AdviceAnswered | events.AdviceFailed:
        """Send a request through a node as soon as one is assigned to it."""
        address = await self._acquire_node(request)
        sent_at = time.monotonic()
        timeout_s = request.expected_ms / 1000 + NETWORK_MARGIN_S
        try:
            result = await self._send(
                address, request.step, list(request.workers), timeout_s
            )
        except errors.PeerError as error:
            self._back_off(address)
            return events.AdviceFailed(
                time.monotonic(), request.step, request.workers, str(error)
            )
        finally:
            self._busy.discard(address)
            self._assign_nodes()
        self._backoff_s.pop(address, None)
        return events.AdviceAnswered(
            time.monotonic(),
            request.step,
            request.workers,
            dict(result.tickets_by_worker),
            sent_at,
            result.validity_ms,
        )

    def _back_off(self, address: str) -> None:
        backoff_s = self._backoff_s.get(address, BACKOFF_S)
        self._retry_at[address] = time.monotonic() + backoff_s
        self._backoff_s[address] = min(2 * backoff_s, MAX_BACKOFF_S)

    async def _acquire_node(self, request: effects.RequestAdvice) -> str:
        loop = asyncio.get_running_loop()
        future: asyncio.Future[str] = loop.create_future()
        entry = (request.rank, next(self._sequence), request, future)
        heapq.heappush(self._queue, entry)
        self._assign_nodes()
        return await future

    def _assign_nodes(self) -> None:
        """Assign idle nodes to the first requests that may use them."""
        now = time.monotonic()
        addresses = self._addresses()
        free = [
            address
            for address in addresses
            if address not in self._busy
            and self._retry_at.get(address, 0) <= now
        ]
        if not free and not self._busy:
            # If there is no other node, use those that have failed recently.
            free = list(addresses)
        reserved = int(len(addresses) * RESERVED_NODE_FRACTION)
        deferred = []
        while self._queue and free:
            entry = heapq.heappop(self._queue)
            _, _, request, future = entry
            if future.cancelled():
                continue
            if request.expected_ms > LONG_REQUEST_MS and len(free) <= reserved:
                deferred.append(entry)
                continue
            address = free.pop()
            self._busy.add(address)
            future.set_result(address)
        for entry in deferred:
            heapq.heappush(self._queue, entry)
