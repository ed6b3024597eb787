"""Bytes that clients send take a bounded memory, and hold up nobody else.

Some hundred connections, each with a request that was almost complete, took a
node over its memory. The key was read after the body, and the size that the
configuration sets for bodies was not used.
"""

import asyncio
import contextlib
import json
import time

import pytest
from tests import site
from tests import test_cell_processes as processes

from celeryshift_cellnode import _clientserver
from celeryshift_cellnode import _peers
from celeryshift_cellnode import errors

CONNECTIONS = 600
BODY_BYTES = 262_144
SENT_BYTES = 262_000
HALF_HEADERS = 1500
# Memory that the connections may take on a node of 300 MB.
MAX_GROWTH_MB = 100.0
WATCH_S = 1.5


def _head(program: processes.Program, key: str, length: int) -> bytes:
    lines = [
        f'POST {site.PREFIX}{processes.job_id(1)} HTTP/1.1',
        f'Host: {site.HOST}',
        f'Authorization: Token {key}',
        f'Content-Length: {length}',
    ]
    return '\r\n'.join([*lines, '', '']).encode()


async def _send(
    stack: contextlib.AsyncExitStack, program: processes.Program, data: bytes
) -> asyncio.StreamReader:
    """Send a part of a request on a connection that is kept open."""
    reader, writer = await asyncio.open_connection(
        site.LOOPBACK, program.front
    )
    stack.callback(writer.close)
    writer.write(data)
    with contextlib.suppress(TimeoutError, OSError):
        async with asyncio.timeout(1.0):
            await writer.drain()
    return reader


@pytest.mark.parametrize('key', [site.KEY, 'unknown'])
def test_incomplete_bodies_take_little_memory(tmp_path, key):
    async def scenario(cluster: processes.Cluster) -> None:
        async with contextlib.AsyncExitStack() as stack:
            program = cluster.programs[0]
            before = program.memory_mb()
            data = _head(program, key, BODY_BYTES) + b' ' * SENT_BYTES
            await asyncio.gather(
                *(_send(stack, program, data) for _ in range(CONNECTIONS))
            )
            most = 0.0
            until = time.monotonic() + WATCH_S
            while time.monotonic() < until:
                most = max(most, program.memory_mb())
                await asyncio.sleep(0.05)
            assert 0 < most - before < MAX_GROWTH_MB
            await _check_service(cluster, program)

    processes.run(scenario, tmp_path)


def test_incomplete_headers_are_closed_and_keep_out_nobody(tmp_path):
    async def scenario(cluster: processes.Cluster) -> None:
        async with contextlib.AsyncExitStack() as stack:
            program = cluster.programs[0]
            before = program.memory_mb()
            half = _head(program, site.KEY, 10)[:60]
            readers = await asyncio.gather(
                *(_send(stack, program, half) for _ in range(HALF_HEADERS))
            )
            assert program.memory_mb() - before < MAX_GROWTH_MB
            await _check_service(cluster, program)
            started_at = time.monotonic()
            for reader in readers:
                with contextlib.suppress(OSError):
                    assert await reader.read() == b''
            elapsed_s = time.monotonic() - started_at
            assert elapsed_s < _clientserver.HEADER_TIMEOUT_S + 3.0

    processes.run(scenario, tmp_path)


async def _check_service(
    cluster: processes.Cluster, program: processes.Program
) -> None:
    """Check that a small job is accepted at the node."""
    body = processes.job_body(1, 0.1)
    job = processes.job_id(2)
    async with asyncio.timeout(10.0):
        while True:
            status, _ = await processes.call(
                cluster.session, program, 'POST', job, body
            )
            if status == 200:
                return
            assert status == 503
            await asyncio.sleep(0.2)


def test_bodies_have_the_size_that_the_configuration_sets(tmp_path):
    async def scenario(cluster: processes.Cluster) -> None:
        program = cluster.programs[0]
        body = json.dumps(processes.job_body(1, 0.1)) + ' ' * BODY_BYTES

        async def chunks():
            yield body.encode()

        for data in (body.encode(), chunks()):
            async with cluster.session.post(
                f'http://{site.LOOPBACK}:{program.front}'
                f'{site.PREFIX}{processes.job_id(3)}',
                data=data,
                headers={
                    'Host': site.HOST,
                    'Authorization': f'Token {site.KEY}',
                },
            ) as answer:
                assert answer.status == 413

    processes.run(scenario, tmp_path)


