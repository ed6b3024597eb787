"""Random fault injection on the reducer of a cell, in simulated time.

To run a range of seeds: ``python -m tests.test_cell_random 100 400``.
"""

from collections.abc import Callable
import itertools
import sys

import attrs
import pytest
from tests import cells
from tests import cellsim
from tests import simworkers

from celeryshift_cell import model

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
    62: 'an order cut off on its way was never answered here',
    368: 'copies were started before the workers had been heard',
}
# Seeds of the simulation with idle phases, which failed when leases were based
# on old readings of the workers' clocks.
IDLE_SEEDS = (0, 1, 9, 17, 41, 49, 55, 85)
TAKEOVER_REGRESSIONS = {
    374: 'adopted runs had no lease until they were polled again',
    235: 'a worker was used before the stored list had it',
}
FAULTS_S = 30.0
# Time after the last fault by which all leases have expired, no run is in
# doubt any more, and all jobs have ended.
SETTLE_S = 60.0
JOBS = 40
# Factors between estimates and run times that outlast a lease.
LONG_RUN_RANGE = (4.0, 10.0)
IDLE_PHASES = 3
IDLE_RANGE_S = (5.0, 120.0)
# Time by which the job that follows an idle phase has ended.
LONG_SETTLE_S = 300.0
FAULTS = 12
RESTARTS = 12
# Range of the write times of a slow store.
SLOW_STORE_WRITE_S = (0.2, 1.5)
# The entry of a worker that doesn't reach the store is removed after this.
ENTRY_EXPIRY_S = simworkers.ENTRY_EXPIRY_S
# Time within which the entries that a store lost are back.
ENTRIES_BACK_S = 2.0
# Share of the jobs with a task that crashes its workers.
CRASHING_SHARE = 0.15
CRASHING_SEEDS = range(24)
# Seeds 41, 77 and 90 started tasks on a worker that shrank while cut off.
RESIZED_SEEDS = (*range(24), 41, 77, 90)
RESIZES = 40
RESIZED_CORES = (2, 4, 8, 16)
DATA_CENTRES = ('x', 'x', 'y', 'y', 'z')
# Interval at which a worker publishes its entry. The platform documents that
# the entry is back within two seconds.
REPUBLISH_S = 1.5
# Time in which a worker boots, and in which its new entry reaches the owner.
RESTART_S = (0.02, 1.0)
LISTING_DELAY_S = 1.0
# Duration of a write while the store is slow.
SLOW_WRITE_S = 1.0


def random_job(sim: cellsim.Sim, number: int) -> model.Job:
    """Build a job of one to three steps."""
    steps = []
    for index in range(sim.random.randint(1, 3)):
        step = cells.step(
            sim.random.randint(1, 6),
            sim.random.choice((1, 2, 4)),
            after=(index - 1,) if index else (),
            allows_copies=sim.random.random() < 0.2,
        )
        steps.append(step)
    queue = sim.random.choice(('field', 'advised', 'weekly'))
    job = cells.job(f'{number:04x}', *steps, queue=queue)
    return attrs.evolve(job, id=f'{number:016x}')


def inject_fault(sim: cellsim.Sim) -> None:
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


def simulate_idle_phases(seed: int) -> cellsim.Sim:
    """Run long tasks after idle phases, and cut workers off at their start.

    Raises ``InvariantError`` as ``simulate`` does.
    """
    sim = cellsim.Sim(seed)
    sim.duration_range = LONG_RUN_RANGE
    for worker in sim.workers.values():
        worker.clock_rate = sim.random.choice((1.0, 1 - simworkers.DRIFT))
    for number in range(IDLE_PHASES):
        sim.run(sim.now + sim.random.uniform(*IDLE_RANGE_S))
        sim.submit(random_job(sim, number))
        for worker in sim.random.sample(list(sim.workers.values()), 2):
            sim.schedule(
                sim.random.uniform(0, 2),
                lambda w=worker: _disconnect(sim, w, sim.random.uniform(3, 9)),
            )
        if sim.random.random() < 0.2:
            sim.schedule(
                sim.random.uniform(0, 2), lambda: sim.take_over(is_dead=True)
            )
        _settle(sim)
    return sim


