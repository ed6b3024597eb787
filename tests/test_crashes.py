"""Tasks that crash the workers that start them."""

import itertools

import builders
import crashes
import pytest

from celeryshift_core import _crashes
from celeryshift_core import _job_rows
from celeryshift_core import _size
from celeryshift_core import _tasks
from celeryshift_core import schema
from celeryshift_standins import invariants

# Three workers, and three more starts.
MAX_CRASHES = 6


def _world(workers=6, nodes=1):
    return builders.one_centre(nodes, workers, slices=1)


def _submit(world, name, kind='recode', tasks=1, **payload):
    return world.submit(
        'n0', name, kind, 'field', builders.token(), tasks=tasks, **payload
    )


def _counters(world, node='n0'):
    return world.nodes_by_name[node].state.counters


def _job(losses=None, version=0):
    """Return a job with losses of its first task, and that task."""
    job = _tasks.Job('t:j', 't', 'recode', 1, None, _size.Size())
    job.lost_runs_by_index = {0: losses} if losses else {}
    job.stored_losses_version = job.losses_version = version
    task = _tasks.Task(
        'j:t:j.0', 't', 'recode', 'coding', job.size, False, 0.0, job='t:j'
    )
    task.epoch, task.attempt = 3, 7
    return job, task


# A worker restarts before its silence is noticed, within its leases, or after
# they have ended, so that it may only have been cut off.
@pytest.mark.parametrize('down_s', [0.2, 3.0, 25.0])
@pytest.mark.parametrize('after_s', [0.0, 0.5, 1.0])
def test_sound_tasks_beside_a_crashing_one_complete(down_s, after_s):
    """Guards against a limit that fails what ran beside a faulty task."""
    world = _world()
    _submit(world, 'sound', tasks=48, run_s=2.0)
    world.run(1.0)
    _submit(world, 'deadly', run_s=60.0)
    _submit(world, 'later', tasks=48, run_s=0.7)
    crasher = crashes.Crasher(world, ('deadly',), after_s, down_s)
    crasher.run(150.0)
    (crashes_by_deadly,) = crasher.crashes_by_task.values()
    assert crashes_by_deadly <= MAX_CRASHES
    assert crashes.show(world, 'n0', 'deadly')['state'] == 'failed'
    assert crashes.show(world, 'n0', 'sound')['done'] == 48
    assert crashes.show(world, 'n0', 'later')['done'] == 48
    assert _counters(world)['tasks.given_up'] == 1
    assert not list(invariants.overlapping_runs(world.spans()))


def test_many_crashing_tasks_are_given_up_beside_sound_ones():
    """Guards against tasks that are blamed for the crashes of one another."""
    world = _world(workers=4)
    deadly = tuple(f'deadly{number}' for number in range(8))
    for number in range(8):
        _submit(world, deadly[number], run_s=60.0)
        _submit(world, f'sound{number}', tasks=4, run_s=10.0)
    crasher = crashes.Crasher(world, deadly, 0.3, 0.5)
    crasher.run(400.0)
    assert max(crasher.crashes_by_task.values()) <= MAX_CRASHES
    for number in range(8):
        job = crashes.show(world, 'n0', deadly[number])
        assert job['state'] == 'failed'
        assert crashes.show(world, 'n0', f'sound{number}')['done'] == 4
    assert _counters(world)['tasks.given_up'] == len(deadly)


def test_nothing_else_starts_on_a_worker_during_a_trial():
    """Guards against trials that leave new sound tasks under suspicion."""
    world = _world(workers=2)
    _submit(world, 'deadly', run_s=60.0)
    _submit(world, 'sound', tasks=3000, run_s=0.4)
    crasher = crashes.Crasher(world, ('deadly',), 1.0, 0.5)
    crasher.run(60.0)
    spans = world.spans()
    trials = [span for span in spans if ':deadly.' in span.run_id][1:]
    assert len(trials) == 2
    for trial in trials:
        assert not [
            span
            for span in spans
            if span.worker == trial.worker
            and trial.started_at < span.started_at <= trial.until
        ]


@pytest.mark.parametrize('kind', ['panel', 'keeper'])
def test_a_gang_or_a_service_that_crashes_workers_is_given_up(kind):
    """Guards against kinds of work that are started again without a limit."""
    world = _world()
    _submit(world, 'deadly', kind, run_s=1000.0)
    crasher = crashes.Crasher(world, ('deadly',), 0.1, 2.0)
    crasher.run(120.0)
    assert 3 <= crasher.crashes_by_task.total() <= MAX_CRASHES
    assert crashes.show(world, 'n0', 'deadly')['state'] == 'failed'


