"""The reducer of a cell: an event changes the state and asks for effects."""

from collections.abc import Callable
from typing import Any

from celeryshift_cell import _advice
from celeryshift_cell import _draining
from celeryshift_cell import _health
from celeryshift_cell import _jobs
from celeryshift_cell import _placement
from celeryshift_cell import _preemption
from celeryshift_cell import _records
from celeryshift_cell import _reserve
from celeryshift_cell import _runs
from celeryshift_cell import _sharing
from celeryshift_cell import _state
from celeryshift_cell import _workers
from celeryshift_cell import _zones
from celeryshift_cell import effects
from celeryshift_cell import events

# A job that is heard of so long after the former owner's right has ended may
# have come before; the table of jobs is followed with half a second's pause.
LATE_NEWS_S = 2.0


def reduce(
    cell: _state.Cell, event: events.Event, may_start: bool = True
) -> list[effects.Effect]:
    """Apply an event; the state is changed in place.

    Without ``may_start`` no task is started: the caller has no right to, or
    has more events at hand, so that one pass serves them all.
    """
    cell.now = max(cell.now, event.now)
    HANDLERS[type(event)](cell, event)
    if may_start:
        _placement.run(cell)
    _records.save(cell)
    out, cell.out = cell.out, []
    return out


def _config_changed(cell: _state.Cell, event: events.ConfigChanged) -> None:
    cell.config = event.config
    _placement.refresh_policies(cell)
    cell.note('config_applied', version=event.config.version)


def _job_accepted(cell: _state.Cell, event: events.JobAccepted) -> None:
    spec = event.stored.job
    if not _records.is_news(cell, event.stored):
        return
    job = _jobs.accept(cell, spec)
    cell.note(
        'job_taken',
        job=spec.id,
        queue=spec.queue,
        team=spec.team,
        age_ms=round(cell.wall_ms - spec.arrived_ms),
        config=cell.config.version,
    )
    if cell.unfenced and cell.now < cell.former_owner_until + LATE_NEWS_S:
        # The former owner may know of it, and act.
        for step in job.steps.values():
            step.in_doubt = True
    _runs.catch_up(cell, job)
    _jobs.release(cell, job)


def _job_cancelled(cell: _state.Cell, event: events.JobCancelled) -> None:
    _records.cancel(cell, event.job_id)


def _ticked(cell: _state.Cell, event: events.Ticked) -> None:
    cell.wall_offset_ms = event.wall_ms - event.now * 1000
    _jobs.release_due(cell)
    _workers.expire(cell)
    _workers.settle(cell)
    _zones.look(cell)
    _workers.ask_due(cell)
    _health.stragglers(cell)
    _draining.move(cell)
    _sharing.move(cell)
    _reserve.observe(cell)
    _preemption.make_way(cell)
    _records.forget_ended(cell)
    if event.now >= cell.look_at:
        cell.look_at = event.now + cell.options.look_again_s
        _placement.look_again(cell)


def _restored(cell: _state.Cell, event: events.Restored) -> None:
    cell.wall_offset_ms = event.wall_ms - event.now * 1000
    _records.take_over(cell, event)
    _workers.ask_due(cell)


HANDLERS: dict[type, Callable[[_state.Cell, Any], None]] = {
    events.ConfigChanged: _config_changed,
    events.WorkersChanged: _workers.listed,
    events.JobAccepted: _job_accepted,
    events.JobCancelled: _job_cancelled,
    events.StartAnswered: _workers.start_answered,
    events.StopAnswered: _workers.stop_answered,
    events.PollAnswered: _workers.hold_answered,
    events.PollFailed: _workers.hold_failed,
    events.AdviceAnswered: _advice.answered,
    events.AdviceFailed: _advice.failed,
    events.RecordsSaved: lambda cell, event: _records.handle_saved(cell),
    events.RecordsFailed: lambda cell, event: _records.failed(cell),
    events.Restored: _restored,
    events.Ticked: _ticked,
}
