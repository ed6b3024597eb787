"""Calls over raw connections: reuse, retirement, limits and odd answers."""

import asyncio
import socket

import pytest
import uvloop

from celeryshift_net import _channels
from celeryshift_net import _responses
from celeryshift_net import exchanges
from celeryshift_net import http1

# Of the calls that get no answer.
TIMEOUT_S = 0.4
OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'
HEAD = b'HTTP/1.1 200 OK\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'


class Server:
    """Server whose answer to a path is bytes, or a function that writes it."""

    def __init__(self, answers):
        self.answers = answers
        self.connections = self.closed = 0
        self.paths = []
        # The connections that carried the requests.
        self.writers = []
        self.release = asyncio.Event()

    async def serve(self, reader, writer):
        """Answer the requests of a connection."""
        self.connections += 1
        try:
            while head := await reader.readuntil(b'\r\n\r\n'):
                await reader.readexactly(2)
                path = head.split()[1].decode()
                self.paths.append(path)
                self.writers.append(writer)
                answer = self.answers.get(path, OK)
                if callable(answer):
                    await answer(self, writer)
                else:
                    writer.write(answer)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed += 1
        finally:
            writer.close()


def _run(work, answers=None, limit=64):
    """Call `work` with a server, its address and a function that calls it."""

    async def run():
        server, channels = Server(answers or {}), http1.ChannelPool(limit)
        listener = await asyncio.start_server(server.serve, '127.0.0.1', 0)
        address = f'127.0.0.1:{listener.sockets[0].getsockname()[1]}'

        async def call(path='/', timeout_s=10.0, address=address, **more):
            return await exchanges.exchange(
                channels.get(address),
                'POST',
                f'http://{address}{path}',
                b'{}',
                timeout_s,
                {**exchanges.JSON_HEADERS, **more},
            )

        try:
            async with asyncio.timeout(9):
                await work(server, channels, call)
        finally:
            await channels.close()
            listener.close()

    uvloop.run(run())


async def _until(condition):
    while not condition():
        await asyncio.sleep(0.005)


async def _answer_when_released(server, writer):
    await server.release.wait()
    writer.write(OK)


async def _answer_twice(server, writer):
    writer.write(OK)
    await _answer_when_released(server, writer)


async def _close(server, writer):
    writer.close()


async def _answer_and_close(server, writer):
    writer.write(OK)
    writer.close()


async def _answer_until_the_end(server, writer):
    writer.write(HEAD + b'\r\n{}')
    writer.close()


def _read(data, step):
    reader = _responses.ResponseReader()
    reader.begin(False)
    for start in range(0, len(data), step):
        response = reader.feed(data[start : start + step])
        if response is not None:
            return response
    return reader.end()


@pytest.mark.parametrize('step', [1, 7, 10_000])
@pytest.mark.parametrize(
    ('data', 'body', 'is_kept'),
    [
        (OK, b'{}', True),
        (HEAD + b'content-length:0\r\n\r\n', b'', True),
        (HEAD + b'X: a\r\n b\r\nContent-Length: 2\r\n\r\n{}', b'{}', True),
        (HEAD + b'Connection: X, Close\r\nContent-Length: 0\r\n\r\n', b'', 0),
        (b'HTTP/1.0' + OK[8:], b'{}', False),
        (b'HTTP/1.0 200\r\nConnection: keep-alive' + OK[15:], b'{}', True),
        (HEAD + b'\r\nuntil the end', b'until the end', False),
        (
            b'HTTP/1.1 103 \r\nLink: a\r\n\r\nHTTP/1.1 100\r\n\r\n' + OK,
            b'{}',
            1,
        ),
        (b'HTTP/1.1 204 No Content\r\n\r\n', b'', True),
        (
            CHUNKED + b'2;a=b\r\n{"\r\n00A\r\n0123456789\r\n0\r\n\r\n',
            b'{"0123456789',
            1,
        ),
        (CHUNKED + b'1\r\na\r\n0\r\nTrailer: x\r\n\r\n', b'a', True),
    ],
)
def test_an_answer_is_read_however_it_is_split(data, body, is_kept, step):
    # A parser that needs a whole head or chunk at once misreads slow answers.
    response = _read(data, step)
    assert (response.body, response.is_kept) == (body, is_kept)


