"""Processor time of a small call to a worker, at the caller, by client.

A stand-in server in another process listens on many ports and answers every
request with the same bytes. The caller runs on uvloop, as a node does, over
kept connections.
"""

import asyncio
import email.utils
import itertools
import multiprocessing
from multiprocessing import connection
import statistics
import sys
import time
from typing import cast

import uvloop

from celeryshift_net import exchanges
from celeryshift_net import http1
from celeryshift_net import pools

ADDRESSES = 64
CALLS = 10_000
ROUNDS = 5
# The machine may be busy; no call may time out.
TIMEOUT_S = 10.0
# Calls in flight: one, as on an idle node, and a burst of starts.
CONCURRENCIES = (1, 32)
CLIENTS = {'pools': pools.ChannelPool, 'http1': http1.ChannelPool}
BODY = b'{"task":"%s"}' % (b'x' * 139)
HEADERS = {**exchanges.JSON_HEADERS, 'Expected-Instance': 'i-0123456789abcdef'}
ANSWER = (
    b'HTTP/1.1 200 OK\r\n'
    b'Content-Type: application/json; charset=utf-8\r\n'
    b'Content-Length: 25\r\n'
    b'Date: %b\r\n'
    b'Server: Python/3.11 aiohttp/3.14.5\r\n'
    b'\r\n'
    b'{"clock_ms":123456789012}'
)


class StandIn(asyncio.Protocol):
    """Connection of a server that answers each request with `ANSWER`.

    The body of each request is `BODY`. The headers change every second, as
    those of real servers do.
    """

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport for the answers."""
        # The transports of uvloop are not subclasses of asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)
        self._received = b''

    def data_received(self, data: bytes) -> None:
        """Answer a request once its body is complete."""
        self._received += data
        if self._received.endswith(BODY):
            self._received = b''
            self._transport.write(ANSWER % _format_date())


def main() -> None:
    """Print the processor time of a call for each number in flight."""
    context = multiprocessing.get_context('spawn')
    receiver, sender = context.Pipe(duplex=False)
    server = context.Process(target=_serve, args=(sender,), daemon=True)
    server.start()
    try:
        ports = receiver.recv()
        for client, concurrency in itertools.product(CLIENTS, CONCURRENCIES):
            costs = sorted(
                uvloop.run(_measure(client, ports, concurrency))
                for _ in range(ROUNDS)
            )
            sys.stdout.write(
                f'{client}, {concurrency} in flight: '
                f'{statistics.median(costs):.1f} us of a core for each call '
                f'({costs[0]:.1f} to {costs[-1]:.1f})\n'
            )
    finally:
        server.terminate()
        server.join()


def _format_date() -> bytes:
    return email.utils.formatdate(usegmt=True).encode()


def _serve(sender: connection.Connection) -> None:
    async def serve() -> None:
        loop = asyncio.get_running_loop()
        servers = [
            await loop.create_server(StandIn, '127.0.0.1', 0)
            for _ in range(ADDRESSES)
        ]
        sender.send([server.sockets[0].getsockname()[1] for server in servers])
        await asyncio.Event().wait()

    uvloop.run(serve())


async def _measure(client: str, ports: list[int], concurrency: int) -> float:
    """Return the microseconds of processor time of a call."""
    channels = CLIENTS[client]()
    addresses = [f'127.0.0.1:{port}' for port in ports]

    async def call(address: str) -> None:
        await exchanges.exchange(
            channels.get(address),
            'POST',
            f'http://{address}/start',
            BODY,
            TIMEOUT_S,
            HEADERS,
        )

    async def call_in_turn(first: int) -> None:
        for number in range(first, CALLS, concurrency):
            await call(addresses[number % ADDRESSES])

    for address in addresses:
        await call(address)
    began_s = time.process_time()
    await asyncio.gather(*map(call_in_turn, range(concurrency)))
    used_s = time.process_time() - began_s
    await channels.close()
    return 1e6 * used_s / CALLS


if __name__ == '__main__':
    main()
