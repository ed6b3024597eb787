"""Submission of jobs, and calls about jobs, which any node accepts."""

import attrs

from celeryshift_core import _admission
from celeryshift_core import _config
from celeryshift_core import _explain
from celeryshift_core import _ids
from celeryshift_core import _job_rows
from celeryshift_core import _jobs
from celeryshift_core import _ownership
from celeryshift_core import _peers
from celeryshift_core import _refusals
from celeryshift_core import _state
from celeryshift_core import _store
from celeryshift_core import _tasks
from celeryshift_core import _timers
from celeryshift_core import effects
from celeryshift_core import events
from celeryshift_core import schema

MAX_TASKS = 10_000
# Field of the place of a job that was cancelled before it was accepted.
WITHDRAWN = 'withdrawn'

Outcome = events.Outcome
Ran = _refusals.Ran
Reason = _refusals.Reason
Refusal = _refusals.Refusal


@attrs.frozen(slots=True)
class SubmitPurpose:
    """Purpose of a write that accepts jobs."""

    submissions: tuple[_state.Submission, ...]


@attrs.frozen(slots=True)
class PlacePurpose:
    """Purpose of a read that finds the slice of a job."""

    reply_id: str
    job: str
    act: events.JobAct
    team: str
    hops: int


@attrs.frozen(slots=True)
class WithdrawPurpose:
    """Purpose of a write that keeps a cancelled job from being accepted."""

    place: PlacePurpose


def handle_job_submitted(
    state: _state.State, event: events.JobSubmitted, outbox: _state.Outbox
) -> None:
    """Admit a job and write it, or forward it to a peer.

    It is forwarded if this node has no slice that could hold it.
    """
    spec = event.spec
    team = _resolve_team(state, event.credentials, spec.team)
    if isinstance(team, Refusal):
        _refuse(state, event.reply_id, team, outbox)
        return
    kind = state.config.kinds.get(spec.kind)
    refusal = _check_spec(state, kind, spec)
    if kind is None or refusal is not None:
        refusal = refusal or Refusal(Reason.UNKNOWN_KIND)
        _refuse(state, event.reply_id, refusal, outbox)
        return
    slice_ = _choose_slice(state, kind, spec)
    if slice_ is None:
        _forward_job(state, event, kind, team, outbox)
        return
    size = spec.size or kind.size
    job = _tasks.Job(
        _ids.scoped(team, spec.id),
        team,
        spec.kind,
        spec.tasks,
        spec.payload,
        size,
    )
    submission = _state.Submission(event.reply_id, slice_.number, job)
    state.submissions.append(submission)
    _await_reply(state, event.reply_id)
    key = _timers.FlushSubmissions()
    state.timers.set_once(key, state.now + state.options.flush_s)


def flush(state: _state.State, outbox: _state.Outbox) -> None:
    """Write the jobs that wait to be accepted, many in one write."""
    if state.submitting or not state.submissions:
        return
    max_jobs = state.options.rows_per_write // 2
    batch = tuple(state.submissions[:max_jobs])
    del state.submissions[:max_jobs]
    data_centre = state.options.data_centre
    checks: dict[str, int] = {}
    puts: dict[str, dict] = {}
    ready = []
    deferred = []
    for submission in batch:
        slice_ = state.slices_by_number.get(submission.slice)
        place_key = schema.job_place(submission.job.id)
        if slice_ is None:
            _refuse_submission(state, submission, Reason.NOT_READY, outbox)
            continue
        if place_key in puts:
            # A duplicate submission; the next write finds the job accepted.
            deferred.append(submission)
            continue
        checks[schema.slice_(data_centre, slice_.number)] = slice_.row_version
        checks[place_key] = 0
        puts[place_key] = {'data_centre': data_centre, 'slice': slice_.number}
        row_key = schema.job(data_centre, slice_.number, submission.job.id)
        puts[row_key] = _job_rows.to_row(submission.job)
        ready.append(submission)
    state.submissions[:0] = deferred
    if ready:
        state.submitting = True
        purpose = SubmitPurpose(tuple(ready))
        _store.write(state, outbox, purpose, checks, puts)


