"""How fast configurations and withdrawals of keys spread, in virtual time."""

from collections.abc import Callable
import json
import sys

from bench import teams
import celeryshift_core as core
from celeryshift_core import events
from celeryshift_standins import world as worlds

STEP_S = 0.05
LONGEST_S = 30.0


def document(keys: int) -> dict:
    """Build a configuration of 46 teams with a number of keys."""
    made = teams.fleet_document(teams.full_scale_shares())
    for number in range(keys):
        team = f't{number % len(made["teams"])}'
        made['keys'][f'key-{number}'] = {'team': team, 'sha256': '0' * 64}
    return made


def spread_s(
    world: worlds.World,
    make: Callable[[float, str], events.Event],
    has: Callable[[core.State], bool],
) -> float:
    """Give the time until the last node has what one was told."""
    world.operate('dc0-n0', make)
    began = world.now
    nodes = world.nodes_by_name.values()
    while not all(has(node.state) for node in nodes):
        world.run(STEP_S)
        if world.now - began > LONGEST_S:
            return float('inf')
    return world.now - began


def main() -> None:
    """Print the times over 36 nodes, with the store up and down."""
    made = document(400)
    world = teams.start_world(made, 1, nodes=4, centres=9)
    size = len(json.dumps(made))
    sys.stdout.write(f'the configuration has {size} bytes\n')

    def hand_in(now: float, reply: str) -> events.Event:
        return events.ConfigSubmitted(now, reply, 1, made, 'ana', '')

    def withdraw(now: float, reply: str) -> events.Event:
        key = f'key-{int(world.store_down)}'
        return events.KeyWithdrawn(now, reply, key, 'ana', '')

    world.cut('dc8', worlds.PLATFORM)
    world.run(4.0)
    took_s = spread_s(world, hand_in, lambda state: state.config.version > 1)
    sys.stdout.write(f'hand-in, one of 9 cut off: {took_s:.2f} s\n')
    world.heal('dc8', worlds.PLATFORM)
    world.run(8.0)
    for down in (False, True):
        world.store_down = down
        world.run(6.0)
        key = f'key-{int(down)}'
        before = world.messages
        took_s = spread_s(
            world, withdraw, lambda state, key=key: key in state.withdrawn_keys
        )
        sent = world.messages - before
        state = 'down' if down else 'up'
        sys.stdout.write(
            f'withdrawal, store {state}: {took_s:.2f} s, {sent} messages\n'
        )


if __name__ == '__main__':
    main()
