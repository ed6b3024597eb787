"""Requests of clients through the guard, in any framing, pace and number."""

import asyncio
import time

from aiohttp import web
import pytest
import uvloop

from celeryshift_net import _connectiontable
from celeryshift_net import servers

LOOPBACK = '127.0.0.1'
MAX_BODY_BYTES = 262_144
HEAD = b'POST /job HTTP/1.1\r\nHost: a\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
PLAIN = HEAD + b'Content-Length: %d\r\n\r\n%s'
GET = b'GET / HTTP/1.1\r\nHost: a\r\n'
Phase = _connectiontable.Phase


def _chunks(body: bytes, size: int, extension: bytes = b'') -> bytes:
    parts = [body[i : i + size] for i in range(0, len(body), size)]
    return b''.join(
        b'%x%s\r\n%s\r\n' % (len(part), extension, part) for part in parts
    )


async def _answer(request: web.BaseRequest) -> web.Response:
    """Answer with the length of the body."""
    deadline = time.monotonic() + 30.0
    with servers.Body(request, servers.BodyBudget()) as body:
        try:
            content = await body.read(MAX_BODY_BYTES, deadline)
        except servers.BodyTooLargeError:
            return web.Response(status=413)
        except servers.BodyError as error:
            return web.Response(status=408, text=type(error).__name__)
    return web.Response(text=f'{len(content)} bytes')


async def _read_answer(reader: asyncio.StreamReader) -> tuple[int, bytes]:
    head = await reader.readuntil(b'\r\n\r\n')
    length = int(head.lower().partition(b'content-length: ')[2].split()[0])
    return int(head.split()[1]), await reader.readexactly(length)


