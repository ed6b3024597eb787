"""Node processes and workers that are cut off: no task runs twice at once."""

import asyncio
import signal
import time

from tests import test_cell_processes as processes

TASKS = 12
# Longer than any lease, so that a run ends with its lease.
LONG_S = 7.0
# How long a new owner waits for the runs of a silent worker: its longest lease
# on a slow clock.
DOUBT_S = 6.2
# How far the clock of a worker falls behind while it is idle.
LAG_S = 0.24
# How long an order to the former address of a worker and its answer take; both
# together stay below the timeout of a start, 0.3 s.
ORDER_DELAY_S = 0.2
ANSWER_DELAY_S = 0.05
# Time for starts that follow from the same decision.
SETTLE_S = 0.5
SLOW_STORE_S = 0.45


def test_a_worker_cut_off_after_idling_doubles_nothing(tmp_path):
    async def work(cluster):
        workers = cluster.site.workers
        joined_at = time.monotonic()
        lag = 1 - workers[0].clock_rate
        await processes.until(
            lambda: (time.monotonic() - joined_at) * lag > LAG_S, 20.0
        )
        polls = {worker.name: worker.polls for worker in workers}
        submitted = await cluster.submit(
            cluster.owner, processes.job_id(1), TASKS, LONG_S
        )
        assert submitted == 200
        await processes.until(
            lambda: sum(len(w.running) for w in workers) == TASKS
        )
        number = next(n for n, w in enumerate(workers) if w.running)
        worker = workers[number]
        cut_off = {task for task, _ in worker.running}
        # The first poll extends the lease once more, and waits for an end.
        await processes.until(lambda: worker.polls > polls[worker.name])
        cluster.proxies[number].cut()
        others = [w for w in workers if w is not worker]
        await processes.until(
            lambda: any(
                task in cut_off
                for other in others
                for task, _ in other.running
            )
        )

    processes.run(work, tmp_path)


def test_a_late_421_to_the_incarnation_before_doubles_nothing(tmp_path):
    async def work(cluster):
        owner, proxy = cluster.owner, cluster.proxies[0]
        worker, *others = cluster.site.workers
        proxy.delay_s = ORDER_DELAY_S
        assert await cluster.submit(owner, processes.job_id(1), 1) == 200
        await processes.until(lambda: owner.decisions('tasks_placed'))
        cluster.site.move(worker)
        submitted = await cluster.submit(
            owner, processes.job_id(2), TASKS, LONG_S
        )
        assert submitted == 200
        proxy.delay_s = ANSWER_DELAY_S
        await processes.until(
            lambda: sum(len(w.starts) for w in (worker, *others)) >= TASKS
        )
        first_task = f'{processes.job_id(1)}.0.0.0'
        # The order of this task was rejected, so the owner starts it again.
        await processes.until(
            lambda: any(
                task == first_task
                for each in (worker, *others)
                for task, _ in each.starts
            )
        )
        await asyncio.sleep(SETTLE_S)

    processes.run(work, tmp_path)


def test_a_start_taken_by_the_next_incarnation_doubles_nothing(tmp_path):
    async def work(cluster):
        owner, worker = cluster.owner, cluster.site.workers[0]
        worker.is_unreported = True
        worker.restart()
        cluster.proxies[0].reset()
        submitted = await cluster.submit(
            owner, processes.job_id(1), TASKS, LONG_S
        )
        assert submitted == 200
        await processes.until(lambda: _has_joined(owner, worker))
        await asyncio.sleep(SETTLE_S)

    processes.run(work, tmp_path)


def test_a_worker_cut_off_after_a_restart_doubles_nothing(tmp_path):
    async def work(cluster):
        owner, (worker, *others) = cluster.owner, cluster.site.workers
        worker.is_unreported = True
        worker.restart()
        cluster.proxies[0].reset()
        submitted = await cluster.submit(
            owner, processes.job_id(1), TASKS, LONG_S
        )
        assert submitted == 200
        await processes.until(lambda: len(worker.running) == TASKS)
        cluster.proxies[0].cut()
        await processes.until(lambda: any(other.starts for other in others))

    processes.run(work, tmp_path)


def test_a_takeover_after_a_restart_of_a_worker_doubles_nothing(tmp_path):
    async def work(cluster):
        owner, (worker, *others) = cluster.owner, cluster.site.workers
        worker.is_unreported = True
        worker.restart()
        cluster.proxies[0].reset()
        submitted = await cluster.submit(
            owner, processes.job_id(1), TASKS, LONG_S
        )
        assert submitted == 200
        await processes.until(lambda: len(worker.running) == TASKS)
        cluster.proxies[0].cut()
        owner.process.send_signal(signal.SIGKILL)
        await processes.until(
            lambda: any(other.starts for other in others), DOUBT_S + 10.0
        )

    processes.run(work, tmp_path)


def test_ends_after_a_restart_are_not_acknowledged_unread(tmp_path):
    async def work(cluster):
        owner, worker = cluster.owner, cluster.site.workers[0]
        cluster.site.rows.latency_s = SLOW_STORE_S
        assert await cluster.submit(owner, processes.job_id(1), TASKS) == 200
        await processes.until(
            lambda: len(owner.decisions('run_ended')) == TASKS
        )
        cluster.proxies[0].reset()
        cluster.site.restart(worker)
        await processes.until(lambda: _has_joined(owner, worker))
        await asyncio.sleep(2 * SLOW_STORE_S)
        cluster.site.rows.latency_s = 0.0
        # Some runs end between two polls.
        cluster.proxies[0].delay_s = ANSWER_DELAY_S
        jobs = range(2, 2 + TASKS)
        await asyncio.gather(
            *(
                cluster.submit(owner, processes.job_id(n), 1, 0.5 + n / 20)
                for n in jobs
            )
        )
        for number in jobs:
            await cluster.wait_until_completed(owner, processes.job_id(number))

    processes.run(work, tmp_path)


def _has_joined(owner, worker):
    return any(
        line['life'] == worker.born and line['worker'] == worker.name
        for line in owner.decisions('worker_joined')
    )
