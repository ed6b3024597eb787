"""Upstreams and workers that leave get no new work.

Guards against requests that wait until their deadline for capacity which
will not become free, and against starts on workers that leave or refuse.
"""

import attrs
import builders

import celeryshift_core as core
from celeryshift_core import events

LEAVING_KNOWN_S = 4.0


def _world(workers=4):
    return builders.one_centre(2, workers, 6.0)


def _fill(world, run_s=30.0):
    """Fill all free slots and return the requests that wait."""
    for number in range(32):
        world.request(
            f'n{number % 2}',
            f'busy-{number}',
            'validate',
            'walk-in',
            run_s=run_s,
        )
    world.run(0.5)
    calls = [
        world.request(
            f'n{number % 2}', f'wait-{number}', 'validate', 'walk-in'
        )
        for number in range(8)
    ]
    world.run(0.1)
    waiting = [call for call in calls if call.ended_at is None]
    assert len(waiting) >= 2
    return waiting


def _starts(world, since):
    return [span for span in world.spans() if span.started_at > since]


def test_what_waits_for_an_upstream_that_leaves_is_refused_with_the_reason():
    world = _world()
    job = world.submit(
        'n0', 'j', 'recode', 'field', builders.token(), tasks=64, run_s=3.0
    )
    world.run(1.0)
    waiting = _fill(world)
    fleet = builders.fleet()
    fleet.upstream(builders.UPSTREAM, leaving=True)
    world.configure(fleet.document())
    left_at = world.now
    world.run(LEAVING_KNOWN_S)
    for call in waiting:
        assert call.refusal.reason is core.Reason.NO_UPSTREAM
        assert call.refusal.ran is core.Ran.NO
        assert call.ended_at - left_at < 2.0
    world.run(10.0)
    assert _starts(world, left_at + LEAVING_KNOWN_S) == []
    assert job.answer['accepted']
    ended = [span for span in world.spans() if span.run_id.count('j/')]
    assert all(span.until - span.started_at > 2.9 for span in ended)
    world.configure(builders.fleet().document())
    world.run(30.0)
    done = world.request_job_act('n0', 'j', 'show', 'field', builders.token())
    world.run(1.0)
    assert done.answer['done'] == 64


def test_requests_do_not_wait_for_workers_that_all_leave():
    world = _world()
    waiting = _fill(world)
    for worker in world.workers_by_name.values():
        leaving = attrs.evolve(worker.vm, state=events.VmState.LEAVING)
        world.list_vm(leaving)
    left_at = world.now
    world.run(LEAVING_KNOWN_S)
    for call in waiting:
        assert call.refusal.ran is core.Ran.NO
        assert call.ended_at - left_at < 3.0
    late = world.request('n0', 'late', 'validate', 'walk-in')
    world.run(0.5)
    assert late.refusal.reason is core.Reason.NO_UPSTREAM
    assert _starts(world, left_at + LEAVING_KNOWN_S) == []


def test_a_worker_that_refuses_is_asked_ever_less():
    world = _world()
    world.workers_by_name['w0'].refuses = True
    all_calls = []
    for number in range(300):
        call = world.request(
            f'n{number % 2}', f'r{number}', 'validate', 'walk-in', run_s=0.01
        )
        all_calls.append(call)
        world.run(0.1)
    world.run(1.0)
    assert all(call.answer for call in all_calls)
    counters = [node.state.counters for node in world.nodes_by_name.values()]
    assert 0 < sum(count['workers.refusals'] for count in counters) <= 8