@pytest.mark.parametrize('before', [1, 2, 3, 4])
def test_crashes_are_known_to_the_next_owner(before):
    """Guards against a count that begins anew with each owner."""
    world = _world()
    _submit(world, 'deadly', run_s=60.0)
    crasher = crashes.Crasher(world, ('deadly',), 0.2, 25.0)
    for _ in range(400):
        crasher.run(0.5)
        if crasher.crashes_by_task.total() == before:
            break
    crasher.run(1.0)
    world.kill('n0')
    world.add_node('n1', 'dc1')
    crasher.run(150.0)
    assert crasher.crashes_by_task.total() <= MAX_CRASHES
    assert crashes.show(world, 'n1', 'deadly')['state'] == 'failed'


def test_a_second_trial_waits_until_the_losses_are_stored():
    """Guards against an owner that takes many crashes along as it dies."""
    world = _world()
    _submit(world, 'deadly', run_s=60.0)
    world.run(0.5)
    world.cut('dc1', 'platform')
    crasher = crashes.Crasher(world, ('deadly',), 0.0, 0.2)
    crasher.run(3.5)
    assert crasher.crashes_by_task.total() == 2


def test_a_sound_task_whose_workers_are_cut_off_completes():
    """Guards against cut links that are taken for crashes."""
    world = _world(workers=3)
    _submit(world, 'long', run_s=30.0)
    for _ in range(3):
        cut = []
        for _ in range(400):
            world.run(0.05)
            cut = [
                name
                for name, worker in world.workers_by_name.items()
                if worker.tasks.running()
            ]
            if cut:
                break
        for name in cut:
            world.cut('n0', name)
        world.run(25.0)
        for name in cut:
            world.heal('n0', name)
    world.run(60.0)
    assert crashes.show(world, 'n0', 'long')['state'] == 'done'
    assert _counters(world)['tasks.lost'] >= 3


def test_urgent_requests_are_served_during_trials():
    """Guards against trials that keep every worker from other work."""
    world = _world(workers=4)
    _submit(world, 'long', tasks=32, run_s=40.0)
    world.run(0.1)
    for name in ('w0', 'w1'):
        world.kill_worker(name)
    world.run(0.5)
    for name in ('w0', 'w1'):
        world.add_worker(name, 'dc1')
    calls = []
    for _ in itertools.repeat(None, 100):
        call = world.request(
            'n0',
            f'r{len(calls)}',
            'validate',
            'field',
            builders.token(),
            run_s=0.05,
        )
        calls.append(call)
        world.run(0.2)
    world.run(6.0)
    assert _counters(world)['trials'] > 4
    assert not [call for call in calls if call.refusal]
    assert max(call.waited_s for call in calls) < 1.0


def test_a_row_of_the_previous_release_is_read():
    """Guards against rows without losses, and losses that are not stored."""
    job, task = _job({'3.6': 2})
    value = _job_rows.to_row(job)
    restored = _job_rows.from_row(schema.Row(5, value))
    assert restored.lost_runs_by_index == {0: {'3.6': 2}}
    assert _crashes.is_suspect(restored, task)
    del value['lost_runs']
    assert not _job_rows.from_row(schema.Row(5, value)).lost_runs_by_index


@pytest.mark.parametrize(
    ('survived_s', 'is_certain', 'on_trial', 'losses'),
    [
        (0.0, True, False, {'3.6': 2, '3.7': 0}),
        (0.0, True, True, {'3.6': 2, '3.7': 2}),
        (-4.0, False, True, {'3.6': 2, '3.7': 1}),
        (_crashes.TRIAL_S, True, True, {'3.6': 2}),
        (_crashes.CLEARED_S, True, False, None),
    ],
)
def test_a_loss_counts_by_what_is_known(
    survived_s, is_certain, on_trial, losses
):
    """Guards against crashes long after a start that count as its fault."""
    job, task = _job({'3.6': 2})
    task.on_trial = on_trial
    loss = _crashes.Loss(task.run_id, survived_s, is_certain)
    _crashes.record_loss(job, task, loss)
    assert job.lost_runs_by_index.get(0) == losses
    assert _crashes.is_guilty(job, task) is (losses == {'3.6': 2, '3.7': 2})


def test_the_loss_of_a_run_that_is_reported_again_is_revoked():
    """Guards against a worker that was cut off and counts as crashed."""
    job, task = _job({'3.7': 1})
    assert not _crashes.revoke(job, task, 'j:t:j.0~3.6')
    assert _crashes.revoke(job, task, task.run_id)
    assert not _crashes.is_suspect(job, task)
