"""Moves of jobs to slices with free capacity.

Guards against tasks that are lost or run twice when a node, the store or a
message fails at some step of a move.
"""

import attrs
import builders
import pytest

import celeryshift_core as core
from celeryshift_core import _job_arrivals
from celeryshift_core import _jobs
from celeryshift_core import _transfer
from celeryshift_core import events
from celeryshift_core import schema
from celeryshift_standins import invariants
from celeryshift_standins import world as worlds

SLOTS = 8
OUTAGE_S = 20.0
# With two slices, w0 and w5 belong to slice 0, the others to slice 1.
NEAR = {'w0': 'dc1', 'w5': 'dc1', 'w1': 'dc1', 'w2': 'dc1'}
FAR = {'w0': 'dc1', 'w1': 'dc2', 'w5': 'dc2'}


def _world(centre_by_worker=NEAR, centre_by_node=None, **options):
    world = worlds.World(seed=1, slices=2, **options)
    for name, data_centre in centre_by_worker.items():
        world.add_worker(name, data_centre)
    fleet = builders.fleet()
    fleet.batch('count', builders.UPSTREAM, repeatable=False)
    world.configure(fleet.document())
    centres = centre_by_node or dict.fromkeys(('n0', 'n1', 'n2'), 'dc1')
    for name, data_centre in centres.items():
        world.add_node(name, data_centre)
    world.run(20.0)
    return world


def _owner(world, number, data_centre='dc1'):
    for node in world.nodes_by_name.values():
        here = node.alive and node.data_centre == data_centre
        if here and number in node.state.slices_by_number:
            return node
    raise AssertionError(f'slice {number} has no owner')


def _submit(world, node, count, kind='count', tasks=4, run_s=1.0):
    for number in range(count):
        token = builders.token()
        world.submit(
            node.name,
            f'j{number}',
            kind,
            'field',
            token,
            tasks=tasks,
            run_s=run_s,
        )
    world.run(0.5)


def _mark_leaving(world, *names):
    """Mark workers as leaving; they complete the tasks that they run."""
    for name in names:
        vm = world.workers_by_name[name].vm
        world.list_vm(attrs.evolve(vm, state=events.VmState.LEAVING))


def _call_job(world, name, act='show'):
    node = next(n for n in world.nodes_by_name.values() if n.alive)
    call = world.request_job_act(
        node.name, name, act, 'field', builders.token()
    )
    world.run(0.2)
    return call


def _check(world, jobs, tasks=4):
    """Check that each task ran once and that no row remains."""
    spans = world.spans()
    slots = dict.fromkeys(world.workers_by_name, SLOTS)
    assert not list(invariants.over_committed(spans, slots))
    assert not list(invariants.overlapping_runs(spans))
    assert len(spans) == len({span.task for span in spans}) == jobs * tasks
    for number in range(jobs):
        answer = _call_job(world, f'j{number}').answer
        assert answer['state'] == 'done', answer
    rows = world.table.rows_by_key
    assert not [key for key in rows if key.startswith(schema.JOBS)]
    assert not [key for key in rows if key.startswith(schema.ARRIVALS)]


def _count(world, name):
    nodes = world.nodes_by_name.values()
    return sum(node.state.counters[name] for node in nodes)


@pytest.mark.parametrize('kind', ['recode', 'count', 'panel'])
@pytest.mark.parametrize(
    ('workers', 'nodes'),
    [
        (NEAR, {'n0': 'dc1'}),
        (NEAR, {'n0': 'dc1', 'n1': 'dc1'}),
        (FAR, {'n0': 'dc1', 'n1': 'dc2'}),
    ],
    ids=['own', 'peer', 'far'],
)
def test_jobs_whose_workers_leave_are_done_elsewhere(workers, nodes, kind):
    world = _world(workers, nodes)
    _submit(world, _owner(world, 0), 12, kind)
    leaving = [name for name in ('w0', 'w5') if workers[name] == 'dc1']
    _mark_leaving(world, *leaving)
    world.run(40.0)
    assert _count(world, 'jobs.moved') == _count(world, 'jobs.taken_in') > 0
    _check(world, 12)


def test_uneven_slices_even_out_and_no_job_moves_to_and_fro():
    world = _world()
    _submit(world, _owner(world, 0), 40, run_s=4.0)
    world.run(60.0)
    _check(world, 40)
    workers = world.workers_by_name
    elsewhere = workers['w1'].starts + workers['w2'].starts
    assert 40 < elsewhere < 120
    assert _count(world, 'jobs.moved') <= 40


def _kill_source(world, source, target):
    world.kill(source.name)


def _kill_target(world, source, target):
    world.kill(target.name)


def _kill_both(world, source, target):
    world.kill(source.name)
    world.kill(target.name)


def _lapse_source(world, source, target):
    world.pause(source.name)
    world.call_at(world.now + OUTAGE_S, lambda: world.resume(source.name))


