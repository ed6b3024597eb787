"""Moves of jobs to another slice that has free capacity for them.

A job moves as a whole, and only while all its remaining tasks are waiting.
They leave the queue before the write is sent and are requeued only if it
certainly had no effect. One write deletes the row of the job in this slice,
inserts it in the other and checks the owner of this slice, so that a former
owner cannot move jobs.
"""

from collections.abc import Iterator
import itertools

import attrs

from celeryshift_core import _config
from celeryshift_core import _gangs
from celeryshift_core import _headroom
from celeryshift_core import _job_arrivals
from celeryshift_core import _job_rows
from celeryshift_core import _jobs
from celeryshift_core import _lease
from celeryshift_core import _ownership
from celeryshift_core import _peers
from celeryshift_core import _size
from celeryshift_core import _state
from celeryshift_core import _store
from celeryshift_core import _tasks
from celeryshift_core import _timers
from celeryshift_core import effects
from celeryshift_core import messages
from celeryshift_core import schema

MOVE_INTERVAL_S = 1.0
MIN_WAIT_S = 3.0
JOBS_PER_MOVE = 32
TASKS_PER_MOVE = 2_000
FIFOS_EXAMINED = 16
TASKS_EXAMINED = 32
MAX_TASKS_AT_ONCE = 16

GangPhase = _tasks.GangPhase
TaskState = _tasks.TaskState

NOT_STARTED = (GangPhase.QUEUED, GangPhase.RESERVING, GangPhase.PAUSED)
WAITING = (TaskState.QUEUED, TaskState.GATHERING, TaskState.RESERVED)


@attrs.frozen(slots=True)
class MovePurpose:
    """Purpose of a write that moves jobs to another slice."""

    slice: int
    epoch: int
    data_centre: str
    number: int
    peer: str
    value_by_job: dict[str, dict]


@attrs.frozen(slots=True)
class _Target:
    """Slice to which jobs may move, and its free slots."""

    data_centre: str
    number: int
    free: int
    peer: _state.Peer | None = None


@attrs.frozen(slots=True)
class _Requirements:
    """Requirements of a job; jobs with equal ones move together.

    `at_once` is the number of tasks for which the target must have free
    slots. A `stranded` job has no live worker on its slice, so that it moves
    even if the target has no free slots.
    """

    kind: str
    size: _size.Size
    at_once: int
    stranded: bool


def move(
    state: _state.State, timer: _timers.MoveJobs, outbox: _state.Outbox
) -> None:
    """Move some jobs of one slice to a slice with free capacity."""
    state.timers.set(timer, state.now + MOVE_INTERVAL_S)
    if (
        state.moving
        or state.store.failing_since is not None
        or state.phase is not _state.NodePhase.SERVING
        or not _lease.is_valid(state)
    ):
        return
    slices = [
        slice_
        for slice_ in state.slices_by_number.values()
        if slice_.phase is _state.SlicePhase.READY
        and not slice_.writing_jobs
        and (slice_.queue.length or slice_.reserving_by_upstream)
    ]
    if slices:
        state.rng.shuffle(slices)
    for slice_ in slices:
        for need, jobs in _movable_jobs(state, slice_).items():
            target = _choose_target(state, slice_, need)
            if target is not None:
                _write_move(state, slice_, target, need, jobs, outbox)
                return


def handle_moved(
    state: _state.State,
    purpose: MovePurpose,
    result: _store.WriteResult,
    outbox: _state.Outbox,
) -> None:
    """Handle the outcome of a move: remove the jobs or requeue them."""
    state.moving = False
    slice_ = state.slices_by_number.get(purpose.slice)
    if slice_ is not None and slice_.epoch != purpose.epoch:
        # This node lost the slice and acquired it again, with its stored jobs.
        slice_ = None
    if not result.ok:
        state.counters['jobs.moves_failed'] += 1
        if slice_ is not None:
            _requeue(state, slice_, purpose, result, outbox)
        return
    state.counters['jobs.moved'] += len(purpose.value_by_job)
    if slice_ is not None:
        for job_id in purpose.value_by_job:
            slice_.moving_jobs.discard(job_id)
            _remove_job(slice_, slice_.jobs_by_id[job_id])
    if purpose.peer:
        peer = state.membership.peers_by_id.get(purpose.peer)
        if peer is not None:
            message = messages.JobsMoved([purpose.number])
            outbox.append(effects.SendMessage(peer.id, peer.address, message))
        return
    target = state.slices_by_number.get(purpose.number)
    if target is not None and target.acquired_version < result.version:
        for value in purpose.value_by_job.values():
            row = schema.Row(result.version, value)
            _job_arrivals.accept(state, target, row)


