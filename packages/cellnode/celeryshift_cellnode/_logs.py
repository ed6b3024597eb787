"""Log of decisions: JSON lines on standard output that never block.

A line is dropped if the rate of lines is too high or if the reader of standard
output is too slow. Dropped lines are counted, and reported in a line of their
own as soon as lines can be written again.
"""

import collections
import os
import time
from typing import Any

import orjson

from celeryshift_cellnode import errors

# Lines beyond this rate are dropped; a burst of two seconds' worth may pass.
LINES_PER_S = 1000.0
BURST_LINES = 2000.0
# Maximum size of the buffer for a slow reader.
MAX_BUFFERED_BYTES = 256 * 1024
STDOUT = 1
# Minimum interval between reports of dropped lines.
DROPPED_REPORT_INTERVAL_S = 1.0


class DecisionLog:
    """Log with one line per decision."""

    def __init__(self, node: str, descriptor: int = STDOUT) -> None:
        self._node = node
        self._descriptor = descriptor
        self._buffer = bytearray()
        self._tokens = BURST_LINES
        self._refilled_at = time.monotonic()
        self.counters: collections.Counter[str] = collections.Counter()
        self._dropped = 0
        self._dropped_reported_at = 0.0
        os.set_blocking(descriptor, False)

    def write(self, decision: str, **fields: Any) -> None:
        """Write a line, or count it as dropped."""
        if not self._take_token():
            self._drop()
            return
        is_due = (
            self._refilled_at - self._dropped_reported_at
            > DROPPED_REPORT_INTERVAL_S
        )
        if self._dropped and is_due:
            self._dropped_reported_at = self._refilled_at
            dropped, self._dropped = self._dropped, 0
            self._append('lines_dropped', {'lines': dropped})
        self._append(decision, fields)
        self.flush()

    def _take_token(self) -> bool:
        now = time.monotonic()
        refill = (now - self._refilled_at) * LINES_PER_S
        self._tokens = min(BURST_LINES, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1 or len(self._buffer) > MAX_BUFFERED_BYTES:
            return False
        self._tokens -= 1
        return True

    def _drop(self) -> None:
        self._dropped += 1
        self.counters['log_lines_dropped'] += 1

    def _append(self, decision: str, fields: dict[str, Any]) -> None:
        line = {
            'at': round(time.time(), 3),
            'node': self._node,
            'decision': decision,
            **fields,
        }
        try:
            encoded = _encode(line)
        except Exception:
            # A value has no JSON form, such as a number beyond 64 bits. A line
            # must not fail the work that it reports.
            encoded = _encode({k: _to_text(v) for k, v in line.items()})
        self._buffer += encoded + b'\n'

    def flush(self) -> None:
        """Write buffered lines, as far as the reader accepts them."""
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                self.counters['log_writes_blocked'] += 1
                return
            except OSError:
                # The reader is gone; the counter is part of the metrics.
                self.counters['log_writes_failed'] += 1
                self._buffer.clear()
                return
            del self._buffer[:written]


def _encode(line: dict[str, Any]) -> bytes:
    return orjson.dumps(line, default=str, option=orjson.OPT_NON_STR_KEYS)


def _to_text(value: Any) -> Any:
    try:
        _encode({'': value})
    except Exception:
        text = errors.describe(value)
        return text.encode(errors='replace').decode()
    return value