def handle_submission_written(
    state: _state.State,
    purpose: SubmitPurpose,
    result: _store.WriteResult,
    outbox: _state.Outbox,
) -> None:
    """Handle the outcome of a write that accepts jobs."""
    state.submitting = False
    for submission in purpose.submissions:
        slice_ = state.slices_by_number.get(submission.slice)
        place = result.rows.get(schema.job_place(submission.job.id))
        if result.ok:
            submission.job.row_version = result.version
            if slice_ is not None and slice_.acquired_version < result.version:
                # Otherwise the slice was acquired after the write, and the
                # job was read with it.
                _jobs.accept(state, slice_, submission.job)
            _reply_accepted(state, submission, False, outbox)
        elif place is not None and _is_withdrawn(place):
            _refuse_submission(state, submission, Reason.WITHDRAWN_JOB, outbox)
        elif place is not None:
            _reply_accepted(state, submission, True, outbox)
        elif result.reached and submission.reply_id in state.pending_replies:
            # The check of another job made the whole write fail.
            state.submissions.append(submission)
        else:
            _refuse_submission(state, submission, Reason.STORE_DOWN, outbox)
    if state.submissions:
        flush(state, outbox)


def handle_reply_due(
    state: _state.State, timer: _timers.ReplyDue, outbox: _state.Outbox
) -> None:
    """Tell a caller that the outcome of its job is still unknown."""
    if timer.reply_id in state.pending_replies:
        detail = 'the store has not answered; send the same job id again'
        retry_s = state.options.retry_after_s
        refusal = Refusal(Reason.STORE_DOWN, Ran.UNKNOWN, retry_s, detail)
        _refuse(state, timer.reply_id, refusal, outbox)


def handle_call_forwarded(
    state: _state.State, event: events.CallForwarded, outbox: _state.Outbox
) -> None:
    """Pass on the reply of a peer."""
    state.pending_replies.discard(event.reply_id)
    refusal = event.refusal
    if event.outcome is not Outcome.OK and refusal is None:
        unsent = event.outcome is Outcome.UNSENT
        ran = Ran.NO if unsent else Ran.UNKNOWN
        retry_s = state.options.retry_after_s
        refusal = Refusal(Reason.NOT_READY, ran, retry_s, 'a peer is silent')
    document = event.document if refusal is None else None
    outbox.append(effects.Reply(event.reply_id, document, refusal))


def handle_job_act_requested(
    state: _state.State, event: events.JobActRequested, outbox: _state.Outbox
) -> None:
    """Answer a call about a job, or look up the slice that holds it."""
    team = _resolve_team(state, event.credentials, event.team)
    if isinstance(team, Refusal):
        _refuse(state, event.reply_id, team, outbox)
        return
    job_id = _ids.scoped(team, event.job)
    if event.act is events.JobAct.CANCEL and _is_moving(state, job_id):
        retry_s = state.options.retry_after_s
        detail = 'the job is being moved to another slice'
        refusal = Refusal(Reason.NOT_READY, Ran.NO, retry_s, detail)
        _refuse(state, event.reply_id, refusal, outbox)
        return
    document = _act_locally(state, job_id, event.act, outbox)
    if document is not None:
        outbox.append(effects.Reply(event.reply_id, document))
        return
    purpose = PlacePurpose(
        event.reply_id, event.job, event.act, team, event.hops
    )
    state.pending_replies.add(event.reply_id)
    _store.read(state, outbox, purpose, (schema.job_place(job_id),))


