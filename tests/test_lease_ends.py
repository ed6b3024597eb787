"""Ends of leases of tasks, as the owner and the worker reckon them."""

from bench import fleets
import builders
import pytest

import celeryshift_core as core
from celeryshift_core import effects
from celeryshift_core import events
from celeryshift_standins import invariants

RUN_S = 60.0
STEP_S = 0.05


@pytest.mark.parametrize('offset_s', [0.0, 0.7, 1.4, 2.1, 2.8, 3.5])
def test_a_task_on_a_cut_off_rack_is_not_started_elsewhere_too_early(offset_s):
    world = builders.one_centre(2, 6, 20.0, slices=1)
    owner = next(
        node
        for node in world.nodes_by_name.values()
        if node.state.slices_by_number
    )
    other = next(n for n in world.nodes_by_name if n != owner.name)
    world.submit(
        other,
        'j',
        'recode',
        'field',
        builders.token(),
        run_s=RUN_S,
    )
    world.run(5.0 + offset_s)
    worker = next(
        name
        for name, worker in world.workers_by_name.items()
        if worker.tasks.running()
    )
    links = world.links
    for source, target in (
        (owner.name, 'platform'),
        (owner.name, other),
        (worker, other),
    ):
        links.cut(world.now, source, target, True)
    world.run(RUN_S)
    spans = world.spans()
    assert len({span.worker for span in spans}) > 1
    assert not list(invariants.overlapping_runs(spans))


def _synced(state, slice_, worker, reports, now):
    return core.reduce(
        state,
        events.WorkerSynced(
            now, slice_.number, slice_.epoch, worker, 'c', reports
        ),
    )


def _start_one(state, slice_):
    for worker in list(slice_.ledger.workers_by_name):
        _synced(state, slice_, worker, [], 0.0)
    fleets.fill_queue(state, slice_, 1, seed=1)
    outbox = core.reduce(state, events.Tick(0.0))
    return next(e for e in outbox if isinstance(e, effects.StartTask))


def _answer(state, start, outcome, now):
    event = events.TaskStarted(
        now, start.slice, start.epoch, start.worker, start.task, outcome
    )
    core.reduce(state, event)


def _started_by(state, at):
    """Return whether a task is started in the steps of time until then."""
    steps = int((at - state.now) / STEP_S)
    times = [state.now + STEP_S * step for step in range(1, steps + 1)]
    return any(
        isinstance(effect, effects.StartTask)
        for now in times
        for effect in core.reduce(state, events.Tick(now))
    )


def test_a_poll_that_goes_on_at_its_worker_postpones_the_end_of_its_leases():
    state, slice_ = builders.build_slice(2, 0)
    start = _start_one(state, slice_)
    _answer(state, start, builders.OK, 0.01)
    # The connection breaks, but the worker renews as its long poll ends.
    _synced(state, slice_, start.worker, None, 0.1)
    renewed_at = state.options.sync_wait_s
    ends_at = renewed_at + state.options.tasks_end_s
    assert not _started_by(state, ends_at)
    assert _started_by(state, ends_at + 1.0)


@pytest.mark.parametrize(
    'outcome', [events.Outcome.OK, events.Outcome.UNKNOWN]
)
def test_a_start_at_a_worker_that_goes_silent_postpones_the_end_of_its_lease(
    outcome,
):
    state, slice_ = builders.build_slice(2, 0)
    first = _start_one(state, slice_)
    _synced(state, slice_, first.worker, None, 5.0)
    _answer(state, first, outcome, 7.0)
    ends_at = 7.0 + state.options.tasks_end_s
    assert not _started_by(state, ends_at - STEP_S)
    assert _started_by(state, ends_at + 1.0)


def test_a_lost_start_is_not_repeated_before_the_leases_of_its_worker_end():
    state, slice_ = builders.build_slice(2, 0)
    start = _start_one(state, slice_)
    _answer(state, start, events.Outcome.UNKNOWN, 2.0)
    _synced(state, slice_, start.worker, None, 5.5)
    ends_at = 5.5 + state.options.tasks_end_s
    assert not _started_by(state, ends_at - STEP_S)
    assert _started_by(state, ends_at + 1.0)
