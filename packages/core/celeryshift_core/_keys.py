"""Withdrawals of keys, which spread between nodes and go to the store.

A withdrawal is never undone, so withdrawals need no order and a node may
learn of one from any other. Each node that knows of one sends it to every
node that has not confirmed it, and tries to write it until the store has it.

Source: Shapiro, Preguiça, Baquero and Zawirski, Conflict-free replicated
data types, 2011 (grow-only set).
"""

from collections.abc import Iterable

import attrs

from celeryshift_core import _ownership
from celeryshift_core import _state
from celeryshift_core import _store
from celeryshift_core import _timers
from celeryshift_core import effects
from celeryshift_core import events
from celeryshift_core import messages
from celeryshift_core import schema

SEND_INTERVAL_S = 0.5
REPLY_S = 2.5
WRITE_INTERVAL_S = 2.0
CONFLICT_RETRY_S = 0.1
KEYS_PER_MESSAGE = 64


@attrs.frozen(slots=True)
class BasePurpose:
    """Purpose of a read of the configuration to add withdrawals to."""


@attrs.frozen(slots=True)
class WritePurpose:
    """Purpose of a write that adds withdrawals to the configuration."""

    document: dict


def handle_withdrawn(
    state: _state.State, event: events.KeyWithdrawn, outbox: _state.Outbox
) -> None:
    """Withdraw a key on this node, at every peer and in the store."""
    key_id = event.key_id
    state.pending_replies.add(event.reply_id)
    state.withdrawals.key_by_reply[event.reply_id] = key_id
    if key_id not in state.config.withdrawn_keys:
        entry = messages.Withdrawal(key_id, event.operator, event.wall_time)
        _add_withdrawals(state, [entry], outbox)
        send_withdrawals(state, None, outbox)
        write_withdrawals(state, None, outbox)
        timer = _timers.WithdrawalReplyDue(event.reply_id)
        state.timers.set(timer, state.now + REPLY_S)
    _reply_if_complete(state, outbox)


def handle_reply_due(
    state: _state.State,
    timer: _timers.WithdrawalReplyDue,
    outbox: _state.Outbox,
) -> None:
    """Reply to the operator with the progress of a withdrawal."""
    if timer.reply_id in state.withdrawals.key_by_reply:
        _reply(state, timer.reply_id, outbox)


def handle_withdrawals(
    state: _state.State,
    sender: str,
    message: messages.KeysWithdrawn,
    outbox: _state.Outbox,
) -> None:
    """Add and confirm withdrawals received from a peer."""
    key_ids = [entry.key_id for entry in message.keys]
    peer = state.membership.peers_by_id.get(sender)
    if peer is not None:
        reply = messages.KeysHeard(key_ids)
        outbox.append(effects.SendMessage(peer.id, peer.address, reply))
    _add_withdrawals(state, message.keys, outbox)
    _add_confirmations(state, sender, key_ids)
    # Unless the store is down, every node reads the withdrawals from it before
    # this delay ends, and this node need not send or write them itself.
    delay_s = WRITE_INTERVAL_S * (1 + state.rng.random())
    state.timers.set_once(_timers.SendWithdrawals(), state.now + delay_s)
    state.timers.set_once(_timers.WriteWithdrawals(), state.now + 2 * delay_s)


def handle_confirmation(
    state: _state.State,
    sender: str,
    message: messages.KeysHeard,
    outbox: _state.Outbox,
) -> None:
    """Record which withdrawals a peer has confirmed."""
    _add_confirmations(state, sender, message.key_ids)
    _reply_if_complete(state, outbox)


def send_withdrawals(
    state: _state.State,
    timer: _timers.SendWithdrawals | None,
    outbox: _state.Outbox,
) -> None:
    """Send each peer, live or not, the withdrawals it has not confirmed."""
    withdrawals = state.withdrawals
    if not withdrawals.pending_by_key:
        return
    state.timers.set(_timers.SendWithdrawals(), state.now + SEND_INTERVAL_S)
    for peer in state.membership.peers_by_id.values():
        entries = [
            entry
            for key_id, entry in withdrawals.pending_by_key.items()
            if peer.id not in withdrawals.confirmed_by_key.get(key_id, ())
        ]
        if entries:
            message = messages.KeysWithdrawn(entries[:KEYS_PER_MESSAGE])
            outbox.append(effects.SendMessage(peer.id, peer.address, message))


def write_withdrawals(
    state: _state.State,
    timer: _timers.WriteWithdrawals | None,
    outbox: _state.Outbox,
) -> None:
    """Start a write of withdrawals by reading the configuration."""
    withdrawals = state.withdrawals
    if withdrawals.pending_by_key and not withdrawals.writing:
        withdrawals.writing = True
        _store.read(state, outbox, BasePurpose(), (schema.CONFIG,))


