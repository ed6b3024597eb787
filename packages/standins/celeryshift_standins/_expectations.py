"""Lines that bound what is measured."""

from collections.abc import Callable
import math
import operator

from celeryshift_core import _refusals
from celeryshift_standins import _fakes
from celeryshift_standins import _play
from celeryshift_standins import _words
from celeryshift_standins import monitor as monitors

Words = _words.Words
Measure = Callable[[_play.Play], float]

RELATIONS = {'<=': operator.le, '>=': operator.ge, '=': operator.eq}
REASONS = [reason.value for reason in _refusals.Reason]


def parse(words: Words) -> _play.Act:
    """Read `expect <measure> <label> <relation> <bound>`."""
    start = words.one_of(*_MEASURES)
    read, is_time = _MEASURES[start]
    measure, what = read(words)
    relation = words.one_of(*RELATIONS)
    bound = words.time_s() if is_time else words.number()

    def act(play: _play.Play) -> None:
        value = measure(play)
        holds = RELATIONS[relation](value, bound)
        said = f'{start} {what}'.strip()
        play.expect(holds, f'{said} {relation} {bound:g}: {value:.4g}')

    return act


def _p99_wait(words: Words) -> tuple[Measure, str]:
    """Measure waits; what was refused or never ran counts as without end.

    Calls that a dying node cut off are left out: nobody could answer them.
    """
    label = words.word('a label')

    def measure(play: _play.Play) -> float:
        waits = sorted(
            _wait_s(play, call) or math.inf
            for call in play.calls_by_label.get(label, [])
            if call.ended_at is not None or not _is_cut_off(call)
        )
        return waits[math.ceil(0.99 * len(waits)) - 1] if waits else math.inf

    return measure, label


def _is_cut_off(call: _fakes.Call) -> bool:
    return call.taken_by is None or not call.taken_by.alive


def _wait_s(play: _play.Play, call: _fakes.Call) -> float | None:
    """Give the time from sending to the first start of the first task."""
    if call.job:
        task = monitors.task_of_job(call, 0)
    else:
        task = monitors.task_of_request(call)
    runs = play.monitor.runs_by_task.get(task)
    return runs[0].started_at - call.sent_at if runs else None


def _answered(words: Words) -> tuple[Measure, str]:
    label = words.word('a label')

    def measure(play: _play.Play) -> float:
        calls = play.calls_by_label.get(label, [])
        return sum(call.answer is not None for call in calls)

    return measure, label


def _refused(words: Words) -> tuple[Measure, str]:
    label = words.word('a label')
    reason = words.one_of(*REASONS) if words.peek() in REASONS else None

    def measure(play: _play.Play) -> float:
        return sum(
            call.refusal is not None
            and reason in (None, call.refusal.reason.value)
            for call in play.calls_by_label.get(label, [])
        )

    return measure, f'{label} {reason or ""}'.strip()


def _unowned(words: Words) -> tuple[Measure, str]:
    return lambda play: play.monitor.unowned_s, ''


def _in_force(words: Words) -> tuple[Measure, str]:
    version = words.count('a version')
    return (
        lambda play: play.monitor.settled_in_force_s(version),
        str(version),
    )


def _run_count(words: Words) -> tuple[Measure, str]:
    label = words.word('a label')

    def measure(play: _play.Play) -> float:
        calls = play.calls_by_label.get(label, [])
        return sum(_wait_s(play, call) is not None for call in calls)

    return measure, label


def _distance(words: Words) -> tuple[Measure, str]:
    """Measure the greatest gap between a team's part and its share."""
    since_s = words.time_s()

    def measure(play: _play.Play) -> float:
        now = play.world.now
        used: dict[str, float] = {}
        for runs in play.monitor.runs_by_task.values():
            for run in runs:
                end = now if run.ended_at is None else run.ended_at
                begin = max(run.started_at, now - since_s)
                held_s = max(0.0, end - begin) * run.size['slots']
                used[run.team] = used.get(run.team, 0.0) + held_s
        teams = play.monitor.versions[-1].config.teams
        shares = {name: teams[name].share for name in used if used[name]}
        whole = sum(used.values()) or 1.0
        parts = sum(shares.values()) or 1.0
        return max(
            abs(used[name] / whole - share / parts)
            for name, share in shares.items()
        )

    return measure, f'over {since_s:g} s'


_MEASURES: dict[str, tuple[Callable[[Words], tuple[Measure, str]], bool]] = {
    'p99-wait': (_p99_wait, True),
    'answered': (_answered, False),
    'refused': (_refused, False),
    'ran': (_run_count, False),
    'unowned': (_unowned, True),
    'in-force': (_in_force, True),
    'distance-from-share': (_distance, False),
}
