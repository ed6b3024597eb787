"""Withdrawals of keys, and how long a configuration counts as confirmed.

Guards against a withdrawn key that is still accepted by a node which was cut
off from the store or its peers at the time of the withdrawal.
"""

import builders

import celeryshift_core as core
from celeryshift_core import events
from celeryshift_core import schema
from celeryshift_standins import world as worlds

IN_FORCE_S = 3.0


def _world(centres=('dc1', 'dc2'), seed=1):
    world = worlds.World(seed=seed)
    world.configure(builders.fleet().document())
    for centre in centres:
        for number in range(3):
            world.add_worker(f'{centre}-w{number}', centre)
        for number in range(2):
            world.add_node(f'{centre}-n{number}', centre)
    world.run(8.0)
    return world


def _withdraw(world, node, key='k1'):
    return world.operate(
        node,
        lambda now, reply: events.KeyWithdrawn(now, reply, key, 'ana', 't'),
    )


def _send_requests(world, queue='field'):
    key = builders.token() if queue == 'field' else ''
    calls = [
        world.request(name, f'{name}-{world.now}', 'validate', queue, key)
        for name, node in world.nodes_by_name.items()
        if node.alive
    ]
    world.run(0.5)
    return calls


def _reasons(calls):
    return {call.refusal and call.refusal.reason for call in calls}


def test_a_withdrawal_works_everywhere_while_the_store_is_down():
    world = _world()
    world.store_down = True
    world.run(6.0)
    call = _withdraw(world, 'dc1-n0')
    world.run(IN_FORCE_S)
    assert call.answer['stored'] is False
    assert call.answer['not_heard_by'] == []
    assert _reasons(_send_requests(world)) == {core.Reason.WITHDRAWN_KEY}
    world.kill('dc1-n0')
    world.run(1.0)
    world.store_down = False
    world.run(15.0)
    _, document = world.table.rows_by_key[schema.CONFIG]
    assert document['withdrawn_keys'] == ['k1']
    record = world.table.rows_by_key[schema.audit(document['version'])][1]
    assert (record['who'], record['at']) == ('ana', 't')


def test_a_withdrawal_is_in_the_store_before_the_reply_says_so():
    world = _world()
    call = _withdraw(world, 'dc2-n1')
    world.run(IN_FORCE_S)
    assert call.answer['stored'] and call.answer['known']
    assert call.answer['not_heard_by'] == []
    assert call.waited_s < 1.0
    assert _reasons(_send_requests(world)) == {core.Reason.WITHDRAWN_KEY}


def test_a_node_that_was_cut_off_learns_of_a_withdrawal():
    world = _world()
    world.store_down = True
    world.cut('dc1', 'dc2')
    world.run(2.5)
    call = _withdraw(world, 'dc1-n0')
    world.run(30.0)
    assert len(call.answer['not_heard_by']) == 2
    world.heal('dc1', 'dc2')
    world.run(2 * IN_FORCE_S)
    assert _reasons(_send_requests(world)) == {core.Reason.WITHDRAWN_KEY}


def test_what_was_accepted_goes_on_after_a_withdrawal():
    world = _world(('dc1',))
    job = world.submit(
        'dc1-n0', 'j', 'recode', 'field', builders.token(), tasks=60, run_s=2.0
    )
    world.run(1.0)
    assert job.answer['accepted']
    _withdraw(world, 'dc1-n1')
    world.run(20.0)
    assert len(world.spans()) == 60


def test_a_node_that_nothing_confirms_takes_no_work_by_key():
    world = _world()
    for other in ('dc1', worlds.PLATFORM):
        world.cut('dc2', other)
    world.run(20.0)
    by_key = _reasons(_send_requests(world))
    assert by_key == {None, core.Reason.KEYS_UNCONFIRMED}
    refused = {core.Reason.KEYS_UNCONFIRMED, core.Reason.WITHDRAWN_KEY}
    assert not _reasons(_send_requests(world, 'walk-in')) & refused
    for other in ('dc1', worlds.PLATFORM):
        world.heal('dc2', other)
    world.run(6.0)
    assert _reasons(_send_requests(world)) == {None}


def test_peers_confirm_for_a_data_centre_that_is_cut_from_the_platform():
    world = _world()
    world.cut('dc2', worlds.PLATFORM)
    world.run(25.0)
    assert core.Reason.KEYS_UNCONFIRMED not in _reasons(_send_requests(world))


def test_nodes_that_all_hear_each_other_go_on_while_the_store_is_down():
    world = _world()
    world.store_down = True
    world.run(60.0)
    assert core.Reason.KEYS_UNCONFIRMED not in _reasons(_send_requests(world))
    world.kill('dc2-n0')
    world.run(20.0)
    assert core.Reason.KEYS_UNCONFIRMED in _reasons(_send_requests(world))