def _movable_jobs(
    state: _state.State, slice_: _state.Slice
) -> dict[_Requirements, list[_tasks.Job]]:
    """Return some jobs that may move, by requirements, the latest first."""
    jobs_by_need: dict[_Requirements, list[_tasks.Job]] = {}
    seen = set()
    for job_id in _blocked_job_ids(state, slice_):
        job = slice_.jobs_by_id.get(job_id)
        if job is None or job_id in seen:
            continue
        seen.add(job_id)
        need = _requirements(state, slice_, job)
        if need is not None:
            jobs_by_need.setdefault(need, []).append(job)
    return jobs_by_need


def _blocked_job_ids(
    state: _state.State, slice_: _state.Slice
) -> Iterator[str]:
    """Yield jobs of blocked tasks, the latest first, and reserving gangs."""
    fifos = slice_.queue.blocked_fifos(lambda kind: _is_gang(state, kind))
    count = min(FIFOS_EXAMINED, len(fifos))
    for fifo in state.rng.sample(fifos, count):
        while fifo and fifo[-1].state is not TaskState.QUEUED:
            fifo.pop()
        for task in itertools.islice(reversed(fifo), TASKS_EXAMINED):
            if task.job:
                yield task.job
    yield from slice_.reserving_by_upstream.values()


def _requirements(
    state: _state.State, slice_: _state.Slice, job: _tasks.Job
) -> _Requirements | None:
    """Return the requirements of a job, or None if it may not move now."""
    kind = state.config.kinds.get(job.kind)
    if kind is None or not state.config.takes_work(kind.upstream):
        return None
    if state.now < job.movable_after or not _is_idle(slice_, job):
        return None
    waiting = [
        task
        for index in range(job.tasks)
        if (task := slice_.tasks_by_id.get(job.task_id(index))) is not None
    ]
    if not waiting or any(task.state not in WAITING for task in waiting):
        return None
    stranded = not slice_.ledger.count_live(kind.upstream)
    waited_s = state.now - min(task.arrived for task in waiting)
    if not stranded and waited_s < MIN_WAIT_S:
        return None
    is_gang = _is_gang(state, job.kind)
    at_once = len(waiting) if is_gang else min(len(waiting), MAX_TASKS_AT_ONCE)
    return _Requirements(job.kind, job.size, at_once, stranded)


def _is_idle(slice_: _state.Slice, job: _tasks.Job) -> bool:
    """Return whether a job has nothing running, held or unwritten."""
    gang = slice_.gangs_by_job.get(job.id)
    if gang is not None and (gang.claimed or gang.phase not in NOT_STARTED):
        return False
    return not (
        job.running
        or job.ended_runs
        or job.cancelled
        or job.hold_count
        or job.held_tasks
        or job.id in slice_.dirty_jobs
        or job.id in slice_.moving_jobs
    )


def _choose_target(
    state: _state.State, slice_: _state.Slice, need: _Requirements
) -> _Target | None:
    """Return the slice with the most free slots, preferably a local one."""
    upstream = state.config.kinds[need.kind].upstream
    tasks = need.at_once if _is_gang(state, need.kind) else 1
    fitting = {
        (name.data_centre, name.number)
        for name in state.fleet.slices_fitting(upstream, need.size, tasks)
    }
    reserved = _headroom.headroom_slots(state, slice_, upstream)
    local_centre = state.options.data_centre
    found = list(_own_targets(state, slice_, upstream))
    found += _peer_targets(state, upstream, reserved)
    # Count one slot for each task, even if its size has none.
    slots = need.at_once * max(1, need.size.slots)
    found = [
        target
        for target in found
        if (target.data_centre, target.number) in fitting
        and (need.stranded or target.free >= slots)
    ]
    state.rng.shuffle(found)
    return max(
        found,
        key=lambda target: (target.data_centre == local_centre, target.free),
        default=None,
    )


def _own_targets(
    state: _state.State, source: _state.Slice, upstream: str
) -> Iterator[_Target]:
    for slice_ in state.slices_by_number.values():
        if (
            slice_ is not source
            and slice_.phase is _state.SlicePhase.READY
            and slice_.ledger.count_live(upstream)
        ):
            free = slice_.ledger.free_slots(upstream) - slice_.queue.length
            free -= _headroom.headroom_slots(state, slice_, upstream)
            yield _Target(state.options.data_centre, slice_.number, free)


def _peer_targets(
    state: _state.State, upstream: str, reserved: int
) -> Iterator[_Target]:
    for peer in _ownership.live_peers(state):
        if peer.last_heard_at is None:
            continue
        free = peer.free_slots_by_upstream.get(upstream)
        if free is not None:
            for number in peer.slices:
                yield _Target(peer.data_centre, number, free - reserved, peer)