class _Content:
    """Body that arrives in chunks, and may never end."""

    def __init__(self, chunks: list[bytes], ends: bool = True) -> None:
        self._chunks, self._ends = list(chunks), ends

    async def readany(self) -> bytes:
        """Return the next chunk."""
        if self._chunks:
            return self._chunks.pop(0)
        if not self._ends:
            await asyncio.sleep(3600)
        return b''


class _Request:
    def __init__(self, content: _Content, length: int | None = None) -> None:
        self.content, self.content_length = content, length
        self.headers: dict[str, str] = {}


def _read(content: _Content, budget, length=None, limit=100, timeout_s=1.0):
    async def work() -> bytes:
        request = _Request(content, length)
        with _clientserver.Body(request, budget) as body:  # type: ignore
            return await body.read(limit, time.monotonic() + timeout_s)

    return asyncio.run(work())


def test_a_body_gives_its_memory_back():
    budget = _clientserver.BodyBudget(100_000)
    assert _read(_Content([b'ab', b'c']), budget) == b'abc'
    with pytest.raises(errors.BodyTooLargeError):
        _read(_Content([b'x' * 60, b'x' * 60]), budget)
    with pytest.raises(errors.BodyTooLargeError):
        _read(_Content([]), budget, length=101)
    with pytest.raises(errors.IncompleteBodyError):
        _read(_Content([b'x'], ends=False), budget, timeout_s=0.05)
    assert budget.used == 0
    budget.used = 99_000
    with pytest.raises(errors.BusyError):
        _read(_Content([b'x']), budget)
    assert budget.used == 99_000


def test_a_body_that_is_alone_has_any_size_that_is_allowed():
    budget = _clientserver.BodyBudget(10_000)
    body = _Content([b'x' * 50_000] * 4)
    assert len(_read(body, budget, limit=200_000)) == 200_000
    budget.used = 1
    with pytest.raises(errors.BusyError):
        _read(_Content([b'x' * 50_000]), budget, limit=200_000)


def test_large_bodies_leave_room_for_small_ones():
    budget = _clientserver.BodyBudget(200_000, used=100_000)
    large = _Content([b'x' * 9000])
    with pytest.raises(errors.BusyError):
        _read(large, budget, length=9000, limit=10_000)
    assert _read(_Content([b'x']), budget, length=1) == b'x'


def test_large_calls_between_nodes_hold_up_no_small_ones():
    async def scenario() -> None:
        server = _peers.PeerServer(lambda: (b'', ''), lambda *_, **__: None)

        async def ping(body: object) -> dict[str, bool]:
            return {'answered': True}

        server.add_handler('ping', ping)
        runner = await server.start(site.LOOPBACK, 0)
        port = runner.addresses[0][1]
        head = 'POST /v1/ping HTTP/1.1\r\nHost: n\r\nContent-Length: '
        large = f'{head}60000\r\n\r\n'.encode() + b' ' * 50_000
        writers = []
        for _ in range(2 * _peers.MAX_LARGE_READS):
            _, writer = await asyncio.open_connection(site.LOOPBACK, port)
            writer.write(large)
            writers.append(writer)
        await asyncio.sleep(0.3)
        assert server._large_reads.locked()
        reader, writer = await asyncio.open_connection(site.LOOPBACK, port)
        writers.append(writer)
        writer.write(f'{head}2\r\n\r\n{{}}'.encode())
        async with asyncio.timeout(1.0):
            assert b'200' in await reader.readline()
        for writer in writers:
            writer.close()
        await runner.cleanup()

    asyncio.run(scenario())


def test_the_number_of_connections_follows_from_the_settings():
    assert _clientserver.max_connections(0, 0) > 1000
    assert _clientserver.max_connections(0, 100) == 50
    most = _clientserver.max_connections(300, 4100)
    assert 100 < most < 2050
