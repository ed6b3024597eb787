"""Comparison of the core's placement with a FIFO scheduler.

Both get the same workload. The FIFO scheduler (printed as "plain") knows
neither shares nor urgent work, and places each task on a random worker that
has enough free capacity.
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
# Simulated time, within which all tasks arrive.
DURATION_S = 60.0
BATCH_PER_S = 75.0
URGENT_PER_S = 150.0
# Fraction of the batch tasks that belong to team t00.
GREEDY_FRACTION = 0.5
# Shortest and longest run time.
BATCH_RUN_S = (2.0, 14.0)
URGENT_RUN_S = (0.02, 0.2)
# Name of the kind of urgent tasks.
URGENT = 'urgent'
LARGE_SLOTS = 4
# Slots, millicores, MB of memory, accelerators.
URGENT_SIZE = core.Size(1, 1_000, 2_048, 0)


@attrs.frozen(slots=True)
class TaskSpec:
    """Arrival of one task in the workload."""

    arrives_at: float
    name: str
    team: str
    kind: str
    size: core.Size
    run_s: float


@attrs.define(eq=False)
class ScheduleResult:
    """Waiting times and capacity use of one scheduler.

    `slot_s_by_team` counts the slot-seconds of batch tasks only.
    `booked_fractions` has the fraction of booked slots after each arrival.
    """

    urgent_waits: list[float] = attrs.field(factory=list)
    batch_waits: list[float] = attrs.field(factory=list)
    slot_s_by_team: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    booked_fractions: list[float] = attrs.field(factory=list)
    started_names: set[str] = attrs.field(factory=set)

    def record_start(self, spec: TaskSpec, now: float) -> None:
        """Record the wait of a started task.

        For a batch task, also record the slot-seconds that it uses until the
        end of the simulated time.
        """
        self.started_names.add(spec.name)
        waits = self.urgent_waits
        if spec.kind != URGENT:
            waits = self.batch_waits
            counted_s = min(spec.run_s, DURATION_S - now)
            self.slot_s_by_team[spec.team] += spec.size.slots * counted_s
        waits.append(now - spec.arrives_at)


def generate_workload(seed: int) -> list[TaskSpec]:
    """Generate more work than the fleet can run, in order of arrival."""
    rng = random.Random(seed)
    specs = []
    for kind, per_s in ((URGENT, URGENT_PER_S), ('', BATCH_PER_S)):
        at = 0.0
        for number in itertools.count():
            at += rng.expovariate(per_s)
            if at > DURATION_S:
                break
            team = f't{rng.randrange(1, fleets.TEAMS):02d}'
            if rng.random() < GREEDY_FRACTION and kind != URGENT:
                team = 't00'
            index = rng.randrange(len(fleets.SIZES))
            low, high = URGENT_RUN_S if kind else BATCH_RUN_S
            size = URGENT_SIZE if kind else fleets.SIZES[index]
            kind_name = kind or f'k{index}'
            run_s = rng.uniform(low, high)
            specs.append(
                TaskSpec(at, f'{kind}{number}', team, kind_name, size, run_s)
            )
    return sorted(specs, key=lambda spec: spec.arrives_at)


def run_core(specs: list[TaskSpec]) -> ScheduleResult:
    """Run the workload through the core."""
    state, slice_ = fleets.build_slice(WORKERS)
    state.config.kinds[URGENT] = core.Kind(
        fleets.UPSTREAM, urgent=True, size=URGENT_SIZE
    )
    result = ScheduleResult()
    spec_by_task_id = {}
    completions: list[tuple[float, int, str, str]] = []
    sequence = itertools.count()

    def record_starts(outbox: list[effects.Effect], now: float) -> None:
        for effect in outbox:
            if isinstance(effect, effects.StartTask):
                spec = spec_by_task_id[_tasks.task_id_of_run(effect.task)]
                result.record_start(spec, now)
                entry = (now + spec.run_s, next(sequence))
                heapq.heappush(
                    completions, (*entry, effect.worker, effect.task)
                )

    for spec in [*specs, None]:
        until = spec.arrives_at if spec else DURATION_S
        while completions and completions[0][0] <= until:
            now, _, worker, run_id = heapq.heappop(completions)
            task = slice_.tasks_by_id[_tasks.task_id_of_run(run_id)]
            task.state = _tasks.TaskState.RUNNING
            report = events.TaskReport(run_id, events.TaskPhase.DONE)
            event = events.WorkerSynced(now, 0, 1, worker, 'c', [report])
            record_starts(reduce(state, event), now)
            slice_.ledger.workers_by_name[worker].syncing = True
        if spec is not None:
            job = _tasks.Job(
                f'{spec.team}:{spec.name}',
                spec.team,
                spec.kind,
                1,
                {},
                spec.size,
            )
            spec_by_task_id[job.task_id(0)] = spec
            state.now = spec.arrives_at
            _jobs.accept(state, slice_, job)
            outbox: _state.Outbox = []
            _placement.place_on_marked_slices(state, outbox)
            record_starts(outbox, spec.arrives_at)
            result.booked_fractions.append(_booked_fraction(slice_))
    return result


def run_fifo(specs: list[TaskSpec], seed: int) -> ScheduleResult:
    """Run the workload in order of arrival, on random workers that fit."""
    rng = random.Random(seed)
    free_by_worker = dict.fromkeys(range(WORKERS), fleets.WORKER_CAPACITY)
    result = ScheduleResult()
    waiting: collections.deque[TaskSpec] = collections.deque()
    completions: list[tuple[float, int, int, core.Size]] = []
    sequence = itertools.count()

    def place_waiting(now: float) -> None:
        while waiting:
            spec = waiting[0]
            candidates = [
                worker
                for worker in free_by_worker
                if spec.size.fits(free_by_worker[worker])
            ]
            if not candidates:
                return
            waiting.popleft()
            worker = rng.choice(candidates)
            free_by_worker[worker] -= spec.size
            result.record_start(spec, now)
            entry = (now + spec.run_s, next(sequence))
            heapq.heappush(completions, (*entry, worker, spec.size))

    for spec in [*specs, None]:
        until = spec.arrives_at if spec else DURATION_S
        while completions and completions[0][0] <= until:
            now, _, worker, size = heapq.heappop(completions)
            free_by_worker[worker] += size
            place_waiting(now)
        if spec is not None:
            waiting.append(spec)
            place_waiting(spec.arrives_at)
            slots = sum(capacity.slots for capacity in free_by_worker.values())
            total_slots = WORKERS * fleets.WORKER_CAPACITY.slots
            result.booked_fractions.append(1 - slots / total_slots)
    return result


def compare(seed: int) -> None:
    """Print waiting times, booked slots and shares of both schedulers."""
    specs = generate_workload(seed)
    _print_result('core', specs, run_core(specs))
    _print_result('plain', specs, run_fifo(specs, seed))


def _booked_fraction(slice_: _state.Slice) -> float:
    workers = slice_.ledger.workers_by_name.values()
    used = sum(worker.used.slots for worker in workers)
    return used / slice_.ledger.capacity_slots(fleets.UPSTREAM)


def _print_result(
    name: str, specs: list[TaskSpec], result: ScheduleResult
) -> None:
    unstarted = [
        spec for spec in specs if spec.name not in result.started_names
    ]
    urgent = fleets.Quantiles.from_samples(
        result.urgent_waits
        + [
            DURATION_S - spec.arrives_at
            for spec in unstarted
            if spec.kind == URGENT
        ]
    )
    batch = fleets.Quantiles.from_samples(
        result.batch_waits
        + [
            DURATION_S - spec.arrives_at
            for spec in unstarted
            if spec.kind != URGENT
        ]
    )
    large = [spec for spec in specs if spec.size.slots == LARGE_SLOTS]
    large_started = sum(spec.name in result.started_names for spec in large)
    booked = result.booked_fractions[len(result.booked_fractions) // 2 :]
    greedy_slot_s = result.slot_s_by_team['t00']
    total_slot_s = sum(result.slot_s_by_team.values())
    print(
        f'{name:>6}: urgent wait median {urgent.median:.3f} s, p99 '
        f'{urgent.p99:.3f} s; batch wait median {batch.median:.1f} s, p99 '
        f'{batch.p99:.1f} s (those not started count until the end); '
        f'{sum(booked) / len(booked):.1%} of the slots booked in the second '
        f'half; the team that wants {GREEDY_FRACTION:.0%} has '
        f'{greedy_slot_s / total_slot_s:.1%}; '
        f'{len(result.started_names)} of {len(specs)} '
        f'tasks started, {large_started} of {len(large)} of '
        f'{LARGE_SLOTS} slots'
    )
