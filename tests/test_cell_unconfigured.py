"""An owner starts nothing before it has read the configuration.

All nodes restarted while the store was away. The next owner had read the rows
of the cell, but not the configuration, took each team to have no limit, and
started all waiting tasks at once.
"""

import asyncio
import time

import attrs
import pytest
from tests import cellnodes
from tests import cells
from tests import configsim
from tests import runchecks
from tests import test_cell_processes as processes
from tests import virtualtime

import celeryshift_cell as cell
from celeryshift_cell import effects
from celeryshift_cell import events
from celeryshift_cell import model
from celeryshift_cellnode import _election
from celeryshift_cellnode import _schema

LIMIT = model.Size(2 * cells.CORE)
TASK_CPU = 500
MAXIMUM_CPU = 4000
# How long the store stays silent after the nodes have started.
SILENCES_S = (0.3, 0.9, 2.5)
# Starts follow the return of the store within this time.
RESUMED_S = 2.0


def _unconfigured(*jobs: model.Job) -> cells.Bench:
    """Return a new owner of some jobs that knows no configuration."""
    bench = cells.Bench()
    bench.state = cell.Cell(2)
    stored = tuple(events.StoredJob(job, 1) for job in jobs)
    bench.send(events.Restored(0.0, 0, stored, {}, (), (), 0.0, 1))
    bench.store_records()
    bench.join(cells.entry('w1'), cells.entry('w2'))
    return bench


def _policy(job: model.Job) -> model.Job:
    return attrs.evolve(job, policy=cells.QUEUE)


def test_nothing_starts_before_the_configuration_is_known():
    bench = _unconfigured(_policy(cells.job('1', cells.step(8))))
    for _ in range(20):
        bench.tick()
        assert not bench.effects_of(effects.StartRun)
        assert not bench.effects_of(effects.RequestAdvice)
    assert not any(w.runs for w in bench.state.workers.values())
    bench.send(events.ConfigChanged(0.0, cells.config(LIMIT)))
    assert len(bench.effects_of(effects.StartRun)) == 2


def test_runs_go_on_and_end_without_a_configuration():
    job = _policy(cells.job('1', cells.step(3)))
    bench = _unconfigured(job)
    names = [f'{job.id}.0.0.{index}' for index in range(3)]
    bench.tick()
    polls = []
    for percent in range(10):
        running = tuple(
            events.RunStatus(name, 1, '', percent) for name in names
        )
        polls += bench.answer_poll('w1', running)
        polls += bench.tick()
    deadlines = [
        poll.deadline_ms
        for poll in polls
        if isinstance(poll, effects.PollWorker) and poll.worker_id == 'w1'
    ]
    assert max(d for d in deadlines if d is not None) > 1000
    ended = events.RunCompletion(1, names[0], 1, model.RunResult.DONE, '')
    bench.answer_poll('w1', running[1:], (ended,))
    bench.store_records()
    assert bench.state.jobs[job.id].steps[0, 0].remaining_tasks == 2
    bench.send(events.JobCancelled(0.0, job.id))
    stops = bench.effects_of(effects.StopRun)
    assert {stop.task for stop in stops} == set(names[1:])


def test_a_team_that_is_not_configured_any_more_keeps_its_limit():
    # Its waiting tasks started without any limit.
    bench = cells.Bench((cells.entry('w1'),), cells.config(LIMIT))
    bench.accept(cells.job('1', cells.step(8)))
    assert len(bench.state.workers['w1'].runs) == 2
    without = attrs.evolve(cells.config(version=2), teams_by_name={})
    bench.send(events.ConfigChanged(0.0, without))
    for _ in range(5):
        bench.tick()
    assert len(bench.state.workers['w1'].runs) == 2


