"""Refusals of requests, with a check of those that state "not run".

A caller may resend a request under the same name through any node, so an
earlier attempt may have run. If the request must not be repeated, its refusal
says "not run" only if the store holds no at-most-once claim under the name. If
the store does not answer, it says that the outcome is unknown.
"""

import attrs

from celeryshift_core import _ids
from celeryshift_core import _refusals
from celeryshift_core import _state
from celeryshift_core import _store
from celeryshift_core import _timers
from celeryshift_core import effects
from celeryshift_core import schema

CHECK_TIMEOUT_S = 0.25

Ran = _refusals.Ran
Refusal = _refusals.Refusal


@attrs.frozen(slots=True)
class ClaimCheckPurpose:
    """Purpose of a read of the claim of a request to be refused."""

    request: str
    key: str


@attrs.frozen(slots=True)
class UnclaimPurpose:
    """Purpose of a write that deletes an unused claim."""


def unclaim(
    state: _state.State, task_id: str, version: int, outbox: _state.Outbox
) -> None:
    """Delete a claim under which nothing was sent."""
    key = schema.request_claim(task_id)
    checks = {key: version}
    _store.write(state, outbox, UnclaimPurpose(), checks, {}, (key,))


def refuse(
    state: _state.State,
    request: _state.Request,
    refusal: Refusal,
    outbox: _state.Outbox,
) -> None:
    """Refuse a request, after a check of its claim if needed."""
    state.counters[f'refused.{refusal.reason.value}'] += 1
    task_id = _ids.task_of_request(request.team, request.name)
    if request.claim_version and refusal.ran is Ran.NO:
        # The claim belongs to this node, and nothing was sent under it.
        unclaim(state, task_id, request.claim_version, outbox)
        outbox.append(effects.RefuseRequest(request.id, refusal))
        return
    if not _needs_claim_check(state, request, refusal):
        outbox.append(effects.RefuseRequest(request.id, refusal))
        return
    state.refusals_in_doubt[request.id] = refusal
    if state.store.failing_since is not None:
        _send_checked_refusal(state, request.id, Ran.UNKNOWN, outbox)
        return
    key = schema.request_claim(task_id)
    _store.read(state, outbox, ClaimCheckPurpose(request.id, key), (key,))
    timer = _timers.CheckDue(request.id)
    state.timers.set(timer, state.now + CHECK_TIMEOUT_S)


def handle_claim_read(
    state: _state.State,
    purpose: ClaimCheckPurpose,
    rows: dict[str, schema.Row] | None,
    outbox: _state.Outbox,
) -> None:
    """Send the refusal once the claim has been looked up."""
    is_unclaimed = rows is not None and purpose.key not in rows
    _send_checked_refusal(
        state, purpose.request, Ran.NO if is_unclaimed else Ran.UNKNOWN, outbox
    )


def handle_check_due(
    state: _state.State, timer: _timers.CheckDue, outbox: _state.Outbox
) -> None:
    """Refuse with an unknown outcome after the store did not answer."""
    _send_checked_refusal(state, timer.request, Ran.UNKNOWN, outbox)


def _needs_claim_check(
    state: _state.State, request: _state.Request, refusal: Refusal
) -> bool:
    kind = state.config.kinds.get(request.kind)
    return (
        refusal.ran is Ran.NO
        and request.named
        # Otherwise the node that the caller reached checks the claim.
        and request.hops == 0
        and (kind is None or not kind.repeatable)
    )


def _send_checked_refusal(
    state: _state.State, request_id: str, ran: Ran, outbox: _state.Outbox
) -> None:
    refusal = state.refusals_in_doubt.pop(request_id, None)
    if refusal is not None:
        state.timers.cancel(_timers.CheckDue(request_id))
        refusal = attrs.evolve(refusal, ran=ran)
        outbox.append(effects.RefuseRequest(request_id, refusal))
