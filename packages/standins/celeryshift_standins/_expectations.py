"""The verb `expect` of scenarios: bounds on measured values."""

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


def parse(words: Words) -> _play.Action:
    """Parse `expect <measure> [<argument>] <relation> <bound>`."""
    measure_name = words.one_of(*_MEASURES)
    parse_measure, is_time = _MEASURES[measure_name]
    measure, argument = parse_measure(words)
    relation = words.one_of(*RELATIONS)
    bound = words.time_s() if is_time else words.number()

    def action(play: _play.Play) -> None:
        value = measure(play)
        is_met = RELATIONS[relation](value, bound)
        subject = f'{measure_name} {argument}'.strip()
        play.record_expectation(
            is_met, f'{subject} {relation} {bound:g}: {value:.4g}'
        )

    return action


def _parse_p99_wait(words: Words) -> tuple[Measure, str]:
    """Parse `p99-wait <label>`: the 99th percentile of the waits of calls.

    A call that was refused or never ran counts as an infinite wait, also if
    its node was down when the call arrived. A call without an answer is left
    out if the node that accepted it no longer runs, because nothing can
    answer it, or if no node has accepted it yet.
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
    return call.accepted_by is None or not call.accepted_by.alive


def _wait_s(play: _play.Play, call: _fakes.Call) -> float | None:
    """Return the time from the call to the first start of its first task."""
    if call.job:
        task = monitors.task_of_job(call, 0)
    else:
        task = monitors.task_of_request(call)
    runs = play.monitor.runs_by_task.get(task)
    return runs[0].started_at - call.sent_at if runs else None


def _parse_answered(words: Words) -> tuple[Measure, str]:
    label = words.word('a label')

    def measure(play: _play.Play) -> float:
        calls = play.calls_by_label.get(label, [])
        return sum(call.answer is not None for call in calls)

    return measure, label


def _parse_refused(words: Words) -> tuple[Measure, str]:
    label = words.word('a label')
    reason = words.one_of(*REASONS) if words.peek() in REASONS else None

    def measure(play: _play.Play) -> float:
        return sum(
            call.refusal is not None
            and reason in (None, call.refusal.reason.value)
            for call in play.calls_by_label.get(label, [])
        )

    return measure, f'{label} {reason or ""}'.strip()


def _parse_unowned(words: Words) -> tuple[Measure, str]:
    return lambda play: play.monitor.longest_unowned_s, ''


def _parse_in_force(words: Words) -> tuple[Measure, str]:
    version = words.count('a version')
    return (
        lambda play: play.monitor.time_until_in_force_s(version),
        str(version),
    )


def _parse_ran(words: Words) -> tuple[Measure, str]:
    label = words.word('a label')

    def measure(play: _play.Play) -> float:
        calls = play.calls_by_label.get(label, [])
        return sum(_wait_s(play, call) is not None for call in calls)

    return measure, label


def _parse_distance_from_share(words: Words) -> tuple[Measure, str]:
    """Parse `distance-from-share <window>`.

    The measure is the largest absolute difference, over all teams that used
    slots in the window, between a team's fraction of the used slot time and
    its fraction of the shares of these teams.
    """
    window_s = words.time_s()

    def measure(play: _play.Play) -> float:
        now = play.world.now
        slot_s_by_team: dict[str, float] = {}
        for runs in play.monitor.runs_by_task.values():
            for run in runs:
                end = now if run.ended_at is None else run.ended_at
                begin = max(run.started_at, now - window_s)
                slot_s = max(0.0, end - begin) * run.size['slots']
                slot_s_by_team[run.team] = (
                    slot_s_by_team.get(run.team, 0.0) + slot_s
                )
        teams = play.monitor.versions[-1].config.teams
        share_by_team = {
            name: teams[name].share
            for name in slot_s_by_team
            if slot_s_by_team[name]
        }
        total_s = sum(slot_s_by_team.values()) or 1.0
        total_share = sum(share_by_team.values()) or 1.0
        return max(
            abs(slot_s_by_team[name] / total_s - share / total_share)
            for name, share in share_by_team.items()
        )

    return measure, f'over {window_s:g} s'


# Parser of each measure, and whether its bound is a time.
_MEASURES: dict[str, tuple[Callable[[Words], tuple[Measure, str]], bool]] = {
    'p99-wait': (_parse_p99_wait, True),
    'answered': (_parse_answered, False),
    'refused': (_parse_refused, False),
    'ran': (_parse_ran, False),
    'unowned': (_parse_unowned, True),
    'in-force': (_parse_in_force, True),
    'distance-from-share': (_parse_distance_from_share, False),
}
