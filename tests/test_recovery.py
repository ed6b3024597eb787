"""Takeover and recovery of slices.

Guards against accepted jobs that are lost, or tasks that run twice, when
owners crash, drain or lose the store.
"""

import itertools

import builders
import hypothesis
from hypothesis import strategies as st
import pytest

from celeryshift_core import _indices
from celeryshift_core import schema
from celeryshift_standins import invariants

SLOTS = 8
HOUR_S = 3600.0


def _world(nodes=3, workers=6, **options):
    return builders.one_centre(nodes, workers, 20.0, **options)


def _ready_slices(world):
    return sorted(
        number
        for node in world.nodes_by_name.values()
        if node.alive
        for number, slice_ in node.state.slices_by_number.items()
        if slice_.phase.value == 'ready'
    )


def _owner_by_slice(world):
    return {
        number: node.name
        for node in world.nodes_by_name.values()
        if node.alive
        for number in node.state.slices_by_number
    }


def _rows(world, prefix):
    return [key for key in world.table.rows_by_key if key.startswith(prefix)]


def _run_until(world, condition, timeout_s):
    end = world.now + timeout_s
    while not condition():
        assert world.now < end
        world.run(0.1)


def _submit(world, name, node='n0', **fields):
    return world.submit(
        node, name, 'recode', 'field', builders.token(), **fields
    )


def _check(world):
    spans = world.spans()
    slots = dict.fromkeys(world.workers_by_name, SLOTS)
    assert not list(invariants.over_committed(spans, slots))
    assert not list(invariants.overlapping_runs(spans))


def _replace_all(world, names):
    for node in list(world.nodes_by_name.values()):
        if node.alive:
            world.kill(node.name)
    for name in names:
        world.add_node(name, 'dc1')


@pytest.mark.parametrize('end', ['kill', 'crash'])
def test_slices_are_taken_within_ten_seconds(end):
    for count in (1, 2):
        world = _world()
        for number in range(count):
            getattr(world, end)(f'n{number}')
        _run_until(
            world, lambda w=world: _ready_slices(w) == [0, 1, 2, 3], 10.0
        )


def test_a_node_that_joins_gets_its_part_once():
    world = _world(workers=24, slices=8)
    world.add_node('n3', 'dc1')
    owners_seen = {number: set() for number in range(8)}
    for _ in range(600):
        world.run(0.1)
        for number, owner in _owner_by_slice(world).items():
            owners_seen[number].add(owner)
    assert 'n3' in _owner_by_slice(world).values()
    assert all(len(owners) <= 2 for owners in owners_seen.values())
    assert sum(len(owners) - 1 for owners in owners_seen.values()) <= 3


def test_a_stopped_node_leaves_nothing_behind():
    world = _world()
    world.drain('n1')
    _run_until(world, lambda: not world.nodes_by_name['n1'].alive, 5.0)
    assert not _rows(world, schema.node('dc1', 'n1'))
    assert not _rows(world, schema.marker('n1'))
    _run_until(world, lambda: _ready_slices(world) == [0, 1, 2, 3], 3.0)


def test_what_a_gone_node_leaves_is_removed():
    world = _world()
    _replace_all(world, ['m0', 'm1'])
    world.run(30.0)
    nodes = _rows(world, schema.NODES)
    assert [key.split('/')[2] for key in nodes] == ['m0', 'm1']
    assert not _rows(world, schema.marker('n'))


def test_requests_go_on_through_an_outage_with_a_stop_in_it():
    world = _world()
    world.store_down = True
    world.run(60.0)
    world.drain('n1')
    _run_until(world, lambda: not world.nodes_by_name['n1'].alive, 10.0)
    calls = []
    for number in range(60):
        calls.append(
            world.request('n0', f'r{number}', 'validate', 'walk-in', run_s=0.1)
        )
        world.run(60.0)
    assert all(call.answer for call in calls)
    world.store_down = False
    _run_until(world, lambda: _ready_slices(world) == [0, 1, 2, 3], 10.0)
    _check(world)


