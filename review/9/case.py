"""Accepted scheduled jobs keep every node from running, for good."""

import asyncio
import pathlib
import time

import lab_two as lab

FOLDER = pathlib.Path(__file__).resolve().parent
WORKERS = 6
NODES = 3
# `limits.memory_mb` of the small sites. The platform kills a process that
# exceeds it, and starts it again after a short delay. Only private memory is
# counted here, which is less than all that the process uses.
MEMORY_MB = 300
RESTART_S = 1.0
JOBS = 30
# Once a minute for a day; without the disruption, as on the sites.
REPETITIONS = 1440 if lab.has_trouble() else 8
INTERVAL_MS = 60_000
# When the first occurrences are due, and when the traffic ends.
DUE_S = 25.0
TRAFFIC_S = 30.0
FINISH_S = lab.BOUNDS['finish_s']
STANDSTILL_S = 3.0
WATCH_S = 15.0


def memory_mb(node: lab.Node) -> float:
    """Return the private memory of a node's process."""
    assert node.process is not None
    path = pathlib.Path(f'/proc/{node.process.pid}/status')
    try:
        for line in path.read_text().splitlines():
            if line.startswith('RssAnon'):
                return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0.0


async def supervise(
    node: lab.Node, record: lab.Record, kills: dict[str, int]
) -> None:
    """Kill a node that exceeds its memory, and start it again."""
    while True:
        await asyncio.sleep(0.02)
        used = memory_mb(node)
        if used > MEMORY_MB:
            record.write(f'{node.name} uses {used:.0f} MB and is killed')
            kills[node.name] = kills.get(node.name, 0) + 1
            await node.end()
            await asyncio.sleep(RESTART_S)
            await node.start()
            record.write(f'{node.name} is started again')


async def submit(cluster: lab.Lab, due_ms: int) -> set[str]:
    """Submit the jobs, each until it is accepted, until the traffic ends."""
    body = lab.job_body(
        {'took_s': 0.5},
        {'count': 6, 'cpu': 500, 'mem_mb': 64, 'estimated_ms': 500},
    ) | {
        'repetitions': REPETITIONS,
        'interval_ms': INTERVAL_MS,
        'start_time_ms': due_ms,
    }
    accepted: set[str] = set()
    until = time.monotonic() + TRAFFIC_S
    calls = 0
    while time.monotonic() < until and len(accepted) < JOBS:
        job = lab.job_id(0x7001 + calls % JOBS)
        node = cluster.nodes[calls % NODES]
        calls += 1
        if job not in accepted:
            status, _ = await cluster.call(node, 'POST', 'check', job, body)
            if status == 200:
                accepted.add(job)
            await asyncio.sleep(0.15)
    await asyncio.sleep(max(0.0, until - time.monotonic()))
    return accepted


async def case(folder: str, record: lab.Record) -> bool:
    """Return whether accepted jobs that are due stand still."""
    workers = [lab.Worker(f'i-{number}', record) for number in range(WORKERS)]
    platform = lab.Platform(
        record, workers, [{'name': 'check', 'priority': 0}]
    )
    kills: dict[str, int] = {}
    async with lab.Lab(folder, record, platform, NODES) as cluster:
        for node in cluster.nodes:
            record.write(f'{node.name} uses {memory_mb(node):.0f} MB')
        supervisors = [
            asyncio.create_task(supervise(node, record, kills))
            for node in cluster.nodes
        ]
        due_ms = int((time.time() + DUE_S) * 1000)
        accepted = await submit(cluster, due_ms)
        record.write(f'the traffic ends; {len(accepted)} jobs were accepted')
        await asyncio.sleep(FINISH_S)
        answered = 0
        for job in sorted(accepted):
            status, _ = await cluster.call(
                cluster.nodes[0], 'GET', 'check', job
            )
            answered += status == 200
        idle_since = time.monotonic()
        longest_s = 0.0
        until = idle_since + WATCH_S
        while time.monotonic() < until:
            await asyncio.sleep(0.02)
            if any(worker.running for worker in workers):
                idle_since = time.monotonic()
            longest_s = max(longest_s, time.monotonic() - idle_since)
        due = {f'{job}.0.0.{index}' for job in accepted for index in range(6)}
        done = {
            run.task
            for worker in workers
            for run in worker.runs
            if run.how == 'done'
        }
        for supervisor in supervisors:
            supervisor.cancel()
        record.write(
            f'{answered} of {len(accepted)} states were told; '
            f'{len(due - done)} of {len(due)} tasks of the first occurrences, '
            'which were due before the traffic ended, have not been done; '
            f'nothing ran for {longest_s:.1f} s; kills: {kills}'
        )
        return bool(due - done) and longest_s > STANDSTILL_S


lab.main(case, FOLDER)
