"""Follows the tables of the store that others write."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Sequence
import time

import attrs

import celeryshift_cell as cell
from celeryshift_cell import events
from celeryshift_cell import model
from celeryshift_cellnode import _distribution
from celeryshift_cellnode import _evacuations
from celeryshift_cellnode import _records
from celeryshift_cellnode import _runner
from celeryshift_cellnode import _schema
from celeryshift_cellnode import errors
from celeryshift_cellnode import ports

# A broken feed is noticed only when its wait ends, so the wait uses up part of
# the time within which changes must take effect: at most this share of the
# time within which an evacuation must.
CONFIGURATION_WAIT_MS = 1500
EVACUATION_WAIT_SHARE = 0.3
# Shorter waits would only make more calls.
MIN_WAIT_MS = 200
FEED_WAIT_MS = 2000
# Delay after a failed call.
RETRY_DELAY_S = 0.25
# Delays after an answer, so that the next one contains several changes.
JOBS_BATCH_DELAY_S = 0.5
WORKERS_BATCH_DELAY_S = 0.4
# An answer with more bytes than this is logged. On a slow link, several
# further versions may be stored while it arrives.
LARGE_ANSWER_BYTES = 100_000
# Timeout of a read of the table after a failure.
RETRY_TIMEOUT_S = 1.2
# An answer with this many rows or more may not be all that has changed, so the
# next one is requested at once.
FULL_ANSWER_ROWS = 100


class _ChangeFeed:
    """Feed of one table, which returns all rows first and then the changes.

    If ``reads_newest`` is set, the changes before the newest of each row don't
    matter. When there may be several, the rows are read anew: the changes
    could take longer to arrive than new ones are stored.
    """

    def __init__(
        self,
        store: ports.Store,
        table: str,
        part: str,
        wait_ms: int,
        log_decision: Callable[..., None],
        reads_newest: bool = False,
        on_failing: Callable[[], None] = lambda: None,
    ) -> None:
        self._store = store
        self._table = table
        self._part = part
        self._wait_ms = wait_ms
        self._log_decision = log_decision
        # Whether the last call has failed.
        self.is_failing = False
        self._reads_newest = reads_newest
        self._on_failing = on_failing
        # Whether the rows are read next instead of their changes.
        self._reads_rows = False
        self._call: asyncio.Task[tuple[list[ports.Row], bool]] | None = None
        # Version from which to continue; None if the table must be read.
        self.after: int | None = None

    async def next_rows(self) -> tuple[list[ports.Row], bool]:
        """Return rows, and whether they are the whole table.

        Retries until the store answers; only the first failure is logged.
        """
        while True:
            try:
                rows, is_complete = await self._read_unless_skipped()
            except errors.HistoryLostError:
                self._log_decision(
                    'history_lost', table=self._table, at=self.after
                )
                self.after = None
            except errors.StoreError as error:
                if not self.is_failing:
                    self._log_decision(
                        'feed_lost', table=self._table, error=str(error)
                    )
                else:
                    # The first repetition must not add to the time that it
                    # took to notice the failure.
                    await asyncio.sleep(RETRY_DELAY_S)
                self.is_failing = True
                self._on_failing()
                self._reads_rows = self._reads_newest
            else:
                if self.is_failing:
                    self._log_decision('feed_regained', table=self._table)
                self.is_failing = False
                return rows, is_complete

    def skip_to(self, version: int) -> bool:
        """Continue from a later version; return whether it is a later one.

        A call in flight is abandoned, and ``next_rows`` returns no rows.
        """
        if self.after is None or version <= self.after:
            return False
        if self._call is not None and self._call.done():
            # Its answer is about to be applied.
            return False
        self.after = version
        self._reads_rows = False
        if self._call is not None:
            self._call.cancel()
        return True

    async def _read_unless_skipped(self) -> tuple[list[ports.Row], bool]:
        after = self.after
        self._call = asyncio.ensure_future(self._read())
        try:
            return await self._call
        except asyncio.CancelledError:
            task = asyncio.current_task()
            is_skipped = self.after is not None and self.after != after
            if not is_skipped or (task is not None and task.cancelling()):
                raise
            return [], False
        finally:
            self._call.cancel()
            self._call = None

    async def _read(self) -> tuple[list[ports.Row], bool]:
        after = self.after
        if after is None or self._reads_rows:
            timeout_s = (
                RETRY_TIMEOUT_S if self.is_failing else _records.READ_TIMEOUT_S
            )
            rows, self.after = await _records.read_all(
                self._store, self._table, self._part, timeout_s=timeout_s
            )
            self._reads_rows = after is not None and self._has_large_change(
                rows, after
            )
            return rows, True
        # After a failure the feed does not wait, so that another lost answer
        # is noticed sooner.
        wait_ms = 0 if self.is_failing else self._wait_ms
        read = await self._store.read_changes(self._table, after, wait_ms)
        self.after = read.version
        self._reads_rows = self._has_large_change(read.rows, after)
        return list(read.rows), False

    def _has_large_change(self, rows: Sequence[ports.Row], after: int) -> bool:
        """Return whether further versions may have been stored meanwhile."""
        size = sum(len(row.value) for row in rows if row.version > after)
        return self._reads_newest and size > LARGE_ANSWER_BYTES


@attrs.frozen(slots=True)
class OperatorChange:
    """Change of what the operator has stored."""

    # The new configuration and its encoded value, if it has changed.
    configuration: ports.Configuration | None
    value: bytes
    # The data centres that are evacuated, if these have changed.
    evacuated: frozenset[str] | None


class ConfigurationFollower:
    """Follower of the configuration and of the evacuated data centres."""

    def __init__(
        self,
        store: ports.Store,
        tables: ports.Tables,
        decoder: ports.Decoder,
        evacuations: _evacuations.Evacuations,
        evacuation_s: float,
        log_decision: Callable[..., None],
        on_failing: Callable[[], None] = lambda: None,
    ) -> None:
        wait_ms = int(EVACUATION_WAIT_SHARE * evacuation_s * 1000)
        self._feed = _ChangeFeed(
            store,
            tables.operator,
            '',
            max(MIN_WAIT_MS, min(CONFIGURATION_WAIT_MS, wait_ms)),
            log_decision,
            reads_newest=True,
            on_failing=on_failing,
        )
        self._tables = tables
        self._decoder = decoder
        self._evacuations = evacuations
        self._log_decision = log_decision
        self._version = 0
        # Value of the newest configuration, which may be read once more.
        self._value = b''
        # Version up to which the rows have been applied; 0 if none have.
        self.read_to = 0

    @property
    def is_failing(self) -> bool:
        """Return whether the last call to the store has failed."""
        return self._feed.is_failing

    def adopt(self, snapshot: _distribution.Snapshot) -> None:
        """Continue from what another node has read."""
        self._version = snapshot.configuration.version
        self._value = snapshot.value
        if self._feed.skip_to(snapshot.read_to):
            self._evacuations.replace(snapshot.evacuations, snapshot.read_to)
            self.read_to = snapshot.read_to

    async def follow(self) -> AsyncIterator[OperatorChange]:
        """Yield each configuration newer than all before it, and evacuations.

        The evacuations come before the configurations of the same answer, and
        at first in any case.
        """
        evacuated: frozenset[str] | None = None
        # An answer may have been lost with an earlier call of this function.
        self._feed.after = None
        self._version, self._value = 0, b''
        while True:
            known = self._evacuations.revision
            rows, is_complete = await self._feed.next_rows()
            version = self._feed.after or 0
            self._evacuations.apply(rows, version, is_complete, known)
            if self._evacuations.data_centres != evacuated:
                evacuated = self._evacuations.data_centres
                yield OperatorChange(None, b'', evacuated)
            self._log_if_large(rows)
            for row in rows:
                configuration = self._newer_configuration(row)
                if configuration is not None:
                    yield OperatorChange(configuration, row.value, None)
            self.read_to = version

    def _log_if_large(self, rows: list[ports.Row]) -> None:
        size = sum(len(row.value) for row in rows)
        if size > LARGE_ANSWER_BYTES:
            self._log_decision(
                'large_answer',
                table=self._tables.operator,
                rows=len(rows),
                bytes=size,
            )

    def _newer_configuration(
        self, row: ports.Row
    ) -> ports.Configuration | None:
        if row.key != self._tables.configuration_key or row.is_removed:
            return None
        if row.value == self._value:
            return None
        configuration = self._decoder.configuration(row.value)
        if configuration is None or configuration.version <= self._version:
            return None
        self._version = configuration.version
        self._value = row.value
        return configuration


class JobsFollower:
    """Follower of stored jobs and cancellations.

    The owner notices through it those whose notification was lost.
    """

    def __init__(
        self,
        store: ports.Store,
        runner: _runner.Runner,
        log_decision: Callable[..., None],
    ) -> None:
        self._feed = _ChangeFeed(
            store, _schema.JOBS, _schema.CELL, FEED_WAIT_MS, log_decision
        )
        self._log_decision = log_decision
        self._runner = runner

    async def run(self, version: int) -> None:
        """Follow the table of jobs from a version on."""
        self._feed.after = version
        while True:
            rows, _ = await self._feed.next_rows()
            self._enqueue_events(rows)
            if len(rows) < FULL_ANSWER_ROWS:
                await asyncio.sleep(JOBS_BATCH_DELAY_S)

    def _enqueue_events(self, rows: list[ports.Row]) -> None:
        state = self._runner.state
        jobs, cancelled = _records.decode_jobs(
            rows,
            self._log_decision,
            lambda job_id: cell.is_known_job(state, job_id),
        )
        now = time.monotonic()
        for job in jobs.values():
            self._runner.enqueue(events.JobAccepted(now, job))
        for job_id in cancelled:
            self._runner.enqueue(events.JobCancelled(now, job_id))


async def read_workers(
    store: ports.Store, tables: ports.Tables, decoder: ports.Decoder
) -> tuple[list[model.WorkerEntry], int]:
    """Return the entries of all workers, and the version of the table."""
    rows, version = await _records.read_all(store, tables.workers, '')
    entries = [decoder.worker(row.key, row.value) for row in rows]
    return [entry for entry in entries if entry is not None], version


class WorkersFollower:
    """Follower of workers that are added, changed or removed."""

    def __init__(
        self,
        store: ports.Store,
        tables: ports.Tables,
        decoder: ports.Decoder,
        runner: _runner.Runner,
        log_decision: Callable[..., None],
    ) -> None:
        self._feed = _ChangeFeed(
            store, tables.workers, '', FEED_WAIT_MS, log_decision
        )
        self._decoder = decoder
        self._runner = runner
        self._known_ids: set[str] = set()

    async def run(self, known_ids: set[str], version: int) -> None:
        """Follow the entries of workers from a version on."""
        self._known_ids = known_ids
        self._feed.after = version
        while True:
            rows, is_complete = await self._feed.next_rows()
            entries, removed = self._classify(rows)
            if is_complete:
                removed |= self._known_ids - {entry.id for entry in entries}
            self._enqueue_events(entries, removed)
            if len(rows) < FULL_ANSWER_ROWS:
                await asyncio.sleep(WORKERS_BATCH_DELAY_S)

    def _classify(
        self, rows: list[ports.Row]
    ) -> tuple[list[model.WorkerEntry], set[str]]:
        newest = {row.key: row for row in rows}
        entries, removed = [], set()
        for row in newest.values():
            entry = (
                None
                if row.is_removed
                else self._decoder.worker(row.key, row.value)
            )
            if entry is None:
                removed.add(row.key)
            else:
                entries.append(entry)
        return entries, removed

    def _enqueue_events(
        self, entries: list[model.WorkerEntry], removed: set[str]
    ) -> None:
        self._known_ids -= removed
        self._known_ids |= {entry.id for entry in entries}
        self._runner.enqueue(
            events.WorkersChanged(
                time.monotonic(), tuple(entries), tuple(sorted(removed))
            )
        )
