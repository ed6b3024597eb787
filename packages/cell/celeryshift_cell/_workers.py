"""Workers that join and leave, and the polls that track their runs."""

import math

import attrs

from celeryshift_cell import _cold
from celeryshift_cell import _crashes
from celeryshift_cell import _evacuation
from celeryshift_cell import _fillers
from celeryshift_cell import _health
from celeryshift_cell import _interference
from celeryshift_cell import _jobs
from celeryshift_cell import _leases
from celeryshift_cell import _reconciliation
from celeryshift_cell import _runs
from celeryshift_cell import _stalls
from celeryshift_cell import _state
from celeryshift_cell import _stops
from celeryshift_cell import _withheld
from celeryshift_cell import effects
from celeryshift_cell import events
from celeryshift_cell import model

# Delay of the poll that tells an idle worker that its completions are stored.
IDLE_POLL_DELAY_S = 1.0
# Shorter delays than the interval of ticks are none.
MIN_POLL_DELAY_S = 0.1
# Age of an entry, as a multiple of the interval of reports, at which one must
# have been missed; and how long the next one is awaited.
MAX_ENTRY_AGE = 1.5
MAX_ENTRY_WAIT = 2.0


def handle_workers_changed(
    cell: _state.Cell, event: events.WorkersChanged
) -> None:
    """Apply changes to the list of workers."""
    for entry in event.entries:
        worker = cell.workers.get(entry.id)
        if worker is not None and worker.entry.incarnation > entry.incarnation:
            continue
        if worker is None or worker.entry.incarnation != entry.incarnation:
            _join(cell, entry, worker)
        else:
            _update(cell, worker, entry)
    for worker_id in event.removed:
        worker = cell.workers.get(worker_id)
        if worker is not None and worker.is_listed:
            worker.is_listed = False
            cell.log_decision(
                'worker_left', worker=worker_id, runs=len(worker.runs)
            )


def _join(
    cell: _state.Cell,
    entry: model.WorkerEntry,
    previous: _state.Worker | None,
) -> None:
    if previous is not None:
        _crashes.record_losses(cell, previous)
        _runs.drop_listed_runs(cell, previous)
    worker = add_worker(cell, entry)
    guilty = _crashes.confirm_replaced(cell, worker)
    if previous is not None:
        _runs.transfer_runs(cell, previous, worker)
    _stops.give_up(cell, guilty)
    if previous is not None and previous.id in cell.unfenced:
        _crashes.suspect_in_doubt(cell)
    cell.log_decision(
        'worker_joined',
        worker=entry.id,
        life=entry.incarnation,
        upstream=entry.upstream,
        address=entry.address,
    )
    _poll(cell, worker, 0)


def add_worker(cell: _state.Cell, entry: model.WorkerEntry) -> _state.Worker:
    """Add a worker without any known runs."""
    capacity = entry.capacity
    worker = _state.Worker(
        entry,
        capacity.cpu_milli,
        capacity.memory_mb,
        capacity.accelerators,
        capacity,
        listed_at=cell.now,
    )
    cell.add_worker(worker)
    if entry.is_draining:
        cell.due.draining.add(entry.id)
    cell.dirty_workers[entry.id] = None
    _evacuation.update_worker(cell, worker)
    _cold.update_worker(cell, worker)
    return worker


def _update(
    cell: _state.Cell, worker: _state.Worker, entry: model.WorkerEntry
) -> None:
    previous = worker.entry
    capacity = entry.capacity
    if entry.address != previous.address:
        # The stored record has the former address.
        worker.is_recorded = False
        cell.dirty_workers[worker.id] = None
    worker.free_cpu += capacity.cpu_milli - previous.capacity.cpu_milli
    worker.free_memory += capacity.memory_mb - previous.capacity.memory_mb
    worker.free_accelerators += (
        capacity.accelerators - previous.capacity.accelerators
    )
    worker.largest_capacity = worker.largest_capacity.maximum(capacity)
    if capacity != previous.capacity:
        cell.log_decision(
            'worker_resized',
            worker=entry.id,
            cpu_milli=capacity.cpu_milli,
            memory_mb=capacity.memory_mb,
            accelerators=capacity.accelerators,
            free_cpu=worker.free_cpu,
            free_memory=worker.free_memory,
            runs=len(worker.runs),
        )
    if entry.is_draining and not previous.is_draining:
        cell.log_decision(
            'worker_draining',
            worker=entry.id,
            runs=len(worker.runs),
            remaining_ms=entry.remaining_ms,
        )
    if not worker.is_listed:
        cell.log_decision('worker_back', worker=entry.id)
        if worker.poll_at is None and not worker.polls_in_flight:
            worker.poll_at = cell.now
    worker.is_listed = True
    worker.listed_at = cell.now
    worker.entry = entry
    _evacuation.update_worker(cell, worker)
    is_warm_early = _cold.update_worker(cell, worker, previous)
    cell.index_worker(worker)
    if entry.is_draining:
        cell.due.draining.add(entry.id)
    was_awaited = worker.entry_awaited_until > cell.now
    worker.entry_awaited_until = 0.0
    if previous != entry or was_awaited or is_warm_early:
        unblock_all(cell)


