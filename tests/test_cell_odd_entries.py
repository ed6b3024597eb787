"""Odd entries among those of the workers, in the simulated cell."""

import json

import attrs
import pytest
from tests import cellsim
from tests import oddvalues
from tests import simworkers
from tests import test_cell_malformed as malformed
from tests import test_cell_random as faults

from celeryshift_cell import events

SEEDS = range(16)
ENTRIES = 30
FAULTS = 6
# How long another writer leaves its entry.
ENTRY_S = (0.1, 20.0)


def _leave_entry(sim: cellsim.Sim, number: int) -> None:
    """Leave an entry with an odd value for a while; nothing answers there."""
    name = f'odd-{number}'
    fields = {
        key: json.dumps(value)
        for key, value in (malformed.ENTRY | {'service': 'coding'}).items()
    }
    raw = oddvalues.draw(sim.random, fields)
    entry = malformed._decoder()[0].worker(name, raw)
    removed = (name,)
    if entry is None:
        sim.owner.feed(events.WorkersChanged(0.0, (), removed))
        return
    sound = next(iter(sim.workers.values())).entry
    entry = attrs.evolve(entry, upstream=sound.upstream)
    worker = simworkers.Worker(sim, entry)
    worker.entry = entry
    worker.is_refusing, worker.is_reachable = True, False
    sim.workers[name] = worker
    sim.owner.feed(events.WorkersChanged(0.0, (entry,)))
    sim.schedule(
        sim.random.uniform(*ENTRY_S),
        lambda: sim.owner.feed(events.WorkersChanged(0.0, (), removed)),
    )


def simulate(seed: int) -> cellsim.Sim:
    """Run the simulation with odd entries beside other faults."""
    sim = cellsim.Sim(seed)
    for number in range(faults.JOBS):
        job = faults.random_job(sim, number)
        sim.schedule(
            sim.random.uniform(0, faults.FAULTS_S),
            lambda job=job: sim.submit(job),
        )
    for number in range(ENTRIES):
        sim.schedule(
            sim.random.uniform(0, faults.FAULTS_S),
            lambda number=number: _leave_entry(sim, number),
        )
    for _ in range(FAULTS):
        sim.schedule(
            sim.random.uniform(1, faults.FAULTS_S),
            lambda: sim.take_over(is_dead=True),
        )
    sim.run(faults.FAULTS_S + faults.SETTLE_S)
    faults.check_all_ended(sim)
    return sim


@pytest.mark.parametrize('seed', SEEDS)
def test_odd_entries_keep_no_job_from_ending(seed):
    sim = simulate(seed)
    assert len(sim.final_states) == faults.JOBS
