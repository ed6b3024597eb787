"""Orders to workers, their answers, and the runs that they lead to."""

from celeryshift_cell import _health
from celeryshift_cell import _jobs
from celeryshift_cell import _leases
from celeryshift_cell import _reserve
from celeryshift_cell import _state
from celeryshift_cell import effects
from celeryshift_cell import events
from celeryshift_cell import model

Outcome = events.Outcome
Phase = _state.Phase

# A start with one of these outcomes has surely not been carried out.
NOT_RUN = frozenset(
    {
        Outcome.FENCED,
        Outcome.STALE_RUN,
        Outcome.DEADLINE_PASSED,
        Outcome.NO_CAPACITY,
        Outcome.NO_TICKET,
        Outcome.REFUSED,
        Outcome.INVALID,
        Outcome.NOT_SENT,
    }
)
# Ends of unknown jobs are kept so long, for jobs that are heard of late.
EARLY_END_S = 10.0
# Pause before work is sent again to a worker that refused some.
REFUSED_PAUSE_S = 0.5


def next_number(cell: _state.Cell, tasks: list[_state.Task]) -> int:
    """Give a number that no run of any of these tasks has had."""
    base = (cell.epoch - 1) * _state.RUNS_PER_EPOCH
    return max(base, *(task.last_run for task in tasks)) + 1


def start(
    cell: _state.Cell,
    task: _state.Task,
    worker: _state.Worker,
    number: int,
    ticket: str,
) -> None:
    """Send the order to start a task on a worker."""
    step = task.step
    job = step.job
    task.last_run = max(task.last_run, number)
    run = _state.Run(task, number, worker, Phase.SENT, cell.now)
    _attach(cell, run)
    cell.placed[task.index] = worker.id
    zone = cell.zone(worker)
    if zone.unanswered_since is None:
        zone.unanswered_since = cell.now
    entry = worker.entry
    cell.emit(
        effects.StartRun(
            entry.id,
            entry.life,
            entry.address,
            task.name,
            number,
            job.spec.spec,
            task.checkpoint,
            ticket,
            _leases.extend(cell, worker),
        )
    )
    if worker.ask_at is None and not worker.holds_out:
        worker.ask_at = cell.now


def _attach(cell: _state.Cell, run: _state.Run) -> None:
    task = run.task
    step = task.step
    task.runs[run.number] = run
    run.worker.runs[task.name, run.number] = run
    run.is_urgent = _reserve.is_urgent(step)
    _book(cell, run, 1)
    step.on_worker[run.worker.id] += 1
    step.pending.discard(task.index)
    if not step.pending:
        cell.waiting.pop(step.name, None)
    if step.job.state is model.JobState.QUEUED:
        step.job.state = model.JobState.RUNNING


def detach(cell: _state.Cell, run: _state.Run) -> None:
    """Give back what a run used, since it is surely over."""
    task = run.task
    step = task.step
    if task.runs.pop(run.number, None) is None:
        return
    worker = run.worker
    worker.runs.pop((task.name, run.number), None)
    _book(cell, run, -1)
    step.on_worker[worker.id] -= 1
    team = step.job.spec.team
    _wake_for_room(cell, worker, team)


def _book(cell: _state.Cell, run: _state.Run, sign: int) -> None:
    """Count what a run uses (1), or no longer uses (-1)."""
    worker = run.worker
    step = run.task.step
    pool = cell.pool(worker.entry.upstream)
    before = _reserve.slots(pool, worker)
    worker.book(step.spec, sign)
    pool.free_slots += _reserve.slots(pool, worker) - before
    size = step.spec.size
    usage = cell.usage(step.job.spec.team)
    usage.book(size, sign)
    if run.is_urgent:
        pool.urgent.used += sign
        usage.urgent_cpu.used += sign * size.cpu_milli
        usage.urgent_memory.used += sign * size.memory_mb


def _wake_for_room(
    cell: _state.Cell, worker: _state.Worker, team: str
) -> None:
    for step in cell.waiting.values():
        if not step.is_blocked or step.is_held:
            continue
        if step.team_full:
            if step.job.spec.team == team:
                step.is_blocked = False
        elif worker.has_room(step.spec) and (
            step.unfit.get(worker.id) != worker.entry.life
        ):
            step.is_blocked = False


def stop(cell: _state.Cell, run: _state.Run, why: str) -> None:
    """Order a worker to stop a run."""
    run.phase = Phase.STOPPING
    run.since = cell.now
    entry = run.worker.entry
    cell.note(
        'run_stopped',
        job=run.task.step.job.spec.id,
        task=run.task.name,
        run=run.number,
        worker=entry.id,
        why=why,
    )
    cell.emit(
        effects.StopRun(
            entry.id, entry.life, entry.address, run.task.name, run.number
        )
    )


def stop_job(cell: _state.Cell, job: _state.JobRun, why: str) -> None:
    """Stop all runs of a job."""
    for step in job.steps.values():
        for task in step.tasks:
            for run in task.runs.values():
                if run.phase is not Phase.STOPPING:
                    stop(cell, run, why)


