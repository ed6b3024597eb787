"""Cancellation of jobs that a node is still accepting, in virtual time."""

import builders
import pytest

import celeryshift_core as core

STORE_SLOW_S = 0.5
RUN_S = 3.0
Reason = core.Reason


def _cancel(world, node):
    """Cancel the job until that is answered for good."""
    for _ in range(20):
        call = world.request_job_act(
            node, 'j1', 'cancel', 'field', builders.token()
        )
        while call.ended_at is None:
            world.run(0.05)
        refusal = call.refusal
        if refusal is None or refusal.reason is Reason.UNKNOWN_JOB:
            return refusal
        world.run(0.3)
    raise AssertionError(refusal)


def _submit(world, node):
    return world.submit(
        node, 'j1', 'recode', 'field', builders.token(), tasks=4, run_s=RUN_S
    )


@pytest.mark.parametrize('node', ['n0', 'n1'])
@pytest.mark.parametrize('after_s', [0.0, 0.05, 0.3, 0.6, 1.0])
def test_a_job_cancelled_while_it_is_accepted_does_not_go_on(node, after_s):
    # The cancellation was answered with "unknown job", and the job ran.
    world = builders.one_centre(2)
    world.store_slow_s = STORE_SLOW_S
    submission = _submit(world, 'n0')
    world.run(after_s)
    refusal = _cancel(world, node)
    cancelled_at = world.now
    world.run(20.0)
    spans = world.spans()
    if refusal is not None:
        assert submission.refusal is not None
        assert submission.refusal.reason is Reason.WITHDRAWN_JOB
        assert not spans
    assert not [s for s in spans if s.started_at > cancelled_at + 1.0]


def test_a_withdrawn_job_is_unknown_and_is_refused():
    world = builders.one_centre(2)
    assert _cancel(world, 'n0') is not None
    assert _cancel(world, 'n1') is not None
    show = world.request_job_act('n1', 'j1', 'show', 'field', builders.token())
    late = _submit(world, 'n1')
    world.run(5.0)
    assert show.refusal.reason is Reason.UNKNOWN_JOB
    assert late.refusal.reason is Reason.WITHDRAWN_JOB
    assert not world.spans()


def test_a_withdrawn_job_does_not_hold_up_others_of_its_write():
    world = builders.one_centre(1)
    assert _cancel(world, 'n0') is not None
    late = _submit(world, 'n0')
    other = world.submit(
        'n0', 'j2', 'recode', 'field', builders.token(), run_s=0.1
    )
    world.run(5.0)
    assert late.refusal.reason is Reason.WITHDRAWN_JOB
    assert other.answer['accepted']
