"""Latency and throughput of one node, compared with direct worker calls."""

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
# Duration of each load run.
DURATION_S = 5.0
WARM_UP_S = 1.0
RATES_PER_S = (250, 500, 1000)
PAYLOAD = {'name': 'Maria da Conceição', 'rules': [1, 2, 3]}


@attrs.frozen
class Result:
    """Measurements of one load run.

    `cores_used` is the processor time of the node per second.
    """

    name: str
    rate_per_s: float
    median_ms: float
    p99_ms: float
    failures: int
    cores_used: float = 0.0


class Target:
    """Endpoint to which the same call is sent repeatedly."""

    def __init__(
        self, name: str, url: str, headers: dict[str, str], body: Any
    ) -> None:
        self.name = name
        self._url = url
        self._headers = headers
        self._body = body
        self._count = 0

    async def call(self, session: aiohttp.ClientSession) -> bool:
        """Make one call; return whether it succeeded."""
        self._count += 1
        body = {**self._body, 'run_id': f'b{self._count}~1'}
        # A request to a node, which assigns the run id itself.
        if 'queue' in self._body:
            body = self._body
        async with session.post(
            self._url, json=body, headers=self._headers
        ) as response:
            await response.read()
            return response.status == 200


async def run_closed_loop(target: Target, seconds: float) -> Result:
    """Keep a fixed number of calls in flight (closed-loop load)."""
    latencies_s: list[float] = []
    failures = 0
    ends_at = time.perf_counter() + seconds

    async def send_calls(session: aiohttp.ClientSession) -> None:
        nonlocal failures
        while time.perf_counter() < ends_at:
            began = time.perf_counter()
            if await target.call(session):
                latencies_s.append(time.perf_counter() - began)
            else:
                failures += 1

    async with _open_session() as session:
        await asyncio.gather(
            *(send_calls(session) for _ in range(CONNECTIONS))
        )
    return _summarize(f'{target.name}, closed', latencies_s, seconds, failures)


async def run_open_loop(target: Target, rate: float, seconds: float) -> Result:
    """Send calls at a constant rate, without waiting for responses."""
    latencies_s: list[float] = []
    failures = 0

    async def send_call(session: aiohttp.ClientSession) -> None:
        nonlocal failures
        began = time.perf_counter()
        if await target.call(session):
            latencies_s.append(time.perf_counter() - began)
        else:
            failures += 1

    async with _open_session() as session:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        calls = []
        for number in range(int(rate * seconds)):
            delay_s = started_at + number / rate - loop.time()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            calls.append(asyncio.create_task(send_call(session)))
        await asyncio.gather(*calls)
    name = f'{target.name}, {rate:.0f}/s'
    return _summarize(name, latencies_s, seconds, failures)


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
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
        via_worker, via_node = _build_targets(bed, node)
        results = []
        await run_closed_loop(via_node, WARM_UP_S)
        for rate in RATES_PER_S:
            for target in (via_worker, via_node):
                results.append(await run_open_loop(target, rate, DURATION_S))
        for target in (via_worker, via_node):
            before = cpu_seconds(node.process.pid)
            result = await run_closed_loop(target, DURATION_S)
            used = cpu_seconds(node.process.pid) - before
            results.append(attrs.evolve(result, cores_used=used / DURATION_S))
    return results


def print_results(results: list[Result]) -> None:
    """Print the measurements and the latency that the node adds."""
    write = sys.stdout.write
    write('run                      rate/s  median ms  p99 ms  failed  core\n')
    for result in results:
        write(
            f'{result.name:24}{result.rate_per_s:7.0f}{result.median_ms:11.2f}'
            f'{result.p99_ms:8.2f}{result.failures:8}'
            f'{result.cores_used:6.2f}\n'
        )
    by_name = {result.name: result for result in results}
    for rate in RATES_PER_S:
        via_worker = by_name[f'worker, {rate}/s']
        via_node = by_name[f'node, {rate}/s']
        write(
            f'added at {rate}/s: median '
            f'{via_node.median_ms - via_worker.median_ms:.2f} ms, p99 '
            f'{via_node.p99_ms - via_worker.p99_ms:.2f} ms\n'
        )
    node_result = by_name['node, closed']
    if node_result.cores_used:
        per_core = node_result.rate_per_s / node_result.cores_used
        write(f'requests a second for each core used: {per_core:.0f}\n')


def _build_targets(bed: beds.Bed, node: beds.Member) -> tuple[Target, Target]:
    worker = next(iter(bed.workers_by_name.values()))
    size = {'slots': 1, 'cpu_milli': 0, 'memory_mb': 0, 'accelerators': 0}
    worker_body = {
        'team': 'public',
        'kind': 'validate',
        'size': size,
        'timeout_s': 5.0,
        'payload': PAYLOAD,
    }
    via_worker = Target('worker', f'{worker.url}/v1/requests', {}, worker_body)
    node_body = {'kind': 'validate', 'queue': 'walk-in', 'payload': PAYLOAD}
    return via_worker, Target('node', f'{node.url}/v1/requests', {}, node_body)


def _open_session() -> aiohttp.ClientSession:
    connector = aiohttp.TCPConnector(limit=0)
    return aiohttp.ClientSession(connector=connector)


def _summarize(
    name: str, latencies_s: list[float], seconds: float, failures: int
) -> Result:
    ordered = sorted(latencies_s)
    return Result(
        name,
        len(ordered) / seconds,
        1000 * statistics.median(ordered),
        1000 * ordered[int(len(ordered) * 0.99)],
        failures,
    )


if __name__ == '__main__':
    print_results(uvloop.run(measure()))
