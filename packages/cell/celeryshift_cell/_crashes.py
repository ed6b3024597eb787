"""Finds the tasks that crash the workers that start them.

A crash ends all runs of a worker, and nobody reports which of them caused it.
The suspects are the runs that had only just begun. A suspect starts again on
trial: on a worker that has just answered, with the least work, and with no
other start there until the run has outlasted one that was lost before. A task
that crashes more workers, on trial, is given up, and its job fails.

A worker that does not answer may be alive. Its runs count as lost meanwhile,
so that its tasks start elsewhere on trial, but the loss is revoked if the same
incarnation answers again, and only certain crashes count against a job.
"""

from celeryshift_cell import _in_doubt
from celeryshift_cell import _jobs
from celeryshift_cell import _losses
from celeryshift_cell import _state
from celeryshift_cell import _worker_state

# A run that its worker has outlived for this time is no suspect.
SETTLED_S = 0.25
# A trial lasts for a multiple of the shortest time that a worker survived: one
# that lived for longer may have crashed for another reason.
TRIAL_FACTOR = 2.0
MAX_TRIAL_S = 1.0
# A task with so many losses in less than the longest trial is a suspect too.
EARLY_LOSSES = 3
# A task is given up at this evidence, which includes a trial. It counts most
# if the worker was lost as soon as it had been heard of: otherwise it may have
# crashed at any time of its silence. Two prompt crashes on trial are enough
# after any other, and one after two that the task is suspected of.
GUILTY = 8
PROMPT_TRIAL = 4
CONFIRMED_TRIAL = 3
OTHER_TRIAL = 1
PROMPT_SUSPICION = 2
CONFIRMED_SUSPICION = 1
# A trial starts on a worker that has answered within this time.
HEARD_S = 0.1
# A run that lasts for this time clears its task.
CLEARED_S = 10.0
# A worker that has left the list and is not heard of for this time has
# crashed; any other is alive, though it does not answer.
UNHEARD_S = 30.0
MAX_LOSSES = 8
# Id, in the place of a worker's, of a loss that may have been under a former
# owner.
UNKNOWN_WORKER = ''
# How long a worker is kept from other starts until a suspect may start there.
RESERVED_S = SETTLED_S + 0.35


def is_suspect(task: _state.Task) -> bool:
    """Return whether a task may start only on trial."""
    losses = task.losses_by_worker.values()
    early = sum(loss.survived_s < MAX_TRIAL_S for loss in losses)
    return early >= EARLY_LOSSES or any(loss.is_suspect for loss in losses)


def has_suspects(step: _state.StepRun) -> bool:
    """Return whether workers were lost under tasks of a step that wait."""
    return bool(step.suspicions) or any(
        task.losses_by_worker and task.index in step.pending
        for task in step.tasks.known
    )


def may_start(task: _state.Task) -> bool:
    """Return whether a task may start before its trials are settled.

    The losses of a suspect must be stored first, so that an owner that dies
    takes at most one crash along.
    """
    job = task.step.job
    is_stored = job.stored_loss_version >= job.required_loss_version
    if is_suspect(task) and not is_stored:
        return False
    if any(is_on_trial(run) for run in task.runs.values()):
        return False
    return not _is_guilty(list(task.losses_by_worker.values()))


def is_on_trial(run: _state.Run) -> bool:
    """Return whether a run is active and has not outlasted its trial."""
    key = run.worker.id, run.worker.entry.incarnation
    if key in run.task.losses_by_worker:
        return False
    return _survived_s(run) < run.trial_s


def _survived_s(run: _state.Run) -> float:
    """Return how long the worker certainly lived with a run."""
    if not run.confirmed_at:
        return 0.0
    return max(0.0, run.worker.clock_read_at - run.confirmed_at)


def _was_heard_of(cell: _state.Cell, run: _state.Run) -> bool:
    """Return whether a run's worker was heard of, or ordered, just now."""
    last = max(run.worker.clock_read_at, run.ordered_at)
    return cell.now - last < SETTLED_S


def _is_guilty(losses: list[_losses.Loss]) -> bool:
    """Return whether losses, if certain, show that their task causes them."""
    has_trial = any(loss.is_trial for loss in losses)
    return has_trial and sum(map(_evidence, losses)) >= GUILTY


def _evidence(loss: _losses.Loss) -> int:
    """Return how much a loss tells against its task."""
    if loss.is_trial:
        if loss.is_prompt:
            return PROMPT_TRIAL
        return CONFIRMED_TRIAL if loss.is_confirmed else OTHER_TRIAL
    if not loss.is_suspect:
        return 0
    if loss.is_prompt:
        return PROMPT_SUSPICION
    return CONFIRMED_SUSPICION if loss.is_confirmed else 0


def _trial_s(task: _state.Task) -> float:
    survived_s = min(
        (loss.survived_s for loss in task.losses_by_worker.values()),
        default=0.0,
    )
    return min(MAX_TRIAL_S, max(SETTLED_S, TRIAL_FACTOR * survived_s))


