"""Explanations of why work waits, ran on a worker, or was refused."""

from celeryshift_core import _state
from celeryshift_core import _tasks

MAX_REMEMBERED = 2000
MAX_TASKS_SHOWN = 20


def remember_completed(state: _state.State, task: _tasks.Task) -> None:
    """Keep an ended task and its decisions until many others have ended."""
    state.completed_by_id[task.id] = task
    state.completed_by_id.move_to_end(task.id)
    if len(state.completed_by_id) > MAX_REMEMBERED:
        state.completed_by_id.popitem(last=False)


def record_decision(
    state: _state.State,
    slice_: _state.Slice,
    task: _tasks.Task,
    what: str,
    why: str,
) -> None:
    """Record a decision about a task, also with its job."""
    task.record_decision(state.now, what, why)
    job = slice_.jobs_by_id.get(task.job)
    if job is not None:
        job.record_decision(task.decisions[-1])


def explain_task(state: _state.State, task: _tasks.Task) -> dict:
    """Return the decisions about a task, with the age of each."""
    return {
        'task': task.id,
        'state': task.state.value,
        'decisions': _describe(state, task.decisions),
    }


def find_task(state: _state.State, task_id: str) -> _tasks.Task | None:
    """Return a task that this node holds or remembers."""
    for slice_ in state.slices_by_number.values():
        task = slice_.tasks_by_id.get(task_id)
        if task is not None:
            return task
    return state.completed_by_id.get(task_id)


def explain_job(
    state: _state.State, slice_: _state.Slice, job: _tasks.Job
) -> dict:
    """Return the decisions about a job and about its first tasks."""
    shown = []
    for index in range(min(job.tasks, MAX_TASKS_SHOWN)):
        task = find_task(state, job.task_id(index))
        if task is not None:
            shown.append(explain_task(state, task))
    return {
        **describe_job(job),
        'slice': slice_.number,
        'gang': _describe_gang(slice_.gangs_by_job.get(job.id)),
        'decisions': _describe(state, job.decisions),
        'explained': shown,
    }


def describe_job(job: _tasks.Job) -> dict:
    """Return the progress of a job."""
    return {
        'id': job.id.partition(':')[2],
        'team': job.team,
        'kind': job.kind,
        'state': job.state,
        'tasks': job.tasks,
        'running': len(job.running),
        'done': len(job.done),
        'failed': len(job.failed),
        'unknown': len(job.unknown),
    }


def _describe(
    state: _state.State, decisions: list[_tasks.Decision]
) -> list[dict]:
    return [
        {
            'ago_s': round(state.now - decision.at, 3),
            'what': decision.what,
            'why': decision.why,
            'worker': decision.worker,
        }
        for decision in decisions
    ]


def _describe_gang(gang: _tasks.Gang | None) -> dict | None:
    if gang is None:
        return None
    return {
        'phase': gang.phase.value,
        'reserved': len(gang.reserved),
        'waiting': len(gang.waiting),
        'window_s': gang.window_s,
        'restarts': gang.restarts,
    }
