"""Cost of the reducer of a cell for each task run, by number of workers.

The reducer runs in virtual time on a single thread, without a network: a
simulated fleet answers its effects. Only the time within ``reduce`` counts.
The digest is that of all decisions and orders, so that two versions can be
shown to behave equally.

Usage: ``python -m bench.reducer [workers [seconds]] [--profile] [--log]``.

With ``--log``, all effects are written to the standard error.
"""

import cProfile
import hashlib
import heapq
import itertools
import pstats
import random
import sys
import time
from typing import Any

import attrs

import celeryshift_cell as cell
from celeryshift_cell import effects
from celeryshift_cell import events
from celeryshift_cell import model

SEED = 1
FLEETS = (300, 1_000, 3_000)
WORKER_CORES = (16, 24, 32, 48, 64)
TASK_CORES = (2, 9)
TASKS_PER_STEP = (10, 20)
STEPS_PER_JOB = 2
RUNS_PER_WORKER_S = 1.3
USED_SHARE = 0.8
CORE = 1000
MEMORY_MB = 131_072
UPSTREAM = 'coding'
TEAMS = 8
# Queues, and the share of the workers that the policy service approves.
QUICK = model.Queue(
    'quick',
    UPSTREAM,
    max_attempts=2,
    stretch=1.5,
    target_ms=500.0,
    advice=model.PolicyService(23, 0.3, 2500),
)
SLOW = model.Queue(
    'slow',
    UPSTREAM,
    priority=1,
    max_attempts=3,
    stretch=2.0,
    target_ms=1000.0,
    advice=model.PolicyService(494, 7, 2500),
)
APPROVED_SHARE_BY_QUEUE = {'quick': 0.7, 'slow': 0.35}
TICK_S = 0.1
ROUND_TRIP_S = 0.004
STORE_WRITE_S = 0.015
REPORT_INTERVAL_S = 1.5
# Events that arrive within this time are handled as a batch.
BATCH_S = 0.002
WARM_UP_S = 9.0
MEASURE_S = 3.0
NEVER = float('inf')


@attrs.define(eq=False)
class Worker:
    """Simulated worker, which ends its runs and answers polls."""

    entry: model.WorkerEntry
    running: dict[tuple[str, int], float] = attrs.field(factory=dict)
    ended: list[events.RunCompletion] = attrs.field(factory=list)
    last_completion: int = 0
    # Send time of the long poll in progress, or None.
    polled_at: float | None = None
    poll_number: int = 0


