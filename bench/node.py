"""Latency and throughput of one node, beside a direct call to a worker."""

import asyncio
import os
import pathlib
import statistics
import sys
import time
from typing import Any

import aiohttp
import attrs
import uvloop

import celeryshift_client
from celeryshift_standins import bed as beds

SLOTS = 64
WORKERS = 2
CONNECTIONS = 64
SECONDS = 5.0
WARM_UP_S = 1.0
RATES_PER_S = (250, 500, 1000)
PAYLOAD = {'name': 'Maria da Conceição', 'rules': [1, 2, 3]}


@attrs.frozen
class Result:
    """Hold what one run of load measured."""

    name: str
    rate_per_s: float
    median_ms: float
    p99_ms: float
    failures: int
    core_share: float = 0.0


class Target:
    """Send one kind of call again and again."""

    def __init__(
        self, name: str, url: str, headers: dict[str, str], body: Any
    ) -> None:
        self.name = name
        self._url = url
        self._headers = headers
        self._body = body
        self._count = 0

    async def call(self, session: aiohttp.ClientSession) -> bool:
        """Make one call; tell whether it was answered."""
        self._count += 1
        body = {**self._body, 'run_id': f'b{self._count}~1'}
        if 'queue' in self._body:
            body = self._body
        async with session.post(
            self._url, json=body, headers=self._headers
        ) as response:
            await response.read()
            return response.status == 200


async def closed(target: Target, seconds: float) -> Result:
    """Keep a number of calls open at all times."""
    took: list[float] = []
    failures = 0
    ends_at = time.perf_counter() + seconds

    async def send(session: aiohttp.ClientSession) -> None:
        nonlocal failures
        while time.perf_counter() < ends_at:
            began = time.perf_counter()
            if await target.call(session):
                took.append(time.perf_counter() - began)
            else:
                failures += 1

    async with _session() as session:
        await asyncio.gather(*(send(session) for _ in range(CONNECTIONS)))
    return _result(f'{target.name}, closed', took, seconds, failures)


async def paced(target: Target, rate: float, seconds: float) -> Result:
    """Send calls at an even rate, whether or not they are answered."""
    took: list[float] = []
    failures = 0

    async def send(session: aiohttp.ClientSession) -> None:
        nonlocal failures
        began = time.perf_counter()
        if await target.call(session):
            took.append(time.perf_counter() - began)
        else:
            failures += 1

    async with _session() as session:
        loop = asyncio.get_running_loop()
        begins_at = loop.time()
        calls = []
        for number in range(int(rate * seconds)):
            delay_s = begins_at + number / rate - loop.time()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            calls.append(asyncio.create_task(send(session)))
        await asyncio.gather(*calls)
    name = f'{target.name}, {rate:.0f}/s'
    return _result(name, took, seconds, failures)


def cpu_seconds(pid: int) -> float:
    """Give the processor time that a process has used, in seconds."""
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rsplit(')', 1)[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / os.sysconf('SC_CLK_TCK')


async def measure() -> list[Result]:
    """Measure a worker and a node at rising rates, then at full load."""
    async with beds.Bed(slices=1) as bed:
        await bed.add_workers('dc1', WORKERS, 'coding', SLOTS)
        node = await bed.add_node('node', 'dc1')
        fleet = celeryshift_client.Fleet()
        fleet.upstream('coding')
        fleet.team('public', limit_slots=10_000)
        fleet.queue('walk-in', open_for='public')
        fleet.request('validate', 'coding', urgent=True, timeout_s=5.0)
        await bed.submit_config(fleet)
        await bed.wait_for_owners()
        direct, through = _targets(bed, node)
        results = []
        await closed(through, WARM_UP_S)
        for rate in RATES_PER_S:
            for target in (direct, through):
                results.append(await paced(target, rate, SECONDS))
        for target in (direct, through):
            before = cpu_seconds(node.process.pid)
            result = await closed(target, SECONDS)
            used = cpu_seconds(node.process.pid) - before
            results.append(attrs.evolve(result, core_share=used / SECONDS))
    return results


def report(results: list[Result]) -> None:
    """Print what was measured."""
    write = sys.stdout.write
    write('run                      rate/s  median ms  p99 ms  failed  core\n')
    for result in results:
        write(
            f'{result.name:24}{result.rate_per_s:7.0f}{result.median_ms:11.2f}'
            f'{result.p99_ms:8.2f}{result.failures:8}'
            f'{result.core_share:6.2f}\n'
        )
    by_name = {result.name: result for result in results}
    for rate in RATES_PER_S:
        direct = by_name[f'worker, {rate}/s']
        through = by_name[f'node, {rate}/s']
        write(
            f'added at {rate}/s: median '
            f'{through.median_ms - direct.median_ms:.2f} ms, p99 '
            f'{through.p99_ms - direct.p99_ms:.2f} ms\n'
        )
    full = by_name['node, closed']
    if full.core_share:
        per_core = full.rate_per_s / full.core_share
        write(f'requests a second for each core used: {per_core:.0f}\n')


def _targets(bed: beds.Bed, node: beds.Member) -> tuple[Target, Target]:
    worker = next(iter(bed.workers_by_name.values()))
    size = {'slots': 1, 'cpu_milli': 0, 'memory_mb': 0, 'accelerators': 0}
    body = {
        'team': 'public',
        'kind': 'validate',
        'size': size,
        'timeout_s': 5.0,
        'payload': PAYLOAD,
    }
    direct = Target('worker', f'{worker.url}/v1/requests', {}, body)
    asked = {'kind': 'validate', 'queue': 'walk-in', 'payload': PAYLOAD}
    return direct, Target('node', f'{node.url}/v1/requests', {}, asked)


def _session() -> aiohttp.ClientSession:
    connector = aiohttp.TCPConnector(limit=0)
    return aiohttp.ClientSession(connector=connector)


def _result(
    name: str, took: list[float], seconds: float, failures: int
) -> Result:
    ordered = sorted(took)
    return Result(
        name,
        len(ordered) / seconds,
        1000 * statistics.median(ordered),
        1000 * ordered[int(len(ordered) * 0.99)],
        failures,
    )


if __name__ == '__main__':
    report(uvloop.run(measure()))
