"""Follows the tables of the store that others write."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import time

import attrs

from celeryshift_cell import events
from celeryshift_cell import model
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
# An answer with more bytes than this is logged.
LOGGED_BYTES = 100_000
# An answer with this many rows or more may not be all that has changed, so the
# next one is requested at once.
FULL_ANSWER_ROWS = 100


class _ChangeFeed:
    """Feed of one table, which returns all rows first and then the changes."""

    def __init__(
        self,
        store: ports.Store,
        table: str,
        part: str,
        wait_ms: int,
        log_decision: Callable[..., None],
    ) -> None:
        self._store = store
        self._table = table
        self._part = part
        self._wait_ms = wait_ms
        self._log_decision = log_decision
        self._is_failing = False
        # Version from which to continue; None if the table must be read.
        self.after: int | None = None

    async def next_rows(self) -> tuple[list[ports.Row], bool]:
        """Return rows, and whether they are the whole table.

        Retries until the store answers; only the first failure is logged.
        """
        while True:
            try:
                rows, is_complete = await self._read()
            except errors.HistoryLostError:
                self._log_decision(
                    'history_lost', table=self._table, at=self.after
                )
                self.after = None
            except errors.StoreError as error:
                if not self._is_failing:
                    self._log_decision(
                        'feed_lost', table=self._table, error=str(error)
                    )
                self._is_failing = True
                await asyncio.sleep(RETRY_DELAY_S)
            else:
                if self._is_failing:
                    self._log_decision('feed_regained', table=self._table)
                self._is_failing = False
                return rows, is_complete

    async def _read(self) -> tuple[list[ports.Row], bool]:
        # After a failure the feed does not wait, so that another lost answer
        # is noticed sooner.
        wait_ms = 0 if self._is_failing else self._wait_ms
        if self.after is None:
            rows, self.after = await _records.read_all(
                self._store, self._table, self._part
            )
            return rows, True
        read = await self._store.read_changes(self._table, self.after, wait_ms)
        self.after = read.version
        return list(read.rows), False


@attrs.frozen(slots=True)
class OperatorChange:
    """Change of what the operator has stored."""

    # The new configuration, if it has changed.
    configuration: ports.Configuration | None
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
    ) -> None:
        wait_ms = int(EVACUATION_WAIT_SHARE * evacuation_s * 1000)
        self._feed = _ChangeFeed(
            store,
            tables.operator,
            '',
            max(MIN_WAIT_MS, min(CONFIGURATION_WAIT_MS, wait_ms)),
            log_decision,
        )
        self._tables = tables
        self._decoder = decoder
        self._evacuations = evacuations
        self._log_decision = log_decision
        self._version = 0

    async def follow(self) -> AsyncIterator[OperatorChange]:
        """Yield each configuration newer than all before it, and evacuations.

        The evacuations come before the configurations of the same answer, and
        at first in any case.
        """
        evacuated: frozenset[str] | None = None
        while True:
            known = self._evacuations.revision
            rows, is_complete = await self._feed.next_rows()
            version = self._feed.after or 0
            self._evacuations.apply(rows, version, is_complete, known)
            if self._evacuations.data_centres != evacuated:
                evacuated = self._evacuations.data_centres
                yield OperatorChange(None, evacuated)
            self._log_if_large(rows)
            for row in rows:
                configuration = self._newer_configuration(row)
                if configuration is not None:
                    yield OperatorChange(configuration, None)

    def _log_if_large(self, rows: list[ports.Row]) -> None:
        size = sum(len(row.value) for row in rows)
        if size > LOGGED_BYTES:
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
        configuration = self._decoder.configuration(row.value)
        if configuration is None or configuration.version <= self._version:
            return None
        self._version = configuration.version
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
        jobs, cancelled = _records.decode_jobs(rows, self._log_decision)
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
