"""Sends requests to the policy service through several nodes."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import time

from celeryshift_cell import effects
from celeryshift_cell import events
from celeryshift_cellnode import _advicequeue
from celeryshift_cellnode import _schema
from celeryshift_cellnode import errors
from celeryshift_cellnode import ports

# Added to the expected duration of a request to give its timeout: time for the
# transfer, also through a loaded node. If the node is cut off, the request
# fails after this much more than its expected duration.
NETWORK_MARGIN_S = 0.3

SendRequest = Callable[
    [str, str, list[str], float], Awaitable[ports.AdviceResult]
]


class AdviceScheduler:
    """Scheduler of policy requests, with one at a time for each node."""

    def __init__(
        self, send: SendRequest, nodes: Callable[[], Iterable[_schema.Node]]
    ) -> None:
        # Returns all nodes, this one included.
        self._nodes = nodes
        self._send = send
        self._queue = _advicequeue.AdviceQueue()
        # Nodes assigned to requests, by number of the request.
        self._assigned: dict[int, asyncio.Future[_schema.Node]] = {}
        self._retry_timer: asyncio.TimerHandle | None = None

    @property
    def waiting(self) -> int:
        """Return the number of requests that no node has been assigned to."""
        return self._queue.waiting

    @property
    def in_flight(self) -> int:
        """Return the number of nodes that are sending a request."""
        return self._queue.in_flight

    async def request_advice(
        self, request: effects.RequestAdvice
    ) -> events.AdviceAnswered | events.AdviceFailed:
        """Send a request through a node as soon as one is assigned to it."""
        node = await self._acquire_node(request)
        sent_at = time.monotonic()
        timeout_s = request.expected_ms / 1000 + NETWORK_MARGIN_S
        try:
            result = await self._send(
                node.address, request.step, list(request.workers), timeout_s
            )
            self._queue.record_success(node)
        except errors.PeerError as error:
            self._queue.record_failure(node, time.monotonic())
            return events.AdviceFailed(
                time.monotonic(), request.step, request.workers, str(error)
            )
        finally:
            self._queue.release(node)
            self.assign_nodes()
        return events.AdviceAnswered(
            time.monotonic(),
            request.step,
            request.workers,
            dict(result.tickets_by_worker),
            sent_at,
            result.validity_ms,
        )

    async def _acquire_node(
        self, request: effects.RequestAdvice
    ) -> _schema.Node:
        number = self._queue.add(request)
        future = asyncio.get_running_loop().create_future()
        self._assigned[number] = future
        self.assign_nodes()
        try:
            return await future
        except asyncio.CancelledError:
            self._queue.discard(number)
            if not future.cancelled():
                self._queue.release(future.result())
            self.assign_nodes()
            raise
        finally:
            del self._assigned[number]

    def assign_nodes(self) -> None:
        """Assign nodes to waiting requests; call this when the nodes change.

        A timer calls it when a node that has failed may be used again.
        """
        now = time.monotonic()
        for assignment in self._queue.assign(self._nodes(), now):
            future = self._assigned[assignment.number]
            if future.cancelled():
                self._queue.release(assignment.node)
            else:
                future.set_result(assignment.node)
        if self._retry_timer is not None:
            self._retry_timer.cancel()
            self._retry_timer = None
        retry_at = self._queue.next_retry_at(now)
        if retry_at is not None:
            self._retry_timer = asyncio.get_running_loop().call_later(
                retry_at - now, self.assign_nodes
            )
