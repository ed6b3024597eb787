"""Outcomes of requests whose worker stops answering."""

import asyncio
import contextlib

from aiohttp import web
import attrs
import pytest

import celeryshift_core as core
from celeryshift_core import effects
from celeryshift_core import events
from celeryshift_net import pools
from celeryshift_node import _workers

LOOPBACK = '127.0.0.1'
SILENT_AFTER_S = 0.05
STATUS_S = 0.2
TIMEOUT_S = 2.0


@contextlib.asynccontextmanager
async def _client():
    channels = pools.ChannelPool()
    workers = _workers.Workers(channels, SILENT_AFTER_S)
    try:
        yield workers
    finally:
        await workers.close()
        await channels.close()


@contextlib.asynccontextmanager
async def _serve(app):
    runner = web.AppRunner(app, shutdown_timeout=0)
    await runner.setup()
    site = web.TCPSite(runner, LOOPBACK, 0)
    await site.start()
    try:
        yield site, f'{LOOPBACK}:{runner.addresses[0][1]}'
    finally:
        await runner.cleanup()


@contextlib.asynccontextmanager
async def _worker_that_stops_listening():
    """Run a worker that ends a request, but answers only a status query."""

    released = asyncio.Event()

    async def handle_request(request):
        await released.wait()
        return web.Response()

    async def handle_status(request):
        await site.stop()
        return web.json_response({'phase': 'ended'})

    app = web.Application()
    app.router.add_post('/v1/requests', handle_request)
    app.router.add_post('/v1/status', handle_status)
    async with _serve(app) as (site, address):
        yield address
        released.set()


def _send(address):
    return effects.SendRequest(
        'r1',
        1,
        'r1.1',
        'w1',
        address,
        'ministry',
        'seal',
        core.Size(1),
        False,
        TIMEOUT_S,
        TIMEOUT_S,
    )


def test_a_query_that_is_not_sent_does_not_show_that_its_request_was_not():
    async def query():
        async with _worker_that_stops_listening() as address:
            pass
        async with _client() as workers:
            return await workers.query_outcome(
                effects.QueryOutcome('r1', 1, 'r1.1', 'w1', address, TIMEOUT_S)
            )

    outcome, _, _ = asyncio.run(query())
    assert outcome is events.Outcome.UNKNOWN


def test_a_request_that_ended_is_not_taken_as_unsent_if_its_worker_is_gone():
    async def send():
        async with (
            _worker_that_stops_listening() as address,
            _client() as workers,
        ):
            return await workers.request(_send(address), None)

    outcome, _, _ = asyncio.run(send())
    assert outcome is events.Outcome.UNKNOWN


@contextlib.asynccontextmanager
async def _worker_that_loses_its_answer(second_status):
    """Run a worker that runs a request, forgets it, and refuses it then."""

    async def handle_request(request):
        runs.append((await request.json())['run_id'])
        if len(runs) > 1:
            return web.json_response({}, status=second_status)
        await released.wait()
        return web.Response()

    async def handle_status(request):
        return web.json_response({'phase': 'unknown'})

    runs = []
    released = asyncio.Event()
    app = web.Application()
    app.router.add_post('/v1/requests', handle_request)
    app.router.add_post('/v1/status', handle_status)
    async with _serve(app) as (_, address):
        yield address
        released.set()


@pytest.mark.parametrize('status', [409, 503])
def test_a_refused_second_copy_does_not_show_that_the_first_did_not_run(
    status,
):
    async def send():
        async with (
            _worker_that_loses_its_answer(status) as address,
            _client() as workers,
        ):
            request = attrs.evolve(_send(address), repeatable=True)
            return await workers.request(request, None)

    outcome, _, _ = asyncio.run(send())
    assert outcome is events.Outcome.UNKNOWN


def _post_answers(document):
    """Return an application that gives the same answer to every call."""

    async def handle(request):
        return web.json_response(document)

    app = web.Application()
    app.router.add_post('/v1/{call}', handle)
    return app


MALFORMED = [{}, [], None, 'ok', {'run_id': 'r1.1', 'answer': 1}]


@pytest.mark.parametrize('document', MALFORMED)
def test_a_malformed_answer_to_a_request_is_none(document):
    async def send():
        async with (
            _serve(_post_answers(document)) as (_, address),
            _client() as workers,
        ):
            sent = await workers.request(_send(address), None)
            query = effects.QueryOutcome(
                'r1', 1, 'r1.1', 'w1', address, TIMEOUT_S
            )
            return sent, await workers.query_outcome(query)

    for outcome, _, _ in asyncio.run(send()):
        assert outcome is events.Outcome.UNKNOWN


@pytest.mark.parametrize(
    'document',
    [
        *MALFORMED,
        {'cursor': 'c', 'whole': True, 'tasks': None},
        {'cursor': 'c', 'whole': True, 'tasks': [{'id': 'r1.1'}]},
        {'cursor': 7, 'whole': True, 'tasks': []},
        {'cursor': 'c', 'whole': 'no', 'tasks': []},
    ],
)
def test_a_malformed_list_of_a_worker_is_no_list(document):
    async def sync():
        async with (
            _serve(_post_answers(document)) as (_, address),
            _client() as workers,
        ):
            return await workers.sync(
                effects.SyncWorker(0, 1, 'w1', address, '', (), 0.0, 15.0, 0.0)
            )

    assert asyncio.run(sync()) == ('', False, None)


def test_a_second_copy_does_not_run_past_the_deadline_of_the_first():
    async def handle_request(request):
        timeouts_s.append((await request.json())['timeout_s'])
        if len(timeouts_s) == 1:
            await released.wait()
        return web.json_response({})

    async def handle_status(request):
        await asyncio.sleep(STATUS_S)
        return web.json_response({'phase': 'unknown'})

    async def send():
        async with _serve(app) as (_, address), _client() as workers:
            request = attrs.evolve(_send(address), repeatable=True)
            await workers.request(request, None)
            released.set()

    timeouts_s = []
    released = asyncio.Event()
    app = web.Application()
    app.router.add_post('/v1/requests', handle_request)
    app.router.add_post('/v1/status', handle_status)
    asyncio.run(send())
    first_s, second_s = timeouts_s
    assert second_s <= first_s - SILENT_AFTER_S - STATUS_S
