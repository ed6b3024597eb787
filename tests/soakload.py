"""Load of the soak test that takes memory: large jobs, odd clients."""

import asyncio
import contextlib
import random
import sys
import time

import aiohttp
from tests import floods
from tests import site
from tests import test_cell_processes as processes

# Large jobs, which nobody waits for: chance that one is submitted with another
# job, and numbers of their tasks and occurrences, most of which are not due.
LARGE_SHARE = 0.4
LARGE_TASKS = (1, 6, 300, 1000)
MAX_LARGE_RUNS = 9000
LARGE_DUE_MS = (3_600_000, -3_600_000)
LARGE_NUMBER = 5 * 10**6
# Connections that each send a part of a request, and its bytes.
INCOMPLETE_CALLS = 100
INCOMPLETE_BYTES = 200_000
CALL_TIMEOUT_S = 4.0
# Connections of a crowd that sends as much as it can, and its ports.
CROWD = 100
CROWD_PORTS = ('front', 'front', 'front', 'ready', 'peer')


class LargeJobs:
    """Jobs of many tasks, most of which are never due."""

    def __init__(
        self,
        rng: random.Random,
        session: aiohttp.ClientSession,
        programs: list[processes.Program],
    ) -> None:
        self._rng = rng
        self._session = session
        self._programs = programs
        self._submitted: list[str] = []

    def is_next(self) -> bool:
        """Return whether one is submitted beside another job."""
        return self._rng.random() < LARGE_SHARE

    async def submit(self, number: int) -> None:
        """Submit a job, with one attempt."""
        tasks = self._rng.choice(LARGE_TASKS)
        due_ms = int(time.time() * 1000) + self._rng.choice(LARGE_DUE_MS)
        body = processes.job_body(tasks, 1.0)
        body['steps'] = body['steps'][:1]
        body |= {
            'repetitions': MAX_LARGE_RUNS // tasks,
            'start_time_ms': due_ms,
            'interval_ms': 1000,
        }
        job = processes.job_id(LARGE_NUMBER + number)
        await self._call('POST', job, body)
        self._submitted.append(job)

    async def cancel(self) -> None:
        """Cancel all of them, which would delay the others for long."""
        for job in self._submitted:
            while await self._call('DELETE', job) not in (200, 410):
                pass

    async def _call(self, method: str, job: str, body: object = None) -> int:
        """Make a call at any node; return its status, or 0 if it fails."""
        program = self._rng.choice(self._programs)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                status, _ = await processes.call(
                    self._session, program, method, job, body
                )
        except (aiohttp.ClientError, OSError, TimeoutError):
            return 0
        return status


async def send_incomplete(
    rng: random.Random, program: processes.Program, duration_s: float
) -> None:
    """Send parts of requests on connections that are kept open."""
    head = (
        f'POST {site.PREFIX}{processes.job_id(0)} HTTP/1.1\r\n'
        f'Host: {site.HOST}\r\nAuthorization: Token {site.KEY}\r\n'
        f'Content-Length: {INCOMPLETE_BYTES + 1}\r\n\r\n'
    ).encode()
    writers = []
    for _ in range(INCOMPLETE_CALLS):
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(
                site.LOOPBACK, program.front
            )
            length = rng.randint(1, INCOMPLETE_BYTES)
            writer.write((head + b' ' * INCOMPLETE_BYTES)[:length])
            writers.append(writer)
    await asyncio.sleep(duration_s)
    for writer in writers:
        writer.close()


async def misbehave(
    rng: random.Random, program: processes.Program, duration_s: float
) -> None:
    """Let a crowd send to a node as fast as it reads, or faster."""
    port = getattr(program, rng.choice(CROWD_PORTS))
    kind = rng.choice(sorted(floods.BLOCKS_BY_KIND))
    crowd = await asyncio.create_subprocess_exec(
        sys.executable,
        *('-m', 'tests.floods'),
        *(str(port), kind, str(CROWD), str(duration_s)),
    )
    await crowd.wait()
