"""Workers: task leases, status reports, silent workers and lost tasks."""

from celeryshift_core import _config
from celeryshift_core import _crashes
from celeryshift_core import _dispatch
from celeryshift_core import _jobs
from celeryshift_core import _lease
from celeryshift_core import _ledger
from celeryshift_core import _overload
from celeryshift_core import _size
from celeryshift_core import _size_estimates
from celeryshift_core import _state
from celeryshift_core import _tasks
from celeryshift_core import _timers
from celeryshift_core import _worker_backoff
from celeryshift_core import effects
from celeryshift_core import events

MAX_ACKNOWLEDGED_PER_SYNC = 256
WAIT_PER_WORKER_S = 0.05

WorkerReference = _timers.WorkerTimer | events.WorkerSynced


def sync(
    state: _state.State,
    slice_: _state.Slice,
    worker: _ledger.Worker,
    outbox: _state.Outbox,
) -> None:
    """Renew the leases of a worker's tasks and poll it for changes.

    A silent worker is only polled: renewing the leases of tasks in doubt
    would postpone the time at which they have certainly ended. A worker with
    foreign runs, or with confirmed ones that its last list did not have, is
    polled without a cursor, so that it lists all its runs: those that are
    missing have ended.
    """
    if worker.syncing or not _lease.is_valid(state):
        return
    options = state.options
    silent = worker.silent_since is not None
    worker.listable_runs = frozenset(
        run_id
        for run_id in worker.bookings_by_run
        if run_id not in slice_.unconfirmed_starts
    )
    needs_list = worker.foreign_runs or (
        worker.unlisted_runs & worker.listable_runs
    )
    poll_soon = (
        silent
        or not worker.answered
        or needs_list
        or _crashes.is_watched(slice_, worker)
    )
    acknowledged = sorted(worker.to_acknowledge)[:MAX_ACKNOWLEDGED_PER_SYNC]
    worker.to_acknowledge.difference_update(acknowledged)
    worker.syncing = True
    wait_s = options.sync_retry_s if poll_soon else _wait_s(state)
    if not silent:
        worker.renewed_until = state.now + wait_s
    outbox.append(
        effects.SyncWorker(
            slice_.number,
            slice_.epoch,
            worker.name,
            worker.address,
            '' if needs_list else worker.cursor,
            tuple(acknowledged),
            wait_s,
            0.0 if silent else options.task_lease_s,
            _lease.valid_until(state),
        )
    )
    state.counters['syncs'] += 1


def handle_synced(
    state: _state.State, event: events.WorkerSynced, outbox: _state.Outbox
) -> bool:
    """Handle the answer of a worker; return whether it is the first."""
    found = _find(state, event)
    if found is None:
        return False
    slice_, worker = found
    worker.syncing = False
    if event.reports is None:
        _handle_no_answer(state, slice_, worker, outbox)
        return False
    first = not worker.answered
    worker.answered = True
    worker.cursor = event.cursor
    if worker.silent_since is not None:
        worker.silent_since = None
        key = _timers.TaskLeasesEnd(slice_.number, slice_.epoch, worker.name)
        state.timers.cancel(key)
        outbox.append(
            effects.LogChange('worker-back', {'worker': worker.name})
        )
    for report in event.reports:
        _handle_report(state, slice_, worker, report, outbox)
        running = report.phase is events.TaskPhase.RUNNING
        if running and report.used != _size.ZERO:
            _dispatch.grow_booking(
                state, slice_, worker, report.id, report.used
            )
    _overload.relieve(state, slice_, worker, outbox)
    if event.whole:
        _lose_unlisted(state, slice_, worker, event.reports, outbox)
    # Runs that a restarted worker has lost were heard of before this answer.
    worker.heard_at = state.now
    _crashes.update_trial(slice_, worker)
    slice_.ledger.refresh(worker)
    state.slices_to_place[slice_.number] = None
    sync(state, slice_, worker, outbox)
    return first


def retry_sync(
    state: _state.State, timer: _timers.SyncDue, outbox: _state.Outbox
) -> None:
    """Poll a worker again that did not answer."""
    found = _find(state, timer)
    if found is not None:
        slice_, worker = found
        sync(state, slice_, worker, outbox)