class Fleet:
    """Simulated fleet, policy service and store around a reducer."""

    def __init__(self, count: int) -> None:
        self.random = random.Random(SEED)
        self.now = 0.0
        self.state = cell.Cell(1, cell.Options())
        self.digest = hashlib.sha256()
        self.starts = self.ends = self.events = self.queries = 0
        self.reduce_s = 0.0
        self.log: Any = None
        self.profile: cProfile.Profile | None = None
        self._numbers = itertools.count()
        self._heap: list[Any] = []
        self._batch: list[Any] = []
        self.workers = {}
        for number in range(count):
            entry = model.WorkerEntry(
                f'w{number}',
                1,
                UPSTREAM,
                f'w{number}:80',
                f'dc{number % 3}',
                model.Size(self.random.choice(WORKER_CORES) * CORE, MEMORY_MB),
                kind=f'k{number % 4}',
            )
            self.workers[entry.id] = Worker(entry)
        self.cores = sum(
            worker.entry.capacity.cpu_milli / CORE
            for worker in self.workers.values()
        )
        self.steps_by_job: dict[str, model.Job] = {}
        mean_cores = sum(TASK_CORES) / 2
        self.runs_per_s = RUNS_PER_WORKER_S * count
        self.mean_run_s = (
            USED_SHARE * self.cores / mean_cores / self.runs_per_s
        )
        self._begin()

    def _begin(self) -> None:
        teams = {
            f't{number}': model.Team(
                f't{number}',
                maximum=model.Size(int(self.cores * CORE / TEAMS * 2)),
            )
            for number in range(TEAMS)
        }
        config = model.Config(
            1,
            {queue.name: queue for queue in (QUICK, SLOW)},
            teams,
            {UPSTREAM: model.Upstream(UPSTREAM)},
        )
        self._send(events.ConfigChanged(0.0, config))
        self._send(events.Restored(0.0, 0, (), {}, (), (), 0.0, 0))
        entries = tuple(worker.entry for worker in self.workers.values())
        self._send(events.WorkersChanged(0.0, entries))
        self._at(TICK_S, self._tick)
        self._at(1.0, self._submit)
        self._at(1.0, lambda: self._report(0))

    def _at(self, at: float, work: Any) -> None:
        heapq.heappush(self._heap, (at, next(self._numbers), work))

    def _tick(self) -> None:
        self._send(events.Ticked(self.now, int(self.now * 1000)))
        self._at(self.now + TICK_S, self._tick)

    def _report(self, number: int) -> None:
        """Report the entries of a part of the workers, as each does."""
        parts = round(REPORT_INTERVAL_S / TICK_S)
        entries = tuple(
            attrs.evolve(worker.entry, clock_ms=int(self.now * 1000))
            for worker in list(self.workers.values())[number::parts]
        )
        self._send(events.WorkersChanged(self.now, entries))
        self._at(self.now + TICK_S, lambda: self._report((number + 1) % parts))

    def _submit(self) -> None:
        number = next(self._numbers)
        queue = self.random.choice((QUICK, SLOW))
        steps = [
            model.Step(
                self.random.randint(*TASKS_PER_STEP),
                model.Size(self.random.randint(*TASK_CORES) * CORE, 1024),
                int(self.mean_run_s * 1000),
                after=(index - 1,) if index else (),
            )
            for index in range(STEPS_PER_JOB)
        ]
        job = model.Job(
            id=f'{number:016x}',
            queue=queue.name,
            team=f't{self.random.randrange(TEAMS)}',
            spec='spec',
            steps=tuple(steps),
            arrived_ms=int(self.now * 1000),
        )
        stored = events.StoredJob(job, number)
        self._send(events.JobAccepted(self.now, stored))
        runs_per_job = STEPS_PER_JOB * sum(TASKS_PER_STEP) / 2
        rate = self.runs_per_s / runs_per_job
        self._at(self.now + self.random.expovariate(rate), self._submit)

    def _send(self, event: events.Event) -> None:
        self._batch.append(event)

    def run(self, until: float) -> None:
        """Process all events up to a time, in batches."""
        while self._heap and self._heap[0][0] <= until:
            batch_until = self._heap[0][0] + BATCH_S
            while self._heap and self._heap[0][0] <= batch_until:
                self.now, _, work = heapq.heappop(self._heap)
                work()
            self._reduce_batch()

    def _reduce_batch(self) -> None:
        batch, self._batch = self._batch, []
        self.events += len(batch)
        emitted: list[effects.Effect] = []
        if self.profile:
            self.profile.enable()
        began = time.process_time()
        for number, event in enumerate(batch):
            emitted += cell.reduce(self.state, event, number == len(batch) - 1)
        self.reduce_s += time.process_time() - began
        if self.profile:
            self.profile.disable()
        for effect in emitted:
            if self.log:
                print(f'{self.now:.6f} {effect}', file=self.log)
            self._carry_out(effect)

    def _carry_out(self, effect: effects.Effect) -> None:
        match effect:
            case effects.StartRun():
                self.digest.update(repr(effect).encode())
                self._start(effect)
            case effects.PollWorker():
                self._poll(effect)
            case effects.RequestAdvice():
                self._advise(effect)
            case effects.SaveRecords():
                self._at(
                    self.now + STORE_WRITE_S,
                    lambda: self._send(events.RecordsSaved(self.now)),
                )
            case effects.LogDecision():
                self.digest.update(repr(effect).encode())
            case effects.StopRun():
                self.digest.update(repr(effect).encode())
                self._stop(effect)

    def _start(self, order: effects.StartRun) -> None:
        self.starts += 1
        worker = self.workers[order.worker_id]
        run_s = self.mean_run_s * self.random.uniform(0.8, 1.2)
        key = order.task, order.run
        worker.running[key] = self.now
        self._at(self.now + run_s, lambda: self._end(worker, key))
        answer = events.StartAnswered(
            self.now + ROUND_TRIP_S,
            order.worker_id,
            1,
            order.task,
            order.run,
            events.Outcome.DONE,
            int(self.now * 1000),
        )
        self._at(answer.now, lambda: self._send(answer))

    def _stop(self, order: effects.StopRun) -> None:
        key = order.task, order.run
        answer = events.StopAnswered(
            self.now + ROUND_TRIP_S,
            order.worker_id,
            1,
            *key,
            events.Outcome.DONE,
            int(self.now * 1000),
        )
        self._at(answer.now, lambda: self._send(answer))
        self._end(self.workers[order.worker_id], key, model.RunResult.STOPPED)

    def _end(
        self,
        worker: Worker,
        key: tuple[str, int],
        result: model.RunResult = model.RunResult.DONE,
    ) -> None:
        if worker.running.pop(key, None) is None:
            return
        self.ends += 1
        worker.last_completion += 1
        worker.ended.append(
            events.RunCompletion(worker.last_completion, *key, result, '')
        )
        self._answer_poll(worker, worker.poll_number)

    def _poll(self, order: effects.PollWorker) -> None:
        worker = self.workers[order.worker_id]
        worker.ended = [
            ended
            for ended in worker.ended
            if ended.number > order.stored_completion
        ]
        worker.polled_at = self.now
        worker.poll_number += 1
        number = worker.poll_number
        wait_s = 0.0 if worker.ended else order.wait_ms / 1000
        self._at(
            self.now + max(wait_s, ROUND_TRIP_S),
            lambda: self._answer_poll(worker, number),
        )

    def _answer_poll(self, worker: Worker, number: int) -> None:
        if worker.polled_at is None or worker.poll_number != number:
            return
        sent_at, worker.polled_at = worker.polled_at, None
        running = tuple(
            events.RunStatus(
                task,
                run,
                '',
                min(99, int((self.now - began) / self.mean_run_s * 80)),
            )
            for (task, run), began in worker.running.items()
        )
        self._send(
            events.PollAnswered(
                self.now,
                sent_at,
                worker.entry.id,
                1,
                1,
                int(self.now * 1000),
                running,
                tuple(worker.ended),
            )
        )

    def _advise(self, query: effects.RequestAdvice) -> None:
        self.queries += 1
        sent_at = self.now
        queue = self.state.step(query.step).job.queue  # type: ignore
        share = APPROVED_SHARE_BY_QUEUE[queue.name]
        tickets = {
            worker: 'ticket'
            for worker in query.workers
            if self.random.random() < share
        }
        answer = events.AdviceAnswered(
            sent_at + query.expected_ms / 1000,
            query.step,
            query.workers,
            tickets,
            sent_at,
            2500,
        )
        self._at(answer.now, lambda: self._send(answer))


