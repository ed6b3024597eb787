"""Callers of the soak test that leave early and cancel their jobs."""

import asyncio
import random
import time
from typing import Any

import aiohttp
import attrs
from tests import siteworker
from tests import test_cell_processes as processes

# How long a caller waits for the answer to its job, of which it may hear.
LEAVES_AFTER_S = (0.0, 1.0)
# Steps that run one after the other, and the time that a task takes.
STEPS = 3
TASK_S = (2.0, 4.0)
CALL_TIMEOUT_S = 4.0
RETRY_S = 0.4
MAX_ATTEMPTS = 20
ACCEPTED = 200
NO_JOB = 410
# A node starts no task of a job later than this after its cancellation, and
# after the last fault.
CANCEL_S = 3.0
CONTACT_S = 3.0


@attrs.define
class _Cancelled:
    status: int
    at: float


class Cancellations:
    """Jobs that are cancelled, some of them while they are being stored."""

    def __init__(
        self,
        rng: random.Random,
        session: aiohttp.ClientSession,
        programs: list[processes.Program],
    ) -> None:
        self._rng = rng
        self._session = session
        self._programs = programs
        # Acknowledged cancellations, by job.
        self._cancelled: dict[str, _Cancelled] = {}

    async def submit_and_cancel(self, number: int) -> None:
        """Submit a job, leave, and cancel it until that is acknowledged."""
        job = processes.job_id(number)
        body = processes.job_body(1, self._rng.uniform(*TASK_S))
        first = body['steps'][0]
        body['steps'] = [
            first,
            *({**first, 'after': [index]} for index in range(STEPS - 1)),
        ]
        leaves_after_s = self._rng.uniform(*LEAVES_AFTER_S)
        await self._call('POST', job, body, leaves_after_s)
        for _ in range(MAX_ATTEMPTS):
            status, _ = await self._call('DELETE', job)
            if status in (ACCEPTED, NO_JOB):
                self._cancelled[job] = _Cancelled(status, time.monotonic())
                return
            await asyncio.sleep(RETRY_S)

    async def _call(
        self,
        method: str,
        job: str,
        body: Any = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> tuple[int, dict[str, Any]]:
        """Make a call to any node; the status is 0 without an answer."""
        program = self._rng.choice(self._programs)
        try:
            async with asyncio.timeout(timeout_s):
                return await processes.call(
                    self._session, program, method, job, body
                )
        except (aiohttp.ClientError, OSError, TimeoutError):
            return 0, {}

    def check(
        self, workers: list[siteworker.FakeWorker], calm_at: float
    ) -> None:
        """Check that no cancelled job goes on once all faults are over."""
        late = {
            run.task: run.started_at
            for worker in workers
            for run in worker.records
            if (cancelled := self._cancelled.get(run.task.partition('.')[0]))
            and not run.is_late
            and run.started_at
            > max(cancelled.at + CANCEL_S, calm_at + CONTACT_S)
        }
        assert not late, f'started after their cancellation: {late}'

    async def check_states(self) -> None:
        """Check that no node shows a cancelled job as one that goes on."""
        for job, cancelled in self._cancelled.items():
            for _ in range(MAX_ATTEMPTS):
                status, answer = await self._call('GET', job)
                if status in (ACCEPTED, NO_JOB):
                    break
                await asyncio.sleep(RETRY_S)
            context = f'{job}, cancelled with {cancelled.status}: {status}'
            if cancelled.status == NO_JOB:
                assert status == NO_JOB, context
            else:
                assert status == ACCEPTED, context
                assert answer['state'] not in ('queued', 'running'), context
