"""Stores the progress of jobs, and restores the cell from what is stored."""

import attrs

from celeryshift_cell import _crashes
from celeryshift_cell import _jobs
from celeryshift_cell import _learning
from celeryshift_cell import _polls
from celeryshift_cell import _progress
from celeryshift_cell import _state
from celeryshift_cell import _stops
from celeryshift_cell import _workers
from celeryshift_cell import effects
from celeryshift_cell import events
from celeryshift_cell import model


@attrs.define(slots=True)
class _Budget:
    """What still fits into a save; the first item always does."""

    items: int
    entries: int = effects.MAX_SAVE_ENTRIES
    size: int = effects.MAX_SAVE_BYTES
    is_unused: bool = True

    def take(self, entries: int, size: int = 0) -> bool:
        """Use a part of the budget, and return whether there was enough."""
        fits = self.items and entries <= self.entries and size <= self.size
        if not (fits or self.is_unused):
            return False
        self.is_unused = False
        self.items -= 1
        self.entries -= entries
        self.size -= size
        return True


def save_changes(cell: _state.Cell) -> None:
    """Save the changed jobs and workers, one transaction at a time."""
    if not cell.is_restored:
        # The stored records have workers that are not known yet.
        return
    if cell.save_in_flight or not (
        cell.dirty_jobs or cell.dirty_workers or _learning.is_due(cell)
    ):
        return
    if cell.now < cell.save_after:
        return
    budget = _Budget(cell.max_saved)
    # Final states come first: callers wait for them, but not for progress.
    ended = _take_ended(cell, budget)
    workers = _take_workers(cell, budget)
    progress = _take_progress(cell, budget)
    fits = budget.take(1, _learning.MAX_BYTES)
    cell.save_in_flight = True
    if not (cell.dirty_jobs or cell.rejected_jobs):
        # Only a save that leaves no job dirty covers all completions so far.
        cell.saving_completions = {
            (worker.id, worker.entry.incarnation): worker.storable_completion
            for worker in cell.workers.values()
            if worker.has_unstored
        }
    else:
        cell.saving_completions = {}
    cell.saving_jobs = (*progress, *ended)
    cell.saving_ended = tuple(ended)
    cell.saving_workers = workers
    cell.saving_records = {
        worker_id: cell.workers[worker_id].record
        for worker_id in workers
        if worker_id in cell.workers
    }
    removed = tuple(w for w in workers if w not in cell.saving_records)
    cell.emit(
        effects.SaveRecords(
            progress,
            ended,
            cell.saving_records,
            removed,
            cell.options.record_part_bytes,
            _learning.take(cell) if fits else '',
        )
    )


def _take_ended(
    cell: _state.Cell, budget: _Budget
) -> dict[str, effects.FinishedJob]:
    ended: dict[str, effects.FinishedJob] = {}
    for job_id, job in list(cell.dirty_jobs.items()):
        if job.state not in _jobs.FINAL:
            continue
        is_cancelled = job.state is model.JobState.CANCELLED
        finished = effects.FinishedJob(
            job.state.value, job.progress_parts, is_cancelled
        )
        if not budget.take(finished.entries):
            break
        del cell.dirty_jobs[job_id]
        ended[job_id] = finished
    return ended


def _take_workers(cell: _state.Cell, budget: _Budget) -> tuple[str, ...]:
    taken = []
    for worker_id in cell.dirty_workers:
        if not budget.take(1):
            break
        taken.append(worker_id)
    for worker_id in taken:
        del cell.dirty_workers[worker_id]
    return tuple(taken)


def _take_progress(cell: _state.Cell, budget: _Budget) -> dict[str, str]:
    progress: dict[str, str] = {}
    for job_id, job in list(cell.dirty_jobs.items()):
        if job.state in _jobs.FINAL:
            continue
        if not (budget.items and budget.entries):
            break
        record = _progress.encode(job)
        parts = effects.count_parts(record, cell.options.record_part_bytes)
        if not budget.take(parts, len(record)):
            break
        del cell.dirty_jobs[job_id]
        progress[job_id] = record
        job.saving_loss_version = job.loss_version
        job.progress_parts = max(job.progress_parts, parts)
    return progress


def handle_saved(cell: _state.Cell) -> None:
    """Mark the jobs and completions of the last save as stored."""
    cell.save_in_flight = False
    _learning.handle_saved(cell)
    cell.max_saved = min(2 * cell.max_saved, effects.MAX_SAVE_ENTRIES)
    cell.rejected_jobs.difference_update(cell.saving_jobs)
    for job_id in cell.saving_jobs:
        job = cell.jobs.get(job_id)
        if job is not None and job.loss_version:
            _mark_losses_stored(cell, job)
    for job_id in cell.saving_ended:
        job = cell.jobs.get(job_id)
        if job is None:
            continue
        job.is_recorded = True
        job.recorded_at = cell.now
        cell.recorded_jobs[job_id] = job
        cell.log_decision('end_recorded', job=job_id, state=job.state.value)
    _mark_recorded(cell, cell.saving_records)
    _polls.handle_completions_saved(cell)


def _mark_losses_stored(cell: _state.Cell, job: _state.JobRun) -> None:
    """Let the tasks of a job start that wait until its losses are stored."""
    job.stored_loss_version = job.saving_loss_version
    for step in job.steps.known:
        _jobs.unblock(cell, step)


def _mark_recorded(
    cell: _state.Cell, records_by_id: dict[str, tuple[int, str]]
) -> None:
    """Mark the workers that have a stored record, which makes them usable."""
    for worker_id, record in records_by_id.items():
        worker = cell.workers.get(worker_id)
        if worker is None or worker.is_recorded:
            continue
        if worker.record == record:
            worker.is_recorded = True
            _workers.unblock_all(cell)


