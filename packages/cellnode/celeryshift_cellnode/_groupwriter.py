"""Writes the rows of a cell in groups, one group at a time.

Changes that arrive while a group is in flight form the next group, so that a
slow store increases latency but does not reduce throughput. Every group
contains a heartbeat, which renews the owner's lease, and is conditional on the
version of the heartbeat before it. Groups therefore take effect in order or
not at all: a group whose answer was lost can neither take effect after a later
one nor be applied twice.
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
HEARTBEAT = ports.Key(_schema.CELLS, _schema.HEARTBEAT_KEY)

# Entries of each transaction: conditions on the owner row and the heartbeat,
# and the new heartbeat.
OWN_ENTRIES = 3
# Delay before queued changes are written, in which further ones join them.
GROUP_DELAY_S = 0.01
# Timeout of an attempt; the store answers in about 12 ms, and takes sixty
# times as long when it is slow.
ATTEMPT_TIMEOUT_S = 1.5
# Timeout while the store is unavailable, to notice its return soon.
UNAVAILABLE_ATTEMPT_TIMEOUT_S = 1.0
# A second attempt is sent after this multiple of the average latency, because
# the answer to the first may be lost.
HEDGE_LATENCY_FACTOR = 4.0
MIN_HEDGE_DELAY_S = 0.25
# Weight of the newest sample in the average latency.
LATENCY_WEIGHT = 0.3
# Groups that take longer than this are logged.
SLOW_GROUP_S = 0.15
# Delay before a failed group is sent again.
RETRY_DELAY_S = 0.2


class WriteOutcome(enum.Enum):
    """Outcomes of a change."""

    STORED = 'stored'
    # A row that must be absent exists.
    EXISTS = 'exists'
    # The store has certainly not applied the change.
    REFUSED = 'refused'
    # The store never takes the change, for example because of its size.
    REJECTED = 'rejected'
    # The change may be stored, or may be later.
    UNKNOWN = 'unknown'
    NOT_OWNER = 'not owner'


@attrs.frozen(slots=True, eq=False)
class Change:
    """Rows that are changed together."""

    # Rows that must be absent for the change to be stored.
    absent: tuple[ports.Key, ...] = ()
    puts: dict[ports.Key, bytes] = attrs.field(factory=dict)
    removes: tuple[ports.Key, ...] = ()
    # Fails if the store refuses it or does not answer; other changes are
    # retried.
    fails_fast: bool = False

    @property
    def entries(self) -> int:
        """Return the number of transaction entries that the change needs."""
        return len(self.absent) + len(self.puts) + len(self.removes)

    @property
    def size(self) -> int:
        """Return the size of the values in bytes."""
        return sum(map(len, self.puts.values()))

    @property
    def keys(self) -> set[ports.Key]:
        """Return the keys of all rows that the change concerns."""
        return {*self.absent, *self.puts, *self.removes}

    def rejection_reason(self, limits: ports.StoreLimits) -> str | None:
        """Return which limit of the store the change exceeds, or None."""
        if self.entries > limits.entries - OWN_ENTRIES:
            return f'{self.entries} entries'
        if self.size > limits.transaction_bytes:
            return f'{self.size} bytes in one transaction'
        for key, value in self.puts.items():
            if len(value) > limits.row_bytes:
                return f'{len(value)} bytes in row {key.key!r}'
        for key in (*self.absent, *self.puts, *self.removes):
            if not 0 < len(key.key.encode()) <= limits.name_bytes:
                return f'a key of {len(key.key.encode())} bytes'
        return None


@attrs.frozen(slots=True)
class Result:
    """Outcome of a change, and the version at which its rows were stored."""

    outcome: WriteOutcome
    version: int = 0
    reason: str = ''
    # Value of the row that exists.
    existing: bytes = b''


@attrs.define(slots=True, eq=False)
class _PendingChange:
    change: Change
    future: 'asyncio.Future[Result]'
    in_doubt: bool = False


class GroupWriter:
    """Writer of the rows of a cell, for use by its owner alone."""

    def __init__(
        self,
        store: ports.Store,
        owner_version: int,
        heartbeat_version: int,
        lease: _election.OwnerLease,
        log_decision: Callable[..., None],
        on_lost: Callable[[str], None],
        limits: ports.StoreLimits,
    ) -> None:
        self._store = store
        self._limits = limits
        self._owner_version = owner_version
        self.heartbeat_version = heartbeat_version
        self._lease = lease
        self._log_decision = log_decision
        self._on_lost = on_lost
        self._queue: list[_PendingChange] = []
        # Changes in flight.
        self._group: list[_PendingChange] = []
        self._wakeup = asyncio.Event()
        # Together they make the value of each heartbeat unique.
        self._value_numbers = itertools.count(1)
        self._value_prefix = f'{owner_version}'
        self._average_latency_s = 0.02
        self._is_closed = False
        self._is_store_unavailable = False
        self._attempts: set[asyncio.Task[Any]] = set()
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def write(self, change: Change) -> Result:
        """Store a change in a group with others, and return its outcome."""
        if self._is_closed:
            return Result(WriteOutcome.NOT_OWNER)
        reason = change.rejection_reason(self._limits)
        if reason is not None:
            self._log_rejected(change, reason)
            return Result(WriteOutcome.REJECTED, reason=reason)
        if self._is_store_unavailable and change.fails_fast:
            return Result(WriteOutcome.REFUSED)
        loop = asyncio.get_running_loop()
        pending = _PendingChange(change, loop.create_future())
        self._queue.append(pending)
        self._wakeup.set()
        return await pending.future

    def close(self) -> None:
        """Stop writing; changes in the queue are not stored."""
        self._is_closed = True
        self._task.cancel()
        for task in self._attempts:
            task.cancel()
        for pending in self._group:
            self._settle(pending, WriteOutcome.UNKNOWN)
        for pending in self._queue:
            self._settle(pending, WriteOutcome.NOT_OWNER)

    async def flush(self) -> None:
        """Wait for the outcome of all changes submitted so far."""
        futures = [pending.future for pending in (*self._group, *self._queue)]
        if futures:
            await asyncio.wait(futures)

    async def _run(self) -> None:
        try:
            await self._write_all()
        except Exception as error:
            self._log_decision('journal_failed', error=errors.describe(error))
            self._on_lost('writes to the store fail')
            raise

    async def _write_all(self) -> None:
        while True:
            try:
                async with asyncio.timeout(_election.HEARTBEAT_INTERVAL_S):
                    await self._wakeup.wait()
                await asyncio.sleep(GROUP_DELAY_S)
            except TimeoutError:
                # There is nothing to store: write a heartbeat alone.
                pass
            self._wakeup.clear()
            self._group = self._next_group()
            await self._write_group(self._group)
            self._group = []
            if self._queue:
                self._wakeup.set()

    def _next_group(self) -> list[_PendingChange]:
        """Take changes that fit into one transaction from the queue.

        Clients wait for the changes that fail fast, so these come first. The
        oldest other change is always included, since clients also wait for the
        results of jobs. Changes of one row go into different groups, since the
        second one may depend on the first.
        """
        others = (
            pending for pending in self._queue if not pending.change.fails_fast
        )
        oldest = next(others, None)
        # The sort is stable, so the order is otherwise kept.
        self._queue.sort(
            key=lambda pending: (
                pending is not oldest,
                not pending.change.fails_fast,
            )
        )
        entries, size, count = OWN_ENTRIES, 0, 0
        keys: set[ports.Key] = set()
        for pending in self._queue:
            if not keys.isdisjoint(pending.change.keys):
                break
            keys |= pending.change.keys
            entries += pending.change.entries
            size += pending.change.size
            if count and (
                entries > self._limits.entries
                or size > self._limits.transaction_bytes
            ):
                break
            count += 1
        group, self._queue = self._queue[:count], self._queue[count:]
        return group

    async def _write_group(self, group: list[_PendingChange]) -> None:
        """Write a group until the outcome of each change is known."""
        started_at = time.monotonic()
        while True:
            try:
                version, rows = await self._try_write(group)
            except errors.StoreRejectedError as error:
                if group:
                    group = self._group = self._handle_rejection(group, error)
                    continue
                # Without its heartbeat the owner is as good as cut off.
                group = self._group = self._handle_failure(group, error)
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            except errors.StoreError as error:
                group = self._group = self._handle_failure(group, error)
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            self._is_store_unavailable = False
            if version:
                for pending in group:
                    self._settle(pending, WriteOutcome.STORED, version)
                self._log_if_slow(group, time.monotonic() - started_at)
                return
            if self._is_deposed(rows):
                for pending in group:
                    self._settle(pending, WriteOutcome.NOT_OWNER)
                self._on_lost('the store names a later owner')
                return
            group = self._group = self._settle_existing(group, rows)

    def _log_if_slow(
        self, group: list[_PendingChange], elapsed_s: float
    ) -> None:
        if elapsed_s > SLOW_GROUP_S:
            self._log_decision(
                'slow_group_stored',
                changes=len(group),
                entries=sum(pending.change.entries for pending in group),
                left=len(self._queue),
                took_ms=round(elapsed_s * 1000),
                usual_ms=round(self._average_latency_s * 1000),
            )

    def _handle_rejection(
        self, group: list[_PendingChange], error: errors.StoreError
    ) -> list[_PendingChange]:
        """Split a group that the store never takes, until one is left.

        Returns the changes to write next; the others are queued again.
        """
        if len(group) > 1:
            half = len(group) // 2
            self._queue[:0] = group[half:]
            return group[:half]
        (pending,) = group
        reason = str(error)
        if pending.in_doubt:
            # An earlier attempt had no answer.
            self._settle(pending, WriteOutcome.UNKNOWN)
        else:
            self._settle(pending, WriteOutcome.REJECTED, reason=reason)
        self._log_rejected(pending.change, reason)
        return []

    def _log_rejected(self, change: Change, reason: str) -> None:
        self._log_decision(
            'change_rejected',
            reason=reason,
            entries=change.entries,
            bytes=change.size,
            key=next(iter(change.puts), ports.Key('', '')).key[:80],
        )

    def _handle_failure(
        self, group: list[_PendingChange], error: errors.StoreError
    ) -> list[_PendingChange]:
        """Settle the changes that fail fast; return all others to retry."""
        if not self._is_store_unavailable:
            self._log_decision(
                'writes_fail', error=str(error), changes=len(group)
            )
        self._is_store_unavailable = True
        retried = []
        for pending in group:
            if isinstance(error, errors.StoreOutcomeUnknownError):
                pending.in_doubt = True
            if not pending.change.fails_fast:
                retried.append(pending)
            elif pending.in_doubt:
                self._settle(pending, WriteOutcome.UNKNOWN)
            else:
                self._settle(pending, WriteOutcome.REFUSED)
        # Changes in the queue that fail fast must not wait for an unavailable
        # store either. The others are retried with the group.
        for pending in self._queue:
            if pending.change.fails_fast:
                self._settle(pending, WriteOutcome.REFUSED)
            else:
                retried.append(pending)
        self._queue.clear()
        return retried

    def _settle(
        self,
        pending: _PendingChange,
        outcome: WriteOutcome,
        version: int = 0,
        reason: str = '',
        existing: bytes = b'',
    ) -> None:
        if not pending.future.done():
            pending.future.set_result(
                Result(outcome, version, reason, existing)
            )

    def _is_deposed(self, rows: dict[ports.Key, ports.Row]) -> bool:
        owner = rows.get(OWNER)
        return owner is None or owner.version != self._owner_version

    def _settle_existing(
        self, group: list[_PendingChange], rows: dict[ports.Key, ports.Row]
    ) -> list[_PendingChange]:
        """Settle changes whose rows exist already; return the others."""
        remaining = []
        for pending in group:
            existing = [rows[k] for k in pending.change.absent if k in rows]
            if existing:
                self._settle(
                    pending,
                    WriteOutcome.EXISTS,
                    existing[0].version,
                    existing=existing[0].value,
                )
            else:
                remaining.append(pending)
        return remaining

    async def _try_write(
        self, group: list[_PendingChange]
    ) -> tuple[int, dict[ports.Key, ports.Row]]:
        """Write a group; return its version, or 0 and the current rows.

        The value of its heartbeat is unique, so that a conflict shows whether
        this group has been stored after all.
        """
        value = f'{self._value_prefix}.{next(self._value_numbers)}'.encode()
        expected = {
            OWNER: self._owner_version,
            HEARTBEAT: self.heartbeat_version,
        }
        puts = {HEARTBEAT: value}
        removes: list[ports.Key] = []
        for pending in group:
            expected.update(dict.fromkeys(pending.change.absent, 0))
            puts.update(pending.change.puts)
            removes += pending.change.removes
        change = ports.Transaction(_schema.CELL, expected, puts, removes)
        sent_at = time.monotonic()
        answer = await self._transact_hedged(change)
        version, rows = 0, {}
        if isinstance(answer, ports.Committed):
            version = answer.version
        else:
            rows = {k: r for k, r in answer.rows.items() if r.version}
            heartbeat = rows.get(HEARTBEAT)
            if heartbeat is not None and heartbeat.value == value:
                # The other attempt at this transaction was applied first.
                version = heartbeat.version
            elif heartbeat is not None:
                # An earlier write of unknown outcome was applied after all.
                self.heartbeat_version = heartbeat.version
        if version:
            self.heartbeat_version = version
            self._lease.renew(sent_at)
        return version, rows

    async def _transact_hedged(
        self, change: ports.Transaction
    ) -> ports.Committed | ports.Conflict:
        """Send a transaction, and once more if its answer is overdue."""
        first = self._send(change)
        hedge_delay_s = max(
            MIN_HEDGE_DELAY_S, HEDGE_LATENCY_FACTOR * self._average_latency_s
        )
        done, _ = await asyncio.wait({first}, timeout=hedge_delay_s)
        if done:
            return first.result()
        attempts = {first, self._send(change)}
        failure: errors.StoreError | None = None
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
                if failure is None or isinstance(
                    error, errors.StoreOutcomeUnknownError
                ):
                    failure = error
        assert failure is not None
        raise failure

    def _send(
        self, change: ports.Transaction
    ) -> asyncio.Task[ports.Committed | ports.Conflict]:
        work = self._transact_timed(change)
        task = asyncio.get_running_loop().create_task(work)
        self._attempts.add(task)
        task.add_done_callback(self._on_attempt_done)
        return task

    def _on_attempt_done(self, task: asyncio.Task[Any]) -> None:
        self._attempts.discard(task)
        if not task.cancelled():
            # Retrieve the exception of an attempt that is no longer awaited.
            task.exception()

    async def _transact_timed(
        self, change: ports.Transaction
    ) -> ports.Committed | ports.Conflict:
        started_at = time.monotonic()
        timeout_s = (
            UNAVAILABLE_ATTEMPT_TIMEOUT_S
            if self._is_store_unavailable
            else ATTEMPT_TIMEOUT_S
        )
        answer = await self._store.transact(change, timeout_s)
        elapsed_s = time.monotonic() - started_at
        self._average_latency_s += LATENCY_WEIGHT * (
            elapsed_s - self._average_latency_s
        )
        return answer
