"""Failing workers, failing jobs and mass cancellation."""

from bench import placement
import builders

from celeryshift_core import _job_holds
from celeryshift_core import _jobs
from celeryshift_core import _quarantine
from celeryshift_core import _timers
from celeryshift_core import events
from celeryshift_standins import _tasktable

MAX_EXAMINED_PER_TASK = 3
SLOTS = 8
# Workers that a task may crash before it is given up.
MAX_CRASHES = 5


def _world(workers=6):
    fleet = builders.fleet()
    fleet.batch('other', builders.UPSTREAM)
    return builders.one_centre(1, workers, custom_fleet=fleet, slices=1)


def _submit(world, name, kind='recode', tasks=1, **payload):
    token = builders.token()
    return world.submit(
        'n0', name, kind, 'field', token, tasks=tasks, **payload
    )


def _ask(world, name, act='show'):
    call = world.request_job_act('n0', name, act, 'field', builders.token())
    world.run(0.1)
    return call.answer


def test_a_worker_on_which_unlike_jobs_fail_is_quarantined():
    world = _world()
    bad = world.workers_by_name['w0']
    bad.tasks.fails_all = True
    for number in range(30):
        kind = ('recode', 'other')[number % 2]
        _submit(world, f'j{number}', kind, tasks=2, run_s=1.0)
    world.run(10.0)
    # Twice its slots: the first failures precede any known success.
    assert bad.starts <= 16
    assert all(_ask(world, f'j{n}')['done'] == 2 for n in range(30))
    explanations = [str(_ask(world, f'j{n}', 'explain')) for n in range(30)]
    assert any(
        'unlike jobs failed in a row' in explanation
        for explanation in explanations
    )
    before = bad.starts
    bad.tasks.fails_all = False
    world.run(_quarantine.FIRST_QUARANTINE_S)
    for number in range(60):
        _submit(world, f'k{number}', tasks=1, run_s=1.0)
    world.run(5.0)
    assert bad.starts == before + 1
    for number in range(60):
        _submit(world, f'l{number}', tasks=1, run_s=1.0)
    world.run(5.0)
    assert bad.starts >= before + 1 + SLOTS - 1


def test_a_worker_that_still_fails_on_probation_gets_one_task():
    world = _world()
    bad = world.workers_by_name['w0']
    bad.tasks.fails_all = True
    for number in range(30):
        kind = ('recode', 'other')[number % 2]
        _submit(world, f'j{number}', kind, tasks=2, run_s=1.0)
    world.run(10.0)
    before = bad.starts
    world.run(_quarantine.FIRST_QUARANTINE_S)
    for number in range(60):
        _submit(world, f'k{number}', tasks=1, run_s=1.0)
    world.run(5.0)
    assert bad.starts == before + 1


def test_a_long_task_without_a_failure_ends_a_probation():
    world = _world()
    node = world.nodes_by_name['n0']
    slice_ = node.state.slices_by_number[0]
    worker = slice_.ledger.workers_by_name['w0']
    worker.probation = True
    _quarantine.handle_quarantine_end(
        node.state, _timers.QuarantineEnds(0, slice_.epoch, 'w0'), []
    )
    _submit(world, 'long', 'keeper', tasks=48, run_s=1000.0)
    world.run(2.0)
    assert len(worker.bookings_by_run) == 1
    world.run(_quarantine.PROBATION_S + 5.0)
    assert len(worker.bookings_by_run) > 1


def test_a_job_that_fails_everywhere_is_held_and_harms_no_worker():
    world = _world()
    _submit(world, 'good', tasks=40, run_s=2.0)
    _submit(world, 'bad', 'other', tasks=500, run_s=0.05, fail=True)
    world.run(20.0)
    starts = [span for span in world.spans() if ':bad.' in span.run_id]
    # The tasks in flight on every slot when the job is put on hold, and the
    # failures that led to the hold.
    assert len(starts) <= 6 * 8 + _job_holds.HOLD_AFTER_FAILURES
    assert _ask(world, 'bad')['state'] == 'held'
    decisions = _ask(world, 'bad', 'explain')['decisions']
    assert decisions[-1]['what'] == 'job held'
    assert 'it failed on w' in decisions[-1]['why']
    assert _ask(world, 'good')['done'] == 40
    state = world.nodes_by_name['n0'].state
    assert not state.slices_by_number[0].quarantined
    before = len(starts)
    world.run(_job_holds.FIRST_HOLD_S + 1.0)
    starts = [span for span in world.spans() if ':bad.' in span.run_id]
    assert 1 <= len(starts) - before <= 3


