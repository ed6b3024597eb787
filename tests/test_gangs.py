"""Gangs: tasks of a job start together or not at all, whatever fails."""

import collections

import builders

from celeryshift_core import _gangs
from celeryshift_standins import invariants

SLOTS = 8


def _world(workers=4):
    fleet = builders.fleet()
    fleet.gang('ledger', builders.UPSTREAM, repeatable=False)
    return builders.one_centre(1, workers, custom_fleet=fleet, slices=1)


def _submit(world, name, kind, tasks, run_s):
    return world.submit(
        'n0', name, kind, 'field', builders.token(), tasks=tasks, run_s=run_s
    )


def _ask_job(world, name, act='show'):
    query = world.request_job_act('n0', name, act, 'field', builders.token())
    world.run(0.1)
    return query.answer


def _attempts(world, job):
    """Return the runs of a job by attempt, ordered by start time."""
    spans_by_attempt = collections.defaultdict(list)
    for span in sorted(world.spans(), key=lambda span: span.started_at):
        if f':{job}.' in span.run_id:
            attempt = span.run_id.rpartition('~')[2]
            spans_by_attempt[attempt].append(span)
    return spans_by_attempt


def _assert_invariants(world):
    spans = world.spans()
    slots = dict.fromkeys(world.workers_by_name, SLOTS)
    assert not list(invariants.over_committed(spans, slots))
    assert not list(invariants.overlapping_runs(spans))


def test_a_gang_starts_together_when_room_has_drained():
    world = _world()
    _submit(world, 'filler', 'recode', 20, 4.0)
    world.run(0.2)
    _submit(world, 'g', 'panel', 16, 2.0)
    for number in range(40):
        _submit(world, f'small{number}', 'recode', 1, 3.0)
    world.run(2.0)
    assert not _attempts(world, 'g')
    world.run(6.0)
    (spans,) = _attempts(world, 'g').values()
    assert len(spans) == 16
    assert spans[-1].started_at - spans[0].started_at < 0.01
    world.run(10.0)
    assert _ask_job(world, 'g')['state'] == 'done'
    _assert_invariants(world)


def test_a_gang_without_all_its_room_releases_what_it_reserved():
    world = _world()
    _submit(world, 'filler', 'recode', 20, 200.0)
    world.run(0.2)
    _submit(world, 'g', 'panel', 16, 2.0)
    world.run(0.2)
    urgent = world.request(
        'n0', 'u', 'validate', 'field', builders.token(), run_s=0.01
    )
    _submit(world, 'small', 'recode', 4, 1.0)
    world.run(1.0)
    assert urgent.answer is not None
    assert urgent.waited_s < 0.1
    assert _ask_job(world, 'small')['done'] == 0
    world.run(_gangs.WINDOW_S + 2.0)
    assert _ask_job(world, 'small')['done'] == 4
    explanation = str(_ask_job(world, 'g', 'explain'))
    assert 'room for 12 of 16 within 10 s' in explanation
    assert not _attempts(world, 'g')
    _assert_invariants(world)


def test_a_gang_restarts_whole_after_a_lost_task():
    world = _world()
    _submit(world, 'g', 'panel', 20, 30.0)
    world.run(1.0)
    world.kill_worker('w0')
    world.run(25.0)
    first, second = _attempts(world, 'g').values()
    assert len(first) == len(second) == 20
    ended = max(span.until for span in first)
    assert ended <= min(span.started_at for span in second)
    assert _ask_job(world, 'g')['running'] == 20
    _assert_invariants(world)


def test_a_gang_that_must_not_repeat_is_started_once():
    world = _world()
    _submit(world, 'g', 'ledger', 20, 30.0)
    world.run(1.0)
    world.kill_worker('w0')
    world.run(60.0)
    spans = [span for runs in _attempts(world, 'g').values() for span in runs]
    assert len(spans) == 20
    shown = _ask_job(world, 'g')
    assert shown['unknown'] == 8
    assert shown['done'] == 12
    _assert_invariants(world)


def test_a_gang_larger_than_any_slice_is_refused_with_the_reason():
    world = _world()
    call = _submit(world, 'g', 'panel', 33, 1.0)
    world.run(0.5)
    assert call.refusal.reason.value == 'never-fits'
    assert call.refusal.ran.value == 'no'
    assert 'more than 32' in call.refusal.detail


def test_a_gang_survives_its_owner():
    world = _world()
    _submit(world, 'g', 'panel', 20, 30.0)
    world.run(1.0)
    world.kill('n0')
    world.workers_by_name['w1'].silent = True
    world.run(10.0)
    world.add_node('n0', 'dc1')
    world.run(20.0)
    world.workers_by_name['w1'].silent = False
    world.run(90.0)
    assert _ask_job(world, 'g')['state'] == 'done'
    _assert_invariants(world)
