"""The one writer of a cell's rows: groups changes, one group at a time.

Whatever the owner has to store is grouped while the group before is on its
way, so that a slow store costs time but no throughput. Every group renews the
owner's right, and is written under the version of the renewal before it. So
groups take effect in their order or not at all: one whose answer was lost can
neither land after a later one nor be counted twice.
"""

import asyncio
from collections.abc import Callable
import enum
import itertools
import time
from typing import Any

import attrs

from celeryshift_cellnode import _election
from celeryshift_cellnode import _schema
from celeryshift_cellnode import errors
from celeryshift_cellnode import ports

OWNER = ports.Key(_schema.CELLS, _schema.OWNER_KEY)
BEAT = ports.Key(_schema.CELLS, _schema.BEAT_KEY)

# A transaction of the platform's store holds at most 100 entries; two are
# taken by the rows of the owner, and one by the renewal.
MAX_ENTRIES = 97
# Changes that come within this time of each other go together.
LINGER_S = 0.01
# An attempt is given up after this; the store answers in some 12 ms, and
# sixty times as late when it is slow.
ATTEMPT_S = 1.5
# The same while the store is away, so that its return is noticed soon.
AWAY_ATTEMPT_S = 1.0
# A second attempt is sent after so many times the usual time, since the
# answer of the first may be lost.
HEDGE_FACTOR = 4.0
HEDGE_MIN_S = 0.25
# Weight of the newest answer in the usual time.
LATENCY_WEIGHT = 0.3
# A group that takes longer than this is worth a line in the log.
SLOW_GROUP_S = 0.15
# Pause before a group that the store refused is sent again.
RETRY_S = 0.2


class WriteOutcome(enum.Enum):
    """Name what became of a change."""

    STORED = 'stored'
    # A row that it expects to be absent is there.
    EXISTS = 'exists'
    # The store has surely not taken it.
    REFUSED = 'refused'
    # It may be stored, or may be later.
    UNKNOWN = 'unknown'
    NOT_OWNER = 'not owner'


@attrs.frozen(slots=True, eq=False)
class Change:
    """Describe rows that change together."""

    absent: tuple[ports.Key, ...] = ()
    puts: dict[ports.Key, bytes] = attrs.field(factory=dict)
    removes: tuple[ports.Key, ...] = ()
    # Given back when the store refuses it, rather than sent again.
    fails_fast: bool = False

    @property
    def entries(self) -> int:
        """Count the entries of a transaction that it takes."""
        return len(self.absent) + len(self.puts) + len(self.removes)


@attrs.frozen(slots=True)
class Result:
    """Hold what became of a change, and the version it was stored at."""

    outcome: WriteOutcome
    version: int = 0


@attrs.define(slots=True, eq=False)
class _Waiting:
    change: Change
    future: 'asyncio.Future[Result]'
    in_doubt: bool = False


