"""A store that knows whether it answers."""

from collections.abc import Awaitable
from collections.abc import Callable
import itertools
import time
from typing import TypeVar

from celeryshift_cellnode import errors
from celeryshift_cellnode import ports

# The store counts as away when nothing has been heard of it for so long and
# the last call failed.
AWAY_S = 0.3
# A store that takes this long for a call is slow: it usually takes some
# 10 ms.
SLOW_S = 0.15

T = TypeVar('T')


class WatchedStore:
    """Pass calls on to the store, and know whether it answers."""

    def __init__(self, store: ports.Store, note: Callable[..., None]) -> None:
        self._store = store
        self._note = note
        self._answered_at = time.monotonic()
        self._failed_at: float | None = None
        self._is_lost = False
        self._numbers = itertools.count()
        # How long the last call took that was to be answered at once.
        self.took_s = 0.0
        # When the calls that are to be answered at once were sent.
        self._sent_at: dict[int, float] = {}

    @property
    def is_away(self) -> bool:
        """Tell whether the store does not answer this node."""
        return (
            self._failed_at is not None
            and self._failed_at - self._answered_at > AWAY_S
        )

    @property
    def is_slow(self) -> bool:
        """Tell whether the store takes far longer than usual."""
        return self.took_s > SLOW_S

    @property
    def unheard_s(self) -> float:
        """Give for how long calls have waited in vain; 0 if none does."""
        now = time.monotonic()
        if self._failed_at is not None:
            return now - self._answered_at
        oldest = min(self._sent_at.values(), default=now)
        return now - max(oldest, self._answered_at)

    async def transact(
        self, transaction: ports.Transaction, timeout_s: float
    ) -> ports.Committed | ports.Conflict:
        """Carry out a transaction."""
        return await self._watch(self._store.transact(transaction, timeout_s))

    async def read(
        self,
        table: str,
        part: str,
        first: str = '',
        last: str | None = None,
        timeout_s: float = 1.0,
    ) -> ports.ReadResult:
        """Read the rows with keys from the first up to before the last."""
        return await self._watch(
            self._store.read(table, part, first, last, timeout_s)
        )

    async def read_changes(
        self, table: str, after: int, wait_ms: int
    ) -> ports.ReadResult:
        """Wait for rows that changed after a version."""
        # A feed that waits says nothing of the store.
        return await self._watch(
            self._store.read_changes(table, after, wait_ms), is_prompt=False
        )

    async def _watch(self, call: Awaitable[T], is_prompt: bool = True) -> T:
        number = next(self._numbers)
        if is_prompt:
            self._sent_at[number] = time.monotonic()
        try:
            answer = await call
        except errors.HistoryLostError:
            self._heard()
            raise
        except errors.StoreError as error:
            self._failed_at = time.monotonic()
            if self.is_away and not self._is_lost:
                self._is_lost = True
                self._note('store_lost', error=str(error))
            raise
        finally:
            sent_at = self._sent_at.pop(number, None)
            if sent_at is not None:
                self.took_s = time.monotonic() - sent_at
        self._heard()
        return answer

    def _heard(self) -> None:
        now = time.monotonic()
        if self._is_lost:
            self._is_lost = False
            away_s = round(now - self._answered_at, 3)
            self._note('store_regained', away_s=away_s)
        self._answered_at = now
        self._failed_at = None
