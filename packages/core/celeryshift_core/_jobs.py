"""Jobs: acceptance, completion of tasks, cancellation and records."""

import attrs

from celeryshift_core import _config
from celeryshift_core import _crashes
from celeryshift_core import _dispatch
from celeryshift_core import _explain
from celeryshift_core import _gangs
from celeryshift_core import _job_holds
from celeryshift_core import _job_rows
from celeryshift_core import _ledger
from celeryshift_core import _preemption
from celeryshift_core import _quarantine
from celeryshift_core import _state
from celeryshift_core import _store
from celeryshift_core import _tasks
from celeryshift_core import _timers
from celeryshift_core import effects
from celeryshift_core import events
from celeryshift_core import schema

REQUEUE_DELAY_S = 1.0
MAX_FINISHED = 1000
CANCELLED_PER_EVENT = 1000
# Offset of the attempt numbers of a job after each move, which keeps run ids
# unique across slices.
ATTEMPTS_PER_MOVE = 1_000_000

TaskState = _tasks.TaskState


@attrs.frozen(slots=True)
class RecordPurpose:
    """Purpose of a write that records the progress of jobs."""

    slice: int
    epoch: int
    jobs: tuple[str, ...]
    ended_runs_by_job: dict[str, dict[str, str]]
    losses_version_by_job: dict[str, int]


def create_tasks(
    state: _state.State,
    slice_: _state.Slice,
    job: _tasks.Job,
    task_state: TaskState,
) -> list[_tasks.Task]:
    """Create the tasks of a job that have not ended."""
    slice_.jobs_by_id[job.id] = job
    kind = state.config.kinds.get(job.kind, _config.Kind(upstream=''))
    created = []
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
            attempt=job.moves * ATTEMPTS_PER_MOVE,
        )
        slice_.tasks_by_id[task.id] = task
        created.append(task)
    return created


def restore(
    state: _state.State, slice_: _state.Slice, row: schema.Row
) -> None:
    """Restore a job from the row that an earlier owner wrote."""
    job = _job_rows.from_row(row)
    for task in create_tasks(state, slice_, job, TaskState.UNACCOUNTED):
        slice_.unaccounted.add(task.id)


def accept(state: _state.State, slice_: _state.Slice, job: _tasks.Job) -> None:
    """Queue the tasks of a job whose row has been written."""
    gang = _gangs.is_gang(state, slice_, job)
    for task in create_tasks(state, slice_, job, TaskState.QUEUED):
        task.record_decision(state.now, 'queued', f'slice {slice_.number}')
        if gang:
            _gangs.gather(state, slice_, job, task, [])
        else:
            task.on_trial = _crashes.is_suspect(job, task)
            slice_.queue.push(task)
    state.slices_to_place[slice_.number] = None


def requeue_task(
    state: _state.State,
    slice_: _state.Slice,
    task: _tasks.Task,
    outbox: _state.Outbox,
) -> None:
    """Requeue a task that certainly runs nowhere."""
    job = slice_.jobs_by_id[task.job]
    if job.cancelled:
        task.state = TaskState.CANCELLED
        _mark_dirty(state, slice_, job)
        return
    if _gangs.is_gang(state, slice_, job):
        _gangs.gather(state, slice_, job, task, outbox)
    else:
        task.on_trial = _crashes.is_suspect(job, task)
        slice_.queue.push(task, front=True)
    state.slices_to_place[slice_.number] = None


def record_adopted_run(
    state: _state.State,
    slice_: _state.Slice,
    task: _tasks.Task,
    outbox: _state.Outbox,
) -> None:
    """Record that a task started by an earlier owner is running."""
    slice_.jobs_by_id[task.job].running.add(task.id)
    task.started_at = state.now
    _preemption.record_started(state, slice_, task)


