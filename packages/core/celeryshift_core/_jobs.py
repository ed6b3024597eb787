"""Jobs: acceptance, the ends of their tasks, cancellation and records."""

import attrs

from celeryshift_core import _config
from celeryshift_core import _explain
from celeryshift_core import _gangs
from celeryshift_core import _holds
from celeryshift_core import _indices
from celeryshift_core import _launch
from celeryshift_core import _ledger
from celeryshift_core import _preemption
from celeryshift_core import _quarantine
from celeryshift_core import _size
from celeryshift_core import _state
from celeryshift_core import _store
from celeryshift_core import _tasks
from celeryshift_core import _timers
from celeryshift_core import events
from celeryshift_core import schema

REQUEUE_S = 1.0
MAX_FINISHED = 1000
CANCELLED_PER_EVENT = 1000
# Attempts in one slice are numbered unlike those in the next one.
ATTEMPTS_PER_STAY = 1_000_000

TaskState = _tasks.TaskState


@attrs.frozen(slots=True)
class RecordPurpose:
    """Say that a write records what became of some jobs of a slice."""

    slice: int
    epoch: int
    jobs: tuple[str, ...]
    ended_runs_by_job: dict[str, dict[str, str]]


def to_row(job: _tasks.Job) -> dict:
    """Write a job as the value of its row."""
    return {
        'id': job.id,
        'team': job.team,
        'kind': job.kind,
        'tasks': job.tasks,
        'payload': job.payload,
        'size': _config.unstructure(job.size),
        'done': job.done.to_ranges(),
        'failed': job.failed.to_ranges(),
        'unknown': job.unknown.to_ranges(),
        'cancelled': job.cancelled,
        'moves': job.moves,
    }


def from_row(row: schema.Row) -> _tasks.Job:
    """Read a job from its row."""
    value = row.value
    return _tasks.Job(
        value['id'],
        value['team'],
        value['kind'],
        value['tasks'],
        value['payload'],
        _config.structure(value['size'], _size.Size),
        row.version,
        _indices.IndexSet(value['done']),
        _indices.IndexSet(value['failed']),
        _indices.IndexSet(value['unknown']),
        value['cancelled'],
        cancelled_to=value['tasks'] if value['cancelled'] else 0,
        moves=value.get('moves', 0),
    )


def install(
    state: _state.State,
    held: _state.Slice,
    job: _tasks.Job,
    task_state: TaskState,
) -> list[_tasks.Task]:
    """Make the tasks of a job that have not ended yet."""
    held.jobs_by_id[job.id] = job
    kind = state.config.kinds.get(job.kind, _config.Kind(upstream=''))
    made = []
    for index in range(job.tasks):
        if index in job.done or index in job.failed or index in job.unknown:
            continue
        task = _tasks.Task(
            job.task_id(index),
            job.team,
            job.kind,
            kind.upstream,
            job.size,
            kind.urgent,
            state.now,
            job=job.id,
            index=index,
            state=task_state,
            attempt=job.moves * ATTEMPTS_PER_STAY,
        )
        held.tasks_by_id[task.id] = task
        made.append(task)
    return made


def restore(state: _state.State, held: _state.Slice, row: schema.Row) -> None:
    """Take over a job from the row that an earlier owner wrote."""
    job = from_row(row)
    for task in install(state, held, job, TaskState.UNACCOUNTED):
        held.unaccounted.add(task.id)


def accept(state: _state.State, held: _state.Slice, job: _tasks.Job) -> None:
    """Queue the tasks of a job whose row has been written."""
    gang = _gangs.is_gang(state, held, job)
    for task in install(state, held, job, TaskState.QUEUED):
        task.note(state.now, 'queued', f'slice {held.number}')
        if gang:
            _gangs.gather(state, held, job, task, [])
        else:
            held.queue.push(task)
    state.touched[held.number] = None


def resume(
    state: _state.State,
    held: _state.Slice,
    task: _tasks.Task,
    out: _state.Out,
) -> None:
    """Queue a task again that surely runs nowhere."""
    job = held.jobs_by_id[task.job]
    if job.cancelled:
        task.state = TaskState.CANCELLED
        _changed(state, held, job)
        return
    if _gangs.is_gang(state, held, job):
        _gangs.gather(state, held, job, task, out)
    else:
        held.queue.push(task, front=True)
    state.touched[held.number] = None


def adopted(
    state: _state.State,
    held: _state.Slice,
    task: _tasks.Task,
    out: _state.Out,
) -> None:
    """Note that a task of an earlier owner is running."""
    held.jobs_by_id[task.job].running.add(task.id)
    _preemption.started(state, held, task)


