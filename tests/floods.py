"""Clients that send more than a server should keep, as a process of their own.

A crowd is a number of connections. Each sends as fast as it is read, reads no
answers beyond its receive buffer, stays open, and is opened again as soon as
it is closed. To run one: ``python -m tests.floods PORT KIND COUNT SECONDS``.
"""

import argparse
import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import functools
import gzip
import itertools
import random

from tests import site
import uvloop

BLOCK_BYTES = 65_536
# Just below the size that the configuration allows.
BODY_BYTES = 262_000
MAX_BODY_BYTES = 262_144
MISSING_BYTES = 64
SMALL_PIECE_BYTES = 600
CHUNK_BYTES = 8192
INFLATED_BYTES = 200_000_000
PIPELINED_BYTES = 64_000
# Unread bytes at a client that does not read.
RECEIVE_BUFFER_BYTES = 4096

Blocks = Iterator[bytes]


def _head(
    method: str = 'POST',
    key: str = site.KEY,
    path: str = f'{site.PREFIX}{0:016x}',
    **fields: object,
) -> bytes:
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {site.HOST}',
        f'Authorization: Token {key}',
        *(f'{k.replace("_", "-")}: {v}' for k, v in fields.items()),
    ]
    return '\r\n'.join([*lines, '', '']).encode()


def _chunked(**more: str) -> bytes:
    return _head(Transfer_Encoding='chunked', **more)


def _forever(start: bytes, unit: bytes) -> Blocks:
    yield start
    block = unit * max(1, BLOCK_BYTES // len(unit))
    while True:
        yield block


def _in_pieces(data: bytes, size: int) -> Blocks:
    for start in range(0, len(data), size):
        yield data[start : start + size]


def _request_line() -> Blocks:
    return _forever(b'GET /', b'a')


def _header_field() -> Blocks:
    return _forever(_head()[:-2] + b'X: ', b'a')


def _header_fields() -> Blocks:
    return _forever(_head()[:-2], b'X-Name: value\r\n')


def _empty_lines() -> Blocks:
    return _forever(b'', b'\r\n')


def _large_heads() -> Blocks:
    fields = b''.join(b'X-%d: value\r\n' % n for n in range(4000))
    return _forever(b'', _head('GET')[:-2] + fields + b'\r\n')


def _many_short_heads() -> Blocks:
    """Return requests that need no key, whose answers are not read."""
    return _forever(b'', _head('GET', path='/none'))


def _connect() -> Blocks:
    return _forever(b'CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n', b'a')


def _upgrade() -> Blocks:
    head = _head('GET', Connection='upgrade', Upgrade='websocket')
    return _forever(head, b'a')


def _trailers() -> Blocks:
    return _forever(_chunked() + b'1\r\n \r\n0\r\n', b'X-Name: value\r\n')


def _chunk_extension() -> Blocks:
    return _forever(_chunked() + b'1;', b'a')


def _chunk_size() -> Blocks:
    return _forever(_chunked(), b'0')


def _small_chunks() -> Blocks:
    yield _chunked() + b'1\r\n \r\n' * BODY_BYTES


def _small_chunks_in_pieces() -> Blocks:
    yield from _in_pieces(*_small_chunks(), SMALL_PIECE_BYTES)


def _large_chunks() -> Blocks:
    chunk = b'%x\r\n%s\r\n' % (CHUNK_BYTES, b' ' * CHUNK_BYTES)
    yield _chunked() + chunk * (BODY_BYTES // CHUNK_BYTES)


def _whole_bodies() -> Blocks:
    body = b' ' * BODY_BYTES
    return _forever(b'', _head(Content_Length=BODY_BYTES) + body)


def _short_bodies() -> Blocks:
    yield (
        _head(Content_Length=MAX_BODY_BYTES)
        + b' ' * (MAX_BODY_BYTES - MISSING_BYTES)
    )


def _short_bodies_in_pieces() -> Blocks:
    yield from _in_pieces(*_short_bodies(), SMALL_PIECE_BYTES)


def _refused_bodies() -> Blocks:
    chunk = b'%x\r\n%s\r\n' % (CHUNK_BYTES, b' ' * CHUNK_BYTES)
    head = _head(key='unknown', Transfer_Encoding='chunked')
    return _forever(head, chunk)


def _pipelined_bodies() -> Blocks:
    body = b' ' * PIPELINED_BYTES
    return _forever(b'', _head(Content_Length=PIPELINED_BYTES) + body)


@functools.cache
def _compressed() -> bytes:
    body = gzip.compress(bytes(INFLATED_BYTES), 9)
    return _head(Content_Encoding='gzip', Content_Length=len(body)) + body


def _compressed_bodies() -> Blocks:
    yield _compressed()


def _node_calls() -> Blocks:
    """Return large calls of a node, complete but for their last bytes."""
    head = _head(path='/v1/accept', Transfer_Encoding='chunked')
    chunk = b'%x\r\n%s\r\n' % (CHUNK_BYTES, b' ' * CHUNK_BYTES)
    return iter([head, *itertools.repeat(chunk, 120)])


def _metrics() -> Blocks:
    return _forever(b'', _head('GET', path='/metrics'))


BLOCKS_BY_KIND: dict[str, Callable[[], Blocks]] = {
    'request line': _request_line,
    'header field': _header_field,
    'header fields': _header_fields,
    'empty lines': _empty_lines,
    'large heads': _large_heads,
    'many short heads': _many_short_heads,
    'connect': _connect,
    'upgrade': _upgrade,
    'trailers': _trailers,
    'chunk extension': _chunk_extension,
    'chunk size': _chunk_size,
    'small chunks': _small_chunks,
    'small chunks in pieces': _small_chunks_in_pieces,
    'large chunks': _large_chunks,
    'whole bodies': _whole_bodies,
    'short bodies': _short_bodies,
    'short bodies in pieces': _short_bodies_in_pieces,
    'refused bodies': _refused_bodies,
    'pipelined bodies': _pipelined_bodies,
    'compressed bodies': _compressed_bodies,
    'node calls': _node_calls,
    'metrics': _metrics,
}


async def _send(port: int, kind: str) -> None:
    """Send the blocks of one connection, and wait until it is closed."""
    reader, writer = await asyncio.open_connection(
        site.LOOPBACK, port, limit=RECEIVE_BUFFER_BYTES
    )
    try:
        for block in BLOCKS_BY_KIND[kind]():
            writer.write(block)
            await writer.drain()
        # Reads until the connection is closed, no faster than it must.
        while await reader.read(1):
            await asyncio.sleep(0.1)
    finally:
        writer.close()


async def _send_repeatedly(port: int, kind: str) -> None:
    while True:
        with contextlib.suppress(OSError):
            await _send(port, kind)
        # Keeps the crowd from taking all processor time of the machine.
        await asyncio.sleep(random.uniform(0.0, 0.01))


async def run(port: int, kind: str, connections: int, seconds: float) -> None:
    """Run a crowd against a port on loopback."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await asyncio.gather(
                *(_send_repeatedly(port, kind) for _ in range(connections))
            )


def main() -> None:
    """Run a crowd from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('port', type=int)
    parser.add_argument('kind', choices=sorted(BLOCKS_BY_KIND))
    parser.add_argument('connections', type=int)
    parser.add_argument('seconds', type=float)
    options = parser.parse_args()
    uvloop.run(
        run(options.port, options.kind, options.connections, options.seconds)
    )


if __name__ == '__main__':
    main()