def handle_leases_expired(
    state: _state.State, timer: _timers.TaskLeasesEnd, outbox: _state.Outbox
) -> None:
    """Requeue the tasks of a silent worker, whose leases have expired."""
    found = _find(state, timer)
    if found is not None:
        slice_, worker = found
        lose_all(state, slice_, worker, 'worker is silent', False, outbox)


def lose_all(
    state: _state.State,
    slice_: _state.Slice,
    worker: _ledger.Worker,
    why: str,
    has_crashed: bool,
    outbox: _state.Outbox,
) -> None:
    """Treat every task of a worker as ended without a result."""
    if worker.silent_since is None:
        _crashes.record_break(state, worker)
    for run_id in list(worker.bookings_by_run):
        _lose(state, slice_, worker, run_id, why, has_crashed, outbox)


def handle_started(
    state: _state.State, event: events.TaskStarted, outbox: _state.Outbox
) -> None:
    """Handle the outcome of a start."""
    slice_ = _state.owned_slice(state, event)
    if slice_ is None:
        return
    task = slice_.tasks_by_id.get(_tasks.task_id_of_run(event.task))
    if task is None or task.run_id != event.task:
        return
    worker = slice_.ledger.workers_by_name.get(event.worker)
    may_run = event.outcome in (events.Outcome.OK, events.Outcome.UNKNOWN)
    if may_run and worker is not None and worker.silent_since is not None:
        # The lease of the run counts from the arrival of its start.
        _set_leases_end(state, slice_, worker)
    if event.outcome is events.Outcome.OK:
        slice_.unconfirmed_starts.discard(event.task)
        _worker_backoff.handle_accepted(worker)
        if task.state is _tasks.TaskState.STARTING:
            task.state = _tasks.TaskState.RUNNING
            task.record_decision(state.now, 'started')
        elif task.state is _tasks.TaskState.STOPPING and worker is not None:
            # The stop may have overtaken the start.
            _dispatch.send_stop(state, slice_, worker, event.task, outbox)
    elif event.outcome is events.Outcome.UNKNOWN:
        task.record_decision(state.now, 'start unknown', 'the answer was lost')
        key = _timers.BookingEnds(
            slice_.number, slice_.epoch, event.worker, event.task
        )
        state.timers.set(key, state.now + state.options.tasks_end_s)
    elif task.state in (
        _tasks.TaskState.STARTING,
        _tasks.TaskState.STOPPING,
    ):
        _dispatch.release_task(state, slice_, task)
        refused = event.outcome is events.Outcome.REFUSED
        if refused:
            _worker_backoff.handle_refusal(state, slice_, event.worker, outbox)
        why = 'worker refused' if refused else 'not sent'
        _jobs.handle_not_started(state, slice_, task, why, refused, outbox)


def handle_booking_expired(
    state: _state.State, timer: _timers.BookingEnds, outbox: _state.Outbox
) -> None:
    """Release the booking of a run whose end was never reported.

    The current run of a task keeps it if its start has been confirmed.
    """
    found = _find(state, timer)
    if found is None:
        return
    slice_, worker = found
    is_unconfirmed = timer.run in slice_.unconfirmed_starts
    if is_unconfirmed and worker.silent_since is not None:
        # A sync may have renewed its lease, so it ends with the others.
        key = _timers.TaskLeasesEnd(slice_.number, slice_.epoch, worker.name)
        at = state.timers.at(key)
        state.timers.set(timer, at or state.now + state.options.tasks_end_s)
        return
    task = slice_.tasks_by_id.get(_tasks.task_id_of_run(timer.run))
    current = task is not None and task.run_id == timer.run
    if is_unconfirmed or not current:
        why = 'its end was not seen'
        _lose(state, slice_, worker, timer.run, why, False, outbox)


def handle_stopped(
    state: _state.State, event: events.TaskStopped, outbox: _state.Outbox
) -> None:
    """Schedule another stop of a run if this one may not have arrived."""
    if event.outcome is not events.Outcome.OK:
        key = _timers.StopDue(
            event.slice, event.epoch, event.worker, event.task
        )
        state.timers.set(key, state.now + state.options.sync_retry_s)


