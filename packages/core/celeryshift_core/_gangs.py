"""Gangs: jobs whose tasks start together once capacity for all is reserved.

One task of the job represents it in the queue. When its turn comes, capacity
is reserved as it becomes free, for a bounded time. A gang that did not get
all of it releases what it has, pauses, and reserves for twice as long the
next time. This way small tasks do not starve gangs, and gangs do not block
small tasks indefinitely.
"""

from celeryshift_core import _allotments
from celeryshift_core import _config
from celeryshift_core import _dispatch
from celeryshift_core import _explain
from celeryshift_core import _ledger
from celeryshift_core import _limits
from celeryshift_core import _placement_strategies
from celeryshift_core import _size
from celeryshift_core import _size_estimates
from celeryshift_core import _state
from celeryshift_core import _tasks
from celeryshift_core import _timers

WINDOW_S = 10.0
MAX_WINDOW_S = 3600.0
PAUSE_S = 2.0
MAX_TASKS_PER_EVENT = 256
MAX_RELEASED = 8

GangPhase = _tasks.GangPhase
TaskState = _tasks.TaskState

STRATEGY = _placement_strategies.BY_POLICY[_config.Policy.GANG]


def is_gang(
    state: _state.State, slice_: _state.Slice, job: _tasks.Job
) -> bool:
    """Return whether the tasks of a job have to start together."""
    if job.id in slice_.gangs_by_job:
        return True
    kind = state.config.kinds.get(job.kind)
    return kind is not None and kind.policy is _config.Policy.GANG


def gather(
    state: _state.State,
    slice_: _state.Slice,
    job: _tasks.Job,
    task: _tasks.Task,
    outbox: _state.Outbox,
) -> None:
    """Add a task that certainly runs nowhere to its waiting gang.

    If other tasks of the gang run, they are stopped first to restart it.
    """
    gang = slice_.gangs_by_job.get(job.id)
    if gang is None:
        gang = _tasks.Gang(job, task.upstream, WINDOW_S)
        slice_.gangs_by_job[job.id] = gang
    task.state = TaskState.GATHERING
    gang.reserved.pop(task.id, None)
    gang.waiting[task.id] = task
    if gang.phase in (GangPhase.SENDING, GangPhase.RUNNING):
        _restart(state, slice_, gang, task, outbox)
    elif gang.phase is GangPhase.GATHERING and job.running:
        _stop_running(state, slice_, gang, outbox)
    _queue_if_gathered(state, slice_, gang)


def discard_ended(
    state: _state.State,
    slice_: _state.Slice,
    job: _tasks.Job,
    task: _tasks.Task,
) -> None:
    """Remove a task that has ended from its gang."""
    gang = slice_.gangs_by_job.get(job.id)
    if gang is not None:
        gang.waiting.pop(task.id, None)
        gang.reserved.pop(task.id, None)
        _queue_if_gathered(state, slice_, gang)


def withdraw(
    state: _state.State, slice_: _state.Slice, task: _tasks.Task
) -> None:
    """Remove a task of a cancelled job from its gang."""
    gang = slice_.gangs_by_job[task.job]
    if gang.reserved.pop(task.id, None) is not None:
        _dispatch.release_task(state, slice_, task)
    gang.waiting.pop(task.id, None)
    if not gang.waiting and not gang.reserved:
        _stop_reserving(state, slice_, gang)


def begin(
    state: _state.State,
    slice_: _state.Slice,
    task: _tasks.Task,
    outbox: _state.Outbox,
) -> bool:
    """Begin to reserve capacity for the gang that a task represents.

    One gang at a time reserves on an upstream: two of them could otherwise
    each hold a part of the capacity, with not enough left for either. Returns
    False if another gang reserves there now.
    """
    if task.upstream in slice_.reserving_by_upstream:
        task.record_decision(state.now, 'waits', 'another gang reserves room')
        return False
    slice_.queue.pop(task)
    gang = slice_.gangs_by_job.get(task.job)
    if gang is None or gang.phase is not GangPhase.QUEUED:
        gather(state, slice_, slice_.jobs_by_id[task.job], task, outbox)
        return True
    task.state = TaskState.GATHERING
    gang.phase = GangPhase.RESERVING
    slice_.reserving_by_upstream[gang.upstream] = gang.job.id
    key = _timers.GangDue(slice_.number, slice_.epoch, gang.job.id)
    state.timers.set(key, state.now + gang.window_s)
    return True


