"""Claims of work that must not be repeated.

The owner inserts a claim under the name of the request or task before it is
sent for the first time. Whoever finds a claim that is not its own never sends.
"""

import attrs

from celeryshift_core import _gangs
from celeryshift_core import _jobs
from celeryshift_core import _launch
from celeryshift_core import _requests
from celeryshift_core import _state
from celeryshift_core import _store
from celeryshift_core import _tasks
from celeryshift_core import _verdicts
from celeryshift_core import events
from celeryshift_core import schema


@attrs.frozen(slots=True)
class ClaimPurpose:
    """Say that a write claims the only run of a request or task."""

    slice: int
    epoch: int
    task: str


@attrs.frozen(slots=True)
class GangClaimPurpose:
    """Say that a write claims the only start of an all-at-once job."""

    slice: int
    epoch: int
    job: str


def claim(
    state: _state.State,
    held: _state.Slice,
    task: _tasks.Task,
    out: _state.Out,
) -> None:
    """Claim the only run of a task that is placed.

    While the store is known to fail the claim is given up at once.
    """
    if state.store.failing_since is not None:
        _not_claimed(state, held, task, None, out)
        return
    key = schema.once(task.id)
    value = {'node': state.node, 'worker': task.worker, 'run': task.run_id}
    purpose = ClaimPurpose(held.number, held.epoch, task.id)
    _store.write(state, out, purpose, {key: 0}, {key: value})


def claimed(
    state: _state.State,
    purpose: ClaimPurpose,
    answer: _store.Written,
    out: _state.Out,
) -> None:
    """Take in the outcome of a claim: send only if it is ours."""
    held = state.slices_by_number.get(purpose.slice)
    task = None
    if held is not None and held.epoch == purpose.epoch:
        task = held.tasks_by_id.get(purpose.task)
    wanted = (
        task is not None
        and task.state is _tasks.TaskState.STARTING
        and (not task.request or task.request in state.requests_by_id)
    )
    if held is None or task is None or not wanted:
        if answer.ok:
            _verdicts.unclaim(state, purpose.task, answer.version, out)
        return
    if answer.ok and task.worker not in held.ledger.workers_by_name:
        _verdicts.unclaim(state, purpose.task, answer.version, out)
        _worker_went(state, held, task, out)
        return
    if answer.ok:
        task.claim_version = answer.version
        if task.request:
            request = state.requests_by_id[task.request]
            request.claim_version = answer.version
        _launch.send(state, held, task, out)
        return
    found = answer.rows.get(schema.once(task.id))
    _not_claimed(state, held, task, found, out)


def _worker_went(
    state: _state.State,
    held: _state.Slice,
    task: _tasks.Task,
    out: _state.Out,
) -> None:
    """Place a task anew whose worker went before anything was sent."""
    if task.is_request:
        unsent = events.RequestAnswered(
            state.now, task.request, task.attempt, events.Outcome.UNSENT
        )
        _requests.answered(state, unsent, out)
        return
    _launch.unbook(state, held, task)
    _jobs.not_started(state, held, task, 'worker is gone', False, out)


def claim_gang(
    state: _state.State,
    held: _state.Slice,
    gang: _tasks.Gang,
    out: _state.Out,
) -> None:
    """Claim the only start of an all-at-once job that has its room."""
    gang.phase = _tasks.GangPhase.CLAIMING
    key = schema.once(_gang_key(gang.job.id))
    value = {'node': state.node, 'job': gang.job.id}
    purpose = GangClaimPurpose(held.number, held.epoch, gang.job.id)
    _store.write(state, out, purpose, {key: 0}, {key: value})


def gang_claimed(
    state: _state.State,
    purpose: GangClaimPurpose,
    answer: _store.Written,
    out: _state.Out,
) -> None:
    """Take in the outcome of a claim: start only if it is ours."""
    held = _state.owned(state, purpose)
    if held is None:
        return
    gang = held.gangs_by_job.get(purpose.job)
    if gang is None or gang.phase is not _tasks.GangPhase.CLAIMING:
        return
    if answer.ok:
        gang.claimed = True
        gang.phase = _tasks.GangPhase.RESERVING
        state.touched[held.number] = None
        return
    why = 'its claim could not be written'
    _gangs.pause(state, held, gang, why)
    if schema.once(_gang_key(purpose.job)) in answer.rows:
        for task in list(gang.waiting.values()):
            _jobs.not_repeated(state, held, task, 'its gang was started')


def _not_claimed(
    state: _state.State,
    held: _state.Slice,
    task: _tasks.Task,
    found: schema.Row | None,
    out: _state.Out,
) -> None:
    _launch.unbook(state, held, task)
    if task.is_request:
        _requests.not_claimed(state, held, task, found, out)
    else:
        _jobs.not_claimed(state, held, task, found, out)


def _gang_key(job: str) -> str:
    return f'g:{job}'
