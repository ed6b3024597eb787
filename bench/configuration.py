"""Time in which configurations and key withdrawals reach all nodes.

Measured in virtual time.
"""

from collections.abc import Callable
import json
import sys

from bench import teams
import celeryshift_core as core
from celeryshift_core import events
from celeryshift_standins import world as worlds

STEP_S = 0.05
MAX_SPREAD_S = 30.0


def fleet_document(keys: int) -> dict:
    """Build a configuration of 46 teams with the given number of keys."""
    document = teams.fleet_document(teams.full_scale_shares())
    for number in range(keys):
        team = f't{number % len(document["teams"])}'
        document['keys'][f'key-{number}'] = {'team': team, 'sha256': '0' * 64}
    return document


def measure_spread_s(
    world: worlds.World,
    make_event: Callable[[float, str], events.Event],
    has_arrived: Callable[[core.State], bool],
) -> float:
    """Submit an event to one node; return the time until all nodes have it.

    Returns infinity if that takes longer than `MAX_SPREAD_S`.
    """
    world.operate('dc0-n0', make_event)
    began = world.now
    nodes = world.nodes_by_name.values()
    while not all(has_arrived(node.state) for node in nodes):
        world.run(STEP_S)
        if world.now - began > MAX_SPREAD_S:
            return float('inf')
    return world.now - began


def main() -> None:
    """Print the times for 36 nodes, with the store up and down."""
    document = fleet_document(400)
    world = teams.start_world(document, 1, nodes=4, centres=9)
    size = len(json.dumps(document))
    sys.stdout.write(f'the configuration has {size} bytes\n')

    def submit(now: float, reply: str) -> events.Event:
        return events.ConfigSubmitted(now, reply, 1, document, 'ana', '')

    def withdraw(now: float, reply: str) -> events.Event:
        key = f'key-{int(world.store_down)}'
        return events.KeyWithdrawn(now, reply, key, 'ana', '')

    world.cut('dc8', worlds.PLATFORM)
    world.run(4.0)
    took_s = measure_spread_s(
        world, submit, lambda state: state.config.version > 1
    )
    sys.stdout.write(f'hand-in, one of 9 cut off: {took_s:.2f} s\n')
    world.heal('dc8', worlds.PLATFORM)
    world.run(8.0)
    for down in (False, True):
        world.store_down = down
        world.run(6.0)
        key = f'key-{int(down)}'
        before = world.messages
        took_s = measure_spread_s(
            world, withdraw, lambda state, key=key: key in state.withdrawn_keys
        )
        sent = world.messages - before
        state = 'down' if down else 'up'
        sys.stdout.write(
            f'withdrawal, store {state}: {took_s:.2f} s, {sent} messages\n'
        )


if __name__ == '__main__':
    main()