def task_ended(
    state: _state.State,
    held: _state.Slice,
    task: _tasks.Task,
    worker: _ledger.Worker,
    phase: events.TaskPhase,
    out: _state.Out,
) -> None:
    """Take in the end of a task that its worker reported."""
    job = held.jobs_by_id[task.job]
    kind = state.config.kinds.get(task.kind)
    service = kind is not None and kind.policy is _config.Policy.SERVICE
    if phase is events.TaskPhase.DONE and not (service or job.cancelled):
        job.done.add(task.index)
        job.ended_runs[task.run_id] = worker.name
        _quarantine.succeeded(state, held, worker, task.kind, out)
        _holds.succeeded(state, held, job)
        _end(state, held, job, task, TaskState.DONE, 'done')
        return
    worker.to_acknowledge.add(task.run_id)
    if job.cancelled:
        _end(state, held, job, task, TaskState.CANCELLED, 'stopped')
    elif phase is events.TaskPhase.FAILED and not service:
        _task_failed(state, held, job, task, worker, kind, out)
    else:
        task_lost(state, held, task, f'worker ended it: {phase.value}', out)


def task_lost(
    state: _state.State,
    held: _state.Slice,
    task: _tasks.Task,
    why: str,
    out: _state.Out,
) -> None:
    """Run a task again that ended without a result, if it may be."""
    job = held.jobs_by_id[task.job]
    kind = state.config.kinds.get(task.kind)
    state.counters['tasks.lost'] += 1
    if job.cancelled:
        _end(state, held, job, task, TaskState.CANCELLED, why)
    elif kind is not None and not kind.repeatable:
        not_repeated(state, held, task, why)
    else:
        task.note(state.now, 'queued again', why)
        resume(state, held, task, out)


def not_repeated(
    state: _state.State, held: _state.Slice, task: _tasks.Task, why: str
) -> None:
    """End a task that may have run and must not run again."""
    job = held.jobs_by_id[task.job]
    job.unknown.add(task.index)
    _end(state, held, job, task, TaskState.FAILED, f'not repeated: {why}')


def not_started(
    state: _state.State,
    held: _state.Slice,
    task: _tasks.Task,
    why: str,
    refused: bool,
    out: _state.Out,
) -> None:
    """Queue a task again that was surely not started."""
    if refused:
        task.failed_on += (task.worker,)
    task.note(state.now, 'queued again', why)
    resume(state, held, task, out)


def not_claimed(
    state: _state.State,
    held: _state.Slice,
    task: _tasks.Task,
    found: schema.Row | None,
    out: _state.Out,
) -> None:
    """End a task that was started before, or try its claim later."""
    if found is None:
        task.state = TaskState.UNACCOUNTED
        task.note(state.now, 'waits', 'its claim could not be written')
        key = _timers.RequeueTask(held.number, held.epoch, task.id)
        state.timers.set(key, state.now + REQUEUE_S)
        return
    not_repeated(state, held, task, 'it was started before')


def requeue(
    state: _state.State, timer: _timers.RequeueTask, out: _state.Out
) -> None:
    """Queue a task whose claim is to be tried again."""
    held = _state.owned(state, timer)
    if held is None:
        return
    task = held.tasks_by_id.get(timer.task)
    if task is not None and task.state is TaskState.UNACCOUNTED:
        resume(state, held, task, out)


def cancel(
    state: _state.State,
    held: _state.Slice,
    job: _tasks.Job,
    out: _state.Out,
) -> None:
    """Cancel a job; a large one in several events."""
    job.cancelled = True
    first = job.cancelled_to
    job.cancelled_to = min(first + CANCELLED_PER_EVENT, job.tasks)
    for index in range(first, job.cancelled_to):
        task = held.tasks_by_id.get(job.task_id(index))
        if task is not None:
            _cancel_task(state, held, task, out)
    if job.cancelled_to < job.tasks:
        key = _timers.CancelDue(held.number, held.epoch, job.id)
        state.timers.set(key, state.now)
    _changed(state, held, job)


def cancel_on(
    state: _state.State, timer: _timers.CancelDue, out: _state.Out
) -> None:
    """Go on with the cancellation of a large job."""
    held = state.slices_by_number.get(timer.slice)
    if held is not None and held.epoch == timer.epoch:
        job = held.jobs_by_id.get(timer.job)
        if job is not None:
            cancel(state, held, job, out)


def _cancel_task(
    state: _state.State,
    held: _state.Slice,
    task: _tasks.Task,
    out: _state.Out,
) -> None:
    if task.state in (TaskState.STARTING, TaskState.RUNNING):
        _launch.stop(state, held, task, out)
        task.note(state.now, 'stopped', 'its job is cancelled')
        return
    if task.state is TaskState.QUEUED:
        held.queue.leave(task, TaskState.CANCELLED)
    elif task.state in (TaskState.GATHERING, TaskState.RESERVED):
        _gangs.withdraw(state, held, task)
    elif task.state is not TaskState.HELD:
        return
    task.state = TaskState.CANCELLED
    task.note(state.now, 'cancelled')


