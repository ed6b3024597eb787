"""Workers that refuse work or go silent: each rests, longer every time.

A worker that refuses is leaving, or is full of work that it did not report.
It is asked again after its rest, with the next task that fits; a start that
succeeds ends its rests.
"""

from celeryshift_core import _ledger
from celeryshift_core import _state
from celeryshift_core import _timers
from celeryshift_core import effects

FIRST_REST_S = 1.0
LONGEST_REST_S = 30.0


def refused(
    state: _state.State, held: _state.Slice, name: str, out: _state.Out
) -> None:
    """Let a worker rest that has refused work."""
    if _rest(state, held, name):
        out.append(effects.LogChange('worker-refuses', {'worker': name}))


def unanswered(
    state: _state.State, held: _state.Slice, name: str, out: _state.Out
) -> None:
    """Let a worker rest that went silent over a request."""
    if _rest(state, held, name):
        out.append(effects.LogChange('worker-unanswering', {'worker': name}))


def accepted(worker: _ledger.Worker | None) -> None:
    """Note that a worker has taken work."""
    if worker is not None:
        worker.refusals = 0


def rest_ends(
    state: _state.State, timer: _timers.RestEnds, out: _state.Out
) -> None:
    """Ask a worker again that has rested."""
    held = _state.owned(state, timer)
    if held is None:
        return
    worker = held.ledger.workers_by_name.get(timer.worker)
    if worker is not None:
        worker.resting = False
        held.ledger.refresh(worker)
        state.touched[held.number] = None


def _rest(state: _state.State, held: _state.Slice, name: str) -> bool:
    """Let a worker rest; tell whether it had been taking work."""
    worker = held.ledger.workers_by_name.get(name)
    if worker is None:
        return False
    rest_s = min(FIRST_REST_S * 2**worker.refusals, LONGEST_REST_S)
    first = not worker.refusals
    if not worker.resting:
        worker.refusals += 1
    worker.resting = True
    held.ledger.refresh(worker)
    timer = _timers.RestEnds(held.number, held.epoch, name)
    state.timers.set_once(timer, state.now + rest_s)
    state.counters['workers.refusals'] += 1
    return first
