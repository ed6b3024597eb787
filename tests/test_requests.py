"""Retried requests: ids of the attempts and capacity booked for them."""

import builders

import celeryshift_core as core
from celeryshift_core import _allotments
from celeryshift_core import _ledger
from celeryshift_core import _state
from celeryshift_core import effects
from celeryshift_core import events
from celeryshift_core import schema

SLOTS = 8
LONG_TIMEOUT_S = 60.0


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


def _send_one(state, **kind):
    state.config.kinds['check'] = core.Kind(
        builders.UPSTREAM, core.Policy.REQUEST, **kind
    )
    arrived = events.RequestArrived(
        0.0, 'r', 'r', 'check', None, 't00', hops=1
    )
    outbox = core.reduce(state, arrived)
    for effect in outbox:
        if isinstance(effect, effects.WriteStore):
            # The claim of a request that must not be repeated.
            claimed = events.StoreWritten(0.0, effect.op_id, builders.OK, 1)
            outbox = core.reduce(state, claimed)
    return _sent_requests(outbox)[0]


def test_a_request_on_a_slow_clock_keeps_its_capacity_until_it_ends():
    state, slice_ = builders.build_slice(1, 0)
    sent = _send_one(state, timeout_s=LONG_TIMEOUT_S)
    worker = slice_.ledger.workers_by_name[sent.worker]
    lost = events.RequestAnswered(
        LONG_TIMEOUT_S, 'r', sent.attempt, events.Outcome.UNKNOWN
    )
    core.reduce(state, lost)
    ends_at = LONG_TIMEOUT_S * (1 + state.options.clock_margin)
    core.reduce(state, events.Tick(ends_at))
    assert sent.task in worker.bookings_by_run
    core.reduce(state, events.Tick(ends_at + 2.0))
    assert sent.task not in worker.bookings_by_run


def test_an_inherited_request_on_a_slow_clock_counts_for_its_team():
    state, slice_ = builders.build_slice(1, 0)
    state.config.kinds['check'] = core.Kind(
        builders.UPSTREAM, core.Policy.REQUEST, timeout_s=LONG_TIMEOUT_S
    )
    slice_.phase = _state.SlicePhase.RECOVERING
    key = schema.allotment('dc1', 0)
    rows = {key: schema.Row(1, {'slots_by_team': {'t00': 1}})}
    _allotments.restore(state, slice_, rows, [])
    ends_at = LONG_TIMEOUT_S * (1 + state.options.clock_margin)
    core.reduce(state, events.Tick(ends_at))
    assert slice_.allotment.inherited_by_team == {'t00': 1}


def test_a_lost_answer_after_a_query_does_not_book_capacity_for_good():
    state, slice_ = builders.build_slice(2, 0)
    first = _send_one(state, repeatable=False, timeout_s=10.0)
    unknown = events.Outcome.UNKNOWN
    core.reduce(state, events.RequestAnswered(1.0, 'r', 1, unknown))
    state.config.kinds['check'] = core.Kind(
        builders.UPSTREAM, core.Policy.REQUEST, timeout_s=10.0
    )
    outbox = core.reduce(state, events.RequestAnswered(1.1, 'r', 1, unknown))
    second = _sent_requests(outbox)[0]
    assert second.task != first.task
    core.reduce(state, events.RequestAnswered(2.0, 'r', 2, unknown))
    core.reduce(state, events.Tick(30.0))
    assert not any(
        second.task in worker.bookings_by_run
        for worker in slice_.ledger.workers_by_name.values()
    )
