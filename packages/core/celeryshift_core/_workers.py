"""What workers report: leases, reports, silence and lost tasks."""

from celeryshift_core import _jobs
from celeryshift_core import _launch
from celeryshift_core import _learning
from celeryshift_core import _ledger
from celeryshift_core import _overload
from celeryshift_core import _refusing
from celeryshift_core import _rights
from celeryshift_core import _size
from celeryshift_core import _state
from celeryshift_core import _tasks
from celeryshift_core import _timers
from celeryshift_core import effects
from celeryshift_core import events

ACKNOWLEDGED_PER_SYNC = 256
WAIT_BY_WORKER_S = 0.05
LONGEST_WAIT_S = 10.0
WAIT_PART_OF_LEASE = 2 / 3

Concerned = _timers.OfWorker | events.WorkerSynced


def sync(
    state: _state.State,
    held: _state.Slice,
    worker: _ledger.Worker,
    out: _state.Out,
) -> None:
    """Renew the leases of a worker's tasks and wait for its changes.

    A silent worker is only asked: renewing the leases of tasks whose fate is
    unknown would put off the time at which they have surely ended.
    """
    if worker.syncing or not _rights.holds(state):
        return
    options = state.options
    silent = worker.silent_since is not None
    hurried = silent or not worker.answered or worker.foreign
    acknowledged = sorted(worker.to_acknowledge)[:ACKNOWLEDGED_PER_SYNC]
    worker.to_acknowledge.difference_update(acknowledged)
    worker.syncing = True
    out.append(
        effects.SyncWorker(
            held.number,
            held.epoch,
            worker.name,
            worker.address,
            '' if worker.foreign else worker.cursor,
            tuple(acknowledged),
            options.sync_retry_s if hurried else _wait_s(state),
            0.0 if silent else options.task_lease_s,
            _rights.until(state),
        )
    )
    state.counters['syncs'] += 1


def synced(
    state: _state.State, event: events.WorkerSynced, out: _state.Out
) -> bool:
    """Take in a worker's answer; tell whether it is the first one."""
    found = _find(state, event)
    if found is None:
        return False
    held, worker = found
    worker.syncing = False
    if event.reports is None:
        _note_silence(state, held, worker, out)
        return False
    first = not worker.answered
    worker.answered = True
    worker.cursor = event.cursor
    if worker.silent_since is not None:
        worker.silent_since = None
        key = _timers.LeasesEnd(held.number, held.epoch, worker.name)
        state.timers.cancel(key)
        out.append(effects.LogChange('worker-back', {'worker': worker.name}))
    for report in event.reports:
        _take_report(state, held, worker, report, out)
        running = report.phase is events.TaskPhase.RUNNING
        if running and report.used != _size.ZERO:
            _launch.grow(state, held, worker, report.id, report.used)
    _overload.relieve(state, held, worker, out)
    if event.whole:
        _drop_unlisted(state, held, worker, event.reports, out)
    held.ledger.refresh(worker)
    state.touched[held.number] = None
    sync(state, held, worker, out)
    return first


def retry(
    state: _state.State, timer: _timers.SyncDue, out: _state.Out
) -> None:
    """Ask a worker again that did not answer."""
    found = _find(state, timer)
    if found is not None:
        held, worker = found
        sync(state, held, worker, out)


def leases_end(
    state: _state.State, timer: _timers.LeasesEnd, out: _state.Out
) -> None:
    """Run the tasks of a silent worker elsewhere: they have ended there."""
    found = _find(state, timer)
    if found is not None:
        held, worker = found
        lose_all(state, held, worker, 'worker is silent', out)


def lose_all(
    state: _state.State,
    held: _state.Slice,
    worker: _ledger.Worker,
    why: str,
    out: _state.Out,
) -> None:
    """Take every task on a worker as ended without a result."""
    for run_id in list(worker.holds_by_run):
        _lose(state, held, worker, run_id, why, out)


def started(
    state: _state.State, event: events.TaskStarted, out: _state.Out
) -> None:
    """Take in the outcome of a start."""
    held = _state.owned(state, event)
    if held is None:
        return
    task = held.tasks_by_id.get(_tasks.base_id(event.task))
    if task is None or task.run_id != event.task:
        return
    if event.outcome is events.Outcome.OK:
        held.unconfirmed.discard(event.task)
        _refusing.accepted(held.ledger.workers_by_name.get(event.worker))
        if task.state is _tasks.TaskState.STARTING:
            task.state = _tasks.TaskState.RUNNING
            task.note(state.now, 'started')
    elif event.outcome is events.Outcome.UNKNOWN:
        task.note(state.now, 'start unknown', 'the answer was lost')
        key = _timers.HoldEnds(
            held.number, held.epoch, event.worker, event.task
        )
        state.timers.set(key, state.now + state.options.tasks_end_s)
    elif task.state in (
        _tasks.TaskState.STARTING,
        _tasks.TaskState.STOPPING,
    ):
        _launch.unbook(state, held, task)
        refused = event.outcome is events.Outcome.REFUSED
        if refused:
            _refusing.refused(state, held, event.worker, out)
        why = 'worker refused' if refused else 'not sent'
        _jobs.not_started(state, held, task, why, refused, out)


def hold_ends(
    state: _state.State, timer: _timers.HoldEnds, out: _state.Out
) -> None:
    """Free the room of a task whose end was never seen."""
    found = _find(state, timer)
    if found is None:
        return
    held, worker = found
    task = held.tasks_by_id.get(_tasks.base_id(timer.task))
    current = task is not None and task.run_id == timer.task
    confirmed = timer.task not in held.unconfirmed
    if not (current and confirmed):
        _lose(state, held, worker, timer.task, 'its end was not seen', out)


