"""Saving of workers for large tasks that small ones keep out.

A worker on which room comes up is saved for a task that has waited long and
would fit on it if it were empty enough: it takes nothing else until the task
fits, for a bounded time, and a bounded part of the workers is saved at once.
Urgent work may use the room all the same.
"""

from celeryshift_core import _explain
from celeryshift_core import _ledger
from celeryshift_core import _size
from celeryshift_core import _size_estimates
from celeryshift_core import _state
from celeryshift_core import _tasks
from celeryshift_core import _timers

PATIENCE_S = 2.0
SAVED_S = 60.0
MOST_DIVISOR = 8
LOOKED_AT = 8
LOOK_AGAIN_S = 0.05


def max_earmarked(slice_: _state.Slice, upstream: str) -> int:
    """Give the number of workers that may be saved at once."""
    return max(1, slice_.ledger.count_live(upstream) // MOST_DIVISOR)


def earmark(
    state: _state.State, slice_: _state.Slice, worker: _ledger.Worker
) -> None:
    """Save a worker, if some task has waited long for one like it."""
    if state.now < slice_.earmark_after:
        return
    saved = slice_.earmarked_by_upstream.setdefault(worker.upstream, {})
    if not worker.usable or len(saved) >= max_earmarked(
        slice_, worker.upstream
    ):
        return
    before = state.now - PATIENCE_S
    task = slice_.queue.next_blocked(worker.upstream, before, saved.values())
    if task is None:
        slice_.earmark_after = state.now + LOOK_AGAIN_S
        return
    if not _size_estimates.booked_size(state, task).fits(worker.capacity):
        return
    saved[worker.name] = task.id
    worker.earmarked_for = task.id
    slice_.ledger.refresh(worker)
    key = _timers.EarmarkEnds(slice_.number, slice_.epoch, worker.name)
    state.timers.set(key, state.now + SAVED_S)
    why = f'no room for {SAVED_S:.0f} s at most, but for this task'
    task.record_decision(state.now, 'worker saved', f'{worker.name}: {why}')
    state.counters['workers.saved'] += 1


def pop_fitting_task(
    state: _state.State,
    slice_: _state.Slice,
    worker: _ledger.Worker,
    slots: int,
) -> _tasks.Task | None:
    """Give the task that a worker is saved for, once it fits there.

    It fits if it also takes no more slots than may be used. The worker is
    saved no more then, or if nothing waits for it.
    """
    task = slice_.tasks_by_id.get(worker.earmarked_for)
    if task is None or task.state is not _tasks.TaskState.QUEUED:
        _end(state, slice_, worker)
        return None
    if not worker.usable or task.size.slots > slots:
        return None
    if not _size_estimates.booked_size(state, task).fits(worker.free):
        return None
    _end(state, slice_, worker)
    return task


def handle_earmark_ends(
    state: _state.State, timer: _timers.EarmarkEnds, outbox: _state.Outbox
) -> None:
    """Save a worker no more that has been saved for long."""
    slice_ = _state.owned_slice(state, timer)
    if slice_ is None:
        return
    worker = slice_.ledger.workers_by_name.get(timer.worker)
    if worker is None:
        for saved in slice_.earmarked_by_upstream.values():
            saved.pop(timer.worker, None)
        return
    task = slice_.tasks_by_id.get(worker.earmarked_for)
    if task is not None:
        why = f'{worker.name} has not got enough room in time'
        _explain.record_decision(state, slice_, task, 'released', why)
    _end(state, slice_, worker)
    state.slices_to_place[slice_.number] = None


def find_for_urgent(
    slice_: _state.Slice, upstream: str, size: _size.Size
) -> _ledger.Worker | None:
    """Give a saved worker that has room for an urgent task."""
    saved = slice_.earmarked_by_upstream.get(upstream, {})
    for name in list(saved)[:LOOKED_AT]:
        worker = slice_.ledger.workers_by_name.get(name)
        if worker and worker.usable and size.fits(worker.free):
            return worker
    return None


def _end(
    state: _state.State, slice_: _state.Slice, worker: _ledger.Worker
) -> None:
    worker.earmarked_for = ''
    slice_.earmarked_by_upstream[worker.upstream].pop(worker.name, None)
    key = _timers.EarmarkEnds(slice_.number, slice_.epoch, worker.name)
    state.timers.cancel(key)
    slice_.ledger.refresh(worker)
