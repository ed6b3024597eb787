"""Placement: which waiting task starts next, and on which worker."""

from celeryshift_core import _config
from celeryshift_core import _gangs
from celeryshift_core import _headroom
from celeryshift_core import _holds
from celeryshift_core import _launch
from celeryshift_core import _learning
from celeryshift_core import _ledger
from celeryshift_core import _limits
from celeryshift_core import _once
from celeryshift_core import _placers
from celeryshift_core import _preemption
from celeryshift_core import _queue
from celeryshift_core import _rights
from celeryshift_core import _saving
from celeryshift_core import _size
from celeryshift_core import _state
from celeryshift_core import _tasks
from celeryshift_core import _timers
from celeryshift_core import _waits

MAX_HINTS = 32
STARTS_PER_EVENT = 512
SEARCH_AGAIN_S = 1.0


def pump_touched(state: _state.State, out: _state.Out) -> None:
    """Start what can start on each slice that an event has touched."""
    while state.touched:
        number, _ = state.touched.popitem()
        held = state.slices_by_number.get(number)
        if held is not None:
            pump(state, held, out)


def pump(state: _state.State, held: _state.Slice, out: _state.Out) -> None:
    """Start waiting tasks as long as any of those next in line has room."""
    if not _may_place(state, held):
        return
    _reopen(state, held, out)
    held.queue.let_in(
        lambda upstream, size: _headroom.allows(
            state, held, upstream, size.slots
        )
    )
    _start_tier(state, held, True, out)
    for job in list(held.reserving_by_upstream.values()):
        _advance(state, held, held.gangs_by_job[job], out)
    _start_tier(state, held, False, out)


def _start_tier(
    state: _state.State, held: _state.Slice, urgent: bool, out: _state.Out
) -> None:
    skipped: set[_queue.TeamKind] = set()
    for _ in range(STARTS_PER_EVENT):
        head = held.queue.next(urgent, skipped)
        if head is None:
            return
        _start(state, held, head, skipped, out)
    _gangs.go_on(state, held)


def _advance(
    state: _state.State,
    held: _state.Slice,
    gang: _tasks.Gang,
    out: _state.Out,
) -> None:
    """Reserve more room for a gang, or start it once it has all."""
    phase = gang.phase
    if gang.job.cancelled:
        return
    if phase is _tasks.GangPhase.RESERVING:
        kind = state.config.kinds.get(gang.job.kind)
        if kind is None or not state.config.takes_work(gang.upstream):
            _gangs.pause(state, held, gang, 'upstream or kind has gone')
        elif not _gangs.reserve(state, held, gang):
            return
        elif kind.repeatable or gang.claimed:
            _gangs.send(state, held, gang, out)
        else:
            _once.claim_gang(state, held, gang, out)
    elif phase is _tasks.GangPhase.SENDING:
        _gangs.send(state, held, gang, out)


def _reopen(state: _state.State, held: _state.Slice, out: _state.Out) -> None:
    """Look again at waiting work that may fit where room has come up."""
    ledger = held.ledger
    held.queue.reopen_due(state.now)
    for upstream, room_by_worker in ledger.take_grown().items():
        if len(room_by_worker) > MAX_HINTS:
            held.queue.reopen_all(upstream)
            continue
        held.queue.reopen(upstream, room_by_worker)
        for name in room_by_worker:
            worker = ledger.workers_by_name[name]
            if worker.saved_for:
                _use_saved(state, held, worker, out)
            else:
                _saving.save(state, held, worker)
    # Workers that are saved no more are looked at by all.
    for upstream, room_by_worker in ledger.take_grown().items():
        held.queue.reopen(upstream, room_by_worker)


def _use_saved(
    state: _state.State,
    held: _state.Slice,
    worker: _ledger.Worker,
    out: _state.Out,
) -> None:
    """Start the task that a worker is saved for, once it fits."""
    free = held.ledger.free_slots(worker.upstream) + worker.free.slots
    kept = _headroom.reserve(state, held, worker.upstream)
    task = _saving.fitting(state, held, worker, free - kept)
    if task is None:
        return
    job = held.jobs_by_id.get(task.job)
    kind = state.config.kinds.get(task.kind)
    if kind is None or _why_not(state, held, task, kind):
        return
    if job is not None and (job.cancelled or job.holds):
        return
    held.queue.leave(task, _tasks.TaskState.STARTING)
    size = _learning.size(state, task)
    _book(state, held, task, kind, worker, size, out)


def _may_place(state: _state.State, held: _state.Slice) -> bool:
    return (
        (held.queue.length > 0 or bool(held.reserving_by_upstream))
        and held.phase is not _state.SlicePhase.RELEASING
        and _rights.holds(state)
    )


