"""Order in which connections have their received bytes parsed."""

import asyncio
import collections
from typing import Protocol

# Bytes that are parsed in one turn of the event loop, for all connections.
TURN_BYTES = 32_768
# Bytes that count for a connection that parses fewer.
MIN_BYTES = 512
# A connection that has sent more than this since its last answer comes after
# the others.
SMALL_REQUEST_BYTES = 8192


class Connection(Protocol):
    """Connection that has received bytes."""

    # Bytes that were parsed since the last answer.
    parsed_bytes: int

    def parse(self) -> int:
        """Parse some of the received bytes, and return how many."""


class Turns:
    """Queue of connections, whose work in a turn of the loop is bounded.

    Those that send small requests come first, and one of the others in each
    turn.
    """

    def __init__(self) -> None:
        self._small: collections.deque[Connection] = collections.deque()
        self._large: collections.deque[Connection] = collections.deque()
        self._used = 0
        self._turn_at = 0.0
        self._is_scheduled = False

    def take(self, size: int) -> bool:
        """Return whether bytes may be parsed at once in this turn."""
        if self._is_scheduled:
            return False
        # The time of an event loop stays the same during a turn.
        now = asyncio.get_running_loop().time()
        if now != self._turn_at:
            self._turn_at, self._used = now, 0
        self._used += max(size, MIN_BYTES)
        return self._used <= TURN_BYTES

    def add(self, connection: Connection) -> None:
        """Let a connection parse in a later turn."""
        is_small = connection.parsed_bytes <= SMALL_REQUEST_BYTES
        (self._small if is_small else self._large).append(connection)
        self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        self._is_scheduled = False
        try:
            self._serve()
        finally:
            if self._small or self._large:
                self._schedule()

    def _serve(self) -> None:
        left = TURN_BYTES
        # What is added meanwhile has its turn later.
        large, small = len(self._large), len(self._small)
        if large:
            left -= max(self._large.popleft().parse(), MIN_BYTES)
            large -= 1
        while left > 0 and (small or large):
            queue = self._small if small else self._large
            if small:
                small -= 1
            else:
                large -= 1
            left -= max(queue.popleft().parse(), MIN_BYTES)
