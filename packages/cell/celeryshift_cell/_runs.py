"""Life cycle of runs: orders to workers, their responses, and results."""

from celeryshift_cell import _crashes
from celeryshift_cell import _dropped_runs
from celeryshift_cell import _headroom
from celeryshift_cell import _health
from celeryshift_cell import _jobs
from celeryshift_cell import _leases
from celeryshift_cell import _limits
from celeryshift_cell import _state
from celeryshift_cell import _stops
from celeryshift_cell import effects
from celeryshift_cell import events
from celeryshift_cell import model

Outcome = events.Outcome
Phase = _state.Phase

# A start with one of these outcomes was certainly not carried out.
NOT_STARTED = frozenset(
    {
        Outcome.FENCED,
        Outcome.STALE_RUN,
        Outcome.DEADLINE_PASSED,
        Outcome.NO_CAPACITY,
        Outcome.NO_TICKET,
        Outcome.REFUSED,
        Outcome.OTHER_INCARNATION,
        Outcome.INVALID,
        Outcome.NOT_SENT,
    }
)
# A trial is not ordered if it could not be stored for this time.
STORE_TRIAL_S = 1.0
# Pause before a worker is used again that did not carry out a start.
NOT_STARTED_PAUSE_S = 0.5


def next_number(cell: _state.Cell, tasks: list[_state.Task]) -> int:
    """Return a run number that none of the tasks has used."""
    base = (cell.epoch - 1) * _state.RUNS_PER_EPOCH
    return max(base, *(task.last_run for task in tasks)) + 1


def start(
    cell: _state.Cell,
    task: _state.Task,
    worker: _state.Worker,
    number: int,
    ticket: str,
) -> None:
    """Order a worker to start a task, or prepare its trial."""
    task = task.step.tasks.keep(task)
    task.last_run = max(task.last_run, number)
    run = _state.Run(task, number, worker, Phase.SENT, cell.now, ticket=ticket)
    attach(cell, run)
    cell.placements[task.index] = worker.id
    if _crashes.is_suspect(task):
        _crashes.begin_trial(cell, run)
        cell.unsent_runs.append(run)
    else:
        _send_start(cell, run)


def send_trials(cell: _state.Cell) -> None:
    """Order the trials that are stored, and cancel those that never are."""
    unsent, cell.unsent_runs = cell.unsent_runs, []
    for run in unsent:
        task, worker = run.task, run.worker
        if task.runs.get(run.number) is not run or run.phase is not Phase.SENT:
            continue
        is_late = cell.now - run.since > STORE_TRIAL_S
        if is_late or not worker.is_usable(cell.now):
            _crashes.require_stored(cell, task.step.job)
            _revert_start(cell, run)
        elif _crashes.is_trial_stored(run):
            _crashes.reserve(cell, worker, task.step.job, run.trial_s)
            _send_start(cell, run)
        else:
            _crashes.reserve(cell, worker, task.step.job)
            cell.unsent_runs.append(run)


def _send_start(cell: _state.Cell, run: _state.Run) -> None:
    task, worker = run.task, run.worker
    run.since = run.ordered_at = cell.now
    cell.window.add(task.name, run.number, cell.now)
    run.is_resumed = bool(task.checkpoint)
    data_centre = cell.data_centre(worker)
    if data_centre.unanswered_since is None:
        data_centre.unanswered_since = cell.now
    entry = worker.entry
    cell.emit(
        effects.StartRun(
            entry.id,
            entry.incarnation,
            entry.address,
            task.name,
            run.number,
            task.step.job.spec.spec,
            task.checkpoint,
            run.ticket,
            _leases.extend(cell, worker),
            cell.timeout_slack_s,
        )
    )
    if worker.poll_at is None and not worker.polls_in_flight:
        worker.poll_at = cell.now


def attach(cell: _state.Cell, run: _state.Run) -> None:
    """Add a run to its task and worker and allocate its resources."""
    task = run.task
    step = task.step
    task.runs[run.number] = run
    run.worker.runs[task.name, run.number] = run
    run.is_urgent = _headroom.is_urgent(step)
    if step.spec.allows_copies:
        cell.due.copyable.add(run.worker.id)
    _update_usage(cell, run, 1)
    step.active_runs += 1
    step.runs_by_worker[run.worker.id] += 1
    step.pending.discard(task.index)
    if not step.pending:
        cell.steps.remove(step)
    if step.job.state is model.JobState.QUEUED:
        step.job.state = model.JobState.RUNNING