def begin_trial(cell: _state.Cell, run: _state.Run) -> None:
    """Keep the worker of a suspect from other starts, and store the trial."""
    job = run.task.step.job
    run.trial_s = _trial_s(run.task)
    reserve(cell, run.worker, job)
    job.loss_version += 1
    run.trial_version = job.loss_version
    cell.dirty_jobs[job.spec.id] = job


def is_trial_stored(run: _state.Run) -> bool:
    """Return whether the next owner would learn of a trial."""
    return run.task.step.job.stored_loss_version >= run.trial_version


def reserve(
    cell: _state.Cell,
    worker: _state.Worker,
    job: _state.JobRun,
    duration_s: float = RESERVED_S,
) -> None:
    """Let only tasks of one job start on a worker for a while."""
    if worker.reserved_until <= cell.now:
        worker.reserved_since = cell.now
    worker.reserved_for = job.spec.id
    worker.reserved_until = max(worker.reserved_until, cell.now + duration_s)


def end_trial(run: _state.Run) -> None:
    """End the trial of a run, if any, and release its worker."""
    if not run.trial_s:
        return
    run.trial_s = 0.0
    worker = run.worker
    if not any(other.trial_s for other in worker.runs.values()):
        worker.reserved_until = 0.0


def is_reserved(
    cell: _state.Cell, worker: _state.Worker, step: _state.StepRun
) -> bool:
    """Return whether a worker is kept from the starts of a step."""
    return (
        worker.reserved_until > cell.now
        and worker.reserved_for != step.job.spec.id
    )


def is_clean(
    cell: _state.Cell, worker: _state.Worker, job: _state.JobRun
) -> bool:
    """Return whether a crash would leave no other job under suspicion."""
    heard_since = cell.now - HEARD_S
    if worker.reserved_until > cell.now:
        heard_since = min(heard_since, worker.reserved_since)
    return worker.clock_read_at >= heard_since and all(
        run.task.step.job is job or _is_settled(cell, run)
        for run in worker.runs.values()
    )


def _is_settled(cell: _state.Cell, run: _state.Run) -> bool:
    lasted_s = cell.now - run.confirmed_at
    return bool(run.confirmed_at) and lasted_s >= SETTLED_S


def record_losses(cell: _state.Cell, worker: _state.Worker) -> None:
    """Record the losses of all tasks that run on a lost worker.

    A worker that was draining has left as announced.
    """
    if worker.entry.is_draining:
        return
    key = worker.id, worker.entry.incarnation
    for run in worker.runs.values():
        task = run.task
        job = task.step.job
        if task.is_done or job.state in _jobs.FINAL:
            continue
        if not (run.ordered_at or run.confirmed_at):
            continue
        known = task.losses_by_worker
        if any(loss.run == run.number for loss in known.values()):
            # The loss on a former incarnation, which the run outlived.
            continue
        survived_s = _survived_s(run)
        loss = _losses.Loss(
            run.number,
            worker.entry.address,
            cell.now,
            survived_s,
            is_confirmed=bool(run.confirmed_at),
            is_prompt=_was_heard_of(cell, run),
            is_suspect=survived_s < max(SETTLED_S, run.trial_s),
            is_trial=survived_s < run.trial_s,
        )
        add_loss(cell, task, key, loss)
        require_stored(cell, job)
        if loss.is_trial or is_suspect(task):
            cell.log_decision(
                'task_suspected',
                job=job.spec.id,
                task=task.name,
                run=run.number,
                worker=worker.id,
                life=worker.entry.incarnation,
                survived_ms=round(survived_s * 1000),
                is_trial=loss.is_trial,
                is_prompt=loss.is_prompt,
                losses=len(task.losses_by_worker),
            )


def suspect_in_doubt(cell: _state.Cell) -> None:
    """Suspect what a former owner may have started on a crashed worker.

    It may have died before it stored what ran there.
    """
    for job in cell.jobs.values():
        if job.state in _jobs.FINAL or not job.occurrences_in_doubt:
            continue
        for step in job.steps.known:
            if _in_doubt.may_have_started(step):
                suspect_step(cell, step)
        _suspect_others(cell, job)


def _suspect_others(cell: _state.Cell, job: _state.JobRun) -> None:
    """Suspect the steps in doubt that are not in memory."""
    key = UNKNOWN_WORKER, cell.epoch
    if key in job.suspicions or len(job.steps.done) == len(job.steps):
        return
    job.suspected_occurrences = job.occurrences_in_doubt
    _add_suspicion(job.suspicions, key, _unknown_loss(cell))
    require_stored(cell, job)


def _unknown_loss(cell: _state.Cell) -> _losses.Loss:
    """Return a loss that may have been under a former owner."""
    return _losses.Loss(0, '', cell.now, 0.0, is_suspect=True, is_certain=True)


def restore_suspicions(
    cell: _state.Cell,
    suspicions: dict[tuple[str, int], _losses.Loss],
    epochs: list[int],
) -> None:
    """Restore the losses that may have been under former owners."""
    for epoch in epochs:
        _add_suspicion(
            suspicions, (UNKNOWN_WORKER, epoch), _unknown_loss(cell)
        )


