"""What the stand-ins share: serving on a port and saying which."""

import asyncio
import signal
import sys

from aiohttp import web
import uvloop


async def _serve(app: web.Application, host: str, port: int) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.5)
    await runner.setup()
    site = web.TCPSite(runner, host, port, backlog=1024)
    await site.start()
    bound = runner.addresses[0]
    sys.stdout.write(f'listening {bound[0]}:{bound[1]}\n')
    sys.stdout.flush()
    await stopped.wait()
    await runner.cleanup()


def serve(app: web.Application, host: str, port: int) -> None:
    """Serve until SIGTERM; port 0 lets the system choose one."""
    uvloop.run(_serve(app, host, port))
