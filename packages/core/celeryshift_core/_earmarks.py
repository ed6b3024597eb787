"""Earmarks: workers reserved for large tasks that small ones would starve.

A worker whose free capacity has grown is earmarked for a task that has waited
long and that would fit on the worker if it were empty. It then gets no other
work until the task fits, for a bounded time. The number of workers earmarked
at once is bounded too. Urgent tasks may use the free capacity nevertheless.
"""

from celeryshift_core import _crashes
from celeryshift_core import _explain
from celeryshift_core import _ledger
from celeryshift_core import _size
from celeryshift_core import _size_estimates
from celeryshift_core import _state
from celeryshift_core import _tasks
from celeryshift_core import _timers

MIN_WAIT_S = 2.0
EARMARK_S = 60.0
MAX_EARMARKED_DIVISOR = 8
WORKERS_EXAMINED = 8
SEARCH_INTERVAL_S = 0.05


def max_earmarked(slice_: _state.Slice, upstream: str) -> int:
    """Return the number of workers that may be earmarked at once."""
    return max(1, slice_.ledger.count_live(upstream) // MAX_EARMARKED_DIVISOR)


def earmark(
    state: _state.State, slice_: _state.Slice, worker: _ledger.Worker
) -> None:
    """Earmark a worker if a large task has waited long for one."""
    if state.now < slice_.earmark_after:
        return
    earmarked = slice_.earmarked_by_upstream.setdefault(worker.upstream, {})
    if not worker.usable or len(earmarked) >= max_earmarked(
        slice_, worker.upstream
    ):
        return
    queued_before = state.now - MIN_WAIT_S
    task = slice_.queue.next_blocked(
        worker.upstream, queued_before, earmarked.values()
    )
    if task is None:
        slice_.earmark_after = state.now + SEARCH_INTERVAL_S
        return
    if not _size_estimates.booked_size(state, task).fits(worker.capacity):
        return
    earmarked[worker.name] = task.id
    worker.earmarked_for = task.id
    slice_.ledger.refresh(worker)
    key = _timers.EarmarkEnds(slice_.number, slice_.epoch, worker.name)
    state.timers.set(key, state.now + EARMARK_S)
    why = f'no room for {EARMARK_S:.0f} s at most, but for this task'
    task.record_decision(state.now, 'worker saved', f'{worker.name}: {why}')
    state.counters['workers.saved'] += 1


def pop_fitting_task(
    state: _state.State,
    slice_: _state.Slice,
    worker: _ledger.Worker,
    slots: int,
) -> _tasks.Task | None:
    """Return the task that a worker is earmarked for if it fits there.

    The task must also need no more than the given slots. The earmark ends
    then, and also if the task is no longer queued.
    """
    task = slice_.tasks_by_id.get(worker.earmarked_for)
    if task is None or task.state is not _tasks.TaskState.QUEUED:
        _end(state, slice_, worker)
        return None
    if not worker.usable or task.size.slots > slots:
        return None
    if not _size_estimates.booked_size(state, task).fits(worker.free):
        return None
    if not _crashes.may_start(slice_, task, worker):
        return None
    _end(state, slice_, worker)
    return task


def handle_earmark_end(
    state: _state.State, timer: _timers.EarmarkEnds, outbox: _state.Outbox
) -> None:
    """End an earmark that has reached its time limit."""
    slice_ = _state.owned_slice(state, timer)
    if slice_ is None:
        return
    worker = slice_.ledger.workers_by_name.get(timer.worker)
    if worker is None:
        for earmarked in slice_.earmarked_by_upstream.values():
            earmarked.pop(timer.worker, None)
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
    """Return an earmarked worker with capacity for an urgent task."""
    earmarked = slice_.earmarked_by_upstream.get(upstream, {})
    for name in list(earmarked)[:WORKERS_EXAMINED]:
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
