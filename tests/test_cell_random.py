"""Random fault injection on the reducer of a cell, in simulated time.

To run a range of seeds: ``python -m tests.test_cell_random 100 400``.
"""

from collections.abc import Callable
import sys

import attrs
import pytest
from tests import cellsim

SEEDS = range(24)
# Seeds that failed in the past, each with its cause.
REGRESSIONS = {
    37: 'runs on silent workers were not counted for their team',
    292: 'the same, with copies',
    87: 'a worker that had been cut off was never listed again here',
    368: 'copies were started before the workers had been heard',
}
TAKEOVER_REGRESSIONS = {
    374: 'adopted runs had no lease until they were polled again',
    235: 'a worker was used before the stored list had it',
}
FAULTS_S = 30.0
# Time after the last fault by which all leases have expired, no run is in
# doubt any more, and all jobs have ended.
SETTLE_S = 60.0
JOBS = 40
FAULTS = 12
# Range of the write times of a slow store.
SLOW_STORE_WRITE_S = (0.2, 1.5)
# The entry of a worker that doesn't reach the store is removed after this.
ENTRY_EXPIRY_S = 4.5
# Time within which the entries that a store lost are back.
ENTRIES_BACK_S = 2.0
DATA_CENTRES = ('x', 'x', 'y', 'y', 'z')
# Interval at which a worker publishes its entry. The platform documents that
# the entry is back within two seconds.
REPUBLISH_S = 1.5


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


def _inject_takeover_fault(sim: cellsim.Sim) -> None:
    """Change the owner, with other faults shortly before and after it."""
    kind = sim.random.randrange(7)
    duration_s = sim.random.uniform(1, 7)
    cut_after_s = sim.random.choice((0.003, 0.005, 0.02, 0.2, 0.5))
    if kind == 0:
        _inject_fault(sim)
        return
    if kind in (1, 2, 3):
        sim.store_write_s = sim.random.uniform(*SLOW_STORE_WRITE_S)
        sim.schedule(
            duration_s,
            lambda: setattr(sim, 'store_write_s', cellsim.STORE_WRITE_S),
        )
    if kind in (2, 4):
        _cut_data_centre(sim, duration_s)
        sim.schedule(
            sim.random.uniform(0, duration_s), lambda: _acquire_again(sim)
        )
    if kind == 5:
        _isolate_owner(sim, duration_s)
        cut_after_s += cellsim.OWNER_LEASE_S + 0.1
    else:
        if kind in (3, 6):
            _lose_entries(sim)
        _acquire_again(sim)
    sim.schedule(cut_after_s, lambda: _cut_data_centre(sim, duration_s))


def _acquire_again(sim):
    """Let the node of the owner acquire the cell again, at times twice."""
    sim.take_over(is_dead=True)
    if sim.random.random() < 0.5:
        sim.schedule(
            sim.random.uniform(0.01, 1.5), lambda: sim.take_over(is_dead=True)
        )


def _cut_data_centre(sim, duration_s):
    """Cut a data centre off from the owner and the store."""
    data_centre = sim.random.choice(DATA_CENTRES)
    for worker in sim.workers.values():
        if worker.entry.data_centre == data_centre:
            worker.entry_until = sim.now + ENTRY_EXPIRY_S
            _disconnect(sim, worker, duration_s)
            sim.schedule(
                ENTRY_EXPIRY_S, lambda w=worker: _remove_entry(sim, w)
            )


def _lose_entries(sim):
    """Remove all entries, as a store that was away may do."""
    for worker in sim.workers.values():
        missing_s = sim.random.uniform(0, ENTRIES_BACK_S)
        worker.entry_from = sim.now + missing_s
        sim.schedule(missing_s, lambda w=worker: _publish_entry(sim, w))
        _remove_entry(sim, worker)


def _remove_entry(sim, worker):
    if not worker.has_entry:
        removal = cellsim.events.WorkersChanged(0.0, (), (worker.entry.id,))
        sim.owner.feed(removal)


def simulate(
    seed: int, inject: Callable[[cellsim.Sim], None] = _inject_fault
) -> cellsim.Sim:
    """Run the simulation of a seed to its end.

    Raises ``InvariantError`` if the cell violates an invariant or jobs never
    end.
    """
    sim = cellsim.Sim(seed)
    if inject is not _inject_fault:
        _spread_workers(sim)
    for number in range(JOBS):
        job = cellsim.random_job(sim, number)
        sim.schedule(
            sim.random.uniform(0, FAULTS_S), lambda j=job: sim.submit(j)
        )
    for _ in range(FAULTS):
        sim.schedule(sim.random.uniform(1, FAULTS_S), lambda: inject(sim))
    sim.run(FAULTS_S + SETTLE_S)
    unfinished = set(sim.jobs)
    if unfinished:
        first = min(unfinished)
        explanation = cellsim.cell.explain(sim.owner.state, first)
        raise cellsim.InvariantError(
            f'{len(unfinished)} jobs never end: {first} {explanation}'
        )
    return sim


def _spread_workers(sim):
    for worker, data_centre in zip(
        sim.workers.values(), DATA_CENTRES, strict=True
    ):
        worker.entry = attrs.evolve(worker.entry, data_centre=data_centre)
    sim.owner.feed(sim.listing())


@pytest.mark.parametrize('seed', [*SEEDS, *REGRESSIONS])
def test_promises_hold_under_random_faults(seed):
    sim = simulate(seed)
    assert len(sim.final_states) == JOBS


@pytest.mark.parametrize('seed', [*SEEDS, *TAKEOVER_REGRESSIONS])
def test_promises_hold_under_random_takeovers(seed):
    sim = simulate(seed, _inject_takeover_fault)
    assert len(sim.final_states) == JOBS


if __name__ == '__main__':
    first, last = (int(text) for text in sys.argv[1:3])
    for number in range(first, last):
        for inject in (_inject_fault, _inject_takeover_fault):
            try:
                simulate(number, inject)
            except cellsim.InvariantError as error:
                sys.stdout.write(f'{inject.__name__} {number}: {error}\n')