def unblock_all(cell: _state.Cell) -> None:
    """Try to place every waiting step in the next pass."""
    cell.steps.unblock_all()


def _unblock_reserving(cell: _state.Cell, worker: _state.Worker) -> None:
    """Try to place the steps of the job that a worker is reserved for."""
    job = cell.jobs.get(worker.reserved_for)
    for step in job.steps.values() if job else ():
        _jobs.unblock(cell, step)


def _poll(cell: _state.Cell, worker: _state.Worker, wait_ms: int) -> None:
    worker.poll_at = None
    worker.polls_in_flight += 1
    deadline_ms = None
    stored_completion = 0
    # A silent worker may receive the poll late. Such a poll must not extend
    # the lease, since the cell waits for that lease to expire.
    if worker.is_fenced and not (worker.is_silent or worker.is_suspect):
        deadline_ms = _leases.extend(cell, worker)
    if not (worker.is_silent or worker.is_suspect):
        # Any other worker may have restarted. The next incarnation counts its
        # completions anew, and would discard some that were never listed.
        stored_completion = worker.last_stored_completion
    entry = worker.entry
    cell.emit(
        effects.PollWorker(
            entry.id,
            entry.incarnation,
            entry.address,
            stored_completion,
            wait_ms,
            deadline_ms,
            cell.timeout_slack_s,
        )
    )


def poll_due(cell: _state.Cell) -> None:
    """Poll the workers that are due, and some with an old clock reading."""
    refreshes = math.ceil(cell.options.clock_refresh_share * len(cell.workers))
    for worker in cell.workers.values():
        if worker.poll_at is None or worker.poll_at > cell.now:
            if refreshes and _is_clock_poll_due(cell, worker):
                refreshes -= 1
                _poll(cell, worker, 0)
            continue
        if worker.polls_in_flight > 1 or (
            worker.polls_in_flight and not worker.is_silent
        ):
            continue
        is_immediate = (
            worker.is_silent
            or worker.has_unstored
            or bool(worker.withheld_completion)
        )
        _poll(cell, worker, 0 if is_immediate else cell.options.poll_wait_ms)


def _is_clock_poll_due(cell: _state.Cell, worker: _state.Worker) -> bool:
    return (
        worker.is_fenced
        and worker.is_listed
        and not worker.is_silent
        and not worker.polls_in_flight
        and _leases.needs_reading(cell, worker)
    )


def _record_clock(
    cell: _state.Cell,
    event: events.StartAnswered | events.StopAnswered | events.PollFailed,
) -> None:
    worker = cell.workers.get(event.worker_id)
    if worker is None or event.clock_ms is None:
        return
    # Each incarnation has a clock of its own.
    is_current = (
        worker.entry.incarnation == event.incarnation
        and event.outcome is not events.Outcome.OTHER_INCARNATION
    )
    if is_current:
        _leases.record_clock(cell, worker, event.clock_ms)


