"""Verbs that do harm, and those that undo it."""

from collections.abc import Callable

import attrs

from celeryshift_core import events
from celeryshift_standins import _play
from celeryshift_standins import _set_up
from celeryshift_standins import _words

Words = _words.Words

LAPSE_LEASES = 2.0


def _node(act: Callable[[_play.Play, str], None]) -> Callable:
    """Read a verb that takes the name of a node."""

    def read(words: Words) -> _play.Act:
        name = words.word('a node')
        return lambda play: act(play, name)

    return read


def _worker(act: Callable[[_play.Play, str], None]) -> Callable:
    """Read a verb that takes the name of a worker."""

    def read(words: Words) -> _play.Act:
        name = words.word('a worker')
        return lambda play: act(play, name)

    return read


def restart(play: _play.Play, name: str) -> None:
    """Start a node again under the same name."""
    node = play.world.nodes_by_name[name]
    play.world.kill(name)
    play.world.add_node(name, node.data_centre)


def lapse(play: _play.Play, name: str) -> None:
    """Freeze a node until its lease has surely lapsed."""
    world = play.world
    lease_s = world.nodes_by_name[name].state.options.node_lease_s
    world.pause(name)
    until = world.now + LAPSE_LEASES * lease_s
    world.call_at(until, lambda: world.resume(name))


def replace(words: Words) -> _play.Act:
    """Read `replace all`: kill every node, and start as many new ones."""
    words.one_of('all')

    def act(play: _play.Play) -> None:
        world = play.world
        before = [n for n in world.nodes_by_name.values() if n.alive]
        for node in before:
            world.kill(node.name)
        for node in before:
            world.add_node(f'{node.name}r', node.data_centre)

    return act


def leave(play: _play.Play, name: str) -> None:
    """Let the VM list call a worker leaving."""
    vm = play.world.workers_by_name[name].vm
    play.world.list_vm(attrs.evolve(vm, state=events.VmState.LEAVING))
    play.monitor.leaving(name)


def gone(play: _play.Play, name: str) -> None:
    """End a worker and let the VM list say so."""
    play.world.kill_worker(name)
    vm = play.world.workers_by_name[name].vm
    play.world.list_vm(attrs.evolve(vm, state=events.VmState.GONE))


def fail_all(play: _play.Play, name: str) -> None:
    """Let a worker fail everything that it starts."""
    play.world.workers_by_name[name].tasks.fails_all = True


def silent(play: _play.Play, name: str) -> None:
    """Let nothing reach a worker, which goes on running."""
    play.world.workers_by_name[name].silent = True
    play.world.links.changed_at = play.world.now


def hear(play: _play.Play, name: str) -> None:
    """Let a silent worker be reached again."""
    play.world.workers_by_name[name].silent = False
    play.world.links.changed_at = play.world.now


def cut(words: Words) -> _play.Act:
    """Read `cut dc1 dc2 [one-way]`."""
    one, other = words.word('an end'), words.word('another end')
    both = not words.skip('one-way')
    return lambda play: play.world.links.cut(play.world.now, one, other, both)


def heal(words: Words) -> _play.Act:
    """Read `heal dc1 dc2`, or `heal all`."""
    one = words.word('an end')
    other = '' if one == 'all' else words.word('another end')

    def act(play: _play.Play) -> None:
        links = play.world.links
        if other:
            links.heal(play.world.now, one, other)
        else:
            links.heal_all(play.world.now)

    return act


def slow(words: Words) -> _play.Act:
    """Read `slow dc1 dc2 200ms`."""
    one, other = words.word('an end'), words.word('another end')
    seconds = words.time_s()
    return lambda play: play.world.links.slow(one, other, seconds)


def silent_connection(words: Words) -> _play.Act:
    """Read `silent-connection dc1-n0 dc1-w0 [one-way]`."""
    one, other = words.word('an end'), words.word('another end')
    both = not words.skip('one-way')
    return lambda play: play.world.links.silence(
        play.world.now, one, other, both
    )


def store(words: Words) -> _play.Act:
    """Read `store down`, `store up`, or `store slow 500ms`."""
    what = words.one_of('down', 'up', 'slow')
    seconds = words.time_s() if what == 'slow' else 0.0

    def act(play: _play.Play) -> None:
        play.world.store_down = what == 'down'
        play.world.store_slow_s = seconds

    return act


def lose_answer(words: Words) -> _play.Act:
    """Read `lose-answer 3`: writes that take effect unheard."""
    count = words.count('how many answers')

    def act(play: _play.Play) -> None:
        play.world.answers_to_lose += count

    return act


def settle(words: Words) -> _play.Act:
    """Read `settle 60s`: undo the faults of links and store, and wait."""
    seconds = words.time_s()

    def act(play: _play.Play) -> None:
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

    return act


def add_node(words: Words) -> _play.Act:
    """Read `node dc1-n9 dc1`."""
    name, where = words.word('a node'), words.word('a data centre')
    return lambda play: _set_up.void(play.world.add_node(name, where))


VERBS: dict[str, Callable[[Words], _play.Act]] = {
    'kill': _node(lambda play, name: play.world.kill(name)),
    'pause': _node(lambda play, name: play.world.pause(name)),
    'resume': _node(lambda play, name: play.world.resume(name)),
    'drain': _node(lambda play, name: play.world.drain(name)),
    'restart': _node(restart),
    'lapse': _node(lapse),
    'replace': replace,
    'node': add_node,
    'kill-worker': _worker(lambda play, name: play.world.kill_worker(name)),
    'leave': _worker(leave),
    'gone': _worker(gone),
    'fail-all': _worker(fail_all),
    'silent': _worker(silent),
    'hear': _worker(hear),
    'cut': cut,
    'heal': heal,
    'slow': slow,
    'silent-connection': silent_connection,
    'store': store,
    'lose-answer': lose_answer,
    'settle': settle,
}
