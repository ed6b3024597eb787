"""Handles requests to the owner of a cell."""

import asyncio
from collections.abc import Callable
import time
from typing import Any

import celeryshift_cell as cell
from celeryshift_cell import admission
from celeryshift_cell import events
from celeryshift_cell import model
from celeryshift_cellnode import _groupwriter
from celeryshift_cellnode import _records
from celeryshift_cellnode import _runner
from celeryshift_cellnode import _schema
from celeryshift_cellnode import ports

REFUSED = _groupwriter.WriteOutcome.REFUSED.value
EXISTS = _groupwriter.WriteOutcome.EXISTS.value
REJECTED = _groupwriter.WriteOutcome.REJECTED.value
# The owner rejects the job, which cannot run on any current worker or within
# the current limits.
IMPOSSIBLE = 'impossible'
# The owner rejects the job, which would end too late. It is not stored.
OVERLOADED = 'overloaded'
# The job was cancelled before it was stored.
WITHDRAWN = 'withdrawn'
# Jobs in doubt that are remembered. Callers give up after a few retries.
MAX_IN_DOUBT = 10_000


class OwnerService:
    """Handlers of requests to the owner of the cell.

    Every answer says whether this node is the owner. ``runner`` is set while
    it is.
    """

    def __init__(
        self, is_store_impaired: Callable[[], bool] = lambda: False
    ) -> None:
        self.runner: _runner.Runner | None = None
        self._is_store_impaired = is_store_impaired
        # IDs of jobs whose last write by this node has an unknown outcome, in
        # the order of these writes.
        self._in_doubt: dict[str, None] = {}
        # Writes of jobs in flight, by job ID.
        self._pending_writes: dict[
            str, asyncio.Future[_groupwriter.Result]
        ] = {}
        # Memory that these jobs will take.
        self._pending_bytes = 0

    def add_job(self, stored: events.StoredJob) -> None:
        """Pass a stored job to the cell."""
        assert self.runner is not None
        self.runner.enqueue(events.JobAccepted(time.monotonic(), stored))

    @property
    def handlers(self) -> dict[str, Any]:
        """Return the handlers by the names of the requests."""
        return {
            'accept': self._handle_accept,
            'job': self._handle_stored_job,
            'cancel': self._handle_cancel,
            'cancelled': self._handle_stored_cancel,
            'state': self._handle_state,
            'waiting': self._handle_waiting,
        }

    async def _handle_accept(self, body: Any) -> dict[str, Any]:
        if self.runner is None:
            return {'is_owner': False}
        job = _schema.structure(model.Job, body['job'])
        if cell.is_known_job(self.runner.state, job.id):
            # The job was submitted again. A write would delay other changes.
            return {'is_owner': True, 'written': EXISTS}
        reason = cell.rejection_reason(self.runner.state, job)
        if reason is not None:
            return {'is_owner': True, 'written': IMPOSSIBLE, 'reason': reason}
        pending = self._pending_writes.get(job.id)
        if pending is None:
            rejection = None
            if not body.get('in_doubt'):
                rejection = self._decide_admission(self.runner, job)
            if rejection is not None:
                return {
                    'is_owner': True,
                    'written': OVERLOADED,
                    'reason': rejection.reason,
                    'retry_after_s': rejection.retry_after_s,
                }
            job = cell.mark_surplus(self.runner.state, job)
            cell.count_accepted(self.runner.state, job)
            pending = asyncio.ensure_future(self._store_job(self.runner, job))
            self._pending_writes[job.id] = pending
            size = admission.job_bytes(job)
            self._pending_bytes += size
            pending.add_done_callback(lambda _: self._settle(job.id, size))
        # A caller that disconnects must not cancel a write that others await.
        result = await asyncio.shield(pending)
        is_withdrawn = _schema.is_withdrawn(result.existing)
        return {
            'is_owner': True,
            'written': WITHDRAWN if is_withdrawn else result.outcome.value,
            'reason': result.reason,
        }

    def _settle(self, job_id: str, size: int) -> None:
        """Note that the write of a job has an outcome."""
        del self._pending_writes[job_id]
        self._pending_bytes -= size

    def _decide_admission(
        self, runner: _runner.Runner, job: model.Job
    ) -> admission.Rejection | None:
        """Return why a job is rejected that has certainly not been stored."""
        if job.id in self._in_doubt:
            return None
        rejection = admission.decide_by_memory(
            runner.state, job, self._pending_bytes
        )
        if rejection is not None:
            runner.log_decision(
                'job_rejected',
                job=job.id,
                queue=job.queue,
                team=job.team,
                why=rejection.reason,
                retry_after_s=rejection.retry_after_s,
                accepted_bytes=runner.state.footprint.accepted,
                pending_bytes=self._pending_bytes,
            )
            return rejection
        if self._is_store_impaired():
            return None
        state = runner.state
        job = cell.mark_surplus(state, job)
        rejection = admission.decide(state, job)
        prediction = rejection.prediction if rejection is not None else None
        if rejection is not None and prediction is not None:
            runner.log_decision(
                'job_rejected',
                job=job.id,
                queue=job.queue,
                team=job.team,
                surplus=job.is_surplus,
                why=rejection.reason,
                retry_after_s=rejection.retry_after_s,
                predicted_ms=round(prediction.in_time_ms),
                late_ms=round(prediction.late_ms),
                objective_ms=round(prediction.objective_ms),
                ahead_core_s=round(prediction.work_ahead.cpu / 1e6, 1),
                ahead_starts=round(prediction.work_ahead.starts),
                cores=prediction.capacity.cpu_milli // 1000,
                start_rate=state.start_rate,
            )
        return rejection

    async def _store_job(
        self, runner: _runner.Runner, job: model.Job
    ) -> _groupwriter.Result:
        """Store a job, and pass it to the cell.

        The row of the job need not be absent. The cell knows all live jobs,
        except those that another node has just stored, and storing such a job
        again writes the same row.
        """
        live_key = ports.Key(_schema.JOBS, job.id)
        change = _groupwriter.Change(
            absent=(ports.Key(_schema.ENDED, job.id),),
            puts={live_key: _schema.dump(job)},
            fails_fast=True,
        )
        result = await runner.writer.write(change)
        is_stored = result.outcome is _groupwriter.WriteOutcome.STORED
        self._in_doubt.pop(job.id, None)
        if result.outcome is _groupwriter.WriteOutcome.UNKNOWN:
            self._in_doubt[job.id] = None
            if len(self._in_doubt) > MAX_IN_DOUBT:
                del self._in_doubt[next(iter(self._in_doubt))]
        if is_stored and self.runner is runner:
            self.add_job(events.StoredJob(job, result.version))
        return result

    async def _handle_stored_job(self, body: Any) -> dict[str, Any]:
        if self.runner is None:
            return {'is_owner': False}
        job = _schema.structure(model.Job, body['job'])
        self.add_job(events.StoredJob(job, body['version']))
        return {'is_owner': True}

    async def _handle_cancel(self, body: Any) -> dict[str, Any]:
        """Cancel a job known to the cell; the caller handles other jobs.

        A job that is being stored becomes known once it is stored.
        """
        job_id = body['job']
        pending = self._pending_writes.get(job_id)
        is_stored = False
        if pending is not None:
            written = await asyncio.shield(pending)
            is_stored = written.outcome is _groupwriter.WriteOutcome.STORED
        if self.runner is None:
            return {'is_owner': False}
        if not (is_stored or job_id in self.runner.state.jobs):
            return {'is_owner': True, 'written': REFUSED}
        cancel_key = _records.cancel_key(job_id)
        change = _groupwriter.Change(puts={cancel_key: b'{}'}, fails_fast=True)
        result = await self.runner.writer.write(change)
        if result.version and self.runner is not None:
            event = events.JobCancelled(time.monotonic(), job_id)
            self.runner.enqueue(event)
        return {'is_owner': True, 'written': result.outcome.value}

    async def _handle_stored_cancel(self, body: Any) -> dict[str, Any]:
        if self.runner is None:
            return {'is_owner': False}
        event = events.JobCancelled(time.monotonic(), body['job'])
        self.runner.enqueue(event)
        return {'is_owner': True}

    async def _handle_state(self, body: Any) -> dict[str, Any]:
        if self.runner is None:
            return {'is_owner': False}
        job = self.runner.state.jobs.get(body['job'])
        state = None if job is None else cell.visible_state(job).value
        return {'is_owner': True, 'state': state}

    async def _handle_waiting(self, body: Any) -> dict[str, Any]:
        if self.runner is None:
            return {'is_owner': False}
        waiting = sum(
            job.spec.queue == body['queue']
            and job.state is model.JobState.QUEUED
            for job in self.runner.state.jobs.values()
        )
        return {'is_owner': True, 'waiting': waiting}
