"""Dispatch of events, timers and store answers to their handlers."""

from collections.abc import Callable
import random
from typing import Any

from celeryshift_core import _allotments
from celeryshift_core import _at_most_once
from celeryshift_core import _configuration
from celeryshift_core import _departures
from celeryshift_core import _earmarks
from celeryshift_core import _errors
from celeryshift_core import _gangs
from celeryshift_core import _job_arrivals
from celeryshift_core import _job_holds
from celeryshift_core import _jobs
from celeryshift_core import _keys
from celeryshift_core import _ownership
from celeryshift_core import _peers
from celeryshift_core import _placement
from celeryshift_core import _pools
from celeryshift_core import _quarantine
from celeryshift_core import _queries
from celeryshift_core import _refusal_checks
from celeryshift_core import _requests
from celeryshift_core import _slices
from celeryshift_core import _slot_moves
from celeryshift_core import _state
from celeryshift_core import _store
from celeryshift_core import _submission
from celeryshift_core import _timers
from celeryshift_core import _transfer
from celeryshift_core import _usage
from celeryshift_core import _worker_backoff
from celeryshift_core import _workers
from celeryshift_core import effects
from celeryshift_core import events

# Timers are due several times a second, so a longer time without an event is a
# pause of the process.
PAUSE_S = 2.0

Handler = Callable[[_state.State, Any, _state.Outbox], Any]
WriteHandler = Callable[
    [_state.State, Any, _store.WriteResult, _state.Outbox], None
]
ReadHandler = Callable[[_state.State, Any, Any, _state.Outbox], None]


def reduce(state: _state.State, event: events.Event) -> list[effects.Effect]:
    """Apply an event to the state and return the effects to carry out."""
    handler = _HANDLERS_BY_EVENT.get(type(event))
    if handler is None:
        raise _errors.UnknownEventError(type(event).__name__)
    if event.now - state.now > PAUSE_S:
        state.resumed_at = event.now
    state.now = max(state.now, event.now)
    outbox: _state.Outbox = []
    handler(state, event, outbox)
    _run_timers(state, outbox)
    _placement.place_on_marked_slices(state, outbox)
    if state.phase is _state.NodePhase.DRAINING:
        for number in list(state.slices_by_number):
            _ownership.try_release(state, number, outbox)
        _ownership.stop_if_drained(state, outbox)
    return outbox


def _run_timers(state: _state.State, outbox: _state.Outbox) -> None:
    for timer in state.timers.pop_due(state.now):
        _HANDLERS_BY_TIMER[type(timer)](state, timer, outbox)


def _handle_started(
    state: _state.State, event: events.Started, outbox: _state.Outbox
) -> None:
    state.node = f'{state.options.address}/{event.incarnation}'
    state.rng = random.Random(event.incarnation)
    state.membership.stable_since = state.now
    _poll_vms(state, None, outbox)
    _configuration.poll(state, outbox)
    _ownership.renew(state, outbox)
    _ownership.poll_nodes(state, outbox)
    _peers.send_summaries(state, outbox)
    state.timers.set(_timers.SendUsage(), state.now + state.rng.random())
    state.timers.set(_timers.MoveJobs(), state.now + _transfer.MOVE_INTERVAL_S)
    state.timers.set(_timers.PollArrivals(), state.now)


def _handle_tick(
    state: _state.State, event: events.Tick, outbox: _state.Outbox
) -> None:
    """Do nothing; `reduce` runs the timers that are due."""


def _poll_vms(state: _state.State, timer: Any, outbox: _state.Outbox) -> None:
    at = state.now + state.options.vm_poll_s
    state.timers.set(_timers.PollVms(), at)
    outbox.append(effects.FetchVms(state.vm_revision))


