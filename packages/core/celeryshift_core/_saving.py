"""Saving of workers for large tasks that small ones keep out.

A worker on which room comes up is saved for a task that has waited long and
would fit on it if it were empty enough: it takes nothing else until the task
fits, for a bounded time, and a bounded part of the workers is saved at once.
Urgent work may use the room all the same.
"""

from celeryshift_core import _explain
from celeryshift_core import _learning
from celeryshift_core import _ledger
from celeryshift_core import _size
from celeryshift_core import _state
from celeryshift_core import _tasks
from celeryshift_core import _timers

PATIENCE_S = 2.0
SAVED_S = 60.0
MOST_DIVISOR = 8
LOOKED_AT = 8
LOOK_AGAIN_S = 0.05


def most(held: _state.Slice, upstream: str) -> int:
    """Give the number of workers that may be saved at once."""
    return max(1, held.ledger.staying(upstream) // MOST_DIVISOR)


def save(
    state: _state.State, held: _state.Slice, worker: _ledger.Worker
) -> None:
    """Save a worker, if some task has waited long for one like it."""
    if state.now < held.save_after:
        return
    saved = held.saved_by_upstream.setdefault(worker.upstream, {})
    if not worker.usable or len(saved) >= most(held, worker.upstream):
        return
    before = state.now - PATIENCE_S
    task = held.queue.kept_out(worker.upstream, before, saved.values())
    if task is None:
        held.save_after = state.now + LOOK_AGAIN_S
        return
    if not _learning.size(state, task).fits(worker.capacity):
        return
    saved[worker.name] = task.id
    worker.saved_for = task.id
    held.ledger.refresh(worker)
    key = _timers.SavedEnds(held.number, held.epoch, worker.name)
    state.timers.set(key, state.now + SAVED_S)
    why = f'no room for {SAVED_S:.0f} s at most, but for this task'
    task.note(state.now, 'worker saved', f'{worker.name}: {why}')
    state.counters['workers.saved'] += 1


def fitting(
    state: _state.State,
    held: _state.Slice,
    worker: _ledger.Worker,
    slots: int,
) -> _tasks.Task | None:
    """Give the task that a worker is saved for, once it fits there.

    It fits if it also takes no more slots than may be used. The worker is
    saved no more then, or if nothing waits for it.
    """
    task = held.tasks_by_id.get(worker.saved_for)
    if task is None or task.state is not _tasks.TaskState.QUEUED:
        _end(state, held, worker)
        return None
    if not worker.usable or task.size.slots > slots:
        return None
    if not _learning.size(state, task).fits(worker.free):
        return None
    _end(state, held, worker)
    return task


def ends(
    state: _state.State, timer: _timers.SavedEnds, out: _state.Out
) -> None:
    """Save a worker no more that has been saved for long."""
    held = _state.owned(state, timer)
    if held is None:
        return
    worker = held.ledger.workers_by_name.get(timer.worker)
    if worker is None:
        for saved in held.saved_by_upstream.values():
            saved.pop(timer.worker, None)
        return
    task = held.tasks_by_id.get(worker.saved_for)
    if task is not None:
        why = f'{worker.name} has not got enough room in time'
        _explain.decide(state, held, task, 'released', why)
    _end(state, held, worker)
    state.touched[held.number] = None


def yield_room(
    held: _state.Slice, upstream: str, size: _size.Size
) -> _ledger.Worker | None:
    """Give a saved worker that has room for an urgent task."""
    saved = held.saved_by_upstream.get(upstream, {})
    for name in list(saved)[:LOOKED_AT]:
        worker = held.ledger.workers_by_name.get(name)
        if worker and worker.usable and size.fits(worker.free):
            return worker
    return None


def _end(
    state: _state.State, held: _state.Slice, worker: _ledger.Worker
) -> None:
    worker.saved_for = ''
    held.saved_by_upstream[worker.upstream].pop(worker.name, None)
    key = _timers.SavedEnds(held.number, held.epoch, worker.name)
    state.timers.cancel(key)
    held.ledger.refresh(worker)
