"""A cell in virtual time, over workers and owners that fail at random.

The real reducer gives the orders. What it does is judged by what the workers
really ran, never by what it believes.
"""

import collections
import heapq
import itertools
import random
from typing import Any

import attrs
from tests import cells

import celeryshift_cell as cell
from celeryshift_cell import effects
from celeryshift_cell import events
from celeryshift_cell import model

Outcome = events.Outcome

ANSWER_S = 0.004
ORDER_TIMEOUT_S = 0.3
HOLD_EXTRA_S = 0.3
STORE_S = 0.015
TICK_S = 0.1
RIGHT_S = 0.8
LEASE_S = 4.0
DRIFT = 0.02
NEVER = float('inf')
# What a team may use, unless a play says otherwise.
MAXIMUM = model.Size(cpu_milli=60_000)


class Broken(AssertionError):
    """Report a promise that was broken, with the time."""


class Worker:
    """Run tasks as the platform's pages say, on a clock of its own."""

    def __init__(self, sim: 'Sim', entry: model.WorkerEntry) -> None:
        self.sim = sim
        self.entry = entry
        self.rate = 1 - sim.random.random() * DRIFT
        self.is_reachable = True
        self.reset(1)

    def reset(self, life: int) -> None:
        """Begin a life that knows nothing of the one before."""
        self.entry = attrs.evolve(self.entry, life=life)
        self.born_at = self.sim.now
        self.fence = 0
        self.until_ms = 0.0
        self.running: dict[tuple[str, int], float] = {}
        # When each run began and is to end.
        self.times: dict[tuple[str, int], tuple[float, float]] = {}
        self.highest: dict[str, int] = {}
        self.ended: list[events.RunCompletion] = []
        self.last_end = 0
        self.waiting: list[Any] = []

    @property
    def clock_ms(self) -> float:
        """Give the worker's clock."""
        return (self.sim.now - self.born_at) * self.rate * 1000

    def _refuses(self, life: int, fence: int) -> Outcome | None:
        """Tell why an order is not obeyed; else keep its fence."""
        if life != self.entry.life:
            return Outcome.OTHER_INCARNATION
        if fence < self.fence:
            return Outcome.FENCED
        self.fence = fence
        return None

    def start(self, order: effects.StartRun, fence: int) -> Outcome:
        """Carry out an order to start."""
        refused = self._refuses(order.incarnation, fence)
        if refused is not None:
            return refused
        key = (order.task, order.run)
        if key in self.running:
            return Outcome.DONE
        if order.run <= self.highest.get(order.task, 0):
            return Outcome.STALE_RUN
        if order.deadline_ms < self.clock_ms:
            return Outcome.DEADLINE_PASSED
        self.until_ms = max(self.until_ms, order.deadline_ms)
        self.sim.check_start(self, order)
        took_s = self.sim.duration_s(order.task)
        self.running[key] = self.sim.now + took_s
        self.times[key] = (self.sim.now, self.sim.now + took_s)
        life = self.entry.life
        self.sim.at(took_s, lambda: self._finish(key, life))
        return Outcome.DONE

    def list_run(self, task: str, run: int) -> events.RunStatus:
        """List a run; half done, it would be at a percent of 50."""
        began, ends = self.times[task, run]
        share = (self.sim.now - began) / max(ends - began, 0.001)
        return events.RunStatus(task, run, '', min(99, int(100 * share)))

    def _finish(self, key: tuple[str, int], life: int) -> None:
        self.lapse()
        if life != self.entry.life or key not in self.running:
            return
        failed = self.sim.fails(key[0])
        ending = model.RunResult.FAILED if failed else model.RunResult.DONE
        if not failed:
            self.sim.done[key[0]] += 1
        self._end(key, ending)

    def _end(self, key: tuple[str, int], ending: model.RunResult) -> None:
        del self.running[key]
        self.last_end += 1
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        end = events.RunCompletion(self.last_end, *key, ending, '')
        self.ended.append(end)
        waiting, self.waiting = self.waiting, []
        for answer in waiting:
            answer()

    def lapse(self) -> None:
        """End everything once the lease has run out."""
        if self.clock_ms > self.until_ms:
            for key in list(self.running):
                self._end(key, model.RunResult.LEASE_EXPIRED)

    def stop(self, order: effects.StopRun, fence: int) -> Outcome:
        """Carry out an order to stop."""
        refused = self._refuses(order.incarnation, fence)
        if refused is not None:
            return refused
        self.lapse()
        key = (order.task, order.run)
        if key in self.running:
            self._end(key, model.RunResult.STOPPED)
        self.highest[order.task] = max(
            self.highest.get(order.task, 0), order.run
        )
        return Outcome.DONE

    def hold(self, order: effects.PollWorker, fence: int) -> Outcome:
        """Extend the lease, and forget what is known to be stored."""
        refused = self._refuses(order.incarnation, fence)
        if refused is not None:
            return refused
        self.lapse()
        if order.deadline_ms is not None:
            self.until_ms = max(self.until_ms, order.deadline_ms)
        for end in self.ended:
            if end.number <= order.stored_completion:
                self.sim.noted(end)
        self.ended = [
            e for e in self.ended if e.number > order.stored_completion
        ]
        return Outcome.DONE


