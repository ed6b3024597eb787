"""Life cycle of jobs: ready steps, completed tasks and final states."""

import heapq

from celeryshift_cell import _headroom
from celeryshift_cell import _run_times
from celeryshift_cell import _state
from celeryshift_cell import model

# Bound of the age of a job when it becomes known; a larger one comes from a
# clock that is wrong.
MAX_AGE_MS = 7 * 24 * 3_600_000.0
FINAL = (
    model.JobState.COMPLETED,
    model.JobState.FAILED,
    model.JobState.CANCELLED,
)


def queue_of(cell: _state.Cell, job: model.Job) -> model.Queue:
    """Return the policy of a job's queue."""
    configured = cell.config.queues_by_name.get(job.queue) or job.policy
    return configured or model.Queue(job.queue, '')


def add_job(cell: _state.Cell, spec: model.Job) -> _state.JobRun:
    """Add a stored job to the cell."""
    known_age_ms = min(max(0.0, cell.wall_ms - spec.arrived_ms), MAX_AGE_MS)
    arrived_at = cell.now - known_age_ms / 1000
    job = _state.JobRun(spec, queue_of(cell, spec), arrived_at=arrived_at)
    job.is_surplus = spec.is_surplus and cell.shares.is_weighted
    cell.least_urgent = max(cell.least_urgent, job.rank)
    for occurrence in range(spec.occurrences):
        for number, step in enumerate(spec.steps):
            job.steps[occurrence, number] = _make_step(
                job, occurrence, number, step
            )
    job.remaining_steps = len(job.steps)
    job.critical_path_ms = critical_path_ms(cell, spec)
    cell.jobs[spec.id] = job
    return job


def age_ms(cell: _state.Cell, job: _state.JobRun) -> float:
    """Return the age of a job, which does not jump with the wall clock."""
    return (cell.now - job.arrived_at) * 1000


def _make_step(
    job: _state.JobRun, occurrence: int, number: int, spec: model.Step
) -> _state.StepRun:
    name = f'{job.spec.id}.{occurrence}.{number}'
    step = _state.StepRun(job, occurrence, number, spec, name)
    step.tasks = [
        _state.Task(step, index, f'{name}.{index}')
        for index in range(spec.count)
    ]
    step.pending = set(range(spec.count))
    step.remaining_tasks = spec.count
    return step


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


def release(cell: _state.Cell, job: _state.JobRun) -> None:
    """Make the steps without predecessors ready, or schedule them."""
    spec = job.spec
    for occurrence in range(spec.occurrences):
        due_ms = spec.first_due_ms + occurrence * spec.every_ms
        for number, step in enumerate(spec.steps):
            if step.after:
                continue
            if spec.times and due_ms > cell.wall_ms:
                cell.schedule(due_ms, job.steps[occurrence, number].name)
            else:
                make_ready(cell, job.steps[occurrence, number])


def release_due(cell: _state.Cell) -> None:
    """Make the scheduled steps ready that are due."""
    while cell.scheduled_steps and cell.scheduled_steps[0][0] <= cell.wall_ms:
        _, name = heapq.heappop(cell.scheduled_steps)
        step = cell.step(name)
        if step is not None and step.job.state not in FINAL:
            make_ready(cell, step)


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
    cell: _state.Cell, task: _state.Task, was_known: bool
) -> None:
    """Mark a task as done; complete its step and job if it was the last.

    If this owner knew the run before it ended, no former owner can have seen
    its completion and started the steps after it, so these are not in doubt.
    That does not hold if another copy may have completed before.
    """
    if task.is_done:
        return
    task.is_done = True
    step = task.step
    job = step.job
    step.pending.discard(task.index)
    step.remaining_tasks -= 1
    cell.dirty_jobs[job.spec.id] = job
    if step.remaining_tasks:
        return
    cell.steps.remove(step)
    job.remaining_steps -= 1
    if job.remaining_steps == 0:
        finish(cell, job, model.JobState.COMPLETED)
        return
    for number, spec in enumerate(job.spec.steps):
        successor = job.steps[step.occurrence, number]
        if step.number in spec.after and all(
            job.steps[step.occurrence, i].remaining_tasks == 0
            for i in spec.after
        ):
            if was_known and not step.spec.allows_copies:
                successor.in_doubt = False
            make_ready(cell, successor)


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
    for step in job.steps.values():
        cell.steps.remove(step)
        step.pending.clear()
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