def handle_poll_answered(
    cell: _state.Cell, event: events.PollAnswered
) -> None:
    """Apply the running and completed runs that a worker reports."""
    worker = cell.workers.get(event.worker_id)
    if worker is None:
        return
    if worker.entry.incarnation == event.incarnation:
        worker.polls_in_flight = max(0, worker.polls_in_flight - 1)
    if worker.entry.incarnation != event.answered_by:
        if event.answered_by > worker.entry.incarnation:
            replace_incarnation(cell, worker, event.answered_by)
        return
    if not worker.polls_in_flight:
        # Polled again soon even if this answer can't be applied.
        worker.poll_at = cell.now + cell.options.poll_retry_s
    cell.mark_data_centre_reachable(worker)
    if worker.is_silent:
        cell.log_decision('worker_answers', worker=worker.id)
        _await_entry(cell, worker)
    was_unusable = (
        worker.is_silent or worker.is_suspect or bool(worker.unknown_runs)
    )
    worker.is_silent = worker.is_suspect = False
    worker.excused_polls = 0
    _crashes.revoke(cell, (worker.id, worker.entry.incarnation))
    _leases.record_clock(cell, worker, event.clock_ms)
    was_fenced = worker.is_fenced
    if not was_fenced:
        # The former owner may have extended the lease until then.
        worker.lease_until = max(worker.lease_until, cell.in_doubt_until)
    if worker.id in cell.unfenced:
        cell.log_decision(
            'worker_fenced',
            worker=worker.id,
            runs=len(event.running),
            ended=len(event.ended),
            after_ms=round((cell.now - cell.restored_at) * 1000),
            unfenced=len(cell.unfenced) - 1,
        )
    for completion in event.ended:
        if completion.number > worker.last_completion:
            worker.last_completion = completion.number
            _withheld.check(cell, worker, completion)
            _runs.handle_run_completed(cell, worker, completion)
    _reconciliation.reconcile(cell, worker, event, is_first=not was_fenced)
    # Only now are the runs of former owners known.
    worker.is_fenced = True
    cell.unfenced.discard(worker.id)
    _interference.learn_latencies(cell, worker)
    _fillers.adjust_pace(cell, worker)
    _stalls.check_worker(cell, worker)
    if was_unusable or not was_fenced:
        unblock_all(cell)
    elif worker.reserved_until > cell.now:
        _unblock_reserving(cell, worker)
    _schedule_poll(cell, worker)


def _await_entry(cell: _state.Cell, worker: _state.Worker) -> None:
    """Await the next entry of a worker that was silent, if one was missed.

    Its capacity may have shrunk meanwhile. The wait has a limit, since the
    store may be away.
    """
    interval_s = cell.options.report_interval_s
    if cell.now - worker.listed_at > MAX_ENTRY_AGE * interval_s:
        worker.entry_awaited_until = cell.now + MAX_ENTRY_WAIT * interval_s


def replace_incarnation(
    cell: _state.Cell,
    replaced: _state.Worker,
    incarnation: int,
    address: str | None = None,
) -> None:
    """Replace a worker by a later incarnation, whose entry is not known."""
    # The capacity of the new incarnation is not known until its entry arrives.
    entry = attrs.evolve(
        replaced.entry,
        incarnation=incarnation,
        address=address or replaced.entry.address,
        cold_remaining_ms=0,
    )
    _join(cell, entry, replaced)
    cell.workers[entry.id].is_listed = False


def _schedule_poll(cell: _state.Cell, worker: _state.Worker) -> None:
    if worker.polls_in_flight:
        return
    if worker.has_unstored or worker.withheld_completion:
        # Completions are stored first; the next poll then allows the worker
        # to discard them.
        worker.poll_at = cell.now + cell.options.unsaved_poll_s
    elif worker.runs or worker.unknown_runs:
        _poll_again(cell, worker)
    else:
        worker.poll_at = None


def _poll_again(cell: _state.Cell, worker: _state.Worker) -> None:
    """Poll a worker with runs: at once, or later if the owner lags."""
    options = cell.options
    delay_s = min(
        options.poll_delay_factor * cell.lag_s, options.max_poll_delay_s
    )
    if delay_s < MIN_POLL_DELAY_S:
        _poll(cell, worker, _wait_ms(cell, worker))
    else:
        worker.poll_at = cell.now + delay_s


def _wait_ms(cell: _state.Cell, worker: _state.Worker) -> int:
    if any(run.task.step.spec.is_filler for run in worker.runs.values()):
        # The interference of fillers changes within seconds.
        return cell.options.filler_poll_wait_ms
    return cell.options.poll_wait_ms


def handle_completions_saved(cell: _state.Cell) -> None:
    """Schedule the polls that tell workers which completions are stored."""
    for key, number in cell.saving_completions.items():
        worker = cell.worker(*key)
        if worker is None or worker.last_stored_completion >= number:
            continue
        worker.last_stored_completion = number
        if worker.polls_in_flight or worker.storable_completion > number:
            continue
        if worker.runs:
            _poll_again(cell, worker)
        else:
            worker.poll_at = cell.now + IDLE_POLL_DELAY_S


