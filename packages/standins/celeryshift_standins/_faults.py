"""Verbs of scenarios that inject faults, and that remove them."""

from collections.abc import Callable

import attrs

from celeryshift_core import events
from celeryshift_standins import _play
from celeryshift_standins import _set_up
from celeryshift_standins import _words

Words = _words.Words

# Length of the pause of `lapse`, in lease periods of the node.
LAPSE_LEASE_PERIODS = 2.0


def _node_verb(action: Callable[[_play.Play, str], None]) -> Callable:
    """Return a parser of a verb that takes the name of a node."""

    def parse(words: Words) -> _play.Action:
        name = words.word('a node')
        return lambda play: action(play, name)

    return parse


def _worker_verb(action: Callable[[_play.Play, str], None]) -> Callable:
    """Return a parser of a verb that takes the name of a worker."""

    def parse(words: Words) -> _play.Action:
        name = words.word('a worker')
        return lambda play: action(play, name)

    return parse


def restart(play: _play.Play, name: str) -> None:
    """Kill a node and start it again under the same name."""
    node = play.world.nodes_by_name[name]
    play.world.kill(name)
    play.world.add_node(name, node.data_centre)


def lapse(play: _play.Play, name: str) -> None:
    """Pause a node for twice the length of its lease."""
    world = play.world
    lease_s = world.nodes_by_name[name].state.options.node_lease_s
    world.pause(name)
    until = world.now + LAPSE_LEASE_PERIODS * lease_s
    world.call_at(until, lambda: world.resume(name))


def replace(words: Words) -> _play.Action:
    """Parse `replace all`: kill all nodes and start as many new ones."""
    words.one_of('all')

    def action(play: _play.Play) -> None:
        world = play.world
        before = [n for n in world.nodes_by_name.values() if n.alive]
        for node in before:
            world.kill(node.name)
        for node in before:
            world.add_node(f'{node.name}r', node.data_centre)

    return action


def leave(play: _play.Play, name: str) -> None:
    """Mark a worker as leaving on the VM list."""
    vm = play.world.workers_by_name[name].vm
    play.world.list_vm(attrs.evolve(vm, state=events.VmState.LEAVING))
    play.monitor.mark_leaving(name)


def gone(play: _play.Play, name: str) -> None:
    """Kill a worker and mark it as gone on the VM list."""
    play.world.kill_worker(name)
    vm = play.world.workers_by_name[name].vm
    play.world.list_vm(attrs.evolve(vm, state=events.VmState.GONE))


def fail_all(play: _play.Play, name: str) -> None:
    """Make every run that a worker starts fail."""
    play.world.workers_by_name[name].tasks.fails_all = True


def silent(play: _play.Play, name: str) -> None:
    """Make a worker unreachable while it keeps running its tasks."""
    play.world.workers_by_name[name].silent = True
    play.world.links.changed_at = play.world.now


def hear(play: _play.Play, name: str) -> None:
    """Make a silent worker reachable again."""
    play.world.workers_by_name[name].silent = False
    play.world.links.changed_at = play.world.now


def cut(words: Words) -> _play.Action:
    """Parse `cut dc1 dc2 [one-way]`: drop messages between endpoints."""
    source, target = words.word('an endpoint'), words.word('another endpoint')
    both_ways = not words.accept('one-way')
    return lambda play: play.world.links.cut(
        play.world.now, source, target, both_ways
    )


def heal(words: Words) -> _play.Action:
    """Parse `heal dc1 dc2` or `heal all`: remove cuts and added delays."""
    first = words.word('an endpoint')
    second = '' if first == 'all' else words.word('another endpoint')

    def action(play: _play.Play) -> None:
        links = play.world.links
        if second:
            links.heal(play.world.now, first, second)
        else:
            links.heal_all(play.world.now)

    return action


def slow(words: Words) -> _play.Action:
    """Parse `slow dc1 dc2 200ms`: add a delay in each direction."""
    first, second = words.word('an endpoint'), words.word('another endpoint')
    seconds = words.time_s()
    return lambda play: play.world.links.slow(first, second, seconds)


def silent_connection(words: Words) -> _play.Action:
    """Parse `silent-connection dc1-n0 dc1-w0 [one-way]`.

    Connections that are open now lose what is sent; new ones work.
    """
    source, target = words.word('an endpoint'), words.word('another endpoint')
    both_ways = not words.accept('one-way')
    return lambda play: play.world.links.silence(
        play.world.now, source, target, both_ways
    )


def store(words: Words) -> _play.Action:
    """Parse `store down`, `store up`, or `store slow 500ms`."""
    mode = words.one_of('down', 'up', 'slow')
    seconds = words.time_s() if mode == 'slow' else 0.0

    def action(play: _play.Play) -> None:
        play.world.store_down = mode == 'down'
        play.world.store_slow_s = seconds

    return action


def lose_answer(words: Words) -> _play.Action:
    """Parse `lose-answer 3`: apply the next 3 writes, but lose the answers."""
    count = words.count('how many answers')

    def action(play: _play.Play) -> None:
        play.world.answers_to_lose += count

    return action


def settle(words: Words) -> _play.Action:
    """Parse `settle 60s`: remove the faults, and wait.

    Undoes cuts and delays of links and faults of the store, resumes paused
    nodes, and makes silent workers reachable. Does not restart killed nodes
    and workers, and does not undo `fail-all`.
    """
    seconds = words.time_s()

    def action(play: _play.Play) -> None:
        world = play.world
        world.links.heal_all(world.now)
        world.store_down = False
        world.store_slow_s = 0.0
        world.answers_to_lose = 0
        for node in world.nodes_by_name.values():
            if node.paused:
                world.resume(node.name)
        for worker in world.workers_by_name.values():
            worker.silent = False
        world.run(seconds)

    return action


def add_node(words: Words) -> _play.Action:
    """Parse `node dc1-n9 dc1`: start a node."""
    name, data_centre = words.word('a node'), words.word('a data centre')
    return lambda play: _set_up.discard(play.world.add_node(name, data_centre))


VERBS: dict[str, Callable[[Words], _play.Action]] = {
    'kill': _node_verb(lambda play, name: play.world.kill(name)),
    'pause': _node_verb(lambda play, name: play.world.pause(name)),
    'resume': _node_verb(lambda play, name: play.world.resume(name)),
    'drain': _node_verb(lambda play, name: play.world.drain(name)),
    'restart': _node_verb(restart),
    'lapse': _node_verb(lapse),
    'replace': replace,
    'node': add_node,
    'kill-worker': _worker_verb(
        lambda play, name: play.world.kill_worker(name)
    ),
    'leave': _worker_verb(leave),
    'gone': _worker_verb(gone),
    'fail-all': _worker_verb(fail_all),
    'silent': _worker_verb(silent),
    'hear': _worker_verb(hear),
    'cut': cut,
    'heal': heal,
    'slow': slow,
    'silent-connection': silent_connection,
    'store': store,
    'lose-answer': lose_answer,
    'settle': settle,
}
