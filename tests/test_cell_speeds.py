"""Completion times on workers of different speeds.

The load is that of a deployment whose kinds of workers differ in speed by a
factor of 2.4 and in size by four, with estimates that are far off and a tail
of long runs.
"""

import random

import attrs
import pytest
from tests import cells
from tests import cellsim
from tests import simworkers

from celeryshift_cell import _run_times
from celeryshift_cell import effects
from celeryshift_cell import model

SPEEDS = (0.7, 0.7, 1.7)
SIZES = (16, 16, 8, 32)
URGENT_S = 0.85
BATCH_S = 4.1
MAX_ERROR = 0.9
# Steps of urgent jobs: 1.6 in the mean.
URGENT_STEPS = (1, 2, 2, 1, 2)
WARM_UP_S = 15.0
SEEDS = (1, 2, 3)
UNTIL_S = 60.0


class Load:
    """Urgent jobs, batch jobs and services on workers of three kinds."""

    def __init__(self, seed, workers=24, batch_pause_s=4.0, speeds=SPEEDS):
        self.sim = sim = cellsim.Sim(seed, 0, maximum=model.Size())
        self.random = random.Random(seed)
        self.objectives_s = {}
        for number in range(workers):
            kind = f'kind-{number % len(speeds)}'
            sim.speed_by_kind[kind] = speeds[number % len(speeds)]
            name = f'w{number}'
            entry = cells.entry(
                name, cores=SIZES[number % len(SIZES)], kind=kind
            )
            sim.workers[name] = simworkers.Worker(sim, entry)
        sim.owner.feed(sim.listing())
        sim.duration_range = (0.9, 1.1)
        sim.tail_share = 0.03
        sim.fail_share = 0.0
        self._numbers = iter(range(100_000))
        sim.schedule(0.5, lambda: self._submit('services', 8, 8, 1e6, 1))
        self._repeat(0.4, self._submit_urgent)
        self._repeat(batch_pause_s, self._submit_batch)

    def _repeat(self, pause_s, work):
        at = 1.0
        while at < UNTIL_S:
            self.sim.schedule(at, work)
            at += self.random.uniform(0.5, 1.5) * pause_s

    def _submit_urgent(self):
        steps = self.random.choice(URGENT_STEPS)
        self._submit('field', 10, 2.2, URGENT_S, steps)

    def _submit_batch(self):
        self._submit('weekly', 17, 4.5, BATCH_S, 2)

    def _submit(self, queue, count, cores, run_s, steps):
        job_id = f'{queue[:1]}{next(self._numbers):015d}'
        specs = []
        for number in range(steps):
            error = self.random.uniform(-MAX_ERROR, MAX_ERROR)
            spec = cells.step(
                count,
                cores,
                after=(number - 1,) if number else (),
                allows_copies=self.random.random() < 0.3,
                is_lasting=queue == 'services',
            )
            estimate_ms = max(1, int(run_s * 1000 * (1 + error)))
            specs.append(attrs.evolve(spec, estimate_ms=estimate_ms))
            self.sim.run_ms_by_step[f'{job_id}.0.{number}'] = run_s * 1000
        known = 'weekly' if queue == 'services' else queue
        self.objectives_s[job_id] = 1.5 * run_s * steps + 0.3
        described = cells.job('x', *specs, queue=known)
        self.sim.submit(attrs.evolve(described, id=job_id))

    def ages(self, queue):
        """Return the ages at completion, relative to the objective."""
        sim = self.sim
        return [
            (sim.final_at.get(job_id, float('inf')) - job.arrived_ms / 1000)
            / self.objectives_s[job_id]
            for job_id, job in sim.specs.items()
            if job_id.startswith(queue[:1])
            and WARM_UP_S <= job.arrived_ms / 1000 <= UNTIL_S
        ]


def _percentile(values, share):
    return values[min(len(values) - 1, int(share * len(values)))]


def _run(seed, **fields):
    load = Load(seed, **fields)
    load.sim.run(UNTIL_S + 12)
    return load