def test_a_node_without_a_configuration_lets_others_acquire_the_cell():
    node = _schema.Node('b', 'b:1', 'b-1', 'here')
    view = _election.OwnerView()
    view.update(1.0, _schema.Owner('a', 'a:1', 'a-1', 1), 5, 6)
    configured_at, unconfigured_at = (
        next(
            at / 10
            for at in range(10, 100)
            if view.takeover_reason(at / 10, 0, node, 0.0, is_configured)
        )
        for is_configured in (True, False)
    )
    assert configured_at < unconfigured_at < configured_at + 1.0
    # The first owner of all replaces none.
    view = _election.OwnerView()
    view.update(1.0, None, 0, 0)
    assert view.takeover_reason(1.0, 0, node, 0.0, False) == 'no owner'


def test_the_cell_is_handed_to_a_node_with_a_configuration():
    async def scenario() -> None:
        members, _ = await cellnodes.start_members('a', 'b', 'c')
        owner, (first, second) = cellnodes.split_owner(members)
        order = owner.ownership.handover._status.takeover_order
        if order.rank(second.node.name) < order.rank(first.node.name):
            first, second = second, first
        first.ownership.is_configured = lambda: False
        await owner.ownership.handover.hand_over()
        await cellnodes.wait_until(lambda: second.ownership.is_owner)
        # The last choice of a node that leaves is better than none.
        second.ownership.is_leaving = True
        owner.ownership.is_leaving = True
        await second.ownership.handover.hand_over()
        await cellnodes.wait_until(lambda: first.ownership.is_owner)
        for member in members:
            member.kill()

    virtualtime.run(scenario())


@pytest.mark.parametrize('silence_s', [0.2, 0.7, 1.3, 1.9])
def test_the_first_configuration_follows_soon_after_the_store(silence_s):
    async def scenario() -> None:
        simulated = configsim.Site(fast=1, slow=0)
        (node,) = simulated.nodes
        simulated.cut([(node.name, configsim.STORE)], silence_s)
        started_at = time.monotonic()
        await simulated.start(settle_s=4.0)
        known_at, _ = node.in_force[0]
        assert known_at - started_at - silence_s < 0.6
        node.stop()

    configsim.run(scenario())


def test_the_first_configuration_comes_from_another_node():
    async def scenario() -> None:
        simulated = configsim.Site(fast=2, slow=0)
        first, second = simulated.nodes
        simulated.cut([(second.name, configsim.STORE)], 9.0)
        started_at = time.monotonic()
        await simulated.start(settle_s=4.0)
        known_at, _ = second.in_force[0]
        assert known_at - started_at < 1.5
        first.stop()
        second.stop()

    configsim.run(scenario())


@pytest.mark.parametrize('silence_s', SILENCES_S)
def test_limits_hold_after_a_restart_without_the_store(tmp_path, silence_s):
    async def work(cluster: processes.Cluster) -> None:
        platform = cluster.site
        platform.maximum_cpu = MAXIMUM_CPU
        platform.configure(2)
        await asyncio.sleep(1.0)
        for number in range(2):
            await cluster.submit(
                cluster.programs[number],
                processes.job_id(number),
                tasks=100,
                took_s=1.0,
            )
        await processes.until(
            lambda: sum(len(w.records) for w in platform.workers) > 8
        )
        platform.is_silent = True
        await asyncio.gather(*(p.end() for p in cluster.programs))
        counts = [len(p.decisions('started')) for p in cluster.programs]
        await asyncio.gather(*(p.start() for p in cluster.programs))
        for program, count in zip(cluster.programs, counts, strict=True):
            await processes.until(
                lambda p=program, c=count: len(p.decisions('started')) > c
            )
        await asyncio.sleep(silence_s)
        platform.is_silent = False
        back_at = time.monotonic()
        await processes.until(
            lambda: any(
                run.started_at > back_at
                for worker in platform.workers
                for run in worker.records
            ),
            # Workers that a former owner may have used answer first.
            RESUMED_S + _election.OWNER_LEASE_S,
        )
        await asyncio.sleep(3.0)
        assert runchecks.most_running(platform.workers) <= (
            MAXIMUM_CPU // TASK_CPU
        )

    processes.run(work, tmp_path)
