"""Configuration in force: how it is read, submitted and replaced."""

import attrs

from celeryshift_core import _audit
from celeryshift_core import _config
from celeryshift_core import _confirmation
from celeryshift_core import _errors
from celeryshift_core import _keys
from celeryshift_core import _pools
from celeryshift_core import _refusals
from celeryshift_core import _rerouting
from celeryshift_core import _shares
from celeryshift_core import _state
from celeryshift_core import _store
from celeryshift_core import _timers
from celeryshift_core import effects
from celeryshift_core import events
from celeryshift_core import messages
from celeryshift_core import schema

MIN_REQUEST_INTERVAL_S = 0.5

Ran = _refusals.Ran
Reason = _refusals.Reason
Refusal = _refusals.Refusal


@attrs.frozen(slots=True)
class HeadPurpose:
    """Purpose of a read of the version of the configuration."""

    asked_at: float


@attrs.frozen(slots=True)
class DocumentPurpose:
    """Purpose of a read of the configuration."""

    asked_at: float


@attrs.frozen(slots=True)
class BasePurpose:
    """Purpose of a read of the configuration that is to be replaced."""

    event: events.ConfigSubmitted


@attrs.frozen(slots=True)
class SubmitPurpose:
    """Purpose of a write of a submitted configuration."""

    event: events.ConfigSubmitted
    document: dict


def poll(state: _state.State, outbox: _state.Outbox) -> None:
    """Read the current version; ask peers too if the store is down."""
    at = state.now + state.options.config_poll_s
    state.timers.set(_timers.PollConfig(), at)
    state.config_asked_at = state.now
    purpose = HeadPurpose(state.now)
    _store.read(state, outbox, purpose, (schema.CONFIG_HEAD,))
    if state.store.failing_since is not None:
        _request_from_peers(state, outbox)


def _request_from_peers(state: _state.State, outbox: _state.Outbox) -> None:
    """Ask a random peer in this data centre and one in another.

    Either this node or its whole data centre may be cut off from the store.
    """
    near: list[_state.Peer] = []
    far: list[_state.Peer] = []
    for peer in state.membership.peers_by_id.values():
        if peer.last_heard_at is not None:
            is_near = peer.data_centre == state.options.data_centre
            (near if is_near else far).append(peer)
    message = messages.ConfigAsked(state.config.version)
    for candidates in (near, far):
        if candidates:
            peer = state.rng.choice(candidates)
            outbox.append(effects.SendMessage(peer.id, peer.address, message))


def handle_head_read(
    state: _state.State,
    purpose: HeadPurpose,
    rows: dict[str, schema.Row] | None,
    outbox: _state.Outbox,
) -> None:
    """Read the configuration if it is newer than that of this node."""
    row = rows.get(schema.CONFIG_HEAD) if rows is not None else None
    version = row.value['version'] if row is not None else 0
    if row is not None and version == state.config.version:
        state.config_row_version = row.version
        _confirmation.confirm_by_store(state, purpose.asked_at)
    elif version > state.config.version:
        read_purpose = DocumentPurpose(state.now)
        _store.read(state, outbox, read_purpose, (schema.CONFIG,))


def handle_document_read(
    state: _state.State,
    purpose: DocumentPurpose,
    rows: dict[str, schema.Row] | None,
    outbox: _state.Outbox,
) -> None:
    """Put the configuration that was read into force."""
    row = rows.get(schema.CONFIG) if rows is not None else None
    if row is None:
        return
    put_in_force(state, row.value, row.version, outbox)
    if row.value['version'] == state.config.version:
        _confirmation.confirm_by_store(state, purpose.asked_at)


