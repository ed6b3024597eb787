"""Cancellation of jobs that are being stored.

To run a range of seeds: ``python -m tests.test_cell_cancels 100 400``.
"""

import asyncio
import random
import sys

import pytest
from tests import callsim
from tests import virtualtime

from celeryshift_cellnode import service
from celeryshift_standins import rowstore

Verdict = service.Verdict
JOB = 'a' * 16
# A store that is slow by 60, as `SLOW_S` for a transaction.
SLOW_S = 0.48
# Within this time the owner reads a cancellation and stores the end.
SETTLE_S = 12.0
SEEDS = range(40)
JOBS = 12
NODES = 4
FAULTS_S = 8.0
MAX_FROZEN_S = 6.0
MAX_ATTEMPTS = 8
LATENCIES_S = (0.0, 0.004, 0.24, SLOW_S, 1.2)
STORE_FAULTS = tuple(rowstore.Fault)


def _run(work):
    async def bounded():
        site = callsim.Site(NODES)
        await site.take_over(site.nodes[0])
        await asyncio.sleep(0.3)
        try:
            await work(site)
        finally:
            site.close()

    virtualtime.run(bounded(), 120.0)


async def _check_never_runs(site, job_id=JOB):
    await asyncio.sleep(SETTLE_S)
    assert not site.is_live(job_id)
    for node in site.nodes:
        assert await site.state(node, job_id) in (None, 'cancelled')


@pytest.mark.parametrize('canceller', range(NODES))
@pytest.mark.parametrize('after_s', [0.0, 0.15, 0.5, 0.9])
def test_a_job_cancelled_while_it_is_stored_never_runs(canceller, after_s):
    # The cancellation was answered with "no such job", and the job ran.
    async def work(site):
        site.rows.latency_s = SLOW_S
        submitter = site.nodes[1]
        submission = asyncio.create_task(site.submit(submitter, JOB))
        await asyncio.sleep(after_s)
        verdict = await site.cancel(site.nodes[canceller], JOB)
        assert verdict in (Verdict.OK, Verdict.NO_JOB)
        await submission
        site.rows.latency_s = 0.004
        await _check_never_runs(site)

    _run(work)


@pytest.mark.parametrize('frozen', [0, 1])
def test_a_node_that_goes_on_stores_no_job_cancelled_meanwhile(frozen):
    # The frozen node is the owner, or the one that got the job.
    async def work(site):
        site.nodes[frozen].frozen_until = asyncio.get_running_loop().time() + 2
        submission = asyncio.create_task(
            site.submit(site.nodes[1], JOB, timeout_s=6.0)
        )
        await asyncio.sleep(0.1)
        verdict = await site.cancel(site.nodes[2], JOB)
        assert verdict is Verdict.NO_JOB
        assert await submission is Verdict.WITHDRAWN
        await _check_never_runs(site)

    _run(work)


def test_a_late_write_without_the_owner_stores_no_cancelled_job():
    async def work(site):
        site.nodes[0].frozen_until = asyncio.get_running_loop().time() + 60
        site.rows.late_write_delay_s = 3.0
        submission = asyncio.create_task(
            site.submit(site.nodes[1], JOB, timeout_s=1.5)
        )
        await asyncio.sleep(1.0)
        site.rows.faults = [rowstore.Fault.APPLY_LATE]
        await submission
        await site.cancel(site.nodes[2], JOB)
        await site.take_over(site.nodes[3])
        await _check_never_runs(site)

    _run(work)


def test_a_job_that_nobody_submitted_is_unknown_after_its_cancellation():
    async def work(site):
        for _ in range(2):
            verdict = await site.cancel(site.nodes[1], JOB)
            assert verdict is Verdict.NO_JOB
        assert await site.state(site.nodes[2], JOB) is None
        # A job that arrives late is refused, and nobody is told that it runs.
        for node in site.nodes:
            assert await site.submit(node, JOB) is Verdict.WITHDRAWN
        assert await site.state(site.nodes[2], JOB) is None

    _run(work)


