"""Worker of the simulated platform, whose tasks only wait."""

import asyncio
from collections.abc import Callable
import json
import random
import time
from typing import Any

from aiohttp import web
import attrs

TICK_S = 0.01
MS_PER_S = 1000
UPSTREAM = 'coding'
LOOPBACK = '127.0.0.1'
# The worker grants no longer lease than this.
MAX_LEASE_MS = 6000
# Delay of an order that is carried out late.
MIN_LATE_S = 1.0
MAX_LATE_S = 8.0
MAX_LISTED_ENDS = 500
# Time from the start of a task to the crash that it causes.
CRASH_DELAY_S = 0.01
# Clock rate of a worker whose clock is as slow as the protocol allows.
SLOWEST_CLOCK = 0.98


@attrs.define(eq=False)
class RunRecord:
    """Run of a task as its worker saw it.

    Times are in seconds of the monotonic clock.
    """

    task: str
    number: int
    worker: str
    born: int
    fencing_token: int
    took_s: float
    # Whether the order was carried out seconds after it had arrived.
    is_late: bool
    started_at: float
    ended_at: float | None = None
    # As in the protocol, or `restarted`.
    how: str = ''
    # When the lease under which the run ended expires, as extended until its
    # end was acknowledged.
    lease_end_at: float = 0.0
    acknowledged_at: float | None = None
    has_crashed_worker: bool = False


@attrs.define(eq=False)
class Address:
    """Port at which a worker listens."""

    listen_port: int
    # The port to call, which is that of a proxy if there is one.
    port: int
    occupant: 'FakeWorker'