def handle_place_read(
    state: _state.State,
    purpose: PlacePurpose,
    rows: dict[str, schema.Row] | None,
    outbox: _state.Outbox,
) -> None:
    """Forward a call to the owner of the slice of its job."""
    retry_s = state.options.retry_after_s
    job_id = _ids.scoped(purpose.team, purpose.job)
    if rows is None:
        refusal = Refusal(Reason.STORE_DOWN, Ran.NO, retry_s)
        _refuse(state, purpose.reply_id, refusal, outbox)
        return
    row = rows.get(schema.job_place(job_id))
    if row is None and purpose.act is events.JobAct.CANCEL:
        # The job may be on its way. Accepting it requires that it has no
        # place.
        place_key = schema.job_place(job_id)
        puts = {place_key: {WITHDRAWN: True}}
        withdrawal = WithdrawPurpose(purpose)
        _store.write(state, outbox, withdrawal, {place_key: 0}, puts)
        return
    if row is None or _is_withdrawn(row):
        refusal = Refusal(Reason.UNKNOWN_JOB, detail=purpose.job)
        _refuse(state, purpose.reply_id, refusal, outbox)
        return
    if 'result' in row.value:
        state.pending_replies.discard(purpose.reply_id)
        outbox.append(effects.Reply(purpose.reply_id, row.value['result']))
        return
    peer = _find_owner(state, row.value['data_centre'], row.value['slice'])
    if peer is None or purpose.hops >= state.options.max_hops:
        detail = 'the owner of its slice is not known yet'
        refusal = Refusal(Reason.NOT_READY, Ran.NO, retry_s, detail)
        _refuse(state, purpose.reply_id, refusal, outbox)
        return
    outbox.append(
        effects.ForwardJobAct(
            purpose.reply_id,
            peer.id,
            peer.address,
            purpose.job,
            purpose.act,
            purpose.team,
            purpose.hops + 1,
        )
    )


def handle_withdrawal_written(
    state: _state.State,
    purpose: WithdrawPurpose,
    result: _store.WriteResult,
    outbox: _state.Outbox,
) -> None:
    """Answer the cancellation of a job that has no place, or has got one."""
    place = purpose.place
    place_key = schema.job_place(_ids.scoped(place.team, place.job))
    if result.ok:
        refusal = Refusal(Reason.UNKNOWN_JOB, detail=place.job)
        _refuse(state, place.reply_id, refusal, outbox)
    elif place_key in result.rows:
        handle_place_read(state, place, result.rows, outbox)
    else:
        handle_place_read(state, place, None, outbox)


def _is_withdrawn(place: schema.Row) -> bool:
    return bool(place.value.get(WITHDRAWN))


def _is_moving(state: _state.State, job_id: str) -> bool:
    return any(
        job_id in slice_.moving_jobs
        for slice_ in state.slices_by_number.values()
    )


def _act_locally(
    state: _state.State, job_id: str, act: events.JobAct, outbox: _state.Outbox
) -> dict | None:
    for slice_ in state.slices_by_number.values():
        job = slice_.jobs_by_id.get(job_id) or slice_.finished_by_id.get(
            job_id
        )
        if job is None:
            continue
        if act is events.JobAct.CANCEL and job_id in slice_.jobs_by_id:
            _jobs.cancel(state, slice_, job, outbox)
        if act is events.JobAct.EXPLAIN:
            return _explain.explain_job(state, slice_, job)
        return _explain.describe_job(job)
    return None


def _resolve_team(
    state: _state.State,
    credentials: events.Credentials | None,
    team: str,
) -> str | Refusal:
    if credentials is None:
        return team
    return _admission.resolve_team(state, credentials)


def _check_spec(
    state: _state.State, kind: _config.Kind | None, spec: events.JobSpec
) -> Refusal | None:
    if kind is None:
        return Refusal(Reason.UNKNOWN_KIND, detail=f'kind {spec.kind!r}')
    if kind.policy is _config.Policy.REQUEST:
        detail = f'kind {spec.kind!r} is for requests'
        return Refusal(Reason.BAD_REQUEST, detail=detail)
    if not 1 <= spec.tasks <= MAX_TASKS:
        detail = f'a job has 1 to {MAX_TASKS} tasks, not {spec.tasks}'
        return Refusal(Reason.BAD_REQUEST, detail=detail)
    waiting = sum(
        slice_.queue.length for slice_ in state.slices_by_number.values()
    )
    if waiting + spec.tasks > state.options.max_waiting:
        detail = f'{waiting} tasks wait at this node already'
        retry_s = state.options.retry_after_s
        return Refusal(Reason.NO_ROOM, Ran.NO, retry_s, detail)
    size = spec.size or kind.size
    refusal = _admission.check_kind(state, kind, size)
    if refusal is None and kind.policy is _config.Policy.GANG:
        max_tasks = state.fleet.max_tasks(kind.upstream, size)
        if max_tasks < spec.tasks:
            detail = (
                f'{spec.tasks} tasks of {size} must start at once, and no '
                f'slice of {kind.upstream!r} could hold more than {max_tasks}'
            )
            return Refusal(Reason.NEVER_FITS, detail=detail)
    return refusal


