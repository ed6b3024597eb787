"""Stores what the owner has learned, and restores it after a takeover.

All of it is in one row, which is written rarely: it makes the decisions of a
new owner better, and no decision depends on it.
"""

import json

from celeryshift_cell import _interference
from celeryshift_cell import _run_times
from celeryshift_cell import _state

# Maximum size of the row. What was not used for longest is left out of it.
MAX_BYTES = 16_000
# Minimum time between two writes.
INTERVAL_S = 5.0
# The same after the store has rejected the row.
REJECTED_PAUSE_S = 300.0
# Number of characters of an error in the log.
MAX_ERROR_CHARS = 200


def is_due(cell: _state.Cell) -> bool:
    """Return whether the row has changed and may be written."""
    times = cell.run_times
    return times.is_dirty and cell.now >= times.save_at


def take(cell: _state.Cell) -> str:
    """Return the row to store, or an empty string if none is due."""
    if not is_due(cell):
        return ''
    times = cell.run_times
    times.is_dirty, times.is_saving = False, True
    times.save_at = cell.now + INTERVAL_S
    return _encode(cell)


def _encode(cell: _state.Cell) -> str:
    """Return the row, without the last entries of its lists if too long."""
    record = _run_times.encode(cell)
    record['pairs'] = _interference.encode(cell)
    text = _dump(record)
    while len(text) > MAX_BYTES:
        longest = max(record.values(), key=len)
        del longest[-(len(longest) // 8 + 1) :]
        text = _dump(record)
    return text


def _dump(record: dict[str, list[object]]) -> str:
    return json.dumps(record, separators=(',', ':'))


def handle_failed(cell: _state.Cell, is_rejected: bool) -> bool:
    """Schedule the row again if it was in a save that failed.

    Return whether the row may be what the store has rejected.
    """
    times = cell.run_times
    if not times.is_saving:
        return False
    times.is_saving, times.is_dirty = False, True
    if is_rejected:
        times.save_at = cell.now + REJECTED_PAUSE_S
        cell.log_decision('learned_rejected')
    return is_rejected


def handle_saved(cell: _state.Cell) -> None:
    """Mark the row as stored, if it was in the last save."""
    cell.run_times.is_saving = False


def restore(cell: _state.Cell, text: str) -> None:
    """Restore what a former owner has learned; ignore an invalid row."""
    if not text:
        return
    try:
        record = json.loads(text)
        _run_times.restore(cell, record)
        _interference.restore(cell, record.get('pairs', []))
    except (
        ValueError,
        TypeError,
        AttributeError,
        LookupError,
        ArithmeticError,
        RecursionError,
    ) as error:
        cell.log_decision(
            'learned_unreadable', error=repr(error)[:MAX_ERROR_CHARS]
        )
        return
    times = cell.run_times
    cell.log_decision(
        'learned_restored',
        ratios=len(times.ratios_by_key),
        speeds={k: round(v, 2) for k, v in times.speed_by_kind.items()},
    )
