"""Frequency of the summaries that nodes send each other.

Guards against traffic that grows with the fleet, and against peers that act
on outdated summaries because changes were sent too late.
"""

from bench import traffic
import builders

from celeryshift_standins import world as worlds

RUN_S = 60.0
NEAR_PEERS = 1
FAR_PEERS = 4


def _world():
    world = traffic.MeteredWorld(1, 'n0')
    for number in range(2):
        world.add_worker(f'w{number}', 'dc0')
        world.add_worker(f'f{number}', 'dc1')
    world.configure(builders.fleet().document())
    for number in range(1 + NEAR_PEERS):
        world.add_node(f'n{number}', 'dc0')
    for number in range(FAR_PEERS):
        world.add_node(f'm{number}', 'dc1')
    world.run(20.0)
    return world


def _peer_at(world, node, address):
    """Return what a node knows of the peer with an address."""
    peers = world.nodes_by_name[node].state.membership.peers_by_id
    return next(peer for peer in peers.values() if peer.address == address)


def test_an_idle_node_sends_few_summaries():
    world = _world()
    world.start_metering()
    world.run(RUN_S)
    # Near peers get a summary every second, far ones every 5 s.
    both_ways = 2 * (NEAR_PEERS * RUN_S / 1.0 + FAR_PEERS * RUN_S / 5.0)
    assert world.flows['Summary'].calls <= 1.1 * both_ways
    for where in ('n1', 'm0'):
        assert _peer_at(world, where, 'n0').free_slots_by_upstream


def test_a_change_of_room_is_told_soon():
    world = _world()
    world.request('n0', 'r', 'validate', 'field', builders.token(), run_s=4.0)
    before = _peer_at(world, 'n1', 'n0').free_slots_by_upstream
    world.run(0.4)
    after = _peer_at(world, 'n1', 'n0').free_slots_by_upstream
    assert sum(after.values()) == sum(before.values()) - 1


def test_a_drain_is_told_everywhere_at_once():
    world = _world()
    world.drain('n0')
    world.run(0.01)
    assert _peer_at(world, 'n1', 'n0').draining
    assert _peer_at(world, 'm3', 'n0').draining


def test_a_node_is_heard_again_soon_after_a_cut():
    world = _world()
    world.cut('dc0', 'dc1')
    world.run(60.0)
    assert _peer_at(world, 'm0', 'n0').last_heard_at is None
    world.heal('dc0', 'dc1')
    world.run(6.0)
    for where in ('m0', 'm1', 'm2', 'm3'):
        assert _peer_at(world, where, 'n0').last_heard_at is not None


def test_what_teams_use_goes_to_far_nodes_in_turn():
    world = _world()
    world.submit('n0', 'j', 'recode', 'field', builders.token(), run_s=1000.0)
    world.run(40.0)
    for where in ('n1', 'm0', 'm1', 'm2', 'm3'):
        usage = world.nodes_by_name[where].state.usage_by_node
        _, message = usage['n0/i0']
        assert message.used_by_team == {'ministry': 1}
    world.start_metering()
    world.run(60.0)
    # Usage is sent every 10 s, and to a far peer every third time only.
    both_ways = 2 * (NEAR_PEERS * 6 + FAR_PEERS * 2)
    assert world.flows['Usage'].calls <= both_ways


def test_nodes_cut_off_from_the_store_hear_of_a_configuration_soon():
    world = _world()
    world.cut('dc1', worlds.PLATFORM)
    world.run(6.0)
    for _ in range(4):
        document = builders.fleet().document()
        world.configure(document)
        world.run(3.5)
        versions = {
            node.state.config.version for node in world.nodes_by_name.values()
        }
        assert len(versions) == 1
