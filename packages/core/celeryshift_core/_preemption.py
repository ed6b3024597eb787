"""Preemption of batch tasks by urgent work.

Only batch tasks of preemptible kinds are preempted, the latest started first,
since they lose the least. Each urgent task waits for one of them at a time.
"""

import itertools

from celeryshift_core import _config
from celeryshift_core import _dispatch
from celeryshift_core import _explain
from celeryshift_core import _size
from celeryshift_core import _state
from celeryshift_core import _tasks

MAX_CANDIDATES = 8


def record_started(
    state: _state.State, slice_: _state.Slice, task: _tasks.Task
) -> None:
    """Record a running task that may be preempted."""
    kind = state.config.kinds.get(task.kind)
    if kind is not None and kind.preemptible:
        tasks = slice_.preemptible_by_upstream.setdefault(task.upstream, {})
        tasks[task.id] = task


def preempt_for_urgent(
    state: _state.State,
    slice_: _state.Slice,
    task: _tasks.Task,
    size: _size.Size,
    outbox: _state.Outbox,
) -> str:
    """Stop a task for an urgent one; return why the latter waits."""
    kind = state.config.kinds.get(task.kind)
    if kind is None or kind.policy is _config.Policy.GANG:
        return 'no worker examined has room'
    if _is_preempting(slice_, task):
        return 'a preempted task is being stopped'
    victim = _choose_victim(slice_, task.upstream, size)
    if victim is None:
        return 'no worker examined has room, and nothing may be preempted'
    task.victim_worker = victim.worker
    task.victim_run = victim.run_id
    _explain.record_decision(
        state, slice_, victim, 'preempted', f'urgent {task.id} needs the room'
    )
    _dispatch.stop(state, slice_, victim, outbox, checkpoint=True)
    slice_.preemptible_by_upstream[victim.upstream].pop(victim.id)
    state.counters['preemptions'] += 1
    return f'{victim.id} is preempted for it'


def _is_preempting(slice_: _state.Slice, task: _tasks.Task) -> bool:
    worker = slice_.ledger.workers_by_name.get(task.victim_worker)
    return worker is not None and task.victim_run in worker.bookings_by_run


def _choose_victim(
    slice_: _state.Slice, upstream: str, size: _size.Size
) -> _tasks.Task | None:
    running = slice_.preemptible_by_upstream.get(upstream, {})
    latest = list(itertools.islice(reversed(running), MAX_CANDIDATES))
    for task_id in latest:
        victim = running[task_id]
        if victim.state not in (
            _tasks.TaskState.RUNNING,
            _tasks.TaskState.STARTING,
        ):
            del running[task_id]
            continue
        worker = slice_.ledger.workers_by_name.get(victim.worker)
        if worker is None or not worker.usable:
            continue
        booking = worker.bookings_by_run.get(victim.run_id)
        if booking and size.fits(worker.free + booking.size):
            return victim
    return None
