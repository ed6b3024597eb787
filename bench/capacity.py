"""Cost of the control plane in messages, bytes, processor time and memory.

Each slope is that of a least-squares line over several sizes, with its
standard error. Messages come from the real reducers in virtual time, bytes
from the real codec, and the constant cost of a call from real calls over
loopback.

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
# Name of the sum of all flows but those of `traffic.WORK_EFFECTS`.
TOTAL = 'all'
# Values of each parameter for which a slope is printed.
WORKERS = (24, 95, 189, 378)
NEAR_NODES = (0, 1, 2, 3)
FAR_NODES = (0, 8, 16, 32)
TEAMS = (6, 16, 32, 46)
KEYS = (0, 100, 400, 1000)
CHANGES = (0, 10, 20, 40)
STARTS_PER_S = (0, 30, 60, 120)
REQUESTS_PER_S = (0, 15, 30, 60)
RUNNING_TASKS = (0, 46, 92, 138)
# Longer than any measurement, so that these tasks run throughout.
LONG_RUN_S = 86_400.0
# Processor time of a call: about the mean of the times at the caller and the
# server that this benchmark prints.
CALL_CPU_S = 300e-6


@attrs.frozen
class Scenario:
    """Surroundings and load of the node that is measured.

    `near` and `far` are the numbers of other nodes in its data centre and in
    other data centres; `workers` counts those per node of its data centre.
    `changes` is the number of new configurations during the measurement;
    `running` is the number of tasks that run throughout.
    """

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


FLEET_OF_18 = Scenario(378, 1, 16, changes=8, running=322)
FLEET_OF_36 = Scenario(189, 3, 32, changes=8, running=161)
DESIGN_SCENARIOS = {
    '18 nodes, idle': FLEET_OF_18,
    '36 nodes, idle': FLEET_OF_36,
    '18 nodes, idle, sync 10 s': attrs.evolve(FLEET_OF_18, sync_wait_s=10.0),
    '36 nodes, idle, sync 10 s': attrs.evolve(FLEET_OF_36, sync_wait_s=10.0),
    '18 nodes, peak': attrs.evolve(FLEET_OF_18, starts_per_s=233, run_s=5.0),
    '36 nodes, peak': attrs.evolve(FLEET_OF_36, starts_per_s=117, run_s=5.0),
}


def main() -> None:
    """Print all measurements; with --memory, only those of memory."""
    if '--memory' in sys.argv:
        memory.print_memory()
        return
    _print_header_sizes()
    _print_call_cpu()
    sizes_by_parameter: dict[str, Iterable[int]] = {
        'workers': WORKERS,
        'near': NEAR_NODES,
        'far': FAR_NODES,
        'teams': TEAMS,
        'keys': KEYS,
        'changes': CHANGES,
        'starts_per_s': STARTS_PER_S,
        'requests_per_s': REQUESTS_PER_S,
        'running': RUNNING_TASKS,
    }
    for name, sizes in sizes_by_parameter.items():
        # Keys are distributed as part of a new configuration, so without
        # changes their number would make no difference.
        base = Scenario(changes=20) if name == 'keys' else Scenario()
        _print_slopes(
            name, [attrs.evolve(base, **{name: size}) for size in sizes]
        )
    for name, scenario in DESIGN_SCENARIOS.items():
        _print_design(name, scenario)
    memory.print_memory()


def _build_world(scenario: Scenario) -> traffic.MeteredWorld:
    world = traffic.MeteredWorld(SEED, 'n0', sync_wait_s=scenario.sync_wait_s)
    upstream = fleets.UPSTREAM
    for number in range(scenario.workers * (1 + scenario.near)):
        world.add_worker(f'w{number}', 'dc0', upstream)
    for number in range(scenario.far):
        world.add_worker(f'f{number}', f'dc{1 + number // 4}', upstream)
    world.configure(fits.fleet_document(scenario.teams, scenario.keys))
    for number in range(1 + scenario.near):
        world.add_node(f'n{number}', 'dc0')
    for number in range(scenario.far):
        world.add_node(f'm{number}', f'dc{1 + number // 4}')
    return world


def _run_metered(scenario: Scenario) -> traffic.MeteredWorld:
    """Let a node settle, then meter it under constant load.

    Metering starts five seconds after the load.
    """
    world = _build_world(scenario)
    world.run(SETTLE_S)
    state = world.nodes_by_name['n0'].state
    assert state.config.version, 'the configuration is not in force'
    for team in range(scenario.teams):
        tasks = (scenario.running + team) // scenario.teams
        if tasks:
            world.submit(
                'n0',
                f's{team}',
                'batch',
                f'of-t{team}',
                tasks=tasks,
                run_s=LONG_RUN_S,
            )
    changes_made = 0
    for second in range(-5, int(MEASURE_S)):
        if second == 0:
            world.start_metering()
        changes_due = scenario.changes * (second + 1) // int(MEASURE_S)
        if changes_made < changes_due:
            changes_made += 1
            world.configure(fits.fleet_document(scenario.teams, scenario.keys))
        if scenario.starts_per_s:
            world.submit(
                'n0',
                f'j{second}',
                'batch',
                f'of-t{second % scenario.teams}',
                tasks=scenario.starts_per_s,
                run_s=scenario.run_s,
            )
        for number in range(scenario.requests_per_s):
            world.request(
                'n0', f'r{second}-{number}', 'check', 'of-t0', run_s=0.1
            )
            world.run(1.0 / scenario.requests_per_s)
        if not scenario.requests_per_s:
            world.run(1.0)
    return world


def _print_slopes(name: str, scenarios: list[Scenario]) -> None:
    """Print how each flow of a node grows with one parameter."""
    _write_line(
        f'\n{name}: flow, per second: slope (standard error) + intercept'
    )
    values_by_series: dict[tuple[str, str], dict[int, float]] = {}
    for scenario in scenarios:
        world = _run_metered(scenario)
        size = getattr(scenario, name)
        if name == 'workers':
            size = _count_owned_workers(world)
        for (flow, unit), value in _rates_by_series(world).items():
            values_by_series.setdefault((flow, unit), {})[size] = value
    sizes = sorted(
        set().union(*(values.keys() for values in values_by_series.values()))
    )
    for (flow, unit), values in sorted(values_by_series.items()):
        fit = fits.Fit.least_squares(
            [(size, values.get(size, 0.0)) for size in sizes]
        )
        _write_line(
            f'  {flow:18} {unit:6} {fit.slope:10.4f} ({fit.slope_error:.4f}) '
            f'+ {fit.intercept:.2f}'
        )


def _print_design(name: str, scenario: Scenario) -> None:
    """Print all flows of a node in a scenario of the design size."""
    world = _run_metered(scenario)
    state = world.nodes_by_name['n0'].state
    running = sum(
        len(slice_.tasks_by_id) for slice_ in state.slices_by_number.values()
    )
    _write_line(
        f'\n{name}: {_count_owned_workers(world)} workers, {running} tasks, '
        f'each second:'
    )
    rates = _rates_by_series(world)
    for flow in sorted({flow for flow, _ in rates}):
        calls = rates[(flow, 'calls')]
        cores_used = rates[(flow, 'cpu us')] * 1e-6 + calls * CALL_CPU_S
        _write_line(
            f'  {flow:18} {calls:8.2f} calls {rates[(flow, "bytes")]:9.0f} '
            f'bytes {cores_used:7.2%} of a core'
        )

    rows: dict[str, list[int]] = {}
    for key, (_, value) in world.table.rows_by_key.items():
        size = len(json.dumps(value)) + len(key)
        rows.setdefault(key.partition('/')[0], []).append(size)
    for prefix, values in rows.items():
        _write_line(f'  rows {prefix}: {len(values)}, {sum(values)} bytes')


def _count_owned_workers(world: traffic.MeteredWorld) -> int:
    slices = world.nodes_by_name['n0'].state.slices_by_number.values()
    return sum(len(slice_.ledger.workers_by_name) for slice_ in slices)


def _rates_by_series(
    world: traffic.MeteredWorld,
) -> dict[tuple[str, str], float]:
    rates = {}
    total = traffic.Flow()
    for name, flow in world.flows.items():
        rates[(name, 'calls')] = flow.calls / MEASURE_S
        rates[(name, 'bytes')] = flow.byte_count / MEASURE_S
        rates[(name, 'cpu us')] = 1e6 * flow.cpu_s / MEASURE_S
        if name not in traffic.WORK_EFFECTS:
            total.calls += flow.calls
            total.byte_count += flow.byte_count
            total.cpu_s += flow.cpu_s
    rates[(TOTAL, 'calls')] = total.calls / MEASURE_S
    rates[(TOTAL, 'bytes')] = total.byte_count / MEASURE_S
    rates[(TOTAL, 'cpu us')] = 1e6 * total.cpu_s / MEASURE_S
    return rates


def _print_header_sizes() -> None:
    """Print the header bytes of a real call over loopback."""
    header_sizes: list[int] = []

    async def read_request(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b'\r\n\r\n')
        header_sizes.append(len(head))
        writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}')
        await writer.drain()
        writer.close()

    async def measure() -> tuple[int, int]:
        server = await asyncio.start_server(read_request, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        await _make_calls(port, 1)
        server.close()
        runner, port = await _start_server()
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(
            b'POST /peer/v1/messages HTTP/1.1\r\nHost: x\r\n'
            b'Content-Length: 2\r\n\r\n{}'
        )
        reply = await reader.readuntil(b'\r\n\r\n')
        writer.close()
        await runner.cleanup()
        return header_sizes[0], len(reply)

    request, reply = asyncio.run(measure())
    _write_line(
        f'headers of a call: {request} bytes sent, {reply} received; '
        f'counted as {traffic.HEADER_BYTES}'
    )


async def _start_server() -> tuple[web.AppRunner, int]:
    async def echo(request: web.Request) -> web.Response:
        return web.json_response(await request.json())

    app = web.Application()
    app.router.add_post('/peer/v1/messages', echo)
    runner = web.AppRunner(app)
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    return runner, runner.addresses[0][1]


async def _make_calls(port: int, calls: int) -> None:
    pool = pools.ChannelPool()
    url = f'http://127.0.0.1:{port}/peer/v1/messages'
    headers = {'Authorization': f'Bearer {traffic.TOKEN}'}
    for _ in range(calls):
        await _calls.call(pool.get(url), 'POST', url, {'a': 1}, 5.0, headers)
    await pool.close()


def _print_call_cpu() -> None:
    """Print the processor time of a call at the caller and at the server.

    Each of the two runs in a thread of its own.
    """
    ready = threading.Event()
    stop = threading.Event()
    ports: list[int] = []
    server_s: list[float] = []

    def serve() -> None:
        async def run() -> None:
            runner, port = await _start_server()
            ports.append(port)
            ready.set()
            began = time.thread_time()
            while not stop.is_set():
                await asyncio.sleep(0.05)
            server_s.append(time.thread_time() - began)
            await runner.cleanup()

        asyncio.run(run())

    thread = threading.Thread(target=serve)
    thread.start()
    ready.wait()
    began = time.thread_time()
    asyncio.run(_make_calls(ports[0], CALLS))
    caller_s = time.thread_time() - began
    stop.set()
    thread.join()
    _write_line(
        f'processor time of a call: {1e6 * caller_s / CALLS:.0f} us at the '
        f'caller, {1e6 * server_s[0] / CALLS:.0f} us at the server'
    )


def _write_line(line: str) -> None:
    sys.stdout.write(line + '\n')


if __name__ == '__main__':
    main()
