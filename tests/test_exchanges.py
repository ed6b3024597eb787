"""Whether a failed call is reported as certainly not sent, by each client."""

import asyncio
import socket

from aiohttp import web
import pytest
import uvloop

from celeryshift_net import exchanges
from celeryshift_net import http1
from celeryshift_net import pools

TIMEOUT_S = 0.3
CLIENTS = {
    'pools': (pools.ChannelPool, asyncio.run),
    'http1': (http1.ChannelPool, asyncio.run),
    'http1 on uvloop': (http1.ChannelPool, uvloop.run),
}


# Size of each chunk of an answer, number of chunks, pause between them, and
# share of the announced length that is sent.
CHUNKS = {
    '/large': (16_384, 10, TIMEOUT_S / 3, 1),
    '/drip': (10, 100, TIMEOUT_S / 10, 1),
    '/stalled': (16_384, 4, 0.0, 2),
}


class Server:
    """Server that counts the calls that it received."""

    def __init__(self) -> None:
        self.calls = 0
        self.location = ''

    async def handle_request(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Answer, reset the connection or stay silent, as the path says."""
        await request.read()
        self.calls += 1
        if request.path == '/reset':
            assert request.transport is not None
            request.transport.abort()
        elif request.path == '/silent':
            await asyncio.sleep(2 * TIMEOUT_S)
        elif request.path in CHUNKS:
            return await _answer_in_chunks(request, *CHUNKS[request.path])
        elif request.path.startswith('/redirect/'):
            status = int(request.path.rpartition('/')[2])
            headers = {'Location': self.location}
            return web.Response(status=status, headers=headers)
        return web.Response(text='{}')


async def _answer_in_chunks(
    request: web.BaseRequest, size: int, count: int, pause_s: float, share: int
) -> web.StreamResponse:
    response = web.StreamResponse()
    response.content_length = size * count * share
    await response.prepare(request)
    for _ in range(count):
        await response.write(b'x' * size)
        await asyncio.sleep(pause_s)
    if share > 1:
        await asyncio.sleep(3 * TIMEOUT_S)
    return response


async def _listen(server: Server) -> tuple[web.ServerRunner, str]:
    runner = web.ServerRunner(web.Server(server.handle_request))
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    port = runner.addresses[0][1]
    return runner, f'127.0.0.1:{port}'


def _closed_address() -> str:
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{probe.getsockname()[1]}'


async def _post(channels, address, path):
    return await exchanges.exchange(
        channels.get(address),
        'POST',
        f'http://{address}{path}',
        b'{}',
        TIMEOUT_S,
    )


@pytest.fixture(params=CLIENTS, name='run')
def _run(request):
    make_channels, run = CLIENTS[request.param]
    return lambda work: run(_bounded(work, make_channels()))


async def _bounded(work, channels):
    server = Server()
    runner, address = await _listen(server)
    server.location = f'http://{_closed_address()}/'
    try:
        async with asyncio.timeout(10):
            await work(server, channels, address)
    finally:
        await channels.close()
        await runner.cleanup()


@pytest.mark.parametrize('path', ['/reset', '/silent'])
@pytest.mark.parametrize('is_reused', [False, True])
def test_a_call_that_was_received_may_have_been_executed(path, is_reused, run):
    async def work(server, channels, address):
        if is_reused:
            await _post(channels, address, '/')
        calls = server.calls
        with pytest.raises(exchanges.NoAnswerError):
            await _post(channels, address, path)
        assert server.calls == calls + 1

    run(work)


def test_an_answer_that_is_arriving_is_not_discarded_at_the_timeout(run):
    async def work(server, channels, address):
        status, body = await _post(channels, address, '/large')
        assert status == 200
        size, count, _, _ = CHUNKS['/large']
        assert len(body) == size * count

    run(work)


@pytest.mark.parametrize('path', ['/drip', '/stalled'])
def test_an_answer_that_stops_arriving_fails_at_about_the_timeout(path, run):
    async def work(server, channels, address):
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        with pytest.raises(exchanges.NoAnswerError):
            await _post(channels, address, path)
        assert loop.time() - started_at < 2.5 * TIMEOUT_S

    run(work)


@pytest.mark.parametrize('status', [301, 302, 303, 307, 308])
def test_a_call_that_is_redirected_is_not_reported_as_unsent(status, run):
    # The server that received the call named an address without a listener.
    async def work(server, channels, address):
        answer, _ = await _post(channels, address, f'/redirect/{status}')
        assert answer == status
        assert server.calls == 1

    run(work)


def test_a_connection_that_the_server_closed_is_not_reported_as_unsent(run):
    async def work(server, channels, address):
        await _post(channels, address, '/')
        runner, other = await _listen(server)
        await _post(channels, other, '/')
        await runner.cleanup()
        with pytest.raises(exchanges.ExchangeError):
            await _post(channels, other, '/')
        assert server.calls == 2

    run(work)


def test_nothing_is_sent_where_nothing_listens(run):
    async def work(server, channels, address):
        with pytest.raises(exchanges.NotListeningError):
            await _post(channels, _closed_address(), '/')

    run(work)


def test_a_call_that_is_cancelled_while_it_connects_is_never_sent(run):
    async def work(server, channels, address):
        calls = [
            asyncio.ensure_future(_post(channels, address, '/'))
            for _ in range(20)
        ]
        await asyncio.sleep(0)
        for call in calls:
            call.cancel()
        await asyncio.sleep(TIMEOUT_S)
        assert all(call.cancelled() for call in calls)
        assert server.calls == 0

    run(work)