def handle_task_ended(
    state: _state.State,
    slice_: _state.Slice,
    task: _tasks.Task,
    worker: _ledger.Worker,
    phase: events.TaskPhase,
    outbox: _state.Outbox,
) -> None:
    """Handle the end of a task that its worker reported."""
    job = slice_.jobs_by_id[task.job]
    kind = state.config.kinds.get(task.kind)
    # A task of a service never counts as done or failed; whenever it ends, it
    # is handled as lost.
    service = kind is not None and kind.policy is _config.Policy.SERVICE
    if phase is events.TaskPhase.DONE and not (service or job.cancelled):
        job.done.add(task.index)
        # Acknowledged once it is recorded: until then, a new owner of the
        # slice can still learn of it from the worker.
        job.ended_runs[task.run_id] = worker.name
        _quarantine.record_success(state, slice_, worker, task.kind, outbox)
        _job_holds.record_success(state, slice_, job)
        _complete_task(state, slice_, job, task, TaskState.DONE, 'done')
        return
    worker.to_acknowledge.add(task.run_id)
    if job.cancelled:
        _complete_task(
            state, slice_, job, task, TaskState.CANCELLED, 'stopped'
        )
    elif phase is events.TaskPhase.FAILED and not service:
        _handle_task_failed(state, slice_, job, task, worker, kind, outbox)
    else:
        handle_task_lost(
            state, slice_, task, f'worker ended it: {phase.value}', outbox
        )


def handle_task_lost(
    state: _state.State,
    slice_: _state.Slice,
    task: _tasks.Task,
    why: str,
    outbox: _state.Outbox,
    loss: _crashes.Loss | None = None,
) -> None:
    """Requeue a task that ended without a result, or give it up."""
    job = slice_.jobs_by_id[task.job]
    kind = state.config.kinds.get(task.kind)
    state.counters['tasks.lost'] += 1
    if job.cancelled:
        _complete_task(state, slice_, job, task, TaskState.CANCELLED, why)
    elif kind is not None and not kind.repeatable:
        mark_unknown(state, slice_, task, why)
    else:
        if loss is not None:
            _record_loss(state, slice_, job, task, loss)
        if _crashes.is_guilty(job, task):
            _give_up(state, slice_, job, task, outbox)
            return
        task.record_decision(state.now, 'queued again', why)
        requeue_task(state, slice_, task, outbox)


def revoke_loss(
    state: _state.State, slice_: _state.Slice, task: _tasks.Task, run_id: str
) -> None:
    """Revoke the loss of a run that its worker reports, if there is one."""
    job = slice_.jobs_by_id.get(task.job)
    if job is not None and _crashes.revoke(job, task, run_id):
        _mark_dirty(state, slice_, job)


def mark_unknown(
    state: _state.State, slice_: _state.Slice, task: _tasks.Task, why: str
) -> None:
    """End a task that may have run and must not run again."""
    job = slice_.jobs_by_id[task.job]
    job.unknown.add(task.index)
    _complete_task(
        state, slice_, job, task, TaskState.FAILED, f'not repeated: {why}'
    )


def handle_not_started(
    state: _state.State,
    slice_: _state.Slice,
    task: _tasks.Task,
    why: str,
    refused: bool,
    outbox: _state.Outbox,
) -> None:
    """Requeue a task that was certainly not started."""
    if refused:
        task.failed_on += (task.worker,)
    task.record_decision(state.now, 'queued again', why)
    requeue_task(state, slice_, task, outbox)


def handle_claim_failed(
    state: _state.State,
    slice_: _state.Slice,
    task: _tasks.Task,
    claim_row: schema.Row | None,
    outbox: _state.Outbox,
) -> None:
    """End a task that was started before, or retry its claim later."""
    if claim_row is None:
        task.state = TaskState.UNACCOUNTED
        task.record_decision(
            state.now, 'waits', 'its claim could not be written'
        )
        key = _timers.RequeueTask(slice_.number, slice_.epoch, task.id)
        state.timers.set(key, state.now + REQUEUE_DELAY_S)
        return
    mark_unknown(state, slice_, task, 'it was started before')


def handle_requeue_due(
    state: _state.State, timer: _timers.RequeueTask, outbox: _state.Outbox
) -> None:
    """Requeue a task to retry its claim."""
    slice_ = _state.owned_slice(state, timer)
    if slice_ is None:
        return
    task = slice_.tasks_by_id.get(timer.task)
    if task is not None and task.state is TaskState.UNACCOUNTED:
        requeue_task(state, slice_, task, outbox)


