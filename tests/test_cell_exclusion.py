"""Node processes and workers that are cut off: no task runs twice at once."""

import time

from tests import test_cell_processes as processes

TASKS = 12
# Longer than any lease, so that a run ends with its lease.
LONG_S = 7.0
# How far the clock of a worker falls behind while it is idle.
LAG_S = 0.2


def test_a_worker_cut_off_after_idling_doubles_nothing(tmp_path):
    async def work(cluster):
        workers = cluster.site.workers
        joined_at = time.monotonic()
        lag = 1 - workers[0].clock_rate
        await processes.until(
            lambda: (time.monotonic() - joined_at) * lag > LAG_S, 20.0
        )
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
        lease_until_ms = worker.lease_until_ms
        # Until the first poll extends the lease.
        await processes.until(lambda: worker.lease_until_ms > lease_until_ms)
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
