"""What the owner of a cell answers to other nodes, and to its own."""

import asyncio
import time
from typing import Any

import celeryshift_cell as cell
from celeryshift_cell import events
from celeryshift_cell import model
from celeryshift_cellnode import _groupwriter
from celeryshift_cellnode import _records
from celeryshift_cellnode import _runner
from celeryshift_cellnode import _schema
from celeryshift_cellnode import ports

REFUSED = _groupwriter.WriteOutcome.REFUSED.value
EXISTS = _groupwriter.WriteOutcome.EXISTS.value
# The owner knows that the job can't run.
IMPOSSIBLE = 'impossible'


class Desk:
    """Answer for the owner, as long as this node is one.

    Every answer says whether it is.
    """

    def __init__(self) -> None:
        self.runner: _runner.Runner | None = None
        # Jobs that are on their way to the store, by id.
        self._storing: dict[str, asyncio.Future[_groupwriter.Result]] = {}

    def take(self, stored: events.StoredJob) -> None:
        """Tell the cell of a job that is stored."""
        assert self.runner is not None
        self.runner.feed(events.JobAccepted(time.monotonic(), stored))

    @property
    def handlers(self) -> dict[str, Any]:
        """Give what other nodes may call of the owner."""
        return {
            'accept': self._accept_asked,
            'job': self._job_told,
            'cancel': self._cancel_asked,
            'cancelled': self._cancel_told,
            'state': self._state_asked,
            'waiting': self._waiting_asked,
        }

    async def _accept_asked(self, body: Any) -> dict[str, Any]:
        if self.runner is None:
            return {'is_owner': False}
        job = _schema.load_parts(model.Job, body['job'])
        if cell.is_known_job(self.runner.state, job.id):
            # Handed in again; to ask the store would hold up others.
            return {'is_owner': True, 'written': EXISTS}
        why = cell.rejection_reason(self.runner.state, job)
        if why is not None:
            return {'is_owner': True, 'written': IMPOSSIBLE, 'reason': why}
        storing = self._storing.get(job.id)
        if storing is None:
            storing = asyncio.ensure_future(self._store(self.runner, job))
            self._storing[job.id] = storing
            storing.add_done_callback(lambda _: self._storing.pop(job.id))
        # A caller that leaves does not undo what others wait for.
        result = await asyncio.shield(storing)
        return {'is_owner': True, 'written': result.outcome.value}

    async def _store(
        self, runner: _runner.Runner, job: model.Job
    ) -> _groupwriter.Result:
        """Store a job, and let the cell have it.

        All live jobs are known here, unless another node has just stored
        this one: then it is stored again, which changes nothing.
        """
        live = ports.Key(_schema.JOBS, job.id)
        change = _groupwriter.Change(
            absent=(ports.Key(_schema.ENDED, job.id),),
            puts={live: _schema.dump(job)},
            fails_fast=True,
        )
        result = await runner.journal.write(change)
        is_stored = result.outcome is _groupwriter.WriteOutcome.STORED
        if is_stored and self.runner is runner:
            self.take(events.StoredJob(job, result.version))
        return result

    async def _job_told(self, body: Any) -> dict[str, Any]:
        if self.runner is None:
            return {'is_owner': False}
        job = _schema.load_parts(model.Job, body['job'])
        self.take(events.StoredJob(job, body['version']))
        return {'is_owner': True}

    async def _cancel_asked(self, body: Any) -> dict[str, Any]:
        """Cancel a job that is known here; else the caller reads the rows."""
        job_id = body['job']
        if self.runner is None:
            return {'is_owner': False}
        if job_id not in self.runner.state.jobs:
            return {'is_owner': True, 'written': REFUSED}
        mark = _records.cancel_key(job_id)
        change = _groupwriter.Change(puts={mark: b'{}'}, fails_fast=True)
        result = await self.runner.journal.write(change)
        if result.version and self.runner is not None:
            event = events.JobCancelled(time.monotonic(), job_id)
            self.runner.feed(event)
        return {'is_owner': True, 'written': result.outcome.value}

    async def _cancel_told(self, body: Any) -> dict[str, Any]:
        if self.runner is None:
            return {'is_owner': False}
        event = events.JobCancelled(time.monotonic(), body['job'])
        self.runner.feed(event)
        return {'is_owner': True}

    async def _state_asked(self, body: Any) -> dict[str, Any]:
        if self.runner is None:
            return {'is_owner': False}
        job = self.runner.state.jobs.get(body['job'])
        state = None if job is None else cell.visible_state(job).value
        return {'is_owner': True, 'state': state}

    async def _waiting_asked(self, body: Any) -> dict[str, Any]:
        if self.runner is None:
            return {'is_owner': False}
        waiting = sum(
            job.spec.queue == body['queue']
            and job.state is model.JobState.QUEUED
            for job in self.runner.state.jobs.values()
        )
        return {'is_owner': True, 'waiting': waiting}