def start_answered(
    cell: _state.Cell, event: events.StartAnswered
) -> _state.Worker | None:
    """Settle an order to start, or note the doubt.

    Gives the worker, if it is to be asked at once.
    """
    worker = cell.workers.get(event.worker_id)
    run = worker and worker.runs.get((event.task, event.run))
    if worker is None or not run:
        return None
    outcome = event.outcome
    if outcome not in (Outcome.UNKNOWN, Outcome.NOT_SENT):
        cell.heard(worker)
    if outcome is Outcome.DONE:
        if run.phase in (Phase.SENT, Phase.DOUBT):
            _confirm(cell, run)
        return None
    cell.note(
        'start_not_confirmed',
        job=run.task.step.job.spec.id,
        task=event.task,
        run=event.run,
        worker=event.worker_id,
        outcome=outcome.value,
        after_ms=round((cell.now - run.since) * 1000),
    )
    if outcome is Outcome.FENCED:
        cell.emit(effects.StepDown(event.worker_id))
    if outcome is Outcome.OTHER_INCARNATION:
        other_life(cell, worker)
    elif outcome in NOT_RUN:
        _not_run(cell, run, outcome)
    elif outcome is Outcome.UNKNOWN:
        if run.phase is Phase.SENT:
            run.phase = Phase.DOUBT
            run.since = cell.now
        return worker
    return None


def _confirm(cell: _state.Cell, run: _state.Run) -> None:
    run.phase = Phase.RUNNING
    run.confirmed_at = run.moved_at = cell.now


def _not_run(
    cell: _state.Cell, run: _state.Run, outcome: events.Outcome
) -> None:
    worker = run.worker
    step = run.task.step
    if outcome is Outcome.NO_TICKET:
        step.verdicts.pop(worker.id, None)
    elif outcome is not Outcome.STALE_RUN:
        worker.quarantined_until = max(
            worker.quarantined_until, cell.now + REFUSED_PAUSE_S
        )
    detach(cell, run)
    if step.spec.is_gang:
        break_gang(cell, step, run.number)
    _jobs.put_back(cell, run.task)


def break_gang(cell: _state.Cell, step: _state.StepRun, number: int) -> None:
    """Stop the other members of a gang of which one can't run."""
    for task in step.tasks:
        run = task.runs.get(number)
        if run is not None and run.phase is not Phase.STOPPING:
            stop(cell, run, 'gang incomplete')


def stop_answered(
    cell: _state.Cell, event: events.StopAnswered
) -> _state.Worker | None:
    """Note that a run can't be there any more after the next list.

    Gives the worker, if it is to be asked for that list at once.
    """
    worker = cell.workers.get(event.worker_id)
    run = worker and worker.runs.get((event.task, event.run))
    if worker is None or not run:
        return None
    if event.outcome is Outcome.FENCED:
        cell.emit(effects.StepDown(event.worker_id))
    elif event.outcome is Outcome.DONE:
        run.stopped_at = cell.now
        return None if run.confirmed_at else worker
    # Without an answer, the tick sends the order again.
    return None


def listed(
    cell: _state.Cell,
    worker: _state.Worker,
    event: events.PollAnswered,
    is_first: bool,
) -> None:
    """Compare the runs that a worker lists with those that are known."""
    seen = set()
    worker.strangers.clear()
    for entry in event.running:
        seen.add((entry.task, entry.run))
        run = worker.runs.get((entry.task, entry.run))
        if run is None:
            run = _adopt(cell, worker, entry)
            if run is not None and is_first:
                step = run.task.step
                found = cell.adopted(step.job.spec.team)
                found.book(step.spec.size, 1)
        if run is not None:
            _refresh(cell, run, entry)
    for key, run in list(worker.runs.items()):
        if key not in seen:
            _missing(cell, run, event.sent_at)


def _adopt(
    cell: _state.Cell, worker: _state.Worker, entry: events.RunStatus
) -> _state.Run | None:
    task = cell.task(entry.task)
    if task is None:
        worker.strangers.add((entry.task, entry.run))
        life = worker.entry
        cell.note('unknown_run', task=entry.task, worker=worker.id)
        cell.emit(
            effects.StopRun(
                life.id, life.life, life.address, entry.task, entry.run
            )
        )
        return None
    others = len(task.runs)
    run = _take_in(cell, task, entry.run, worker)
    cell.note(
        'run_adopted',
        job=task.step.job.spec.id,
        task=task.name,
        run=entry.run,
        worker=worker.id,
    )
    job = task.step.job
    is_spare = others and not task.step.spec.allows_copies
    if task.is_done or job.state in _jobs.FINAL or is_spare:
        stop(cell, run, 'not wanted')
    return run


def _take_in(
    cell: _state.Cell, task: _state.Task, number: int, worker: _state.Worker
) -> _state.Run:
    """Count a run that is there, and that this owner has not ordered."""
    run = _state.Run(task, number, worker, Phase.RUNNING, cell.now)
    _confirm(cell, run)
    task.last_run = max(task.last_run, number)
    _attach(cell, run)
    return run