def detach(cell: _state.Cell, run: _state.Run) -> None:
    """Remove a run that has certainly ended and free its resources."""
    task = run.task
    step = task.step
    if task.runs.pop(run.number, None) is None:
        return
    cell.window.discard(task.name, run.number)
    worker = run.worker
    worker.runs.pop((task.name, run.number), None)
    _update_usage(cell, run, -1)
    step.active_runs -= 1
    step.runs_by_worker[worker.id] -= 1
    if not step.runs_by_worker[worker.id]:
        del step.runs_by_worker[worker.id]
    _crashes.end_trial(run)
    team = step.job.spec.team
    _unblock_waiting(cell, worker, team)
    _jobs.forget_ended(cell, task)


def _update_usage(cell: _state.Cell, run: _state.Run, sign: int) -> None:
    """Add the resources of a run (sign 1) to all totals, or subtract (-1)."""
    worker = run.worker
    step = run.task.step
    pool = cell.pool(worker.entry.upstream)
    slots_before = _headroom.free_slots(pool, worker)
    worker.allocate(step.spec, sign)
    cell.steps.touch(worker.id)
    pool.free_slots += _headroom.free_slots(pool, worker) - slots_before
    size = step.spec.size
    usage = cell.usage(step.job.spec.team)
    usage.add(size, sign)
    if not _headroom.is_exempt(step):
        cell.shares.usage(step.job.spec.team).add(size, sign)
    cell.backlog.allocate(worker.id, worker.entry.upstream, step.spec, sign)
    if run.is_urgent:
        pool.urgent.used += sign
        usage.urgent_cpu.used += sign * size.cpu_milli
        usage.urgent_memory.used += sign * size.memory_mb


def _unblock_waiting(
    cell: _state.Cell, worker: _state.Worker, team: str
) -> None:
    """Unblock the steps that may start now that a run has ended."""
    used = cell.usage(team)
    limited = _limits.find_team(cell, team)
    maximum = limited.maximum if limited else model.Size()
    cell.steps.unblock_for(
        worker, team, lambda size: used.allows(size, maximum)
    )


def handle_start_answered(
    cell: _state.Cell, event: events.StartAnswered
) -> _state.Worker | None:
    """Apply the outcome of a start order.

    Return the worker if it must be polled at once, since the outcome is
    unknown.
    """
    _update_window(cell, event)
    worker = cell.workers.get(event.worker_id)
    run = worker and worker.runs.get((event.task, event.run))
    if worker is None or not run:
        return None
    outcome = event.outcome
    is_current = worker.entry.incarnation == event.incarnation and not (
        event.clock_ms is not None
        and _leases.is_other_clock(cell, worker, run.since, event.clock_ms)
    )
    if is_current and outcome not in (Outcome.UNKNOWN, Outcome.NOT_SENT):
        cell.mark_data_centre_reachable(worker)
    if is_current and outcome is Outcome.DONE:
        if run.phase in (Phase.SENT, Phase.IN_DOUBT):
            confirm(cell, run)
        return None
    cell.log_decision(
        'start_not_confirmed',
        job=run.task.step.job.spec.id,
        task=event.task,
        run=event.run,
        worker=event.worker_id,
        outcome=outcome.value,
        after_ms=round((cell.now - run.since) * 1000),
        phase=run.phase.value,
        life=worker.entry.incarnation,
        ordered_life=event.incarnation,
    )
    if outcome is Outcome.FENCED:
        cell.emit(effects.StepDown(event.worker_id))
    if is_current and outcome is Outcome.OTHER_INCARNATION:
        handle_other_incarnation(cell, worker, 'start')
    elif outcome in NOT_STARTED:
        if is_current:
            _pause_starts(cell, run, outcome)
        _revert_start(cell, run)
    else:
        if outcome is Outcome.DONE:
            # An earlier incarnation confirmed it, and the run may have ended
            # with it; or a later one did, whose lease is not known.
            _leases.extend_to_maximum(cell, worker)
        if run.phase is Phase.SENT:
            run.phase = Phase.IN_DOUBT
            run.since = cell.now
        return worker
    return None


def _update_window(cell: _state.Cell, event: events.StartAnswered) -> None:
    window = cell.window
    is_unknown = event.outcome is Outcome.UNKNOWN
    if window.remove(event.task, event.run, cell.now, is_unknown):
        cell.log_decision(
            'orders_limited',
            in_flight=len(window.sent_at_by_run),
            at_most=int(window.size),
            lag_ms=round(cell.lag_s * 1000),
        )


def confirm(cell: _state.Cell, run: _state.Run) -> None:
    """Record that a worker has confirmed the start of a run."""
    run.phase = Phase.RUNNING
    run.confirmed_at = run.progressed_at = cell.now


def _pause_starts(
    cell: _state.Cell, run: _state.Run, outcome: events.Outcome
) -> None:
    worker = run.worker
    step = run.task.step
    if outcome is Outcome.NO_TICKET:
        cell.steps.drop_approval(step, worker.id)
    elif outcome is not Outcome.STALE_RUN:
        worker.quarantined_until = max(
            worker.quarantined_until, cell.now + NOT_STARTED_PAUSE_S
        )


