"""Life cycle of jobs: ready steps, completed tasks and final states."""

import heapq
import itertools

from celeryshift_cell import _headroom
from celeryshift_cell import _run_times
from celeryshift_cell import _state
from celeryshift_cell import model

# Bound of the age of a job when it becomes known; a larger one comes from a
# clock that is wrong.
MAX_AGE_MS = 7 * 24 * 3_600_000.0
FINAL = _state.FINAL
# A job with this many waiting steps gets no further occurrence, even if one is
# due: they wait for the same workers.
MAX_WAITING_STEPS = 32
# Overdue jobs that are examined on a tick.
MAX_EXAMINED_JOBS = 256
# Bound of the difference between the clocks of two owners.
MAX_CLOCK_ERROR_MS = 60_000
# Completed tasks kept in memory, since a worker may still list a run of them.
MAX_RETAINED_TASKS = 2048


def queue_of(cell: _state.Cell, job: model.Job) -> model.Queue:
    """Return the policy of a job's queue."""
    configured = cell.config.queues_by_name.get(job.queue) or job.policy
    return configured or model.Queue(job.queue, '')


def add_job(cell: _state.Cell, spec: model.Job) -> _state.JobRun:
    """Add a stored job to the cell."""
    known_age_ms = min(max(0.0, cell.wall_ms - spec.arrived_ms), MAX_AGE_MS)
    arrived_at = cell.now - known_age_ms / 1000
    job = _state.JobRun(
        spec, queue_of(cell, spec), cell.footprint, arrived_at=arrived_at
    )
    job.is_surplus = spec.is_surplus and cell.shares.is_weighted
    cell.least_urgent = max(cell.least_urgent, job.rank)
    job.critical_path_ms = critical_path_ms(cell, spec)
    cell.jobs[spec.id] = job
    cell.footprint.add_job(spec)
    return job


def remove_job(cell: _state.Cell, job: _state.JobRun) -> None:
    """Remove a job from memory."""
    del cell.jobs[job.spec.id]
    cell.overdue_jobs.pop(job.spec.id, None)
    cell.footprint.remove_job(job.spec, cell.now)
    for step in job.steps.known:
        for task in list(step.tasks.known):
            step.tasks.forget(task)
        job.steps.forget(step)
    if len(cell.scheduled_jobs) > 2 * len(cell.jobs) + MAX_WAITING_STEPS:
        # Most entries are of jobs that have ended before their time.
        cell.scheduled_jobs = [
            entry for entry in cell.scheduled_jobs if entry[1] in cell.jobs
        ]
        heapq.heapify(cell.scheduled_jobs)


def age_ms(cell: _state.Cell, job: _state.JobRun) -> float:
    """Return the age of a job, which does not jump with the wall clock."""
    return (cell.now - job.arrived_at) * 1000


def critical_path_ms(cell: _state.Cell, spec: model.Job) -> float:
    """Return the expected duration of a job's longest chain of steps."""
    longest_ms: list[float] = []
    for step in spec.steps:
        earlier_ms = max((longest_ms[i] for i in step.after), default=0.0)
        own_ms = _run_times.expected_ms(cell, spec.queue, step)
        longest_ms.append(earlier_ms + own_ms)
    return max(longest_ms, default=0.0)


def expected_ms(cell: _state.Cell, step: _state.StepRun) -> float:
    """Return the expected run time of a task of the step."""
    return _run_times.expected_ms(cell, step.job.spec.queue, step.spec)


def due_ms(job: _state.JobRun, occurrence: int) -> int:
    """Return when an occurrence of a scheduled job is due, in Unix ms."""
    return job.spec.first_due_ms + occurrence * job.spec.every_ms