@pytest.mark.parametrize('step', [1, 10_000])
@pytest.mark.parametrize(
    'data',
    [
        b'SSH-2.0-x\r\n\r\n',
        b'HTTP/2 200 OK\r\n\r\n',
        b'HTTP/1.1 20 OK\r\n\r\n',
        b'HTTP/1.1 101 Switching Protocols\r\n\r\n',
        HEAD + b'No colon\r\n\r\n',
        HEAD + b'Content-Length : 2\r\n\r\n{}',
        HEAD + b'Content-Length: +2\r\n\r\n{}',
        HEAD + b'Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}',
        HEAD + b'Content-Length: 99999999999\r\n\r\n',
        HEAD + b'Transfer-Encoding: gzip, chunked\r\n\r\n',
        HEAD + b'Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n',
        b'HTTP/1.0 200\r\nTransfer-Encoding: chunked\r\n\r\n',
        HEAD + b'X: ' + b'x' * _responses.MAX_HEAD_BYTES + b'\r\n\r\n',
        CHUNKED + b'0x2\r\n{}\r\n',
        CHUNKED + b'2\r\n{}}\r\n',
        CHUNKED + b'fffffff\r\n',
        CHUNKED + b'2;' + b'x' * 2000,
    ],
)
def test_a_malformed_answer_is_rejected(data, step):
    # Guards against answers taken from the wrong bytes, and endless buffers.
    with pytest.raises(_responses.MalformedError):
        _read(data, step)


def test_a_body_without_an_end_is_bounded(monkeypatch):
    monkeypatch.setattr(_responses, 'MAX_BODY_BYTES', 100)
    for data in (HEAD + b'\r\n' + b'x' * 101, CHUNKED + b'33\r\n' * 60):
        with pytest.raises(_responses.MalformedError):
            _read(data, 10)


@pytest.mark.parametrize(
    'answer',
    [
        _close,
        b'SSH-2.0-x\r\n\r\n',
        HEAD + b'Content-Length: 9\r\nConnection: close\r\n\r\n{}',
        CHUNKED + b'2\r\n{}\r\n',
    ],
)
def test_a_call_without_a_whole_answer_may_have_been_executed(answer):
    async def cut(server, writer):
        writer.write(answer)
        writer.close()

    async def work(server, channels, call):
        await call()
        with pytest.raises(exchanges.NoAnswerError):
            await call('/cut')
        assert server.paths == ['/', '/cut']
        assert server.connections == 1
        await call()

    _run(work, {'/cut': answer if callable(answer) else cut})


def test_connections_are_reused_and_counted():
    # A client that connects for each call pays for it on both sides.
    async def work(server, channels, call):
        await asyncio.gather(call(), call())
        for _ in range(5):
            assert await call() == (200, b'{}')
        assert server.connections == 2
        # The other one becomes old enough to be closed.
        assert len(set(server.writers[2:])) == 1
        assert channels.counters == {
            'control.workers.calls': 7,
            'control.workers.sent_bytes': 14,
            'control.workers.received_bytes': 14,
            'control.workers.connections': 2,
        }

    _run(work)


@pytest.mark.parametrize(
    'answer',
    [
        _answer_and_close,
        _answer_until_the_end,
        OK + OK,
        b'HTTP/1.0' + OK[8:],
        OK.replace(b'\r\n', b'\r\nConnection: close\r\n', 1),
    ],
)
def test_a_connection_that_cannot_be_reused_is_not(answer):
    # The bytes of one answer must not become the answer to the next call.
    async def work(server, channels, call):
        for _ in range(3):
            assert await call('/once') == (200, b'{}')
            await _until(lambda: server.closed == server.connections)
        assert server.connections == 3

    _run(work, {'/once': answer})


def test_bytes_that_nobody_asked_for_close_an_idle_connection():
    async def work(server, channels, call):
        await call('/twice')
        server.release.set()
        await _until(lambda: server.closed)
        assert await call() == (200, b'{}')

    _run(work, {'/twice': _answer_twice})


def test_idle_connections_are_closed(monkeypatch):
    monkeypatch.setattr(_channels, 'KEEP_ALIVE_S', 0.0)

    async def work(server, channels, call):
        await asyncio.gather(call(), call())
        await _until(lambda: server.closed == 2)
        await asyncio.gather(call(), call())
        assert server.connections == 4

    _run(work)


