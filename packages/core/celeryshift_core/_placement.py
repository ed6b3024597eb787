"""Placement: choice of the next waiting task and of a worker for it."""

from celeryshift_core import _at_most_once
from celeryshift_core import _config
from celeryshift_core import _crashes
from celeryshift_core import _dispatch
from celeryshift_core import _earmarks
from celeryshift_core import _gangs
from celeryshift_core import _headroom
from celeryshift_core import _job_holds
from celeryshift_core import _lease
from celeryshift_core import _ledger
from celeryshift_core import _limits
from celeryshift_core import _placement_strategies
from celeryshift_core import _preemption
from celeryshift_core import _queue
from celeryshift_core import _size
from celeryshift_core import _size_estimates
from celeryshift_core import _state
from celeryshift_core import _tasks
from celeryshift_core import _timers
from celeryshift_core import _wait_times

# If the free capacity of more workers of an upstream has grown, all of its
# workers are searched.
MAX_WORKERS_TO_SEARCH = 32
MAX_STARTS_PER_EVENT = 512
SEARCH_RETRY_S = 1.0


def place_on_marked_slices(state: _state.State, outbox: _state.Outbox) -> None:
    """Place waiting tasks on every slice marked for placement."""
    while state.slices_to_place:
        number, _ = state.slices_to_place.popitem()
        slice_ = state.slices_by_number.get(number)
        if slice_ is not None:
            place_on_slice(state, slice_, outbox)


def place_on_slice(
    state: _state.State, slice_: _state.Slice, outbox: _state.Outbox
) -> None:
    """Start waiting tasks of a slice while they fit, urgent ones first.

    Each call starts a bounded number; a timer continues in another event.
    """
    if not _may_place(state, slice_):
        return
    _reopen_groups(state, slice_, outbox)
    slice_.queue.reopen_for_headroom(
        lambda upstream, size: _headroom.allows(
            state, slice_, upstream, size.slots
        )
    )
    _start_queued(state, slice_, True, outbox)
    for job in list(slice_.reserving_by_upstream.values()):
        _advance_gang(state, slice_, slice_.gangs_by_job[job], outbox)
    _start_queued(state, slice_, False, outbox)


def _start_queued(
    state: _state.State,
    slice_: _state.Slice,
    urgent: bool,
    outbox: _state.Outbox,
) -> None:
    skipped: set[_queue.TeamKind] = set()
    for _ in range(MAX_STARTS_PER_EVENT):
        head = slice_.queue.next(urgent, skipped)
        if head is None:
            return
        _start_next(state, slice_, head, skipped, outbox)
    _gangs.continue_later(state, slice_)


def _advance_gang(
    state: _state.State,
    slice_: _state.Slice,
    gang: _tasks.Gang,
    outbox: _state.Outbox,
) -> None:
    """Reserve capacity for a gang, or start it once all is reserved."""
    phase = gang.phase
    if gang.job.cancelled:
        return
    if phase is _tasks.GangPhase.RESERVING:
        kind = state.config.kinds.get(gang.job.kind)
        if kind is None or not state.config.takes_work(gang.upstream):
            _gangs.pause(state, slice_, gang, 'upstream or kind has gone')
        elif not _gangs.reserve(state, slice_, gang):
            return
        elif kind.repeatable or gang.claimed:
            _gangs.send(state, slice_, gang, outbox)
        else:
            _at_most_once.claim_gang(state, slice_, gang, outbox)
    elif phase is _tasks.GangPhase.SENDING:
        _gangs.send(state, slice_, gang, outbox)


def _reopen_groups(
    state: _state.State, slice_: _state.Slice, outbox: _state.Outbox
) -> None:
    """Reopen groups of waiting tasks that may fit into freed capacity."""
    ledger = slice_.ledger
    slice_.queue.reopen_due(state.now)
    for upstream, free_by_worker in ledger.pop_grown().items():
        if len(free_by_worker) > MAX_WORKERS_TO_SEARCH:
            slice_.queue.reopen_all(upstream)
            continue
        slice_.queue.reopen(upstream, free_by_worker)
        for name in free_by_worker:
            worker = ledger.workers_by_name[name]
            if worker.earmarked_for:
                _start_earmarked(state, slice_, worker, outbox)
            else:
                _earmarks.earmark(state, slice_, worker)
    # The end of an earmark above frees the worker for tasks of other groups.
    for upstream, free_by_worker in ledger.pop_grown().items():
        slice_.queue.reopen(upstream, free_by_worker)


