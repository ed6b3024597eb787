"""Placement: room in every resource, bounded work, unlike policies."""

import random

import builders
import pytest

import celeryshift_core as core
from celeryshift_core import _config
from celeryshift_core import _jobs
from celeryshift_core import _placement
from celeryshift_core import _placers
from celeryshift_core import _tasks
from celeryshift_core import effects

EXAMINED = 160
TOUCHED = 250
SLOT = core.Size()


def _job(held, name, kind, tasks=1, team='t00', size=SLOT):
    return _tasks.Job(f'{team}:{name}', team, kind, tasks, {}, size)


@pytest.mark.parametrize('workers', [95, 6_800])
def test_the_work_for_a_placement_does_not_grow_with_the_fleet(workers):
    state, held = builders.full_slice(workers, 10_000)
    out = []
    _placement.pump(state, held, out)
    starts = [item for item in out if isinstance(item, effects.StartTask)]
    assert len(starts) == state.counters['placements'] > 600
    assert held.ledger.examined <= 64 * len(starts) + EXAMINED * 10
    assert held.queue.touched <= 20 * len(starts) + TOUCHED


def test_an_end_on_a_full_slice_touches_little():
    state, held = builders.full_slice(756, 50_000)
    _placement.pump(state, held, [])
    examined, touched = held.ledger.examined, held.queue.touched
    ends = 0
    for worker in list(held.ledger.workers_by_name.values())[:100]:
        run_id = next(iter(worker.holds_by_run))
        builders.end_run(state, held, worker, run_id)
        ends += 1
    assert held.ledger.examined - examined <= EXAMINED
    assert held.queue.touched - touched <= TOUCHED * ends


def test_room_that_exists_is_found():
    _, held = builders.full_slice(200, 0)
    rng = random.Random(7)
    missed = searched = 0
    for number in range(4_000):
        size = rng.choice(builders.UNLIKE_SIZES)
        found = held.ledger.packed(builders.UPSTREAM, size, 4)
        fits = [
            worker
            for worker in held.ledger.workers_by_name.values()
            if size.fits(worker.free)
        ]
        searched += bool(fits)
        missed += bool(fits) and not found
        assert set(found) <= set(fits)
        if found:
            builders.take(held, found[0], f'run{number}~1', size)
        for _ in range(2 if number > 750 else 0):
            worker = rng.choice(list(held.ledger.workers_by_name.values()))
            if worker.holds_by_run:
                run_id = rng.choice(list(worker.holds_by_run))
                held.ledger.release(worker.name, run_id)
    assert searched > 3_000
    assert missed <= searched * 0.005, missed / searched


def test_a_service_is_spread_over_racks():
    state, held = builders.full_slice(24, 0)
    kind = _config.Kind(builders.UPSTREAM, _config.Policy.SERVICE)
    state.config.kinds['keeper'] = kind
    _jobs.accept(state, held, _job(held, 's', 'keeper', 8))
    _placement.pump(state, held, [])
    racks = held.ledger.tasks_by_rack('t00:s')
    assert sorted(racks.values()) == [2, 2, 2, 2]


def test_batch_packs_and_requests_go_to_the_emptiest():
    state, held = builders.full_slice(24, 0)
    state.config.kinds['recode'] = _config.Kind(builders.UPSTREAM)
    _jobs.accept(state, held, _job(held, 'b', 'recode', 12))
    _placement.pump(state, held, [])
    workers = held.ledger.workers_by_name.values()
    assert sum(bool(worker.holds_by_run) for worker in workers) == 2
    task = _tasks.Task(
        'r', 't00', 'validate', builders.UPSTREAM, core.Size(), True, 0.0
    )
    placer = _placers.BY_POLICY[_config.Policy.REQUEST]
    found = placer.find(held, task, task.size)
    best = min(found, key=lambda worker: placer.rank(held, task, worker))
    assert not best.holds_by_run


def test_a_team_without_room_does_not_hold_up_the_others():
    state, held = builders.full_slice(2, 0)
    for number in range(20):
        team = f't{number:02d}'
        size = core.Size(8, 64_000, 0, 0)
        _jobs.accept(state, held, _job(held, 'b', 'k0', 1, team, size))
    _jobs.accept(state, held, _job(held, 'a', 'k0', 1, 't40'))
    _placement.pump(state, held, [])
    assert state.counters['placements'] == 1