def test_a_worker_that_the_new_owner_does_not_know_is_waited_for():
    world = _world(nodes=2, workers=0, slices=1)
    world.add_worker('roomy', 'dc1', capacity=builders.roomy())
    world.run(5.0)
    (owner,) = _owner_by_slice(world).values()
    other = 'n1' if owner == 'n0' else 'n0'
    world.vm_revision_by_node[other] = world.vm_revision
    world.add_worker('late', 'dc1')
    world.run(5.0)
    call = _submit(world, 'j', owner, tasks=16, run_s=600.0)
    world.run(2.0)
    assert call.answer
    assert {span.worker for span in world.spans()} == {'roomy', 'late'}
    world.kill(owner)
    world.run(10.0)
    assert _owner_by_slice(world) == {0: other}
    assert len(world.spans()) == 16
    del world.vm_revision_by_node[other]
    _run_until(world, lambda: _ready_slices(world) == [0], 5.0)
    world.run(60.0)
    assert len(world.spans()) == 16


def test_a_worker_is_used_once_the_registration_tells_of_it():
    world = _world(nodes=1, workers=0, slices=1)
    world.add_worker('roomy', 'dc1', capacity=builders.roomy())
    world.run(5.0)
    late = world.add_worker('late', 'dc1')
    revision = world.vm_revision
    (slice_,) = world.nodes_by_name['n0'].state.slices_by_number.values()

    def check_revision():
        key = schema.node('dc1', 'n0/i0')
        row = world.table.rows_by_key[key][1]
        assert not late.starts or row['vm_revision'] >= revision

    world.on_step.append(check_revision)
    while 'late' not in slice_.ledger.workers_by_name:
        world.run(0.001)
    for number in range(20):
        _submit(world, f'j{number}', tasks=1, run_s=60.0)
        world.run(0.1)
    assert late.starts


@pytest.mark.parametrize('offset_s', [0.0, 0.02, 0.045, 0.052, 0.056, 0.06])
@pytest.mark.parametrize('outage_s', [0.0, HOUR_S])
def test_accepted_jobs_outlive_every_node(offset_s, outage_s):
    world = _world()
    calls = []
    for number in range(60):
        if number % 25 == 24:
            world.answers_to_lose += 1
        node = f'n{number % 3}'
        calls.append(_submit(world, f'j{number}', node, tasks=3, run_s=1.0))
        world.run(0.05)
    world.run(offset_s)
    world.store_down = outage_s > 0
    _replace_all(world, ['m0', 'm1'])
    world.run(outage_s)
    world.store_down = False
    world.run(120.0)
    accepted = [call for call in calls if call.answer]
    assert len(accepted) > 20
    for call in accepted:
        reply = world.request_job_act(
            'm0', call.name, 'show', 'field', builders.token()
        )
        world.run(0.2)
        assert reply.answer and reply.answer['state'] == 'done'
    _check(world)


def test_records_are_written_a_few_times_a_second():
    world = _world(workers=24)
    for number in range(40):
        _submit(world, f'j{number}', tasks=200, run_s=0.5)
    world.run(5.0)
    before = world.table.writes
    world.run(20.0)
    workers = world.workers_by_name.values()
    assert sum(worker.starts for worker in workers) > 1000
    per_node = (world.table.writes - before) / 20.0 / 3
    assert per_node < 8.0


@hypothesis.given(st.lists(st.integers(0, 30)))
def test_an_index_set_holds_what_was_added(numbers):
    index_set = _indices.IndexSet()
    for number in numbers:
        index_set.add(number)
    again = _indices.IndexSet(index_set.to_ranges())
    assert {n for n in range(31) if n in again} == set(numbers)
    assert len(index_set) == len(again) == len(set(numbers))
    ranges = index_set.to_ranges()
    assert all(
        low > before + 1
        for (_, before), (low, _) in itertools.pairwise(ranges)
    )
