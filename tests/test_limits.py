"""Upper limits of teams over the whole fleet."""

import random

import builders
import pytest

from celeryshift_core import schema
from celeryshift_standins import invariants
from celeryshift_standins import world as worlds

LIMIT = 20


def _fleet(limit=LIMIT):
    builder = builders.fleet()
    builder.team('ministry', share=4, limit_slots=limit)
    return builder.document()


def _world(seed=1, limit=LIMIT):
    world = worlds.World(seed=seed)
    world.configure(_fleet(limit))
    for centre in ('dc1', 'dc2'):
        for number in range(8):
            world.add_worker(f'{centre}-w{number}', centre)
        for number in range(2):
            world.add_node(f'{centre}-n{number}', centre)
    world.run(6.0)
    return world


def _submit(world, node, name, run_s=4.0, tasks=100):
    return world.submit(
        node,
        name,
        'recode',
        'field',
        builders.token(),
        tasks=tasks,
        run_s=run_s,
    )


def _running(world, data_centre='', team='ministry'):
    return sum(
        span.slots
        for span in world.spans()
        if span.team == team
        and span.worker.startswith(data_centre)
        and span.started_at <= world.now < span.until
    )


def _assert_within(world, limit=LIMIT):
    lines = invariants.over_limit(world.spans(), {'ministry': limit})
    assert list(lines) == []


def test_a_team_keeps_to_its_limit_over_the_whole_fleet():
    world = _world()
    for centre in ('dc1', 'dc2'):
        _submit(world, f'{centre}-n0', f'{centre}-job')
    world.run(20.0)
    _assert_within(world)
    assert _running(world) >= LIMIT - 4


def _assert_no_start_above(world, since, limit):
    spans = [span for span in world.spans() if span.team == 'ministry']
    for started in spans:
        at = started.started_at
        running_slots = sum(
            span.slots for span in spans if span.started_at <= at < span.until
        )
        assert at < since or running_slots <= limit, (
            f'{running_slots} slots at {at}'
        )


@pytest.mark.parametrize('seed', range(6))
def test_faults_and_lost_answers_do_not_stretch_a_limit(seed):
    world = _world(seed)
    for centre in ('dc1', 'dc2'):
        _submit(world, f'{centre}-n0', f'{centre}-job', run_s=2.0)
    rng = random.Random(seed)
    for _ in range(6):
        world.run(rng.uniform(0.5, 3.0))
        world.answers_to_lose += rng.randint(0, 3)
        world.cut('dc1', worlds.PLATFORM)
        world.run(rng.uniform(0.1, 3.0))
        world.heal('dc1', worlds.PLATFORM)
    world.kill('dc2-n0')
    world.kill('dc1-n1')
    world.run(1.0)
    world.add_node('dc2-n2', 'dc2')
    world.run(60.0)
    _assert_within(world)
    assert _running(world) == 0
    assert sum(span.slots for span in world.spans()) >= 200


def test_nobody_starts_above_a_lowered_limit():
    world = _world()
    for centre in ('dc1', 'dc2'):
        _submit(world, f'{centre}-n0', f'{centre}-job')
    world.run(10.0)
    world.configure(_fleet(7))
    world.run(25.0)
    # The limit was lowered at 16 s.
    _assert_no_start_above(world, 18.0, 7)
    assert _running(world) >= 4


def test_idle_allotment_drifts_to_where_the_demand_is():
    world = _world()
    _submit(world, 'dc1-n0', 'first', tasks=80)
    world.run(14.0)
    assert _running(world, 'dc1') == LIMIT
    world.run(8.0)
    _submit(world, 'dc2-n0', 'second', tasks=400)
    world.run(15.0)
    assert _running(world, 'dc2') >= LIMIT - 2
    _assert_within(world)


def test_a_cut_off_data_centre_keeps_its_allotments():
    world = _world()
    for centre in ('dc1', 'dc2'):
        _submit(world, f'{centre}-n0', f'{centre}-job', run_s=0.5, tasks=400)
    world.run(4.0)
    before = _running(world, 'dc1')
    assert before > 0
    world.cut('dc1', worlds.PLATFORM)
    world.run(1.5)
    assert _running(world, 'dc1') == before
    _assert_within(world)


def test_a_new_owner_counts_what_it_finds_running():
    world = _world(limit=8)
    _submit(world, 'dc1-n0', 'long', run_s=60.0, tasks=8)
    world.run(12.0)
    assert _running(world) == 8
    for number in range(2):
        world.kill(f'dc1-n{number}')
        world.add_node(f'dc1-x{number}', 'dc1')
    _submit(world, 'dc2-n0', 'more', tasks=40)
    world.run(8.0)
    _submit(world, 'dc1-x0', 'again', tasks=40)
    world.run(8.0)
    _assert_within(world, 8)


def test_what_a_team_had_is_free_again_after_it_was_taken_out():
    world = _world()
    _submit(world, 'dc1-n0', 'job', run_s=1.0, tasks=800)
    world.run(2.0)
    builder = builders.fleet()
    document = builder.document()
    del document['teams']['ministry'], document['keys']['k1']
    world.configure(document)
    world.run(12.0)
    assert world.table.rows_by_key[schema.pool('ministry')][1]['slots'] == 0
    world.configure(_fleet())
    world.run(12.0)
    assert _running(world) == LIMIT


def test_a_backlog_elsewhere_does_not_keep_a_limit_to_itself():
    world = _world()
    _submit(world, 'dc1-n0', 'backlog', tasks=2000, run_s=2.0)
    world.run(12.0)
    calls = []
    for _ in range(20):
        name = f'r{len(calls)}'
        calls.append(
            world.request(
                'dc2-n0', name, 'validate', 'field', builders.token()
            )
        )
        world.run(0.5)
    world.run(6.0)
    answered = [call for call in calls if call.answer]
    assert len(answered) >= 15
    _assert_within(world)
