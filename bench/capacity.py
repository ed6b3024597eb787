"""Slopes of what control costs: messages, bytes, processor time, memory.

Each slope is a least-squares line over several sizes, with its standard
error. Messages come from real reducers in virtual time; bytes from the real
codec; the constant part of a call from real calls over loopback.

Source: Draper and Smith, Applied Regression Analysis, 1998, chapter 1.
"""

import asyncio
from collections.abc import Iterable
import json
import sys
import threading
import time

from aiohttp import web
import attrs

from bench import fits
from bench import fleets
from bench import memory
from bench import traffic
from celeryshift_net import pools
from celeryshift_node import _calls

SEED = 1
SECRET = 'secret-of-the-bench'
LIMIT_SLOTS = 10_000
SETTLE_S = 30.0
MEASURE_S = 60.0
CALLS = 2000
TOTAL = 'all'
WORKERS = (24, 95, 189, 378)
NEAR = (0, 1, 2, 3)
FAR = (0, 8, 16, 32)
TEAMS = (6, 16, 32, 46)
KEYS = (0, 100, 400, 1000)
CHANGES = (0, 10, 20, 40)
STARTS_PER_S = (0, 30, 60, 120)
REQUESTS_PER_S = (0, 15, 30, 60)
RUNNING = (0, 46, 92, 138)
SERVICE_S = 86_400.0
CALL_S = 300e-6  # as printed: about the mean of caller and called


@attrs.frozen
class Shape:
    """Say what surrounds the node that is measured, and what it does."""

    workers: int = 24
    near: int = 1
    far: int = 4
    teams: int = 46
    keys: int = 46
    changes: int = 0
    starts_per_s: int = 0
    requests_per_s: int = 0
    running: int = 46
    run_s: float = 1.0
    sync_wait_s: float = 4.0


EIGHTEEN = Shape(378, 1, 16, changes=8, running=322)
THIRTY_SIX = Shape(189, 3, 32, changes=8, running=161)
DESIGN = {
    '18 nodes, idle': EIGHTEEN,
    '36 nodes, idle': THIRTY_SIX,
    '18 nodes, idle, sync 10 s': attrs.evolve(EIGHTEEN, sync_wait_s=10.0),
    '36 nodes, idle, sync 10 s': attrs.evolve(THIRTY_SIX, sync_wait_s=10.0),
    '18 nodes, peak': attrs.evolve(EIGHTEEN, starts_per_s=233, run_s=5.0),
    '36 nodes, peak': attrs.evolve(THIRTY_SIX, starts_per_s=117, run_s=5.0),
}


def main() -> None:
    """Print every slope."""
    if '--memory' in sys.argv:
        memory.report()
        return
    _print_header()
    _print_call()
    varied: dict[str, Iterable[int]] = {
        'workers': WORKERS,
        'near': NEAR,
        'far': FAR,
        'teams': TEAMS,
        'keys': KEYS,
        'changes': CHANGES,
        'starts_per_s': STARTS_PER_S,
        'requests_per_s': REQUESTS_PER_S,
        'running': RUNNING,
    }
    for name, sizes in varied.items():
        base = Shape(changes=20) if name == 'keys' else Shape()
        _print_slopes(
            name, [attrs.evolve(base, **{name: size}) for size in sizes]
        )
    for name, shape in DESIGN.items():
        _print_design(name, shape)
    memory.report()


def _world(shape: Shape) -> traffic.MeteredWorld:
    world = traffic.MeteredWorld(SEED, 'n0', sync_wait_s=shape.sync_wait_s)
    upstream = fleets.UPSTREAM
    for number in range(shape.workers * (1 + shape.near)):
        world.add_worker(f'w{number}', 'dc0', upstream)
    for number in range(shape.far):
        world.add_worker(f'f{number}', f'dc{1 + number // 4}', upstream)
    world.configure(fits.document(shape.teams, shape.keys))
    for number in range(1 + shape.near):
        world.add_node(f'n{number}', 'dc0')
    for number in range(shape.far):
        world.add_node(f'm{number}', f'dc{1 + number // 4}')
    return world


def _run(shape: Shape) -> traffic.MeteredWorld:
    """Let a node settle, then meter it under even load."""
    world = _world(shape)
    world.run(SETTLE_S)
    state = world.nodes_by_name['n0'].state
    assert state.config.version, 'the configuration is not in force'
    for team in range(shape.teams):
        tasks = (shape.running + team) // shape.teams
        if tasks:
            world.submit(
                'n0',
                f's{team}',
                'batch',
                f'of-t{team}',
                tasks=tasks,
                run_s=SERVICE_S,
            )
    version = 0
    for second in range(-5, int(MEASURE_S)):
        if second == 0:
            world.start_metering()
        due = shape.changes * (second + 1) // int(MEASURE_S)
        if version < due:
            version += 1
            world.configure(fits.document(shape.teams, shape.keys))
        if shape.starts_per_s:
            world.submit(
                'n0',
                f'j{second}',
                'batch',
                f'of-t{second % shape.teams}',
                tasks=shape.starts_per_s,
                run_s=shape.run_s,
            )
        for number in range(shape.requests_per_s):
            world.request(
                'n0', f'r{second}-{number}', 'check', 'of-t0', run_s=0.1
            )
            world.run(1.0 / shape.requests_per_s)
        if not shape.requests_per_s:
            world.run(1.0)
    return world


