"""Simulated cells with large accepted work, and owners without limits yet.

The sizes of jobs are drawn: occurrences, width, number, and schedules that are
overdue. Owners change meanwhile, and know the configuration late. What has
started stays within the limit of the memory, and all work is done.

To run a range of seeds: ``python -m tests.test_cell_large_work 100 400``.
"""

import sys

import attrs
import pytest
from tests import cells
from tests import cellsim
from tests import test_cell_random as faults

from celeryshift_cell import _job_state
from celeryshift_cell import model

# Seed 6: tasks that were kept after their end took the room of all starts.
SEEDS = range(16)
MEMORY_LIMIT = 400_000
UNCONFIGURED_S = 4.0
JOBS = 12
FAULTS = 8
FAULTS_S = 20.0
SETTLE_S = 600.0
# Tasks of all occurrences of a job.
MAX_TASKS = 240
TASK_MS = 300


def draw_job(sim: cellsim.Sim, number: int) -> model.Job:
    """Return a wide job, or a schedule that may be overdue for long."""
    chooser = sim.random
    width = chooser.choice((1, 2, 6, 40, 120))
    steps = [attrs.evolve(cells.step(width, 0.5), estimate_ms=TASK_MS)]
    if chooser.random() < 0.5:
        after = cells.step(chooser.randint(1, 3), 1, after=(0,))
        steps.append(attrs.evolve(after, estimate_ms=TASK_MS))
    tasks = sum(step.count for step in steps)
    times = chooser.choice((0, MAX_TASKS // tasks))
    now_ms = int(sim.now * 1000)
    job = cells.job('', *steps, queue=chooser.choice(('field', 'weekly')))
    return attrs.evolve(
        job,
        id=f'{number:016x}',
        times=times,
        first_due_ms=now_ms + chooser.choice((0, 5000, -3_600_000)),
        every_ms=chooser.choice((0, 100, 1000)) if times else 0,
    )


def simulate(seed: int) -> cellsim.Sim:
    """Run the simulation of a seed to its end."""
    sim = cellsim.Sim(seed, maximum=model.Size(cpu_milli=30_000))
    sim.memory_limit = MEMORY_LIMIT
    sim.unconfigured_s = UNCONFIGURED_S
    sim.fail_share = 0.0
    sim.duration_range = (0.5, 1.5)
    sim.take_over(is_dead=True)
    for number in range(JOBS):
        sim.schedule(
            sim.random.uniform(0, FAULTS_S),
            lambda n=number: sim.submit(draw_job(sim, n)),
        )
    for _ in range(FAULTS):
        sim.schedule(sim.random.uniform(1, FAULTS_S), lambda: _inject(sim))
    until = FAULTS_S
    while until < FAULTS_S + SETTLE_S and (sim.jobs or until == FAULTS_S):
        until += 5.0
        sim.run(until)
    faults.check_all_ended(sim)
    _check_done(sim)
    _check_counts(sim)
    return sim


def _inject(sim: cellsim.Sim) -> None:
    if sim.random.random() < 0.4:
        sim.take_over(is_dead=True)
    else:
        faults.inject_fault(sim)


def _check_done(sim: cellsim.Sim) -> None:
    """Check that each task of each occurrence was done."""
    for job in sim.specs.values():
        missing = [
            name
            for occurrence in range(job.occurrences)
            for number, step in enumerate(job.steps)
            for index in range(step.count)
            if not sim.done[name := f'{job.id}.{occurrence}.{number}.{index}']
        ]
        if missing:
            raise cellsim.InvariantError(f'not done: {missing[:5]}')


def _check_counts(sim: cellsim.Sim) -> None:
    """Check that the footprint counts what is in memory, and nothing else."""
    state = sim.owner.state
    steps = [step for job in state.jobs.values() for step in job.steps.known]
    tasks = sum(len(step.tasks.known) for step in steps)
    counted = state.footprint.steps, state.footprint.tasks
    if counted != (len(steps), tasks):
        raise cellsim.InvariantError(f'{counted}, not {len(steps)}, {tasks}')
    left = [
        task.name
        for step in steps
        for task in step.tasks.known
        if step.job.state in _job_state.FINAL
        # Its worker may still report the run that was dropped.
        and not (task.runs or task.dropped_runs)
    ]
    if left:
        raise cellsim.InvariantError(f'of jobs that have ended: {left}')


@pytest.mark.parametrize('seed', SEEDS)
def test_large_work_is_done_within_the_memory(seed):
    simulate(seed)


if __name__ == '__main__':
    first, last = (int(text) for text in sys.argv[1:3])
    for drawn in range(first, last):
        try:
            simulate(drawn)
        except cellsim.InvariantError as error:
            sys.stdout.write(f'{drawn}: {error}\n')