def _handle_drain_requested(
    state: _state.State, event: events.DrainRequested, outbox: _state.Outbox
) -> None:
    if state.phase is _state.NodePhase.SERVING:
        state.phase = _state.NodePhase.DRAINING
        state.membership.draining_since = state.now
        outbox.append(effects.LogChange('draining', {'node': state.node}))
        _peers.send_summaries(state, outbox)
        _ownership.balance(state, outbox)
    elif state.phase is _state.NodePhase.STARTING:
        state.phase = _state.NodePhase.STOPPED
        outbox.append(effects.StopNode())


def _handle_store_written(
    state: _state.State, event: events.StoreWritten, outbox: _state.Outbox
) -> None:
    definite = _store.handle_written(state, event, outbox)
    if definite is not None:
        purpose, result = definite
        handler = _HANDLERS_BY_WRITE.get(type(purpose))
        if handler is not None:
            handler(state, purpose, result, outbox)


def _handle_store_read(
    state: _state.State, event: events.StoreRead, outbox: _state.Outbox
) -> None:
    purpose = _store.pop_read_purpose(state, event, outbox)
    if purpose is not None:
        _HANDLERS_BY_READ[type(purpose)](state, purpose, event.rows, outbox)


def _handle_worker_synced(
    state: _state.State, event: events.WorkerSynced, outbox: _state.Outbox
) -> None:
    if _workers.handle_synced(state, event, outbox):
        slice_ = state.slices_by_number[event.slice]
        _slices.mark_ready_if_reported(state, slice_, outbox)
        _allotments.clear_inherited_if_reported(state, slice_)


def _handle_recovery_end(
    state: _state.State, timer: _timers.RecoveryEnds, outbox: _state.Outbox
) -> None:
    slice_ = _state.owned_slice(state, timer)
    if slice_ is not None:
        _slices.mark_ready(state, slice_, outbox)


def _handle_place_due(
    state: _state.State,
    timer: _timers.PlaceDue | _timers.SearchDue,
    outbox: _state.Outbox,
) -> None:
    if _state.owned_slice(state, timer) is not None:
        state.slices_to_place[timer.slice] = None


_HANDLERS_BY_EVENT: dict[type, Handler] = {
    events.Started: _handle_started,
    events.Tick: _handle_tick,
    events.StoreWritten: _handle_store_written,
    events.StoreRead: _handle_store_read,
    events.VmsFetched: _slices.handle_vms_fetched,
    events.WorkerSynced: _handle_worker_synced,
    events.TaskStarted: _workers.handle_started,
    events.TaskStopped: _workers.handle_stopped,
    events.RequestArrived: _requests.handle_arrived,
    events.RequestAbandoned: _requests.handle_abandoned,
    events.RequestAnswered: _requests.handle_answered,
    events.RequestForwarded: _requests.handle_forwarded,
    events.JobSubmitted: _submission.handle_job_submitted,
    events.JobActRequested: _submission.handle_job_act_requested,
    events.CallForwarded: _submission.handle_call_forwarded,
    events.ConfigSubmitted: _configuration.handle_submitted,
    events.KeyWithdrawn: _keys.handle_withdrawn,
    events.AuditRequested: _queries.handle_audit_requested,
    events.RequestQueried: _queries.handle_request_queried,
    events.PeerMessageArrived: _peers.handle_message,
    events.PeerUnreachable: _peers.handle_unreachable,
    events.DrainRequested: _handle_drain_requested,
}

