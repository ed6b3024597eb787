"""Store operations, and recovery of the outcome of a write.

Every write inserts a marker row of its own. If the answer to a write is lost,
the marker alone is inserted: if that succeeds, the write can no longer take
effect; if it conflicts, the row found shows which of the two came first.
Later writes delete the markers that are no longer needed.
"""

from typing import Any

import attrs

from celeryshift_core import _state
from celeryshift_core import _timers
from celeryshift_core import effects
from celeryshift_core import events
from celeryshift_core import schema

MARKERS_PER_WRITE = 32
SETTLE_SUFFIX = '!settle'


@attrs.frozen(slots=True)
class WriteResult:
    """Definite outcome of a write.

    `settled_late` is set if it was recovered from the marker. `reached` is
    unset if the write was not sent, or if the marker shows that it had no
    effect. A marked write that failed although it reached the store had a
    conflict; an unmarked one may also have an unknown outcome.
    """

    ok: bool
    version: int
    rows: dict[str, schema.Row]
    sent_at: float
    settled_late: bool = False
    reached: bool = True


def write(
    state: _state.State,
    outbox: _state.Outbox,
    purpose: Any,
    checks: dict[str, int],
    puts: dict[str, dict],
    deletes: tuple[str, ...] = (),
    prefixes: tuple[str, ...] = (),
    *,
    marked: bool = True,
) -> str:
    """Write rows; the purpose is passed on with the outcome.

    Without a marker the outcome may remain unknown.
    """
    store = state.store
    op_id = _next_op_id(state)
    marker = schema.marker(op_id)
    max_markers = MARKERS_PER_WRITE if marked else 0
    dropped = tuple(store.settled_markers[:max_markers])
    del store.settled_markers[:max_markers]
    store.writes_by_op[op_id] = _state.PendingWrite(
        purpose, state.now, dropped, marked
    )
    if marked:
        checks = {**checks, marker: 0}
        puts = {**puts, marker: {'took_effect': True}}
    outbox.append(
        effects.WriteStore(
            op_id,
            checks,
            puts,
            deletes + dropped,
            prefixes,
        )
    )
    state.counters['store.writes'] += 1
    return op_id


def read(
    state: _state.State,
    outbox: _state.Outbox,
    purpose: Any,
    keys: tuple[str, ...] = (),
    prefixes: tuple[str, ...] = (),
) -> None:
    """Read rows; the purpose is passed on with the rows."""
    op_id = _next_op_id(state)
    state.store.reads_by_op[op_id] = purpose
    outbox.append(effects.ReadStore(op_id, keys, prefixes))
    state.counters['store.reads'] += 1


def handle_written(
    state: _state.State, event: events.StoreWritten, outbox: _state.Outbox
) -> tuple[Any, WriteResult] | None:
    """Handle an outcome; return it with its purpose once it is definite."""
    op_id, _, settling = event.op_id.partition('!')
    pending = state.store.writes_by_op.get(op_id)
    if pending is None:
        return None
    _update_health(state, event.outcome, outbox)
    unknown = event.outcome is events.Outcome.UNKNOWN
    unsent = event.outcome is events.Outcome.UNSENT
    if pending.marked and (unknown or (settling and unsent)):
        at = state.now + state.options.settle_s
        state.timers.set(_timers.SettleWrite(op_id), at)
        return None
    del state.store.writes_by_op[op_id]
    marker = schema.marker(op_id)
    if settling:
        result = _recovered_result(event, marker, pending)
        state.store.settled_markers.append(marker)
    else:
        ok = event.outcome is events.Outcome.OK
        reached = not unsent
        if ok and pending.marked:
            state.store.settled_markers.append(marker)
        else:
            state.store.settled_markers.extend(pending.dropped_markers)
        result = WriteResult(
            ok, event.version, event.rows, pending.sent_at, reached=reached
        )
    return pending.purpose, result


def settle(state: _state.State, op_id: str, outbox: _state.Outbox) -> None:
    """Insert the marker of a write in order to recover its outcome."""
    if op_id in state.store.writes_by_op:
        marker = schema.marker(op_id)
        puts = {marker: {'took_effect': False}}
        outbox.append(
            effects.WriteStore(op_id + SETTLE_SUFFIX, {marker: 0}, puts)
        )


def pop_read_purpose(
    state: _state.State, event: events.StoreRead, outbox: _state.Outbox
) -> Any:
    """Remove and return the purpose of a read that was answered."""
    outcome = (
        events.Outcome.OK if event.rows is not None else events.Outcome.UNSENT
    )
    _update_health(state, outcome, outbox)
    return state.store.reads_by_op.pop(event.op_id, None)


def _recovered_result(
    event: events.StoreWritten, marker: str, pending: _state.PendingWrite
) -> WriteResult:
    found = event.rows.get(marker)
    took_effect = bool(found and found.value['took_effect'])
    version = found.version if found else 0
    return WriteResult(
        took_effect,
        version,
        {},
        pending.sent_at,
        settled_late=True,
        reached=took_effect,
    )


def _next_op_id(state: _state.State) -> str:
    state.store.op_count += 1
    return f'{state.node}/{state.store.op_count}'


def _update_health(
    state: _state.State, outcome: events.Outcome, outbox: _state.Outbox
) -> None:
    failing = outcome in (events.Outcome.UNKNOWN, events.Outcome.UNSENT)
    store = state.store
    if failing and store.failing_since is None:
        store.failing_since = state.now
        outbox.append(effects.LogChange('store-failing'))
    elif not failing and store.failing_since is not None:
        lasted = round(state.now - store.failing_since, 3)
        store.failing_since = None
        outbox.append(effects.LogChange('store-back', {'lasted_s': lasted}))