def _start_earmarked(
    state: _state.State,
    slice_: _state.Slice,
    worker: _ledger.Worker,
    outbox: _state.Outbox,
) -> None:
    """Start the task that a worker is earmarked for, once it fits."""
    # The ledger does not count the free slots of an earmarked worker.
    free = slice_.ledger.free_slots(worker.upstream) + worker.free.slots
    headroom = _headroom.headroom_slots(state, slice_, worker.upstream)
    task = _earmarks.pop_fitting_task(state, slice_, worker, free - headroom)
    if task is None:
        return
    job = slice_.jobs_by_id.get(task.job)
    kind = state.config.kinds.get(task.kind)
    if kind is None or _blocking_reason(state, slice_, task, kind):
        return
    if job is not None and (job.cancelled or job.hold_count):
        return
    slice_.queue.discard(task, _tasks.TaskState.STARTING)
    size = _size_estimates.booked_size(state, task)
    _place(state, slice_, task, kind, worker, size, outbox)


def _may_place(state: _state.State, slice_: _state.Slice) -> bool:
    return (
        (slice_.queue.length > 0 or bool(slice_.reserving_by_upstream))
        and slice_.phase is not _state.SlicePhase.RELEASING
        and _lease.is_valid(state)
    )


def _start_next(
    state: _state.State,
    slice_: _state.Slice,
    task: _tasks.Task,
    skipped: set[_queue.TeamKind],
    outbox: _state.Outbox,
) -> None:
    """Start the task at the front of its FIFO, or skip it."""
    job = slice_.jobs_by_id.get(task.job)
    if job is not None and job.cancelled:
        slice_.queue.pop(task)
        task.state = _tasks.TaskState.CANCELLED
        return
    if job is not None and _job_holds.hold_task(state, slice_, job, task):
        return
    kind = state.config.kinds.get(task.kind)
    why = _blocking_reason(state, slice_, task, kind)
    if kind is None or why:
        skipped.add((task.team, task.kind))
        task.record_decision(state.now, 'waits', why)
        return
    if kind.policy is _config.Policy.GANG:
        _start_gang(state, slice_, task, skipped, outbox)
        return
    if not task.urgent and not _headroom.allows(
        state, slice_, task.upstream, task.size.slots
    ):
        _close_group(
            state, slice_, task, 'the room left is kept for urgent work'
        )
        _schedule_search(state, slice_, task)
        return
    # May be larger than the declared size, which was checked above.
    size = _size_estimates.booked_size(state, task)
    candidates = _find_workers(state, slice_, task, kind, size)
    if (
        candidates
        and not task.urgent
        and not _headroom.allows(state, slice_, task.upstream, size.slots)
    ):
        slice_.queue.close_for_headroom(task)
        task.record_decision(
            state.now, 'waits', 'the room left is for urgent work'
        )
        return
    if task.on_trial and not candidates:
        _close_group(state, slice_, task, 'no worker for its trial yet')
        _schedule_search(state, slice_, task)
        return
    worker = _choose_worker(slice_, task, kind, candidates)
    if candidates and worker is None:
        skipped.add((task.team, task.kind))
        task.record_decision(
            state.now, 'waits', 'it failed where there is room'
        )
        return
    if worker is None and task.urgent:
        worker = _earmarks.find_for_urgent(slice_, task.upstream, size)
    if worker is None and task.urgent:
        worker = _gangs.release_for_urgent(state, slice_, task, size)
    if worker is None:
        why = 'no worker examined has room'
        if task.urgent:
            why = _preemption.preempt_for_urgent(
                state, slice_, task, size, outbox
            )
        _close_group(state, slice_, task, why)
        return
    slice_.queue.pop(task)
    _place(state, slice_, task, kind, worker, size, outbox)


