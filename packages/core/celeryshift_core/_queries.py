"""Read-only queries: the audit trail, and the decisions on a request."""

import attrs

from celeryshift_core import _admission
from celeryshift_core import _explain
from celeryshift_core import _ids
from celeryshift_core import _refusals
from celeryshift_core import _state
from celeryshift_core import _store
from celeryshift_core import effects
from celeryshift_core import events
from celeryshift_core import schema

MAX_AUDIT_PAGE = 100

Ran = _refusals.Ran
Reason = _refusals.Reason
Refusal = _refusals.Refusal


@attrs.frozen(slots=True)
class AuditPurpose:
    """Purpose of a read of a page of the audit trail."""

    reply_id: str
    first: int


def handle_audit_requested(
    state: _state.State, event: events.AuditRequested, outbox: _state.Outbox
) -> None:
    """Read the audit records of the versions before a version."""
    newest = state.config.version + 1
    before = min(event.before or newest, newest)
    limit = max(1, min(event.limit, MAX_AUDIT_PAGE))
    first = max(1, before - limit)
    keys = tuple(schema.audit(number) for number in range(first, before))
    if not keys:
        _reply_page(event.reply_id, [], None, outbox)
        return
    state.pending_replies.add(event.reply_id)
    _store.read(state, outbox, AuditPurpose(event.reply_id, first), keys)


def handle_audit_read(
    state: _state.State,
    purpose: AuditPurpose,
    rows: dict[str, schema.Row] | None,
    outbox: _state.Outbox,
) -> None:
    """Reply with a page of the audit trail, the latest change first."""
    state.pending_replies.discard(purpose.reply_id)
    if rows is None:
        retry_s = state.options.retry_after_s
        refusal = Refusal(Reason.STORE_DOWN, Ran.NO, retry_s)
        outbox.append(effects.Reply(purpose.reply_id, None, refusal))
        return
    records = [rows[key].value for key in sorted(rows, reverse=True)]
    more = purpose.first if purpose.first > 1 else None
    _reply_page(purpose.reply_id, records, more, outbox)


def handle_request_queried(
    state: _state.State, event: events.RequestQueried, outbox: _state.Outbox
) -> None:
    """Reply with the decisions about a request of the caller's team."""
    team = _admission.resolve_team(state, event.credentials)
    if isinstance(team, Refusal):
        outbox.append(effects.Reply(event.reply_id, None, team))
        return
    task_id = _ids.task_of_request(team, event.name)
    task = _explain.find_task(state, task_id)
    if task is None:
        detail = f'this node remembers no request {event.name!r}'
        refusal = Refusal(Reason.UNKNOWN_REQUEST, detail=detail)
        outbox.append(effects.Reply(event.reply_id, None, refusal))
        return
    document = {**_explain.explain_task(state, task), 'id': event.name}
    outbox.append(effects.Reply(event.reply_id, document))


def _reply_page(
    reply_id: str, records: list[dict], more: int | None, outbox: _state.Outbox
) -> None:
    document = {'records': records, 'next_before': more}
    outbox.append(effects.Reply(reply_id, document))
