"""Fake worker over HTTP: its tasks only take time."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import os
import sys
import time
from typing import Any

from aiohttp import web
import fire

from celeryshift_standins import _server
from celeryshift_standins import _tasktable

MAX_BODY_BYTES = 4 * 1024 * 1024
POLL_S = 0.02
HANG_S = 3600.0

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class Worker:
    """Server of the worker protocol, with runs that are simulated."""

    def __init__(self) -> None:
        self.tasks = _tasktable.TaskTable(boot=f'{os.getpid():x}')
        self.refuses = False
        self.silence_mode: str | None = None
        self._connections: set = set()
        self._silent_connections: set = set()

    def app(self) -> web.Application:
        """Return the web application of this worker."""
        app = web.Application(
            client_max_size=MAX_BODY_BYTES, middlewares=[self._hang_if_silent]
        )
        app.router.add_post('/v1/sync', self._sync)
        app.router.add_post('/v1/tasks', self._start)
        app.router.add_post('/v1/stop', self._stop)
        app.router.add_post('/v1/throttle', self._throttle)
        app.router.add_post('/v1/requests', self._request)
        app.router.add_post('/v1/outcomes', self._outcome)
        app.router.add_post('/v1/status', self._status)
        app.router.add_post('/control/faults', self._set_faults)
        app.router.add_get('/control/history', self._history)
        return app

    async def _sync(self, request: web.Request) -> web.Response:
        body = await request.json()
        deadline = time.monotonic() + body['wait_s']
        self.tasks.sync(
            time.monotonic(),
            body['cursor'],
            body['lease_s'],
            body['acknowledged'],
        )
        while time.monotonic() < deadline:
            self.tasks.advance(time.monotonic())
            if self.tasks.has_changes(body['cursor']):
                break
            await asyncio.sleep(POLL_S)
        cursor, is_full, runs = self.tasks.sync(
            time.monotonic(), body['cursor'], body['lease_s'], []
        )
        return web.json_response(
            {
                'cursor': cursor,
                'whole': is_full,
                'tasks': [_encode_run(run) for run in runs],
            }
        )

    async def _start(self, request: web.Request) -> web.Response:
        body = await request.json()
        if self.refuses:
            raise web.HTTPConflict
        payload = body.get('payload') or {}
        self.tasks.start(
            time.monotonic(),
            body['run_id'],
            body['team'],
            body['kind'],
            body['size'],
            min(payload.get('run_s', 0.0), body['max_run_s']),
            body['lease_s'],
            payload.get('fail', False),
        )
        return web.json_response({'run_id': body['run_id']}, status=201)

    async def _stop(self, request: web.Request) -> web.Response:
        body = await request.json()
        stopped = self.tasks.stop(time.monotonic(), body['run_id'])
        return web.json_response({'stopped': stopped})

    async def _throttle(self, request: web.Request) -> web.Response:
        body = await request.json()
        run = self.tasks.runs_by_id.get(body['run_id'])
        if run is not None:
            run.throttled = True
        return web.json_response({'throttled': run is not None})

    async def _request(self, request: web.Request) -> web.Response:
        body = await request.json()
        if self.refuses:
            raise web.HTTPConflict
        payload: Any = body.get('payload')
        options = payload if isinstance(payload, dict) else {}
        run_s = min(options.get('run_s', 0.0), body['timeout_s'])
        run = self.tasks.start(
            time.monotonic(),
            body['run_id'],
            body['team'],
            body['kind'],
            body['size'],
            run_s,
            None,
            options.get('fail', False),
            payload,
        )
        if run_s > 0:
            await asyncio.sleep(run.ends_at - time.monotonic())
        self.tasks.advance(time.monotonic())
        self.tasks.mark_answered(run.id)
        return web.json_response(_request_result(run))

    async def _status(self, request: web.Request) -> web.Response:
        body = await request.json()
        self.tasks.advance(time.monotonic())
        run = self.tasks.runs_by_id.get(body['run_id'])
        phase = run.phase.value if run is not None else 'unknown'
        return web.json_response({'phase': phase})

    @web.middleware
    async def _hang_if_silent(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        if request.path.startswith('/control/'):
            return await handler(request)
        connection = request.protocol
        self._connections.add(connection)
        silent = connection in self._silent_connections
        if silent and self.silence_mode == 'before':
            await asyncio.sleep(HANG_S)
        response = await handler(request)
        if silent:
            await asyncio.sleep(HANG_S)
        return response

    async def _outcome(self, request: web.Request) -> web.Response:
        body = await request.json()
        run = self.tasks.runs_by_id.get(body['run_id'])
        if run is None:
            raise web.HTTPNotFound
        await asyncio.sleep(max(0.0, run.ends_at - time.monotonic()))
        self.tasks.advance(time.monotonic())
        return web.json_response(_request_result(run))

    async def _set_faults(self, request: web.Request) -> web.Response:
        body = await request.json()
        self.refuses = body.get('refuses', self.refuses)
        if 'silence' in body:
            # Connections that are open now never answer again: a request over
            # them hangs before it is handled ('before'), or after it has run.
            self.silence_mode = body['silence']
            self._silent_connections.update(self._connections)
        self.tasks.fails_all = body.get('fails_all', self.tasks.fails_all)
        return web.json_response({})

    async def _history(self, request: web.Request) -> web.Response:
        self.tasks.advance(time.monotonic())
        runs = [
            {
                **_encode_run(run),
                'started_at': run.started_at,
                'ended_at': run.ended_at,
            }
            for run in self.tasks.history
        ]
        return web.json_response(runs)


def _encode_run(run: _tasktable.Run) -> dict[str, Any]:
    return {
        'id': run.id,
        'phase': run.phase.value,
        'team': run.team,
        'kind': run.kind,
        'size': run.size,
        'request': run.request,
        'used': run.used,
    }


def _request_result(run: _tasktable.Run) -> dict[str, Any]:
    failed = run.phase is _tasktable.Phase.FAILED
    return {'run_id': run.id, 'failed': failed, 'answer': run.answer}


def main(host: str = '127.0.0.1', port: int = 0) -> None:
    """Serve a fake worker until SIGTERM."""
    _server.serve(Worker().app(), host, port)


if __name__ == '__main__':
    fire.Fire(main, command=sys.argv[1:])
