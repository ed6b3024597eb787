"""HTTP server of the fake platform and workers."""

import asyncio
import signal
import sys

from aiohttp import web
import uvloop


async def _serve(app: web.Application, host: str, port: int) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.5)
    await runner.setup()
    site = web.TCPSite(runner, host, port, backlog=1024)
    await site.start()
    address = runner.addresses[0]
    sys.stdout.write(f'listening {address[0]}:{address[1]}\n')
    sys.stdout.flush()
    await stopped.wait()
    await runner.cleanup()


def serve(app: web.Application, host: str, port: int) -> None:
    """Serve until SIGTERM or SIGINT, and print the address to stdout.

    Port 0 lets the operating system choose a port.
    """
    uvloop.run(_serve(app, host, port))
