"""Reads and writes the rows of a cell."""

import time

import attrs

from celeryshift_cell import effects
from celeryshift_cell import events
from celeryshift_cell import model
from celeryshift_cellnode import _groupwriter
from celeryshift_cellnode import _schema
from celeryshift_cellnode import ports

READ_TIMEOUT_S = 2.0


def cancel_key(job_id: str) -> ports.Key:
    """Return the key of the row that cancels a job."""
    return ports.Key(_schema.JOBS, job_id + _schema.CANCEL_SUFFIX)


async def save(
    writer: _groupwriter.GroupWriter, effect: effects.SaveRecords
) -> _groupwriter.WriteOutcome:
    """Store the progress and the final states of jobs."""
    puts: dict[ports.Key, bytes] = {}
    removes: list[ports.Key] = []
    at_ms = int(time.time() * 1000)
    for job_id, record in effect.progress_by_job.items():
        puts[ports.Key(_schema.PROGRESS, job_id)] = record.encode()
    for job_id, end in effect.ended_by_job.items():
        ended = _schema.Ended(end.state, at_ms)
        puts[ports.Key(_schema.ENDED, job_id)] = _schema.dump(ended)
        removes.append(ports.Key(_schema.JOBS, job_id))
        if end.has_cancel:
            removes.append(cancel_key(job_id))
        if end.has_progress:
            removes.append(ports.Key(_schema.PROGRESS, job_id))
    if effect.workers is not None:
        key = ports.Key(_schema.CELLS, _schema.WORKERS_KEY)
        puts[key] = _schema.dump([list(entry) for entry in effect.workers])
    result = await writer.write(
        _groupwriter.Change(puts=puts, removes=tuple(removes))
    )
    return result.outcome


@attrs.frozen(slots=True)
class Restored:
    """Rows of a cell, and the version from which to follow changes."""

    jobs: dict[str, events.StoredJob]
    records: dict[str, str]
    cancelled: tuple[str, ...]
    # Workers that may have runs, as (id, incarnation, address).
    workers: tuple[tuple[str, int, str], ...]
    version: int

    def to_event(
        self, in_doubt_until: float, former_owner_until: float
    ) -> events.Restored:
        """Return the event that restores the cell."""
        return events.Restored(
            time.monotonic(),
            int(time.time() * 1000),
            tuple(self.jobs.values()),
            self.records,
            self.cancelled,
            self.workers,
            in_doubt_until,
            self.version,
            former_owner_until,
        )


async def restore(store: ports.Store) -> Restored:
    """Read all rows of a cell."""
    jobs_rows, version = await read_all(store, _schema.JOBS)
    progress, _ = await read_all(store, _schema.PROGRESS)
    cells, _ = await read_all(store, _schema.CELLS)
    jobs, cancelled = decode_jobs(jobs_rows)
    workers: tuple[tuple[str, int, str], ...] = ()
    for row in cells:
        if row.key == _schema.WORKERS_KEY:
            entries = _schema.load(list[tuple[str, int, str]], row.value)
            workers = tuple(entries)
    return Restored(
        jobs,
        {row.key: row.value.decode() for row in progress},
        cancelled,
        workers,
        version,
    )


def decode_jobs(
    rows: list[ports.Row],
) -> tuple[dict[str, events.StoredJob], tuple[str, ...]]:
    """Return the jobs in the rows, and the IDs of cancelled jobs."""
    jobs: dict[str, events.StoredJob] = {}
    cancelled: list[str] = []
    for row in rows:
        if row.is_removed:
            jobs.pop(row.key, None)
        elif row.key.endswith(_schema.CANCEL_SUFFIX):
            cancelled.append(row.key.removesuffix(_schema.CANCEL_SUFFIX))
        else:
            job = _schema.load(model.Job, row.value)
            jobs[row.key] = events.StoredJob(job, row.version)
    return jobs, tuple(cancelled)


async def read_all(
    store: ports.Store, table: str, part: str = _schema.CELL
) -> tuple[list[ports.Row], int]:
    """Read the rows of a table in one part, page by page.

    Returns the rows and the version of the first page, from which changes can
    be followed.
    """
    rows: list[ports.Row] = []
    first, version = '', 0
    while True:
        page = await store.read(table, part, first, None, READ_TIMEOUT_S)
        rows += page.rows
        version = version or page.version
        if not page.has_more:
            return rows, version
        first = page.rows[-1].key + '\0'