def _run_before(seed, **fields):
    """Run the load with the placement of deployments of one kind."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(_run_times, 'is_used', lambda cell: False)
        return _run(seed, **fields)


def _starts(load):
    """Return what was placed where, in order."""
    return [
        (decision.fields['step'], decision.fields['workers'])
        for _, decision in load.sim.log
        if decision.decision == 'tasks_placed'
    ]


def test_urgent_jobs_end_sooner_where_kinds_differ_in_speed():
    # Batch jobs filled the fast workers, so that urgent ones ran on slow ones.
    ages_before, ages = (
        [age for seed in SEEDS for age in work(seed).ages('field')]
        for work in (_run_before, _run)
    )
    for values in (ages_before, ages):
        values.sort()
    assert _percentile(ages, 0.25) <= 0.8 * _percentile(ages_before, 0.25)
    assert _percentile(ages, 0.5) <= 0.9 * _percentile(ages_before, 0.5)
    # These have a run in the tail, and few may be copied.
    assert _percentile(ages, 0.9) <= 1.1 * _percentile(ages_before, 0.9)
    assert _percentile(ages, 0.95) <= _percentile(ages_before, 0.95)
    in_time, in_time_before = (
        sum(age <= 1 for age in values) for values in (ages, ages_before)
    )
    assert in_time >= in_time_before


def _bench():
    """Return a bench with a slow and a fast worker, whose speeds are known."""
    bench = cells.Bench(
        tuple(cells.entry(name, kind=name) for name in ('fast', 'slow'))
    )
    times = bench.state.run_times
    times.kinds_differ, times.update_at = True, float('inf')
    times.speed_by_kind = {'slow': 0.7, 'fast': 1.7}
    return bench


def _place(bench, queue, run_ms, count=1, **fields):
    step = attrs.evolve(cells.step(count, **fields), estimate_ms=run_ms)
    return bench.accept(cells.job(f'j{bench.version:06d}x', step, queue=queue))


def test_long_tasks_leave_the_fast_workers_to_urgent_and_short_ones():
    bench = _bench()
    placed = [
        _place(bench, queue, run_ms)[0].worker_id
        for queue, run_ms in (
            ('weekly', 4100),
            ('field', 850),
            ('weekly', 500),
            ('field', 4100),
        )
    ]
    assert placed == ['slow', 'fast', 'fast', 'fast']


def test_long_tasks_use_fast_workers_where_no_other_has_capacity():
    bench = _bench()
    orders = _place(bench, 'weekly', 4100, 5, cores=8)
    workers = [order.worker_id for order in orders]
    assert workers == ['slow'] * 4 + ['fast']


def _copied_after(bench):
    """Return whether the last task of a step gets a copy in time."""
    orders = _place(bench, 'field', 1000, 6, allows_copies=True)
    for order in orders:
        bench.answer_start(order)
    for _ in range(6):
        bench.tick()
    for order in orders[:-1]:
        bench.finish_run(order)
    started = []
    for _ in range(25):
        bench.tick()
        started += bench.effects_of(effects.StartRun)
    assert len(started) <= 1
    return [order.task for order in started] == [orders[-1].task]


def test_a_run_that_takes_far_longer_than_its_siblings_is_copied():
    assert _copied_after(_bench())


def test_no_copy_starts_while_work_as_urgent_waits_for_capacity():
    # Copies took the place of tasks that had not run yet.
    bench = _bench()
    assert not _place(bench, 'field', 1000, cores=33)
    assert not _copied_after(bench)


def test_kinds_that_are_alike_start_the_same_tasks_on_the_same_workers():
    load = _run(1, speeds=(1.0, 1.0))
    assert not load.sim.owner.state.run_times.kinds_differ
    assert _starts(load) == _starts(_run_before(1, speeds=(1.0, 1.0)))


def test_copies_stay_within_a_share_of_the_free_capacity():
    # Copies of runs whose estimates were too low took the place of other work.
    load = _run(SEEDS[0])
    copies = sum(e.decision == 'task_copied' for _, e in load.sim.log)
    runs = sum(len(workers) for _, workers in _starts(load))
    assert 0 < copies <= 0.05 * runs
