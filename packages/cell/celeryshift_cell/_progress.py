"""Encodes the progress of a job as a record, and restores it.

A record holds what a new owner can't learn from the workers: completed tasks,
failed runs and checkpoints. It grows with what has started, not with the job.
"""

import json

from celeryshift_cell import _crashes
from celeryshift_cell import _losses
from celeryshift_cell import _state
from celeryshift_cell import effects
from celeryshift_cell import model

# Between the first and the last position of a range of completed steps. A
# release that does not know it leaves the job alone.
RANGE_SEPARATOR = '-'


def encode(job: _state.JobRun) -> str:
    """Return the record of a job that has not ended.

    Checkpoints, whose length only the workers bound, are left out if the
    record would not fit into a transaction with them.
    """
    record = _encode(job)
    if len(record) > effects.MAX_SAVE_BYTES:
        job.is_record_reduced = True
        record = _encode(job)
    return record


def _encode(job: _state.JobRun) -> str:
    has_checkpoints = not job.is_record_reduced
    # Completed steps as ranges of their positions, and the completed tasks of
    # the others as masks.
    done: dict[str, str] = {
        f'{first}{RANGE_SEPARATOR}{last}': ''
        for first, last in job.steps.done.ranges()
    }
    tasks_by_key: dict[str, list[object]] = {}
    losses_by_key: dict[str, list[list[object]]] = {}
    epochs_by_step: dict[str, list[int]] = {}
    for step in job.steps.known:
        if not step.remaining_tasks:
            continue
        step_key = f'{step.occurrence}.{step.number}'
        if step.done:
            done[step_key] = f'{step.done.bits:x}'
        if step.suspicions:
            epochs_by_step[step_key] = _epochs(step.suspicions)
        for task in step.tasks.known:
            if task.is_done:
                continue
            key = f'{step_key}.{task.index}'
            losses = _encode_losses(task)
            if losses:
                losses_by_key[key] = losses
            if not (task.failed_runs or task.checkpoint):
                continue
            failed = sorted(task.failed_runs)
            checkpoint = task.checkpoint if has_checkpoints else ''
            tasks_by_key[key] = [task.last_run, failed, checkpoint]
    record: dict[str, object] = {'done': done, 'tasks': tasks_by_key}
    if losses_by_key:
        record['losses'] = losses_by_key
    if epochs_by_step:
        record['suspected_steps'] = epochs_by_step
    if job.suspicions:
        record['suspected'] = [
            job.suspected_occurrences,
            _epochs(job.suspicions),
        ]
    return json.dumps(record, separators=(',', ':'))


def _epochs(suspicions: dict[tuple[str, int], _losses.Loss]) -> list[int]:
    return [epoch for _, epoch in suspicions]


def _encode_losses(task: _state.Task) -> list[list[object]]:
    """Return the losses of a task, and its trials as losses in doubt."""
    losses = dict(task.losses_by_worker)
    for run in task.runs.values():
        entry = run.worker.entry
        key = entry.id, entry.incarnation
        if _crashes.is_on_trial(run) and key not in losses:
            losses[key] = _losses.Loss(
                run.number,
                entry.address,
                run.since,
                0.0,
                # Stored before the start, whose answer may be lost with the
                # owner.
                is_confirmed=True,
                is_suspect=True,
                is_trial=True,
            )
    return [
        [
            *key,
            loss.run,
            loss.address,
            round(loss.survived_s, 3),
            loss.is_confirmed,
            loss.is_prompt,
            loss.is_suspect,
            loss.is_trial,
            loss.is_certain,
        ]
        for key, loss in losses.items()
    ]


def restore(cell: _state.Cell, job: _state.JobRun, record: str) -> None:
    """Restore the progress of a newly added job from its record."""
    decoded = json.loads(record)
    for key, hex_mask in decoded.get('done', {}).items():
        first, separator, last = key.partition(RANGE_SEPARATOR)
        if separator:
            if not 0 <= int(first) <= int(last) < len(job.steps):
                raise ValueError(f'steps {key} of {len(job.steps)}')
            job.steps.done.add_range(int(first), int(last))
        else:
            _restore_done(job, key, int(hex_mask, 16))
        job.state = model.JobState.RUNNING
    if 'suspected' in decoded:
        job.suspected_occurrences, epochs = decoded['suspected']
        _crashes.restore_suspicions(cell, job.suspicions, epochs)
    for key, epochs in decoded.get('suspected_steps', {}).items():
        occurrence, number = (int(part) for part in key.split('.'))
        suspicions = job.steps[occurrence, number].suspicions
        _crashes.restore_suspicions(cell, suspicions, epochs)
    for key, (last_run, failed, checkpoint) in decoded.get(
        'tasks', {}
    ).items():
        task = _restored_task(job, key)
        task.last_run = last_run
        task.failed_runs.update(failed)
        task.checkpoint = checkpoint
        job.state = model.JobState.RUNNING
    for key, losses in decoded.get('losses', {}).items():
        task = _restored_task(job, key)
        for worker, incarnation, run, address, survived_s, *flags in losses:
            loss = _losses.Loss(run, address, cell.now, survived_s, *flags)
            _crashes.add_loss(cell, task, (worker, incarnation), loss)


def _restore_done(job: _state.JobRun, key: str, mask: int) -> None:
    """Restore the completed tasks of a step from their mask."""
    occurrence, number = (int(part) for part in key.split('.'))
    count = job.spec.steps[number].count
    mask &= (1 << count) - 1
    if mask.bit_count() == count:
        job.steps.mark_done(occurrence, number)
        return
    step = job.steps[occurrence, number]
    step.done.bits |= mask
    step.pending.bits &= ~mask


def _restored_task(job: _state.JobRun, key: str) -> _state.Task:
    occurrence, number, index = (int(part) for part in key.split('.'))
    return job.steps[occurrence, number].tasks[index]
