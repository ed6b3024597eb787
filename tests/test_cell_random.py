"""Random fault injection on the reducer of a cell, in simulated time.

To run a range of seeds: ``python -m tests.test_cell_random 100 400``.
"""

import sys

import pytest
from tests import cellsim

SEEDS = range(24)
RESTART_SEEDS = range(24)
# Seeds with restarts that failed, each with its cause.
RESTART_REGRESSIONS = {
    315: 'a new owner stores an empty list of workers before it has read any',
    396: 'the former owner starts a task on a worker that restarted meanwhile',
}
# Seeds that failed in the past, each with its cause.
REGRESSIONS = {
    37: 'runs on silent workers were not counted for their team',
    292: 'the same, with copies',
    87: 'a worker that had been cut off was never listed again here',
    368: 'copies were started before the workers had been heard',
}
FAULTS_S = 30.0
# Time after the last fault by which all leases have expired, no run is in
# doubt any more, and all jobs have ended.
SETTLE_S = 60.0
JOBS = 40
# Interval at which a worker publishes its entry. The platform documents that
# the entry is back within two seconds.
REPUBLISH_S = 1.5
# Time in which a worker boots, and in which its new entry reaches the owner.
RESTART_S = (0.02, 1.0)
LISTING_DELAY_S = 1.0
# Duration of a write while the store is slow.
SLOW_WRITE_S = 1.0


def _inject_fault(sim: cellsim.Sim) -> None:
    """Inject one random fault and schedule its end."""
    worker = sim.random.choice(list(sim.workers.values()))
    kind = sim.random.randrange(7)
    duration_s = sim.random.uniform(0.2, 7)
    if kind == 0:
        _disconnect(sim, worker, duration_s)
    elif kind == 1:
        _crash(sim, worker, duration_s)
    elif kind == 2:
        sim.take_over(is_dead=True)
    elif kind == 3:
        _isolate_owner(sim, duration_s)
    elif kind == 4:
        _close_store(sim, duration_s)
    elif kind == 5:
        sim.late_share = 0.1
        sim.schedule(duration_s, lambda: setattr(sim, 'late_share', 0.0))
    else:
        sim.lost_share = 0.1
        sim.schedule(duration_s, lambda: setattr(sim, 'lost_share', 0.0))


def _disconnect(sim, worker, duration_s):
    """Disconnect a worker; its entry returns soon after it reconnects."""
    worker.is_reachable = False
    sim.schedule(duration_s, lambda: setattr(worker, 'is_reachable', True))
    sim.schedule(duration_s + REPUBLISH_S, lambda: _publish_entry(sim, worker))


def _publish_entry(sim, worker):
    if worker.is_reachable:
        listing = cellsim.events.WorkersChanged(0.0, (worker.entry,))
        sim.owner.feed(listing)


def _crash(sim, worker, duration_s):
    worker.reset(worker.entry.incarnation + 1)
    _disconnect(sim, worker, duration_s)


def _inject_restart(sim: cellsim.Sim) -> None:
    """Restart a worker under its id, perhaps at another address.

    Meanwhile answers are slow, and often the store too.
    """
    worker = sim.random.choice(list(sim.workers.values()))
    is_moved = sim.random.random() < 0.5
    duration_s = sim.random.uniform(0.2, 4)
    sim.slow_share = 0.5
    sim.schedule(duration_s, lambda: setattr(sim, 'slow_share', 0.0))
    if sim.random.random() < 0.5:
        sim.store_write_s = SLOW_WRITE_S
        sim.schedule(
            duration_s,
            lambda: setattr(sim, 'store_write_s', cellsim.STORE_WRITE_S),
        )
    for _ in range(sim.random.randint(1, 3)):
        at_s = sim.random.uniform(0, duration_s)
        sim.schedule(at_s, lambda: _restart(sim, worker, is_moved))


def _restart(sim, worker, is_moved):
    worker.reset(worker.entry.incarnation + 1)
    if is_moved:
        address = f'{worker.entry.id}-{worker.entry.incarnation}:80'
        worker.entry = cellsim.attrs.evolve(worker.entry, address=address)
    worker.is_reachable = False
    boot_s = sim.random.uniform(*RESTART_S)
    sim.schedule(boot_s, lambda: setattr(worker, 'is_reachable', True))
    listed_s = boot_s + sim.random.uniform(0, LISTING_DELAY_S)
    sim.schedule(listed_s, lambda: _publish_entry(sim, worker))


def _isolate_owner(sim, duration_s):
    """Cut the owner off from the store, so that another one takes over."""
    previous = sim.owner
    until = sim.now + cellsim.OWNER_LEASE_S

    def replace() -> None:
        if sim.owner is previous:
            sim.take_over(is_dead=False)

    sim.store_open = False
    previous.owner_lease_until = min(previous.owner_lease_until, until)
    sim.schedule(
        cellsim.OWNER_LEASE_S + 0.05, lambda: setattr(sim, 'store_open', True)
    )
    sim.schedule(cellsim.OWNER_LEASE_S + 0.1, replace)


def _close_store(sim, duration_s):
    sim.store_open = False
    sim.owner.owner_lease_until = sim.now + duration_s + cellsim.OWNER_LEASE_S
    sim.schedule(duration_s, lambda: setattr(sim, 'store_open', True))


def simulate(seed: int, restarts: bool = False) -> cellsim.Sim:
    """Run the simulation of a seed to its end.

    With ``restarts``, workers also restart quickly under their ids, which
    orders don't tell apart.

    Raises ``InvariantError`` if the cell violates an invariant or jobs never
    end.
    """
    sim = cellsim.Sim(seed)
    for number in range(JOBS):
        job = cellsim.random_job(sim, number)
        sim.schedule(
            sim.random.uniform(0, FAULTS_S), lambda j=job: sim.submit(j)
        )
    for _ in range(12):
        sim.schedule(
            sim.random.uniform(1, FAULTS_S), lambda: _inject_fault(sim)
        )
    if restarts:
        sim.orders_name_incarnation = False
        for _ in range(12):
            sim.schedule(
                sim.random.uniform(1, FAULTS_S), lambda: _inject_restart(sim)
            )
    sim.run(FAULTS_S + SETTLE_S)
    unfinished = set(sim.jobs)
    if unfinished:
        first = min(unfinished)
        explanation = cellsim.cell.explain(sim.owner.state, first)
        raise cellsim.InvariantError(
            f'{len(unfinished)} jobs never end: {first} {explanation}'
        )
    return sim


@pytest.mark.parametrize('seed', [*SEEDS, *REGRESSIONS])
def test_promises_hold_under_random_faults(seed):
    sim = simulate(seed)
    assert len(sim.final_states) == JOBS


def test_promises_hold_under_quick_restarts_of_workers():
    errors = {}
    for seed in RESTART_SEEDS:
        try:
            simulate(seed, restarts=True)
        except cellsim.InvariantError as error:
            errors[seed] = str(error)
    assert not errors


@pytest.mark.parametrize('seed', RESTART_REGRESSIONS)
def test_restarts_beside_changes_of_owner_double_nothing(seed):
    simulate(seed, restarts=True)


if __name__ == '__main__':
    first, last = (int(text) for text in sys.argv[1:3])
    for number in range(first, last):
        for with_restarts in (False, True):
            try:
                simulate(number, with_restarts)
            except cellsim.InvariantError as error:
                kind = ' with restarts' if with_restarts else ''
                sys.stdout.write(f'seed {number}{kind}: {error}\n')