def handle_poll_failed(cell: _state.Cell, event: events.PollFailed) -> None:
    """Handle a poll that failed or reached another incarnation."""
    _record_clock(cell, event)
    worker = cell.worker(event.worker_id, event.incarnation)
    if worker is None:
        return
    worker.polls_in_flight = max(0, worker.polls_in_flight - 1)
    if event.outcome is events.Outcome.FENCED:
        cell.emit(effects.StepDown(event.worker_id))
        return
    if event.outcome is events.Outcome.OTHER_INCARNATION:
        _runs.handle_other_incarnation(cell, worker, 'poll')
        return
    is_unknown = event.outcome is events.Outcome.UNKNOWN
    if is_unknown and not (worker.is_suspect or worker.is_silent):
        probe(cell, worker)
        return
    if is_unknown and not worker.is_silent and _is_own_lag(cell, worker):
        worker.excused_polls += 1
        _poll(cell, worker, 0)
        return
    if not worker.is_silent:
        cell.log_decision(
            'worker_silent', worker=worker.id, outcome=event.outcome.value
        )
    worker.is_silent = True
    worker.poll_at = cell.now + _silent_poll_pause_s(cell)
    _crashes.record_losses(cell, worker)
    _health.copy_runs(cell, worker)


def _is_own_lag(cell: _state.Cell, worker: _state.Worker) -> bool:
    """Return whether the owner may have read the answer too late.

    A worker is silent all the same after a few failed polls, since the lag
    may last.
    """
    return (
        cell.lag_s >= cell.options.blamed_lag_s
        and worker.excused_polls < cell.options.excused_polls
    )


def _silent_poll_pause_s(cell: _state.Cell) -> float:
    options = cell.options
    return max(
        options.poll_retry_s, cell.silent_workers / options.silent_polls_per_s
    )


def handle_start_answered(
    cell: _state.Cell, event: events.StartAnswered
) -> None:
    """Handle the outcome of a start order; poll the worker if in doubt."""
    _record_clock(cell, event)
    worker = _runs.handle_start_answered(cell, event)
    if worker is not None and not (worker.is_suspect or worker.is_silent):
        probe(cell, worker)


def handle_stop_answered(
    cell: _state.Cell, event: events.StopAnswered
) -> None:
    """Handle the outcome of a stop order; poll the worker if needed."""
    _record_clock(cell, event)
    worker = _stops.handle_stop_answered(cell, event)
    if worker is not None and not worker.is_silent:
        _poll(cell, worker, 0)


def poll_reserved(cell: _state.Cell, worker: _state.Worker) -> None:
    """Poll a worker at once that a suspect is about to start on."""
    if worker.polls_in_flight <= 1:
        _poll(cell, worker, 0)


def probe(cell: _state.Cell, worker: _state.Worker) -> None:
    """Poll a suspect worker at once and start no tasks on it meanwhile."""
    worker.is_suspect = True
    _poll(cell, worker, 0)


def expire_leases(cell: _state.Cell) -> None:
    """Drop the runs and workers whose leases have certainly expired."""
    if cell.unfenced and cell.now > cell.in_doubt_until:
        cell.log_decision(
            'doubt_over',
            workers=len(cell.unfenced),
            unfenced=sorted(cell.unfenced),
            after_ms=round((cell.now - cell.restored_at) * 1000),
        )
        cell.unfenced.clear()
        unblock_all(cell)
    _stops.give_up(cell, _crashes.settle_unheard(cell))
    cell.silent_workers = 0
    for worker in list(cell.workers.values()):
        cell.silent_workers += worker.is_silent
        is_expired = worker.is_silent and cell.now > worker.lease_until
        if is_expired and worker.runs:
            _runs.drop_all_runs(cell, worker)
        # A worker that left and has no runs is removed at once, so that
        # neither this owner nor the next one waits for its lease to expire.
        is_idle = worker.is_fenced and not worker.runs
        if worker.is_listed or worker.id in cell.unfenced:
            continue
        if is_expired or is_idle:
            cell.remove_worker(worker)
            cell.dirty_workers[worker.id] = None
            cell.log_decision('worker_forgotten', worker=worker.id)


def retry_stops(cell: _state.Cell) -> None:
    """Repeat stop orders without a response.

    If the order was acknowledged but the run has not been reported as ended,
    schedule a poll instead.
    """
    retry_s = cell.options.stop_retry_s
    for worker in cell.workers_in(cell.due.stopping):
        if all(
            run.phase is not _state.Phase.STOPPING
            for run in worker.runs.values()
        ):
            cell.due.stopping.discard(worker.id)
            continue
        if worker.is_silent:
            continue
        for run in list(worker.runs.values()):
            is_due = cell.now - run.since > retry_s
            if run.phase is not _state.Phase.STOPPING or not is_due:
                continue
            if run.stopped_at is None:
                _stops.stop(cell, run, 'no answer to the stop')
            elif not worker.polls_in_flight or worker.poll_at is None:
                worker.poll_at = cell.now