def _print_slopes(name: str, shapes: list[Shape]) -> None:
    """Print how each flow of a node grows with one size."""
    _say(f'\n{name}: flow, per second: slope (standard error) + intercept')
    points: dict[tuple[str, str], dict[int, float]] = {}
    for shape in shapes:
        world = _run(shape)
        size = getattr(shape, name)
        if name == 'workers':
            size = _owned(world)
        for (flow, what), value in _rates(world).items():
            points.setdefault((flow, what), {})[size] = value
    sizes = sorted(set().union(*(found.keys() for found in points.values())))
    for (flow, what), found in sorted(points.items()):
        fit = fits.Fit.of([(size, found.get(size, 0.0)) for size in sizes])
        _say(
            f'  {flow:18} {what:6} {fit.slope:10.4f} ({fit.error:.4f}) '
            f'+ {fit.intercept:.2f}'
        )


def _print_design(name: str, shape: Shape) -> None:
    """Print what a node does at a size of the design, measured whole."""
    world = _run(shape)
    state = world.nodes_by_name['n0'].state
    running = sum(
        len(held.tasks_by_id) for held in state.slices_by_number.values()
    )
    _say(f'\n{name}: {_owned(world)} workers, {running} tasks, each second:')
    rates = _rates(world)
    for flow in sorted({flow for flow, _ in rates}):
        calls = rates[(flow, 'calls')]
        core_share = rates[(flow, 'cpu us')] * 1e-6 + calls * CALL_S
        _say(
            f'  {flow:18} {calls:8.2f} calls {rates[(flow, "bytes")]:9.0f} '
            f'bytes {core_share:7.2%} of a core'
        )

    rows: dict[str, list[int]] = {}
    for key, (_, value) in world.table.rows_by_key.items():
        size = len(json.dumps(value)) + len(key)
        rows.setdefault(key.partition('/')[0], []).append(size)
    for prefix, found in rows.items():
        _say(f'  rows {prefix}: {len(found)}, {sum(found)} bytes')


def _owned(world: traffic.MeteredWorld) -> int:
    held = world.nodes_by_name['n0'].state.slices_by_number.values()
    return sum(len(one.ledger.workers_by_name) for one in held)


def _rates(world: traffic.MeteredWorld) -> dict[tuple[str, str], float]:
    rates = {}
    total = traffic.Flow()
    for name, flow in world.flows.items():
        rates[(name, 'calls')] = flow.calls / MEASURE_S
        rates[(name, 'bytes')] = flow.size / MEASURE_S
        rates[(name, 'cpu us')] = 1e6 * flow.cpu_s / MEASURE_S
        if name not in traffic.WORK:
            total.calls += flow.calls
            total.size += flow.size
            total.cpu_s += flow.cpu_s
    rates[(TOTAL, 'calls')] = total.calls / MEASURE_S
    rates[(TOTAL, 'bytes')] = total.size / MEASURE_S
    rates[(TOTAL, 'cpu us')] = 1e6 * total.cpu_s / MEASURE_S
    return rates


def _print_header() -> None:
    """Print what two real ends put around the bodies of a call."""
    seen: list[int] = []

    async def count(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b'\r\n\r\n')
        seen.append(len(head))
        writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}')
        await writer.drain()
        writer.close()

    async def measure() -> tuple[int, int]:
        server = await asyncio.start_server(count, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        await _call(port, 1)
        server.close()
        runner, port = await _serve()
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(
            b'POST /peer/v1/messages HTTP/1.1\r\nHost: x\r\n'
            b'Content-Length: 2\r\n\r\n{}'
        )
        reply = await reader.readuntil(b'\r\n\r\n')
        writer.close()
        await runner.cleanup()
        return seen[0], len(reply)

    request, reply = asyncio.run(measure())
    _say(
        f'headers of a call: {request} bytes asked, {reply} answered; '
        f'counted as {traffic.HEADER_BYTES}'
    )


async def _serve() -> tuple[web.AppRunner, int]:
    async def take(request: web.Request) -> web.Response:
        return web.json_response(await request.json())

    app = web.Application()
    app.router.add_post('/peer/v1/messages', take)
    runner = web.AppRunner(app)
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    return runner, runner.addresses[0][1]


async def _call(port: int, calls: int) -> None:
    channels = pools.ChannelPool()
    url = f'http://127.0.0.1:{port}/peer/v1/messages'
    headers = {'Authorization': f'Bearer {traffic.TOKEN}'}
    for _ in range(calls):
        await _calls.call(
            channels.get(url), 'POST', url, {'a': 1}, 5.0, headers
        )
    await channels.close()


def _print_call() -> None:
    """Print the processor time of a call at either end, by its thread."""
    ready = threading.Event()
    stop = threading.Event()
    ports: list[int] = []
    spent: list[float] = []

    def serve() -> None:
        async def run() -> None:
            runner, port = await _serve()
            ports.append(port)
            ready.set()
            began = time.thread_time()
            while not stop.is_set():
                await asyncio.sleep(0.05)
            spent.append(time.thread_time() - began)
            await runner.cleanup()

        asyncio.run(run())

    thread = threading.Thread(target=serve)
    thread.start()
    ready.wait()
    began = time.thread_time()
    asyncio.run(_call(ports[0], CALLS))
    asked = time.thread_time() - began
    stop.set()
    thread.join()
    _say(
        f'processor time of a call: {1e6 * asked / CALLS:.0f} us at the '
        f'caller, {1e6 * spent[0] / CALLS:.0f} us at the called'
    )


def _say(line: str) -> None:
    sys.stdout.write(line + '\n')


if __name__ == '__main__':
    main()