class FakeWorker:
    """Worker that keeps a record of all its runs."""

    def __init__(self, name: str, zone: str = 'a', cores: int = 32) -> None:
        self.name = name
        self.zone = zone
        self.cores = cores
        self.born = 0
        # Seconds that the worker's clock counts per second.
        self.clock_rate = SLOWEST_CLOCK
        # Share of the orders that are carried out late and not answered.
        self.late_share = 0.0
        # All runs of all incarnations, in the order of their starts.
        self.records: list[RunRecord] = []
        self.polls = 0
        # Called when a task crashes the worker.
        self.on_crash: Callable[[FakeWorker], None] | None = None
        # Whether the store does not accept the worker's reports.
        self.is_unreported = False
        self.is_silent = False
        self.address: Address | None = None
        self._is_sick = False
        self._random = random.Random(name)
        self._reset()

    def _reset(self) -> None:
        # An incarnation is told from the one before by a later time.
        self.born = max(self.born + 1, int(time.time() * MS_PER_S))
        self.booted_at = self._updated_at = time.monotonic()
        self.fence = 0
        self.lease_until_ms = 0.0
        self.running: dict[tuple[str, int], RunRecord] = {}
        # Highest run number of each task that has ended or been stopped; the
        # worker does not start this run or an earlier one.
        self.stopped: dict[str, int] = {}
        # Completions that the owner has not acknowledged, in the format of the
        # protocol: number, task, run number, result and checkpoint.
        self.completions: list[list[Any]] = []
        self.last_completion = 0
        self._records_by_completion: dict[int, RunRecord] = {}

    def restart(self) -> None:
        """Start again under the same id, knowing nothing of before."""
        self.update_runs()
        now = time.monotonic()
        for record in self.running.values():
            record.ended_at, record.how = now, 'restarted'
        for record in self._records_by_completion.values():
            record.lease_end_at = min(record.lease_end_at, now)
        self._reset()

    @property
    def starts(self) -> list[tuple[str, int]]:
        """Return task and run number of all starts."""
        return [(record.task, record.number) for record in self.records]

    @property
    def done(self) -> list[str]:
        """Return the tasks that were done, with repetitions."""
        return [r.task for r in self.records if r.how == 'done']

    @property
    def is_sick(self) -> bool:
        """Return whether runs make no progress."""
        return self._is_sick

    @is_sick.setter
    def is_sick(self, value: bool) -> None:
        self.update_runs()
        self._is_sick = value

    @property
    def clock_ms(self) -> int:
        """Return the time of the worker's own clock."""
        return int(self._clock_ms_at(time.monotonic()))

    def _clock_ms_at(self, at: float) -> float:
        return (at - self.booted_at) * self.clock_rate * MS_PER_S

    @property
    def _lease_end_at(self) -> float:
        clock_s = self.lease_until_ms / MS_PER_S
        return self.booted_at + clock_s / self.clock_rate

    def entry(self) -> dict[str, Any]:
        """Return the entry that the worker writes to the store."""
        assert self.address is not None
        return {
            'service': UPSTREAM,
            'address': f'{LOOPBACK}:{self.address.port}',
            'zone': self.zone,
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'cold_remaining_ms': 0,
            'capacity': {'cpu': self.cores * 1000, 'mem_mb': 131072},
            'labels': ['a', 'r1-1'],
            'clock_ms': self.clock_ms,
            'sequence': 1,
            'born': self.born,
        }

    def choose_delay_s(self) -> float:
        """Return how late the next order is carried out; 0 if at once."""
        if self._random.random() >= self.late_share:
            return 0.0
        return self._random.uniform(MIN_LATE_S, MAX_LATE_S)

    async def answer(
        self, request: web.BaseRequest, is_late: bool
    ) -> web.Response:
        """Carry out an order and answer it."""
        try:
            body = json.loads(await request.read())
        except ConnectionResetError:
            return web.Response()
        if self.is_silent:
            await asyncio.sleep(3600)
        if request.headers.get('Expected-Instance', self.name) != self.name:
            return self._respond(421)
        if body['fencing_token'] < self.fence:
            return self._refuse('fence')
        self.fence = body['fencing_token']
        self.update_runs()
        name = request.path.rpartition('/')[2]
        if name == 'run-start':
            return self._start(body, is_late)
        if name == 'run-stop':
            return self._stop(body)
        return await self._poll(body)

    def _respond(self, status: int = 200, **body: Any) -> web.Response:
        body['clock_ms'] = self.clock_ms
        return web.json_response(body, status=status)

    def _refuse(self, reason: str) -> web.Response:
        return self._respond(409, reason=reason)

    def _extend_lease(self, deadline_ms: float) -> None:
        granted_ms = min(deadline_ms, self.clock_ms + MAX_LEASE_MS)
        self.lease_until_ms = max(self.lease_until_ms, granted_ms)
        # An end may be acknowledged for as long as the lease has not lapsed.
        now = time.monotonic()
        for record in self._records_by_completion.values():
            if now < record.lease_end_at:
                record.lease_end_at = self._lease_end_at

    def _start(self, body: dict[str, Any], is_late: bool) -> web.Response:
        task, run = body['task'], body['run']
        if (task, run) in self.running:
            self._extend_lease(body['deadline_ms'])
            return self._respond()
        if run <= self.stopped.get(task, 0):
            self._extend_lease(body['deadline_ms'])
            return self._refuse('old')
        if body['deadline_ms'] < self.clock_ms:
            return self._refuse('late')
        self._extend_lease(body['deadline_ms'])
        spec = json.loads(body['spec'])
        record = RunRecord(
            task,
            run,
            self.name,
            self.born,
            self.fence,
            spec['took_s'],
            is_late,
            time.monotonic(),
        )
        self.running[task, run] = record
        self.records.append(record)
        if spec.get('crashes'):
            asyncio.get_running_loop().call_later(
                CRASH_DELAY_S, self._crash_by, record
            )
        return self._respond()

    def _crash_by(self, record: RunRecord) -> None:
        if self.on_crash and (record.task, record.number) in self.running:
            record.has_crashed_worker = True
            self.on_crash(self)

    def _stop(self, body: dict[str, Any]) -> web.Response:
        task, run = body['task'], body['run']
        self.stopped[task] = max(self.stopped.get(task, 0), run)
        record = self.running.get((task, run))
        if record is not None:
            self._complete(record, 'stopped', time.monotonic())
        return self._respond()

    async def _poll(self, body: dict[str, Any]) -> web.Response:
        born = self.born
        self.polls += 1
        self._extend_lease(body.get('deadline_ms', 0))
        self._acknowledge(body['last_seen'])
        wait_until = time.monotonic() + body.get('wait_ms', 0) / MS_PER_S
        while not self.completions and time.monotonic() < wait_until:
            await asyncio.sleep(TICK_S)
            self.update_runs()
            if self.born != born:
                # The incarnation that was asked cannot answer any more.
                await asyncio.sleep(3600)
        running = [
            [record.task, record.number, '', self._percent(record)]
            for record in self.running.values()
        ]
        return self._respond(
            running=running,
            ended_runs=self.completions[:MAX_LISTED_ENDS],
            born=self.born,
        )

    def _acknowledge(self, last_seen: int) -> None:
        while self.completions and self.completions[0][0] <= last_seen:
            number = self.completions.pop(0)[0]
            record = self._records_by_completion.pop(number)
            record.acknowledged_at = time.monotonic()

    def _percent(self, record: RunRecord) -> int:
        if self.is_sick:
            return 0
        share = time.monotonic() - record.started_at
        return min(99, int(100 * share / max(record.took_s, 0.001)))

    def update_runs(self) -> None:
        """End the runs that are over, each at its exact time."""
        now = time.monotonic()
        lease_end_at = self._lease_end_at
        for record in list(self.running.values()):
            done_at = record.started_at + record.took_s
            if self._is_sick:
                done_at = float('inf')
            # A run that made no progress for a while is done when it resumes.
            done_at = max(done_at, self._updated_at)
            if min(done_at, lease_end_at) > now:
                continue
            if done_at < lease_end_at:
                self._complete(record, 'done', done_at)
            else:
                self._complete(record, 'lapsed', lease_end_at)
        self._updated_at = now

    def _complete(self, record: RunRecord, how: str, at: float) -> None:
        del self.running[record.task, record.number]
        record.ended_at, record.how = at, how
        record.lease_end_at = self._lease_end_at
        self.last_completion += 1
        self._records_by_completion[self.last_completion] = record
        self.stopped[record.task] = max(
            self.stopped.get(record.task, 0), record.number
        )
        self.completions.append(
            [self.last_completion, record.task, record.number, how, '']
        )
