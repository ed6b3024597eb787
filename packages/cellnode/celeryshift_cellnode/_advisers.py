"""Spreads questions to the policy service over the nodes.

The service answers one question at a time for each calling node, in turn,
and a question takes up to a second. So each node asks one at a time. The
fastest way for an urgent question is a free node; long questions leave some
nodes to the urgent ones.
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

# A question that takes longer than this is a long one.
LONG_MS = 200.0
# Such a share of the nodes is left to short questions.
SHORT_SHARE = 0.25
# Time for the question to travel, also through a loaded node. A node that
# was cut off holds up a question for so long.
EXTRA_S = 0.3
# A node that did not answer is not used for so long, and for twice as long
# each time after.
PAUSE_S = 2.0
MAX_PAUSE_S = 30.0

Ask = Callable[[str, str, list[str], float], Awaitable[ports.AdviceResult]]


class Advisers:
    """Ask through the nodes that are known, one question each."""

    def __init__(self, ask: Ask, nodes: Callable[[], list[str]]) -> None:
        # The addresses of all nodes, this one included.
        self._nodes = nodes
        self._ask = ask
        self._busy: set[str] = set()
        self._paused: dict[str, float] = {}
        self._pause_s: dict[str, float] = {}
        self._waiting: list[
            tuple[
                tuple[float, ...], int, effects.RequestAdvice, asyncio.Future
            ]
        ] = []
        self._count = itertools.count()

    async def ask(
        self, question: effects.RequestAdvice
    ) -> events.AdviceAnswered | events.AdviceFailed:
        """Ask a question in turn."""
        address = await self._turn(question)
        sent_at = time.monotonic()
        timeout_s = question.expected_ms / 1000 + EXTRA_S
        try:
            advised = await self._ask(
                address, question.step, list(question.workers), timeout_s
            )
        except errors.PeerError as error:
            self._pause(address)
            return events.AdviceFailed(
                time.monotonic(), question.step, question.workers, str(error)
            )
        finally:
            self._busy.discard(address)
            self._next()
        self._pause_s.pop(address, None)
        return events.AdviceAnswered(
            time.monotonic(),
            question.step,
            question.workers,
            dict(advised.tickets_by_worker),
            sent_at,
            advised.validity_ms,
        )

    def _pause(self, address: str) -> None:
        pause_s = self._pause_s.get(address, PAUSE_S)
        self._paused[address] = time.monotonic() + pause_s
        self._pause_s[address] = min(2 * pause_s, MAX_PAUSE_S)

    async def _turn(self, question: effects.RequestAdvice) -> str:
        loop = asyncio.get_running_loop()
        future: asyncio.Future[str] = loop.create_future()
        entry = (question.rank, next(self._count), question, future)
        heapq.heappush(self._waiting, entry)
        self._next()
        return await future

    def _next(self) -> None:
        """Hand free nodes to the first questions that may use them."""
        now = time.monotonic()
        nodes = self._nodes()
        free = [
            node
            for node in nodes
            if node not in self._busy and self._paused.get(node, 0) <= now
        ]
        if not free and not self._busy:
            # Rather a node in doubt than none.
            free = list(nodes)
        kept = int(len(nodes) * SHORT_SHARE)
        held = []
        while self._waiting and free:
            entry = heapq.heappop(self._waiting)
            _, _, question, future = entry
            if future.cancelled():
                continue
            if question.expected_ms > LONG_MS and len(free) <= kept:
                held.append(entry)
                continue
            node = free.pop()
            self._busy.add(node)
            future.set_result(node)
        for entry in held:
            heapq.heappush(self._waiting, entry)
