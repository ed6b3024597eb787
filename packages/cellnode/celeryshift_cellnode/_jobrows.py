"""Reads and cancels stored jobs, without the owner."""

import asyncio
import enum
import time

from celeryshift_cell import model
from celeryshift_cellnode import _records
from celeryshift_cellnode import _schema
from celeryshift_cellnode import errors
from celeryshift_cellnode import ports

CALL_TIMEOUT_S = 1.0
# Delay between attempts to cancel a job.
RETRY_DELAY_S = 0.1


class CancelOutcome(enum.Enum):
    """Outcomes of a cancellation."""

    CANCELLED = 'cancelled'
    # The job had ended.
    ENDED = 'ended'
    # There is no such job. One that is being stored is refused.
    NO_JOB = 'no job'
    UNKNOWN = 'unknown'


class JobRows:
    """Rows of jobs in the store, for all nodes."""

    def __init__(self, store: ports.Store) -> None:
        self._store = store

    async def read_state(self, job_id: str) -> str | None:
        """Return the state of a job, or None if there is no such job.

        The tables are read in the order in which a job moves through them, so
        that a job that moves between two reads is found.
        """
        live_rows = await self._read(_schema.JOBS, job_id)
        if job_id in live_rows:
            if _records.cancel_key(job_id).key in live_rows:
                return model.JobState.CANCELLED.value
            progress_rows = await self._read(_schema.PROGRESS, job_id)
            return (
                model.JobState.RUNNING.value
                if progress_rows
                else model.JobState.QUEUED.value
            )
        ended_rows = await self._read(_schema.ENDED, job_id)
        if not ended_rows or _schema.is_withdrawn(ended_rows[job_id].value):
            return None
        return _schema.load(_schema.Ended, ended_rows[job_id].value).state

    async def cancel(
        self, job_id: str, deadline: float
    ) -> tuple[CancelOutcome, str]:
        """Store the cancellation of a job, also of one that is being stored.

        Returns the outcome, and the reason if it is unknown.
        """
        reason = 'no answer from the store'
        while (remaining_s := deadline - time.monotonic()) > 0:
            try:
                outcome = await self._try_cancel(
                    job_id, min(CALL_TIMEOUT_S, remaining_s)
                )
                if outcome is not None:
                    return outcome, ''
            except errors.StoreError as error:
                reason = str(error)
            await asyncio.sleep(RETRY_DELAY_S)
        return CancelOutcome.UNKNOWN, reason

    async def _try_cancel(
        self, job_id: str, timeout_s: float
    ) -> CancelOutcome | None:
        """Make one attempt; return None if the rows changed meanwhile.

        Whoever stores a job requires that it has not ended. If there is no
        job, storing one is therefore prevented by a row of its end.
        """
        live_key = ports.Key(_schema.JOBS, job_id)
        cancel_key = _records.cancel_key(job_id)
        rows = await self._read(_schema.JOBS, job_id)
        if job_id in rows:
            if cancel_key.key in rows:
                return CancelOutcome.CANCELLED
            change = ports.Transaction(
                _schema.CELL,
                {live_key: rows[job_id].version},
                {cancel_key: b'{}'},
            )
            outcome = CancelOutcome.CANCELLED
        else:
            ended_rows = await self._read(_schema.ENDED, job_id)
            if job_id in ended_rows:
                is_withdrawn = _schema.is_withdrawn(ended_rows[job_id].value)
                return (
                    CancelOutcome.NO_JOB
                    if is_withdrawn
                    else CancelOutcome.ENDED
                )
            ended_key = ports.Key(_schema.ENDED, job_id)
            withdrawal = _schema.Ended(
                _schema.WITHDRAWN, int(time.time() * 1000)
            )
            change = ports.Transaction(
                _schema.CELL,
                {live_key: 0, ended_key: 0},
                {ended_key: _schema.dump(withdrawal)},
            )
            outcome = CancelOutcome.NO_JOB
        stored = await self._store.transact(change, timeout_s)
        return outcome if isinstance(stored, ports.Committed) else None

    async def _read(self, table: str, job_id: str) -> dict[str, ports.Row]:
        # The range contains the row of the job and that of its cancellation.
        last = _records.cancel_key(job_id).key + '\0'
        result = await self._store.read(table, _schema.CELL, job_id, last)
        return {row.key: row for row in result.rows}