def put_in_force(
    state: _state.State,
    document: dict,
    row_version: int,
    outbox: _state.Outbox,
) -> None:
    """Put a configuration into force if it is newer than the present one.

    `row_version` is the version of its row, and also of the head row, since
    both are always written together; it is 0 if a peer sent the document.
    """
    try:
        config = _config.parse(document)
    except _errors.ConfigurationError as error:
        state.counters['config.unreadable'] += 1
        fields = {'mistakes': '; '.join(error.mistakes)}
        outbox.append(effects.LogChange('configuration-unreadable', fields))
        return
    if config.version <= state.config.version:
        return
    before, state.config = state.config, config
    state.config_row_version = row_version
    state.withdrawn_keys.update(config.withdrawn_keys)
    for number in state.slices_by_number:
        state.slices_to_place[number] = None
    change = effects.LogChange(
        'configuration-in-force', {'version': config.version}
    )
    outbox.append(change)
    _rerouting.handle_config_changed(state, before)
    _pools.handle_config_changed(state, before, outbox)
    _shares.handle_config_changed(state, before)
    _keys.handle_config_changed(state, outbox)


def request_newer(
    state: _state.State, peer: _state.Peer, outbox: _state.Outbox
) -> None:
    """Read a newer configuration from the store, or from the peer.

    The peer is asked only while the store does not answer, so that nodes
    rarely send each other whole documents.
    """
    if state.now - state.config_asked_at < MIN_REQUEST_INTERVAL_S:
        return
    if state.store.failing_since is None:
        state.timers.set(_timers.PollConfig(), state.now)
    else:
        message = messages.ConfigAsked(state.config.version)
        outbox.append(effects.SendMessage(peer.id, peer.address, message))
    state.config_asked_at = state.now


def handle_config_request(
    state: _state.State,
    sender: str,
    message: messages.ConfigAsked,
    outbox: _state.Outbox,
) -> None:
    """Send this node's configuration to a peer with an older one."""
    peer = state.membership.peers_by_id.get(sender)
    if peer is not None and state.config.version > message.than:
        document = _config.unstructure(state.config)
        answer = messages.ConfigTold(document)
        outbox.append(effects.SendMessage(peer.id, peer.address, answer))


def handle_config(
    state: _state.State,
    sender: str,
    message: messages.ConfigTold,
    outbox: _state.Outbox,
) -> None:
    """Put the configuration of a peer into force if it is newer."""
    put_in_force(state, message.document, 0, outbox)


def handle_submitted(
    state: _state.State, event: events.ConfigSubmitted, outbox: _state.Outbox
) -> None:
    """Validate a submitted configuration and read the one in force."""
    try:
        _config.parse(event.document)
    except _errors.ConfigurationError as error:
        detail = '; '.join(error.mistakes)
        refusal = Refusal(Reason.BAD_REQUEST, detail=detail)
        outbox.append(effects.Reply(event.reply_id, None, refusal))
        return
    state.pending_replies.add(event.reply_id)
    keys = (schema.CONFIG_HEAD, schema.CONFIG)
    _store.read(state, outbox, BasePurpose(event), keys)


def handle_base_read(
    state: _state.State,
    purpose: BasePurpose,
    rows: dict[str, schema.Row] | None,
    outbox: _state.Outbox,
) -> None:
    """Write a submission if it is based on the version in force."""
    event = purpose.event
    if rows is None:
        retry_s = state.options.retry_after_s
        refusal = Refusal(Reason.STORE_DOWN, Ran.NO, retry_s)
        _reply(state, event.reply_id, None, refusal, outbox)
        return
    head = rows.get(schema.CONFIG_HEAD)
    row = rows.get(schema.CONFIG)
    current = head.value['version'] if head else 0
    document = _with_withdrawals(state, event, current + 1, row)
    if current != event.base_version:
        if row is not None and _is_repeated(event, row, document):
            reply = {'version': current, 'existed': True}
            _reply(state, event.reply_id, reply, None, outbox)
        else:
            _reply_conflict(state, event, current, outbox)
        return
    record = {
        'who': event.operator,
        'at': event.wall_time,
        'what': _describe_changes(state, event),
        'from_version': current,
        'to_version': current + 1,
    }
    puts = {
        schema.CONFIG_HEAD: {'version': current + 1},
        schema.CONFIG: document,
        schema.audit(current + 1): record,
    }
    checks = {schema.CONFIG_HEAD: head.version if head else 0}
    _store.write(state, outbox, SubmitPurpose(event, document), checks, puts)
    timer = _timers.ConfigReplyDue(event.reply_id)
    state.timers.set(timer, state.now + state.options.reply_s)


