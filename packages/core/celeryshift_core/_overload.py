"""Workers that are full in fact: what runs there uses more than was booked.

The room that a run really uses is booked as soon as it is reported, so that
no new work is placed on a full worker. If the worker has less than its runs
use, the run furthest above its declared size gives way: it is throttled for
processor time, and stopped after a checkpoint for memory.
"""

from celeryshift_core import _config
from celeryshift_core import _explain
from celeryshift_core import _launch
from celeryshift_core import _ledger
from celeryshift_core import _rights
from celeryshift_core import _size
from celeryshift_core import _state
from celeryshift_core import _tasks
from celeryshift_core import effects


def used(
    state: _state.State,
    held: _state.Slice,
    worker: _ledger.Worker,
    run_id: str,
    size: _size.Size,
    out: _state.Out,
) -> None:
    """Book what a run really uses, and relieve its worker if need be."""
    _launch.grow(state, held, worker, run_id, size)
    lack = worker.used - worker.capacity
    if lack.memory_mb > 0:
        _stop_one(state, held, worker, out)
    elif lack.cpu_milli > 0:
        _throttle_one(state, held, worker, out)


def _stop_one(
    state: _state.State,
    held: _state.Slice,
    worker: _ledger.Worker,
    out: _state.Out,
) -> None:
    excess, task = 0, None
    for run_id, hold in worker.holds_by_run.items():
        other = held.tasks_by_id.get(_tasks.base_id(run_id))
        if other is None or other.run_id != run_id:
            continue
        if other.state is _tasks.TaskState.STOPPING:
            return
        above = hold.size.memory_mb - other.size.memory_mb
        if above > excess and _may_stop(state, other):
            excess, task = above, other
    if task is not None:
        why = f'{worker.name} is full: {excess} MB more than declared'
        _explain.decide(state, held, task, 'stopped', why)
        _launch.stop(state, held, task, out, checkpoint=True)
        state.counters['overload.stopped'] += 1


def _throttle_one(
    state: _state.State,
    held: _state.Slice,
    worker: _ledger.Worker,
    out: _state.Out,
) -> None:
    excess, task = 0, None
    for run_id, hold in worker.holds_by_run.items():
        other = held.tasks_by_id.get(_tasks.base_id(run_id))
        if other is None or other.is_request or other.throttled == run_id:
            continue
        above = hold.size.cpu_milli - other.size.cpu_milli
        if above > excess:
            excess, task = above, other
    if task is not None:
        task.throttled = task.run_id
        why = f'{worker.name} is full: {excess} mCPU more than declared'
        _explain.decide(state, held, task, 'throttled', why)
        out.append(
            effects.ThrottleTask(
                held.number,
                held.epoch,
                worker.name,
                worker.address,
                task.run_id,
                _rights.until(state),
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