def _revert_start(cell: _state.Cell, run: _state.Run) -> None:
    step = run.task.step
    detach(cell, run)
    if step.spec.is_gang:
        _stops.stop_gang(cell, step, run.number)
    _jobs.requeue(cell, run.task)


def drop_run(cell: _state.Cell, run: _state.Run, reason: str) -> None:
    """Drop a run without a result, and queue its task again."""
    _dropped_runs.record(cell, run, reason)
    detach(cell, run)
    if run.task.step.spec.is_gang:
        _stops.stop_gang(cell, run.task.step, run.number)
    _jobs.requeue(cell, run.task)


def handle_run_completed(
    cell: _state.Cell, worker: _state.Worker, completion: events.RunCompletion
) -> None:
    """Apply the result of a run that ended."""
    task = cell.task(completion.task)
    if task is None:
        cell.early_completions.append((cell.now, worker.id, completion))
        return
    run = worker.runs.get((completion.task, completion.run))
    if run is None:
        _dropped_runs.log_report(
            cell, worker, task, completion.run, completion.result.value
        )
    task.last_run = max(task.last_run, completion.run)
    _crashes.handle_reported(cell, task, completion.run)
    if completion.checkpoint:
        task.checkpoint = completion.checkpoint
    step = task.step
    job = step.job
    cell.log_decision(
        'run_ended',
        job=job.spec.id,
        task=completion.task,
        run=completion.run,
        worker=worker.id,
        how=completion.result.value,
        ran_ms=run and round((cell.now - run.since) * 1000),
    )
    if run is not None:
        detach(cell, run)
    _health.record_result(cell, worker, task, run, completion.result)
    if completion.result is model.RunResult.DONE and not step.spec.is_lasting:
        members = range(step.spec.count) if step.spec.is_gang else [task.index]
        for member in members:
            _jobs.complete_task(cell, step, member, run is not None)
        for copy in list(task.runs.values()):
            if copy.phase is not Phase.STOPPING:
                _stops.stop(cell, copy, 'another copy ended')
        for ended in list(step.tasks.known):
            _jobs.forget_ended(cell, ended)
        return
    if completion.result is model.RunResult.FAILED:
        _jobs.record_failure(cell, task, completion.run, worker.id)
        if job.state is model.JobState.FAILED:
            _stops.stop_job(cell, job, 'job failed')
    cell.dirty_jobs[job.spec.id] = job
    _jobs.requeue(cell, task)
    _jobs.forget_ended(cell, task)


def drop_listed_runs(cell: _state.Cell, worker: _state.Worker) -> None:
    """Drop the runs that an incarnation listed, which has ended.

    All others are kept, even if their start was confirmed or they were
    stopped: an order names the worker by its id alone, so the next incarnation
    may have carried out the start, or may still do so.
    """
    for run in list(worker.runs.values()):
        if run.is_listed:
            drop_run(cell, run, _dropped_runs.INCARNATION_ENDED)


def drop_all_runs(cell: _state.Cell, worker: _state.Worker) -> None:
    """Drop all runs of a worker whose lease has expired."""
    _crashes.record_losses(cell, worker)
    for run in list(worker.runs.values()):
        drop_run(cell, run, _dropped_runs.LEASE_EXPIRED)


def transfer_runs(
    cell: _state.Cell, old: _state.Worker, new: _state.Worker
) -> None:
    """Transfer the runs of a worker to its next incarnation."""
    for key, run in list(old.runs.items()):
        del old.runs[key]
        run.worker = new
        # The new incarnation knows of no stop order to the old one.
        run.stopped_at = None
        new.runs[key] = run
        new.allocate(run.task.step.spec, 1)
    new.lease_until = old.lease_until
    _leases.extend_to_maximum(cell, new)


def handle_other_incarnation(
    cell: _state.Cell, worker: _state.Worker, order: str
) -> None:
    """Drop all runs of a worker once another one answers at its address.

    The order must have named the current incarnation of the worker.
    """
    cell.log_decision(
        'worker_replaced',
        worker=worker.id,
        by=order,
        life=worker.entry.incarnation,
        address=worker.entry.address,
        runs=len(worker.runs),
    )
    _crashes.record_losses(cell, worker)
    for run in list(worker.runs.values()):
        # Start orders that arrive later are rejected as well.
        drop_run(cell, run, _dropped_runs.ADDRESS_TAKEN_OVER)
    key = worker.id, worker.entry.incarnation
    _stops.give_up(cell, _crashes.confirm(cell, key))
    if worker.id in cell.unfenced:
        _crashes.suspect_in_doubt(cell)
    cell.unfenced.discard(worker.id)
    worker.poll_at = None
    worker.is_silent = True
    worker.is_listed = False
