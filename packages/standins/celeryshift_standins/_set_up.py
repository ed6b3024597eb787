"""Verbs of scenarios for machines, teams, kinds and configuration."""

from collections.abc import Callable
from typing import Any

import celeryshift_core as core
from celeryshift_core import events
from celeryshift_standins import _play
from celeryshift_standins import _words

Words = _words.Words
# Wait of `configure` for the nodes to load the configuration.
READY_S = 3.0


def data_centre(words: Words) -> _play.Action:
    """Parse `data-centre dc1 nodes 2 workers 6 [slots 8] [upstream u]`."""
    name = words.word('a data centre')
    counts = {'nodes': 0, 'workers': 0, 'slots': 8}
    upstream = 'coding'
    while words.peek():
        word = words.one_of(*counts, 'upstream')
        if word == 'upstream':
            upstream = words.word('an upstream')
        else:
            counts[word] = words.count()

    def action(play: _play.Play) -> None:
        for number in range(counts['workers']):
            add_worker(
                play, f'{name}-w{number}', name, upstream, counts['slots']
            )
        for number in range(counts['nodes']):
            play.world.add_node(f'{name}-n{number}', name)

    return action


def add_worker(
    play: _play.Play, name: str, data_centre: str, upstream: str, slots: int
) -> None:
    """Start a worker and monitor its runs."""
    capacity = core.Size(slots, 32_000, 131_072, 0)
    rack = f'{data_centre}-r{len(play.world.workers_by_name) // 6}'
    worker = play.world.add_worker(name, data_centre, upstream, capacity, rack)
    play.monitor.add_worker(worker)


def option(words: Words) -> _play.Action:
    """Parse `option task_lease 6s`: a time option of nodes added later."""
    name = words.word('the name of an option')
    value = words.time_s()

    def action(play: _play.Play) -> None:
        play.world.options[f'{name}_s'] = value

    return action


def team(words: Words) -> _play.Action:
    """Parse `team ministry share 4 limit 64`."""
    name = words.word('a team')
    share, limit = 1.0, 1_000_000
    while words.peek():
        if words.one_of('share', 'limit') == 'share':
            share = words.number()
        else:
            limit = words.count()
    return lambda play: discard(play.fleet.team(name, share, limit))


def key(words: Words) -> _play.Action:
    """Parse `key k1 ministry`."""
    key_id = words.word('a key')
    owner = words.word('a team')

    def action(play: _play.Play) -> None:
        token = play.fleet.key(key_id, owner, f'secret-of-{key_id}')
        play.token_by_team[owner] = token

    return action


def queue(words: Words) -> _play.Action:
    """Parse `queue field` or `queue walk-in open public`."""
    name = words.word('a queue')
    owner = words.word('a team') if words.accept('open') else None
    return lambda play: discard(play.fleet.queue(name, owner))


def upstream(words: Words) -> _play.Action:
    """Parse `upstream coding [leaving]`."""
    name = words.word('an upstream')
    leaving = words.accept('leaving')
    return lambda play: discard(play.fleet.upstream(name, leaving))


def kind(words: Words) -> _play.Action:
    """Parse `kind seal request [urgent] [once] [timeout 5s] [slots 2]`.

    Kinds with the policy `batch` may also be `preemptible`.
    """
    name = words.word('a kind')
    policy = words.one_of('request', 'batch', 'gang', 'service')
    fields: dict[str, Any] = {}
    upstream_name = 'coding'
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
            upstream_name = words.word('an upstream')
    return lambda play: discard(
        getattr(play.fleet, policy)(name, upstream_name, **dict(fields))
    )


def configure(words: Words) -> _play.Action:
    """Parse `configure`: store the configuration, and wait READY_S."""

    def action(play: _play.Play) -> None:
        play.world.configure(play.fleet.document())
        play.world.run(READY_S)

    return action


def hand_in(words: Words) -> _play.Action:
    """Parse `hand-in [at n0] [as label] [against 3]`.

    Submits the configuration as an operator does, by default as a change of
    the newest version.
    """
    target, label, given_base = None, 'hand-in', None
    while words.peek():
        word = words.one_of('at', 'as', 'against')
        if word == 'at':
            target = words.word('a node')
        elif word == 'as':
            label = words.word('a label')
        else:
            given_base = words.count()

    def action(play: _play.Play) -> None:
        document = play.fleet.document()
        newest = play.monitor.versions[-1].config.version
        base_version = newest if given_base is None else given_base

        def make_event(now: float, reply_id: str) -> events.Event:
            return events.ConfigSubmitted(
                now, reply_id, base_version, document, 'ana', '2026-12-03'
            )

        call = play.world.operate(play.choose_node(target), make_event)
        play.record_call(label, call)

    return action


def withdraw(words: Words) -> _play.Action:
    """Parse `withdraw k1 [at n0]`."""
    key_id = words.word('a key')
    target = words.word('a node') if words.accept('at') else None

    def action(play: _play.Play) -> None:
        node = play.choose_node(target)

        def make_event(now: float, reply_id: str) -> events.Event:
            play.monitor.mark_withdrawn(key_id, node)
            return events.KeyWithdrawn(
                now, reply_id, key_id, 'ana', '2026-12-03'
            )

        call = play.world.operate(node, make_event)
        play.record_call('withdraw', call)

    return action


def discard(_: Any) -> None:
    """Discard a value; used by actions, which return None."""


VERBS: dict[str, Callable[[Words], _play.Action]] = {
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
