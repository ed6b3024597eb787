"""Admission of jobs to an overloaded cell."""

import asyncio
import random
from typing import Any

import attrs
import pytest
from tests import cells
from tests import cellsim
from tests import simworkers
from tests import virtualtime

import celeryshift_cell as cell
from celeryshift_cell import _order_window
from celeryshift_cell import admission
from celeryshift_cell import events
from celeryshift_cell import model
from celeryshift_cellnode import _groupwriter
from celeryshift_cellnode import _ownerservice
from celeryshift_cellnode import _schema

SHORT = model.Queue('short', cells.UPSTREAM, 0, 3, 1.5, 250.0)
LONG = model.Queue('long', cells.UPSTREAM, 2, 3, 2.2, 1200.0)
# When a caller gives up a job that is not accepted.
GIVE_UP_S, RETRIES = 3.0, 4
CORES = (16, 24, 32, 48, 64)


def _load_config(weight_by_team) -> model.Config:
    queues = {queue.name: queue for queue in (SHORT, LONG)}
    teams = {name: model.Team(name, w) for name, w in weight_by_team.items()}
    return attrs.evolve(
        cells.config(), queues_by_name=queues, teams_by_name=teams
    )


def _chain(count: int, cores: float, ms: int, steps: int = 2):
    size = model.Size(int(cores * cells.CORE), 2048)
    first = model.Step(count, size, ms)
    return first, *[attrs.evolve(first, after=(0,))] * (steps - 1)


@attrs.define
class _Call:
    job: model.Job
    at: float
    accepted_at: float = float('inf')


class _Load:
    """Callers of 20 teams that load a cell with and without admission."""

    def __init__(self, has_admission: bool, weights=(1.0,), workers=44):
        self.random = random.Random(1)
        self.has_admission = has_admission
        self.sim = sim = cellsim.Sim(1, 0, maximum=model.Size())
        sim.fail_share, sim.duration_range = 0.0, (0.8, 1.2)
        self.teams = [f't{number:02}' for number in range(20)]
        weight_by_team = {
            team: weights[n % len(weights)]
            for n, team in enumerate(self.teams)
        }
        sim.config = _load_config(weight_by_team)
        for number in range(workers):
            entry = cells.entry(f'w{number}', self.random.choice(CORES))
            sim.workers[entry.id] = simworkers.Worker(sim, entry)
        sim.owner.feed(events.ConfigChanged(0.0, sim.config))
        sim.owner.feed(sim.listing())
        self.calls: list[_Call] = []

    def arrive(
        self, queue: str, rate: float, since: float, until: float, by: str = ''
    ) -> None:
        """Schedule the calls of a queue, by a team or all of them."""
        while (since := since + self.random.expovariate(rate)) < until:
            team = by or self.random.choice(self.teams)
            self.sim.schedule(since, lambda team=team: self._call(queue, team))

    def _call(self, queue: str, team: str) -> None:
        steps = _chain(10, 4.5, 640, 1 + (self.random.random() < 0.6))
        if queue == 'long':
            count = int(21 * self.random.lognormvariate(-0.15, 0.55))
            steps = _chain(max(2, count), 9, 3800)
        job = cells.job(f'{len(self.calls):x}x', *steps, queue=queue)
        job = attrs.evolve(job, id=f'{len(self.calls):016x}', team=team)
        call = _Call(job, self.sim.now)
        self.calls.append(call)
        self._submit(call, 0)

    def _submit(self, call: _Call, retries: int) -> None:
        state, job = self.sim.owner.state, call.job
        if self.has_admission:
            job = cell.mark_surplus(state, job)
            rejection = admission.decide(state, job)
            if rejection is not None:
                after_s = rejection.retry_after_s
                is_in_time = self.sim.now + after_s <= call.at + GIVE_UP_S
                if is_in_time and retries < RETRIES:
                    self.sim.schedule(
                        after_s, lambda: self._submit(call, retries + 1)
                    )
                return
            cell.count_accepted(state, job)
        call.accepted_at = self.sim.now
        self.sim.submit(job)

    def results(self, calls: list[_Call]) -> tuple[float, float, float]:
        """Return the shares accepted, in time and accepted but not in time."""
        accepted = [call for call in calls if call.accepted_at < float('inf')]
        in_time = 0
        for call in accepted:
            queue = SHORT if call.job.queue == 'short' else LONG
            path_ms = call.job.steps[0].estimate_ms * len(call.job.steps)
            limit_s = (queue.stretch * path_ms + queue.target_ms) / 1000
            ended_at = self.sim.final_at.get(call.job.id, float('inf'))
            in_time += ended_at - call.accepted_at <= limit_s
        count = max(1, len(calls))
        return (
            len(accepted) / count,
            in_time / count,
            (len(accepted) - in_time) / count,
        )

    def of(self, queue: str, team: str = '') -> list[_Call]:
        """Return the calls of a queue, by a team or all of them."""
        return [
            call
            for call in self.calls
            if call.job.queue == queue and team in ('', call.job.team)
        ]