def retry_stop(
    state: _state.State, timer: _timers.StopDue, outbox: _state.Outbox
) -> None:
    """Stop a run again that its worker still holds."""
    found = _find(state, timer)
    if found is not None and timer.run in found[1].bookings_by_run:
        slice_, worker = found
        _dispatch.send_stop(state, slice_, worker, timer.run, outbox)


def _wait_s(state: _state.State) -> float:
    """Return the long-poll timeout of a sync, by the number of workers.

    A node with many workers polls each less often, which bounds the load of
    syncs. A task lease still outlasts one failed sync.
    """
    workers = sum(
        len(slice_.ledger.workers_by_name)
        for slice_ in state.slices_by_number.values()
    )
    wait_s = max(state.options.sync_wait_s, workers * WAIT_PER_WORKER_S)
    return min(wait_s, state.options.max_sync_wait_s)


def _set_leases_end(
    state: _state.State, slice_: _state.Slice, worker: _ledger.Worker
) -> None:
    """Set the time at which the leases of a silent worker have expired.

    They may have been renewed until now, and until the end of a long poll
    that the worker has not noticed to be broken.
    """
    key = _timers.TaskLeasesEnd(slice_.number, slice_.epoch, worker.name)
    renewed_until = max(state.now, worker.renewed_until)
    state.timers.set(key, renewed_until + state.options.tasks_end_s)


def _find(
    state: _state.State, reference: WorkerReference
) -> tuple[_state.Slice, _ledger.Worker] | None:
    slice_ = _state.owned_slice(state, reference)
    if slice_ is None:
        return None
    worker = slice_.ledger.workers_by_name.get(reference.worker)
    return (slice_, worker) if worker else None


def _handle_no_answer(
    state: _state.State,
    slice_: _state.Slice,
    worker: _ledger.Worker,
    outbox: _state.Outbox,
) -> None:
    worker.cursor = ''
    if not _lease.is_valid(state):
        return
    retry_key = _timers.SyncDue(slice_.number, slice_.epoch, worker.name)
    state.timers.set(retry_key, state.now + state.options.sync_retry_s)
    if worker.silent_since is None:
        worker.silent_since = state.now
        _crashes.record_break(state, worker)
        slice_.ledger.refresh(worker)
        _set_leases_end(state, slice_, worker)
        fields = {'worker': worker.name, 'tasks': len(worker.bookings_by_run)}
        outbox.append(effects.LogChange('worker-silent', fields))


def _handle_report(
    state: _state.State,
    slice_: _state.Slice,
    worker: _ledger.Worker,
    report: events.TaskReport,
    outbox: _state.Outbox,
) -> None:
    task = slice_.tasks_by_id.get(_tasks.task_id_of_run(report.id))
    if task is not None:
        _jobs.revoke_loss(state, slice_, task, report.id)
    if report.phase is events.TaskPhase.RUNNING:
        _handle_running(state, slice_, worker, report, task, outbox)
        return
    if task is not None and not task.is_request:
        if task.state is _tasks.TaskState.UNACCOUNTED:
            if _may_run_elsewhere(state, slice_, report, task):
                _defer_end(slice_, worker, report, task)
                return
            task.set_run(report.id, worker.name)
        if task.run_id == report.id and task.state not in _tasks.ENDED:
            if report.used != _size.ZERO:
                _size_estimates.observe(state, task, report.used)
            _dispatch.release_task(state, slice_, task)
            _jobs.handle_task_ended(
                state, slice_, task, worker, report.phase, outbox
            )
            return
    if task is None or not task.is_request:
        _dispatch.release_run(state, slice_, worker.name, report.id)
        worker.to_acknowledge.add(report.id)


def _may_run_elsewhere(
    state: _state.State,
    slice_: _state.Slice,
    report: events.TaskReport,
    task: _tasks.Task,
) -> bool:
    """Return whether a later run may exist of a task with an ended run.

    While a slice recovers, a worker that has not reported yet may have one.
    A task that is done needs no other run.
    """
    kind = state.config.kinds.get(task.kind)
    service = kind is not None and kind.policy is _config.Policy.SERVICE
    done = report.phase is events.TaskPhase.DONE and not service
    return slice_.phase is _state.SlicePhase.RECOVERING and not done


