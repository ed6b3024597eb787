"""The life of a job: its steps become ready, its tasks end, it ends."""

import heapq

from celeryshift_cell import _reserve
from celeryshift_cell import _state
from celeryshift_cell import model

FINAL = (
    model.JobState.COMPLETED,
    model.JobState.FAILED,
    model.JobState.CANCELLED,
)


def queue_of(cell: _state.Cell, job: model.Job) -> model.Queue:
    """Give the policy of a job's queue."""
    known = cell.config.queues_by_name.get(job.queue) or job.policy
    return known or model.Queue(job.queue, '')


def accept(cell: _state.Cell, spec: model.Job) -> _state.JobRun:
    """Take over a job that is stored."""
    job = _state.JobRun(spec, queue_of(cell, spec))
    for occurrence in range(spec.occurrences):
        for number, step in enumerate(spec.steps):
            job.steps[occurrence, number] = _make_step(
                job, occurrence, number, step
            )
    job.left = len(job.steps)
    job.chain_ms = _chain_ms(cell, spec)
    cell.jobs[spec.id] = job
    return job


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
    step.left = spec.count
    return step


def _chain_ms(cell: _state.Cell, spec: model.Job) -> float:
    longest: list[float] = []
    for step in spec.steps:
        before = max((longest[i] for i in step.after), default=0.0)
        longest.append(before + expected_ms(cell, step))
    return max(longest, default=0.0)


def expected_ms(cell: _state.Cell, step: model.Step) -> float:
    """Give the time that a task of the step should take."""
    learned = cell.ms_by_image.get(step.image) if step.image else None
    return learned if learned is not None else float(step.estimate_ms)


def release(cell: _state.Cell, job: _state.JobRun) -> None:
    """Let the steps that wait for nothing start."""
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
    """Let the steps start whose time of day has come."""
    while cell.timed and cell.timed[0][0] <= cell.wall_ms:
        _, name = heapq.heappop(cell.timed)
        step = cell.step(name)
        if step is not None and step.job.state not in FINAL:
            make_ready(cell, step)


def make_ready(cell: _state.Cell, step: _state.StepRun) -> None:
    """Let the tasks of a step wait for workers."""
    if step.is_ready or step.left == 0:
        return
    step.is_ready = True
    step.ready_at = cell.now
    _reserve.note_size(cell, step)
    if step.pending:
        wake(cell, step)
        cell.note(
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


def wake(cell: _state.Cell, step: _state.StepRun) -> None:
    """Look at the waiting tasks of a step at the next pass."""
    if step.is_ready and step.pending and step.job.state not in FINAL:
        cell.waiting[step.name] = step
        step.is_blocked = False


def put_back(cell: _state.Cell, task: _state.Task) -> None:
    """Let a task wait again, unless it is done or still running."""
    if task.is_done or task.runs or task.step.job.state in FINAL:
        return
    task.step.pending.add(task.index)
    wake(cell, task.step)


def copy(cell: _state.Cell, task: _state.Task, why: str) -> None:
    """Let a task that is running start on another worker as well."""
    step = task.step
    if task.is_done or step.spec.is_lasting or step.spec.is_gang:
        return
    if step.job.state in FINAL or task.index in step.pending:
        return
    step.pending.add(task.index)
    wake(cell, step)
    cell.note('task_copied', job=step.job.spec.id, task=task.name, why=why)


def task_done(cell: _state.Cell, task: _state.Task, was_known: bool) -> None:
    """Note that a task has ended well, and what follows from it.

    A run that this owner has known before it ended cannot have made a
    former owner start what comes after it.
    """
    if task.is_done:
        return
    task.is_done = True
    step = task.step
    job = step.job
    step.pending.discard(task.index)
    step.left -= 1
    cell.dirty[job.spec.id] = job
    if step.left:
        return
    cell.waiting.pop(step.name, None)
    job.left -= 1
    if job.left == 0:
        finish(cell, job, model.JobState.COMPLETED)
        return
    for number, spec in enumerate(job.spec.steps):
        later = job.steps[step.occurrence, number]
        if step.number in spec.after and all(
            job.steps[step.occurrence, i].left == 0 for i in spec.after
        ):
            if was_known:
                later.in_doubt = False
            make_ready(cell, later)


def task_failed(
    cell: _state.Cell, task: _state.Task, run: int, worker_id: str
) -> None:
    """Count a failure of a task; its job fails after too many."""
    job = task.step.job
    task.failed_on.add(worker_id)
    if task.step.spec.is_gang:
        # A gang fails as one.
        task = task.step.tasks[0]
    if run in task.failed_runs:
        return
    task.failed_runs.add(run)
    cell.dirty[job.spec.id] = job
    if task.is_done or job.state in FINAL or task.step.spec.is_lasting:
        return
    if len(task.failed_runs) >= job.queue.max_attempts:
        cell.note(
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
    """Let a job end; what runs of it is stopped by the caller."""
    job.state = state
    cell.dirty[job.spec.id] = job
    for step in job.steps.values():
        cell.waiting.pop(step.name, None)
        step.pending.clear()
    cell.note('job_ended', job=job.spec.id, state=state.value)


def visible_state(job: _state.JobRun) -> model.JobState:
    """Give the state that callers may see: an end only once stored."""
    if job.state is model.JobState.CANCELLED or job.is_recorded:
        return job.state
    if job.state in FINAL:
        return model.JobState.RUNNING
    return job.state