def stopped(
    state: _state.State, event: events.TaskStopped, out: _state.Out
) -> None:
    """Stop a run again later, if the stop may not have arrived."""
    if event.outcome is not events.Outcome.OK:
        key = _timers.StopDue(
            event.slice, event.epoch, event.worker, event.task
        )
        state.timers.set(key, state.now + state.options.sync_retry_s)


def stop_again(
    state: _state.State, timer: _timers.StopDue, out: _state.Out
) -> None:
    """Stop a run that its worker still holds."""
    found = _find(state, timer)
    if found is not None and timer.run in found[1].holds_by_run:
        held, worker = found
        _launch.send_stop(state, held, worker, timer.run, out)


def _wait_s(state: _state.State) -> float:
    """Give how long a worker may keep a sync, by the number of workers.

    A node of many workers asks each more rarely, so that syncs cost it a
    bounded part; a lease outlasts one sync that fails all the same.
    """
    workers = sum(
        len(held.ledger.workers_by_name)
        for held in state.slices_by_number.values()
    )
    longest = min(
        LONGEST_WAIT_S, state.options.task_lease_s * WAIT_PART_OF_LEASE
    )
    wait_s = max(state.options.sync_wait_s, workers * WAIT_BY_WORKER_S)
    return min(wait_s, max(longest, state.options.sync_wait_s))


def _find(
    state: _state.State, concerned: Concerned
) -> tuple[_state.Slice, _ledger.Worker] | None:
    held = _state.owned(state, concerned)
    if held is None:
        return None
    worker = held.ledger.workers_by_name.get(concerned.worker)
    return (held, worker) if worker else None


def _note_silence(
    state: _state.State,
    held: _state.Slice,
    worker: _ledger.Worker,
    out: _state.Out,
) -> None:
    worker.cursor = ''
    if not _rights.holds(state):
        return
    retry_key = _timers.SyncDue(held.number, held.epoch, worker.name)
    state.timers.set(retry_key, state.now + state.options.sync_retry_s)
    if worker.silent_since is None:
        worker.silent_since = state.now
        held.ledger.refresh(worker)
        key = _timers.LeasesEnd(held.number, held.epoch, worker.name)
        state.timers.set(key, state.now + state.options.tasks_end_s)
        fields = {'worker': worker.name, 'tasks': len(worker.holds_by_run)}
        out.append(effects.LogChange('worker-silent', fields))


def _take_report(
    state: _state.State,
    held: _state.Slice,
    worker: _ledger.Worker,
    report: events.TaskReport,
    out: _state.Out,
) -> None:
    task = held.tasks_by_id.get(_tasks.base_id(report.id))
    if report.phase is events.TaskPhase.RUNNING:
        _take_running(state, held, worker, report, task, out)
        return
    if task is not None and not task.is_request:
        if task.state is _tasks.TaskState.UNACCOUNTED:
            task.take_run(report.id, worker.name)
        if task.run_id == report.id and task.state not in _tasks.ENDED:
            if report.used != _size.ZERO:
                _learning.observe(state, task, report.used)
            _launch.unbook(state, held, task)
            _jobs.task_ended(state, held, task, worker, report.phase, out)
            return
    if task is None or not task.is_request:
        _launch.free(state, held, worker.name, report.id)
        worker.to_acknowledge.add(report.id)


def _take_running(
    state: _state.State,
    held: _state.Slice,
    worker: _ledger.Worker,
    report: events.TaskReport,
    task: _tasks.Task | None,
    out: _state.Out,
) -> None:
    if task is not None and task.state is _tasks.TaskState.UNACCOUNTED:
        task.take_run(report.id, worker.name)
        task.state = _tasks.TaskState.RUNNING
        task.note(state.now, 'found running', 'an earlier owner started it')
        hold = _ledger.Hold(task.team, report.size, task.job)
        _launch.adopt(state, held, worker, report.id, hold)
        held.unaccounted.discard(task.id)
        _jobs.adopted(state, held, task, out)
        return
    if task is not None and task.run_id == report.id:
        held.unconfirmed.discard(report.id)
        if task.state is _tasks.TaskState.STARTING and not task.is_request:
            task.state = _tasks.TaskState.RUNNING
        return
    if report.id not in worker.holds_by_run:
        worker.foreign.add(report.id)
        hold = _ledger.Hold(report.team, report.size)
        _launch.adopt(state, held, worker, report.id, hold)
        if not report.request:
            # Its job is finished or cancelled, so that nobody needs it.
            _launch.send_stop(state, held, worker, report.id, out)


def _drop_unlisted(
    state: _state.State,
    held: _state.Slice,
    worker: _ledger.Worker,
    reports: list[events.TaskReport],
    out: _state.Out,
) -> None:
    """Take tasks as ended that a whole list does not show."""
    listed = {report.id for report in reports}
    for run_id in list(worker.holds_by_run):
        if run_id not in listed and run_id not in held.unconfirmed:
            _lose(state, held, worker, run_id, 'worker forgot it', out)


def _lose(
    state: _state.State,
    held: _state.Slice,
    worker: _ledger.Worker,
    run_id: str,
    why: str,
    out: _state.Out,
) -> None:
    task = held.tasks_by_id.get(_tasks.base_id(run_id))
    if task is None or task.run_id != run_id:
        _launch.free(state, held, worker.name, run_id)
        return
    reserved = task.state is _tasks.TaskState.RESERVED
    _launch.unbook(state, held, task)
    if reserved:
        _jobs.resume(state, held, task, out)
    elif not task.is_request:
        _jobs.task_lost(state, held, task, why, out)
