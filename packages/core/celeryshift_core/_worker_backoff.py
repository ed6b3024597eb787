"""Exponential backoff of workers that refuse work or do not answer.

A worker that refuses is leaving, or is full of work that it did not report.
After its backoff it is offered the next task that fits; a start that succeeds
resets the backoff.
"""

from celeryshift_core import _ledger
from celeryshift_core import _state
from celeryshift_core import _timers
from celeryshift_core import effects

MIN_BACKOFF_S = 1.0
MAX_BACKOFF_S = 30.0


def handle_refusal(
    state: _state.State, slice_: _state.Slice, name: str, outbox: _state.Outbox
) -> None:
    """Back off from a worker that refused work."""
    if _back_off(state, slice_, name):
        outbox.append(effects.LogChange('worker-refuses', {'worker': name}))


def handle_no_answer(
    state: _state.State, slice_: _state.Slice, name: str, outbox: _state.Outbox
) -> None:
    """Back off from a worker that did not answer a request."""
    if _back_off(state, slice_, name):
        outbox.append(
            effects.LogChange('worker-unanswering', {'worker': name})
        )


def handle_accepted(worker: _ledger.Worker | None) -> None:
    """Reset the backoff of a worker that accepted work."""
    if worker is not None:
        worker.refusals = 0


def handle_backoff_end(
    state: _state.State, timer: _timers.BackoffEnds, outbox: _state.Outbox
) -> None:
    """Allow placement on a worker again after its backoff."""
    slice_ = _state.owned_slice(state, timer)
    if slice_ is None:
        return
    worker = slice_.ledger.workers_by_name.get(timer.worker)
    if worker is not None:
        worker.backing_off = False
        slice_.ledger.refresh(worker)
        state.slices_to_place[slice_.number] = None


def _back_off(state: _state.State, slice_: _state.Slice, name: str) -> bool:
    """Back off from a worker; return whether this is the first time.

    It counts as the first time again once the worker has accepted work.
    """
    worker = slice_.ledger.workers_by_name.get(name)
    if worker is None:
        return False
    backoff_s = min(MIN_BACKOFF_S * 2**worker.refusals, MAX_BACKOFF_S)
    first = not worker.refusals
    if not worker.backing_off:
        worker.refusals += 1
    worker.backing_off = True
    slice_.ledger.refresh(worker)
    timer = _timers.BackoffEnds(slice_.number, slice_.epoch, name)
    state.timers.set_once(timer, state.now + backoff_s)
    state.counters['workers.refusals'] += 1
    return first