def _add_suspicion(
    suspicions: dict[tuple[str, int], _losses.Loss],
    key: tuple[str, int],
    loss: _losses.Loss,
) -> None:
    if len(suspicions) >= MAX_LOSSES:
        del suspicions[next(iter(suspicions))]
    suspicions[key] = loss


def suspect_step(cell: _state.Cell, step: _state.StepRun) -> None:
    """Let the tasks of a step in doubt start only on trial.

    It is not known that they have started, so this tells nothing against them.
    """
    key = UNKNOWN_WORKER, cell.epoch
    tasks = [
        task
        for task in step.tasks.known
        if not (task.is_done or task.runs or key in task.losses_by_worker)
    ]
    others = step.remaining_tasks - sum(
        not task.is_done for task in step.tasks.known
    )
    is_suspected = key in step.suspicions
    if not tasks and (is_suspected or not others):
        return
    for task in tasks:
        add_loss(cell, task, key, _unknown_loss(cell))
    if not is_suspected:
        _add_suspicion(step.suspicions, key, _unknown_loss(cell))
    require_stored(cell, step.job)
    cell.log_decision(
        'step_suspected',
        job=step.job.spec.id,
        step=step.name,
        tasks=len(tasks) + (0 if is_suspected else others),
    )


def require_stored(cell: _state.Cell, job: _state.JobRun) -> None:
    """Require that the losses of a job are stored before its next trial."""
    job.loss_version += 1
    job.required_loss_version = job.loss_version
    cell.dirty_jobs[job.spec.id] = job


def add_loss(
    cell: _state.Cell,
    task: _state.Task,
    key: tuple[str, int],
    loss: _losses.Loss,
) -> None:
    """Add a loss to a task, in place of the least telling if it has many."""
    losses = task.losses_by_worker
    if len(losses) >= MAX_LOSSES:
        oldest = min(losses, key=lambda k: (losses[k].is_trial, losses[k].at))
        del losses[oldest]
    losses[key] = loss
    if not loss.is_certain:
        lost = cell.lost_workers.setdefault(
            key, _worker_state.LostWorker(loss.address, loss.at)
        )
        lost.tasks.append(task)


def confirm(cell: _state.Cell, key: tuple[str, int]) -> list[_state.Task]:
    """Mark the losses of a crashed worker as certain.

    Return the tasks that are to be given up.
    """
    lost = cell.lost_workers.pop(key, None)
    guilty = []
    for task in lost.tasks if lost else ():
        loss = task.losses_by_worker.get(key)
        job = task.step.job
        if loss is None or job.state in _jobs.FINAL or task.is_done:
            continue
        loss.is_certain = True
        cell.dirty_jobs[job.spec.id] = job
        _jobs.unblock(cell, task.step)
        losses = task.losses_by_worker.values()
        if _is_guilty([other for other in losses if other.is_certain]):
            guilty.append(task)
    return guilty


def confirm_replaced(
    cell: _state.Cell, worker: _state.Worker
) -> list[_state.Task]:
    """Confirm the crashes of the incarnations before a worker.

    These had its id or its address. Return the tasks that are to be given up.
    """
    entry = worker.entry
    replaced = [
        key
        for key, lost in cell.lost_workers.items()
        if key[1] < entry.incarnation
        and (key[0] == entry.id or lost.address == entry.address)
    ]
    return [task for key in replaced for task in confirm(cell, key)]


def revoke(cell: _state.Cell, key: tuple[str, int]) -> None:
    """Revoke the losses on a worker that has not crashed."""
    lost = cell.lost_workers.pop(key, None)
    for task in lost.tasks if lost else ():
        if task.losses_by_worker.pop(key, None) is not None:
            _mark_changed(cell, task)


def settle_unheard(cell: _state.Cell) -> list[_state.Task]:
    """Settle the losses on workers that were not heard of for long.

    Return the tasks that are to be given up.
    """
    guilty = []
    for key, lost in list(cell.lost_workers.items()):
        if cell.now - lost.at < UNHEARD_S:
            continue
        worker = cell.worker(*key)
        if worker is not None and worker.is_listed:
            revoke(cell, key)
        else:
            guilty += confirm(cell, key)
    return guilty


def handle_reported(cell: _state.Cell, task: _state.Task, run: int) -> None:
    """Remove the loss of a run that a worker reports, so that it goes on.

    A run may be carried out by a later incarnation than it was ordered from.
    """
    for key, loss in list(task.losses_by_worker.items()):
        if loss.run == run:
            del task.losses_by_worker[key]
            _mark_changed(cell, task)


def handle_progress(cell: _state.Cell, run: _state.Run) -> None:
    """End a trial that has passed, and clear a task that runs for long."""
    task = run.task
    if run.trial_s and not is_on_trial(run):
        end_trial(run)
        _mark_changed(cell, task)
    if task.losses_by_worker and _survived_s(run) >= CLEARED_S:
        task.losses_by_worker.clear()
        _mark_changed(cell, task)


def _mark_changed(cell: _state.Cell, task: _state.Task) -> None:
    job = task.step.job
    cell.dirty_jobs[job.spec.id] = job
    _jobs.unblock(cell, task.step)