_HANDLERS_BY_TIMER: dict[type, Handler] = {
    _timers.RenewNode: lambda state, _, outbox: _ownership.renew(
        state, outbox
    ),
    _timers.PollVms: _poll_vms,
    _timers.PollConfig: lambda state, _, outbox: _configuration.poll(
        state, outbox
    ),
    _timers.PollNodes: lambda state, _, outbox: _ownership.poll_nodes(
        state, outbox
    ),
    _timers.SendSummaries: lambda state, _, outbox: _peers.send_summaries(
        state, outbox
    ),
    _timers.FlushSubmissions: lambda state, _, outbox: _submission.flush(
        state, outbox
    ),
    _timers.RecordJobs: lambda state, _, outbox: _jobs.flush(state, outbox),
    _timers.SettleWrite: lambda state, timer, outbox: _store.settle(
        state, timer.op_id, outbox
    ),
    _timers.SyncDue: _workers.retry_sync,
    _timers.TaskLeasesEnd: _workers.handle_leases_expired,
    _timers.RecoveryEnds: _handle_recovery_end,
    _timers.BookingEnds: _workers.handle_booking_expired,
    _timers.RequeueTask: _jobs.handle_requeue_due,
    _timers.StopDue: _workers.retry_stop,
    _timers.GangDue: _gangs.handle_due,
    _timers.QuarantineEnds: _quarantine.handle_quarantine_end,
    _timers.JobHoldEnds: _job_holds.handle_hold_end,
    _timers.EarmarkEnds: _earmarks.handle_earmark_end,
    _timers.ContinueCancel: _jobs.continue_cancellation,
    _timers.PlaceDue: _handle_place_due,
    _timers.SearchDue: _handle_place_due,
    _timers.RequestDue: _requests.handle_due,
    _timers.ReplyDue: _submission.handle_reply_due,
    _timers.CheckDue: _refusal_checks.handle_check_due,
    _timers.BackoffEnds: _worker_backoff.handle_backoff_end,
    _timers.SendWithdrawals: _keys.send_withdrawals,
    _timers.WriteWithdrawals: _keys.write_withdrawals,
    _timers.WithdrawalReplyDue: _keys.handle_reply_due,
    _timers.ConfigReplyDue: _configuration.handle_reply_due,
    _timers.SendUsage: _usage.send_usage,
    _timers.ReviewAllotments: _allotments.review,
    _timers.MoveAllotments: _slot_moves.move,
    _timers.InheritedEnds: _allotments.handle_inherited_end,
    _timers.MoveJobs: _transfer.move,
    _timers.PollArrivals: _job_arrivals.read_arrivals,
}

_HANDLERS_BY_WRITE: dict[type, WriteHandler] = {
    _ownership.RenewPurpose: _ownership.handle_renewed,
    _ownership.AcquirePurpose: _ownership.handle_acquired,
    _ownership.ReleasePurpose: _ownership.handle_released,
    _departures.LeavePurpose: _departures.handle_leave_written,
    _at_most_once.ClaimPurpose: _at_most_once.handle_claim_written,
    _at_most_once.GangClaimPurpose: _at_most_once.handle_gang_claim_written,
    _jobs.RecordPurpose: _jobs.handle_record_written,
    _transfer.MovePurpose: _transfer.handle_moved,
    _job_arrivals.AcceptPurpose: _job_arrivals.handle_accept_written,
    _submission.SubmitPurpose: _submission.handle_submission_written,
    _submission.WithdrawPurpose: _submission.handle_withdrawal_written,
    _configuration.SubmitPurpose: _configuration.handle_written,
    _keys.WritePurpose: _configuration.handle_withdrawals_written,
    _slot_moves.MovePurpose: _slot_moves.handle_moved,
}

_HANDLERS_BY_READ: dict[type, ReadHandler] = {
    _ownership.NodesPurpose: _ownership.handle_nodes_read,
    _departures.SweepPurpose: _departures.handle_markers_read,
    _submission.PlacePurpose: _submission.handle_place_read,
    _refusal_checks.ClaimCheckPurpose: _refusal_checks.handle_claim_read,
    _configuration.HeadPurpose: _configuration.handle_head_read,
    _configuration.DocumentPurpose: _configuration.handle_document_read,
    _configuration.BasePurpose: _configuration.handle_base_read,
    _keys.BasePurpose: _keys.handle_base_read,
    _pools.PoolsPurpose: _allotments.handle_pools_read,
    _queries.AuditPurpose: _queries.handle_audit_read,
    _job_arrivals.ArrivalsPurpose: _job_arrivals.handle_arrivals_read,
    _job_arrivals.RowsPurpose: _job_arrivals.handle_rows_read,
}
