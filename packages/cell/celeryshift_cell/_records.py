"""The progress of jobs, as it is stored and read back.

A record holds what a new owner could not learn from the workers any more:
the tasks that are done, the runs that failed, and the checkpoints.
"""

import json

from celeryshift_cell import _jobs
from celeryshift_cell import _runs
from celeryshift_cell import _state
from celeryshift_cell import _workers
from celeryshift_cell import effects
from celeryshift_cell import events
from celeryshift_cell import model

EMPTY = '{}'


def encode(job: _state.JobRun) -> str:
    """Give the record of a job that has not ended."""
    done: dict[str, str] = {}
    rest: dict[str, list[object]] = {}
    for (occurrence, number), step in job.steps.items():
        bits = sum(1 << task.index for task in step.tasks if task.is_done)
        if bits:
            done[f'{occurrence}.{number}'] = f'{bits:x}'
        for task in step.tasks:
            if task.is_done or not (task.failed_runs or task.checkpoint):
                continue
            key = f'{occurrence}.{number}.{task.index}'
            failed = sorted(task.failed_runs)
            rest[key] = [task.last_run, failed, task.checkpoint]
    return json.dumps({'done': done, 'tasks': rest}, separators=(',', ':'))


def restore(job: _state.JobRun, record: str) -> None:
    """Set a job that has just been taken over to its stored progress."""
    known = json.loads(record)
    for key, bits in known.get('done', {}).items():
        occurrence, number = (int(part) for part in key.split('.'))
        step = job.steps[occurrence, number]
        mask = int(bits, 16)
        for task in step.tasks:
            if mask >> task.index & 1:
                task.is_done = True
                step.pending.discard(task.index)
                step.left -= 1
        if step.left == 0:
            job.left -= 1
        job.state = model.JobState.RUNNING
    for key, (last, failed, saved) in known.get('tasks', {}).items():
        occurrence, number, index = (int(part) for part in key.split('.'))
        task = job.steps[occurrence, number].tasks[index]
        task.last_run = last
        task.failed_runs.update(failed)
        task.checkpoint = saved
        job.state = model.JobState.RUNNING


def save(cell: _state.Cell) -> None:
    """Send what is behind to the store, one transaction at a time."""
    is_changed = cell.workers_version != cell.stored_version
    if cell.save_in_flight or not (cell.dirty or is_changed):
        return
    if cell.now < cell.save_after:
        return
    progress: dict[str, str] = {}
    ended: dict[str, effects.FinishedJob] = {}
    # One is left for the list of workers.
    room = effects.MAX_SAVE_ENTRIES - 1
    # Callers wait for ends, nobody for progress.
    behind = sorted(
        cell.dirty.items(), key=lambda item: item[1].state not in _jobs.FINAL
    )
    for job_id, job in behind:
        if room < effects.ENTRIES_PER_FINISHED_JOB:
            break
        del cell.dirty[job_id]
        if job.state in _jobs.FINAL:
            is_cancelled = job.state is model.JobState.CANCELLED
            ended[job_id] = effects.FinishedJob(
                job.state.value, job.has_record, is_cancelled
            )
            room -= effects.ENTRIES_PER_FINISHED_JOB
        else:
            progress[job_id] = encode(job)
            job.has_record = True
            room -= 1
    cell.save_in_flight = True
    if not cell.dirty:
        # Only a save that leaves nothing behind covers all ends so far.
        cell.saving = {
            worker.id: worker.last_end
            for worker in cell.workers.values()
            if worker.last_end > worker.last_saved_end
        }
    else:
        cell.saving = {}
    cell.saving_jobs = (*progress, *ended)
    cell.saving_ended = tuple(ended)
    cell.stored_version = cell.workers_version
    workers = _workers_list(cell) if is_changed else None
    cell.emit(effects.SaveRecords(progress, ended, workers))


def _workers_list(
    cell: _state.Cell,
) -> tuple[tuple[str, int, str], ...]:
    return tuple(
        (worker.id, worker.entry.life, worker.entry.address)
        for worker in cell.workers.values()
    )