def reserve(
    state: _state.State, slice_: _state.Slice, gang: _tasks.Gang
) -> bool:
    """Reserve free capacity; return whether all tasks have theirs."""
    for task in list(gang.waiting.values())[:MAX_TASKS_PER_EVENT]:
        if not _limits.may_start(state, slice_, task):
            task.record_decision(
                state.now, 'waits', 'team is at its upper limit'
            )
            slots = len(gang.waiting) * task.size.slots
            _allotments.request_slots(state, slice_, task.team, slots)
            return False
        size = _size_estimates.booked_size(state, task)
        worker = _choose_worker(slice_, task, size)
        if worker is None:
            task.record_decision(
                state.now, 'waits', 'no room for the whole gang yet'
            )
            return False
        _dispatch.book(state, slice_, task, worker, size)
        task.state = TaskState.RESERVED
        del gang.waiting[task.id]
        gang.reserved[task.id] = task
    if gang.waiting:
        continue_later(state, slice_)
    return not gang.waiting


def send(
    state: _state.State,
    slice_: _state.Slice,
    gang: _tasks.Gang,
    outbox: _state.Outbox,
) -> None:
    """Start the tasks of a gang whose capacity is reserved."""
    gang.phase = GangPhase.SENDING
    for task in list(gang.reserved.values())[:MAX_TASKS_PER_EVENT]:
        del gang.reserved[task.id]
        task.state = TaskState.STARTING
        state.counters['placements'] += 1
        _dispatch.send(state, slice_, task, outbox)
    if gang.reserved:
        continue_later(state, slice_)
    else:
        _stop_reserving(state, slice_, gang)
        gang.phase = GangPhase.RUNNING
        gang.window_s = WINDOW_S


def release_for_urgent(
    state: _state.State,
    slice_: _state.Slice,
    task: _tasks.Task,
    size: _size.Size,
) -> _ledger.Worker | None:
    """Release reservations of a gang until an urgent task fits on a worker.

    Releases at most MAX_RELEASED, the latest first. Returns the worker, or
    None if none fits.
    """
    gang = _reserving_gang(slice_, task.upstream)
    if gang is None or gang.phase is not GangPhase.RESERVING:
        return None
    for other in list(gang.reserved.values())[: -MAX_RELEASED - 1 : -1]:
        worker = slice_.ledger.workers_by_name[other.worker]
        _unreserve(state, slice_, gang, other, 'urgent work needs the room')
        if size.fits(worker.free):
            return worker
    return None


def pause(
    state: _state.State, slice_: _state.Slice, gang: _tasks.Gang, why: str
) -> None:
    """Release the reservations of a gang and retry later."""
    for task in list(gang.reserved.values()):
        _unreserve(state, slice_, gang, task, why)
    _stop_reserving(state, slice_, gang)
    gang.phase = GangPhase.PAUSED
    gang.window_s = min(2 * gang.window_s, MAX_WINDOW_S)
    key = _timers.GangDue(slice_.number, slice_.epoch, gang.job.id)
    state.timers.set(key, state.now + PAUSE_S)


