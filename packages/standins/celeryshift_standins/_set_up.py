"""Verbs that set a scenario up: machines, teams, kinds, configuration."""

from collections.abc import Callable
from typing import Any

import celeryshift_core as core
from celeryshift_core import events
from celeryshift_standins import _play
from celeryshift_standins import _words

Words = _words.Words
READY_S = 3.0


def data_centre(words: Words) -> _play.Act:
    """Read `data-centre dc1 nodes 2 workers 6 [slots 8] [upstream u]`."""
    name = words.word('a data centre')
    counts = {'nodes': 0, 'workers': 0, 'slots': 8}
    upstream = 'coding'
    while words.peek():
        word = words.one_of(*counts, 'upstream')
        if word == 'upstream':
            upstream = words.word('an upstream')
        else:
            counts[word] = words.count()

    def act(play: _play.Play) -> None:
        for number in range(counts['workers']):
            add_worker(
                play, f'{name}-w{number}', name, upstream, counts['slots']
            )
        for number in range(counts['nodes']):
            play.world.add_node(f'{name}-n{number}', name)

    return act


def add_worker(
    play: _play.Play, name: str, where: str, upstream: str, slots: int
) -> None:
    """Start a worker and watch it."""
    capacity = core.Size(slots, 32_000, 131_072, 0)
    rack = f'{where}-r{len(play.world.workers_by_name) // 6}'
    worker = play.world.add_worker(name, where, upstream, capacity, rack)
    play.monitor.add_worker(worker)


def option(words: Words) -> _play.Act:
    """Read `option task_lease 6s`: a time of the nodes to come."""
    name = words.word('the name of an option')
    value = words.time_s()

    def act(play: _play.Play) -> None:
        play.world.options[f'{name}_s'] = value

    return act


def team(words: Words) -> _play.Act:
    """Read `team ministry share 4 limit 64`."""
    name = words.word('a team')
    share, limit = 1.0, 1_000_000
    while words.peek():
        if words.one_of('share', 'limit') == 'share':
            share = words.number()
        else:
            limit = words.count()
    return lambda play: void(play.fleet.team(name, share, limit))


def key(words: Words) -> _play.Act:
    """Read `key k1 ministry`."""
    key_id = words.word('a key')
    owner = words.word('a team')

    def act(play: _play.Play) -> None:
        token = play.fleet.key(key_id, owner, f'secret-of-{key_id}')
        play.token_by_team[owner] = token

    return act


def queue(words: Words) -> _play.Act:
    """Read `queue field` or `queue walk-in open public`."""
    name = words.word('a queue')
    owner = words.word('a team') if words.skip('open') else None
    return lambda play: void(play.fleet.queue(name, owner))


def upstream(words: Words) -> _play.Act:
    """Read `upstream coding [leaving]`."""
    name = words.word('an upstream')
    leaving = words.skip('leaving')
    return lambda play: void(play.fleet.upstream(name, leaving))


def kind(words: Words) -> _play.Act:
    """Read `kind seal request [urgent] [once] [timeout 5s] [slots 2]`.

    Batch may also be `preemptible`.
    """
    name = words.word('a kind')
    policy = words.one_of('request', 'batch', 'gang', 'service')
    fields: dict[str, Any] = {}
    on = 'coding'
    while words.peek():
        word = words.one_of(
            'urgent',
            'once',
            'preemptible',
            'timeout',
            'max-run',
            'slots',
            'memory',
            'on',
        )
        if word == 'urgent':
            fields['urgent'] = True
        elif word == 'once':
            fields['repeatable'] = False
        elif word == 'preemptible':
            fields['preemptible'] = True
        elif word == 'timeout':
            fields['timeout_s'] = words.time_s()
        elif word == 'max-run':
            fields['max_run_s'] = words.time_s()
        elif word == 'slots':
            fields['slots'] = words.count()
        elif word == 'memory':
            fields['memory_mb'] = words.count()
        else:
            on = words.word('an upstream')
    return lambda play: void(
        getattr(play.fleet, policy)(name, on, **dict(fields))
    )


def configure(words: Words) -> _play.Act:
    """Read `configure`: put the set-up in force and let nodes begin."""

    def act(play: _play.Play) -> None:
        play.world.configure(play.fleet.document())
        play.world.run(READY_S)

    return act


def hand_in(words: Words) -> _play.Act:
    """Read `hand-in [at n0] [as label] [against 3]`."""
    where, label, base = None, 'hand-in', None
    while words.peek():
        word = words.one_of('at', 'as', 'against')
        if word == 'at':
            where = words.word('a node')
        elif word == 'as':
            label = words.word('a label')
        else:
            base = words.count()

    def act(play: _play.Play) -> None:
        document = play.fleet.document()
        newest = play.monitor.versions[-1].config.version
        against = newest if base is None else base

        def make(now: float, reply_id: str) -> events.Event:
            return events.ConfigSubmitted(
                now, reply_id, against, document, 'ana', '2026-12-03'
            )

        call = play.world.operate(play.entry(where), make)
        play.keep(label, call)

    return act


def withdraw(words: Words) -> _play.Act:
    """Read `withdraw k1 [at n0]`."""
    key_id = words.word('a key')
    where = words.word('a node') if words.skip('at') else None

    def act(play: _play.Play) -> None:
        node = play.entry(where)

        def make(now: float, reply_id: str) -> events.Event:
            play.monitor.withdrawn(key_id, node)
            return events.KeyWithdrawn(
                now, reply_id, key_id, 'ana', '2026-12-03'
            )

        call = play.world.operate(node, make)
        play.keep('withdraw', call)

    return act


def void(_: Any) -> None:
    """Drop a value."""


VERBS: dict[str, Callable[[Words], _play.Act]] = {
    'data-centre': data_centre,
    'option': option,
    'team': team,
    'key': key,
    'queue': queue,
    'upstream': upstream,
    'kind': kind,
    'configure': configure,
    'hand-in': hand_in,
    'withdraw': withdraw,
}
