"""Finds the tasks that crash the workers that start them.

A crash ends all runs of a worker, and nobody reports which of them caused it.
The suspects are those that the worker was not heard of for TRIAL_S after their
start. A suspect starts again on trial: on a worker whose other tasks are no
suspects if it crashes, and that gets no other work until it was heard of
TRIAL_S after the start. Only crashes on trial count against a task.
"""

import attrs

from celeryshift_core import _ledger
from celeryshift_core import _size
from celeryshift_core import _state
from celeryshift_core import _tasks
from celeryshift_core import events

TRIAL_S = 1.5
# A run that its worker has outlived for this time clears its task.
CLEARED_S = 10.0
# A task is given up at this sum of points: after two certain crashes on trial,
# or four if its workers may only have been cut off.
GUILTY = 4
CERTAIN = 2
UNCERTAIN = 1
# A gang does not start on trial, so a task of it is given up at this number of
# losses. It is the most that is allowed: three, and three more starts.
MAX_LOSSES = 6
CANDIDATES = 8
# At most this part of the workers has trials, so that others take urgent work.
MAX_TRIALS_DIVISOR = 4


@attrs.frozen(slots=True)
class Loss:
    """Loss of a run with its worker, which was heard of `survived_s` later.

    It is certain if the worker has restarted or its VM is gone. Otherwise the
    worker may have been cut off.
    """

    run: str
    survived_s: float
    is_certain: bool


def record_break(state: _state.State, worker: _ledger.Worker) -> None:
    """Record that a worker may have crashed since it was last heard of."""
    worker.broke_at = state.now
    worker.heard_before_break = worker.heard_at


def find_loss(
    task: _tasks.Task, worker: _ledger.Worker, is_certain: bool
) -> Loss | None:
    """Return the loss of a task's run if its worker may have crashed.

    A worker that leaves as announced has not crashed.
    """
    if worker.state is not events.VmState.LIVE:
        return None
    if worker.broke_at < task.started_at:
        return None
    survived_s = worker.heard_before_break - task.started_at
    return Loss(task.run_id, survived_s, is_certain)


def record_loss(job: _tasks.Job, task: _tasks.Task, loss: Loss) -> bool:
    """Record a loss of a task; return whether the task is suspected of it."""
    if loss.survived_s >= CLEARED_S:
        forget(job, task.index)
    if loss.survived_s >= TRIAL_S:
        return False
    points = 0
    if task.on_trial:
        points = CERTAIN if loss.is_certain else UNCERTAIN
    lost_runs = job.lost_runs_by_index.setdefault(task.index, {})
    lost_runs[_run_number(loss.run)] = points
    job.losses_version += 1
    return True


def forget(job: _tasks.Job, index: int) -> None:
    """Forget the losses of a task that has ended or runs for long."""
    if job.lost_runs_by_index.pop(index, None) is not None:
        job.losses_version += 1


def revoke(job: _tasks.Job, task: _tasks.Task, run_id: str) -> bool:
    """Revoke the loss of a run that its worker reports, if there is one."""
    lost_runs = job.lost_runs_by_index.get(task.index, {})
    if lost_runs.pop(_run_number(run_id), None) is None:
        return False
    if not lost_runs:
        del job.lost_runs_by_index[task.index]
    job.losses_version += 1
    return True


def is_suspect(job: _tasks.Job, task: _tasks.Task) -> bool:
    """Return whether a task may start only on trial."""
    return task.index in job.lost_runs_by_index


def is_guilty(job: _tasks.Job, task: _tasks.Task) -> bool:
    """Return whether a task is to be given up."""
    lost_runs = job.lost_runs_by_index.get(task.index, {})
    return sum(lost_runs.values()) >= GUILTY or len(lost_runs) >= MAX_LOSSES


def find_workers(
    slice_: _state.Slice, task: _tasks.Task, size: _size.Size
) -> list[_ledger.Worker]:
    """Return some workers on which a suspect may start, the emptiest first."""
    fitting = slice_.ledger.worst_fit(task.upstream, size, CANDIDATES)
    return sorted(
        (worker for worker in fitting if may_start(slice_, task, worker)),
        key=lambda worker: len(worker.bookings_by_run),
    )


def may_start(
    slice_: _state.Slice, task: _tasks.Task, worker: _ledger.Worker
) -> bool:
    """Return whether a task may start on a worker that has room for it.

    A suspect with several losses waits until they are stored, so that an owner
    that dies takes at most two along.
    """
    if not task.on_trial:
        return True
    job = slice_.jobs_by_id[task.job]
    lost_runs = job.lost_runs_by_index.get(task.index, {})
    is_stored = job.stored_losses_version == job.losses_version
    live = slice_.ledger.count_live(task.upstream)
    max_trials = max(1, live // MAX_TRIALS_DIVISOR)
    return (
        (is_stored or len(lost_runs) <= 1)
        and _count_trials(slice_, task.upstream) < max_trials
        and all(
            _is_settled(slice_, worker, run_id)
            for run_id in worker.bookings_by_run
        )
    )


def begin_trial(
    slice_: _state.Slice, task: _tasks.Task, worker: _ledger.Worker
) -> None:
    """Keep other work from the worker of a suspect that starts there."""
    worker.trial_run = task.run_id
    names = slice_.trials_by_upstream.setdefault(task.upstream, set())
    names.add(worker.name)
    slice_.ledger.refresh(worker)


def update_trial(slice_: _state.Slice, worker: _ledger.Worker) -> None:
    """End the trial on a worker if its run has passed it, or has ended."""
    run_id = worker.trial_run
    if run_id and _is_settled(slice_, worker, run_id):
        worker.trial_run = ''


def is_watched(slice_: _state.Slice, worker: _ledger.Worker) -> bool:
    """Return whether a worker has a trial, or is earmarked for one."""
    task = slice_.tasks_by_id.get(worker.earmarked_for)
    return bool(worker.trial_run) or (task is not None and task.on_trial)


def to_value(job: _tasks.Job) -> dict[str, dict[str, int]]:
    """Return the losses of a job's tasks as they are stored."""
    return {
        str(index): dict(lost_runs)
        for index, lost_runs in job.lost_runs_by_index.items()
    }


def from_value(
    value: dict[str, dict[str, int]],
) -> dict[int, dict[str, int]]:
    """Return the losses that are stored with a job, by index of the task."""
    return {int(index): dict(lost_runs) for index, lost_runs in value.items()}


def _is_settled(
    slice_: _state.Slice, worker: _ledger.Worker, run_id: str
) -> bool:
    """Return whether a run is no suspect if its worker crashes now."""
    task = slice_.tasks_by_id.get(_tasks.task_id_of_run(run_id))
    if task is None or task.run_id != run_id or task.is_request:
        return True
    return worker.heard_at - task.started_at >= TRIAL_S


def _count_trials(slice_: _state.Slice, upstream: str) -> int:
    """Return the number of trials on an upstream, and drop ended ones."""
    names = slice_.trials_by_upstream.get(upstream, set())
    workers = slice_.ledger.workers_by_name
    ended = {
        name
        for name in names
        if name not in workers or not workers[name].trial_run
    }
    names -= ended
    return len(names)


def _run_number(run_id: str) -> str:
    """Return the part of a run's name that tells it from those of its task."""
    return run_id.rpartition('~')[2]