def _start(
    state: _state.State,
    held: _state.Slice,
    task: _tasks.Task,
    skipped: set[_queue.TeamKind],
    out: _state.Out,
) -> None:
    """Start the task that is next in a line, or pass over it."""
    job = held.jobs_by_id.get(task.job)
    if job is not None and job.cancelled:
        held.queue.pop(task)
        task.state = _tasks.TaskState.CANCELLED
        return
    if job is not None and _holds.keep(state, held, job, task):
        return
    kind = state.config.kinds.get(task.kind)
    why = _why_not(state, held, task, kind)
    if kind is None or why:
        skipped.add((task.team, task.kind))
        task.note(state.now, 'waits', why)
        return
    if kind.policy is _config.Policy.GANG:
        _start_gang(state, held, task, skipped, out)
        return
    if not task.urgent and not _headroom.allows(
        state, held, task.upstream, task.size.slots
    ):
        _pass_over(state, held, task, 'the room left is kept for urgent work')
        _search_again(state, held, task)
        return
    size = _learning.size(state, task)
    found = _find(state, held, task, kind, size)
    if (
        found
        and not task.urgent
        and not _headroom.allows(state, held, task.upstream, size.slots)
    ):
        held.queue.bar(task)
        task.note(state.now, 'waits', 'the room left is for urgent work')
        return
    worker = _choose(held, task, kind, found)
    if found and worker is None:
        skipped.add((task.team, task.kind))
        task.note(state.now, 'waits', 'it failed where there is room')
        return
    if worker is None and task.urgent:
        worker = _saving.yield_room(held, task.upstream, size)
    if worker is None and task.urgent:
        worker = _gangs.yield_room(state, held, task, size)
    if worker is None:
        why = 'no worker examined has room'
        if task.urgent:
            why = _preemption.make_room(state, held, task, size, out)
        _pass_over(state, held, task, why)
        return
    held.queue.pop(task)
    _book(state, held, task, kind, worker, size, out)


def _pass_over(
    state: _state.State, held: _state.Slice, task: _tasks.Task, why: str
) -> None:
    """Let the tasks of this kind and size wait until room has come up."""
    held.queue.close(task)
    task.note(state.now, 'waits', why)


def _search_again(
    state: _state.State, held: _state.Slice, task: _tasks.Task
) -> None:
    """Look for room again soon, even if none has come up."""
    held.queue.search_again(task, state.now + SEARCH_AGAIN_S)
    key = _timers.SearchDue(held.number, held.epoch)
    state.timers.set_once(key, state.now + SEARCH_AGAIN_S)


def _start_gang(
    state: _state.State,
    held: _state.Slice,
    task: _tasks.Task,
    skipped: set[_queue.TeamKind],
    out: _state.Out,
) -> None:
    if not _gangs.begin(state, held, task, out):
        skipped.add((task.team, task.kind))
        return
    job = held.reserving_by_upstream.get(task.upstream)
    if job == task.job:
        _advance(state, held, held.gangs_by_job[job], out)


def _why_not(
    state: _state.State,
    held: _state.Slice,
    task: _tasks.Task,
    kind: _config.Kind | None,
) -> str:
    if kind is None:
        return 'kind is not configured'
    if not state.config.takes_work(task.upstream):
        return 'upstream is leaving'
    if not _limits.may_start(state, held, task):
        return 'team is at its upper limit'
    return ''


def _book(
    state: _state.State,
    held: _state.Slice,
    task: _tasks.Task,
    kind: _config.Kind,
    worker: _ledger.Worker,
    size: _size.Size,
    out: _state.Out,
) -> None:
    _launch.book(state, held, task, worker, size)
    task.state = _tasks.TaskState.STARTING
    state.counters['placements'] += 1
    _waits.note(state, task)
    if kind.preemptible:
        _preemption.started(state, held, task)
    if kind.repeatable or task.claim_version:
        _launch.send(state, held, task, out)
    else:
        _once.claim(state, held, task, out)


def _find(
    state: _state.State,
    held: _state.Slice,
    task: _tasks.Task,
    kind: _config.Kind,
    size: _size.Size,
) -> list[_ledger.Worker]:
    """List some workers that have room for a task."""
    hints = held.queue.hints(task)
    if hints is not None:
        return list(held.ledger.fitting(hints, size))
    found = _placers.BY_POLICY[kind.policy].find(held, task, size)
    if not found and held.ledger.gave_up(task.upstream):
        _search_again(state, held, task)
    else:
        held.queue.search_again(task, None)
    return found


def _choose(
    held: _state.Slice,
    task: _tasks.Task,
    kind: _config.Kind,
    found: list[_ledger.Worker],
) -> _ledger.Worker | None:
    """Choose a worker, one that has not failed the task if there is any."""
    if 0 < len(task.failed_on) < held.ledger.staying(task.upstream):
        found = [
            worker for worker in found if worker.name not in task.failed_on
        ]
    placer = _placers.BY_POLICY[kind.policy]
    return min(
        found,
        key=lambda worker: placer.rank(held, task, worker),
        default=None,
    )
