"""Submission of configurations: races, lost answers, outages, restarts.

Guards against versions that are lost, overwritten or taken back when
submissions race, answers of the store are lost or nodes restart.
"""

import random

import builders
import pytest

import celeryshift_core as core
from celeryshift_core import events
from celeryshift_core import schema
from celeryshift_standins import world as worlds

IN_FORCE_S = 6.0


def _world(seed=1):
    world = worlds.World(seed=seed)
    world.configure(builders.fleet().document())
    for centre in ('dc1', 'dc2'):
        for number in range(2):
            world.add_node(f'{centre}-n{number}', centre)
    world.run(8.0)
    return world


def _document(team):
    fleet = builders.fleet()
    fleet.team(team)
    return fleet.document()


def _submit(world, node, base, team='new'):
    document = _document(team)
    return world.operate(
        node,
        lambda now, reply: events.ConfigSubmitted(
            now, reply, base, document, 'ana', 't'
        ),
    )


def _versions(world):
    return {
        node.state.config.version
        for node in world.nodes_by_name.values()
        if node.alive
    }


def _stored(world):
    return world.table.rows_by_key[schema.CONFIG][1]


def test_of_racing_hand_ins_one_wins_and_the_others_are_told():
    world = _world()
    calls = [
        _submit(world, node, 1, f'team-{node}') for node in world.nodes_by_name
    ]
    world.run(1.0)
    won = [call for call in calls if call.answer]
    lost = [call for call in calls if call.refusal]
    assert [call.answer['version'] for call in won] == [2]
    assert len(lost) == 3
    for call in lost:
        assert call.refusal.reason is core.Reason.CONFIGURATION_CONFLICT
        assert 'version 1 to 2' in call.refusal.detail
    world.run(IN_FORCE_S - 1.0)
    assert _versions(world) == {2}


def test_a_hand_in_whose_answer_was_lost_is_told_truthfully():
    world = _world()
    call = _submit(world, 'dc1-n0', 1)
    world.run(0.006)
    world.answers_to_lose = 4
    world.run(IN_FORCE_S)
    assert call.answer == {'version': 2, 'existed': False}
    again = _submit(world, 'dc2-n0', 1)
    other = _submit(world, 'dc2-n0', 1, 'other')
    world.run(1.0)
    assert again.answer == {'version': 2, 'existed': True}
    assert other.refusal.reason is core.Reason.CONFIGURATION_CONFLICT


def test_a_hand_in_that_is_not_settled_says_that_it_may_take_effect():
    world = _world()
    call = _submit(world, 'dc1-n0', 1)
    world.run(0.008)
    world.store_down = True
    world.run(IN_FORCE_S)
    assert call.refusal.ran is core.Ran.UNKNOWN
    world.store_down = False
    world.run(IN_FORCE_S)
    assert _versions(world) == {_stored(world)['version']}


def test_a_data_centre_cut_from_the_platform_asks_its_peers():
    world = _world()
    world.cut('dc2', worlds.PLATFORM)
    world.run(4.0)
    _submit(world, 'dc1-n0', 1)
    world.run(IN_FORCE_S)
    assert _versions(world) == {2}


@pytest.mark.parametrize('seed', range(4))
def test_no_configuration_or_withdrawal_is_ever_taken_back(seed):
    world = _world(seed)
    seen = {}

    def check():
        for node in world.nodes_by_name.values():
            version = node.state.config.version
            assert version >= seen.get(node.state.node, 0)
            seen[node.state.node] = version

    world.on_step.append(check)
    rng = random.Random(seed)
    withdrawn = []
    accepted = []
    for number in range(12):
        alive = [n.name for n in world.nodes_by_name.values() if n.alive]
        node = rng.choice(alive)
        base = world.nodes_by_name[node].state.config.version
        accepted.append(_submit(world, node, base, f'team-{number}'))
        key = f'key-{number}'
        withdrawn.append(key)
        world.operate(
            rng.choice(alive),
            lambda now, reply, key=key: events.KeyWithdrawn(
                now, reply, key, 'ana', 't'
            ),
        )
        world.answers_to_lose += rng.randint(0, 2)
        world.run(rng.uniform(0.0, 2.0))
        world.store_down = rng.random() < 0.3
        world.run(rng.uniform(0.0, 4.0))
        world.store_down = False
    world.run(20.0)
    for name in list(world.nodes_by_name):
        world.kill(name)
        world.add_node(name, name.partition('-')[0])
    world.run(IN_FORCE_S)
    newest = _stored(world)['version']
    assert _versions(world) == {newest}
    assert set(_stored(world)['withdrawn_keys']) == set(withdrawn)
    for call in accepted:
        assert call.answer is None or call.answer['version'] <= newest
    for version in range(2, newest + 1):
        assert schema.audit(version) in world.table.rows_by_key
