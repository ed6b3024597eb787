"""Detects data centres that are unreachable as a whole.

A start order that is sent to an unreachable worker stays in doubt until the
worker's lease expires, so few should be sent during a network partition. Under
load, responses arrive from every data centre all the time. A few tenths of a
second without any response therefore indicate a partition earlier than the
timeouts of single orders do.
"""

from celeryshift_cell import _polls
from celeryshift_cell import _state

# Responses take a few milliseconds, and a loaded owner reads them about 50 ms
# later.
SILENCE_S = 0.15


def check(cell: _state.Cell) -> None:
    """Poll the workers of data centres that answer no start orders."""
    for name, data_centre in cell.data_centres.items():
        since = data_centre.unanswered_since
        if since is None or cell.now - since < SILENCE_S + 2 * cell.lag_s:
            continue
        data_centre.unanswered_since = None
        usable = [
            worker
            for worker in cell.workers.values()
            if worker.entry.data_centre == name and worker.is_usable(cell.now)
        ]
        cell.log_decision(
            'data_centre_silent',
            data_centre=name,
            workers=len(usable),
            unanswered_ms=round((cell.now - since) * 1000),
        )
        for worker in usable:
            _polls.probe(cell, worker)
