"""Compare placement with a plain scheduler over the same work.

The plain one is first in, first out without shares or urgency, and takes a
worker at random among all that have room.
"""

import collections
import heapq
import itertools
import random

import attrs

from bench import fleets
import celeryshift_core as core
from celeryshift_core import _jobs
from celeryshift_core import _placement
from celeryshift_core import _state
from celeryshift_core import _tasks
from celeryshift_core import effects
from celeryshift_core import events
from celeryshift_core import reduce

WORKERS = 95
SECONDS = 60.0
BATCH_PER_S = 75.0
URGENT_PER_S = 150.0
GREEDY_PART = 0.5
RUN_S = (2.0, 14.0)
URGENT_RUN_S = (0.02, 0.2)
URGENT = 'urgent'
LARGE_SLOTS = 4
URGENT_SIZE = core.Size(1, 1_000, 2_048, 0)


@attrs.frozen(slots=True)
class Item:
    """Hold one task of the work that both are given."""

    at: float
    name: str
    team: str
    kind: str
    size: core.Size
    run_s: float


@attrs.define(eq=False)
class Outcome:
    """Hold what became of the work."""

    urgent_waits: list[float] = attrs.field(factory=list)
    batch_waits: list[float] = attrs.field(factory=list)
    slot_s_by_team: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    booked: list[float] = attrs.field(factory=list)
    started: set[str] = attrs.field(factory=set)

    def start(self, item: Item, now: float) -> None:
        """Take in the start of a task."""
        self.started.add(item.name)
        waits = self.urgent_waits
        if item.kind != URGENT:
            waits = self.batch_waits
            left_s = min(item.run_s, SECONDS - now)
            self.slot_s_by_team[item.team] += item.size.slots * left_s
        waits.append(now - item.at)


def work(seed: int) -> list[Item]:
    """Make work for a full fleet: one team wants half of it."""
    rng = random.Random(seed)
    items = []
    for kind, per_s in ((URGENT, URGENT_PER_S), ('', BATCH_PER_S)):
        at = 0.0
        for number in itertools.count():
            at += rng.expovariate(per_s)
            if at > SECONDS:
                break
            team = f't{rng.randrange(1, fleets.TEAMS):02d}'
            if rng.random() < GREEDY_PART and kind != URGENT:
                team = 't00'
            index = rng.randrange(len(fleets.SIZES))
            low, high = URGENT_RUN_S if kind else RUN_S
            size = URGENT_SIZE if kind else fleets.SIZES[index]
            name = kind or f'k{index}'
            run_s = rng.uniform(low, high)
            items.append(Item(at, f'{kind}{number}', team, name, size, run_s))
    return sorted(items, key=lambda item: item.at)


def run_core(items: list[Item]) -> Outcome:
    """Run the work through the core."""
    state, held = fleets.build_slice(WORKERS)
    state.config.kinds[URGENT] = core.Kind(
        fleets.UPSTREAM, urgent=True, size=URGENT_SIZE
    )
    outcome = Outcome()
    by_job = {}
    ends: list[tuple[float, int, str, str]] = []
    count = itertools.count()

    def take(out: list[effects.Effect], now: float) -> None:
        for effect in out:
            if isinstance(effect, effects.StartTask):
                item = by_job[_tasks.task_id_of_run(effect.task)]
                outcome.start(item, now)
                end = (now + item.run_s, next(count))
                heapq.heappush(ends, (*end, effect.worker, effect.task))

    for item in [*items, None]:
        until = item.at if item else SECONDS
        while ends and ends[0][0] <= until:
            now, _, worker, run_id = heapq.heappop(ends)
            task = held.tasks_by_id[_tasks.task_id_of_run(run_id)]
            task.state = _tasks.TaskState.RUNNING
            report = events.TaskReport(run_id, events.TaskPhase.DONE)
            event = events.WorkerSynced(now, 0, 1, worker, 'c', [report])
            take(reduce(state, event), now)
            held.ledger.workers_by_name[worker].syncing = True
        if item is not None:
            job = _tasks.Job(
                f'{item.team}:{item.name}',
                item.team,
                item.kind,
                1,
                {},
                item.size,
            )
            by_job[job.task_id(0)] = item
            state.now = item.at
            _jobs.accept(state, held, job)
            out: _state.Outbox = []
            _placement.place_on_marked_slices(state, out)
            take(out, item.at)
            outcome.booked.append(_booked(held))
    return outcome


def run_plain(items: list[Item], seed: int) -> Outcome:
    """Run the work in order of arrival, on workers taken at random."""
    rng = random.Random(seed)
    free = dict.fromkeys(range(WORKERS), fleets.CAPACITY)
    outcome = Outcome()
    waiting: collections.deque[Item] = collections.deque()
    ends: list[tuple[float, int, int, core.Size]] = []
    count = itertools.count()

    def pump(now: float) -> None:
        while waiting:
            item = waiting[0]
            fits = [name for name in free if item.size.fits(free[name])]
            if not fits:
                return
            waiting.popleft()
            name = rng.choice(fits)
            free[name] -= item.size
            outcome.start(item, now)
            end = (now + item.run_s, next(count))
            heapq.heappush(ends, (*end, name, item.size))

    for item in [*items, None]:
        until = item.at if item else SECONDS
        while ends and ends[0][0] <= until:
            now, _, name, size = heapq.heappop(ends)
            free[name] += size
            pump(now)
        if item is not None:
            waiting.append(item)
            pump(item.at)
            slots = sum(room.slots for room in free.values())
            whole = WORKERS * fleets.CAPACITY.slots
            outcome.booked.append(1 - slots / whole)
    return outcome


def compare(seed: int) -> None:
    """Print waiting, packing and shares of both."""
    items = work(seed)
    _print('core', items, run_core(items))
    _print('plain', items, run_plain(items, seed))


def _booked(held: _state.Slice) -> float:
    workers = held.ledger.workers_by_name.values()
    used = sum(worker.used.slots for worker in workers)
    return used / held.ledger.capacity_slots(fleets.UPSTREAM)


def _print(name: str, items: list[Item], outcome: Outcome) -> None:
    left = [item for item in items if item.name not in outcome.started]
    urgent = fleets.Quantiles.of(
        outcome.urgent_waits
        + [SECONDS - item.at for item in left if item.kind == URGENT]
    )
    batch = fleets.Quantiles.of(
        outcome.batch_waits
        + [SECONDS - item.at for item in left if item.kind != URGENT]
    )
    large = [item for item in items if item.size.slots == LARGE_SLOTS]
    large_started = sum(item.name in outcome.started for item in large)
    booked = outcome.booked[len(outcome.booked) // 2 :]
    greedy = outcome.slot_s_by_team['t00']
    whole = sum(outcome.slot_s_by_team.values())
    print(
        f'{name:>6}: urgent wait median {urgent.median:.3f} s, p99 '
        f'{urgent.p99:.3f} s; batch wait median {batch.median:.1f} s, p99 '
        f'{batch.p99:.1f} s (those not started count until the end); '
        f'{sum(booked) / len(booked):.1%} of the slots booked in the second '
        f'half; the team that wants {GREEDY_PART:.0%} has '
        f'{greedy / whole:.1%}; {len(outcome.started)} of {len(items)} '
        f'tasks started, {large_started} of {len(large)} of '
        f'{LARGE_SLOTS} slots'
    )