def _choose_slice(
    state: _state.State, kind: _config.Kind, spec: events.JobSpec
) -> _state.Slice | None:
    candidates = [
        slice_
        for slice_ in state.slices_by_number.values()
        if slice_.phase is not _state.SlicePhase.RELEASING
        and kind.upstream in slice_.ledger.upstreams
    ]
    if kind.policy is _config.Policy.GANG:
        numbers = _local_slices_fitting(state, kind, spec)
        candidates = [
            slice_ for slice_ in candidates if slice_.number in numbers
        ]
    if not candidates:
        return None
    return max(
        candidates,
        key=lambda slice_: (
            slice_.ledger.free_slots(kind.upstream) - slice_.queue.length
        ),
    )


def _local_slices_fitting(
    state: _state.State, kind: _config.Kind, spec: events.JobSpec
) -> set[int]:
    """Return the slices of this data centre that could hold a gang."""
    size = spec.size or kind.size
    return {
        name.number
        for name in state.fleet.slices_fitting(kind.upstream, size, spec.tasks)
        if name.data_centre == state.options.data_centre
    }


def _find_peer_fitting(
    state: _state.State, kind: _config.Kind, spec: events.JobSpec
) -> _state.Peer | None:
    """Return a peer that owns a slice which could hold a gang."""
    size = spec.size or kind.size
    for name in state.fleet.slices_fitting(kind.upstream, size, spec.tasks):
        peer = _find_owner(state, name.data_centre, name.number)
        if peer is not None:
            return peer
    return None


def _forward_job(
    state: _state.State,
    event: events.JobSubmitted,
    kind: _config.Kind,
    team: str,
    outbox: _state.Outbox,
) -> None:
    peer = None
    if event.hops < state.options.max_hops:
        if kind.policy is _config.Policy.GANG:
            peer = _find_peer_fitting(state, kind, event.spec)
        else:
            peer = _peers.choose_with_workers(state, kind.upstream)
    if peer is None:
        retry_s = state.options.retry_after_s
        detail = 'no node that owns workers of the upstream is known yet'
        refusal = Refusal(Reason.NOT_READY, Ran.NO, retry_s, detail)
        _refuse(state, event.reply_id, refusal, outbox)
        return
    spec = attrs.evolve(event.spec, team=team)
    state.pending_replies.add(event.reply_id)
    outbox.append(
        effects.ForwardJob(
            event.reply_id, peer.id, peer.address, spec, event.hops + 1
        )
    )


def _find_owner(
    state: _state.State, data_centre: str, number: int
) -> _state.Peer | None:
    for peer in _ownership.live_peers(state):
        if peer.data_centre == data_centre and number in peer.slices:
            return peer
    return None


def _await_reply(state: _state.State, reply_id: str) -> None:
    state.pending_replies.add(reply_id)
    at = state.now + state.options.reply_s
    state.timers.set(_timers.ReplyDue(reply_id), at)


def _reply_accepted(
    state: _state.State,
    submission: _state.Submission,
    existed: bool,
    outbox: _state.Outbox,
) -> None:
    if submission.reply_id not in state.pending_replies:
        return
    _clear_pending_reply(state, submission.reply_id)
    name = submission.job.id.partition(':')[2]
    document = {'id': name, 'accepted': True, 'existed': existed}
    outbox.append(effects.Reply(submission.reply_id, document))


def _refuse_submission(
    state: _state.State,
    submission: _state.Submission,
    reason: Reason,
    outbox: _state.Outbox,
) -> None:
    if submission.reply_id in state.pending_replies:
        is_final = reason is Reason.WITHDRAWN_JOB
        retry_s = None if is_final else state.options.retry_after_s
        refusal = Refusal(reason, Ran.NO, retry_s)
        _refuse(state, submission.reply_id, refusal, outbox)


def _refuse(
    state: _state.State, reply_id: str, refusal: Refusal, outbox: _state.Outbox
) -> None:
    _clear_pending_reply(state, reply_id)
    state.counters[f'refused.{refusal.reason.value}'] += 1
    outbox.append(effects.Reply(reply_id, None, refusal))


def _clear_pending_reply(state: _state.State, reply_id: str) -> None:
    state.pending_replies.discard(reply_id)
    state.timers.cancel(_timers.ReplyDue(reply_id))
