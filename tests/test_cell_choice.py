"""Choices from an index compared with a scan of all workers."""

import random

import pytest
from tests import cells

from celeryshift_cell import _costs
from celeryshift_cell import _priorities
from celeryshift_cell import _reservations
from celeryshift_cell import effects
from celeryshift_cell import model

WORKERS = 40


def _random_cell(seed: int) -> cells.Bench:
    """Build a cell whose workers are partly used, and some unusable."""
    generator = random.Random(seed)
    bench = cells.Bench(
        tuple(
            cells.entry(f'w{number}', generator.choice((4, 8, 16)))
            for number in range(WORKERS)
        )
    )
    for worker in bench.state.workers.values():
        cores = generator.randint(0, 4)
        worker.allocate(cells.step(cores=cores), 1)
        worker.slowness = generator.choice((0.5, 1.0, 2.0))
        worker.is_suspect = generator.random() < 0.1
    return bench


def _scan(state, step):
    """Choose the best worker as a scan of all workers does."""
    best, lowest = None, None
    for worker in state.workers.values():
        if not (
            worker.is_usable(state.now) and worker.has_capacity(step.spec)
        ):
            continue
        cost = _costs.cost(state, step, step.tasks[0], worker)
        if lowest is None or cost < lowest:
            best, lowest = worker, cost
    return best


@pytest.mark.parametrize('queue', ['field', 'weekly'])
@pytest.mark.parametrize('seed', range(10))
def test_the_ranking_chooses_as_a_scan_does(seed, queue):
    # Guards against an index that is out of date, or that breaks ties
    # otherwise than the order of the cell.
    bench = _random_cell(seed)
    state = bench.state
    count = 6
    job = cells.job('a', cells.step(count, 2), queue=queue)
    chosen = [order.worker_id for order in bench.accept(job)]
    assert len(chosen) == count
    copy = _random_cell(seed)
    step = bench.state.jobs['a'.ljust(16, '0')].steps[0, 0]
    for worker_id in chosen:
        best = _scan(copy.state, step)
        assert best is not None and best.id == worker_id
        best.allocate(step.spec, 1)
    assert state.workers.keys() == copy.state.workers.keys()


@pytest.mark.parametrize('seed', range(10))
def test_reservations_of_an_index_are_those_of_a_sort(seed):
    # Guards against an examination of the index that ends too early.
    bench = _random_cell(seed)
    bench.accept(cells.job('a', cells.step(5, 20)))
    step = bench.state.jobs['a'.ljust(16, '0')].steps[0, 0]
    usable = [
        worker
        for worker in bench.state.workers.values()
        if worker.is_usable(bench.now)
    ]
    usable.sort(
        key=lambda worker: _reservations._shortfall(bench.state, step, worker)
    )
    assert step.reserved_workers == {worker.id for worker in usable[:5]}
    assert not bench.effects_of(effects.StartRun)


@pytest.mark.parametrize('seed', range(10))
def test_priorities_are_those_of_all_steps(seed):
    # Guards against a reservation that outlives its step or pass.
    generator = random.Random(seed)
    priorities = _priorities.Priorities()
    reserved_by_step: dict[str, tuple[set[str], int]] = {}
    for _ in range(300):
        names = set(generator.sample('abcdef', generator.randint(0, 3)))
        step, priority = generator.choice('xyz'), generator.randint(0, 2)
        reserved_by_step[step] = names, priority
        priorities.replace(step, names, priority)
        priorities.add(generator.choice('abcdef'), 0)
        priorities.begin_pass()
        for name in 'abcdef':
            expected = [p for n, p in reserved_by_step.values() if name in n]
            assert priorities.get(name, 9) == min(expected, default=9)


def test_a_removed_worker_leaves_the_index():
    bench = cells.Bench((cells.entry('a'), cells.entry('b')))
    state = bench.state
    state.remove_worker(state.workers['a'])
    index = state.capacity_of(cells.UPSTREAM)
    assert [worker.id for worker in index.workers()] == ['b']
    assert index.count(33 * cells.CORE) == 0
    assert index.count(model.Size(32 * cells.CORE).cpu_milli) == 1
