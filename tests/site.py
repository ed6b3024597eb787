"""Simulated platform on loopback: a store, a policy service and workers.

It implements the part of the platform's protocol that the tests need.
"""

import asyncio
import base64
import json
import random
import time
from typing import Any

from aiohttp import web

from celeryshift_cellnode import ports
from celeryshift_standins import rowstore

TICK_S = 0.01
MS_PER_S = 1000
KEY = 'key-of-the-ministry'
HOST = 'calls.example'
PREFIX = '/field/'
UPSTREAM = 'coding'
LOOPBACK = '127.0.0.1'
# A transaction that takes longer than this is applied late.
STORE_TIMEOUT_S = 1.0
# How long a connection stays open if its answer is lost. No client waits this
# long.
LOST_ANSWER_DELAY_S = 8.0


class FakeWorker:
    """Worker whose tasks only wait."""

    def __init__(self, name: str, cores: int = 32) -> None:
        self.name = name
        self.cores = cores
        self.born = int(time.time() * MS_PER_S)
        self.fence = 0
        self.lease_until_ms = 0.0
        # Start time and duration of each run, in seconds, by task and run
        # number.
        self.running: dict[tuple[str, int], tuple[float, float]] = {}
        # Highest run number of each task that has ended or been stopped; the
        # worker does not start this run or an earlier one.
        self.stopped: dict[str, int] = {}
        # Completions that the owner has not acknowledged, in the format of the
        # protocol: number, task, run number, result and checkpoint.
        self.completions: list[list[Any]] = []
        self.last_completion = 0
        # All starts that were carried out, for checks in tests.
        self.starts: list[tuple[str, int]] = []
        self.done: list[str] = []
        self.is_silent = False
        # Whether runs make no progress.
        self.is_sick = False
        self.port = 0

    @property
    def clock_ms(self) -> int:
        """Return the time of the worker's own clock."""
        return int(time.monotonic() * MS_PER_S)

    def entry(self) -> dict[str, Any]:
        """Return the entry that the worker writes to the store."""
        return {
            'service': UPSTREAM,
            'address': f'{LOOPBACK}:{self.port}',
            'zone': 'a',
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

    async def answer(self, request: web.BaseRequest) -> web.Response:
        """Answer an order."""
        body = json.loads(await request.read())
        if self.is_silent:
            await asyncio.sleep(3600)
        name = request.path.rpartition('/')[2]
        if body['fencing_token'] < self.fence:
            return self._refuse('fence')
        self.fence = body['fencing_token']
        self._update_runs()
        if name == 'run-start':
            return self._start(body)
        if name == 'run-stop':
            return self._stop(body)
        return await self._poll(body)

    def _respond(self, status: int = 200, **body: Any) -> web.Response:
        body['clock_ms'] = self.clock_ms
        return web.json_response(body, status=status)

    def _refuse(self, reason: str) -> web.Response:
        return self._respond(409, reason=reason)

    def _start(self, body: dict[str, Any]) -> web.Response:
        task, run = body['task'], body['run']
        if (task, run) in self.running:
            return self._respond()
        if run <= self.stopped.get(task, 0):
            return self._refuse('old')
        if body['deadline_ms'] < self.clock_ms:
            return self._refuse('late')
        self.lease_until_ms = max(self.lease_until_ms, body['deadline_ms'])
        took_s = json.loads(body['spec'])['took_s']
        self.running[task, run] = (time.monotonic(), took_s)
        self.starts.append((task, run))
        return self._respond()

    def _stop(self, body: dict[str, Any]) -> web.Response:
        task, run = body['task'], body['run']
        self.stopped[task] = max(self.stopped.get(task, 0), run)
        if self.running.pop((task, run), None) is not None:
            self._complete(task, run, 'stopped')
        return self._respond()

    async def _poll(self, body: dict[str, Any]) -> web.Response:
        self.lease_until_ms = max(
            self.lease_until_ms, body.get('deadline_ms', 0)
        )
        wait_until = time.monotonic() + body.get('wait_ms', 0) / MS_PER_S
        last_seen = body['last_seen']
        self.completions = [
            completion
            for completion in self.completions
            if completion[0] > last_seen
        ]
        while not self.completions and time.monotonic() < wait_until:
            await asyncio.sleep(TICK_S)
            self._update_runs()
        running = [
            [task, run, '', self._percent(started_at, took_s)]
            for (task, run), (started_at, took_s) in self.running.items()
        ]
        return self._respond(
            running=running, ended_runs=self.completions, born=self.born
        )

    def _percent(self, started_at: float, took_s: float) -> int:
        if self.is_sick:
            return 0
        share = (time.monotonic() - started_at) / max(took_s, 0.001)
        return min(99, int(100 * share))

    def _update_runs(self) -> None:
        if self.clock_ms > self.lease_until_ms:
            for task, run in list(self.running):
                del self.running[task, run]
                self._complete(task, run, 'lapsed')
        now = time.monotonic()
        for (task, run), (started_at, took_s) in list(self.running.items()):
            if started_at + took_s <= now and not self.is_sick:
                del self.running[task, run]
                self.done.append(task)
                self._complete(task, run, 'done')

    def _complete(self, task: str, run: int, how: str) -> None:
        self.last_completion += 1
        self.stopped[task] = max(self.stopped.get(task, 0), run)
        self.completions.append([self.last_completion, task, run, how, ''])


class FakePlatform:
    """Server of the store, the policy service and some workers."""

    def __init__(self, workers: int = 3) -> None:
        self.rows = rowstore.RowStore()
        self.workers = [FakeWorker(f'i-{number}') for number in range(workers)]
        self.runners: list[web.ServerRunner] = []
        self.port = 0
        # Whether the store refuses all calls.
        self.is_away = False
        # This fraction of the transactions is applied but not answered.
        self.lost_share = 0.0
        self._random = random.Random(0)
        self._heartbeat_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to listen; store the configuration and the workers."""
        self.port = await self._listen(self._answer)
        for worker in self.workers:
            worker.port = await self._listen(worker.answer)
        self.configure()
        self._write_workers()
        self._heartbeat_task = asyncio.create_task(self._send_heartbeats())

    async def close(self) -> None:
        """Stop listening."""
        assert self._heartbeat_task is not None
        self._heartbeat_task.cancel()
        for runner in self.runners:
            await runner.cleanup()

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(1.0)
            self._write_workers()

    def _write_workers(self) -> None:
        for worker in self.workers:
            value = json.dumps(worker.entry()).encode()
            self.rows.put('servers', '', worker.name, value)

    def configure(self, version: int = 1, keys: tuple[str, ...] = (KEY,)):
        """Store a configuration."""
        route = {
            'name': 'field',
            'host': HOST,
            'path_prefix': PREFIX,
            'kind': 'unsafe',
            'service': UPSTREAM,
            'priority': 0,
            'max_attempts': 3,
            'stretch': 2,
            'target_duration_ms': 250,
            'advice': {'decision_ms': 5, 'each_ms': 1, 'validity_ms': 2000},
        }
        document = {
            'version': version,
            'routes': [route],
            'services': [{'name': UPSTREAM}],
            'limits': {},
            'tenants': [{'name': 'ministry', 'api_keys': list(keys)}],
        }
        self.rows.put('op', '', 'config', json.dumps(document).encode())

    async def _listen(self, handler: Any) -> int:
        runner = web.ServerRunner(web.Server(handler, access_log=None))
        await runner.setup()
        await web.TCPSite(runner, LOOPBACK, 0).start()
        self.runners.append(runner)
        return runner.addresses[0][1]

    async def _answer(self, request: web.BaseRequest) -> web.Response:
        name = request.path.rpartition('/')[2]
        if name == 'advise':
            body = json.loads(await request.read())
            good = [[worker, 'ticket'] for worker in body['workers']]
            return web.json_response({'good': good, 'validity_ms': 2000})
        if self.is_away:
            return web.Response(status=503)
        if name == 'rows-tx':
            return await self._transact(json.loads(await request.read()))
        return await self._read(name, request.query)

    async def _transact(self, body: dict[str, Any]) -> web.Response:
        entries = body['precondition'] + body['set_keys'] + body['remove']
        (part,) = {entry['part'] for entry in entries}
        change = ports.Transaction(
            part,
            {_key(e): e['row_version'] for e in body['precondition']},
            {_key(e): base64.b64decode(e['value']) for e in body['set_keys']},
            [_key(entry) for entry in body['remove']],
        )
        answer = await self.rows.transact(change, STORE_TIMEOUT_S)
        if self._random.random() < self.lost_share:
            await asyncio.sleep(LOST_ANSWER_DELAY_S)
        if isinstance(answer, ports.Conflict):
            rows = [_encode(row) for row in answer.rows.values()]
            return web.json_response({'rows': rows}, status=412)
        return web.json_response({'row_version': answer.version})

    async def _read(self, name: str, query: Any) -> web.Response:
        if name == 'rows-feed':
            read = await self.rows.read_changes(
                query['table'], int(query['after']), int(query['wait_ms'])
            )
        else:
            read = await self.rows.read(
                query['table'],
                query['part'],
                query.get('from', ''),
                query.get('to'),
            )
        rows = [_encode(row) for row in read.rows]
        return web.json_response({'rows': rows, 'row_version': read.version})


def _key(entry: dict[str, Any]) -> ports.Key:
    return ports.Key(entry['table'], entry['key'])


def _encode(row: ports.Row) -> dict[str, Any]:
    return {
        'table': row.table,
        'part': row.part,
        'key': row.key,
        'value': base64.b64encode(row.value).decode(),
        'row_version': row.version,
        'removed': row.is_removed,
    }