def _settle(sim):
    """Run until all jobs have ended."""
    until = sim.now + LONG_SETTLE_S
    while sim.jobs and sim.now < until:
        sim.run(sim.now + 1)
    check_all_ended(sim)


def check_all_ended(sim):
    unfinished = set(sim.jobs)
    if unfinished:
        first = min(unfinished)
        explanation = cellsim.cell.explain(sim.owner.state, first)
        raise cellsim.InvariantError(
            f'{len(unfinished)} jobs never end: {first} {explanation}'
        )


def _inject_takeover_fault(sim: cellsim.Sim) -> None:
    """Change the owner, with other faults shortly before and after it."""
    kind = sim.random.randrange(7)
    duration_s = sim.random.uniform(1, 7)
    cut_after_s = sim.random.choice((0.003, 0.005, 0.02, 0.2, 0.5))
    if kind == 0:
        inject_fault(sim)
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
    seed: int,
    inject: Callable[[cellsim.Sim], None] = inject_fault,
    restarts: int = 0,
    late_orders_outlive: bool = False,
) -> cellsim.Sim:
    """Run the simulation of a seed to its end.

    Raises ``InvariantError`` if the cell violates an invariant or jobs never
    end.
    """
    sim = cellsim.Sim(seed)
    if inject is not inject_fault:
        _spread_workers(sim)
    for number in range(JOBS):
        job = random_job(sim, number)
        sim.schedule(
            sim.random.uniform(0, FAULTS_S), lambda j=job: sim.submit(j)
        )
    for _ in range(FAULTS):
        sim.schedule(sim.random.uniform(1, FAULTS_S), lambda: inject(sim))
    sim.late_orders_outlive_restarts = late_orders_outlive
    if restarts:
        sim.orders_name_incarnation = False
    for _ in range(restarts):
        sim.schedule(
            sim.random.uniform(1, FAULTS_S), lambda: _inject_restart(sim)
        )
    sim.run(FAULTS_S + SETTLE_S)
    check_all_ended(sim)
    return sim


def simulate_takeovers(seed: int) -> cellsim.Sim:
    """Run the simulation with faults around changes of the owner."""
    return simulate(seed, _inject_takeover_fault)


def simulate_restarts(seed: int) -> cellsim.Sim:
    """Run the simulation with workers that also restart quickly.

    They keep their ids, and orders don't tell their incarnations apart.
    """
    return simulate(seed, restarts=RESTARTS)


def simulate_late_restarts(seed: int) -> cellsim.Sim:
    """Run the simulation of restarts with late orders that outlive them."""
    return simulate(seed, restarts=RESTARTS, late_orders_outlive=True)


def simulate_crashes_with_owners(seed: int) -> cellsim.Sim:
    """Run ``simulate_crashing_tasks`` with owners that die after crashes."""
    return simulate_crashing_tasks(seed, owner_lost_share=0.3)


def simulate_crashing_tasks(
    seed: int, owner_lost_share: float = 0.0
) -> cellsim.Sim:
    """Run the simulation with tasks that crash each worker they start on.

    The owner changes meanwhile. Only the jobs of these tasks may be given up.
    """
    sim = cellsim.Sim(seed, workers=8)
    sim.owner_lost_share = owner_lost_share
    sim.fail_share = 0.0
    for number in range(JOBS):
        job = random_job(sim, number)
        if sim.random.random() < CRASHING_SHARE:
            step = sim.random.randrange(len(job.steps))
            index = sim.random.randrange(job.steps[step].count)
            sim.crashing_tasks.add(f'{job.id}.0.{step}.{index}')
        sim.schedule(
            sim.random.uniform(0, FAULTS_S), lambda j=job: sim.submit(j)
        )
    for _ in range(3):
        sim.schedule(
            sim.random.uniform(1, FAULTS_S),
            lambda: sim.take_over(is_dead=True),
        )
    sim.run(FAULTS_S + SETTLE_S)
    check_all_ended(sim)
    crashing = {task.split('.')[0] for task in sim.crashing_tasks}
    given_up = {
        job for job, state in sim.final_states.items() if state == 'failed'
    }
    if given_up != crashing:
        raise cellsim.InvariantError(
            f'gave up {sorted(given_up - crashing)}, '
            f'but not {sorted(crashing - given_up)}'
        )
    return sim


