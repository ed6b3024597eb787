"""Workers that are full in fact: what runs there uses more than was booked.

The room that a run really uses is booked as soon as it is reported, so that
no new work is placed on a full worker. If the worker has less than its runs
use, the run furthest above its declared size gives way: it is throttled for
processor time, and stopped after a checkpoint for memory.
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
    """Let one run give way if a worker has less than its runs use."""
    lack = worker.used - worker.capacity
    if lack.memory_mb > 0:
        _stop_one(state, slice_, worker, outbox)
    elif lack.cpu_milli > 0:
        _throttle_one(state, slice_, worker, outbox)


def _stop_one(
    state: _state.State,
    slice_: _state.Slice,
    worker: _ledger.Worker,
    outbox: _state.Outbox,
) -> None:
    excess, task = 0, None
    for run_id, hold in worker.bookings_by_run.items():
        other = slice_.tasks_by_id.get(_tasks.task_id_of_run(run_id))
        if other is None or other.run_id != run_id:
            continue
        if other.state is _tasks.TaskState.STOPPING:
            return
        above = hold.size.memory_mb - other.size.memory_mb
        if above > excess and _may_stop(state, other):
            excess, task = above, other
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
    for run_id, hold in worker.bookings_by_run.items():
        other = slice_.tasks_by_id.get(_tasks.task_id_of_run(run_id))
        if other is None or other.is_request or other.throttled == run_id:
            continue
        above = hold.size.cpu_milli - other.size.cpu_milli
        if above > excess:
            excess, task = above, other
    if task is not None:
        task.throttled = task.run_id
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