def count_due(job: _state.JobRun, wall_ms: float) -> int:
    """Return how many of the first occurrences are due by a Unix time."""
    spec = job.spec
    if not spec.times:
        return 1
    if wall_ms < spec.first_due_ms:
        return 0
    if spec.every_ms <= 0:
        return spec.times
    elapsed_ms = wall_ms - spec.first_due_ms
    return min(spec.times, int(elapsed_ms // spec.every_ms) + 1)


def count_in_doubt(cell: _state.Cell, job: _state.JobRun) -> int:
    """Return how many occurrences a former owner may have started."""
    return count_due(job, cell.wall_ms + MAX_CLOCK_ERROR_MS)


def release(cell: _state.Cell, job: _state.JobRun) -> None:
    """Release the occurrences that are due, as far as there is room.

    The next one is scheduled, or the job is overdue until there is room.
    """
    spec = job.spec
    cell.overdue_jobs.pop(spec.id, None)
    if job.state in FINAL:
        return
    # Occurrences that have completed under a former owner are passed over.
    completed = job.steps.done.first_missing // len(spec.steps)
    job.next_occurrence = max(job.next_occurrence, completed)
    due = count_due(job, cell.wall_ms)
    while job.next_occurrence < due:
        if job.waiting_steps and not _has_room(cell, job):
            cell.overdue_jobs[spec.id] = None
            return
        _release_occurrence(cell, job, job.next_occurrence)
        job.next_occurrence += 1
    if job.next_occurrence < spec.occurrences:
        cell.schedule(due_ms(job, job.next_occurrence), spec.id)


def _has_room(cell: _state.Cell, job: _state.JobRun) -> bool:
    return job.waiting_steps < MAX_WAITING_STEPS and cell.footprint.may_release


def _release_occurrence(
    cell: _state.Cell, job: _state.JobRun, occurrence: int
) -> None:
    """Make the steps of an occurrence ready that wait for no other step."""
    for number, spec in enumerate(job.spec.steps):
        is_done = job.steps.is_done(occurrence, number)
        if not is_done and job.steps.are_done(occurrence, spec.after):
            make_ready(cell, job.steps[occurrence, number])


def release_due(cell: _state.Cell) -> None:
    """Release the occurrences that are due."""
    while cell.scheduled_jobs and cell.scheduled_jobs[0][0] <= cell.wall_ms:
        _, job_id = heapq.heappop(cell.scheduled_jobs)
        if job_id in cell.jobs:
            release(cell, cell.jobs[job_id])
    first = itertools.islice(cell.overdue_jobs, MAX_EXAMINED_JOBS)
    for job_id in list(first):
        release(cell, cell.jobs[job_id])


def release_more(cell: _state.Cell, job: _state.JobRun) -> None:
    """Release further occurrences after a step of a job was placed."""
    if job.spec.id in cell.overdue_jobs:
        release(cell, job)


def make_ready(cell: _state.Cell, step: _state.StepRun) -> None:
    """Make a step ready, so that its tasks can be placed."""
    if step.is_ready or step.remaining_tasks == 0:
        return
    step.is_ready = True
    step.ready_at = cell.now
    _headroom.learn_size(cell, step)
    if step.pending:
        unblock(cell, step)
        cell.log_decision(
            'step_ready',
            job=step.job.spec.id,
            step=step.name,
            waiting=len(step.pending),
            cpu_milli=step.spec.size.cpu_milli,
            memory_mb=step.spec.size.memory_mb,
            is_lasting=step.spec.is_lasting,
            is_filler=step.spec.is_filler,
            target_ms=step.spec.target_ms,
            may_miss=step.spec.may_miss,
        )


def unblock(cell: _state.Cell, step: _state.StepRun) -> None:
    """Try to place the pending tasks of a step in the next pass."""
    if step.is_ready and step.pending and step.job.state not in FINAL:
        cell.steps.add(step)


def requeue(cell: _state.Cell, task: _state.Task) -> None:
    """Queue a task again, unless it is done or still running."""
    if task.is_done or task.runs or task.step.job.state in FINAL:
        return
    task.step.pending.add(task.index)
    unblock(cell, task.step)


def queue_copy(cell: _state.Cell, task: _state.Task, reason: str) -> None:
    """Queue a speculative copy of a running task for another worker."""
    step = task.step
    if task.is_done or step.spec.is_lasting or step.spec.is_gang:
        return
    if step.job.state in FINAL or task.index in step.pending:
        return
    step.pending.add(task.index)
    unblock(cell, step)
    cell.log_decision(
        'task_copied', job=step.job.spec.id, task=task.name, why=reason
    )


def complete_task(
    cell: _state.Cell, step: _state.StepRun, index: int, was_known: bool
) -> None:
    """Mark a task as done; complete its step and job if it was the last.

    If this owner knew the run before it ended, no former owner can have seen
    its completion and started the steps after it, so these are not in doubt.
    That does not hold if another copy may have completed before.
    """
    if index in step.done:
        return
    job = step.job
    step.done.add(index)
    step.pending.discard(index)
    cell.dirty_jobs[job.spec.id] = job
    if step.remaining_tasks:
        return
    cell.steps.remove(step)
    job.steps.mark_done(step.occurrence, step.number)
    if job.remaining_steps == 0:
        finish(cell, job, model.JobState.COMPLETED)
        return
    for number, spec in enumerate(job.spec.steps):
        if step.number in spec.after and job.steps.are_done(
            step.occurrence, spec.after
        ):
            successor = job.steps[step.occurrence, number]
            if was_known and not step.spec.allows_copies:
                successor.in_doubt = False
            make_ready(cell, successor)


def forget_ended(cell: _state.Cell, task: _state.Task) -> None:
    """Keep a task in memory no longer that has no runs and starts none.

    A task with a run that was dropped is kept for longer: the worker may list
    the run as completed, which must not be acknowledged.
    """
    if task.runs or not (task.is_done or task.step.job.state in FINAL):
        return
    if not task.dropped_runs:
        _forget(task)
        return
    cell.retained_tasks[task.name] = task.step.name
    if not task.is_retained:
        task.is_retained = True
        cell.footprint.retained += 1
    if len(cell.retained_tasks) > MAX_RETAINED_TASKS:
        name, step_name = next(iter(cell.retained_tasks.items()))
        del cell.retained_tasks[name]
        step = cell.step(step_name)
        oldest = step and step.tasks.get(int(name.rpartition('.')[2]))
        if oldest and oldest.dropped_runs and not oldest.runs:
            _forget(oldest)


def _forget(task: _state.Task) -> None:
    step = task.step
    if step.tasks.get(task.index) is task:
        step.tasks.forget(task)
    is_over = not step.remaining_tasks or step.job.state in FINAL
    if is_over and not step.tasks.known:
        step.job.steps.forget(step)


def record_failure(
    cell: _state.Cell, task: _state.Task, run: int, worker_id: str
) -> None:
    """Record a failed run; the job fails at the maximum of attempts."""
    job = task.step.job
    task.failed_on.add(worker_id)
    if task.step.spec.is_gang:
        # Failures of a gang are counted once, on its first task.
        task = task.step.tasks[0]
    if run in task.failed_runs:
        return
    cell.dirty_jobs[job.spec.id] = job
    if task.step.spec.is_lasting:
        # Failures of lasting tasks have no limit, so they are not recorded.
        return
    task.failed_runs.add(run)
    if task.is_done or job.state in FINAL:
        return
    if len(task.failed_runs) >= job.queue.max_attempts:
        cell.log_decision(
            'job_failed',
            job=job.spec.id,
            task=task.name,
            attempts=len(task.failed_runs),
            worker=worker_id,
        )
        finish(cell, job, model.JobState.FAILED)


def finish(
    cell: _state.Cell, job: _state.JobRun, state: model.JobState
) -> None:
    """Set the final state of a job; the caller stops its runs."""
    job.state = state
    cell.dirty_jobs[job.spec.id] = job
    cell.overdue_jobs.pop(job.spec.id, None)
    for step in job.steps.known:
        cell.steps.remove(step)
        step.pending.clear()
        for task in list(step.tasks.known):
            forget_ended(cell, task)
        if not step.tasks.known:
            job.steps.forget(step)
    cell.log_decision('job_ended', job=job.spec.id, state=state.value)


def visible_state(job: _state.JobRun) -> model.JobState:
    """Return the state to report to callers.

    A final state is reported only once it is stored.
    """
    if job.state is model.JobState.CANCELLED or job.is_recorded:
        return job.state
    if job.state in FINAL:
        return model.JobState.RUNNING
    return job.state
