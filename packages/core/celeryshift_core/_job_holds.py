"""Holds of jobs that fail on several workers, or many times in a row.

While a job is on hold, its tasks are not placed. After each hold one of them
is tried; the others are queued once a task has succeeded.
"""

import itertools

from celeryshift_core import _explain
from celeryshift_core import _state
from celeryshift_core import _tasks
from celeryshift_core import _timers

HOLD_AFTER_WORKERS = 3
HOLD_AFTER_FAILURES = 16
FIRST_HOLD_S = 30.0
MAX_HOLD_S = 3600.0
MAX_TASKS_PER_EVENT = 512


def record_failure(
    state: _state.State,
    slice_: _state.Slice,
    job: _tasks.Job,
    task: _tasks.Task,
) -> None:
    """Record a failed task, and put its job on hold if needed."""
    job.failed_workers.add(task.worker)
    if job.on_hold or job.id in slice_.gangs_by_job:
        return
    job.failures += 1
    if (
        job.hold_count
        or len(job.failed_workers) >= HOLD_AFTER_WORKERS
        or job.failures >= HOLD_AFTER_FAILURES
    ):
        for_s = min(FIRST_HOLD_S * 2**job.hold_count, MAX_HOLD_S)
        job.hold_count += 1
        job.on_hold = True
        names = ', '.join(sorted(job.failed_workers)[:HOLD_AFTER_WORKERS])
        why = f'for {for_s:.0f} s: it failed on {names}'
        _explain.record_decision(state, slice_, task, 'job held', why)
        state.counters['jobs.held'] += 1
        key = _timers.JobHoldEnds(slice_.number, slice_.epoch, job.id)
        state.timers.set(key, state.now + for_s)


def record_success(
    state: _state.State, slice_: _state.Slice, job: _tasks.Job
) -> None:
    """End the hold of a job after one of its tasks succeeded."""
    job.failed_workers.clear()
    job.failures = 0
    if job.hold_count:
        job.hold_count = 0
        job.on_hold = False
        key = _timers.JobHoldEnds(slice_.number, slice_.epoch, job.id)
        state.timers.set(key, state.now)


def hold_task(
    state: _state.State,
    slice_: _state.Slice,
    job: _tasks.Job,
    task: _tasks.Task,
) -> bool:
    """Hold back a task of a job on hold; return whether it was held."""
    if not job.hold_count or (task.id == job.probe_task and not job.on_hold):
        return False
    slice_.queue.pop(task)
    task.state = _tasks.TaskState.HELD
    task.record_decision(state.now, 'held', 'its job failed too often')
    job.held_tasks[task.id] = task
    return True


def handle_hold_end(
    state: _state.State, timer: _timers.JobHoldEnds, outbox: _state.Outbox
) -> None:
    """Try one task of a job after a hold, or queue all of them.

    All are queued if a task of the job has succeeded.
    """
    slice_ = _state.owned_slice(state, timer)
    if slice_ is None:
        return
    job = slice_.jobs_by_id.get(timer.job)
    if job is None or job.cancelled:
        return
    job.on_hold = False
    max_queued = 1 if job.hold_count else MAX_TASKS_PER_EVENT
    for task in list(itertools.islice(job.held_tasks.values(), max_queued)):
        del job.held_tasks[task.id]
        job.probe_task = task.id
        task.record_decision(state.now, 'queued', 'tried after a hold')
        slice_.queue.push(task)
        state.slices_to_place[slice_.number] = None
    if job.held_tasks and not job.hold_count:
        state.timers.set(timer, state.now)
