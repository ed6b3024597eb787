"""Memory of a node's records, and of the program itself."""

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
REQUEST_S = 3600.0


def report() -> None:
    """Print the memory of each kind of record, and of the program."""
    _say('\nmemory: slope (standard error), bytes for each')
    made: dict[str, tuple[Iterable[int], Callable[[int], Any]]] = {
        'worker': (WORKERS, fleets.build_slice),
        'task waiting': ((2000, 4000, 8000, 16000), _waiting),
        'job of one task': ((500, 1000, 2000, 4000), _jobs_of_one),
        'request': ((500, 1000, 2000, 4000), _requests),
        'connection': ((50, 100, 200, 400), _connections),
        'task running': ((200, 400, 800, 1600), _running),
        'peer': ((50, 100, 200, 400), _peers),
        'team': ((50, 100, 200, 400), lambda count: _configured(count, 0)),
        'key': ((50, 100, 200, 400), lambda count: _configured(1, count)),
        'VM listed': ((200, 400, 800, 1600), _vms),
    }
    for name, (sizes, make) in made.items():
        make(min(sizes))
        points = [(float(size), _size_of(make, size)) for size in sizes]
        fit = fits.Fit.of(points)
        _say(f'  {name:14} {fit.slope:8.0f} ({fit.error:.0f})')
    code = (
        'import celeryshift_node._main, pathlib;'
        'print(pathlib.Path("/proc/self/statm").read_text().split()[1])'
    )
    pages = int(subprocess.check_output([sys.executable, '-c', code]))
    page = os.sysconf('SC_PAGE_SIZE')
    _say(f'  program after import, resident: {pages * page / 2**20:.1f} MiB')
    own = pathlib.Path('/proc/self/statm').read_text().split()[1]
    _say(f'  this benchmark, resident: {int(own) * page / 2**20:.1f} MiB')


def _size_of(make: Callable[[int], Any], count: int) -> float:
    gc.collect()
    tracemalloc.start()
    kept = make(count)
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    if isinstance(kept, float):
        return kept
    assert kept is not None
    return float(size)


def _waiting(count: int) -> Any:
    state, held = fleets.build_slice(1)
    fleets.fill_queue(state, held, count, SEED)
    return state


def _jobs_of_one(count: int) -> Any:
    state, held = fleets.build_slice(1)
    kind = 'k0'
    size = state.config.kinds[kind].size
    for number in range(count):
        job = _tasks.Job(f't00:j{number}', 't00', kind, 1, {}, size)
        _jobs.accept(state, held, job)
    return state


def _requests(count: int) -> Any:
    state, held = fleets.build_slice(1)
    document = fits.document(1, 0)
    document['kinds']['check']['timeout_s'] = REQUEST_S
    state.config = _config.parse({**document, 'version': 1})
    state.now = 1.0
    state.fleet.add(_vms(1)[0], 1)
    state.config_confirmed_at = 1.0
    held.allotment.slots_by_team = {'t0': fits.LIMIT_SLOTS}
    credentials = events.Credentials('of-t0', '', '')
    for number in range(count):
        name = f'r{number}'
        core.reduce(
            state, events.RequestArrived(0.0, name, name, 'check', credentials)
        )
    assert len(state.requests_by_id) == count
    return state


async def _answer(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    while await reader.read(4096):
        writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}')
    writer.close()


def _connections(count: int) -> Any:
    """Open a connection to each of some addresses, and keep both ends."""

    async def hold() -> float:
        server = await asyncio.start_server(_answer, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        channels = pools.ChannelPool()
        before, _ = tracemalloc.get_traced_memory()
        for number in range(count):
            url = f'http://127.0.0.1:{port}'
            channel = channels.get(f'{url}#{number}')
            await _calls.call(
                channel, 'POST', f'{url}/peer/v1/messages', {'a': 1}, 5.0
            )
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
        await channels.close()
        server.close()
        return float(after - before)

    return asyncio.run(hold())


def _running(count: int) -> Any:
    state, held = fleets.build_slice(count)
    fleets.fill_queue(state, held, count, SEED)
    out: _state.Outbox = []
    state.slices_to_place[0] = None
    while len(held.unconfirmed_starts) < count:
        before = len(held.unconfirmed_starts)
        _placement.place_on_marked_slices(state, out)
        state.slices_to_place[0] = None
        if len(held.unconfirmed_starts) == before:
            break
    return state


def _peers(count: int) -> Any:
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


def _configured(teams: int, keys: int) -> core.Config:
    return _config.parse({**fits.document(teams, keys), 'version': 1})


def _vms(count: int) -> Any:
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


def _say(line: str) -> None:
    sys.stdout.write(line + '\n')