def handle_saved(cell: _state.Cell) -> None:
    """Note that what was sent is stored, and tell the workers."""
    cell.save_in_flight = False
    for job_id in cell.saving_ended:
        job = cell.jobs.get(job_id)
        if job is None:
            continue
        job.is_recorded = True
        job.recorded_at = cell.now
        cell.note('end_recorded', job=job_id, state=job.state.value)
    _workers.ends_saved(cell)


def failed(cell: _state.Cell) -> None:
    """Send everything again later: it may or may not be stored."""
    cell.save_in_flight = False
    cell.save_after = cell.now + cell.options.save_retry_s
    for job_id in cell.saving_jobs:
        job = cell.jobs.get(job_id)
        if job is not None:
            cell.dirty[job_id] = job
    cell.stored_version = 0
    cell.saving = {}


def forget_ended(cell: _state.Cell) -> None:
    """Drop jobs whose end is stored and of which nothing runs."""
    kept_s = cell.options.keep_ended_s
    for job_id, job in list(cell.jobs.items()):
        if not job.is_recorded or cell.now - job.recorded_at < kept_s:
            continue
        if not any(t.runs for s in job.steps.values() for t in s.tasks):
            del cell.jobs[job_id]
            cell.ended_at[job_id] = cell.now
    for job_id, at in list(cell.ended_at.items()):
        if cell.now - at < cell.options.remember_ended_s:
            break
        del cell.ended_at[job_id]


def is_known_job(cell: _state.Cell, job_id: str) -> bool:
    """Tell whether a job is or was here under this owner."""
    return job_id in cell.jobs or job_id in cell.ended_at


def is_news(cell: _state.Cell, stored: events.StoredJob) -> bool:
    """Tell whether a job has not been here before.

    A job may be told of again, and late: by the node that took it and by
    the table of jobs. One that was stored before this owner read the table,
    and was not there, has ended.
    """
    if is_known_job(cell, stored.job.id):
        return False
    return stored.version > cell.restored_version


def take_over(cell: _state.Cell, event: events.Restored) -> None:
    """Become the owner of what is stored."""
    cell.in_doubt_until = event.in_doubt_until
    cell.former_owner_until = event.former_owner_until
    cell.restored_at = event.now
    for worker_id, life, address in event.workers:
        known = cell.workers.get(worker_id)
        if known is None:
            entry = model.WorkerEntry(
                worker_id, life, '', address, '', model.Size()
            )
            known = _workers.add(cell, entry)
            known.is_listed = False
            known.ask_at = cell.now
        if known.entry.life == life and not known.is_fenced:
            cell.unfenced.add(worker_id)
    for worker in cell.workers.values():
        if not worker.is_fenced:
            cell.unfenced.add(worker.id)
    cell.restored_version = event.version
    for stored in event.jobs:
        _restore_job(cell, stored.job, event)
    cell.note(
        'cell_restored',
        epoch=cell.epoch,
        jobs=len(event.jobs),
        unfenced=len(cell.unfenced),
    )


def _restore_job(
    cell: _state.Cell, spec: model.Job, event: events.Restored
) -> None:
    job = _jobs.accept(cell, spec)
    record = event.records_by_job.get(spec.id)
    job.has_record = record is not None
    restore(job, record or EMPTY)
    for step in job.steps.values():
        step.in_doubt = True
    if spec.id in event.cancelled:
        cancel(cell, spec.id)
        return
    if job.left == 0:
        _jobs.finish(cell, job, model.JobState.COMPLETED)
        return
    _jobs.release(cell, job)
    for (occurrence, _), step in job.steps.items():
        needed = step.spec.after
        if needed and all(job.steps[occurrence, i].left == 0 for i in needed):
            _jobs.make_ready(cell, step)


def cancel(cell: _state.Cell, job_id: str) -> None:
    """Stop a job for good."""
    job = cell.jobs.get(job_id)
    if job is None or job.state in _jobs.FINAL:
        return
    _jobs.finish(cell, job, model.JobState.CANCELLED)
    _runs.stop_job(cell, job, 'job cancelled')
