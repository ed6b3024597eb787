"""Crowds of clients that don't behave, against nodes on loopback.

Whatever they send, the process lives, stays within the memory and descriptors
of its settings, and answers an ordinary request afterwards.
"""

import asyncio
import contextlib
import pathlib
import sys

import aiohttp
import pytest
from tests import floods
from tests import site
from tests import test_cell_processes as processes
from tests import usage

from celeryshift_standins import bed as beds

CONNECTIONS = 100
FLOOD_S = 4.0
# Of a node. Its connections may take 20 % of the 16 MB that it does not need
# itself, which includes what their sockets have received.
MEMORY_MB = 80
DESCRIPTORS = 400
NODE_BOUNDS = usage.Bounds(MEMORY_MB, 0.2 * 16, DESCRIPTORS)
# Of a node of celeryshiftd, as documented; it has no setting for its memory.
DAEMON_CONNECTIONS = 300
DAEMON_BOUNDS = usage.Bounds(128, 128, 1500)
# The others are for the port of the nodes.
CLIENT_KINDS = [
    kind
    for kind in floods.BLOCKS_BY_KIND
    if kind not in ('metrics', 'node calls')
]
PORTS_KINDS = [
    *(('front', kind) for kind in CLIENT_KINDS),
    ('ready', 'request line'),
    ('ready', 'empty lines'),
    ('ready', 'refused bodies'),
    ('peer', 'request line'),
    ('peer', 'header fields'),
    ('peer', 'short bodies'),
    ('peer', 'small chunks'),
    ('peer', 'metrics'),
    ('peer', 'node calls'),
]


async def _flood(
    pid: int,
    port: int,
    kind: str,
    connections: int,
    watched_ports: list[int],
    bounds: usage.Bounds,
) -> None:
    """Let a crowd send to a port, and check the process meanwhile."""
    crowd = await asyncio.create_subprocess_exec(
        sys.executable,
        *('-m', 'tests.floods'),
        *(str(port), kind, str(connections), str(FLOOD_S)),
        cwd=pathlib.Path(__file__).parent.parent,
    )
    watching = asyncio.create_task(usage.watch(pid, watched_ports, bounds))
    ending = asyncio.create_task(crowd.wait())
    try:
        await asyncio.wait(
            (watching, ending), return_when=asyncio.FIRST_COMPLETED
        )
        if watching.done():
            watching.result()
        assert ending.result() == 0
    finally:
        watching.cancel()
        with contextlib.suppress(ProcessLookupError):
            crowd.kill()
        await crowd.wait()


@pytest.mark.parametrize(('port', 'kind'), PORTS_KINDS)
def test_a_crowd_takes_a_bounded_memory_of_a_node(tmp_path, port, kind):
    async def scenario() -> None:
        platform = site.FakePlatform()
        await platform.start()
        program = processes.Program(
            'n0',
            platform,
            tmp_path,
            limits={'memory_mb': MEMORY_MB, 'file_descriptors': DESCRIPTORS},
        )
        await program.start()
        assert program.process is not None
        try:
            await processes.until(lambda: program.owns, processes.START_S)
            await processes.until(lambda: program.decisions('configuration'))
            await _flood(
                program.process.pid,
                getattr(program, port),
                kind,
                CONNECTIONS,
                [program.front, program.ready, program.peer],
                NODE_BOUNDS,
            )
            assert program.process.returncode is None
            await _submit(program)
        finally:
            await program.end()
            await platform.close()

    async def limited() -> None:
        async with asyncio.timeout(90):
            await scenario()

    asyncio.run(limited())


async def _submit(program: processes.Program) -> None:
    """Submit a small job until it is accepted."""
    async with aiohttp.ClientSession() as session:
        while True:
            with contextlib.suppress(aiohttp.ClientError, OSError):
                status, _ = await processes.call(
                    session,
                    program,
                    'POST',
                    processes.job_id(1),
                    processes.job_body(1, 0.1),
                )
                if status == 200:
                    return
                assert status in (429, 503, 504)
            await asyncio.sleep(0.1)


@pytest.mark.parametrize('kind', CLIENT_KINDS)
def test_a_crowd_takes_a_bounded_memory_of_a_daemon(kind):
    async def scenario() -> None:
        async with beds.Bed() as bed:
            node = await bed.add_node('node0', 'dc1')
            port = int(node.address.rpartition(':')[2])
            await _flood(
                node.process.pid,
                port,
                kind,
                DAEMON_CONNECTIONS,
                [port],
                DAEMON_BOUNDS,
            )
            assert node.process.returncode is None
            async with aiohttp.ClientSession() as session:
                while True:
                    with contextlib.suppress(aiohttp.ClientError, OSError):
                        async with session.get(f'{node.url}/healthz') as got:
                            assert got.status == 200
                            return
                    await asyncio.sleep(0.1)

    async def limited() -> None:
        async with asyncio.timeout(90):
            await scenario()

    asyncio.run(limited())
