"""Decides through which node a request to the policy service is sent.

The service handles one request at a time per calling node, in turn, and a
request takes up to one second. Each node therefore sends one at a time. Long
requests leave some nodes idle, so that an urgent short request need not wait.

Only nodes in use count for this reserve, so it never includes all of them:
while requests wait, at least one is in flight.
"""

from collections.abc import Iterable
import heapq
import itertools

import attrs

from celeryshift_cell import effects
from celeryshift_cellnode import _schema

# Requests that are expected to take longer than this are long.
LONG_REQUEST_MS = 200.0
# Fraction of the nodes in use that is reserved for short requests.
RESERVED_NODE_FRACTION = 0.25
# A node that did not answer is not used for this time, which doubles with each
# further failure.
BACKOFF_S = 2.0
MAX_BACKOFF_S = 30.0


@attrs.frozen(slots=True)
class Assignment:
    """Request that a node is to send."""

    number: int
    request: effects.RequestAdvice
    node: _schema.Node


@attrs.frozen(slots=True)
class _Backoff:
    until: float
    duration_s: float


class AdviceQueue:
    """Requests to the policy service, and the nodes that may send them.

    Nodes are told apart by their incarnations, so that one that has restarted
    is used at once.
    """

    def __init__(self) -> None:
        self._numbers = itertools.count()
        # Heap of (rank, number, request).
        self._waiting: list[
            tuple[tuple[float, ...], int, effects.RequestAdvice]
        ] = []
        # By incarnation of the node.
        self._busy: set[str] = set()
        self._backoffs: dict[str, _Backoff] = {}

    @property
    def waiting(self) -> int:
        """Return the number of requests that no node has been assigned to."""
        return len(self._waiting)

    @property
    def in_flight(self) -> int:
        """Return the number of nodes that are sending a request."""
        return len(self._busy)

    def add(self, request: effects.RequestAdvice) -> int:
        """Add a request, and return its number."""
        number = next(self._numbers)
        heapq.heappush(self._waiting, (request.rank, number, request))
        return number

    def discard(self, number: int) -> None:
        """Remove a request that no node has been assigned to."""
        self._waiting = [
            entry for entry in self._waiting if entry[1] != number
        ]
        heapq.heapify(self._waiting)

    def assign(
        self, nodes: Iterable[_schema.Node], now: float
    ) -> list[Assignment]:
        """Assign idle nodes to the first requests that may use them.

        The result may change whenever a request is added, a node is released,
        the nodes change, or ``next_retry_at`` has come.
        """
        nodes = list(nodes)
        self._forget_departed(nodes)
        usable = [node for node in nodes if not self._is_avoided(node, now)]
        if not usable and not self._busy:
            # If there is no other node, use those that have failed recently.
            usable = nodes
        free = [node for node in usable if node.incarnation not in self._busy]
        reserved = int(len(usable) * RESERVED_NODE_FRACTION)
        assigned = []
        deferred = []
        while self._waiting and free:
            entry = heapq.heappop(self._waiting)
            _, number, request = entry
            if request.expected_ms > LONG_REQUEST_MS and len(free) <= reserved:
                deferred.append(entry)
                continue
            node = free.pop()
            self._busy.add(node.incarnation)
            assigned.append(Assignment(number, request, node))
        for entry in deferred:
            heapq.heappush(self._waiting, entry)
        return assigned

    def release(self, node: _schema.Node) -> None:
        """Let a node send the next request."""
        self._busy.discard(node.incarnation)

    def record_failure(self, node: _schema.Node, now: float) -> None:
        """Avoid a node that did not answer."""
        former = self._backoffs.get(node.incarnation)
        duration_s = BACKOFF_S
        if former is not None:
            duration_s = min(2 * former.duration_s, MAX_BACKOFF_S)
        self._backoffs[node.incarnation] = _Backoff(
            now + duration_s, duration_s
        )

    def record_success(self, node: _schema.Node) -> None:
        """Use a node that has answered without restriction."""
        self._backoffs.pop(node.incarnation, None)

    def next_retry_at(self, now: float) -> float | None:
        """Return when the next node may be used again that is avoided now.

        Returns None if no request waits for it.
        """
        if not self._waiting:
            return None
        ends = (backoff.until for backoff in self._backoffs.values())
        return min((end for end in ends if end > now), default=None)

    def _is_avoided(self, node: _schema.Node, now: float) -> bool:
        backoff = self._backoffs.get(node.incarnation)
        return backoff is not None and backoff.until > now

    def _forget_departed(self, nodes: list[_schema.Node]) -> None:
        if self._backoffs:
            present = {node.incarnation for node in nodes}
            for incarnation in self._backoffs.keys() - present:
                del self._backoffs[incarnation]