def _lapse_target(world, source, target):
    world.pause(target.name)
    world.call_at(world.now + OUTAGE_S, lambda: world.resume(target.name))


def _lose_answers(world, source, target):
    world.answers_to_lose += 3


def _lose_messages(world, source, target):
    world.cut(source.name, target.name)


def _store_down(world, source, target):
    world.store_down = True

    def back():
        world.store_down = False

    world.call_at(world.now + OUTAGE_S, back)


def _drain_both(world, source, target):
    world.drain(source.name)
    world.drain(target.name)


def _is_sent(world, source, target):
    return source.state.moving


def _is_written(world, source, target):
    keys = world.table.rows_by_key
    return any(key.startswith(schema.ARRIVALS) for key in keys)


def _is_taken_in(world, source, target):
    return target.state.slices_by_number[1].accepting_arrivals


@pytest.mark.parametrize('at', [_is_sent, _is_written, _is_taken_in])
@pytest.mark.parametrize(
    'harm',
    [
        _kill_source,
        _kill_target,
        _kill_both,
        _lapse_source,
        _lapse_target,
        _lose_answers,
        _lose_messages,
        _store_down,
        _drain_both,
    ],
)
@pytest.mark.parametrize('later_s', [0.0, 0.004])
def test_a_fault_in_a_move_loses_and_doubles_nothing(at, harm, later_s):
    world = _world()
    source, target = _owner(world, 0), _owner(world, 1)
    if source is target:
        pytest.fail('one node owns both slices')
    _submit(world, source, 12)
    _mark_leaving(world, 'w0', 'w5')
    done = []

    def watch():
        if not done and at(world, source, target):
            done.append(world.now)
            world.call_at(
                world.now + later_s, lambda: harm(world, source, target)
            )

    world.on_step.append(watch)
    world.run(90.0)
    assert done
    _check(world, 12)


def test_a_move_that_takes_effect_after_a_takeover_changes_nothing():
    world = _world()
    source = _owner(world, 0)
    _submit(world, source, 40, run_s=4.0)
    transact = world.table.transact
    late = []

    def hold_back(checks, puts, deletes, prefixes):
        moves = any(key.startswith(schema.ARRIVALS) for key in puts)
        if moves and not late:
            late.append((checks, puts, deletes, prefixes))
            world.call_at(world.now, lambda: world.kill(source.name))
            # The check fails, so nothing is written now.
            return transact({'no row': 1}, {}, [], [])
        return transact(checks, puts, deletes, prefixes)

    world.table.transact = hold_back
    world.run(4.0)
    assert late
    others = [n for n in world.nodes_by_name.values() if n is not source]
    while not any(0 in node.state.slices_by_number for node in others):
        world.run(0.01)
    assert not transact(*late[0]).ok
    world.run(90.0)
    _check(world, 40)


def test_a_job_that_is_moving_is_cancelled_once_it_has_moved():
    world = _world()
    source = _owner(world, 0)
    _submit(world, source, 12, run_s=20.0)
    _mark_leaving(world, 'w0', 'w5')
    while not source.state.moving:
        world.run(0.01)
    (slice_,) = source.state.slices_by_number.values()
    name = min(slice_.moving_jobs).partition(':')[2]
    token = builders.token()
    call = world.request_job_act(source.name, name, 'cancel', 'field', token)
    world.store_slow_s = 1.0
    world.run(0.1)
    assert call.refusal.reason is core.Reason.NOT_READY
    assert call.refusal.retry_after_s > 0
    world.store_slow_s = 0.0
    world.run(5.0)
    assert (
        _call_job(world, name, 'cancel').answer['state'].startswith('cancel')
    )


def test_moves_are_bounded_and_a_job_stays_where_it_has_come():
    world = _world({'w0': 'dc1', 'w1': 'dc1'})
    source = _owner(world, 0)
    _submit(world, source, 200, 'recode', 1, 60.0)
    _mark_leaving(world, 'w0')
    before = world.table.writes, world.now
    world.run(10.0)
    max_moved = _transfer.JOBS_PER_MOVE * 10.0 / _transfer.MOVE_INTERVAL_S
    assert 0 < _count(world, 'jobs.moved') <= max_moved
    # Every node renews its registration; the owners record and move jobs.
    assert (world.table.writes - before[0]) / (world.now - before[1]) < 12
    target = world.nodes_by_name[_owner(world, 1).name].state
    jobs = target.slices_by_number[1].jobs_by_id.values()
    moved = [job for job in jobs if job.moves]
    assert moved and all(job.moves == 1 for job in moved)
    assert all(job.movable_after > world.now for job in moved)
    # Attempt numbers do not repeat those of an earlier stay in the slice.
    runs = [span.run_id for span in world.spans() if span.worker == 'w1']
    least = _jobs.ATTEMPTS_PER_MOVE
    assert runs and all(int(run.rpartition('.')[2]) > least for run in runs)
    assert _job_arrivals.MIN_STAY_S > _transfer.MIN_WAIT_S
