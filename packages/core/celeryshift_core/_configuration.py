"""The configuration in force: reading it, handing in, withdrawing keys."""

import attrs

from celeryshift_core import _audit
from celeryshift_core import _config
from celeryshift_core import _errors
from celeryshift_core import _peers
from celeryshift_core import _refusals
from celeryshift_core import _state
from celeryshift_core import _store
from celeryshift_core import _timers
from celeryshift_core import effects
from celeryshift_core import events
from celeryshift_core import messages
from celeryshift_core import schema

Ran = _refusals.Ran
Reason = _refusals.Reason
Refusal = _refusals.Refusal


@attrs.frozen(slots=True)
class HeadPurpose:
    """Say that a read finds the version of the configuration."""


@attrs.frozen(slots=True)
class DocumentPurpose:
    """Say that a read fetches the configuration."""


@attrs.frozen(slots=True)
class BasePurpose:
    """Say that a read finds what a hand-in is made against."""

    event: events.ConfigHandedIn


@attrs.frozen(slots=True)
class HandInPurpose:
    """Say that a write hands in a configuration."""

    event: events.ConfigHandedIn
    version: int


def poll(state: _state.State, out: _state.Out) -> None:
    """Ask which configuration is in force."""
    at = state.now + state.options.config_poll_s
    state.timers.set(_timers.PollConfig(), at)
    _store.read(state, out, HeadPurpose(), (schema.CONFIG_HEAD,))


def head_read(
    state: _state.State,
    purpose: HeadPurpose,
    rows: dict[str, schema.Row] | None,
    out: _state.Out,
) -> None:
    """Fetch the configuration if it is newer than ours."""
    if rows is None:
        return
    row = rows.get(schema.CONFIG_HEAD)
    if row is None or row.value['version'] <= state.config.version:
        state.config_confirmed_at = state.now
        return
    _store.read(state, out, DocumentPurpose(), (schema.CONFIG,))


def document_read(
    state: _state.State,
    purpose: DocumentPurpose,
    rows: dict[str, schema.Row] | None,
    out: _state.Out,
) -> None:
    """Put the configuration that was read in force."""
    row = rows.get(schema.CONFIG) if rows is not None else None
    if row is not None:
        put_in_force(state, row.value, out)


def put_in_force(state: _state.State, document: dict, out: _state.Out) -> None:
    """Put a configuration in force, unless it is older than ours."""
    config = _config.parse(document)
    state.config_confirmed_at = state.now
    if config.version <= state.config.version:
        return
    state.config = config
    state.withdrawn_keys.update(config.withdrawn_keys)
    for number in state.slices_by_number:
        state.touched[number] = None
    fields = {'version': config.version}
    out.append(effects.LogChange('configuration-in-force', fields))


def handed_in(
    state: _state.State, event: events.ConfigHandedIn, out: _state.Out
) -> None:
    """Check a hand-in and find the version it has to follow."""
    try:
        _config.parse(event.document)
    except _errors.ConfigurationError as error:
        detail = '; '.join(error.mistakes)
        refusal = Refusal(Reason.BAD_REQUEST, detail=detail)
        out.append(effects.Reply(event.reply_id, None, refusal))
        return
    state.replies_due.add(event.reply_id)
    _store.read(state, out, BasePurpose(event), (schema.CONFIG_HEAD,))


def base_read(
    state: _state.State,
    purpose: BasePurpose,
    rows: dict[str, schema.Row] | None,
    out: _state.Out,
) -> None:
    """Write a hand-in if it is made against the version in force."""
    event = purpose.event
    if rows is None:
        retry_s = state.options.retry_after_s
        refusal = Refusal(Reason.STORE_DOWN, Ran.NO, retry_s)
        _reply(state, event.reply_id, None, refusal, out)
        return
    row = rows.get(schema.CONFIG_HEAD)
    current = row.value['version'] if row else 0
    if current != event.base_version:
        _conflict(state, event, current, out)
        return
    version = current + 1
    record = {
        'who': event.operator,
        'at': event.wall_time,
        'what': _what(state, event),
        'from_version': current,
        'to_version': version,
    }
    puts = {
        schema.CONFIG_HEAD: {'version': version},
        schema.CONFIG: {**event.document, 'version': version},
        schema.audit(version): record,
    }
    checks = {schema.CONFIG_HEAD: row.version if row else 0}
    _store.write(state, out, HandInPurpose(event, version), checks, puts)


def written(
    state: _state.State,
    purpose: HandInPurpose,
    answer: _store.Written,
    out: _state.Out,
) -> None:
    """Take in the outcome of a hand-in."""
    event = purpose.event
    if answer.ok:
        document = {**event.document, 'version': purpose.version}
        put_in_force(state, document, out)
        reply = {'version': purpose.version}
        _reply(state, event.reply_id, reply, None, out)
        return
    row = answer.rows.get(schema.CONFIG_HEAD)
    if row is not None:
        _conflict(state, event, row.value['version'], out)
    else:
        retry_s = state.options.retry_after_s
        refusal = Refusal(Reason.STORE_DOWN, Ran.NO, retry_s)
        _reply(state, event.reply_id, None, refusal, out)


def key_withdrawn(
    state: _state.State, event: events.KeyWithdrawn, out: _state.Out
) -> None:
    """Stop a key here and at every peer at once, then in the store."""
    state.withdrawn_keys.add(event.key_id)
    message = messages.KeysWithdrawn(sorted(state.withdrawn_keys))
    _peers.broadcast(state, message, out)
    document = _config.unstructure(state.config)
    withdrawn = {*document['withdrawn_keys'], *state.withdrawn_keys}
    document['withdrawn_keys'] = sorted(withdrawn)
    handed_in(
        state,
        events.ConfigHandedIn(
            event.now,
            event.reply_id,
            state.config.version,
            document,
            event.operator,
            event.wall_time,
        ),
        out,
    )


def _what(state: _state.State, event: events.ConfigHandedIn) -> str:
    if state.config.version != event.base_version:
        # This node is behind: it cannot tell what the change began from.
        return f'compared with version {event.base_version}: not known'
    found = _audit.changes(state.config, _config.parse(event.document))
    return '; '.join(found) or 'nothing'


def _conflict(
    state: _state.State,
    event: events.ConfigHandedIn,
    current: int,
    out: _state.Out,
) -> None:
    error = _errors.ConfigurationConflictError(event.base_version, current)
    refusal = Refusal(Reason.CONFIGURATION_CONFLICT, detail=str(error))
    _reply(state, event.reply_id, None, refusal, out)


def _reply(
    state: _state.State,
    reply_id: str,
    document: dict | None,
    refusal: Refusal | None,
    out: _state.Out,
) -> None:
    state.replies_due.discard(reply_id)
    out.append(effects.Reply(reply_id, document, refusal))
