"""Measure what a placement costs, and what it is worth.

Times are printed and never judged: tests bound the counted work instead.
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
WAITING = 50_000
EVENTS = 5_000
EVENTS_PER_S = 1_000.0
SEED = 1
US = 1e6


def place_all(
    state: _state.State, held: _state.Slice, out: _state.Outbox
) -> None:
    """Pump until nothing more can start, as event after event would."""
    placed = -1
    while placed != state.counters['placements']:
        placed = state.counters['placements']
        _placement.place_on_slice(state, held, out)


def fill(workers: int) -> tuple[_state.State, _state.Slice]:
    """Fill an empty slice from its queue, and print what that took."""
    state, held = fleets.build_slice(workers)
    fleets.fill_queue(state, held, WAITING, SEED)
    gc.collect()
    began = time.perf_counter()
    out: _state.Outbox = []
    place_all(state, held, out)
    took_s = time.perf_counter() - began
    placed = sum(isinstance(effect, effects.StartTask) for effect in out)
    print(
        f'{workers:5d} workers  fill: {placed:6d} placed, '
        f'{placed / took_s:8.0f} placements/s, '
        f'{held.ledger.examined / placed:5.1f} workers examined and '
        f'{held.queue.examined / placed:4.1f} queue entries touched each'
    )
    fleets.fill_queue(state, held, WAITING - held.queue.length, SEED + 1)
    place_all(state, held, [])
    return state, held


def turn_over(state: _state.State, held: _state.Slice) -> None:
    """End running tasks one by one, and print what each event took."""
    rng = random.Random(SEED)
    workers = list(held.ledger.workers_by_name.values())
    examined, touched = held.ledger.examined, held.queue.examined
    took = []
    per_placement = []
    for number in range(EVENTS):
        worker = rng.choice(workers)
        if not worker.bookings_by_run:
            continue
        run_id = rng.choice(list(worker.bookings_by_run))
        held.tasks_by_id[
            _tasks.task_id_of_run(run_id)
        ].state = _tasks.TaskState.RUNNING
        report = events.TaskReport(run_id, events.TaskPhase.DONE)
        now = number / EVENTS_PER_S
        event = events.WorkerSynced(now, 0, 1, worker.name, 'c', [report])
        began = time.perf_counter()
        out = reduce(state, event)
        took.append(time.perf_counter() - began)
        placed = sum(isinstance(effect, effects.StartTask) for effect in out)
        if placed:
            per_placement.append(took[-1] / placed)
    event_s = fleets.Quantiles.of(took)
    decision_s = fleets.Quantiles.of(per_placement)
    count = len(took)
    print(
        f'{"":5s}      turnover: each end of a task with the placements that '
        f'follow: median {event_s.median * US:4.0f} us, p99 '
        f'{event_s.p99 * US:4.0f} us; a decision: median '
        f'{decision_s.median * US:4.0f} us, p99 {decision_s.p99 * US:4.0f} '
        f'us; {(held.ledger.examined - examined) / count:5.1f} workers '
        f'examined, {(held.queue.examined - touched) / count:4.1f} entries '
        f'touched an event'
    )


def main() -> None:
    """Print every measurement."""
    for workers in WORKERS:
        state, held = fill(workers)
        turn_over(state, held)
    baseline.compare(SEED)


if __name__ == '__main__':
    main()
