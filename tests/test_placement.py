"""Placement: fit in every resource, bounded work, placement by policy."""

import random

from bench import placement
import builders
import pytest

import celeryshift_core as core
from celeryshift_core import _config
from celeryshift_core import _jobs
from celeryshift_core import _placement
from celeryshift_core import _placement_strategies
from celeryshift_core import _tasks
from celeryshift_core import effects
from celeryshift_core import events
from celeryshift_standins import world as worlds

MAX_WORKERS_EXAMINED = 160
MAX_TASKS_EXAMINED = 250
SLOT = core.Size()


def _job(slice_, name, kind, tasks=1, team='t00', size=SLOT):
    return _tasks.Job(f'{team}:{name}', team, kind, tasks, {}, size)


@pytest.mark.parametrize('workers', [95, 6_800])
def test_the_work_for_a_placement_does_not_grow_with_the_fleet(workers):
    state, slice_ = builders.build_slice(workers, 10_000)
    outbox = []
    placement.place_all(state, slice_, outbox)
    starts = [item for item in outbox if isinstance(item, effects.StartTask)]
    assert len(starts) == state.counters['placements'] > 600
    assert (
        slice_.ledger.examined <= 64 * len(starts) + MAX_WORKERS_EXAMINED * 10
    )
    assert slice_.queue.examined <= 20 * len(starts) + MAX_TASKS_EXAMINED


def test_an_end_on_a_full_slice_touches_little():
    state, slice_ = builders.build_slice(756, 50_000)
    placement.place_all(state, slice_, [])
    workers_examined, tasks_examined = (
        slice_.ledger.examined,
        slice_.queue.examined,
    )
    completions = 0
    for worker in list(slice_.ledger.workers_by_name.values())[:100]:
        run_id = next(iter(worker.bookings_by_run))
        builders.end_run(state, slice_, worker, run_id)
        completions += 1
    assert slice_.ledger.examined - workers_examined <= MAX_WORKERS_EXAMINED
    assert (
        slice_.queue.examined - tasks_examined
        <= MAX_TASKS_EXAMINED * completions
    )


def test_room_that_exists_is_found():
    _, slice_ = builders.build_slice(200, 0)
    rng = random.Random(7)
    missed = searched = 0
    for number in range(4_000):
        size = rng.choice(builders.UNLIKE_SIZES)
        found = slice_.ledger.first_fit(builders.UPSTREAM, size, 4)
        fits = [
            worker
            for worker in slice_.ledger.workers_by_name.values()
            if size.fits(worker.free)
        ]
        searched += bool(fits)
        missed += bool(fits) and not found
        assert set(found) <= set(fits)
        if found:
            builders.book(slice_, found[0], f'run{number}~1', size)
        for _ in range(2 if number > 750 else 0):
            worker = rng.choice(list(slice_.ledger.workers_by_name.values()))
            if worker.bookings_by_run:
                run_id = rng.choice(list(worker.bookings_by_run))
                slice_.ledger.release(worker.name, run_id)
    assert searched > 3_000
    assert missed <= searched * 0.005, missed / searched


def test_a_service_is_spread_over_racks():
    state, slice_ = builders.build_slice(24, 0)
    kind = _config.Kind(builders.UPSTREAM, _config.Policy.SERVICE)
    state.config.kinds['keeper'] = kind
    _jobs.accept(state, slice_, _job(slice_, 's', 'keeper', 8))
    _placement.place_on_slice(state, slice_, [])
    racks = slice_.ledger.tasks_by_rack('t00:s')
    assert sorted(racks.values()) == [2, 2, 2, 2]


def test_batch_packs_and_requests_go_to_the_emptiest():
    state, slice_ = builders.build_slice(24, 0)
    state.config.kinds['recode'] = _config.Kind(builders.UPSTREAM)
    _jobs.accept(state, slice_, _job(slice_, 'b', 'recode', 12))
    _placement.place_on_slice(state, slice_, [])
    workers = slice_.ledger.workers_by_name.values()
    assert sum(bool(worker.bookings_by_run) for worker in workers) == 2
    task = _tasks.Task(
        'r', 't00', 'validate', builders.UPSTREAM, core.Size(), True, 0.0
    )
    strategy = _placement_strategies.BY_POLICY[_config.Policy.REQUEST]
    found = strategy.find(slice_, task, task.size)
    best = min(found, key=lambda worker: strategy.rank(slice_, task, worker))
    assert not best.bookings_by_run