def catch_up(cell: _state.Cell, job: _state.JobRun) -> None:
    """Count what has run of a job before it was heard of.

    A former owner may have started it. What has ended well is done; what
    runs is stopped, and starts again once that is certain.
    """
    prefix = f'{job.spec.id}.'
    _apply_early_ends(cell, prefix)
    for worker in cell.workers.values():
        for name, number in sorted(worker.strangers):
            task = cell.task(name) if name.startswith(prefix) else None
            if task is not None:
                worker.strangers.discard((name, number))
                run = _take_in(cell, task, number, worker)
                stop(cell, run, 'started before its job was known')


def _apply_early_ends(cell: _state.Cell, prefix: str) -> None:
    early, cell.early_ends = cell.early_ends, []
    for at, worker_id, entry in early:
        if cell.now - at >= EARLY_END_S:
            continue
        if not entry.task.startswith(prefix):
            cell.early_ends.append((at, worker_id, entry))
        elif worker_id in cell.workers:
            ended(cell, cell.workers[worker_id], entry)


def _refresh(
    cell: _state.Cell, run: _state.Run, entry: events.RunStatus
) -> None:
    if run.phase in (Phase.SENT, Phase.DOUBT):
        _confirm(cell, run)
    if entry.checkpoint:
        run.task.checkpoint = entry.checkpoint
    if entry.percent != run.percent:
        run.moved_at = cell.now
    run.percent = entry.percent
    run.load = entry.load


def _missing(cell: _state.Cell, run: _state.Run, asked_at: float) -> None:
    if run.phase is Phase.RUNNING and asked_at > run.confirmed_at:
        _gone(cell, run, 'no longer listed')
    elif run.phase is Phase.DOUBT and asked_at > run.since:
        stop(cell, run, 'start in doubt')
    elif run.stopped_at is not None and asked_at > run.stopped_at:
        _gone(cell, run, 'never ran')


def _gone(cell: _state.Cell, run: _state.Run, why: str) -> None:
    cell.note(
        'run_gone',
        job=run.task.step.job.spec.id,
        task=run.task.name,
        run=run.number,
        worker=run.worker.id,
        why=why,
    )
    detach(cell, run)
    if run.task.step.spec.is_gang:
        break_gang(cell, run.task.step, run.number)
    _jobs.put_back(cell, run.task)


def ended(
    cell: _state.Cell, worker: _state.Worker, entry: events.RunCompletion
) -> None:
    """Draw the conclusions from the end of a run."""
    task = cell.task(entry.task)
    if task is None:
        cell.early_ends.append((cell.now, worker.id, entry))
        return
    run = worker.runs.get((entry.task, entry.run))
    task.last_run = max(task.last_run, entry.run)
    if entry.checkpoint:
        task.checkpoint = entry.checkpoint
    step = task.step
    job = step.job
    cell.note(
        'run_ended',
        job=job.spec.id,
        task=entry.task,
        run=entry.run,
        worker=worker.id,
        how=entry.result.value,
        ran_ms=run and round((cell.now - run.since) * 1000),
    )
    if run is not None:
        detach(cell, run)
    _health.ended(cell, worker, task, run, entry.result)
    if entry.result is model.RunResult.DONE and not step.spec.is_lasting:
        members = step.tasks if step.spec.is_gang else [task]
        for member in members:
            _jobs.task_done(cell, member, run is not None)
        for copy in list(task.runs.values()):
            if copy.phase is not Phase.STOPPING:
                stop(cell, copy, 'another copy ended')
        return
    if entry.result is model.RunResult.FAILED:
        _jobs.task_failed(cell, task, entry.run, worker.id)
        if job.state is model.JobState.FAILED:
            stop_job(cell, job, 'job failed')
    cell.dirty[job.spec.id] = job
    _jobs.put_back(cell, task)


def lost(cell: _state.Cell, worker: _state.Worker, why: str) -> None:
    """Conclude that all runs of a worker are over.

    Orders under way may still reach a later life of the worker, if there is
    one: these stay in doubt.
    """
    for run in list(worker.runs.values()):
        if run.phase in (Phase.SENT, Phase.DOUBT):
            continue
        _gone(cell, run, why)


def expired(cell: _state.Cell, worker: _state.Worker) -> None:
    """Conclude that everything on a worker has ended with its lease."""
    for run in list(worker.runs.values()):
        _gone(cell, run, 'lease ran out')


def carry_over(
    cell: _state.Cell, before: _state.Worker, after: _state.Worker
) -> None:
    """Let orders under way count on the next life of a worker."""
    for key, run in list(before.runs.items()):
        del before.runs[key]
        run.worker = after
        after.runs[key] = run
        after.book(run.task.step.spec, 1)
    after.lease_until = before.lease_until


def other_life(cell: _state.Cell, worker: _state.Worker) -> None:
    """Conclude that a life of a worker is over."""
    lost(cell, worker, 'another worker answers')
    for run in list(worker.runs.values()):
        # An order that names the former life is refused by any other.
        _gone(cell, run, 'another worker answers')
    cell.unfenced.discard(worker.id)
    worker.ask_at = None
    worker.is_silent = True
    worker.is_listed = False