def handle_base_read(
    state: _state.State,
    purpose: BasePurpose,
    rows: dict[str, schema.Row] | None,
    outbox: _state.Outbox,
) -> None:
    """Write the configuration with the withdrawals added."""
    row = rows.get(schema.CONFIG) if rows is not None else None
    pending = state.withdrawals.pending_by_key
    known: set[str] = set()
    missing = {}
    if row is not None:
        known = set(row.value.get('withdrawn_keys', ()))
        missing = {key: pending[key] for key in pending if key not in known}
    if row is None or not missing:
        state.withdrawals.writing = False
        _schedule_write(state, WRITE_INTERVAL_S)
        if row is not None:
            state.timers.set(_timers.PollConfig(), state.now)
        return
    version = row.value['version'] + 1
    document = {
        **row.value,
        'version': version,
        'withdrawn_keys': sorted({*known, *missing}),
    }
    record = {
        'who': ', '.join(
            sorted({entry.operator for entry in missing.values()})
        ),
        'at': max(entry.wall_time for entry in missing.values()),
        'what': '; '.join(
            f'keys.{key_id} withdrawn' for key_id in sorted(missing)
        ),
        'from_version': version - 1,
        'to_version': version,
    }
    puts = {
        schema.CONFIG_HEAD: {'version': version},
        schema.CONFIG: document,
        schema.audit(version): record,
    }
    checks = {schema.CONFIG_HEAD: row.version}
    _store.write(state, outbox, WritePurpose(document), checks, puts)


def retry_write(state: _state.State, result: _store.WriteResult) -> None:
    """Schedule another write of withdrawals, soon after a conflict."""
    conflict = result.reached and not result.settled_late
    _schedule_write(state, CONFLICT_RETRY_S if conflict else WRITE_INTERVAL_S)


def handle_config_changed(state: _state.State, outbox: _state.Outbox) -> None:
    """Forget the withdrawals that the configuration in force contains."""
    withdrawals = state.withdrawals
    withdrawn = state.config.withdrawn_keys
    for key_id in [
        key for key in withdrawals.pending_by_key if key in withdrawn
    ]:
        del withdrawals.pending_by_key[key_id]
    _reply_if_complete(state, outbox)


def _add_withdrawals(
    state: _state.State,
    entries: Iterable[messages.Withdrawal],
    outbox: _state.Outbox,
) -> None:
    new = [
        entry for entry in entries if entry.key_id not in state.withdrawn_keys
    ]
    for entry in new:
        state.withdrawn_keys.add(entry.key_id)
        state.withdrawals.pending_by_key[entry.key_id] = entry
    if new:
        fields = {'keys': sorted(entry.key_id for entry in new)}
        outbox.append(effects.LogChange('keys-withdrawn', fields))


def _add_confirmations(
    state: _state.State, node: str, key_ids: Iterable[str]
) -> None:
    withdrawals = state.withdrawals
    awaited = set(withdrawals.key_by_reply.values())
    for key_id in key_ids:
        if key_id in withdrawals.pending_by_key or key_id in awaited:
            withdrawals.confirmed_by_key.setdefault(key_id, set()).add(node)


def _schedule_write(state: _state.State, wait_s: float) -> None:
    at = state.now + wait_s * (0.5 + state.rng.random())
    state.timers.set(_timers.WriteWithdrawals(), at)


def _reply_if_complete(state: _state.State, outbox: _state.Outbox) -> None:
    """Reply once a withdrawal is stored and known to every live peer."""
    withdrawals = state.withdrawals
    for reply_id, key_id in list(withdrawals.key_by_reply.items()):
        if key_id in state.config.withdrawn_keys:
            confirmed_by = withdrawals.confirmed_by_key.get(key_id, set())
            live = {peer.id for peer in _ownership.live_peers(state)}
            if live <= confirmed_by:
                _reply(state, reply_id, outbox)
    needed = {*withdrawals.pending_by_key, *withdrawals.key_by_reply.values()}
    for key_id in [
        key for key in withdrawals.confirmed_by_key if key not in needed
    ]:
        del withdrawals.confirmed_by_key[key_id]


def _reply(state: _state.State, reply_id: str, outbox: _state.Outbox) -> None:
    withdrawals = state.withdrawals
    key_id = withdrawals.key_by_reply.pop(reply_id)
    state.timers.cancel(_timers.WithdrawalReplyDue(reply_id))
    state.pending_replies.discard(reply_id)
    peers = set(state.membership.peers_by_id)
    confirmed_by = withdrawals.confirmed_by_key.get(key_id, set()) & peers
    stored = key_id in state.config.withdrawn_keys
    document = {
        'key': key_id,
        'known': key_id in state.config.keys,
        'stored': stored,
        'version': state.config.version if stored else None,
        'heard_by': sorted({state.node, *confirmed_by}),
        'not_heard_by': sorted(peers - confirmed_by),
    }
    outbox.append(effects.Reply(reply_id, document))
