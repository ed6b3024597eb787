"""Tracks whether the store answers."""

from collections.abc import Awaitable
from collections.abc import Callable
import itertools
import time
from typing import TypeVar

from celeryshift_cellnode import errors
from celeryshift_cellnode import ports

# The store is unavailable if its last call failed, more than this time after
# its last answer.
UNAVAILABLE_AFTER_S = 0.3
# A call that takes longer than this marks the store as slow; the usual latency
# is about 10 ms.
SLOW_CALL_S = 0.15
# The latency of an answer with values of more bytes than this depends on the
# link of this node.
LARGE_ANSWER_BYTES = 50_000

T = TypeVar('T')


class WatchedStore:
    """Store that forwards calls, and tracks whether they are answered."""

    def __init__(
        self, store: ports.Store, log_decision: Callable[..., None]
    ) -> None:
        self._store = store
        self._log_decision = log_decision
        self._answered_at = time.monotonic()
        self._failed_at: float | None = None
        self._is_reported_lost = False
        self._numbers = itertools.count()
        # Latency of the last immediate call, which is any but
        # ``read_changes`` and reads with a large answer.
        self.last_latency_s = 0.0
        # Send times of the immediate calls in flight.
        self._sent_at: dict[int, float] = {}

    @property
    def is_unavailable(self) -> bool:
        """Return whether the store does not answer this node."""
        return (
            self._failed_at is not None
            and self._failed_at - self._heard_at > UNAVAILABLE_AFTER_S
        )

    @property
    def progressed_at(self) -> float:
        """Return when a part of a long answer last arrived; 0 if never."""
        return self._store.progressed_at

    @property
    def _heard_at(self) -> float:
        return max(self._answered_at, self._store.progressed_at)

    @property
    def is_slow(self) -> bool:
        """Return whether the store takes far longer than usual."""
        return self.last_latency_s > SLOW_CALL_S

    @property
    def unanswered_s(self) -> float:
        """Return for how long calls have been unanswered; 0 if none is."""
        now = time.monotonic()
        if self._failed_at is not None:
            return now - self._heard_at
        oldest = min(self._sent_at.values(), default=now)
        return now - max(oldest, self._heard_at)

    async def transact(
        self, transaction: ports.Transaction, timeout_s: float
    ) -> ports.Committed | ports.Conflict:
        """Carry out a transaction."""
        return await self._track(self._store.transact(transaction, timeout_s))

    async def read(
        self,
        table: str,
        part: str,
        first: str = '',
        last: str | None = None,
        timeout_s: float = 1.0,
    ) -> ports.ReadResult:
        """Read the rows with ``first`` <= key < ``last``."""
        return await self._track(
            self._store.read(table, part, first, last, timeout_s)
        )

    async def read_changes(
        self, table: str, after: int, wait_ms: int
    ) -> ports.ReadResult:
        """Wait for rows that changed after a version."""
        # The call waits for changes, so its delay says nothing about the
        # store.
        return await self._track(
            self._store.read_changes(table, after, wait_ms), is_immediate=False
        )

    async def _track(self, call: Awaitable[T], is_immediate: bool = True) -> T:
        number = next(self._numbers)
        sent_at = time.monotonic()
        if is_immediate:
            self._sent_at[number] = sent_at
        try:
            answer = await call
        except (errors.HistoryLostError, errors.StoreRejectedError):
            # These errors are answers of the store.
            self._record_latency(sent_at, is_immediate)
            self._record_answer()
            raise
        except errors.StoreError as error:
            self._record_latency(sent_at, is_immediate)
            self._failed_at = time.monotonic()
            if self.is_unavailable and not self._is_reported_lost:
                self._is_reported_lost = True
                self._log_decision('store_lost', error=str(error))
            raise
        finally:
            self._sent_at.pop(number, None)
        self._record_latency(sent_at, is_immediate and not _is_large(answer))
        self._record_answer()
        return answer

    def _record_latency(self, sent_at: float, is_measured: bool) -> None:
        if is_measured:
            self.last_latency_s = time.monotonic() - sent_at

    def _record_answer(self) -> None:
        now = time.monotonic()
        if self._is_reported_lost:
            self._is_reported_lost = False
            away_s = round(now - self._answered_at, 3)
            self._log_decision('store_regained', away_s=away_s)
        self._answered_at = now
        self._failed_at = None


def _is_large(answer: object) -> bool:
    if not isinstance(answer, ports.ReadResult):
        return False
    size = sum(len(row.value) for row in answer.rows)
    return size > LARGE_ANSWER_BYTES