def flush(state: _state.State, out: _state.Out) -> None:
    """Write the jobs that have changed, many in one write."""
    for held in state.slices_by_number.values():
        if held.dirty_jobs and not held.writing_jobs:
            _write(state, held, out)


def recorded(
    state: _state.State,
    purpose: RecordPurpose,
    answer: _store.Written,
    out: _state.Out,
) -> None:
    """Take in the outcome of a write of job records."""
    held = _state.owned(state, purpose)
    if held is None:
        return
    held.writing_jobs = False
    for job_id in purpose.jobs:
        job = held.jobs_by_id.get(job_id)
        if job is None:
            continue
        if not answer.ok:
            _catch_up(state, held, job, answer)
            held.dirty_jobs[job_id] = None
            continue
        job.row_version = answer.version
        runs = purpose.ended_runs_by_job[job_id]
        for run_id, worker_name in runs.items():
            job.ended_runs.pop(run_id, None)
            worker = held.ledger.workers_by_name.get(worker_name)
            if worker is not None:
                worker.to_acknowledge.add(run_id)
        if job.finished and job_id not in held.dirty_jobs:
            _forget(state, held, job)
    if held.dirty_jobs:
        _schedule(state, REQUEUE_S if not answer.ok else None)


def _catch_up(
    state: _state.State,
    held: _state.Slice,
    job: _tasks.Job,
    answer: _store.Written,
) -> None:
    """Go on from the row that stood in the way of a record.

    Only the owner of a slice writes its jobs, and each write checks the row
    of the slice: what is found is this node's own, or the slice is lost.
    """
    key = schema.job(state.options.data_centre, held.number, job.id)
    row = answer.rows.get(key)
    if row is not None:
        job.row_version = max(job.row_version, row.version)


def _write(state: _state.State, held: _state.Slice, out: _state.Out) -> None:
    data_centre = state.options.data_centre
    row_key = schema.slice_(data_centre, held.number)
    checks = {row_key: held.row_version}
    puts: dict[str, dict] = {}
    deletes = []
    job_ids = tuple(held.dirty_jobs)[: state.options.rows_per_write]
    ended = {}
    for job_id in job_ids:
        del held.dirty_jobs[job_id]
        job = held.jobs_by_id[job_id]
        key = schema.job(data_centre, held.number, job_id)
        checks[key] = job.row_version
        ended[job_id] = dict(job.ended_runs)
        if job.finished:
            deletes.append(key)
            place = {'data_centre': data_centre, 'slice': held.number}
            place['result'] = _explain.describe_job(job)
            puts[schema.job_place(job_id)] = place
        else:
            puts[key] = to_row(job)
    held.writing_jobs = True
    purpose = RecordPurpose(held.number, held.epoch, job_ids, ended)
    _store.write(state, out, purpose, checks, puts, tuple(deletes))


def _task_failed(
    state: _state.State,
    held: _state.Slice,
    job: _tasks.Job,
    task: _tasks.Task,
    worker: _ledger.Worker,
    kind: _config.Kind | None,
    out: _state.Out,
) -> None:
    task.failed_on += (worker.name,)
    _quarantine.failed(state, held, worker, task, out)
    _holds.failed(state, held, job, task)
    may_retry = (
        kind is not None
        and kind.repeatable
        and len(task.failed_on) < kind.max_attempts
    )
    if may_retry:
        task.note(state.now, 'queued again', f'failed on {worker.name}')
        resume(state, held, task, out)
    else:
        job.failed.add(task.index)
        why = f'failed on {", ".join(task.failed_on)}'
        _end(state, held, job, task, TaskState.FAILED, why)


def _end(
    state: _state.State,
    held: _state.Slice,
    job: _tasks.Job,
    task: _tasks.Task,
    task_state: TaskState,
    why: str,
) -> None:
    task.state = task_state
    task.note(state.now, task_state.value, why)
    held.tasks_by_id.pop(task.id, None)
    _explain.remember(state, task)
    state.counters[f'tasks.{task_state.value}'] += 1
    _gangs.ended(state, held, job, task)
    _changed(state, held, job)


def _changed(state: _state.State, held: _state.Slice, job: _tasks.Job) -> None:
    held.dirty_jobs[job.id] = None
    _schedule(state, None)


def _schedule(state: _state.State, delay_s: float | None) -> None:
    delay_s = delay_s or state.options.record_s
    state.timers.set_once(_timers.RecordJobs(), state.now + delay_s)


def _forget(state: _state.State, held: _state.Slice, job: _tasks.Job) -> None:
    del held.jobs_by_id[job.id]
    held.gangs_by_job.pop(job.id, None)
    for index in range(job.tasks):
        held.tasks_by_id.pop(job.task_id(index), None)
    held.finished_by_id[job.id] = job
    while len(held.finished_by_id) > MAX_FINISHED:
        oldest = next(iter(held.finished_by_id))
        del held.finished_by_id[oldest]
