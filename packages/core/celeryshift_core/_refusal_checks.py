"""Refusals of requests, made sure of where they say that nothing ran.

A call that must not be repeated may be sent again under its name, through
any node. A refusal of one such call says "not run" only after no claim was
found under the name; when the store cannot tell, it says that it is unknown.
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
    """Say that a read looks for the claim of a request to be refused."""

    request: str
    key: str


@attrs.frozen(slots=True)
class UnclaimPurpose:
    """Say that a write gives back a claim that was never used."""


def unclaim(
    state: _state.State, task_id: str, version: int, outbox: _state.Outbox
) -> None:
    """Give back a claim under which nothing was sent."""
    key = schema.request_claim(task_id)
    checks = {key: version}
    _store.write(state, outbox, UnclaimPurpose(), checks, {}, (key,))


def refuse(
    state: _state.State,
    request: _state.Request,
    refusal: Refusal,
    outbox: _state.Outbox,
) -> None:
    """Refuse a request, at once unless it has to be made sure of."""
    state.counters[f'refused.{refusal.reason.value}'] += 1
    task_id = _ids.task_of_request(request.team, request.name)
    if request.claim_version and refusal.ran is Ran.NO:
        # The claim is this node's own, and nothing was sent under it.
        unclaim(state, task_id, request.claim_version, outbox)
        outbox.append(effects.RefuseRequest(request.id, refusal))
        return
    if not _is_in_doubt(state, request, refusal):
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
    """Take in whether a claim was found."""
    is_unclaimed = rows is not None and purpose.key not in rows
    _send_checked_refusal(
        state, purpose.request, Ran.NO if is_unclaimed else Ran.UNKNOWN, outbox
    )


def handle_check_due(
    state: _state.State, timer: _timers.CheckDue, outbox: _state.Outbox
) -> None:
    """Refuse without being sure: the store has not answered in time."""
    _send_checked_refusal(state, timer.request, Ran.UNKNOWN, outbox)


def _is_in_doubt(
    state: _state.State, request: _state.Request, refusal: Refusal
) -> bool:
    kind = state.config.kinds.get(request.kind)
    return (
        refusal.ran is Ran.NO
        and request.named
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
