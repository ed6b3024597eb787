"""Reducer of a cell: applies an event to the state and returns effects."""

from collections.abc import Callable
from typing import Any

from celeryshift_cell import _advice
from celeryshift_cell import _answers
from celeryshift_cell import _backlog
from celeryshift_cell import _completion
from celeryshift_cell import _data_centres
from celeryshift_cell import _draining
from celeryshift_cell import _evacuation
from celeryshift_cell import _fillers
from celeryshift_cell import _headroom
from celeryshift_cell import _health
from celeryshift_cell import _interference
from celeryshift_cell import _jobs
from celeryshift_cell import _limits
from celeryshift_cell import _placement
from celeryshift_cell import _polls
from celeryshift_cell import _preemption
from celeryshift_cell import _reclaim
from celeryshift_cell import _reconciliation
from celeryshift_cell import _records
from celeryshift_cell import _run_times
from celeryshift_cell import _runs
from celeryshift_cell import _shares
from celeryshift_cell import _state
from celeryshift_cell import _stops
from celeryshift_cell import _waiting
from celeryshift_cell import _workers
from celeryshift_cell import effects
from celeryshift_cell import events

# A job that arrives within this time after the former owner's lease ended may
# have reached that owner too: the table of jobs is polled with a pause of half
# a second.
LATE_JOB_S = 2.0
# With more waiting steps or jobs than this, what visits all of them is done at
# a multiple of the interval between ticks.
VISITED_PER_TICK = 1000
# Decay of the recent lag of the owner at each tick.
LAG_DECAY = 0.8


def reduce(
    cell: _state.Cell, event: events.Event, may_start: bool = True
) -> list[effects.Effect]:
    """Apply an event to the state in place and return the resulting effects.

    With ``may_start`` false, no task is started. Callers use this while they
    don't hold the owner's lease, and for all but the last event of a batch, so
    that one placement pass serves the whole batch. Nor is one started before
    the configuration is known.
    """
    cell.now = max(cell.now, event.now)
    HANDLERS[type(event)](cell, event)
    if may_start and cell.is_configured:
        _runs.send_trials(cell)
        _placement.place_waiting(cell)
    _records.save_changes(cell)
    emitted, cell.outbox = cell.outbox, []
    return emitted


def _handle_config_changed(
    cell: _state.Cell, event: events.ConfigChanged
) -> None:
    _limits.keep_former_teams(cell, event.config)
    cell.config = event.config
    cell.is_configured = True
    _shares.configure(cell)
    _placement.refresh_policies(cell)
    cell.log_decision('config_applied', version=event.config.version)


def _handle_memory_limited(
    cell: _state.Cell, event: events.MemoryLimited
) -> None:
    if event.limit != cell.footprint.limit:
        cell.footprint.limit = event.limit
        cell.log_decision('memory_limited', bytes=event.limit)


def _handle_job_accepted(cell: _state.Cell, event: events.JobAccepted) -> None:
    spec = event.stored.job
    if not _records.is_new_job(cell, event.stored):
        return
    job = _jobs.add_job(cell, spec)
    _backlog.add_job(cell, job)
    cell.log_decision(
        'job_taken',
        job=spec.id,
        queue=spec.queue,
        team=spec.team,
        age_ms=round(_jobs.age_ms(cell, job)),
        config=cell.config.version,
    )
    if cell.unfenced and cell.now < cell.former_owner_until + LATE_JOB_S:
        # The former owner may have received the job and started tasks.
        job.occurrences_in_doubt = _jobs.count_in_doubt(cell, job)
    _reconciliation.reconcile_new_job(cell, job)
    _jobs.release(cell, job)


def _handle_job_cancelled(
    cell: _state.Cell, event: events.JobCancelled
) -> None:
    _records.cancel(cell, event.job_id)


def _handle_ticked(cell: _state.Cell, event: events.Ticked) -> None:
    cell.clocks.read(cell.now, event.wall_ms)
    # A lag explains the answers that arrive late within a second after it.
    cell.lag_s = max(event.lag_s, LAG_DECAY * cell.lag_s)
    cell.window.expire(cell.now)
    cell.start_rate = cell.window.start_rate(cell.now)
    _jobs.release_due(cell)
    if len(cell.waiting) > _waiting.MAX_RETRIED:
        cell.steps.retry_touched()
    _workers.expire_leases(cell)
    _stops.retry_stops(cell)
    _data_centres.check(cell)
    _polls.poll_due(cell)
    _run_times.update(cell)
    _interference.update(cell)
    if cell.is_configured:
        _move_tasks(cell)
    _records.evict_ended(cell)
    cell.ticks += 1
    visited = len(cell.waiting) + len(cell.jobs)
    if cell.ticks % (1 + visited // VISITED_PER_TICK):
        return
    _headroom.update(cell)
    _backlog.refresh(cell)
    if cell.is_configured:
        _make_room(cell)


def _move_tasks(cell: _state.Cell) -> None:
    """Copy or move tasks that run too long or on the wrong worker."""
    if _run_times.is_used(cell):
        _completion.queue_copies(cell)
    else:
        _health.copy_stragglers(cell)
    _draining.move_tasks(cell)
    _fillers.stop_stalled(cell)


def _make_room(cell: _state.Cell) -> None:
    """Make room and send queries for the steps that wait."""
    _preemption.preempt(cell)
    _reclaim.reclaim(cell)
    _advice.query_ahead(cell)
    if cell.now >= cell.recheck_at:
        cell.recheck_at = cell.now + cell.options.recheck_s
        _advice.renew_ahead(cell)
        _placement.recheck_waiting(cell)


def _handle_jobs_restored(
    cell: _state.Cell, event: events.JobsRestored
) -> None:
    cell.clocks.read(cell.now, event.wall_ms)
    _records.restore_jobs(cell, event)


def _handle_restored(cell: _state.Cell, event: events.Restored) -> None:
    cell.clocks.read(cell.now, event.wall_ms)
    _records.take_over(cell, event)
    _polls.poll_due(cell)


HANDLERS: dict[type, Callable[[_state.Cell, Any], None]] = {
    events.ConfigChanged: _handle_config_changed,
    events.MemoryLimited: _handle_memory_limited,
    events.WorkersChanged: _workers.handle_workers_changed,
    events.EvacuationsChanged: _evacuation.handle_evacuations_changed,
    events.JobAccepted: _handle_job_accepted,
    events.JobCancelled: _handle_job_cancelled,
    events.StartAnswered: _answers.handle_start_answered,
    events.StopAnswered: _answers.handle_stop_answered,
    events.PollAnswered: _answers.handle_poll_answered,
    events.PollFailed: _answers.handle_poll_failed,
    events.AdviceAnswered: _advice.handle_advice_answered,
    events.AdviceFailed: _advice.handle_advice_failed,
    events.RecordsSaved: lambda cell, event: _records.handle_saved(cell),
    events.RecordsFailed: _records.handle_save_failed,
    events.JobsRestored: _handle_jobs_restored,
    events.Restored: _handle_restored,
    events.Ticked: _handle_ticked,
}
