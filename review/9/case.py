"""A service stays down beside free capacity, since urgent work waits."""

import asyncio
import pathlib
import time

import lab_two as lab

FOLDER = pathlib.Path(__file__).resolve().parent
WORKERS = 3
BASE = lab.job_id(0x9001)
WATCH = lab.job_id(0x9002)
LARGE = lab.job_id(0x9003)
# What the rule allows after a run of a task that lasts, and for a standstill.
AFTER_RUN_S = 6.0
STANDSTILL_S = 3.0
OBSERVE_S = 14.0
# On the sites tasks take up to 9.6 s, and estimates are off by up to 0.9.
LARGE_S = 9.6
ESTIMATE_MS = 18_000
WATCH_CORES = 4
# More than twice what the tenant has running.
MAXIMUM_CORES = 200


async def case(folder: str, record: lab.Record) -> bool:
    """Return whether a task that lasts was not started again in time."""
    workers = [lab.Worker(f'i-{number}', record) for number in range(WORKERS)]
    platform = lab.Platform(
        record,
        workers,
        [
            {'name': 'check', 'priority': 0},
            {'name': 'watch', 'priority': 1},
        ],
    )
    platform.maximum = MAXIMUM_CORES * 1000
    async with lab.Lab(folder, record, platform, 3) as cluster:
        node = cluster.nodes[0]

        def lasting(count: int, cores: int) -> dict:
            return lab.job_body(
                {'lasts': True},
                {
                    'count': count,
                    'cpu': cores * 1000,
                    'mem_mb': 8000,
                    'estimated_ms': 500,
                    'long_running': True,
                    **({'anti_affinity': 1} if count > 1 else {}),
                },
            )

        await cluster.call(node, 'POST', 'watch', BASE, lasting(WORKERS, 12))
        await cluster.call(node, 'POST', 'watch', WATCH, lasting(1, 4))
        await asyncio.sleep(3.0)
        (run,) = [
            run
            for worker in workers
            for run in worker.running.values()
            if run.task.startswith(WATCH)
        ]
        if lab.has_trouble():
            large = lab.job_body(
                {'took_s': LARGE_S},
                {
                    'count': WORKERS,
                    'cpu': 24_000,
                    'mem_mb': 16_000,
                    'estimated_ms': ESTIMATE_MS,
                },
            )
            await cluster.call(node, 'POST', 'check', LARGE, large)
        await asyncio.sleep(1.0)
        (worker,) = [w for w in workers if w.id == run.worker]
        worker.fail(run)
        ended_at = time.monotonic()
        waited_s = 0.0
        while waited_s < OBSERVE_S:
            await asyncio.sleep(0.05)
            waited_s = time.monotonic() - ended_at
            if any(
                key[0].startswith(WATCH)
                for worker in workers
                for key in worker.running
            ):
                break
        free = [
            worker.cores
            - 12 * sum(key[0].startswith(BASE) for key in worker.running)
            for worker in workers
        ]
        record.write(
            f'{WATCH} was down for {waited_s:.2f} s; free cores on the '
            f'workers, of which it needs {WATCH_CORES}: {free}'
        )
        return waited_s > AFTER_RUN_S + STANDSTILL_S and all(
            cores >= 2 * WATCH_CORES for cores in free
        )


lab.main(case, FOLDER)
