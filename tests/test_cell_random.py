"""Random faults over the reducer of a cell, in virtual time.

Run more seeds by hand: ``python -m tests.test_cell_random 100 400``.
"""

import sys

import pytest
from tests import cellsim

SEEDS = range(24)
# Seeds that once failed, each with its cause.
REGRESSIONS = {
    37: 'runs on silent workers were not counted for their team',
    292: 'the same, with copies',
    87: 'a worker that had been cut off was never listed again here',
    368: 'copies were started before the workers had been heard',
}
FAULTS_S = 30.0
# Everything has ended so long after the last fault: leases, doubts, and the
# work that was left.
CALM_S = 60.0
JOBS = 40
# A worker writes its entry about so often; the platform's pages say that it
# is back within two seconds.
RELISTED_S = 1.5


def _hurt(sim: cellsim.Sim) -> None:
    """Let one fault strike, and end."""
    worker = sim.random.choice(list(sim.workers.values()))
    kind = sim.random.randrange(7)
    lasts_s = sim.random.uniform(0.2, 7)
    if kind == 0:
        _cut(sim, worker, lasts_s)
    elif kind == 1:
        _crash(sim, worker, lasts_s)
    elif kind == 2:
        sim.take_over(is_dead=True)
    elif kind == 3:
        _mute(sim, lasts_s)
    elif kind == 4:
        _shut(sim, lasts_s)
    elif kind == 5:
        sim.late_share = 0.1
        sim.at(lasts_s, lambda: setattr(sim, 'late_share', 0.0))
    else:
        sim.lost_share = 0.1
        sim.at(lasts_s, lambda: setattr(sim, 'lost_share', 0.0))


def _cut(sim, worker, lasts_s):
    """Cut a worker off; its entry is back soon after the cut has ended."""
    worker.is_reachable = False
    sim.at(lasts_s, lambda: setattr(worker, 'is_reachable', True))
    sim.at(lasts_s + RELISTED_S, lambda: _relist(sim, worker))


def _relist(sim, worker):
    if worker.is_reachable:
        listing = cellsim.events.WorkersChanged(0.0, (worker.entry,))
        sim.owner.feed(listing)


def _crash(sim, worker, lasts_s):
    worker.reset(worker.entry.life + 1)
    _cut(sim, worker, lasts_s)


def _mute(sim, lasts_s):
    """Turn the owner away from the store; another takes the cell."""
    former = sim.owner
    until = sim.now + cellsim.RIGHT_S

    def replace() -> None:
        if sim.owner is former:
            sim.take_over(is_dead=False)

    sim.store_open = False
    former.right_until = min(former.right_until, until)
    sim.at(cellsim.RIGHT_S + 0.05, lambda: setattr(sim, 'store_open', True))
    sim.at(cellsim.RIGHT_S + 0.1, replace)


def _shut(sim, lasts_s):
    sim.store_open = False
    sim.owner.right_until = sim.now + lasts_s + cellsim.RIGHT_S
    sim.at(lasts_s, lambda: setattr(sim, 'store_open', True))


def play(seed: int) -> cellsim.Sim:
    """Play a seed to its end; raises ``Broken``."""
    sim = cellsim.Sim(seed)
    for number in range(JOBS):
        job = cellsim.random_job(sim, number)
        sim.at(sim.random.uniform(0, FAULTS_S), lambda j=job: sim.submit(j))
    for _ in range(12):
        sim.at(sim.random.uniform(1, FAULTS_S), lambda: _hurt(sim))
    sim.run(FAULTS_S + CALM_S)
    left = set(sim.jobs)
    if left:
        first = min(left)
        shown = cellsim.cell.explain(sim.owner.state, first)
        raise cellsim.Broken(f'{len(left)} jobs never end: {first} {shown}')
    return sim


@pytest.mark.parametrize('seed', [*SEEDS, *REGRESSIONS])
def test_promises_hold_under_random_faults(seed):
    sim = play(seed)
    assert len(sim.finals) == JOBS


if __name__ == '__main__':
    first, last = (int(text) for text in sys.argv[1:3])
    for number in range(first, last):
        try:
            play(number)
        except cellsim.Broken as error:
            sys.stdout.write(f'seed {number}: {error}\n')
