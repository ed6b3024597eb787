"""Ownership of slices under faults, measured in virtual time.

Prints the time until all slices have an owner again after a fault, the
requests answered while the store is down, and the writes to the store.
"""

from collections.abc import Callable
import sys
from unittest import mock

import celeryshift_client
from celeryshift_core import _promises
from celeryshift_core import _state
from celeryshift_standins import world as worlds

SEED = 1
SLICES = 4
# Duration of a store outage, and the longest recovery that is awaited.
HOUR_S = 3600.0
REQUEST_INTERVAL_S = 5.0


def main() -> None:
    """Print all measurements."""
    _print_recovery_times()
    _print_outages()
    _print_write_rates()


def _build_world(nodes: int = 3, workers: int = 24) -> worlds.World:
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


def _count_ready_slices(world: worlds.World) -> int:
    return sum(
        slice_.phase is _state.SlicePhase.READY
        for node in world.nodes_by_name.values()
        if node.alive
        for slice_ in node.state.slices_by_number.values()
    )


def _measure_recovery_s(inject_fault: Callable[[worlds.World], None]) -> float:
    world = _build_world()
    began = world.now
    inject_fault(world)
    while _count_ready_slices(world) < SLICES and world.now < began + HOUR_S:
        world.run(0.1)
    return world.now - began


def _replace_all(world: worlds.World) -> None:
    """Kill all nodes with their VMs and start nodes on new VMs."""
    for name in list(world.nodes_by_name):
        world.kill(name)
        world.add_node(f'new-{name}', 'dc1')


def _restart_all(world: worlds.World) -> None:
    """Kill the processes of all nodes and restart them on the same VMs."""
    for name in list(world.nodes_by_name):
        world.crash(name)
        world.add_node(name, 'dc1')


def _kill_two(world: worlds.World) -> None:
    world.kill('n0')
    world.kill('n1')


def _print_recovery_times() -> None:
    faults_by_name: dict[str, Callable[[worlds.World], None]] = {
        'one node killed': lambda world: world.kill('n0'),
        'two nodes killed': _kill_two,
        'one node stopped': lambda world: world.drain('n0'),
        'all restarted': _restart_all,
        'all replaced': _replace_all,
    }
    for name, inject_fault in faults_by_name.items():
        _write_line(
            f'{name}: {_measure_recovery_s(inject_fault):.1f} s '
            f'until all are owned'
        )


def _run_outage(
    inject_fault: Callable[[worlds.World], None], nodes: int
) -> str:
    world = _build_world(nodes)
    world.store_down = True
    world.run(10.0)
    inject_fault(world)
    calls = []
    for number in range(round(HOUR_S / REQUEST_INTERVAL_S)):
        calls.append(
            world.request(
                f'n{nodes - 1}', f'r{number}', 'validate', 'walk-in', run_s=0.1
            )
        )
        world.run(REQUEST_INTERVAL_S)
    answered = sum(call.answer is not None for call in calls)
    return f'{answered} of {len(calls)} requests answered'


def _print_outages() -> None:
    def no_fault(world: worlds.World) -> None:
        pass

    # Without requests for promises, ownership ends when the lease expires.
    with mock.patch.object(
        _promises, 'request_promises', lambda state, outbox: None
    ):
        _write_line(f'outage, plain expiry: {_run_outage(no_fault, 3)}')
    _write_line(f'outage, promises: {_run_outage(no_fault, 3)}')
    _write_line(f'outage, one node alone: {_run_outage(no_fault, 1)}')
    stopped = _run_outage(lambda world: world.drain('n0'), 3)
    _write_line(f'outage, one of three stopped: {stopped}')
    killed = _run_outage(lambda world: world.kill('n0'), 3)
    _write_line(f'outage, one of three killed: {killed}')


def _print_write_rates() -> None:
    world = _build_world()
    writes_before = world.table.writes
    world.run(60.0)
    idle_rate = (world.table.writes - writes_before) / 60.0 / 3
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
    writes_before = world.table.writes
    starts_before = sum(
        worker.starts for worker in world.workers_by_name.values()
    )
    world.run(60.0)
    busy_rate = (world.table.writes - writes_before) / 60.0 / 3
    starts_after = sum(
        worker.starts for worker in world.workers_by_name.values()
    )
    _write_line(
        f'writes a second and node: {idle_rate:.2f} idle, {busy_rate:.2f} at '
        f'{(starts_after - starts_before) / 60.0:.0f} starts a second'
    )


def _write_line(line: str) -> None:
    sys.stdout.write(line + '\n')


if __name__ == '__main__':
    main()
