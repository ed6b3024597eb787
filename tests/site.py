"""Simulated platform on loopback: a store, a policy service and workers.

It implements the part of the platform's protocol that the tests need.
"""

import asyncio
import base64
import json
import random
from typing import Any

from aiohttp import web
from tests import siteworker

from celeryshift_cellnode import errors
from celeryshift_cellnode import ports
from celeryshift_standins import rowstore

KEY = 'key-of-the-ministry'
HOST = 'calls.example'
PREFIX = '/field/'
UPSTREAM = siteworker.UPSTREAM
LOOPBACK = siteworker.LOOPBACK
# Data centres of the workers, in turn.
ZONES = ('a', 'b', 'c')
# Orders to a worker that has restarted are never answered, and would keep the
# platform open for much longer.
CLOSE_S = 0.5
# Decisions that take no longer are made at once.
FAST_DECISION_MS = 5
UPDATE_S = 0.05
# A transaction that takes longer than this is applied late.
STORE_TIMEOUT_S = 1.0
# How long a connection stays open if its answer is lost. No client waits this
# long.
LOST_ANSWER_DELAY_S = 8.0
SILENT_S = 8.0


class FakePlatform:
    """Server of the store, the policy service and some workers."""

    def __init__(self, workers: int = 3) -> None:
        self.rows = rowstore.RowStore()
        self.workers = [
            siteworker.FakeWorker(f'i-{number}', ZONES[number % len(ZONES)])
            for number in range(workers)
        ]
        # Addresses of the workers, in their order, and a spare one, at which
        # a worker listens that is not registered.
        self.addresses: list[siteworker.Address] = []
        self._stranger = siteworker.FakeWorker('i-stranger')
        self.runners: list[web.ServerRunner] = []
        self.port = 0
        # Time that the policy service needs for a decision.
        self.decision_ms = 5
        # Whether the store refuses all calls.
        self.is_away = False
        # Whether it answers no call that it receives.
        self.is_silent = False
        # Millicores that the team may use; 0 for no limit.
        self.maximum_cpu = 0
        # This fraction of the transactions is applied but not answered.
        self.lost_share = 0.0
        self._random = random.Random(0)
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start to listen; store the configuration and the workers."""
        self.port = await self._listen(self._answer)
        for worker in (*self.workers, self._stranger):
            port = await self._listen(self._answer_as_worker)
            worker.address = siteworker.Address(port, port, worker)
            self.addresses.append(worker.address)
        self.configure()
        self.write_workers()
        self._tasks = [
            asyncio.create_task(self._send_heartbeats()),
            asyncio.create_task(self._update_runs()),
        ]

    async def close(self) -> None:
        """Stop listening."""
        for task in self._tasks:
            task.cancel()
        for runner in self.runners:
            await runner.cleanup()

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(1.0)
            self.write_workers()

    async def _update_runs(self) -> None:
        while True:
            await asyncio.sleep(UPDATE_S)
            for worker in self.workers:
                worker.update_runs()

    async def _answer_as_worker(self, request: web.BaseRequest) -> Any:
        assert request.transport is not None
        port = request.transport.get_extra_info('sockname')[1]
        (address,) = [a for a in self.addresses if a.listen_port == port]
        delay_s = address.occupant.choose_delay_s()
        # By then another incarnation or worker may listen at the port.
        await asyncio.sleep(delay_s)
        return await address.occupant.answer(request, delay_s > 0)

    def restart(self, worker: siteworker.FakeWorker) -> None:
        """Restart a worker under its id at the same port."""
        worker.restart()
        self.write_workers()

    def move(self, worker: siteworker.FakeWorker) -> None:
        """Restart a worker under its id at the spare address."""
        old, spare = worker.address, self._stranger.address
        assert old is not None
        assert spare is not None
        old.occupant, spare.occupant = self._stranger, worker
        worker.address, self._stranger.address = spare, old
        self.restart(worker)

    def write_workers(self) -> None:
        """Store the entries of the workers."""
        for worker in self.workers:
            if worker.is_unreported:
                continue
            value = json.dumps(worker.entry()).encode()
            self.rows.put('servers', '', worker.name, value)

    def configure(
        self,
        version: int = 1,
        keys: tuple[str, ...] = (KEY,),
        more_routes: int = 0,
    ) -> None:
        """Store a configuration, with routes that nobody uses."""
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
            'advice': {
                'decision_ms': self.decision_ms,
                'each_ms': 1,
                'validity_ms': 2000,
            },
        }
        document = {
            'version': version,
            'routes': [
                route,
                *(
                    {**route, 'name': f'q{n}', 'path_prefix': f'/q{n}/'}
                    for n in range(more_routes)
                ),
            ],
            'services': [{'name': UPSTREAM}],
            'limits': {},
            'tenants': [
                {
                    'name': 'ministry',
                    'api_keys': list(keys),
                    'maximum': {'cpu': self.maximum_cpu},
                }
            ],
        }
        self.rows.put('op', '', 'config', json.dumps(document).encode())

    async def _listen(self, handler: Any) -> int:
        runner = web.ServerRunner(
            web.Server(handler, access_log=None), shutdown_timeout=CLOSE_S
        )
        await runner.setup()
        await web.TCPSite(runner, LOOPBACK, 0).start()
        self.runners.append(runner)
        return runner.addresses[0][1]

    async def _answer(self, request: web.BaseRequest) -> web.Response:
        name = request.path.rpartition('/')[2]
        if name == 'advise':
            body = json.loads(await request.read())
            if self.decision_ms > FAST_DECISION_MS:
                await asyncio.sleep(self.decision_ms / 1000)
            good = [[worker, 'ticket'] for worker in body['workers']]
            return web.json_response({'good': good, 'validity_ms': 2000})
        if self.is_away:
            return web.Response(status=503)
        if self.is_silent:
            # Nothing was done, though the caller can't know.
            await asyncio.sleep(SILENT_S)
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
        try:
            answer = await self.rows.transact(change, STORE_TIMEOUT_S)
        except errors.StoreRejectedError as error:
            return web.json_response({'error': str(error)}, status=400)
        if self._random.random() < self.lost_share:
            await asyncio.sleep(LOST_ANSWER_DELAY_S)
        if isinstance(answer, ports.Conflict):
            rows = [encode(row) for row in answer.rows.values()]
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
        rows = [encode(row) for row in read.rows]
        return web.json_response(
            {
                'rows': rows,
                'row_version': read.version,
                'more_pages': read.has_more,
            }
        )


def _key(entry: dict[str, Any]) -> ports.Key:
    return ports.Key(entry['table'], entry['key'])


def encode(row: ports.Row) -> dict[str, Any]:
    """Return a row as the store's answers have it."""
    return {
        'table': row.table,
        'part': row.part,
        'key': row.key,
        'value': base64.b64encode(row.value).decode(),
        'row_version': row.version,
        'removed': row.is_removed,
    }
