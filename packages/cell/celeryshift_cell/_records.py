"""Stores the progress of jobs and restores it after a change of owner.

A record holds what a new owner can't learn from the workers: completed tasks,
failed runs and checkpoints.
"""

import json

from celeryshift_cell import _jobs
from celeryshift_cell import _runs
from celeryshift_cell import _state
from celeryshift_cell import _workers
from celeryshift_cell import effects
from celeryshift_cell import events
from celeryshift_cell import model

EMPTY_RECORD = '{}'


def encode(job: _state.JobRun) -> str:
    """Return the record of a job that has not ended."""
    done: dict[str, str] = {}
    tasks_by_key: dict[str, list[object]] = {}
    for (occurrence, number), step in job.steps.items():
        done_mask = sum(1 << task.index for task in step.tasks if task.is_done)
        if done_mask:
            done[f'{occurrence}.{number}'] = f'{done_mask:x}'
        for task in step.tasks:
            if task.is_done or not (task.failed_runs or task.checkpoint):
                continue
            key = f'{occurrence}.{number}.{task.index}'
            failed = sorted(task.failed_runs)
            tasks_by_key[key] = [task.last_run, failed, task.checkpoint]
    return json.dumps(
        {'done': done, 'tasks': tasks_by_key}, separators=(',', ':')
    )


def restore(job: _state.JobRun, record: str) -> None:
    """Restore the progress of a newly added job from its record."""
    decoded = json.loads(record)
    for key, hex_mask in decoded.get('done', {}).items():
        occurrence, number = (int(part) for part in key.split('.'))
        step = job.steps[occurrence, number]
        mask = int(hex_mask, 16)
        for task in step.tasks:
            if mask >> task.index & 1:
                task.is_done = True
                step.pending.discard(task.index)
                step.remaining_tasks -= 1
        if step.remaining_tasks == 0:
            job.remaining_steps -= 1
        job.state = model.JobState.RUNNING
    for key, (last, failed, checkpoint) in decoded.get('tasks', {}).items():
        occurrence, number, index = (int(part) for part in key.split('.'))
        task = job.steps[occurrence, number].tasks[index]
        task.last_run = last
        task.failed_runs.update(failed)
        task.checkpoint = checkpoint
        job.state = model.JobState.RUNNING


def save_dirty_jobs(cell: _state.Cell) -> None:
    """Save the changed jobs and workers, one transaction at a time."""
    if not cell.is_restored:
        # The list of workers still lacks those that only the stored one names.
        return
    workers_changed = cell.workers_version != cell.stored_workers_version
    if cell.save_in_flight or not (cell.dirty_jobs or workers_changed):
        return
    if cell.now < cell.save_after:
        return
    progress: dict[str, str] = {}
    ended: dict[str, effects.FinishedJob] = {}
    # One entry is reserved for the list of workers.
    free_entries = effects.MAX_SAVE_ENTRIES - 1
    # Final states come first: callers wait for them, but not for progress.
    ordered_jobs = sorted(
        cell.dirty_jobs.items(),
        key=lambda item: item[1].state not in _jobs.FINAL,
    )
    for job_id, job in ordered_jobs:
        if free_entries < effects.ENTRIES_PER_FINISHED_JOB:
            break
        del cell.dirty_jobs[job_id]
        if job.state in _jobs.FINAL:
            is_cancelled = job.state is model.JobState.CANCELLED
            ended[job_id] = effects.FinishedJob(
                job.state.value, job.has_progress_record, is_cancelled
            )
            free_entries -= effects.ENTRIES_PER_FINISHED_JOB
        else:
            progress[job_id] = encode(job)
            job.has_progress_record = True
            free_entries -= 1
    cell.save_in_flight = True
    if not cell.dirty_jobs:
        # Only a save that leaves no job dirty covers all completions so far.
        cell.saving_completions = {
            (worker.id, worker.entry.incarnation): worker.last_completion
            for worker in cell.workers.values()
            if worker.last_completion > worker.last_stored_completion
        }
    else:
        cell.saving_completions = {}
    cell.saving_jobs = (*progress, *ended)
    cell.saving_ended = tuple(ended)
    cell.stored_workers_version = cell.workers_version
    workers = _workers_list(cell) if workers_changed else None
    cell.saving_workers = workers or ()
    cell.emit(effects.SaveRecords(progress, ended, workers))


def _workers_list(
    cell: _state.Cell,
) -> tuple[tuple[str, int, str], ...]:
    return tuple(
        (worker.id, worker.entry.incarnation, worker.entry.address)
        for worker in cell.workers.values()
    )


