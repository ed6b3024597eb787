"""Retried requests: ids of the attempts and capacity booked for them."""

import builders

import celeryshift_core as core
from celeryshift_core import _ledger
from celeryshift_core import effects
from celeryshift_core import events

SLOTS = 8


def _fill_worker(slice_, name, booking):
    for number in range(SLOTS):
        run_id = f'{name}-{number}~1'
        if slice_.ledger.workers_by_name[name].free.slots:
            slice_.ledger.book(name, run_id, booking)


def _sent_requests(outbox):
    return [e for e in outbox if isinstance(e, effects.SendRequest)]


def test_an_attempt_after_a_lost_answer_has_a_name_of_its_own():
    state, slice_ = builders.build_slice(2, 0)
    state.config.kinds['check'] = core.Kind(
        builders.UPSTREAM, core.Policy.REQUEST, timeout_s=10.0
    )
    arrived = events.RequestArrived(
        0.0, 'r', 'r', 'check', None, 't00', hops=1
    )
    first = _sent_requests(core.reduce(state, arrived))[0]
    booking = _ledger.Booking('t01', core.Size())
    for name in slice_.ledger.workers_by_name:
        _fill_worker(slice_, name, booking)
    lost = events.RequestAnswered(
        1.0, 'r', first.attempt, events.Outcome.UNKNOWN
    )
    assert _sent_requests(core.reduce(state, lost)) == []
    assert slice_.ledger.workers_by_name[first.worker].backing_off
    other = next(n for n in slice_.ledger.workers_by_name if n != first.worker)
    slice_.ledger.release(other, f'{other}-0~1')
    state.slices_to_place[0] = None
    again = _sent_requests(core.reduce(state, events.Tick(1.01)))[0]
    assert (again.worker, again.attempt) == (other, 2)
    refused = events.RequestAnswered(
        1.02, 'r', again.attempt, events.Outcome.REFUSED
    )
    core.reduce(state, refused)
    slice_.ledger.workers_by_name[other].backing_off = False
    slice_.ledger.refresh(slice_.ledger.workers_by_name[other])
    state.slices_to_place[0] = None
    third = _sent_requests(core.reduce(state, events.Tick(1.5)))[0]
    assert third.attempt == 3
    # The booking of the first run is kept until it has certainly ended,
    # and its end does not release the booking of the third.
    core.reduce(state, events.Tick(11.5))
    assert (
        third.task
        in slice_.ledger.workers_by_name[third.worker].bookings_by_run
    )
