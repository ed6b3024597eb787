"""Answers of workers to polls and orders, and polls and orders without one.

What an answer, or its absence, tells of a worker belongs here: whether it is
silent or suspect, its clock, and the runs that it reports.
"""

from celeryshift_cell import _crashes
from celeryshift_cell import _fillers
from celeryshift_cell import _health
from celeryshift_cell import _interference
from celeryshift_cell import _jobs
from celeryshift_cell import _leases
from celeryshift_cell import _polls
from celeryshift_cell import _reconciliation
from celeryshift_cell import _runs
from celeryshift_cell import _stalls
from celeryshift_cell import _state
from celeryshift_cell import _stops
from celeryshift_cell import _withheld
from celeryshift_cell import _workers
from celeryshift_cell import effects
from celeryshift_cell import events

# Age of an entry, as a multiple of the interval of reports, at which one must
# have been missed; and how long the next one is awaited.
MAX_ENTRY_AGE = 1.5
MAX_ENTRY_WAIT = 2.0


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
            _workers.replace_incarnation(cell, worker, event.answered_by)
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
        _workers.unblock_all(cell)
    elif worker.reserved_until > cell.now:
        _unblock_reserving(cell, worker)
    _polls.schedule_poll(cell, worker)


def _await_entry(cell: _state.Cell, worker: _state.Worker) -> None:
    """Await the next entry of a worker that was silent, if one was missed.

    Its capacity may have shrunk meanwhile. The wait has a limit, since the
    store may be away.
    """
    interval_s = cell.options.report_interval_s
    if cell.now - worker.listed_at > MAX_ENTRY_AGE * interval_s:
        worker.entry_awaited_until = cell.now + MAX_ENTRY_WAIT * interval_s


def _unblock_reserving(cell: _state.Cell, worker: _state.Worker) -> None:
    """Try to place the steps of the job that a worker is reserved for."""
    job = cell.jobs.get(worker.reserved_for)
    for step in job.steps.known if job else ():
        _jobs.unblock(cell, step)


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
        _polls.probe(cell, worker)
        return
    if is_unknown and not worker.is_silent and _is_own_lag(cell, worker):
        worker.excused_polls += 1
        _polls.poll(cell, worker, 0)
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
        _polls.probe(cell, worker)


def handle_stop_answered(
    cell: _state.Cell, event: events.StopAnswered
) -> None:
    """Handle the outcome of a stop order; poll the worker if needed."""
    _record_clock(cell, event)
    worker = _stops.handle_stop_answered(cell, event)
    if worker is not None and not worker.is_silent:
        _polls.poll(cell, worker, 0)


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
