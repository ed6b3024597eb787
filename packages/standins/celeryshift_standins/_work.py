"""Verbs that bring work, and let time pass."""

from collections.abc import Callable
from typing import Any

import attrs

import celeryshift_core as core
from celeryshift_standins import _play
from celeryshift_standins import _words

Words = _words.Words

CANCEL_QUEUE = 'field'


@attrs.define
class Work:
    """Hold what a line says of the work it brings."""

    kind: str
    team: str = ''
    queue: str = 'field'
    label: str = ''
    where: str | None = None
    rate: float = 1.0
    for_s: float = 0.0
    run_s: tuple[float, float] = (0.02, 0.02)
    fails: bool = False
    tasks: int = 1
    count: int = 1
    memory_mb: int = 0
    twice: bool = False

    @property
    def copies(self) -> int:
        """Give how often each name is sent, through any nodes."""
        return 2 if self.twice else 1


def read_work(words: Words, *fields: str) -> Work:
    """Read `validate team ministry run 20ms..50ms rate 10 for 5s ...`."""
    work = Work(words.word('a kind'))
    while words.peek():
        word = words.one_of('team', 'queue', 'as', 'at', 'run', *fields)
        if word == 'team':
            work.team = words.word('a team')
        elif word == 'queue':
            work.queue = words.word('a queue')
        elif word == 'as':
            work.label = words.word('a label')
        elif word == 'at':
            work.where = words.word('a node or data centre')
        elif word == 'run':
            shortest = words.time_s()
            longest = words.time_s() if words.skip('to') else shortest
            work.run_s = (shortest, longest)
        elif word == 'fails':
            work.fails = True
        elif word == 'twice':
            work.twice = True
        elif word == 'rate':
            work.rate = words.number('how many a second')
        elif word == 'for':
            work.for_s = words.time_s()
        else:
            setattr(work, _FIELD_BY_WORD[word], words.count())
    if not work.team:
        raise words.fail('team and its name')
    work.label = work.label or work.kind
    return work


def load(words: Words) -> _play.Act:
    """Read `load validate team t rate 50 for 10s run 20ms`: requests."""
    work = read_work(words, 'rate', 'for', 'fails', 'twice')

    def act(play: _play.Play) -> None:
        until = play.world.now + work.for_s

        def send() -> None:
            if play.world.now >= until:
                return
            node = play.entry(work.where)
            if node:
                _request(play, work, node)
            pause_s = play.world.rng.expovariate(work.rate)
            play.world.call_at(play.world.now + pause_s, send)

        play.world.call_at(play.world.now, send)

    return act


def request(words: Words) -> _play.Act:
    """Read `request seal team t [count 3]`: requests at one moment."""
    work = read_work(words, 'count', 'fails', 'twice')

    def act(play: _play.Play) -> None:
        for _ in range(work.count):
            _request(play, work, play.entry(work.where))

    return act


def job(words: Words) -> _play.Act:
    """Read `job recode team t tasks 40 run 5s [count 10] [memory 9]`."""
    work = read_work(words, 'tasks', 'count', 'memory', 'fails', 'twice')

    def act(play: _play.Play) -> None:
        size = None
        if work.memory_mb:
            size = core.Size(1, 0, work.memory_mb, 0)
        for _ in range(work.count):
            name = play.name(work.label)
            for _ in range(work.copies):
                call = play.world.submit(
                    play.entry(work.where),
                    name,
                    work.kind,
                    work.queue,
                    play.token_by_team.get(work.team, ''),
                    work.team,
                    work.tasks,
                    size,
                    **_payload(play, work),
                )
                play.keep(work.label, call)

    return act


def cancel(words: Words) -> _play.Act:
    """Read `cancel recode`: every job of a label, in one wave."""
    label = words.word('a label')

    def act(play: _play.Play) -> None:
        for call in play.calls_by_label.get(label, []):
            call.payload['cancelled'] = True
            token = play.token_by_team.get(call.team, '')
            asked = play.world.request_job_act(
                play.entry(None), call.name, 'cancel', CANCEL_QUEUE, token
            )
            play.keep(f'cancel-{label}', asked)

    return act


def wait(words: Words) -> _play.Act:
    """Read `wait 5s`."""
    seconds = words.time_s()
    return lambda play: play.world.run(seconds)


def _request(play: _play.Play, work: Work, node: str) -> None:
    name = play.name(work.label)
    for _ in range(work.copies):
        call = play.world.request(
            node,
            name,
            work.kind,
            work.queue,
            play.token_by_team.get(work.team, ''),
            work.team,
            **_payload(play, work),
        )
        play.keep(work.label, call)
        node = play.entry(work.where)


def _payload(play: _play.Play, work: Work) -> dict[str, Any]:
    payload: dict[str, Any] = {'run_s': play.world.rng.uniform(*work.run_s)}
    if work.fails:
        payload['fail'] = True
    return payload


_FIELD_BY_WORD = {'tasks': 'tasks', 'count': 'count', 'memory': 'memory_mb'}

VERBS: dict[str, Callable[[Words], _play.Act]] = {
    'load': load,
    'request': request,
    'job': job,
    'cancel': cancel,
    'wait': wait,
}
