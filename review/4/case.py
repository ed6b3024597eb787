"""A client leaves while its job is being stored, and cancels the job."""

import asyncio
import contextlib

import aiohttp
import lab

# platform_slow of ctandino-shift: x 60.0, for_s 4.5.
SLOW_FACTOR = 60
SLOW_S = 2.0
# The client leaves before its time budget of 3 s (`give_up`).
LEAVES_AFTER_S = 0.15
# give_up of ctandino-shift: share 0.25, for_s 5.5. One of five clients leaves.
STAYING = 4
CANCEL_S = lab.BOUNDS['cancel_ms'] / 1000
CONTACT_S = lab.BOUNDS['contact_ms'] / 1000


async def hand_in(site, job, body):
    """Send a POST whose client leaves early."""
    headers = {
        'Host': lab.FIELD_HOST,
        'Authorization': f'Token {lab.KEY}',
        'Deadline-Ms': '3000',
    }
    url = f'http://{lab.HOST}:{site.nodes[0].front}{lab.PREFIX}{job}'
    status = 'no answer yet, the client leaves'
    with contextlib.suppress(TimeoutError, aiohttp.ClientError):
        async with (
            asyncio.timeout(LEAVES_AFTER_S),
            site.session.post(url, json=body, headers=headers) as response,
        ):
            status = response.status
    site.record.write(f'POST {lab.PREFIX}{job} at n0: {status}')


async def cancel(site, job):
    """Cancel until there is a 2xx or a 410; return when it came."""
    for attempt in range(8):
        status, _ = await site.call('DELETE', job, node=1 + attempt % 2)
        if status in (200, 410):
            return status, site.record.now()
        await asyncio.sleep(0.3)
    raise RuntimeError('the cancel was not acknowledged')


async def case(record_path):
    async with lab.Site(record_path, ['a'] * 8) as site:
        await site.ready()
        if lab.TROUBLE:
            site.store.slow_down(SLOW_FACTOR)
            site.record.write(f'the store is slow by {SLOW_FACTOR}')
        slow_from = site.record.now()
        await asyncio.sleep(0.5)
        job = lab.job_id(1)
        body = lab.job(
            2.5,
            lab.step(2.5, 2),
            lab.step(2.5, 2, after=[0]),
            lab.step(2.5, 2, after=[1]),
        )
        staying = [
            asyncio.create_task(
                site.submit(
                    lab.job_id(2 + n), lab.job(1.0, lab.step(1.0)), n % 3
                )
            )
            for n in range(STAYING)
        ]
        await hand_in(site, job, body)
        status, acknowledged = await cancel(site, job)
        await asyncio.sleep(slow_from + SLOW_S - site.record.now())
        site.store.slow_down(1)
        calm_from = site.record.now() + (CONTACT_S if lab.TROUBLE else 0)
        site.record.write('the store is as usual')
        await asyncio.sleep(14.0)
        state = await site.state(job)
        accepted = sum([await task for task in staying])
        late = {
            run.task: round(run.at - acknowledged, 1)
            for run in site.starts
            if run.task.startswith(job)
            if run.at > acknowledged + CANCEL_S and run.at > calm_from
        }
        return bool(late), (
            f'DELETE answered {status}, the job is then {state!r}; '
            f'{accepted} other jobs accepted; its starts by machines in '
            f'touch later than {CANCEL_S} s after the answer, with their seconds after '
            f'it: {late}'
        )


lab.main(case)