def _defer_end(
    slice_: _state.Slice,
    worker: _ledger.Worker,
    report: events.TaskReport,
    task: _tasks.Task,
) -> None:
    """Keep the latest end of a task until every worker has reported."""
    before = slice_.ends_by_task.get(task.id)
    if before is None or _tasks.run_order(report.id) >= _tasks.run_order(
        before[1].id
    ):
        slice_.ends_by_task[task.id] = (worker.name, report)
        _acknowledge(slice_, before)
    else:
        worker.to_acknowledge.add(report.id)


def _acknowledge(
    slice_: _state.Slice, end: tuple[str, events.TaskReport] | None
) -> None:
    """Acknowledge an end that a later run has superseded."""
    if end is not None:
        name, report = end
        worker = slice_.ledger.workers_by_name.get(name)
        if worker is not None:
            worker.to_acknowledge.add(report.id)


def _handle_running(
    state: _state.State,
    slice_: _state.Slice,
    worker: _ledger.Worker,
    report: events.TaskReport,
    task: _tasks.Task | None,
    outbox: _state.Outbox,
) -> None:
    if task is not None and task.state is _tasks.TaskState.UNACCOUNTED:
        _acknowledge(slice_, slice_.ends_by_task.pop(task.id, None))
        task.set_run(report.id, worker.name)
        task.state = _tasks.TaskState.RUNNING
        task.record_decision(
            state.now, 'found running', 'an earlier owner started it'
        )
        booking = _ledger.Booking(task.team, report.size, task.job)
        _dispatch.adopt_run(state, slice_, worker, report.id, booking)
        slice_.unaccounted.discard(task.id)
        _jobs.record_adopted_run(state, slice_, task, outbox)
        return
    if task is not None and task.run_id == report.id:
        slice_.unconfirmed_starts.discard(report.id)
        if task.state is _tasks.TaskState.STARTING and not task.is_request:
            task.state = _tasks.TaskState.RUNNING
        return
    if report.id not in worker.bookings_by_run:
        worker.foreign_runs.add(report.id)
        booking = _ledger.Booking(report.team, report.size)
        _dispatch.adopt_run(state, slice_, worker, report.id, booking)
        if not report.request:
            # Its job is finished or cancelled, so its result is not needed.
            _dispatch.send_stop(state, slice_, worker, report.id, outbox)


def apply_deferred_end(
    state: _state.State,
    slice_: _state.Slice,
    task: _tasks.Task,
    outbox: _state.Outbox,
) -> bool:
    """Apply the end of a task that no worker runs, if one was reported."""
    name, report = slice_.ends_by_task.pop(task.id, ('', None))
    worker = slice_.ledger.workers_by_name.get(name)
    if worker is None or report is None:
        return False
    task.set_run(report.id, name)
    _jobs.handle_task_ended(state, slice_, task, worker, report.phase, outbox)
    return True


def _lose_unlisted(
    state: _state.State,
    slice_: _state.Slice,
    worker: _ledger.Worker,
    reports: list[events.TaskReport],
    outbox: _state.Outbox,
) -> None:
    """Treat runs missing from a complete list as ended without result.

    Answers may overtake each other, so a run that was confirmed after the sync
    was sent may have started after the list was made.
    """
    listed = {report.id for report in reports}
    unlisted = [run for run in worker.bookings_by_run if run not in listed]
    worker.unlisted_runs = set(unlisted)
    lost = [run_id for run_id in unlisted if run_id in worker.listable_runs]
    if lost:
        _crashes.record_break(state, worker)
    for run_id in lost:
        why = 'worker forgot it'
        _lose(state, slice_, worker, run_id, why, True, outbox)


def _lose(
    state: _state.State,
    slice_: _state.Slice,
    worker: _ledger.Worker,
    run_id: str,
    why: str,
    has_crashed: bool,
    outbox: _state.Outbox,
) -> None:
    task = slice_.tasks_by_id.get(_tasks.task_id_of_run(run_id))
    if task is None or task.run_id != run_id:
        _dispatch.release_run(state, slice_, worker.name, run_id)
        return
    reserved = task.state is _tasks.TaskState.RESERVED
    _dispatch.release_task(state, slice_, task)
    if reserved:
        _jobs.requeue_task(state, slice_, task, outbox)
    elif not task.is_request:
        loss = _crashes.find_loss(task, worker, has_crashed)
        _jobs.handle_task_lost(state, slice_, task, why, outbox, loss)
