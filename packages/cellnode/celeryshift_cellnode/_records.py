"""Reads and writes the rows of a cell."""

import enum
import time

import attrs

from celeryshift_cell import effects
from celeryshift_cell import events
from celeryshift_cell import model
from celeryshift_cellnode import _schema
from celeryshift_cellnode import errors
from celeryshift_cellnode import ports

SAVE_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 2.0


class Result(enum.Enum):
    """Name what became of a save."""

    SAVED = 'saved'
    # It may or may not be stored.
    UNKNOWN = 'unknown'
    NOT_OWNER = 'not owner'


class Records:
    """Keep the progress of jobs, under the version of the owner's row."""

    def __init__(self, store: ports.Store, owner_version: int) -> None:
        self._store = store
        self._owner = ports.Key(_schema.CELLS, _schema.OWNER_KEY)
        self._owner_version = owner_version

    async def save(self, order: effects.SaveRecords) -> Result:
        """Store the progress and the ends of jobs."""
        puts: dict[ports.Key, bytes] = {}
        removes: list[ports.Key] = []
        at_ms = int(time.time() * 1000)
        for job_id, record in order.progress_by_job.items():
            puts[ports.Key(_schema.PROGRESS, job_id)] = record.encode()
        for job_id, state in order.ended_by_job.items():
            ended = _schema.Ended(state, at_ms)
            puts[ports.Key(_schema.ENDED, job_id)] = _schema.dump(ended)
            removes += [
                ports.Key(_schema.JOBS, job_id),
                ports.Key(_schema.JOBS, job_id + _schema.CANCEL_SUFFIX),
                ports.Key(_schema.PROGRESS, job_id),
            ]
        if order.workers is not None:
            key = ports.Key(_schema.CELLS, _schema.WORKERS_KEY)
            puts[key] = _schema.dump([list(entry) for entry in order.workers])
        expected = {self._owner: self._owner_version}
        change = ports.Transaction(_schema.CELL, expected, puts, removes)
        try:
            answer = await self._store.transact(change, SAVE_TIMEOUT_S)
        except errors.StoreError:
            # The client of the store has logged it.
            return Result.UNKNOWN
        if isinstance(answer, ports.Conflict):
            return Result.NOT_OWNER
        return Result.SAVED


@attrs.frozen(slots=True)
class Restored:
    """Hold the rows of a cell, and the version to follow them from."""

    jobs: dict[str, model.Job]
    records: dict[str, str]
    cancelled: tuple[str, ...]
    workers: tuple[tuple[str, int, str], ...]
    version: int

    def event(self, doubt_until: float) -> events.Restored:
        """Tell the cell."""
        return events.Restored(
            time.monotonic(),
            int(time.time() * 1000),
            tuple(self.jobs.values()),
            self.records,
            self.cancelled,
            self.workers,
            doubt_until,
        )


async def restore(store: ports.Store) -> Restored:
    """Read all that is stored of a cell."""
    jobs_rows, version = await read_all(store, _schema.JOBS)
    progress, _ = await read_all(store, _schema.PROGRESS)
    cells, _ = await read_all(store, _schema.CELLS)
    jobs, cancelled = decode_jobs(jobs_rows)
    workers: tuple[tuple[str, int, str], ...] = ()
    for row in cells:
        if row.key == _schema.WORKERS_KEY:
            known = _schema.load(list[tuple[str, int, str]], row.value)
            workers = tuple(known)
    return Restored(
        jobs,
        {row.key: row.value.decode() for row in progress},
        cancelled,
        workers,
        version,
    )


def decode_jobs(
    rows: list[ports.Row],
) -> tuple[dict[str, model.Job], tuple[str, ...]]:
    """Give the jobs that rows hold, and the ids of those cancelled."""
    jobs: dict[str, model.Job] = {}
    cancelled: list[str] = []
    for row in rows:
        if row.is_removed:
            continue
        if row.key.endswith(_schema.CANCEL_SUFFIX):
            cancelled.append(row.key.removesuffix(_schema.CANCEL_SUFFIX))
        else:
            jobs[row.key] = _schema.load(model.Job, row.value)
    return jobs, tuple(cancelled)


async def read_all(
    store: ports.Store, table: str, part: str = _schema.CELL
) -> tuple[list[ports.Row], int]:
    """Read a table of one part, page by page.

    Gives the version of the first page, from which changes are followed.
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