def cancel(
    state: _state.State,
    slice_: _state.Slice,
    job: _tasks.Job,
    outbox: _state.Outbox,
) -> None:
    """Cancel a job, a bounded number of its tasks per event."""
    job.cancelled = True
    first = job.cancelled_up_to
    job.cancelled_up_to = min(first + CANCELLED_PER_EVENT, job.tasks)
    for index in range(first, job.cancelled_up_to):
        task = slice_.tasks_by_id.get(job.task_id(index))
        if task is not None:
            _cancel_task(state, slice_, task, outbox)
    if job.cancelled_up_to < job.tasks:
        key = _timers.ContinueCancel(slice_.number, slice_.epoch, job.id)
        state.timers.set(key, state.now)
    _mark_dirty(state, slice_, job)


def continue_cancellation(
    state: _state.State, timer: _timers.ContinueCancel, outbox: _state.Outbox
) -> None:
    """Continue the cancellation of a large job."""
    slice_ = state.slices_by_number.get(timer.slice)
    if slice_ is not None and slice_.epoch == timer.epoch:
        job = slice_.jobs_by_id.get(timer.job)
        if job is not None:
            cancel(state, slice_, job, outbox)


def _cancel_task(
    state: _state.State,
    slice_: _state.Slice,
    task: _tasks.Task,
    outbox: _state.Outbox,
) -> None:
    if task.state in (TaskState.STARTING, TaskState.RUNNING):
        _dispatch.stop(state, slice_, task, outbox)
        task.record_decision(state.now, 'stopped', 'its job is cancelled')
        return
    if task.state is TaskState.QUEUED:
        slice_.queue.discard(task, TaskState.CANCELLED)
    elif task.state in (TaskState.GATHERING, TaskState.RESERVED):
        _gangs.withdraw(state, slice_, task)
    elif task.state is not TaskState.HELD:
        return
    task.state = TaskState.CANCELLED
    task.record_decision(state.now, 'cancelled')


def flush(state: _state.State, outbox: _state.Outbox) -> None:
    """Write the jobs that have changed, many in one write."""
    for slice_ in state.slices_by_number.values():
        if slice_.dirty_jobs and not slice_.writing_jobs:
            _write_records(state, slice_, outbox)


def handle_record_written(
    state: _state.State,
    purpose: RecordPurpose,
    result: _store.WriteResult,
    outbox: _state.Outbox,
) -> None:
    """Handle the outcome of a write of job records."""
    slice_ = _state.owned_slice(state, purpose)
    if slice_ is None:
        return
    slice_.writing_jobs = False
    for job_id in purpose.jobs:
        job = slice_.jobs_by_id.get(job_id)
        if job is None:
            continue
        if not result.ok:
            _update_row_version(state, slice_, job, result)
            slice_.dirty_jobs[job_id] = None
            continue
        job.row_version = result.version
        job.stored_losses_version = purpose.losses_version_by_job[job_id]
        runs = purpose.ended_runs_by_job[job_id]
        for run_id, worker_name in runs.items():
            job.ended_runs.pop(run_id, None)
            worker = slice_.ledger.workers_by_name.get(worker_name)
            if worker is not None:
                worker.to_acknowledge.add(run_id)
        if job.is_finished and job_id not in slice_.dirty_jobs:
            _remove_finished(state, slice_, job)
    if slice_.dirty_jobs:
        _schedule_flush(state, REQUEUE_DELAY_S if not result.ok else None)


def _update_row_version(
    state: _state.State,
    slice_: _state.Slice,
    job: _tasks.Job,
    result: _store.WriteResult,
) -> None:
    """Update the row version after a conflicting write.

    Only the owner of a slice writes its jobs, and each write checks the row
    of the slice. The row found is therefore this node's own, or the slice
    is lost.
    """
    key = schema.job(state.options.data_centre, slice_.number, job.id)
    row = result.rows.get(key)
    if row is not None:
        job.row_version = max(job.row_version, row.version)