def test_a_wave_of_cancellations_touches_each_task_a_few_times():
    state, slice_ = builders.build_slice(95, 20_000)
    placement.place_all(state, slice_, [])
    jobs = list(slice_.jobs_by_id.values())
    tasks_examined = slice_.queue.examined
    stops = 0
    for job in jobs:
        outbox = []
        _jobs.cancel(state, slice_, job, outbox)
        stops += len(outbox)
    placement.place_all(state, slice_, [])
    assert slice_.queue.length == 0
    assert stops == slice_.ledger.capacity_slots(builders.UPSTREAM)
    assert (
        slice_.queue.examined - tasks_examined
        <= MAX_EXAMINED_PER_TASK * 20_000
    )


def test_a_large_job_is_cancelled_over_several_events():
    world = _world()
    _submit(world, 'large', tasks=10_000, run_s=30.0)
    world.run(1.0)
    node = world.nodes_by_name['n0']
    slice_ = node.state.slices_by_number[0]
    job = slice_.jobs_by_id['ministry:large']
    _jobs.cancel(node.state, slice_, job, [])
    assert job.cancelled_up_to == _jobs.CANCELLED_PER_EVENT
    for _ in range(20):
        world.feed(node, events.Tick(world.now))
    assert job.cancelled_up_to == 10_000
    assert slice_.queue.length == 0
    world.run(40.0)
    assert _ask(world, 'large')['state'] == 'cancelled'


def test_real_sizes_are_learned_and_room_is_booked_for_them():
    world = _world()
    used = {'cpu_milli': 1_000, 'memory_mb': 60_000}
    _submit(world, 'first', tasks=24, run_s=1.0, used=used)
    world.run(30.0)
    assert _ask(world, 'first')['done'] == 24
    _submit(world, 'second', tasks=12, run_s=5.0, used=used)
    world.run(2.0)
    slice_ = world.nodes_by_name['n0'].state.slices_by_number[0]
    for worker in slice_.ledger.workers_by_name.values():
        assert len(worker.bookings_by_run) == 2
        assert worker.used.memory_mb <= worker.capacity.memory_mb
    state = world.nodes_by_name['n0'].state
    before = state.counters['overload.stopped']
    world.run(10.0)
    assert state.counters['overload.stopped'] == before
    assert _ask(world, 'second')['done'] == 12


def test_a_worker_that_is_full_in_fact_gets_nothing_new_and_is_relieved():
    world = _world(workers=1)
    worker = world.workers_by_name['w0']
    used = {'memory_mb': 50_000}
    _submit(world, 'greedy', tasks=3, run_s=20.0, used=used)
    world.run(1.0)
    _submit(world, 'next', 'other', run_s=1.0)
    world.run(1.0)
    running = [run.id for run in worker.tasks.running()]
    assert len(running) == 3
    assert sum(':next.' in name for name in running) == 1
    assert 'w0 is full' in str(_ask(world, 'greedy', 'explain'))


def test_what_uses_more_processor_time_than_there_is_is_throttled():
    world = _world(workers=1)
    worker = world.workers_by_name['w0']
    used = {'cpu_milli': 20_000}
    _submit(world, 'greedy', tasks=2, run_s=20.0, used=used)
    world.run(1.0)
    runs = worker.tasks.running()
    assert len(runs) == 2
    assert [run.throttled for run in runs].count(True) == 1
    assert 'throttled' in str(_ask(world, 'greedy', 'explain'))


def test_a_new_owner_relieves_a_worker_that_is_full_in_fact():
    world = _world(workers=1)
    worker = world.workers_by_name['w0']
    _submit(world, 'quiet', 'keeper', tasks=6, run_s=1000.0)
    world.run(1.0)
    world.kill('n0')
    for run in worker.tasks.running():
        run.used = {'memory_mb': 40_000}
    world.run(1.0)
    world.add_node('n0', 'dc1')
    world.run(15.0)
    used = sum(run.used.get('memory_mb', 0) for run in worker.tasks.running())
    assert used <= worker.vm.capacity.memory_mb


def test_a_task_that_crashes_worker_after_worker_is_given_up():
    world = _world()
    _submit(world, 'deadly', run_s=60.0)
    crashes = 0
    for _ in range(40):
        world.run(1.0)
        for name, worker in world.workers_by_name.items():
            if worker.tasks.running():
                crashes += 1
                worker.tasks = _tasktable.TaskTable(f'{name}-{crashes}')
    assert crashes <= MAX_CRASHES
