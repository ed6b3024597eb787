"""Follow the tables of the store that others write."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import time

from celeryshift_cell import events
from celeryshift_cell import model
from celeryshift_cellnode import _records
from celeryshift_cellnode import _runner
from celeryshift_cellnode import _schema
from celeryshift_cellnode import errors
from celeryshift_cellnode import ports

# A feed that has gone silent shows by the end of its wait, so the wait is
# the part of the bound on changes that may be lost to it.
CONFIGURATION_WAIT_MS = 1500
FEED_WAIT_MS = 2000
# Pause after a call that failed.
RETRY_S = 0.25
# Pauses that let several changes come in one answer.
JOBS_PAUSE_S = 0.5
WORKERS_PAUSE_S = 0.4


class _Feed:
    """Follow one table: its rows first, then what changes."""

    def __init__(
        self,
        store: ports.Store,
        table: str,
        part: str,
        wait_ms: int,
        note: Callable[..., None],
    ) -> None:
        self._store = store
        self._table = table
        self._part = part
        self._wait_ms = wait_ms
        self._note = note
        self._is_silent = False
        # The version to go on from; None if the table has to be read.
        self.after: int | None = None

    async def next(self) -> tuple[list[ports.Row], bool]:
        """Give rows, and whether they are all there are.

        Goes on until the store answers; a line is written for the first
        failure alone.
        """
        while True:
            try:
                rows, is_whole = await self._read()
            except errors.HistoryLostError:
                self._note('history_lost', table=self._table, at=self.after)
                self.after = None
            except errors.StoreError as error:
                if not self._is_silent:
                    self._note(
                        'feed_lost', table=self._table, error=str(error)
                    )
                self._is_silent = True
                await asyncio.sleep(RETRY_S)
            else:
                if self._is_silent:
                    self._note('feed_regained', table=self._table)
                self._is_silent = False
                return rows, is_whole

    async def _read(self) -> tuple[list[ports.Row], bool]:
        if self.after is None:
            rows, self.after = await _records.read_all(
                self._store, self._table, self._part
            )
            return rows, True
        read = await self._store.read_changes(
            self._table, self.after, self._wait_ms
        )
        self.after = read.version
        return list(read.rows), False


class ConfigurationFollower:
    """Yield configurations as they come; versions only rise."""

    def __init__(
        self,
        store: ports.Store,
        tables: ports.Tables,
        decoder: ports.Decoder,
        note: Callable[..., None],
    ) -> None:
        self._feed = _Feed(
            store, tables.operator, '', CONFIGURATION_WAIT_MS, note
        )
        self._tables = tables
        self._decoder = decoder
        self._version = 0

    async def follow(self) -> AsyncIterator[ports.Configuration]:
        """Yield each configuration with a version above all before it."""
        while True:
            rows, _ = await self._feed.next()
            for row in rows:
                found = self._newer(row)
                if found is not None:
                    yield found

    def _newer(self, row: ports.Row) -> ports.Configuration | None:
        if row.key != self._tables.configuration_key or row.is_removed:
            return None
        found = self._decoder.configuration(row.value)
        if found is None or found.version <= self._version:
            return None
        self._version = found.version
        return found


class JobsFollower:
    """Tell the cell of jobs and cancellations that nobody told it of."""

    def __init__(
        self,
        store: ports.Store,
        runner: _runner.Runner,
        note: Callable[..., None],
    ) -> None:
        self._feed = _Feed(
            store, _schema.JOBS, _schema.CELL, FEED_WAIT_MS, note
        )
        self._runner = runner

    async def run(self, version: int) -> None:
        """Follow the table of jobs from a version on."""
        self._feed.after = version
        while True:
            rows, _ = await self._feed.next()
            self._tell(rows)
            await asyncio.sleep(JOBS_PAUSE_S)

    def _tell(self, rows: list[ports.Row]) -> None:
        jobs, cancelled = _records.decode_jobs(rows)
        now = time.monotonic()
        for job in jobs.values():
            self._runner.feed(events.JobAccepted(now, job))
        for job_id in cancelled:
            self._runner.feed(events.JobCancelled(now, job_id))


async def read_workers(
    store: ports.Store, tables: ports.Tables, decoder: ports.Decoder
) -> tuple[list[model.WorkerEntry], int]:
    """Read the entries of all workers."""
    rows, version = await _records.read_all(store, tables.workers, '')
    entries = [decoder.worker(row.key, row.value) for row in rows]
    return [entry for entry in entries if entry is not None], version


class WorkersFollower:
    """Tell the cell of workers that come, change and go."""

    def __init__(
        self,
        store: ports.Store,
        tables: ports.Tables,
        decoder: ports.Decoder,
        runner: _runner.Runner,
        note: Callable[..., None],
    ) -> None:
        self._feed = _Feed(store, tables.workers, '', FEED_WAIT_MS, note)
        self._decoder = decoder
        self._runner = runner
        self._known: set[str] = set()

    async def run(self, known: set[str], version: int) -> None:
        """Follow the entries of workers from a version on."""
        self._known = known
        self._feed.after = version
        while True:
            rows, is_whole = await self._feed.next()
            entries, gone = self._sort(rows)
            if is_whole:
                gone |= self._known - {entry.id for entry in entries}
            self._tell(entries, gone)
            await asyncio.sleep(WORKERS_PAUSE_S)

    def _sort(
        self, rows: list[ports.Row]
    ) -> tuple[list[model.WorkerEntry], set[str]]:
        newest = {row.key: row for row in rows}
        entries, gone = [], set()
        for row in newest.values():
            entry = (
                None
                if row.is_removed
                else self._decoder.worker(row.key, row.value)
            )
            if entry is None:
                gone.add(row.key)
            else:
                entries.append(entry)
        return entries, gone

    def _tell(self, entries: list[model.WorkerEntry], gone: set[str]) -> None:
        self._known -= gone
        self._known |= {entry.id for entry in entries}
        self._runner.feed(
            events.WorkersChanged(
                time.monotonic(), tuple(entries), tuple(sorted(gone))
            )
        )