def _write_records(
    state: _state.State, slice_: _state.Slice, outbox: _state.Outbox
) -> None:
    data_centre = state.options.data_centre
    row_key = schema.slice_(data_centre, slice_.number)
    checks = {row_key: slice_.row_version}
    puts: dict[str, dict] = {}
    deletes = []
    job_ids = tuple(slice_.dirty_jobs)[: state.options.rows_per_write]
    ended = {}
    losses_version_by_job = {}
    for job_id in job_ids:
        del slice_.dirty_jobs[job_id]
        job = slice_.jobs_by_id[job_id]
        key = schema.job(data_centre, slice_.number, job_id)
        checks[key] = job.row_version
        ended[job_id] = dict(job.ended_runs)
        losses_version_by_job[job_id] = job.losses_version
        if job.is_finished:
            deletes.append(key)
            place = {'data_centre': data_centre, 'slice': slice_.number}
            place['result'] = _explain.describe_job(job)
            puts[schema.job_place(job_id)] = place
        else:
            puts[key] = _job_rows.to_row(job)
    slice_.writing_jobs = True
    purpose = RecordPurpose(
        slice_.number, slice_.epoch, job_ids, ended, losses_version_by_job
    )
    _store.write(state, outbox, purpose, checks, puts, tuple(deletes))


def _handle_task_failed(
    state: _state.State,
    slice_: _state.Slice,
    job: _tasks.Job,
    task: _tasks.Task,
    worker: _ledger.Worker,
    kind: _config.Kind | None,
    outbox: _state.Outbox,
) -> None:
    task.failed_on += (worker.name,)
    _quarantine.record_failure(state, slice_, worker, task, outbox)
    _job_holds.record_failure(state, slice_, job, task)
    may_retry = (
        kind is not None
        and kind.repeatable
        and len(task.failed_on) < kind.max_attempts
    )
    if may_retry:
        task.record_decision(
            state.now, 'queued again', f'failed on {worker.name}'
        )
        requeue_task(state, slice_, task, outbox)
    else:
        job.failed.add(task.index)
        why = f'failed on {", ".join(task.failed_on)}'
        _complete_task(state, slice_, job, task, TaskState.FAILED, why)


def _record_loss(
    state: _state.State,
    slice_: _state.Slice,
    job: _tasks.Job,
    task: _tasks.Task,
    loss: _crashes.Loss,
) -> None:
    before = job.losses_version
    if _crashes.record_loss(job, task, loss):
        state.counters['tasks.suspected'] += 1
        why = f'{task.worker} was lost with it shortly after its start'
        task.record_decision(state.now, 'suspected', why)
    if job.losses_version != before:
        _mark_dirty(state, slice_, job)


def _give_up(
    state: _state.State,
    slice_: _state.Slice,
    job: _tasks.Job,
    task: _tasks.Task,
    outbox: _state.Outbox,
) -> None:
    losses = len(job.lost_runs_by_index[task.index])
    state.counters['tasks.given_up'] += 1
    fields = {'task': task.id, 'losses': losses}
    outbox.append(effects.LogChange('task-given-up', fields))
    job.failed.add(task.index)
    why = f'{losses} workers were lost shortly after its start'
    _explain.record_decision(state, slice_, task, 'given up', why)
    _complete_task(state, slice_, job, task, TaskState.FAILED, why)


def _complete_task(
    state: _state.State,
    slice_: _state.Slice,
    job: _tasks.Job,
    task: _tasks.Task,
    task_state: TaskState,
    why: str,
) -> None:
    task.state = task_state
    _crashes.forget(job, task.index)
    task.record_decision(state.now, task_state.value, why)
    slice_.tasks_by_id.pop(task.id, None)
    _explain.remember_completed(state, task)
    state.counters[f'tasks.{task_state.value}'] += 1
    _gangs.discard_ended(state, slice_, job, task)
    _mark_dirty(state, slice_, job)


def _mark_dirty(
    state: _state.State, slice_: _state.Slice, job: _tasks.Job
) -> None:
    slice_.dirty_jobs[job.id] = None
    _schedule_flush(state, None)


def _schedule_flush(state: _state.State, delay_s: float | None) -> None:
    delay_s = delay_s or state.options.record_s
    state.timers.set_once(_timers.RecordJobs(), state.now + delay_s)


def _remove_finished(
    state: _state.State, slice_: _state.Slice, job: _tasks.Job
) -> None:
    del slice_.jobs_by_id[job.id]
    slice_.gangs_by_job.pop(job.id, None)
    for index in range(job.tasks):
        slice_.tasks_by_id.pop(job.task_id(index), None)
    slice_.finished_by_id[job.id] = job
    while len(slice_.finished_by_id) > MAX_FINISHED:
        oldest = next(iter(slice_.finished_by_id))
        del slice_.finished_by_id[oldest]