def _run_load(has_admission: bool) -> _Load:
    load = _Load(has_admission)
    load.arrive('short', 9.0, 3.0, 35.0)
    # Long jobs at twice what fits beside the short ones.
    load.arrive('long', 1.8, 3.0, 30.0)
    load.sim.run(90.0)
    return load


def test_accepted_long_jobs_end_in_time_under_twice_the_load():
    # Long jobs were accepted without bound, and shared the capacity among
    # more of them than could end in time.
    before, after = _run_load(False), _run_load(True)
    _, in_time_before, wasted_before = before.results(before.of('long'))
    accepted, in_time, wasted = after.results(after.of('long'))
    assert in_time > in_time_before
    assert wasted < 0.5 * wasted_before
    # The largest jobs are served at least half as often.
    calls = sorted(after.of('long'), key=lambda call: call.job.steps[0].count)
    largest, *_ = after.results(calls[-len(calls) // 10 :])
    assert largest >= 0.5 * accepted
    assert after.results(after.of('short'))[1] >= 0.95


def test_only_the_team_that_sends_too_much_is_rejected():
    # One team sent seven times its usual for six seconds; callers of all
    # teams shared the delay.
    before, after = (
        _Load(has_admission, (1.6, 1.7), 30) for has_admission in (False, True)
    )
    for load in (before, after):
        load.arrive('short', 18.0, 3.0, 15.0)
        load.arrive('short', 6 * 18 / 20, 7.0, 13.0, 't00')
        load.sim.run(22.0)
    others = [c for c in after.of('short') if c.job.team != 't00']
    accepted, in_time, _ = after.results(others)
    assert accepted >= 0.95
    before_others = [c for c in before.of('short') if c.job.team != 't00']
    assert in_time > before.results(before_others)[1]
    assert after.results(after.of('short', 't00'))[0] < 1


def _overloaded() -> cells.Bench:
    """Return a bench whose 32 cores have 47 seconds of work waiting."""
    bench = cells.Bench((cells.entry('a'),), _load_config({cells.TEAM: 1.0}))
    bench.tick(3.0)
    for number in range(4):
        bench.accept(_long(f'{number}', 50))
    bench.tick()
    return bench


def _long(name: str, count: int = 2, **fields: Any) -> model.Job:
    step = attrs.evolve(cells.step(count, 2), estimate_ms=3800)
    job = cells.job(name, step, queue='long', **fields)
    return attrs.evolve(job, arrived_ms=3000)


def test_callers_rejected_together_return_at_different_times():
    # All callers that were rejected returned in the same second.
    bench = _overloaded()
    told = []
    for number in range(20):
        rejection = admission.decide(bench.state, _long(f'x{number}', 4))
        assert rejection is not None
        told.append(rejection.retry_after_s)
    assert told == sorted(told)
    assert 1 <= told[0] < told[-1] <= 60


def test_jobs_with_a_schedule_and_services_are_not_rejected():
    # Their work does not compete with what waits now.
    bench = _overloaded()
    scheduled = _long('x', first_due_ms=90_000, every_ms=1000, times=3)
    assert admission.decide(bench.state, scheduled) is None
    lasting = cells.job('y', cells.step(is_lasting=True), queue='long')
    assert admission.decide(bench.state, lasting) is None


def test_a_new_owner_rejects_nobody_at_first():
    # Its totals are incomplete until the workers have answered.
    bench = _overloaded()
    bench.state.restored_at = bench.now
    assert admission.decide(bench.state, _long('x')) is None
    bench.tick(2.1)
    assert admission.decide(bench.state, _long('x')) is not None


def test_cancelled_jobs_free_their_places():
    bench = _overloaded()
    for job_id in list(bench.state.jobs):
        bench.send(events.JobCancelled(0.0, job_id))
    bench.tick()
    assert admission.decide(bench.state, _long('x')) is None


def test_a_half_full_cell_accepts_everything():
    bench = cells.Bench((cells.entry('a'),), _load_config({cells.TEAM: 1.0}))
    bench.tick(3.0)
    bench.accept(_long('f', 8))
    bench.tick()
    assert admission.decide(bench.state, _long('x', 1000)) is None


class _SlowWindow(_order_window.OrderWindow):
    """Window of an owner that sustains one start a second."""

    def start_rate(self, now):
        return 1.0


def test_what_the_owner_cannot_start_in_time_is_rejected():
    # An owner with few cores accepted work for which workers had room.
    bench = cells.Bench((cells.entry('a'),), _load_config({cells.TEAM: 1.0}))
    bench.state.window = _SlowWindow(1000, 1000.0)
    bench.tick(3.0)
    tiny = attrs.evolve(cells.step(900, 0.1), estimate_ms=100)
    bench.accept(
        attrs.evolve(cells.job('f', tiny, queue='long'), arrived_ms=1)
    )
    bench.tick()
    tiny = attrs.evolve(tiny, count=5)
    job = cells.job('x', tiny, queue='long')
    assert admission.decide(bench.state, job) is not None


class _Writer:
    """Writer whose writes have one outcome."""

    def __init__(self, outcome: _groupwriter.WriteOutcome) -> None:
        self.outcome = outcome

    async def write(self, change: Any) -> _groupwriter.Result:
        await asyncio.sleep(0.01)
        return _groupwriter.Result(self.outcome, 0, '')


class _Runner:
    def __init__(self, state: cell.Cell, writer: _Writer) -> None:
        self.state, self.writer = state, writer
        self.logged: list[str] = []

    def log_decision(self, decision: str, **fields: Any) -> None:
        self.logged.append(decision)


def _accept_twice(outcome, is_store_impaired=False, **body):
    """Submit a job to an idle cell, and again once it is overloaded."""
    bench = _overloaded()
    runner = _Runner(bench.state, _Writer(outcome))
    owner = _ownerservice.OwnerService(lambda: is_store_impaired)
    owner.runner = runner  # type: ignore[assignment]
    request = {'job': _schema.unstructure(_long('x'))} | body

    async def work() -> list[dict[str, Any]]:
        saturated, bench.state.backlog.saturated = (
            bench.state.backlog.saturated,
            set(),
        )
        first = await owner.handlers['accept'](request)
        bench.state.backlog.saturated = saturated
        return [first, await owner.handlers['accept'](request)]

    return virtualtime.run(work()), runner


REFUSED = _groupwriter.WriteOutcome.REFUSED
UNKNOWN = _groupwriter.WriteOutcome.UNKNOWN


def test_a_rejection_tells_when_to_return_and_is_logged():
    (_, second), runner = _accept_twice(REFUSED)
    assert second['written'] == _ownerservice.OVERLOADED
    assert second['retry_after_s'] >= 1
    assert runner.logged == ['job_rejected']


@pytest.mark.parametrize(
    ('outcome', 'is_store_impaired', 'body'),
    [
        # The first write may have stored the job.
        (UNKNOWN, False, {}),
        # The caller's node had no answer from an earlier owner.
        (REFUSED, False, {'in_doubt': True}),
        # Jobs that ended cannot be recorded while the store is down.
        (REFUSED, True, {}),
    ],
)
def test_nobody_is_rejected_wrongly(outcome, is_store_impaired, body):
    # A caller was told that its job had not run, though it may have.
    (_, second), runner = _accept_twice(outcome, is_store_impaired, **body)
    assert second['written'] == outcome.value
    assert not runner.logged