def _write_move(
    state: _state.State,
    slice_: _state.Slice,
    target: _Target,
    need: _Requirements,
    jobs: list[_tasks.Job],
    outbox: _state.Outbox,
) -> None:
    """Remove jobs from the queue and write them to the other slice."""
    data_centre = state.options.data_centre
    checks = {schema.slice_(data_centre, slice_.number): slice_.row_version}
    if target.peer is None:
        other = state.slices_by_number[target.number]
        key = schema.slice_(data_centre, other.number)
        checks[key] = other.row_version
    puts: dict[str, dict] = {}
    deletes = []
    value_by_job = {}
    for job in _select_jobs(state, target, need, jobs):
        value = {**_job_rows.to_row(job), 'moves': job.moves + 1}
        value_by_job[job.id] = value
        key = schema.job(data_centre, slice_.number, job.id)
        checks[key] = job.row_version
        deletes += [key, schema.arrival(data_centre, slice_.number, job.id)]
        key = schema.job(target.data_centre, target.number, job.id)
        checks[key] = 0
        puts[key] = value
        puts[schema.job_place(job.id)] = {
            'data_centre': target.data_centre,
            'slice': target.number,
        }
        if target.peer is not None:
            key = schema.arrival(target.data_centre, target.number, job.id)
            puts[key] = {}
        _dequeue(state, slice_, job)
    purpose = MovePurpose(
        slice_.number,
        slice_.epoch,
        target.data_centre,
        target.number,
        target.peer.id if target.peer is not None else '',
        value_by_job,
    )
    state.moving = True
    _store.write(state, outbox, purpose, checks, puts, tuple(deletes))


def _select_jobs(
    state: _state.State,
    target: _Target,
    need: _Requirements,
    jobs: list[_tasks.Job],
) -> Iterator[_tasks.Job]:
    """Yield as many of the jobs as the free slots of the target allow."""
    upstream = state.config.kinds[need.kind].upstream
    remaining = target.free
    tasks = 0
    max_jobs = 1 if _is_gang(state, need.kind) else JOBS_PER_MOVE
    for job in jobs[:max_jobs]:
        tasks += job.tasks
        if job is not jobs[0] and tasks > TASKS_PER_MOVE:
            return
        yield job
        used = (job.tasks - job.ended_count) * max(1, need.size.slots)
        remaining -= used
        _peers.debit_free_slots(target.peer, upstream, used)
        if not need.stranded and remaining <= 0:
            return


def _is_gang(state: _state.State, name: str) -> bool:
    kind = state.config.kinds.get(name)
    return kind is not None and kind.policy is _config.Policy.GANG


def _dequeue(
    state: _state.State, slice_: _state.Slice, job: _tasks.Job
) -> None:
    """Remove a job from the queue, so that none of its tasks starts here."""
    slice_.moving_jobs.add(job.id)
    gang = slice_.gangs_by_job.get(job.id)
    if gang is not None:
        if gang.phase is GangPhase.RESERVING:
            _gangs.pause(state, slice_, gang, 'its job moves')
        del slice_.gangs_by_job[job.id]
    key = _timers.GangDue(slice_.number, slice_.epoch, job.id)
    state.timers.cancel(key)
    for index in range(job.tasks):
        task = slice_.tasks_by_id.get(job.task_id(index))
        if task is not None:
            slice_.queue.discard(task, TaskState.MOVING)
            task.state = TaskState.MOVING
            task.record_decision(
                state.now, 'moves', 'there is room in another slice'
            )


def _requeue(
    state: _state.State,
    slice_: _state.Slice,
    purpose: MovePurpose,
    result: _store.WriteResult,
    outbox: _state.Outbox,
) -> None:
    """Requeue jobs whose move certainly had no effect."""
    for job_id in purpose.value_by_job:
        slice_.moving_jobs.discard(job_id)
        job = slice_.jobs_by_id[job_id]
        key = schema.job(purpose.data_centre, purpose.number, job_id)
        if key in result.rows:
            job.movable_after = state.now + _job_arrivals.MIN_STAY_S
        for index in range(job.tasks):
            task = slice_.tasks_by_id.get(job.task_id(index))
            if task is not None and task.state is TaskState.MOVING:
                task.record_decision(
                    state.now, 'queued again', 'it did not move'
                )
                _jobs.requeue_task(state, slice_, task, outbox)


def _remove_job(slice_: _state.Slice, job: _tasks.Job) -> None:
    del slice_.jobs_by_id[job.id]
    slice_.dirty_jobs.pop(job.id, None)
    for index in range(job.tasks):
        slice_.tasks_by_id.pop(job.task_id(index), None)
