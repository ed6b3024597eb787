"""Verbs of scenarios that send requests and jobs, or wait."""

from collections.abc import Callable
from typing import Any

import attrs

import celeryshift_core as core
from celeryshift_standins import _play
from celeryshift_standins import _words

Words = _words.Words

# Queue that the calls of `cancel` name.
CANCEL_QUEUE = 'field'


@attrs.define
class WorkSpec:
    """Parsed options of a `load`, `request` or `job` line."""

    kind: str
    team: str = ''
    queue: str = 'field'
    label: str = ''
    target: str | None = None
    rate_per_s: float = 1.0
    duration_s: float = 0.0
    run_range_s: tuple[float, float] = (0.02, 0.02)
    fails: bool = False
    tasks: int = 1
    count: int = 1
    memory_mb: int = 0
    twice: bool = False

    @property
    def copies(self) -> int:
        """Return how many times each request or job is sent."""
        return 2 if self.twice else 1


def parse_work(words: Words, *options: str) -> WorkSpec:
    """Parse `validate team t run 20ms to 50ms` and the given options."""
    spec = WorkSpec(words.word('a kind'))
    while words.peek():
        word = words.one_of('team', 'queue', 'as', 'at', 'run', *options)
        if word == 'team':
            spec.team = words.word('a team')
        elif word == 'queue':
            spec.queue = words.word('a queue')
        elif word == 'as':
            spec.label = words.word('a label')
        elif word == 'at':
            spec.target = words.word('a node or data centre')
        elif word == 'run':
            shortest = words.time_s()
            longest = words.time_s() if words.accept('to') else shortest
            spec.run_range_s = (shortest, longest)
        elif word == 'fails':
            spec.fails = True
        elif word == 'twice':
            spec.twice = True
        elif word == 'rate':
            spec.rate_per_s = words.number('how many a second')
        elif word == 'for':
            spec.duration_s = words.time_s()
        else:
            setattr(spec, _FIELD_BY_WORD[word], words.count())
    if not spec.team:
        raise words.error('team and its name')
    spec.label = spec.label or spec.kind
    return spec


def load(words: Words) -> _play.Action:
    """Parse `load validate team t rate 50 for 10s run 20ms`.

    Sends requests in the background, with exponentially distributed pauses.
    """
    spec = parse_work(words, 'rate', 'for', 'fails', 'twice')

    def action(play: _play.Play) -> None:
        ends_at = play.world.now + spec.duration_s

        def send_next() -> None:
            if play.world.now >= ends_at:
                return
            node = play.choose_node(spec.target)
            if node:
                _send_request(play, spec, node)
            pause_s = play.world.rng.expovariate(spec.rate_per_s)
            play.world.call_at(play.world.now + pause_s, send_next)

        play.world.call_at(play.world.now, send_next)

    return action


def request(words: Words) -> _play.Action:
    """Parse `request seal team t [count 3]`: requests sent all at once."""
    spec = parse_work(words, 'count', 'fails', 'twice')

    def action(play: _play.Play) -> None:
        for _ in range(spec.count):
            _send_request(play, spec, play.choose_node(spec.target))

    return action


def job(words: Words) -> _play.Action:
    """Parse `job recode team t tasks 40 run 5s [count 10] [memory 9]`."""
    spec = parse_work(words, 'tasks', 'count', 'memory', 'fails', 'twice')

    def action(play: _play.Play) -> None:
        size = None
        if spec.memory_mb:
            size = core.Size(1, 0, spec.memory_mb, 0)
        for _ in range(spec.count):
            name = play.unique_name(spec.label)
            for _ in range(spec.copies):
                call = play.world.submit(
                    play.choose_node(spec.target),
                    name,
                    spec.kind,
                    spec.queue,
                    play.token_by_team.get(spec.team, ''),
                    spec.team,
                    spec.tasks,
                    size,
                    **_payload(play, spec),
                )
                play.record_call(spec.label, call)

    return action


def cancel(words: Words) -> _play.Action:
    """Parse `cancel recode`: cancel all jobs of a label at once."""
    label = words.word('a label')

    def action(play: _play.Play) -> None:
        for call in play.calls_by_label.get(label, []):
            call.payload['cancelled'] = True
            token = play.token_by_team.get(call.team, '')
            cancel_call = play.world.request_job_act(
                play.choose_node(None),
                call.name,
                'cancel',
                CANCEL_QUEUE,
                token,
            )
            play.record_call(f'cancel-{label}', cancel_call)

    return action


def wait(words: Words) -> _play.Action:
    """Parse `wait 5s`."""
    seconds = words.time_s()
    return lambda play: play.world.run(seconds)


def _send_request(play: _play.Play, spec: WorkSpec, node: str) -> None:
    name = play.unique_name(spec.label)
    for _ in range(spec.copies):
        call = play.world.request(
            node,
            name,
            spec.kind,
            spec.queue,
            play.token_by_team.get(spec.team, ''),
            spec.team,
            **_payload(play, spec),
        )
        play.record_call(spec.label, call)
        node = play.choose_node(spec.target)


def _payload(play: _play.Play, spec: WorkSpec) -> dict[str, Any]:
    payload: dict[str, Any] = {
        'run_s': play.world.rng.uniform(*spec.run_range_s)
    }
    if spec.fails:
        payload['fail'] = True
    return payload


_FIELD_BY_WORD = {'tasks': 'tasks', 'count': 'count', 'memory': 'memory_mb'}

VERBS: dict[str, Callable[[Words], _play.Action]] = {
    'load': load,
    'request': request,
    'job': job,
    'cancel': cancel,
    'wait': wait,
}