class Owner:
    """Carry out the effects of one owner of the cell."""

    def __init__(self, sim: 'Sim', epoch: int) -> None:
        self.sim = sim
        self.state = cell.Cell(epoch)
        self.is_alive = True
        self.right_until = sim.now + RIGHT_S
        sim.owner = self
        self.feed(events.ConfigChanged(sim.now, sim.config))
        self._tick()

    def _tick(self) -> None:
        if not self.is_alive:
            return
        if self.sim.store_open and self is self.sim.owner:
            self.right_until = self.sim.now + RIGHT_S
        self.feed(events.Ticked(self.sim.now, int(self.sim.now * 1000)))
        self.sim.at(TICK_S, self._tick)

    @property
    def may_act(self) -> bool:
        """Tell whether the owner may give orders."""
        return self.is_alive and self.sim.now < self.right_until

    def feed(self, event: events.Event) -> None:
        """Apply an event, and carry out what it leads to."""
        if not self.is_alive:
            return
        event = attrs.evolve(event, now=self.sim.now)
        for effect in cell.reduce(self.state, event, self.may_act):
            self._carry_out(effect)

    def _carry_out(self, effect: effects.Effect) -> None:
        match effect:
            case effects.StartRun():
                self._order(effect, Worker.start, events.StartAnswered)
            case effects.StopRun():
                self._order(effect, Worker.stop, events.StopAnswered)
            case effects.PollWorker():
                self._hold(effect)
            case effects.RequestAdvice():
                self.sim.advise(self, effect)
            case effects.SaveRecords():
                self.sim.save(self, effect)
            case effects.StepDown():
                self.is_alive = False
            case effects.LogDecision():
                self.sim.log.append((self.sim.now, effect))

    def _order(self, order: Any, carry_out: Any, answered: type) -> None:
        worker = self.sim.workers[order.worker_id]
        epoch = self.state.epoch

        def answer(outcome: Outcome) -> None:
            self.feed(
                answered(0.0, order.worker_id, order.task, order.run, outcome)
            )

        def arrive() -> None:
            if not worker.is_reachable:
                return
            outcome = carry_out(worker, order, epoch)
            if not lost:
                self.sim.at(ANSWER_S / 2, lambda: answer(outcome))

        chance = self.sim.random.random()
        late = chance < self.sim.late_share
        lost = late or chance > 1 - self.sim.lost_share
        if lost or not worker.is_reachable:
            self.sim.at(ORDER_TIMEOUT_S, lambda: answer(Outcome.UNKNOWN))
        delay_s = self.sim.random.uniform(1, 8) if late else ANSWER_S / 2
        self.sim.at(delay_s, arrive)

    def _hold(self, order: effects.PollWorker) -> None:
        worker = self.sim.workers[order.worker_id]
        epoch = self.state.epoch
        sent_at = self.sim.now
        over = []

        def fail(outcome: Outcome) -> None:
            if not over:
                over.append(True)
                self.feed(
                    events.PollFailed(
                        0.0, order.worker_id, order.incarnation, outcome
                    )
                )

        def answer() -> None:
            worker.lapse()
            if not over and worker.is_reachable:
                over.append(True)
                event = events.PollAnswered(
                    0.0,
                    sent_at,
                    order.worker_id,
                    worker.entry.life,
                    int(worker.clock_ms),
                    tuple(worker.list_run(*key) for key in worker.running),
                    tuple(worker.ended),
                )
                self.sim.at(ANSWER_S / 2, lambda: self.feed(event))

        def arrive() -> None:
            if not worker.is_reachable:
                return
            outcome = worker.hold(order, epoch)
            if outcome is not Outcome.DONE:
                fail(outcome)
            elif worker.ended or not order.wait_ms:
                answer()
            else:
                worker.waiting.append(answer)
                self.sim.at(order.wait_ms / 1000, answer)

        self.sim.at(ANSWER_S / 2, arrive)
        timeout_s = order.wait_ms / 1000 + HOLD_EXTRA_S
        self.sim.at(timeout_s, lambda: fail(Outcome.UNKNOWN))


