"""Three of four nodes lose power at once and start again."""

import asyncio
import signal

import lab

# herd_kill of ctandino-shift: how power, share 1.0, for_s 9.5.
NODES = 4
LOST = 3
DOWN_S = 8.0
JOBS = 4
FINISH_S = lab.BOUNDS['finish_s']
# The queue and its policy service, as for `recodif-semanal`.
QUEUE = {
    'priority': 2,
    'max_attempts': 3,
    'stretch': 2.2,
    'target_duration_ms': 1200,
    'advice': {'decision_ms': 430, 'each_ms': 6.1, 'validity_ms': 2500},
}


async def case(record_path):
    async with lab.Site(record_path, ['a'] * 8, nodes=NODES, **QUEUE) as site:
        await site.ready()
        accepted = []

        async def submit(number):
            job = lab.job_id(number)
            body = lab.job(1.0, lab.step(1.0, 2))
            if await site.submit(job, body):
                accepted.append(job)

        # The system works before.
        await submit(1)
        await asyncio.sleep(3.0)
        if lab.TROUBLE:
            # Clients use the first node, which goes on.
            # A machine without power doesn't answer, and channels to it hang.
            for node in site.nodes[-LOST:]:
                node.process.send_signal(signal.SIGSTOP)
            site.record.write(f'{LOST} of {NODES} nodes lose power')
        await asyncio.sleep(3.0)
        for number in range(JOBS):
            await submit(2 + number)
            await asyncio.sleep(0.5)
        await asyncio.sleep(DOWN_S - 3.0 - 0.5 * JOBS)
        if lab.TROUBLE:
            for node in site.nodes[-LOST:]:
                node.process.kill()
                await node.process.wait()
                await node.start()
            site.record.write('these nodes start again')
        await asyncio.sleep(FINISH_S)
        starts = len(site.starts)
        # 4 s more without any disturbance, to see that nothing runs.
        await asyncio.sleep(4.0)
        states = {job: await site.state(job) for job in accepted}
        left = {j: s for j, s in states.items() if s != 'completed'}
        running = sum(len(worker.running) for worker in site.workers)
        is_broken = bool(left) and not running and len(site.starts) == starts
        return is_broken, (
            f'{len(accepted)} jobs accepted; {FINISH_S + 4} s after all nodes '
            f'are back {running} tasks run on 8 sound workers, and '
            f'{len(left)} jobs are not completed: {left}'
        )


lab.main(case)