def handle_saved(cell: _state.Cell) -> None:
    """Mark the jobs and completions of the last save as stored."""
    cell.save_in_flight = False
    for job_id in cell.saving_ended:
        job = cell.jobs.get(job_id)
        if job is None:
            continue
        job.is_recorded = True
        job.recorded_at = cell.now
        cell.log_decision('end_recorded', job=job_id, state=job.state.value)
    _mark_recorded(cell, cell.saving_workers)
    _workers.handle_completions_saved(cell)


def _mark_recorded(
    cell: _state.Cell, recorded: tuple[tuple[str, int, str], ...]
) -> None:
    """Mark the workers that the stored list has, which makes them usable."""
    for worker_id, incarnation, address in recorded:
        worker = cell.workers.get(worker_id)
        if worker is None or worker.is_recorded:
            continue
        entry = worker.entry
        if (entry.incarnation, entry.address) == (incarnation, address):
            worker.is_recorded = True
            _workers.unblock_all(cell)


def handle_save_failed(cell: _state.Cell) -> None:
    """Schedule the contents of the last save again; it may not be stored."""
    cell.save_in_flight = False
    cell.save_after = cell.now + cell.options.save_retry_s
    for job_id in cell.saving_jobs:
        job = cell.jobs.get(job_id)
        if job is not None:
            cell.dirty_jobs[job_id] = job
    cell.stored_workers_version = 0
    cell.saving_completions = {}


def evict_ended(cell: _state.Cell) -> None:
    """Evict jobs that have no runs and whose final state is stored."""
    keep_s = cell.options.keep_ended_s
    for job_id, job in list(cell.jobs.items()):
        if not job.is_recorded or cell.now - job.recorded_at < keep_s:
            continue
        if not any(t.runs for s in job.steps.values() for t in s.tasks):
            del cell.jobs[job_id]
            cell.evicted_at[job_id] = cell.now
    for job_id, evicted_at in list(cell.evicted_at.items()):
        if cell.now - evicted_at < cell.options.remember_ended_s:
            break
        del cell.evicted_at[job_id]


def is_known_job(cell: _state.Cell, job_id: str) -> bool:
    """Return whether this owner has or had a job."""
    return job_id in cell.jobs or job_id in cell.evicted_at


def is_new_job(cell: _state.Cell, stored: events.StoredJob) -> bool:
    """Return whether a job is new to this owner.

    A job may arrive several times and late: from the node that accepted it and
    from the table of jobs. A job that was stored before this owner read the
    table, but was missing from the table, has already ended.
    """
    if is_known_job(cell, stored.job.id):
        return False
    return stored.version > cell.restored_version


def take_over(cell: _state.Cell, event: events.Restored) -> None:
    """Restore the state of the cell after a change of owner."""
    cell.in_doubt_until = event.in_doubt_until
    cell.former_owner_until = event.former_owner_until
    cell.restored_at = event.now
    cell.is_restored = True
    for worker_id, incarnation, address in event.workers:
        recorded = cell.workers.get(worker_id)
        if recorded is None:
            entry = model.WorkerEntry(
                worker_id, incarnation, '', address, '', model.Size()
            )
            recorded = _workers.add_worker(cell, entry)
            recorded.is_listed = False
            recorded.poll_at = cell.now
        elif recorded.entry.incarnation < incarnation:
            # The list of workers may be older than the record.
            _workers.replace_incarnation(cell, recorded, incarnation, address)
    for worker in cell.workers.values():
        if not worker.is_fenced:
            cell.unfenced.add(worker.id)
    _mark_recorded(cell, event.workers)
    cell.restored_version = event.version
    for stored in event.jobs:
        _restore_job(cell, stored.job, event)
    cell.log_decision(
        'cell_restored',
        epoch=cell.epoch,
        jobs=len(event.jobs),
        unfenced=len(cell.unfenced),
    )


def _restore_job(
    cell: _state.Cell, spec: model.Job, event: events.Restored
) -> None:
    job = _jobs.add_job(cell, spec)
    record = event.records_by_job.get(spec.id)
    job.has_progress_record = record is not None
    restore(job, record or EMPTY_RECORD)
    for step in job.steps.values():
        step.in_doubt = True
    if spec.id in event.cancelled:
        cancel(cell, spec.id)
        return
    if job.remaining_steps == 0:
        _jobs.finish(cell, job, model.JobState.COMPLETED)
        return
    _jobs.release(cell, job)
    for (occurrence, _), step in job.steps.items():
        predecessors = step.spec.after
        if predecessors and all(
            job.steps[occurrence, i].remaining_tasks == 0 for i in predecessors
        ):
            _jobs.make_ready(cell, step)


def cancel(cell: _state.Cell, job_id: str) -> None:
    """Cancel a job and stop its runs."""
    job = cell.jobs.get(job_id)
    if job is None or job.state in _jobs.FINAL:
        return
    _jobs.finish(cell, job, model.JobState.CANCELLED)
    _runs.stop_job(cell, job, 'job cancelled')