def measure(count: int, seconds: float, with_profile: bool) -> None:
    """Print the cost of a run with a number of workers."""
    fleet = Fleet(count)
    fleet.log = sys.stderr if '--log' in sys.argv else None
    fleet.run(WARM_UP_S)
    fleet.reduce_s = 0.0
    fleet.starts = fleet.ends = fleet.events = fleet.queries = 0
    if with_profile:
        fleet.profile = cProfile.Profile()
    fleet.run(WARM_UP_S + seconds)
    free = sum(worker.free_cpu for worker in fleet.state.workers.values())
    steps = fleet.state.waiting.values()
    print(
        f'{count:5d} workers: {fleet.reduce_s * 1000 / fleet.starts:6.3f} ms '
        f'a run; {fleet.starts / seconds:5.0f} starts/s, '
        f'{fleet.ends / seconds:5.0f} ends/s, '
        f'{fleet.events / seconds:6.0f} events/s, '
        f'{fleet.queries / seconds:5.0f} queries/s, '
        f'{1 - free / CORE / fleet.cores:4.0%} of the cores used, '
        f'{len(steps)} steps wait for {sum(len(s.pending) for s in steps)}; '
        f'digest {fleet.digest.hexdigest()[:12]}',
        flush=True,
    )
    if fleet.profile:
        stats = pstats.Stats(fleet.profile)
        stats.sort_stats('tottime').print_stats(45)


def main() -> None:
    """Print the costs for all fleets, or for one."""
    numbers = [arg for arg in sys.argv[1:] if arg.isdigit()]
    sizes = [int(numbers[0])] if numbers else FLEETS
    seconds = float(numbers[1]) if len(numbers) > 1 else MEASURE_S
    for count in sizes:
        measure(count, seconds, '--profile' in sys.argv)


if __name__ == '__main__':
    main()
