"""Memory used by the records of a node, and by the process itself."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import gc
import os
import pathlib
import subprocess
import sys
import tracemalloc
from typing import Any

from bench import fits
from bench import fleets
import celeryshift_core as core
from celeryshift_core import _config
from celeryshift_core import _jobs
from celeryshift_core import _placement
from celeryshift_core import _state
from celeryshift_core import _tasks
from celeryshift_core import events
from celeryshift_net import pools
from celeryshift_node import _calls

WORKERS = (24, 95, 189, 378)
SEED = 1
REQUEST_TIMEOUT_S = 3600.0


def print_memory() -> None:
    """Print the memory of each kind of record, and of the process."""
    _write_line('\nmemory: slope (standard error), bytes for each')
    series_by_name: dict[str, tuple[Iterable[int], Callable[[int], Any]]] = {
        'worker': (WORKERS, fleets.build_slice),
        'task waiting': ((2000, 4000, 8000, 16000), _build_waiting_tasks),
        'job of one task': ((500, 1000, 2000, 4000), _build_single_task_jobs),
        'request': ((500, 1000, 2000, 4000), _build_requests),
        'connection': ((50, 100, 200, 400), _measure_connections),
        'task running': ((200, 400, 800, 1600), _build_running_tasks),
        'peer': ((50, 100, 200, 400), _build_peers),
        'team': ((50, 100, 200, 400), lambda count: _parse_config(count, 0)),
        'key': ((50, 100, 200, 400), lambda count: _parse_config(1, count)),
        'VM listed': ((200, 400, 800, 1600), _build_vms),
    }
    for name, (sizes, build) in series_by_name.items():
        # Warm-up: memory that is allocated only once is not measured.
        build(min(sizes))
        points = [(float(size), _measure_bytes(build, size)) for size in sizes]
        fit = fits.Fit.least_squares(points)
        _write_line(f'  {name:14} {fit.slope:8.0f} ({fit.slope_error:.0f})')
    code = (
        'import celeryshift_node._main, pathlib;'
        'print(pathlib.Path("/proc/self/statm").read_text().split()[1])'
    )
    pages = int(subprocess.check_output([sys.executable, '-c', code]))
    page_bytes = os.sysconf('SC_PAGE_SIZE')
    _write_line(
        f'  program after import, resident: '
        f'{pages * page_bytes / 2**20:.1f} MiB'
    )
    own_pages = pathlib.Path('/proc/self/statm').read_text().split()[1]
    _write_line(
        f'  this benchmark, resident: '
        f'{int(own_pages) * page_bytes / 2**20:.1f} MiB'
    )


def _measure_bytes(build: Callable[[int], Any], count: int) -> float:
    gc.collect()
    tracemalloc.start()
    built = build(count)
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    # _measure_connections returns its own measurement.
    if isinstance(built, float):
        return built
    assert built is not None
    return float(size)


def _build_waiting_tasks(count: int) -> Any:
    state, slice_ = fleets.build_slice(1)
    fleets.fill_queue(state, slice_, count, SEED)
    return state


def _build_single_task_jobs(count: int) -> Any:
    state, slice_ = fleets.build_slice(1)
    kind = 'k0'
    size = state.config.kinds[kind].size
    for number in range(count):
        job = _tasks.Job(f't00:j{number}', 't00', kind, 1, {}, size)
        _jobs.accept(state, slice_, job)
    return state


def _build_requests(count: int) -> Any:
    state, slice_ = fleets.build_slice(1)
    document = fits.fleet_document(1, 0)
    document['kinds']['check']['timeout_s'] = REQUEST_TIMEOUT_S
    state.config = _config.parse({**document, 'version': 1})
    state.now = 1.0
    state.fleet.add(_build_vms(1)[0], 1)
    state.config_confirmed_at = 1.0
    slice_.allotment.slots_by_team = {'t0': fits.LIMIT_SLOTS}
    credentials = events.Credentials('of-t0', '', '')
    for number in range(count):
        name = f'r{number}'
        core.reduce(
            state, events.RequestArrived(0.0, name, name, 'check', credentials)
        )
    assert len(state.requests_by_id) == count
    return state


async def _serve_connection(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    while await reader.read(4096):
        writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}')
    writer.close()


def _measure_connections(count: int) -> Any:
    """Return the bytes that open connections to `count` addresses take.

    Both ends of each connection count.
    """

    async def measure() -> float:
        server = await asyncio.start_server(_serve_connection, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        pool = pools.ChannelPool()
        before, _ = tracemalloc.get_traced_memory()
        for number in range(count):
            url = f'http://127.0.0.1:{port}'
            # The fragment makes each address distinct, though all have the
            # same port.
            channel = pool.get(f'{url}#{number}')
            await _calls.call(
                channel, 'POST', f'{url}/peer/v1/messages', {'a': 1}, 5.0
            )
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
        await pool.close()
        server.close()
        return float(after - before)

    return asyncio.run(measure())


def _build_running_tasks(count: int) -> Any:
    """Start `count` tasks on as many workers, whose memory counts as well."""
    state, slice_ = fleets.build_slice(count)
    fleets.fill_queue(state, slice_, count, SEED)
    outbox: _state.Outbox = []
    state.slices_to_place[0] = None
    while len(slice_.unconfirmed_starts) < count:
        before = len(slice_.unconfirmed_starts)
        _placement.place_on_marked_slices(state, outbox)
        state.slices_to_place[0] = None
        if len(slice_.unconfirmed_starts) == before:
            break
    return state


def _build_peers(count: int) -> Any:
    return [
        _state.Peer(
            f'10.0.0.{number}:7400/{number:012x}',
            f'10.0.0.{number}:7400',
            'dc1',
            1,
            0.0,
            free_slots_by_upstream={fleets.UPSTREAM: number},
        )
        for number in range(count)
    ]


def _parse_config(teams: int, keys: int) -> core.Config:
    return _config.parse({**fits.fleet_document(teams, keys), 'version': 1})


def _build_vms(count: int) -> Any:
    return [
        events.Vm(
            f'w{number}',
            events.VmRole.WORKER,
            f'10.1.{number}',
            'dc1',
            f'r{number // 6}',
            fleets.UPSTREAM,
            events.VmState.LIVE,
            core.Size(8, 32_000, 131_072 + number, 0),
        )
        for number in range(count)
    ]


def _write_line(line: str) -> None:
    sys.stdout.write(line + '\n')
