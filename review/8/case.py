"""Nodes restart while the store is away; a tenant's maximum is not kept."""

import asyncio
import pathlib
import time
from typing import Any

import lab_two as lab

FOLDER = pathlib.Path(__file__).resolve().parent
WORKERS = 6
NODES = 3
MAXIMUM_CORES = 16
TASKS = 300
JOBS = 3
TASK_S = 2.0
# How long after the restart of the nodes the store answers again. The whole
# outage is shorter than that of `platform_down` on the sites: for_s 4.5.
BACK_AFTER_S = 0.6
LONGEST_OUTAGE_S = 4.5
WATCH_S = 8.0


class SilentPlatform(lab.Platform):
    """Platform whose store may answer nothing for a while."""

    is_silent = False
    maximum = MAXIMUM_CORES * 1000

    async def _answer(self, request: Any) -> Any:
        if self.is_silent and not request.path.endswith('advise'):
            await asyncio.sleep(3600)
        return await super()._answer(request)


async def case(folder: str, record: lab.Record) -> bool:
    """Return whether a start brought the tenant over its maximum."""
    workers = [lab.Worker(f'i-{number}', record) for number in range(WORKERS)]
    platform = SilentPlatform(
        record, workers, [{'name': 'check', 'priority': 0}]
    )
    async with lab.Lab(folder, record, platform, NODES) as cluster:
        body = lab.job_body(
            {'took_s': TASK_S},
            {
                'count': TASKS,
                'cpu': 1000,
                'mem_mb': 512,
                'estimated_ms': int(TASK_S * 1000),
            },
        )
        for number in range(JOBS):
            job = lab.job_id(0x8001 + number)
            await cluster.call(
                cluster.nodes[number % NODES], 'POST', 'check', job, body
            )
        await asyncio.sleep(3.0)

        def running() -> int:
            return sum(len(worker.running) for worker in workers)

        record.write(f'{running()} cores of the tenant are in use')
        if lab.has_trouble():
            record.write('the store is silent')
            went_at = time.monotonic()
            platform.is_silent = True
            record.write('all nodes are killed and start again')
            await asyncio.gather(*(node.end() for node in cluster.nodes))
            counts = [len(n.decisions('started')) for n in cluster.nodes]
            await asyncio.gather(*(node.start() for node in cluster.nodes))
            while any(
                len(node.decisions('started')) == count
                for node, count in zip(cluster.nodes, counts, strict=True)
            ):
                await asyncio.sleep(0.02)
            await asyncio.sleep(BACK_AFTER_S)
            platform.is_silent = False
            outage_s = time.monotonic() - went_at
            record.write(f'the store answers again, after {outage_s:.2f} s')
            if outage_s > LONGEST_OUTAGE_S:
                raise RuntimeError('the outage took too long')
        most = 0
        until = time.monotonic() + WATCH_S
        while time.monotonic() < until:
            if running() > most:
                most = running()
                record.write(f'{most} cores of the tenant are in use')
            await asyncio.sleep(0.005)
        allowed = MAXIMUM_CORES * (1 + lab.BOUNDS['quota_overage']) + 1
        record.write(f'most in use: {most}; allowed: {allowed:.1f}')
        return most > allowed


lab.main(case, FOLDER)