def simulate_resizes(seed: int) -> cellsim.Sim:
    """Run the simulation with workers that shrink and grow as they run."""
    sim = cellsim.Sim(seed)

    def resize() -> None:
        worker = sim.random.choice(list(sim.workers.values()))
        worker.resize(sim.random.choice(RESIZED_CORES) * cells.CORE)

    for number in range(JOBS):
        job = random_job(sim, number)
        sim.schedule(
            sim.random.uniform(0, FAULTS_S), lambda j=job: sim.submit(j)
        )
    for _ in range(RESIZES):
        sim.schedule(sim.random.uniform(1, FAULTS_S), resize)
    for grown in sim.workers.values():
        cpu_milli = grown.entry.capacity.cpu_milli
        sim.schedule(FAULTS_S, lambda w=grown, c=cpu_milli: w.resize(c))
    for _ in range(FAULTS):
        sim.schedule(
            sim.random.uniform(1, FAULTS_S), lambda: inject_fault(sim)
        )
    sim.run(FAULTS_S + SETTLE_S)
    check_all_ended(sim)
    return sim


def _spread_workers(sim):
    for worker, data_centre in zip(
        sim.workers.values(), DATA_CENTRES, strict=True
    ):
        worker.entry = attrs.evolve(worker.entry, data_centre=data_centre)
    sim.owner.feed(sim.listing())


def _errors_by_seed(run, seeds):
    errors = {}
    for seed in seeds:
        try:
            run(seed)
        except cellsim.InvariantError as error:
            errors[seed] = str(error)
    return errors


@pytest.mark.parametrize('seed', [*SEEDS, *REGRESSIONS])
def test_promises_hold_under_random_faults(seed):
    sim = simulate(seed)
    assert len(sim.final_states) == JOBS


@pytest.mark.parametrize('seed', IDLE_SEEDS)
def test_no_lease_lasts_too_long_after_idle_phases(seed):
    sim = simulate_idle_phases(seed)
    assert len(sim.final_states) == IDLE_PHASES


@pytest.mark.parametrize('seed', [*SEEDS, *TAKEOVER_REGRESSIONS])
def test_promises_hold_under_random_takeovers(seed):
    sim = simulate_takeovers(seed)
    assert len(sim.final_states) == JOBS


@pytest.mark.parametrize('run', [simulate_restarts, simulate_late_restarts])
def test_promises_hold_under_quick_restarts_of_workers(run):
    assert not _errors_by_seed(run, RESTART_SEEDS)


@pytest.mark.parametrize('seed', RESTART_REGRESSIONS)
def test_restarts_beside_changes_of_owner_double_nothing(seed):
    simulate_restarts(seed)


def test_a_task_that_crashes_its_workers_is_given_up_and_no_other():
    assert not _errors_by_seed(simulate_crashing_tasks, CRASHING_SEEDS)


def test_crashes_count_though_each_time_the_owner_may_die_too():
    assert not _errors_by_seed(simulate_crashes_with_owners, CRASHING_SEEDS)


def test_no_start_exceeds_a_capacity_that_has_shrunk():
    assert not _errors_by_seed(simulate_resizes, RESIZED_SEEDS)


SIMULATIONS = (
    simulate,
    simulate_crashing_tasks,
    simulate_crashes_with_owners,
    simulate_resizes,
    simulate_takeovers,
    simulate_restarts,
    simulate_idle_phases,
)


if __name__ == '__main__':
    first, last = (int(text) for text in sys.argv[1:3])
    for number, run in itertools.product(range(first, last), SIMULATIONS):
        try:
            run(number)
        except cellsim.InvariantError as error:
            sys.stdout.write(f'{run.__name__} {number}: {error}\n')
