"""Cost of a placement, and a comparison with a FIFO scheduler.

Times are only printed. The tests of placement set bounds on the numbers of
workers and queue entries examined, which do not depend on the machine.
"""

import gc
import random
import time

from bench import baseline
from bench import fleets
from celeryshift_core import _placement
from celeryshift_core import _state
from celeryshift_core import _tasks
from celeryshift_core import effects
from celeryshift_core import events
from celeryshift_core import reduce

WORKERS = (95, 756, 6_800)
WAITING_TASKS = 50_000
EVENTS = 5_000
EVENTS_PER_S = 1_000.0
SEED = 1
US_PER_S = 1e6


def place_all(
    state: _state.State, slice_: _state.Slice, outbox: _state.Outbox
) -> None:
    """Repeat placement, as successive events do, until no task can start."""
    placed = -1
    while placed != state.counters['placements']:
        placed = state.counters['placements']
        _placement.place_on_slice(state, slice_, outbox)


def fill_slice(workers: int) -> tuple[_state.State, _state.Slice]:
    """Fill an empty slice from its queue, and print the cost.

    Afterwards, its queue is refilled.
    """
    state, slice_ = fleets.build_slice(workers)
    fleets.fill_queue(state, slice_, WAITING_TASKS, SEED)
    gc.collect()
    began = time.perf_counter()
    outbox: _state.Outbox = []
    place_all(state, slice_, outbox)
    took_s = time.perf_counter() - began
    placed = sum(isinstance(effect, effects.StartTask) for effect in outbox)
    print(
        f'{workers:5d} workers  fill: {placed:6d} placed, '
        f'{placed / took_s:8.0f} placements/s, '
        f'{slice_.ledger.examined / placed:5.1f} workers examined and '
        f'{slice_.queue.examined / placed:4.1f} queue entries touched each'
    )
    fleets.fill_queue(
        state, slice_, WAITING_TASKS - slice_.queue.length, SEED + 1
    )
    place_all(state, slice_, [])
    return state, slice_


def measure_turnover(state: _state.State, slice_: _state.Slice) -> None:
    """Complete running tasks one by one, and print the cost of an event."""
    rng = random.Random(SEED)
    workers = list(slice_.ledger.workers_by_name.values())
    workers_before, entries_before = (
        slice_.ledger.examined,
        slice_.queue.examined,
    )
    event_times_s = []
    placement_times_s = []
    for number in range(EVENTS):
        worker = rng.choice(workers)
        if not worker.bookings_by_run:
            continue
        run_id = rng.choice(list(worker.bookings_by_run))
        slice_.tasks_by_id[
            _tasks.task_id_of_run(run_id)
        ].state = _tasks.TaskState.RUNNING
        report = events.TaskReport(run_id, events.TaskPhase.DONE)
        now = number / EVENTS_PER_S
        event = events.WorkerSynced(now, 0, 1, worker.name, 'c', [report])
        began = time.perf_counter()
        outbox = reduce(state, event)
        event_times_s.append(time.perf_counter() - began)
        placed = sum(
            isinstance(effect, effects.StartTask) for effect in outbox
        )
        if placed:
            placement_times_s.append(event_times_s[-1] / placed)
    event_s = fleets.Quantiles.from_samples(event_times_s)
    placement_s = fleets.Quantiles.from_samples(placement_times_s)
    count = len(event_times_s)
    print(
        f'{"":5s}      turnover: each end of a task with the placements that '
        f'follow: median {event_s.median * US_PER_S:4.0f} us, p99 '
        f'{event_s.p99 * US_PER_S:4.0f} us; a decision: median '
        f'{placement_s.median * US_PER_S:4.0f} us, p99 '
        f'{placement_s.p99 * US_PER_S:4.0f} us; '
        f'{(slice_.ledger.examined - workers_before) / count:5.1f} workers '
        f'examined, '
        f'{(slice_.queue.examined - entries_before) / count:4.1f} entries '
        f'touched an event'
    )


def main() -> None:
    """Print all measurements."""
    for workers in WORKERS:
        state, slice_ = fill_slice(workers)
        measure_turnover(state, slice_)
    baseline.compare(SEED)


if __name__ == '__main__':
    main()