def handle_due(
    state: _state.State, timer: _timers.GangDue, outbox: _state.Outbox
) -> None:
    """End the reservation window of a gang, or its pause."""
    slice_ = _state.owned_slice(state, timer)
    if slice_ is None:
        return
    gang = slice_.gangs_by_job.get(timer.job)
    if gang is None:
        return
    if gang.phase is GangPhase.RESERVING:
        booked = len(gang.reserved)
        total = booked + len(gang.waiting)
        why = f'room for {booked} of {total} within {gang.window_s:.0f} s'
        pause(state, slice_, gang, why)
    elif gang.phase is GangPhase.PAUSED:
        gang.phase = GangPhase.GATHERING
        _queue_if_gathered(state, slice_, gang)


def release_all(state: _state.State, slice_: _state.Slice) -> None:
    """Release the reservations of a slice that is handed over."""
    for upstream in list(slice_.reserving_by_upstream):
        gang = _reserving_gang(slice_, upstream)
        if gang is not None and gang.phase is GangPhase.RESERVING:
            pause(state, slice_, gang, 'the slice is handed over')


def _restart(
    state: _state.State,
    slice_: _state.Slice,
    gang: _tasks.Gang,
    task: _tasks.Task,
    outbox: _state.Outbox,
) -> None:
    gang.restarts += 1
    gang.claimed = False
    gang.phase = GangPhase.GATHERING
    for other in list(gang.reserved.values()):
        _unreserve(state, slice_, gang, other, 'its gang is restarted')
    _stop_reserving(state, slice_, gang)
    _explain.record_decision(
        state, slice_, task, 'gang restarted', f'restart {gang.restarts}'
    )
    _stop_running(state, slice_, gang, outbox)


def _stop_running(
    state: _state.State,
    slice_: _state.Slice,
    gang: _tasks.Gang,
    outbox: _state.Outbox,
) -> None:
    kind = state.config.kinds.get(gang.job.kind)
    if kind is None or not kind.repeatable:
        # Running tasks must not be repeated, so they run to completion.
        return
    for task_id in sorted(gang.job.running):
        task = slice_.tasks_by_id[task_id]
        if task.state in (TaskState.STARTING, TaskState.RUNNING):
            task.record_decision(state.now, 'stopped', 'its gang is restarted')
            _dispatch.stop(state, slice_, task, outbox)


def _queue_if_gathered(
    state: _state.State, slice_: _state.Slice, gang: _tasks.Gang
) -> None:
    if gang.phase is GangPhase.GATHERING and gang.is_gathered:
        gang.phase = GangPhase.QUEUED
        slice_.queue.push(next(iter(gang.waiting.values())))
        state.slices_to_place[slice_.number] = None


def _unreserve(
    state: _state.State,
    slice_: _state.Slice,
    gang: _tasks.Gang,
    task: _tasks.Task,
    why: str,
) -> None:
    _dispatch.release_task(state, slice_, task)
    del gang.reserved[task.id]
    gang.waiting[task.id] = task
    task.state = TaskState.GATHERING
    _explain.record_decision(state, slice_, task, 'released', why)


def _stop_reserving(
    state: _state.State, slice_: _state.Slice, gang: _tasks.Gang
) -> None:
    """Allow another gang to reserve on the upstream."""
    if slice_.reserving_by_upstream.get(gang.upstream) == gang.job.id:
        del slice_.reserving_by_upstream[gang.upstream]
        state.slices_to_place[slice_.number] = None


def _reserving_gang(slice_: _state.Slice, upstream: str) -> _tasks.Gang | None:
    job = slice_.reserving_by_upstream.get(upstream)
    return slice_.gangs_by_job.get(job) if job else None


def _choose_worker(
    slice_: _state.Slice, task: _tasks.Task, size: _size.Size
) -> _ledger.Worker | None:
    candidates = STRATEGY.find(slice_, task, size)
    return min(
        candidates,
        key=lambda worker: STRATEGY.rank(slice_, task, worker),
        default=None,
    )


def continue_later(state: _state.State, slice_: _state.Slice) -> None:
    """Continue placement in another event, to bound the work of each."""
    key = _timers.PlaceDue(slice_.number, slice_.epoch)
    state.timers.set(key, state.now)
