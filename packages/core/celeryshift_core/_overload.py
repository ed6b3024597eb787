"""Relief of workers whose runs use more than was booked.

The actual use of a run is booked as soon as it is reported, so that no new
work is placed on a full worker. If the runs use more than the worker has, the
run furthest above its declared size is throttled if processor time is short,
or stopped after a checkpoint if memory is short.
"""

from celeryshift_core import _config
from celeryshift_core import _dispatch
from celeryshift_core import _explain
from celeryshift_core import _lease
from celeryshift_core import _ledger
from celeryshift_core import _state
from celeryshift_core import _tasks
from celeryshift_core import effects


def relieve(
    state: _state.State,
    slice_: _state.Slice,
    worker: _ledger.Worker,
    outbox: _state.Outbox,
) -> None:
    """Throttle or stop one run if the runs use more than the worker has."""
    shortage = worker.used - worker.capacity
    if shortage.memory_mb > 0:
        _stop_one(state, slice_, worker, outbox)
    elif shortage.cpu_milli > 0:
        _throttle_one(state, slice_, worker, outbox)


def _stop_one(
    state: _state.State,
    slice_: _state.Slice,
    worker: _ledger.Worker,
    outbox: _state.Outbox,
) -> None:
    excess, task = 0, None
    for run_id, booking in worker.bookings_by_run.items():
        candidate = slice_.tasks_by_id.get(_tasks.task_id_of_run(run_id))
        if candidate is None or candidate.run_id != run_id:
            continue
        if candidate.state is _tasks.TaskState.STOPPING:
            return
        candidate_excess = booking.size.memory_mb - candidate.size.memory_mb
        if candidate_excess > excess and _may_stop(state, candidate):
            excess, task = candidate_excess, candidate
    if task is not None:
        why = f'{worker.name} is full: {excess} MB more than declared'
        _explain.record_decision(state, slice_, task, 'stopped', why)
        _dispatch.stop(state, slice_, task, outbox, checkpoint=True)
        state.counters['overload.stopped'] += 1


def _throttle_one(
    state: _state.State,
    slice_: _state.Slice,
    worker: _ledger.Worker,
    outbox: _state.Outbox,
) -> None:
    excess, task = 0, None
    for run_id, booking in worker.bookings_by_run.items():
        candidate = slice_.tasks_by_id.get(_tasks.task_id_of_run(run_id))
        if (
            candidate is None
            or candidate.is_request
            or candidate.throttled_run == run_id
        ):
            continue
        candidate_excess = booking.size.cpu_milli - candidate.size.cpu_milli
        if candidate_excess > excess:
            excess, task = candidate_excess, candidate
    if task is not None:
        task.throttled_run = task.run_id
        why = f'{worker.name} is full: {excess} mCPU more than declared'
        _explain.record_decision(state, slice_, task, 'throttled', why)
        outbox.append(
            effects.ThrottleTask(
                slice_.number,
                slice_.epoch,
                worker.name,
                worker.address,
                task.run_id,
                _lease.valid_until(state),
            )
        )
        state.counters['overload.throttled'] += 1


def _may_stop(state: _state.State, task: _tasks.Task) -> bool:
    kind = state.config.kinds.get(task.kind)
    return (
        kind is not None
        and not task.is_request
        and kind.repeatable
        and kind.policy is not _config.Policy.GANG
    )
