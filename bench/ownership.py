"""Measures of ownership in virtual time: time without owner, and outages."""

from collections.abc import Callable
import sys
from unittest import mock

import celeryshift_client
from celeryshift_core import _promises
from celeryshift_core import _state
from celeryshift_standins import world as worlds

SEED = 1
SLICES = 4
HOUR_S = 3600.0
EVERY_S = 5.0


def main() -> None:
    """Print every measure."""
    _print_without_owner()
    _print_outages()
    _print_writes()


def _world(nodes: int = 3, workers: int = 24) -> worlds.World:
    fleet = celeryshift_client.Fleet()
    fleet.upstream('coding')
    fleet.team('public', share=1, limit_slots=192)
    fleet.queue('walk-in', open_for='public')
    fleet.request('validate', 'coding', urgent=True, timeout_s=5.0)
    fleet.batch('recode', 'coding')
    world = worlds.World(SEED)
    for number in range(workers):
        world.add_worker(f'w{number}', 'dc1')
    world.configure(fleet.document())
    for number in range(nodes):
        world.add_node(f'n{number}', 'dc1')
    world.run(30.0)
    return world


def _ready(world: worlds.World) -> int:
    return sum(
        held.phase is _state.SlicePhase.READY
        for node in world.nodes_by_name.values()
        if node.alive
        for held in node.state.slices_by_number.values()
    )


def _without_owner(befall: Callable[[worlds.World], None]) -> float:
    world = _world()
    began = world.now
    befall(world)
    while _ready(world) < SLICES and world.now < began + HOUR_S:
        world.run(0.1)
    return world.now - began


def _replace_all(world: worlds.World) -> None:
    for name in list(world.nodes_by_name):
        world.kill(name)
        world.add_node(f'new-{name}', 'dc1')


def _restart_all(world: worlds.World) -> None:
    for name in list(world.nodes_by_name):
        world.crash(name)
        world.add_node(name, 'dc1')


def _kill_two(world: worlds.World) -> None:
    world.kill('n0')
    world.kill('n1')


def _print_without_owner() -> None:
    befalls: dict[str, Callable[[worlds.World], None]] = {
        'one node killed': lambda world: world.kill('n0'),
        'two nodes killed': _kill_two,
        'one node stopped': lambda world: world.drain('n0'),
        'all restarted': _restart_all,
        'all replaced': _replace_all,
    }
    for name, befall in befalls.items():
        _say(f'{name}: {_without_owner(befall):.1f} s until all are owned')


def _answered(befall: Callable[[worlds.World], None], nodes: int) -> str:
    world = _world(nodes)
    world.store_down = True
    world.run(10.0)
    befall(world)
    calls = []
    for number in range(round(HOUR_S / EVERY_S)):
        calls.append(
            world.request(
                f'n{nodes - 1}', f'r{number}', 'validate', 'walk-in', run_s=0.1
            )
        )
        world.run(EVERY_S)
    answered = sum(call.answer is not None for call in calls)
    return f'{answered} of {len(calls)} requests answered'


def _print_outages() -> None:
    def nothing(world: worlds.World) -> None:
        pass

    with mock.patch.object(_promises, 'ask', lambda state, out: None):
        _say(f'outage, plain expiry: {_answered(nothing, 3)}')
    _say(f'outage, promises: {_answered(nothing, 3)}')
    _say(f'outage, one node alone: {_answered(nothing, 1)}')
    stop = _answered(lambda world: world.drain('n0'), 3)
    _say(f'outage, one of three stopped: {stop}')
    kill = _answered(lambda world: world.kill('n0'), 3)
    _say(f'outage, one of three killed: {kill}')


def _print_writes() -> None:
    world = _world()
    before = world.table.writes
    world.run(60.0)
    idle = (world.table.writes - before) / 60.0 / 3
    for number in range(20):
        world.submit(
            f'n{number % 3}',
            f'j{number}',
            'recode',
            'walk-in',
            tasks=2000,
            run_s=0.5,
        )
    world.run(10.0)
    before = world.table.writes
    starts = sum(worker.starts for worker in world.workers_by_name.values())
    world.run(60.0)
    busy = (world.table.writes - before) / 60.0 / 3
    rate = sum(worker.starts for worker in world.workers_by_name.values())
    _say(
        f'writes a second and node: {idle:.2f} idle, {busy:.2f} at '
        f'{(rate - starts) / 60.0:.0f} starts a second'
    )


def _say(line: str) -> None:
    sys.stdout.write(line + '\n')


if __name__ == '__main__':
    main()