@pytest.mark.parametrize('limit', [1, 3])
def test_calls_beyond_the_limit_wait_in_order(limit):
    async def work(server, channels, call):
        paths = [f'/{number}' for number in range(12)]
        await asyncio.gather(*(call(path) for path in paths))
        assert server.connections == limit
        # Over several connections, requests may overtake each other.
        assert limit > 1 or server.paths == paths

    _run(work, limit=limit)


def test_a_call_that_waits_too_long_has_not_been_sent():
    # It retires the connections, so that the next one need not wait.
    async def work(server, channels, call):
        first = asyncio.ensure_future(call('/late'))
        await _until(lambda: server.paths)
        never = asyncio.ensure_future(call('/never', TIMEOUT_S))
        await asyncio.sleep(0)
        assert await call('/') == (200, b'{}')
        with pytest.raises(exchanges.NotSentError):
            await never
        server.release.set()
        assert await first == (200, b'{}')
        assert server.paths == ['/late', '/']

    _run(work, {'/late': _answer_when_released}, limit=1)


def test_a_call_cancelled_as_it_gets_a_slot_returns_it():
    # Otherwise an address has one connection fewer for ever.
    async def work(server, channels, call):
        async def time_out():
            with pytest.raises(exchanges.NoAnswerError):
                await call('/late', TIMEOUT_S)
            # Its slot has been granted, over new connections, in this moment.
            waiting.cancel()

        silent = asyncio.ensure_future(time_out())
        await _until(lambda: server.paths)
        waiting = asyncio.ensure_future(call('/cancelled'))
        await silent
        assert await call() == (200, b'{}')
        assert waiting.cancelled()
        assert server.paths == ['/late', '/']

    _run(work, {'/late': _answer_when_released}, limit=1)


@pytest.mark.parametrize('is_cancelled', [False, True])
def test_an_unresponsive_call_retires_the_connections(is_cancelled):
    # A device on the path may have lost the state of all of them.
    async def work(server, channels, call):
        await asyncio.gather(call(), call(), call())
        in_flight = asyncio.ensure_future(call('/late'))
        silent = asyncio.ensure_future(call('/late', TIMEOUT_S))
        await _until(lambda: len(server.paths) == 5)
        if is_cancelled:
            silent.cancel()
        with pytest.raises((exchanges.NoAnswerError, asyncio.CancelledError)):
            await silent
        await asyncio.gather(call(), call())
        assert server.connections == 5
        server.release.set()
        assert await in_flight == (200, b'{}')
        # All but the two new ones.
        await _until(lambda: server.closed == 3)
        await asyncio.gather(call(), call())
        assert server.connections == 5

    _run(work, {'/late': _answer_when_released})


def test_a_call_that_cannot_connect_has_not_been_sent():
    async def work(server, channels, call):
        with socket.socket() as listener:
            listener.bind(('127.0.0.1', 0))
            address = f'127.0.0.1:{listener.getsockname()[1]}'
            # A slot that was not returned would make the second call wait.
            for _ in range(2):
                with pytest.raises(exchanges.NotListeningError):
                    await call(address=address)
            # The queue of connections to accept is full after the first one.
            listener.listen(0)
            with (
                socket.create_connection(listener.getsockname()),
                pytest.raises(exchanges.NotSentError),
            ):
                await call(timeout_s=TIMEOUT_S, address=address)

    _run(work, limit=1)


@pytest.mark.parametrize('address', ['', 'a b:1', '[::1', '127.0.0.1:99999'])
def test_a_malformed_call_is_not_sent(address):
    async def work(server, channels, call):
        with pytest.raises(exchanges.NotSentError):
            await call(address=address)
        with pytest.raises(exchanges.NotSentError):
            await call(Header='a\r\nContent-Length: 0')
        with pytest.raises(exchanges.NotSentError):
            await call('/a b')
        assert server.connections == 0

    _run(work)


def test_closing_ends_all_calls():
    async def work(server, channels, call):
        calls = [asyncio.ensure_future(call('/late')) for _ in range(2)]
        await _until(lambda: server.paths)
        await channels.close()
        sent, waiting = await asyncio.gather(*calls, return_exceptions=True)
        assert isinstance(sent, exchanges.NoAnswerError)
        assert isinstance(waiting, exchanges.NotSentError)

    _run(work, {'/late': _answer_when_released}, limit=1)
