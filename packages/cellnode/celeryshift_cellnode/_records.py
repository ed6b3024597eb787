"""Reads and writes the rows of a cell."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import time
from typing import Any

import attrs

from celeryshift_cell import effects
from celeryshift_cell import events
from celeryshift_cell import model
from celeryshift_cellnode import _groupwriter
from celeryshift_cellnode import _schema
from celeryshift_cellnode import errors
from celeryshift_cellnode import ports

READ_TIMEOUT_S = 2.0
# Rows of jobs that are decoded in one turn of the event loop.
DECODED_ROWS = 25
# Row of what the owner has learned.
LEARNED = ports.Key(_schema.CELLS, _schema.LEARNED_KEY)


def cancel_key(job_id: str) -> ports.Key:
    """Return the key of the row that cancels a job."""
    return ports.Key(_schema.JOBS, job_id + _schema.CANCEL_SUFFIX)


async def save(
    writer: _groupwriter.GroupWriter, effect: effects.SaveRecords
) -> _groupwriter.WriteOutcome:
    """Store the changed records of jobs and workers."""
    puts: dict[ports.Key, bytes] = {}
    removes: list[ports.Key] = []
    at_ms = int(time.time() * 1000)
    for job_id, record in effect.progress_by_job.items():
        puts |= _encode_record(job_id, record, effect.part_bytes)
    for job_id, end in effect.ended_by_job.items():
        ended = _schema.Ended(end.state, at_ms)
        puts[ports.Key(_schema.ENDED, job_id)] = _schema.dump(ended)
        removes.append(ports.Key(_schema.JOBS, job_id))
        if end.has_cancel:
            removes.append(cancel_key(job_id))
        removes += (
            _part_key(job_id, number) for number in range(end.progress_parts)
        )
    puts |= _encode_workers(effect.workers_by_id)
    if effect.learned:
        puts[LEARNED] = effect.learned.encode()
    removes += (
        ports.Key(_schema.WORKERS, name) for name in effect.removed_workers
    )
    result = await writer.write(
        _groupwriter.Change(puts=puts, removes=tuple(removes))
    )
    return result.outcome


def _part_key(job_id: str, number: int) -> ports.Key:
    suffix = f'{_schema.PART_SEPARATOR}{number}' if number else ''
    return ports.Key(_schema.PROGRESS, job_id + suffix)


def _encode_record(
    job_id: str, record: str, part_bytes: int
) -> dict[ports.Key, bytes]:
    """Return the rows of a record.

    The first of several parts begins with their number and a colon. Parts
    beyond that number are left from a longer record.
    """
    count = effects.count_parts(record, part_bytes)
    values = [
        record[part_bytes * n : part_bytes * (n + 1)] for n in range(count)
    ]
    if count > 1:
        values[0] = f'{count}:{values[0]}'
    return {
        _part_key(job_id, number): value.encode()
        for number, value in enumerate(values)
    }


def _decode_records(
    rows: list[ports.Row],
) -> tuple[dict[str, str], dict[str, int]]:
    """Return the records and the numbers of their rows, by job id.

    A record whose parts are not complete is returned as an empty string.
    """
    values_by_job: dict[str, dict[str, str]] = {}
    for row in rows:
        job_id, _, number = row.key.partition(_schema.PART_SEPARATOR)
        values = values_by_job.setdefault(job_id, {})
        values[number] = row.value.decode(errors='replace')
    records, parts_by_job = {}, {}
    for job_id, values in values_by_job.items():
        numbers = [int(text) for text in values if text.isdigit()]
        parts_by_job[job_id] = max(numbers, default=0) + 1
        first = values.get('', '')
        if first.startswith('{'):
            records[job_id] = first
            continue
        count, _, first = first.partition(':')
        others = range(1, int(count) if count.isdigit() else 0)
        parts = [first, *(values.get(str(n), '') for n in others)]
        records[job_id] = ''.join(parts) if all(parts) else ''
    return records, parts_by_job


def _encode_workers(
    workers_by_id: Mapping[str, tuple[int, str]],
) -> dict[ports.Key, bytes]:
    return {
        ports.Key(_schema.WORKERS, name): _schema.dump(list(record))
        for name, record in workers_by_id.items()
    }


async def _replace_former_list(
    writer: _groupwriter.GroupWriter,
    former_list: bytes,
    records_by_id: dict[str, tuple[int, str]],
) -> None:
    """Replace the list of workers of earlier releases by a row for each.

    The list is removed last, so that a next owner finds it if this one fails.
    """
    for name, incarnation, address in _schema.load(
        list[tuple[str, int, str]], former_list
    ):
        if name not in records_by_id or incarnation > records_by_id[name][0]:
            records_by_id[name] = incarnation, address
    puts = list(_encode_workers(records_by_id).items())
    for first in range(0, len(puts), effects.MAX_SAVE_ENTRIES):
        batch = dict(puts[first : first + effects.MAX_SAVE_ENTRIES])
        await _write(writer, _groupwriter.Change(puts=batch))
    key = ports.Key(_schema.CELLS, _schema.FORMER_WORKERS_KEY)
    await _write(writer, _groupwriter.Change(removes=(key,)))


async def _write(
    writer: _groupwriter.GroupWriter, change: _groupwriter.Change
) -> None:
    result = await writer.write(change)
    if result.outcome is not _groupwriter.WriteOutcome.STORED:
        raise errors.StoreRefusedError(
            f'list of workers: {result.outcome.value} {result.reason}'
        )


@attrs.frozen(slots=True)
class Restored:
    """Rows of a cell, and the version from which to follow changes."""

    jobs: dict[str, events.StoredJob]
    records: dict[str, str]
    cancelled: tuple[str, ...]
    # Workers that may have runs, as (id, incarnation, address).
    workers: tuple[tuple[str, int, str], ...]
    version: int
    # Number of rows of each record, by job id.
    parts_by_job: dict[str, int]
    learned: str = ''

    def to_event(
        self,
        in_doubt_until: float,
        former_owner_until: float,
        has_jobs: bool = True,
    ) -> events.Restored:
        """Return the event that restores the cell.

        It is without the jobs if ``job_events`` have restored them.
        """
        return events.Restored(
            time.monotonic(),
            int(time.time() * 1000),
            tuple(self.jobs.values()) if has_jobs else (),
            self.records,
            self.cancelled,
            self.workers,
            in_doubt_until,
            self.version,
            former_owner_until,
            self.parts_by_job,
            self.learned,
        )

    def job_events(self, most_steps: int) -> Iterator[events.JobsRestored]:
        """Yield the events that restore the jobs.

        Each has one job, or several with this many steps at most.
        """
        cancelled = frozenset(self.cancelled)
        batch: list[events.StoredJob] = []
        steps = 0
        for stored in self.jobs.values():
            count = len(stored.job.steps)
            if batch and steps + count > most_steps:
                yield self._to_jobs_event(batch, cancelled)
                batch, steps = [], 0
            batch.append(stored)
            steps += count
        if batch:
            yield self._to_jobs_event(batch, cancelled)

    def _to_jobs_event(
        self, jobs: list[events.StoredJob], cancelled: frozenset[str]
    ) -> events.JobsRestored:
        return events.JobsRestored(
            time.monotonic(),
            int(time.time() * 1000),
            tuple(jobs),
            self.records,
            cancelled,
            self.parts_by_job,
        )


async def restore(
    store: ports.Store,
    writer: _groupwriter.GroupWriter,
    log_decision: Callable[..., None],
) -> Restored:
    """Read all rows of a cell, whose owner this node already is.

    Only the owner writes the rows of progress and workers, so the tables need
    not be read at one moment.
    """
    (jobs, cancelled, version), (progress, _), *others = await asyncio.gather(
        _read_jobs(store, log_decision),
        read_all(store, _schema.PROGRESS),
        read_all(store, _schema.WORKERS),
        read_all(store, _schema.CELLS),
    )
    workers, cells = (rows for rows, _ in others)
    records, parts_by_job = _decode_records(progress)
    records_by_id: dict[str, tuple[int, str]] = {}
    for row in workers:
        record = _load(tuple[int, str], row, log_decision)
        if record is not None:
            records_by_id[row.key] = record
    learned = ''
    for row in cells:
        if row.key == LEARNED.key:
            learned = row.value.decode(errors='replace')
        elif row.key == _schema.FORMER_WORKERS_KEY:
            await _replace_former_list(writer, row.value, records_by_id)
    return Restored(
        jobs,
        records,
        cancelled,
        tuple((name, *record) for name, record in records_by_id.items()),
        version,
        parts_by_job,
        learned,
    )


async def _read_jobs(
    store: ports.Store, log_decision: Callable[..., None]
) -> tuple[dict[str, events.StoredJob], tuple[str, ...], int]:
    """Read the table of jobs; return what ``decode_jobs`` does, and a version.

    Each page is decoded before the next one is read, so that the rows are not
    in memory beside all jobs.
    """
    jobs: dict[str, events.StoredJob] = {}
    cancelled: list[str] = []
    version = 0
    async for page in _read_pages(store, _schema.JOBS):
        version = version or page.version
        for first in range(0, len(page.rows), DECODED_ROWS):
            rows = page.rows[first : first + DECODED_ROWS]
            found, ids = decode_jobs(rows, log_decision)
            jobs |= found
            cancelled += ids
            # The heartbeat of the owner goes on.
            await asyncio.sleep(0)
    return jobs, tuple(cancelled), version


def _load(kind: Any, row: ports.Row, log_decision: Callable[..., None]) -> Any:
    """Decode a row; log one that is invalid, and return None.

    A later release or a fault may have written it. The others are used.
    """
    try:
        return _schema.load(kind, row.value)
    except Exception as error:
        log_decision(
            'row_unreadable',
            table=row.table,
            key=row.key,
            error=errors.describe(error),
        )
        return None


def decode_jobs(
    rows: Sequence[ports.Row],
    log_decision: Callable[..., None],
    is_known: Callable[[str], bool] = lambda job_id: False,
) -> tuple[dict[str, events.StoredJob], tuple[str, ...]]:
    """Return the jobs in the rows, and the IDs of cancelled jobs.

    Jobs that the caller knows are not decoded: after a pause, or when the
    store has lost its history, these may be all that it has accepted.
    """
    jobs: dict[str, events.StoredJob] = {}
    cancelled: list[str] = []
    for row in rows:
        if row.is_removed:
            jobs.pop(row.key, None)
        elif row.key.endswith(_schema.CANCEL_SUFFIX):
            cancelled.append(row.key.removesuffix(_schema.CANCEL_SUFFIX))
        elif not is_known(row.key):
            job = _load(model.Job, row, log_decision)
            if job is not None:
                jobs[row.key] = events.StoredJob(job, row.version)
    return jobs, tuple(cancelled)


async def read_all(
    store: ports.Store,
    table: str,
    part: str = _schema.CELL,
    first: str = '',
    last: str | None = None,
    timeout_s: float = READ_TIMEOUT_S,
) -> tuple[list[ports.Row], int]:
    """Read the rows of a range of a table in one part, page by page.

    Returns the rows and the version of the first page, from which changes can
    be followed.
    """
    rows: list[ports.Row] = []
    version = 0
    async for page in _read_pages(store, table, part, first, last, timeout_s):
        rows += page.rows
        version = version or page.version
    return rows, version


async def _read_pages(
    store: ports.Store,
    table: str,
    part: str = _schema.CELL,
    first: str = '',
    last: str | None = None,
    timeout_s: float = READ_TIMEOUT_S,
) -> AsyncIterator[ports.ReadResult]:
    while True:
        page = await store.read(table, part, first, last, timeout_s)
        yield page
        if not page.has_more:
            return
        first = page.rows[-1].key + '\0'