def handle_written(
    state: _state.State,
    purpose: SubmitPurpose,
    result: _store.WriteResult,
    outbox: _state.Outbox,
) -> None:
    """Handle the outcome of the write of a submission."""
    event = purpose.event
    if result.ok:
        put_in_force(state, purpose.document, result.version, outbox)
        reply = {'version': purpose.document['version'], 'existed': False}
        _reply(state, event.reply_id, reply, None, outbox)
        return
    row = result.rows.get(schema.CONFIG_HEAD)
    if row is not None:
        _reply_conflict(state, event, row.value['version'], outbox)
    else:
        retry_s = state.options.retry_after_s
        refusal = Refusal(Reason.STORE_DOWN, Ran.NO, retry_s)
        _reply(state, event.reply_id, None, refusal, outbox)


def handle_reply_due(
    state: _state.State, timer: _timers.ConfigReplyDue, outbox: _state.Outbox
) -> None:
    """Reply that the outcome of a submission is not known yet."""
    detail = (
        'the store has not answered, and the configuration may still come '
        'in force; hand it in again against the same version'
    )
    retry_s = state.options.retry_after_s
    refusal = Refusal(Reason.STORE_DOWN, Ran.UNKNOWN, retry_s, detail)
    _reply(state, timer.reply_id, None, refusal, outbox)


def handle_withdrawals_written(
    state: _state.State,
    purpose: _keys.WritePurpose,
    result: _store.WriteResult,
    outbox: _state.Outbox,
) -> None:
    """Put a configuration with added withdrawals into force."""
    state.withdrawals.writing = False
    if result.ok:
        put_in_force(state, purpose.document, result.version, outbox)
    else:
        _keys.retry_write(state, result)


def _with_withdrawals(
    state: _state.State,
    event: events.ConfigSubmitted,
    version: int,
    row: schema.Row | None,
) -> dict:
    """Return the document to write, which keeps every withdrawal."""
    withdrawn = {
        *event.document.get('withdrawn_keys', ()),
        *(row.value.get('withdrawn_keys', ()) if row else ()),
        *state.withdrawals.pending_by_key,
    }
    return {
        **event.document,
        'version': version,
        'withdrawn_keys': sorted(withdrawn),
    }


def _is_repeated(
    event: events.ConfigSubmitted, row: schema.Row, document: dict
) -> bool:
    """Return whether this same submission has already been written."""
    follows = row.value['version'] == event.base_version + 1
    return follows and row.value == {
        **document,
        'version': row.value['version'],
    }


def _describe_changes(
    state: _state.State, event: events.ConfigSubmitted
) -> str:
    if state.config.version != event.base_version:
        # This node does not have the base version to compare with.
        return f'compared with version {event.base_version}: not known'
    found = _audit.changes(state.config, _config.parse(event.document))
    return '; '.join(found) or 'nothing'


def _reply_conflict(
    state: _state.State,
    event: events.ConfigSubmitted,
    current: int,
    outbox: _state.Outbox,
) -> None:
    error = _errors.ConfigurationConflictError(event.base_version, current)
    refusal = Refusal(Reason.CONFIGURATION_CONFLICT, detail=str(error))
    _reply(state, event.reply_id, None, refusal, outbox)


def _reply(
    state: _state.State,
    reply_id: str,
    document: dict | None,
    refusal: Refusal | None,
    outbox: _state.Outbox,
) -> None:
    if reply_id in state.pending_replies:
        state.pending_replies.discard(reply_id)
        state.timers.cancel(_timers.ConfigReplyDue(reply_id))
        outbox.append(effects.Reply(reply_id, document, refusal))