def test_a_job_that_was_stored_before_is_cancelled():
    async def work(site):
        for number, node in enumerate(site.nodes):
            job = f'{number:016x}'
            assert await site.submit(site.nodes[1], job) is Verdict.OK
            assert await site.cancel(node, job) is Verdict.OK
            assert await site.cancel(node, job) is Verdict.OK
            await asyncio.sleep(0.5)
            assert await site.state(node, job) == 'cancelled'

    _run(work)


async def _caller(site, rng, job, verdicts):
    """Submit a job, and cancel it at another node, or leave it."""
    await asyncio.sleep(rng.uniform(0, FAULTS_S))
    cancels = rng.random() < 0.7
    submission = asyncio.create_task(
        _repeat(site.submit, site, rng, job, verdicts)
    )
    await asyncio.sleep(rng.choice((0.0, 0.05, 0.15, 0.5, 1.0, 3.0)))
    cancelled = []
    if cancels:
        await _repeat(site.cancel, site, rng, job, cancelled)
    await submission
    return cancels, cancelled


async def _repeat(act, site, rng, job, verdicts):
    """Call nodes until one gives a final answer."""
    for _ in range(MAX_ATTEMPTS):
        verdict = await act(rng.choice(site.nodes), job)
        verdicts.append(verdict)
        if verdict not in (Verdict.UNKNOWN, Verdict.UNAVAILABLE):
            return
        await asyncio.sleep(0.3)


async def _disturb(site, rng):
    """Slow down the store, lose writes, freeze nodes and change the owner."""
    loop = asyncio.get_running_loop()
    until = loop.time() + FAULTS_S
    while loop.time() < until:
        await asyncio.sleep(rng.uniform(0.1, 1.0))
        kind = rng.randrange(5)
        if kind == 0:
            site.rows.latency_s = rng.choice(LATENCIES_S)
        elif kind == 1:
            site.rows.late_write_delay_s = rng.uniform(0.1, 4.0)
            site.rows.faults.append(rng.choice(STORE_FAULTS))
        elif kind == 2:
            for node in rng.sample(site.nodes, rng.randint(1, NODES - 1)):
                frozen_s = rng.uniform(0.2, MAX_FROZEN_S)
                node.frozen_until = loop.time() + frozen_s
        elif kind == 3:
            await site.take_over(rng.choice(site.nodes))
        else:
            site.owner.frozen_until = loop.time() + rng.uniform(0.2, 4.0)


def simulate(seed):
    """Run callers and faults of a seed, and check what they were told."""
    rng = random.Random(seed)

    async def work(site):
        jobs = [f'{number:016x}' for number in range(JOBS)]
        submitted = {job: [] for job in jobs}
        disturbance = asyncio.create_task(_disturb(site, rng))
        results = await asyncio.gather(
            *(_caller(site, rng, job, submitted[job]) for job in jobs)
        )
        await disturbance
        site.rows.latency_s = 0.004
        site.rows.faults.clear()
        await asyncio.sleep(MAX_FROZEN_S)
        await site.take_over(site.nodes[0])
        await asyncio.sleep(SETTLE_S)
        for job, (cancels, cancelled) in zip(jobs, results, strict=True):
            told = f'seed {seed}, {job}: {submitted[job]}, {cancelled}'
            is_live = site.is_live(job)
            if {Verdict.OK, Verdict.NO_JOB} & set(cancelled):
                assert not is_live, told
            elif Verdict.OK in submitted[job]:
                assert is_live or cancels, told
            if not {Verdict.OK, Verdict.UNKNOWN} & set(submitted[job]):
                assert not is_live, told

    _run(work)


@pytest.mark.parametrize('seed', SEEDS)
def test_a_cancel_holds_while_nodes_and_the_store_fail_at_random(seed):
    simulate(seed)


if __name__ == '__main__':
    first, last = (int(text) for text in sys.argv[1:3])
    for number in range(first, last):
        try:
            simulate(number)
        except Exception as error:
            sys.stdout.write(f'{number}: {type(error).__name__} {error}\n')