def _exchange(
    data: bytes,
    answers: int = 1,
    run=uvloop.run,
    pieces: int = 1,
    **limits: int,
) -> list[tuple[int, bytes]]:
    """Send data on one connection, and return the first answers to it."""

    async def work() -> list[tuple[int, bytes]]:
        server = servers.Server(
            _answer, servers.Limits(**limits), lambda *_: None
        )
        runner = await servers.listen(server, LOOPBACK, 0)
        try:
            async with asyncio.timeout(30):
                return await _talk(runner.addresses[0][1])
        finally:
            await runner.cleanup()

    async def _talk(port: int) -> list[tuple[int, bytes]]:
        reader, writer = await asyncio.open_connection(LOOPBACK, port)

        async def send() -> None:
            size = -(-len(data) // pieces)
            for start in range(0, len(data), size):
                writer.write(data[start : start + size])
                await writer.drain()
                await asyncio.sleep(0.005 if pieces > 1 else 0)

        sending = asyncio.create_task(send())
        read = [await _read_answer(reader) for _ in range(answers)]
        sending.cancel()
        writer.close()
        return read

    return run(work())


BODY = b' ' * MAX_BODY_BYTES
HEADS = ((GET + b'\r\n') * MAX_BODY_BYTES)[:MAX_BODY_BYTES]
FRAMINGS = {
    'length': PLAIN % (len(BODY), BODY),
    'chunks of 8 KB': CHUNKED + _chunks(BODY, 8192) + b'0\r\n\r\n',
    'chunks of 1 byte': CHUNKED + _chunks(BODY, 1) + b'0\r\n\r\n',
    'extensions': CHUNKED + _chunks(BODY, 2, b';name=value') + b'0\r\n\r\n',
    'trailers': CHUNKED + _chunks(BODY, 999) + b'0\r\nA: b\r\n\r\n',
    'heads in the body': PLAIN % (len(BODY), HEADS),
    'heads in chunks': CHUNKED + _chunks(HEADS, 8192) + b'0\r\n\r\n',
}


@pytest.mark.parametrize('run', [uvloop.run, asyncio.run])
@pytest.mark.parametrize('framing', sorted(FRAMINGS))
def test_the_largest_body_is_served_in_any_framing(framing, run):
    answered = _exchange(FRAMINGS[framing] + GET + b'\r\n', 2, run)
    assert answered == [(200, b'262144 bytes'), (200, b'0 bytes')]


@pytest.mark.parametrize('framing', ['length', 'chunks of 1 byte'])
def test_the_largest_body_is_served_over_a_slow_link(framing):
    answered = _exchange(FRAMINGS[framing], pieces=300)
    assert answered == [(200, b'262144 bytes')]


@pytest.mark.parametrize(
    'fields',
    [
        b'X-Large: ' + b'a' * 8192 + b'\r\n',
        b'X-Large: ' + b'a' * 6000 + b'\r\n',
        b''.join(b'X-%d: value\r\n' % n for n in range(98)),
        b''.join(b'X-%d: %s\r\n' % (n, b'a' * 6000) for n in range(5)),
    ],
)
def test_a_large_head_is_served(fields):
    for pieces in (1, 50):
        assert _exchange(GET + fields + b'\r\n', pieces=pieces) == [
            (200, b'0 bytes')
        ]


def test_pipelined_requests_are_answered_in_order():
    sent = b''.join(
        PLAIN % (n, b'\n\r\n' * (n // 3)) for n in range(0, 300, 3)
    )
    assert _exchange(sent, 100) == [
        (200, b'%d bytes' % n) for n in range(0, 300, 3)
    ]


@pytest.mark.parametrize('name', ['h2c', 'websocket'])
def test_an_upgrade_is_not_made(name):
    head = GET + b'Connection: upgrade\r\nUpgrade: %s\r\n' % name.encode()
    assert _exchange(head + b'\r\n') == [(200, b'0 bytes')]


MANY_FIELDS = b''.join(b'X%d: %s\r\n' % (n, b'a' * 9000) for n in range(9))
REFUSED = [
    (b'GET /' + b'a' * 20_000, 400),
    (GET + b'X: ' + b'a' * 20_000, 400),
    (GET + b'X: y\r\n' * 200, 400),
    (GET + MANY_FIELDS, 431),
    (b'\r\n' * 40_000, 431),
    (b'nonsense\r\n\r\n', 400),
    (b'\x16\x03\x01' * 9, 400),
    (CHUNKED + b'1;' + b'a' * 100_000, 408),
    (CHUNKED + b'1\r\nx\r\n0\r\n' + b'A: b\r\n' * 20_000, 408),
    (CHUNKED + b'nonsense\r\n', 408),
    (PLAIN % (MAX_BODY_BYTES + 1, BODY), 413),
    (CHUNKED + _chunks(BODY * 2, 8192), 413),
    (HEAD + b'Content-Encoding: gzip\r\nContent-Length: 9\r\n\r\n', 408),
]


@pytest.mark.parametrize(('data', 'status'), REFUSED)
def test_a_refusal_is_received_while_the_client_sends(data, status):
    ((received, _),) = _exchange(data)
    assert received == status


def test_a_refused_head_counts_until_its_connection_is_closed():
    async def work():
        limits = servers.Limits(heads_bytes=1_000_000)
        server = servers.Server(_answer, limits, lambda *_: None)
        runner = await servers.listen(server, LOOPBACK, 0)
        port = runner.addresses[0][1]
        reader, writer = await asyncio.open_connection(LOOPBACK, port)
        writer.write(GET + MANY_FIELDS)
        status, _ = await _read_answer(reader)
        assert status == 431
        assert 0 < server.listener.heads_bytes < limits.max_head_bytes
        writer.close()
        async with asyncio.timeout(10):
            while len(server.listener.table):
                await asyncio.sleep(0.01)
        assert server.listener.heads_bytes == 0
        await runner.cleanup()

    asyncio.run(work())


class _Connection:
    def __init__(self, phase: Phase = Phase.INCOMPLETE) -> None:
        self.phase, self.since = phase, 0.0
        self.aborted = ''

    def abort(self, reason: str) -> None:
        """Note the reason."""
        self.aborted = reason


def _crowd(*phases: Phase) -> tuple[list[_Connection], _Connection]:
    """Return connections in a full table, and one that comes 0.5 s later."""
    table = _connectiontable.ConnectionTable(len(phases))
    members = [_Connection(phase) for phase in phases]
    for member in members:
        table.add(member, 10.0)
    newest = _Connection()
    table.add(newest, 10.5)
    return members, newest


def test_a_connection_that_waits_for_an_answer_stays():
    members, newest = _crowd(Phase.WAITING, Phase.WAITING)
    assert newest.aborted
    assert not any(member.aborted for member in members)
    for phase in (Phase.REFUSED, Phase.INCOMPLETE, Phase.IDLE):
        members, newest = _crowd(Phase.WAITING, phase)
        assert [bool(m.aborted) for m in members] == [False, True]
        assert not newest.aborted


def test_many_connections_at_once_stay_within_the_limit():
    table = _connectiontable.ConnectionTable(3)
    connections = [_Connection() for _ in range(9)]
    for connection in connections:
        table.add(connection, 10.0)
    assert len(table) == 3
    assert sum(bool(connection.aborted) for connection in connections) == 6


def test_an_incomplete_request_is_given_up_before_idle_connections():
    members, _ = _crowd(Phase.IDLE, Phase.INCOMPLETE)
    assert members[0].aborted
    table = _connectiontable.ConnectionTable(2)
    idle, incomplete = _Connection(Phase.IDLE), _Connection()
    table.add(idle, 10.0)
    table.add(incomplete, 10.0)
    table.add(_Connection(), 12.0)
    assert incomplete.aborted
    assert not idle.aborted