def handle_save_failed(cell: _state.Cell, event: events.RecordsFailed) -> None:
    """Schedule the contents of the last save again; it may not be stored."""
    cell.save_in_flight = False
    cell.save_after = cell.now + cell.options.save_retry_s
    cell.saving_completions = {}
    count = len(cell.saving_jobs) + len(cell.saving_workers)
    if _learning.handle_failed(cell, event.is_rejected):
        # The next save finds whether anything else of it is rejected.
        cell.save_after = cell.now
    elif event.is_rejected and count == 1:
        _handle_rejected(cell)
        return
    elif event.is_rejected:
        # Smaller saves find what the store rejects.
        cell.max_saved = count // 2
        cell.save_after = cell.now
    for job_id in cell.saving_jobs:
        job = cell.jobs.get(job_id)
        if job is not None:
            cell.dirty_jobs[job_id] = job
    for worker_id in cell.saving_workers:
        cell.dirty_workers[worker_id] = None


def _handle_rejected(cell: _state.Cell) -> None:
    """Handle a single record that the store never takes.

    A worker without a stored record is not used. The progress of a job is
    stored without checkpoints. If the store rejects that too, no worker may
    discard its completions, since the next owner needs them.
    """
    for worker_id in cell.saving_workers:
        cell.log_decision('record_rejected', worker=worker_id)
    for job_id in cell.saving_jobs:
        job = cell.jobs.get(job_id)
        if job is None:
            continue
        if not (job.is_record_reduced or job_id in cell.saving_ended):
            job.is_record_reduced = True
            cell.dirty_jobs[job_id] = job
            cell.log_decision('record_reduced', job=job_id)
            continue
        cell.rejected_jobs.add(job_id)
        # Its tasks would wait for ever.
        _mark_losses_stored(cell, job)
        cell.log_decision('record_rejected', job=job_id, state=job.state.value)


def evict_ended(cell: _state.Cell) -> None:
    """Evict jobs that have no runs and whose final state is stored.

    They are in the order in which their final states were stored.
    """
    keep_s = cell.options.keep_ended_s
    for job_id, job in list(cell.recorded_jobs.items()):
        if cell.now - job.recorded_at < keep_s and cell.footprint.has_room:
            break
        if not any(step.active_runs for step in job.steps.known):
            del cell.recorded_jobs[job_id]
            _jobs.remove_job(cell, job)
            cell.evicted_at[job_id] = cell.now
    for job_id, evicted_at in list(cell.evicted_at.items()):
        if cell.now - evicted_at < cell.options.remember_ended_s:
            break
        del cell.evicted_at[job_id]
    cell.footprint.evicted = len(cell.evicted_at)


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
    records_by_id = {
        worker_id: (incarnation, address)
        for worker_id, incarnation, address in event.workers
    }
    _mark_recorded(cell, records_by_id)
    for worker_id, record in records_by_id.items():
        if cell.workers[worker_id].record == record:
            cell.dirty_workers.pop(worker_id, None)
    _learning.restore(cell, event.learned)
    cell.restored_version = event.version
    restore_jobs(
        cell,
        events.JobsRestored(
            event.now,
            event.wall_ms,
            event.jobs,
            event.records_by_job,
            frozenset(event.cancelled),
            event.parts_by_job,
        ),
    )
    for worker in cell.workers.values():
        # The trials of the former owner are settled as far as workers tell.
        _stops.give_up(cell, _crashes.confirm_replaced(cell, worker))
    if any(
        cell.workers[worker_id].entry.incarnation > incarnation
        for worker_id, incarnation, _ in event.workers
    ):
        _crashes.suspect_in_doubt(cell)
    cell.log_decision(
        'cell_restored',
        epoch=cell.epoch,
        jobs=len(cell.jobs),
        unfenced=len(cell.unfenced),
    )


def restore_jobs(cell: _state.Cell, event: events.JobsRestored) -> None:
    """Restore jobs and their progress."""
    for stored in event.jobs:
        try:
            _restore_job(cell, stored.job, event)
        except (
            ValueError,
            LookupError,
            TypeError,
            AttributeError,
            ArithmeticError,
            RecursionError,
        ) as error:
            # Without its progress the job would run again. Its rows remain.
            if stored.job.id in cell.jobs:
                _jobs.remove_job(cell, cell.jobs[stored.job.id])
            cell.evicted_at[stored.job.id] = cell.now
            cell.log_decision(
                'job_not_restored', job=stored.job.id, error=repr(error)
            )


def _restore_job(
    cell: _state.Cell, spec: model.Job, event: events.JobsRestored
) -> None:
    job = _jobs.add_job(cell, spec)
    record = event.records_by_job.get(spec.id)
    if record is not None:
        job.progress_parts = event.parts_by_job.get(spec.id, 1)
    job.occurrences_in_doubt = _jobs.count_in_doubt(cell, job)
    if record is not None:
        _progress.restore(cell, job, record)
    if spec.id in event.cancelled:
        cancel(cell, spec.id)
        return
    if job.remaining_steps == 0:
        _jobs.finish(cell, job, model.JobState.COMPLETED)
        return
    _jobs.release(cell, job)


def cancel(cell: _state.Cell, job_id: str) -> None:
    """Cancel a job and stop its runs."""
    job = cell.jobs.get(job_id)
    if job is None or job.state in _jobs.FINAL:
        return
    _jobs.finish(cell, job, model.JobState.CANCELLED)
    _stops.stop_job(cell, job, 'job cancelled')
