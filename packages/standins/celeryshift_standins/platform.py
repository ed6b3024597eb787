"""Fake platform over HTTP: tables, objects and the VM list."""

import asyncio
import sys
from typing import Any

from aiohttp import web
import fire

from celeryshift_standins import _server
from celeryshift_standins import _table

MAX_BODY_BYTES = 16 * 1024 * 1024


class Platform:
    """In-memory table service, object store and VM list."""

    def __init__(self) -> None:
        self.table = _table.Table()
        self.objects_by_name: dict[str, bytes] = {}
        self.vms_by_name: dict[str, tuple[int, dict]] = {}
        self.revision = 0
        self.down = False
        self.slow_s = 0.0
        self.answers_to_lose = 0

    def app(self) -> web.Application:
        """Return the web application of this platform."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_post('/v1/transactions', self._transact)
        app.router.add_post('/v1/reads', self._read)
        app.router.add_get('/v1/vms', self._vms)
        app.router.add_put('/v1/objects/{name:.+}', self._put_object)
        app.router.add_get('/v1/objects/{name:.+}', self._get_object)
        app.router.add_post('/control/faults', self._set_faults)
        app.router.add_post('/control/vms', self._set_vms)
        app.router.add_get('/control/counts', self._counts)
        return app

    async def _transact(self, request: web.Request) -> web.Response:
        await self._apply_faults(request)
        body = await request.json()
        result = self.table.transact(
            body['checks'], body['puts'], body['deletes'], body['prefixes']
        )
        if self.answers_to_lose > 0:
            self.answers_to_lose -= 1
            _abort_connection(request)
        return _to_response(result)

    async def _read(self, request: web.Request) -> web.Response:
        await self._apply_faults(request)
        body = await request.json()
        return _to_response(self.table.read(body['keys'], body['prefixes']))

    async def _vms(self, request: web.Request) -> web.Response:
        await self._apply_faults(request)
        after = int(request.query.get('after', '0'))
        vms = [
            vm
            for revision, vm in self.vms_by_name.values()
            if revision > after
        ]
        return web.json_response({'revision': self.revision, 'vms': vms})

    async def _put_object(self, request: web.Request) -> web.Response:
        await self._apply_faults(request)
        name = request.match_info['name']
        self.objects_by_name[name] = await request.read()
        return web.Response(status=204)

    async def _get_object(self, request: web.Request) -> web.Response:
        await self._apply_faults(request)
        body = self.objects_by_name.get(request.match_info['name'])
        if body is None:
            raise web.HTTPNotFound
        return web.Response(body=body)

    async def _set_faults(self, request: web.Request) -> web.Response:
        body = await request.json()
        self.down = body.get('down', self.down)
        self.slow_s = body.get('slow_s', self.slow_s)
        self.answers_to_lose = body.get('lose', self.answers_to_lose)
        return web.json_response({})

    async def _set_vms(self, request: web.Request) -> web.Response:
        for vm in await request.json():
            self.revision += 1
            self.vms_by_name[vm['name']] = (self.revision, vm)
        return web.json_response({'revision': self.revision})

    async def _counts(self, request: web.Request) -> web.Response:
        counts = {'writes': self.table.writes, 'reads': self.table.reads}
        return web.json_response(counts)

    async def _apply_faults(self, request: web.Request) -> None:
        if self.slow_s:
            await asyncio.sleep(self.slow_s)
        if self.down:
            _abort_connection(request)


def _abort_connection(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()
    raise web.HTTPServiceUnavailable


def _to_response(result: _table.TableResult) -> web.Response:
    body: dict[str, Any] = {
        'ok': result.ok,
        'version': result.version,
        'rows': result.rows,
    }
    return web.json_response(body, status=200 if result.ok else 409)


def main(host: str = '127.0.0.1', port: int = 0) -> None:
    """Serve a fake platform until SIGTERM."""
    _server.serve(Platform().app(), host, port)


if __name__ == '__main__':
    fire.Fire(main, command=sys.argv[1:])
