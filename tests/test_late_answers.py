"""Answers that arrive late, or that other answers have overtaken."""

import attrs
from bench import fleets
import builders
import pytest

import celeryshift_core as core
from celeryshift_core import _confirmation
from celeryshift_core import _jobs
from celeryshift_core import _state
from celeryshift_core import _tasks
from celeryshift_core import effects
from celeryshift_core import events
from celeryshift_standins import world as worlds

FOREIGN = events.TaskReport(
    'r:t01:q~1.1', events.TaskPhase.RUNNING, team='t01', request=True
)


def _starts(outbox):
    return [e for e in outbox if isinstance(e, effects.StartTask)]


def _syncs(outbox):
    return [e for e in outbox if isinstance(e, effects.SyncWorker)]


def _synced(state, slice_, worker, reports, whole=True):
    return core.reduce(
        state,
        events.WorkerSynced(
            state.now,
            slice_.number,
            slice_.epoch,
            worker,
            'c',
            reports,
            whole,
        ),
    )


def _start_one(state, slice_):
    fleets.fill_queue(state, slice_, 1, seed=1)
    return _starts(core.reduce(state, events.Tick(state.now)))[0]


def _confirm(state, start):
    return core.reduce(
        state,
        events.TaskStarted(
            state.now,
            start.slice,
            start.epoch,
            start.worker,
            start.task,
            builders.OK,
        ),
    )


def test_a_list_from_before_a_start_does_not_start_its_task_twice():
    state, slice_ = builders.build_slice(2, 0)
    for worker in list(slice_.ledger.workers_by_name):
        _synced(state, slice_, worker, [FOREIGN])
    start = _start_one(state, slice_)
    _confirm(state, start)
    # The list was made before the start arrived, but its answer is later.
    assert not _starts(_synced(state, slice_, start.worker, [FOREIGN]))
    # The next list is made after the start, and shows that the run has ended.
    again = _starts(_synced(state, slice_, start.worker, [FOREIGN]))
    assert len(again) == 1


def test_a_task_is_not_lost_if_its_worker_restarts_after_the_start():
    state, slice_ = builders.build_slice(2, 0)
    for worker in list(slice_.ledger.workers_by_name):
        _synced(state, slice_, worker, [], whole=False)
    start = _start_one(state, slice_)
    # The worker has restarted, and so lists all its runs.
    _synced(state, slice_, start.worker, [])
    _confirm(state, start)
    sync = _syncs(_synced(state, slice_, start.worker, [], whole=False))[0]
    assert not sync.cursor
    assert _starts(_synced(state, slice_, start.worker, []))


@pytest.mark.parametrize(
    'phase', [events.TaskPhase.STOPPED, events.TaskPhase.FAILED]
)
def test_the_end_of_an_earlier_run_does_not_end_the_one_that_runs(phase):
    state, slice_ = builders.build_slice(2, 1)
    first, second = slice_.ledger.workers_by_name
    task = next(iter(slice_.tasks_by_id.values()))
    slice_.queue.discard(task, _tasks.TaskState.UNACCOUNTED)
    slice_.unaccounted.add(task.id)
    slice_.phase = _state.SlicePhase.RECOVERING
    state.vm_revision = 1
    for worker in slice_.ledger.workers_by_name.values():
        worker.answered = False
    ended = events.TaskReport(f'{task.id}~0.1', phase)
    running = events.TaskReport(f'{task.id}~0.2', events.TaskPhase.RUNNING)
    _synced(state, slice_, first, [ended])
    outbox = _synced(state, slice_, second, [running])
    assert slice_.phase is _state.SlicePhase.READY
    outbox += core.reduce(state, events.Tick(1.0))
    assert not _starts(outbox)
    assert not [e for e in outbox if isinstance(e, effects.StopTask)]
    assert task.run_id == running.id


def test_an_end_that_a_former_owner_did_not_see_counts_after_recovery():
    state, slice_ = builders.build_slice(2, 1)
    first, second = slice_.ledger.workers_by_name
    task = next(iter(slice_.tasks_by_id.values()))
    slice_.queue.discard(task, _tasks.TaskState.UNACCOUNTED)
    slice_.unaccounted.add(task.id)
    slice_.phase = _state.SlicePhase.RECOVERING
    state.vm_revision = 1
    for worker in slice_.ledger.workers_by_name.values():
        worker.answered = False
    ended = events.TaskReport(f'{task.id}~0.1', events.TaskPhase.FAILED)
    _synced(state, slice_, first, [ended])
    _synced(state, slice_, second, [])
    assert slice_.phase is _state.SlicePhase.READY
    assert task.failed_on == (first,)


def test_a_leaving_worker_gets_no_work_after_a_late_vm_list():
    state, slice_ = builders.build_slice(1, 0)
    name = next(iter(slice_.ledger.workers_by_name))
    live = events.Vm(
        name,
        events.VmRole.WORKER,
        name,
        'dc1',
        upstream=builders.UPSTREAM,
        capacity=fleets.WORKER_CAPACITY,
    )
    leaving = attrs.evolve(live, state=events.VmState.LEAVING)
    core.reduce(state, events.VmsFetched(0.0, 2, [leaving]))
    core.reduce(state, events.VmsFetched(0.0, 1, [live]))
    fleets.fill_queue(state, slice_, 1, seed=1)
    assert not _starts(core.reduce(state, events.Tick(0.0)))


def test_a_late_summary_does_not_confirm_an_old_configuration():
    world = worlds.World(seed=1)
    world.configure(builders.fleet().document())
    for name, data_centre in (('n0', 'dc1'), ('n1', 'dc1'), ('m0', 'dc2')):
        world.add_node(name, data_centre)
    world.run(20.0)
    node = world.nodes_by_name['n0']
    stale_s = node.state.options.config_stale_s
    for endpoint in ('platform', 'dc2'):
        world.links.cut(world.now, 'dc1', endpoint, True)
    world.pause('n0')
    world.run(stale_s + 1.0)
    world.resume('n0')
    world.run(1.0)
    assert _confirmation.is_stale(node.state)


def test_a_stop_that_overtakes_its_start_is_repeated():
    state, slice_ = builders.build_slice(1, 0)
    for worker in list(slice_.ledger.workers_by_name):
        _synced(state, slice_, worker, [], whole=False)
    start = _start_one(state, slice_)
    job = next(iter(slice_.jobs_by_id.values()))
    _jobs.cancel(state, slice_, job, [])
    stopped = events.TaskStopped(
        state.now,
        start.slice,
        start.epoch,
        start.worker,
        start.task,
        builders.OK,
    )
    core.reduce(state, stopped)
    outbox = _confirm(state, start)
    assert [e.task for e in outbox if isinstance(e, effects.StopTask)] == [
        start.task
    ]
