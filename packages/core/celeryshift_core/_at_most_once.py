"""At-most-once claims of work that must not be repeated.

The owner of a slice inserts a claim under the name of the request or task
before sending it for the first time. If the store already holds a claim under
the name, the work may have been sent, and it is not sent again.
"""

import attrs

from celeryshift_core import _dispatch
from celeryshift_core import _gangs
from celeryshift_core import _jobs
from celeryshift_core import _refusal_checks
from celeryshift_core import _requests
from celeryshift_core import _state
from celeryshift_core import _store
from celeryshift_core import _tasks
from celeryshift_core import events
from celeryshift_core import schema


@attrs.frozen(slots=True)
class ClaimPurpose:
    """Purpose of a write that claims the only run of a task."""

    slice: int
    epoch: int
    task: str


@attrs.frozen(slots=True)
class GangClaimPurpose:
    """Purpose of a write that claims the only start of a gang."""

    slice: int
    epoch: int
    job: str


def claim_run(
    state: _state.State,
    slice_: _state.Slice,
    task: _tasks.Task,
    outbox: _state.Outbox,
) -> None:
    """Claim the only run of a placed task.

    While the store is known to be failing, the claim fails at once.
    """
    if state.store.failing_since is not None:
        _handle_claim_failed(state, slice_, task, None, outbox)
        return
    key = schema.request_claim(task.id)
    value = {'node': state.node, 'worker': task.worker, 'run': task.run_id}
    purpose = ClaimPurpose(slice_.number, slice_.epoch, task.id)
    _store.write(state, outbox, purpose, {key: 0}, {key: value})


def handle_claim_written(
    state: _state.State,
    purpose: ClaimPurpose,
    result: _store.WriteResult,
    outbox: _state.Outbox,
) -> None:
    """Send the task if its claim was written."""
    slice_ = state.slices_by_number.get(purpose.slice)
    task = None
    if slice_ is not None and slice_.epoch == purpose.epoch:
        task = slice_.tasks_by_id.get(purpose.task)
    wanted = (
        task is not None
        and task.state is _tasks.TaskState.STARTING
        and (not task.request or task.request in state.requests_by_id)
    )
    if slice_ is None or task is None or not wanted:
        if result.ok:
            _refusal_checks.unclaim(
                state, purpose.task, result.version, outbox
            )
        return
    if result.ok and task.worker not in slice_.ledger.workers_by_name:
        _refusal_checks.unclaim(state, purpose.task, result.version, outbox)
        _handle_worker_gone(state, slice_, task, outbox)
        return
    if result.ok:
        task.claim_version = result.version
        if task.request:
            request = state.requests_by_id[task.request]
            request.claim_version = result.version
        _dispatch.send(state, slice_, task, outbox)
        return
    claim_row = result.rows.get(schema.request_claim(task.id))
    _handle_claim_failed(state, slice_, task, claim_row, outbox)


def _handle_worker_gone(
    state: _state.State,
    slice_: _state.Slice,
    task: _tasks.Task,
    outbox: _state.Outbox,
) -> None:
    """Retry a task whose worker left before the task was sent."""
    if task.is_request:
        unsent = events.RequestAnswered(
            state.now, task.request, task.attempt, events.Outcome.UNSENT
        )
        _requests.handle_answered(state, unsent, outbox)
        return
    _dispatch.release_task(state, slice_, task)
    _jobs.handle_not_started(
        state, slice_, task, 'worker is gone', False, outbox
    )


def claim_gang(
    state: _state.State,
    slice_: _state.Slice,
    gang: _tasks.Gang,
    outbox: _state.Outbox,
) -> None:
    """Claim the only start of a gang whose capacity is reserved."""
    gang.phase = _tasks.GangPhase.CLAIMING
    key = schema.request_claim(_gang_key(gang.job.id))
    value = {'node': state.node, 'job': gang.job.id}
    purpose = GangClaimPurpose(slice_.number, slice_.epoch, gang.job.id)
    _store.write(state, outbox, purpose, {key: 0}, {key: value})


def handle_gang_claim_written(
    state: _state.State,
    purpose: GangClaimPurpose,
    result: _store.WriteResult,
    outbox: _state.Outbox,
) -> None:
    """Start the gang if its claim was written."""
    slice_ = _state.owned_slice(state, purpose)
    if slice_ is None:
        return
    gang = slice_.gangs_by_job.get(purpose.job)
    if gang is None or gang.phase is not _tasks.GangPhase.CLAIMING:
        return
    if result.ok:
        # The next placement sends it, provided that all is still reserved.
        gang.claimed = True
        gang.phase = _tasks.GangPhase.RESERVING
        state.slices_to_place[slice_.number] = None
        return
    why = 'its claim could not be written'
    _gangs.pause(state, slice_, gang, why)
    if schema.request_claim(_gang_key(purpose.job)) in result.rows:
        for task in list(gang.waiting.values()):
            _jobs.mark_unknown(state, slice_, task, 'its gang was started')


def _handle_claim_failed(
    state: _state.State,
    slice_: _state.Slice,
    task: _tasks.Task,
    claim_row: schema.Row | None,
    outbox: _state.Outbox,
) -> None:
    _dispatch.release_task(state, slice_, task)
    if task.is_request:
        _requests.handle_claim_failed(state, slice_, task, claim_row, outbox)
    else:
        _jobs.handle_claim_failed(state, slice_, task, claim_row, outbox)


def _gang_key(job: str) -> str:
    return f'g:{job}'