def test_a_team_without_room_does_not_hold_up_the_others():
    state, slice_ = builders.build_slice(2, 0)
    for number in range(20):
        team = f't{number:02d}'
        size = core.Size(8, 64_000, 0, 0)
        _jobs.accept(state, slice_, _job(slice_, 'b', 'k0', 1, team, size))
    _jobs.accept(state, slice_, _job(slice_, 'a', 'k0', 1, 't40'))
    _placement.place_on_slice(state, slice_, [])
    assert state.counters['placements'] == 1


def test_an_event_starts_a_bounded_number_of_tasks():
    state, slice_ = builders.build_slice(756, 50_000)
    most = 0
    while slice_.ledger.free_slots(builders.UPSTREAM):
        before = state.counters['placements']
        slice_.ledger.refresh(
            next(iter(slice_.ledger.workers_by_name.values()))
        )
        state.slices_to_place[slice_.number] = None
        core.reduce(state, events.Tick(state.now))
        most = max(most, state.counters['placements'] - before)
    assert most == _placement.MAX_STARTS_PER_EVENT


def _busy_world(kind):
    world = worlds.World(seed=1, slices=1)
    world.add_worker('w0', 'dc1')
    fleet = builders.fleet()
    fleet.batch('spare', builders.UPSTREAM, preemptible=True)
    world.configure(fleet.document())
    world.add_node('n0', 'dc1')
    world.run(3.0)
    token = builders.token()
    world.submit('n0', 'b', kind, 'field', token, tasks=8, run_s=30.0)
    world.run(1.0)
    urgent = [
        world.request('n0', f'u{n}', 'validate', 'field', token, run_s=0.1)
        for n in range(3)
    ]
    world.run(1.0)
    return world, urgent


def test_urgent_work_preempts_what_may_be_preempted():
    world, urgent = _busy_world('spare')
    assert max(call.waited_s for call in urgent) < 0.5
    assert all(call.answer for call in urgent)
    query = world.request_job_act(
        'n0', 'b', 'explain', 'field', builders.token()
    )
    world.run(60.0)
    assert 'preempted' in str(query.answer)
    assert 'urgent r:ministry:u' in str(query.answer)
    query = world.request_job_act('n0', 'b', 'show', 'field', builders.token())
    world.run(1.0)
    assert query.answer['done'] == 8
    stopped = [span for span in world.spans() if span.until < 10.0]
    assert len([span for span in stopped if ':b.' in span.run_id]) <= 3


def test_work_that_may_not_be_preempted_runs_on():
    world, _ = _busy_world('recode')
    world.run(40.0)
    runs = [span for span in world.spans() if ':b.' in span.run_id]
    assert len(runs) == 8


def test_small_tasks_do_not_keep_a_large_one_out():
    world = worlds.World(seed=1, slices=1)
    world.add_worker('w0', 'dc1')
    world.add_worker('w1', 'dc1')
    fleet = builders.fleet()
    fleet.batch('whole', builders.UPSTREAM, slots=8)
    world.configure(fleet.document())
    world.add_node('n0', 'dc1')
    world.run(3.0)
    token = builders.token()
    for number in range(100):
        name, tasks = f's{number}', 3 + number % 5
        world.submit(
            'n0', name, 'recode', 'field', token, tasks=tasks, run_s=2.0
        )
        world.run(0.2)
        if number == 10:
            world.submit('n0', 'large', 'whole', 'field', token, run_s=0.5)
    runs = [span for span in world.spans() if ':large.' in span.run_id]
    assert len(runs) == 1
    assert runs[0].started_at < 3.0 + 11 * 0.2 + 10.0