class GroupWriter:
    """Write the rows of a cell as its owner."""

    def __init__(
        self,
        store: ports.Store,
        owner_version: int,
        beat_version: int,
        right: _election.OwnerLease,
        note: Callable[..., None],
        lost: Callable[[str], None],
    ) -> None:
        self._store = store
        self._owner_version = owner_version
        self.beat_version = beat_version
        self._right = right
        self._note = note
        self._lost = lost
        self._queue: list[_Waiting] = []
        # What is on its way to the store.
        self._group: list[_Waiting] = []
        self._news = asyncio.Event()
        self._numbers = itertools.count(1)
        self._name = f'{owner_version}'
        self._usual_s = 0.02
        self._is_closed = False
        self._is_away = False
        self._late: set[asyncio.Task[Any]] = set()
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def write(self, change: Change) -> Result:
        """Store a change, together with others."""
        if self._is_closed:
            return Result(WriteOutcome.NOT_OWNER)
        if self._is_away and change.fails_fast:
            return Result(WriteOutcome.REFUSED)
        loop = asyncio.get_running_loop()
        waiting = _Waiting(change, loop.create_future())
        self._queue.append(waiting)
        self._news.set()
        return await waiting.future

    def close(self) -> None:
        """Write nothing more; what waits is not stored by this owner."""
        self._is_closed = True
        self._task.cancel()
        for task in self._late:
            task.cancel()
        for waiting in self._group:
            self._settle(waiting, WriteOutcome.UNKNOWN)
        for waiting in self._queue:
            self._settle(waiting, WriteOutcome.NOT_OWNER)

    async def flush(self) -> None:
        """Wait until what waits now is stored, or is not."""
        waiting = [entry.future for entry in (*self._group, *self._queue)]
        if waiting:
            await asyncio.wait(waiting)

    async def _run(self) -> None:
        try:
            await self._write_all()
        except Exception as error:
            self._note('journal_failed', error=repr(error))
            self._lost('its writes fail')
            raise

    async def _write_all(self) -> None:
        while True:
            try:
                async with asyncio.timeout(_election.HEARTBEAT_INTERVAL_S):
                    await self._news.wait()
                await asyncio.sleep(LINGER_S)
            except TimeoutError:
                # Nothing to store: a renewal alone.
                pass
            self._news.clear()
            self._group = self._next_group()
            await self._write_group(self._group)
            self._group = []
            if self._queue:
                self._news.set()

    def _next_group(self) -> list[_Waiting]:
        """Take from the queue what fits into one transaction.

        Callers wait for what gives up, so most of a group is theirs; but the
        first of the rest is always among it, since callers wait for the ends
        of jobs just as well.
        """
        rest = (w for w in self._queue if not w.change.fails_fast)
        first = next(rest, None)
        # The sort keeps the order else.
        self._queue.sort(
            key=lambda w: (w is not first, not w.change.fails_fast)
        )
        entries, count = 0, 0
        for waiting in self._queue:
            entries += waiting.change.entries
            if count and entries > MAX_ENTRIES:
                break
            count += 1
        group, self._queue = self._queue[:count], self._queue[count:]
        return group

    async def _write_group(self, group: list[_Waiting]) -> None:
        """Write a group until its outcome is known or its callers are."""
        began = time.monotonic()
        while True:
            try:
                version, rows = await self._attempt(group)
            except errors.StoreError as error:
                group = self._group = self._failed(group, error)
                await asyncio.sleep(RETRY_S)
                continue
            self._is_away = False
            if version:
                for waiting in group:
                    self._settle(waiting, WriteOutcome.STORED, version)
                self._tell_if_slow(group, time.monotonic() - began)
                return
            if self._is_deposed(rows):
                for waiting in group:
                    self._settle(waiting, WriteOutcome.NOT_OWNER)
                self._lost('the store names a later owner')
                return
            group = self._group = self._without_present(group, rows)

    def _tell_if_slow(self, group: list[_Waiting], took_s: float) -> None:
        if took_s > SLOW_GROUP_S:
            self._note(
                'slow_group_stored',
                changes=len(group),
                entries=sum(waiting.change.entries for waiting in group),
                left=len(self._queue),
                took_ms=round(took_s * 1000),
                usual_ms=round(self._usual_s * 1000),
            )

    def _failed(
        self, group: list[_Waiting], error: errors.StoreError
    ) -> list[_Waiting]:
        if not self._is_away:
            self._note('writes_fail', error=str(error), changes=len(group))
        self._is_away = True
        kept = []
        for waiting in group:
            if isinstance(error, errors.StoreOutcomeUnknownError):
                waiting.in_doubt = True
            if not waiting.change.fails_fast:
                kept.append(waiting)
            elif waiting.in_doubt:
                self._settle(waiting, WriteOutcome.UNKNOWN)
            else:
                self._settle(waiting, WriteOutcome.REFUSED)
        # What waits behind is not held up by a store that is away.
        for waiting in self._queue:
            if waiting.change.fails_fast:
                self._settle(waiting, WriteOutcome.REFUSED)
            else:
                kept.append(waiting)
        self._queue.clear()
        return kept

    def _settle(
        self, waiting: _Waiting, written: WriteOutcome, version: int = 0
    ) -> None:
        if not waiting.future.done():
            waiting.future.set_result(Result(written, version))

    def _is_deposed(self, rows: dict[ports.Key, ports.Row]) -> bool:
        owner = rows.get(OWNER)
        return owner is None or owner.version != self._owner_version

    def _without_present(
        self, group: list[_Waiting], rows: dict[ports.Key, ports.Row]
    ) -> list[_Waiting]:
        kept = []
        for waiting in group:
            present = [rows[k] for k in waiting.change.absent if k in rows]
            if present:
                self._settle(waiting, WriteOutcome.EXISTS, present[0].version)
            else:
                kept.append(waiting)
        return kept

    async def _attempt(
        self, group: list[_Waiting]
    ) -> tuple[int, dict[ports.Key, ports.Row]]:
        """Write a group; gives its version, or else the rows in the way."""
        name = f'{self._name}.{next(self._numbers)}'.encode()
        expected = {OWNER: self._owner_version, BEAT: self.beat_version}
        puts = {BEAT: name}
        removes: list[ports.Key] = []
        for waiting in group:
            expected.update(dict.fromkeys(waiting.change.absent, 0))
            puts.update(waiting.change.puts)
            removes += waiting.change.removes
        change = ports.Transaction(_schema.CELL, expected, puts, removes)
        sent_at = time.monotonic()
        answer = await self._hedged(change)
        version, rows = 0, {}
        if isinstance(answer, ports.Committed):
            version = answer.version
        else:
            rows = {k: r for k, r in answer.rows.items() if r.version}
            beat = rows.get(BEAT)
            if beat is not None and beat.value == name:
                # An attempt before this one has landed.
                version = beat.version
            elif beat is not None:
                # A group given up before has landed after all.
                self.beat_version = beat.version
        if version:
            self.beat_version = version
            self._right.renewed(sent_at)
        return version, rows

    async def _hedged(
        self, change: ports.Transaction
    ) -> ports.Committed | ports.Conflict:
        """Send a transaction, and once more if its answer is overdue."""
        first = self._send(change)
        overdue_s = max(HEDGE_MIN_S, HEDGE_FACTOR * self._usual_s)
        done, _ = await asyncio.wait({first}, timeout=overdue_s)
        if done:
            return first.result()
        attempts = {first, self._send(change)}
        refused: errors.StoreError | None = None
        while attempts:
            done, attempts = await asyncio.wait(
                attempts, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                error = task.exception()
                if error is None:
                    return task.result()
                if not isinstance(error, errors.StoreError):
                    raise error
                if refused is None or isinstance(
                    error, errors.StoreOutcomeUnknownError
                ):
                    refused = error
        assert refused is not None
        raise refused

    def _send(
        self, change: ports.Transaction
    ) -> asyncio.Task[ports.Committed | ports.Conflict]:
        work = self._timed(change)
        task = asyncio.get_running_loop().create_task(work)
        self._late.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Task[Any]) -> None:
        self._late.discard(task)
        if not task.cancelled():
            # An attempt that nobody waits for any more may have failed.
            task.exception()

    async def _timed(
        self, change: ports.Transaction
    ) -> ports.Committed | ports.Conflict:
        began = time.monotonic()
        timeout_s = AWAY_ATTEMPT_S if self._is_away else ATTEMPT_S
        answer = await self._store.transact(change, timeout_s)
        took_s = time.monotonic() - began
        self._usual_s += LATENCY_WEIGHT * (took_s - self._usual_s)
        return answer