def _close_group(
    state: _state.State, slice_: _state.Slice, task: _tasks.Task, why: str
) -> None:
    """Close the group of a task until capacity is freed."""
    slice_.queue.close_group(task)
    task.record_decision(state.now, 'waits', why)


def _schedule_search(
    state: _state.State, slice_: _state.Slice, task: _tasks.Task
) -> None:
    """Search again after a delay, even if no capacity is freed.

    A search that gave up early may have missed a worker, and the headroom
    also shrinks with time.
    """
    slice_.queue.set_search_at(task, state.now + SEARCH_RETRY_S)
    key = _timers.SearchDue(slice_.number, slice_.epoch)
    state.timers.set_once(key, state.now + SEARCH_RETRY_S)


def _start_gang(
    state: _state.State,
    slice_: _state.Slice,
    task: _tasks.Task,
    skipped: set[_queue.TeamKind],
    outbox: _state.Outbox,
) -> None:
    if not _gangs.begin(state, slice_, task, outbox):
        skipped.add((task.team, task.kind))
        return
    job = slice_.reserving_by_upstream.get(task.upstream)
    if job == task.job:
        _advance_gang(state, slice_, slice_.gangs_by_job[job], outbox)


def _blocking_reason(
    state: _state.State,
    slice_: _state.Slice,
    task: _tasks.Task,
    kind: _config.Kind | None,
) -> str:
    if kind is None:
        return 'kind is not configured'
    if not state.config.takes_work(task.upstream):
        return 'upstream is leaving'
    if not _limits.may_start(state, slice_, task):
        return 'team is at its upper limit'
    return ''


def _place(
    state: _state.State,
    slice_: _state.Slice,
    task: _tasks.Task,
    kind: _config.Kind,
    worker: _ledger.Worker,
    size: _size.Size,
    outbox: _state.Outbox,
) -> None:
    _dispatch.book(state, slice_, task, worker, size)
    task.state = _tasks.TaskState.STARTING
    state.counters['placements'] += 1
    if task.on_trial:
        _crashes.begin_trial(slice_, task, worker)
        state.counters['trials'] += 1
    _wait_times.record_wait(state, task)
    if kind.preemptible:
        _preemption.record_started(state, slice_, task)
    if kind.repeatable or task.claim_version:
        _dispatch.send(state, slice_, task, outbox)
    else:
        _at_most_once.claim_run(state, slice_, task, outbox)


def _find_workers(
    state: _state.State,
    slice_: _state.Slice,
    task: _tasks.Task,
    kind: _config.Kind,
    size: _size.Size,
) -> list[_ledger.Worker]:
    """Return some workers with free capacity for a task.

    Schedules another search if this one gave up before it found a worker.
    """
    if task.on_trial:
        return _crashes.find_workers(slice_, task, size)
    workers_to_search = slice_.queue.workers_to_search(task)
    if workers_to_search is not None:
        return list(slice_.ledger.fitting(workers_to_search, size))
    candidates = _placement_strategies.BY_POLICY[kind.policy].find(
        slice_, task, size
    )
    if not candidates and slice_.ledger.gave_up(task.upstream):
        _schedule_search(state, slice_, task)
    else:
        slice_.queue.set_search_at(task, None)
    return candidates


def _choose_worker(
    slice_: _state.Slice,
    task: _tasks.Task,
    kind: _config.Kind,
    candidates: list[_ledger.Worker],
) -> _ledger.Worker | None:
    """Return the best worker, avoiding those that failed the task.

    Workers that failed the task are used if it has failed on all of them.
    """
    if 0 < len(task.failed_on) < slice_.ledger.count_live(task.upstream):
        candidates = [
            worker
            for worker in candidates
            if worker.name not in task.failed_on
        ]
    if task.on_trial:
        return next(iter(candidates), None)
    strategy = _placement_strategies.BY_POLICY[kind.policy]
    return min(
        candidates,
        key=lambda worker: strategy.rank(slice_, task, worker),
        default=None,
    )
