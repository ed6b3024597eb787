"""Requests that are tried again: names of attempts, and the room they hold."""

import builders

import celeryshift_core as core
from celeryshift_core import _ledger
from celeryshift_core import effects
from celeryshift_core import events

SLOTS = 8


def _fill(held, name, hold):
    for number in range(SLOTS):
        run_id = f'{name}-{number}~1'
        if held.ledger.workers_by_name[name].free.slots:
            held.ledger.book(name, run_id, hold)


def _sent(out):
    return [e for e in out if isinstance(e, effects.SendRequest)]


def test_an_attempt_after_a_lost_answer_has_a_name_of_its_own():
    state, held = builders.full_slice(2, 0)
    state.config.kinds['check'] = core.Kind(
        builders.UPSTREAM, core.Policy.REQUEST, timeout_s=10.0
    )
    arrived = events.RequestArrived(
        0.0, 'r', 'r', 'check', None, 't00', hops=1
    )
    first = _sent(core.reduce(state, arrived))[0]
    hold = _ledger.Booking('t01', core.Size())
    for name in held.ledger.workers_by_name:
        _fill(held, name, hold)
    lost = events.RequestAnswered(
        1.0, 'r', first.attempt, events.Outcome.UNKNOWN
    )
    assert _sent(core.reduce(state, lost)) == []
    assert held.ledger.workers_by_name[first.worker].backing_off
    other = next(n for n in held.ledger.workers_by_name if n != first.worker)
    held.ledger.release(other, f'{other}-0~1')
    state.slices_to_place[0] = None
    again = _sent(core.reduce(state, events.Tick(1.01)))[0]
    assert (again.worker, again.attempt) == (other, 2)
    refused = events.RequestAnswered(
        1.02, 'r', again.attempt, events.Outcome.REFUSED
    )
    core.reduce(state, refused)
    held.ledger.workers_by_name[other].backing_off = False
    held.ledger.refresh(held.ledger.workers_by_name[other])
    state.slices_to_place[0] = None
    third = _sent(core.reduce(state, events.Tick(1.5)))[0]
    assert third.attempt == 3
    # The first run keeps its room until it has surely ended, and its end
    # takes none from the third.
    core.reduce(state, events.Tick(11.5))
    assert (
        third.task in held.ledger.workers_by_name[third.worker].bookings_by_run
    )