class Sim:
    """Play one seed."""

    def __init__(
        self,
        seed: int,
        workers: int = 5,
        maximum: model.Size = MAXIMUM,
    ) -> None:
        self.random = random.Random(seed)
        self.now = 0.0
        self._heap: list[Any] = []
        self._numbers = itertools.count()
        self.log: list[Any] = []
        self.late_share = 0.0
        self.lost_share = 0.0
        self.store_open = True
        self.maximum = maximum
        # Tasks take their estimates times a factor in this range.
        self.spread = (0.5, 2.0)
        # This share of the runs fails.
        self.fail_share = 0.025
        self.config = cells.config(maximum=self.maximum)
        self.workers = {
            f'w{number}': Worker(self, cells.entry(f'w{number}', cores=16))
            for number in range(workers)
        }
        self.done: collections.Counter[str] = collections.Counter()
        self.noted_done: set[str] = set()
        self.jobs: dict[str, events.StoredJob] = {}
        self.records: dict[str, str] = {}
        self.finals: dict[str, str] = {}
        self.final_at: dict[str, float] = {}
        self.stored_workers: tuple = ()
        self.version = 0
        self.specs: dict[str, model.Job] = {}
        self.owner: Owner
        Owner(self, 1)
        self.owner.feed(self._listing())

    def at(self, delay_s: float, work: Any) -> None:
        """Let something happen later."""
        entry = (self.now + delay_s, next(self._numbers), work)
        heapq.heappush(self._heap, entry)

    def run(self, until: float) -> None:
        """Let time pass."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, work = heapq.heappop(self._heap)
            work()
        self.now = until

    def _listing(self) -> events.WorkersChanged:
        entries = tuple(
            w.entry for w in self.workers.values() if w.is_reachable
        )
        return events.WorkersChanged(0.0, entries)

    def submit(self, job: model.Job) -> None:
        """Store a job, and tell the owner."""
        self.version += 1
        job = attrs.evolve(job, arrived_ms=int(self.now * 1000))
        stored = events.StoredJob(job, self.version)
        self.specs[job.id] = job
        self.jobs[job.id] = stored
        self.owner.feed(events.JobAccepted(0.0, stored))

    def take_over(self, is_dead: bool) -> None:
        """Let another owner come; the former may live on for its right."""
        former = self.owner
        if is_dead:
            former.is_alive = False
        former_owner_until = self.now if is_dead else former.right_until
        self.version += 1
        owner = Owner(self, former.state.epoch + 1)
        owner.feed(self._listing())
        lease_s = LEASE_S / (1 - DRIFT)
        owner.feed(
            events.Restored(
                0.0,
                int(self.now * 1000),
                tuple(self.jobs.values()),
                dict(self.records),
                (),
                self.stored_workers,
                former_owner_until + lease_s + 0.1,
                self.version,
                former_owner_until,
            )
        )

    def save(self, owner: Owner, order: effects.SaveRecords) -> None:
        """Store records, if the owner still is one."""

        def store() -> None:
            if owner is not self.owner or not self.store_open:
                owner.feed(events.RecordsFailed(0.0))
                return
            self.version += 1
            self.records.update(order.progress_by_job)
            for job_id, end in order.ended_by_job.items():
                self.finals[job_id] = end.state
                self.final_at[job_id] = self.now
                self.jobs.pop(job_id, None)
                self.records.pop(job_id, None)
            if order.workers is not None:
                self.stored_workers = order.workers
            owner.feed(events.RecordsSaved(0.0))

        self.at(STORE_S, store)

    def advise(self, owner: Owner, question: effects.RequestAdvice) -> None:
        """Answer for the policy service: most workers, and w0, may run it."""
        good = {
            worker: 'ticket'
            for worker in question.workers
            if worker == 'w0'
            or random.Random(f'{question.step}{worker}').random() < 0.7
        }
        event = events.AdviceAnswered(
            0.0, question.step, question.workers, good, self.now, 2500
        )
        self.at(0.05, lambda: owner.feed(event))

    def _step(self, task: str) -> model.Step:
        job_id, _, number, _ = task.split('.')
        return self.specs[job_id].steps[int(number)]

    def duration_s(self, task: str) -> float:
        """Give how long a task takes."""
        return (
            self._step(task).estimate_ms
            / 1000
            * self.random.uniform(*self.spread)
        )

    def fails(self, task: str) -> bool:
        """Tell whether a run fails."""
        return self.random.random() < self.fail_share

    def noted(self, end: events.RunCompletion) -> None:
        """Keep that the end of a run was taken note of."""
        if end.result is model.RunResult.DONE:
            self.noted_done.add(end.task)

    def check_start(self, worker: Worker, order: effects.StartRun) -> None:
        """Judge a start that a worker is about to make."""
        worker.lapse()
        step = self._step(order.task)
        others = []
        cpu = step.size.cpu_milli
        team = step.size.cpu_milli
        for other in self.workers.values():
            other.lapse()
            for task, _ in other.running:
                size = self._step(task).size.cpu_milli
                team += size
                cpu += size if other is worker else 0
                if task == order.task:
                    others.append(other.entry.id)
        where = f'{order.task} run {order.run} at {self.now:.3f} s'
        if others and not step.allows_copies:
            raise Broken(f'{where} on {worker.entry.id}: runs on {others}')
        if order.task in self.noted_done and not step.allows_copies:
            raise Broken(f'{where}: its end was taken note of')
        if cpu > worker.entry.capacity.cpu_milli:
            raise Broken(f'{where}: {worker.entry.id} over its capacity')
        most = self.maximum.cpu_milli
        if most and team > most + step.size.cpu_milli:
            raise Broken(f'{where}: the team runs {team}')
        job = self.specs[order.task.split('.')[0]]
        for number in step.after:
            for index in range(job.steps[number].count):
                if not self.done[f'{job.id}.0.{number}.{index}']:
                    raise Broken(f'{where}: step {number} has not ended')


def random_job(sim: Sim, number: int) -> model.Job:
    """Build a job of one to three steps."""
    steps = []
    for index in range(sim.random.randint(1, 3)):
        step = cells.step(
            sim.random.randint(1, 6),
            sim.random.choice((1, 2, 4)),
            after=(index - 1,) if index else (),
            allows_copies=sim.random.random() < 0.2,
        )
        steps.append(step)
    queue = sim.random.choice(('field', 'advised', 'weekly'))
    job = cells.job(f'{number:04x}', *steps, queue=queue)
    return attrs.evolve(job, id=f'{number:016x}')
