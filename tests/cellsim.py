"""Discrete-event simulation of a cell with failing workers and owners.

The real reducer gives the orders. Its invariants are checked against what the
simulated workers run, not against the reducer's own state.
"""

import collections
import heapq
import itertools
import random
from typing import Any

import attrs
from tests import cells
from tests import simnodes

import celeryshift_cell as cell
from celeryshift_cell import _footprint
from celeryshift_cell import effects
from celeryshift_cell import events
from celeryshift_cell import model

Outcome = events.Outcome

ROUND_TRIP_S = 0.004
ORDER_TIMEOUT_S = 0.3
# Time beyond the wait of a poll after which it times out.
POLL_MARGIN_S = 0.3
STORE_WRITE_S = 0.015
TICK_S = 0.1
OWNER_LEASE_S = 0.8
# Maximum lease that a worker grants and clock drift of workers, equal to the
# defaults of ``Options``.
MAX_HOLD_S = 6.0
DRIFT = 0.02
# Time from the start of a task to the crash that it causes.
CRASH_DELAY_S = 0.01
CRASHED_RANGE_S = (0.2, 5.0)
# Time after a crash in which the owner dies too.
OWNER_LOST_S = 0.02
# Share of the crashes that end the process only.
REFUSING_SHARE = 0.7
# Run time of the runs in the tail, as a multiple of the others.
TAIL_FACTOR = 7
# The entry of a worker that left expires after this.
ENTRY_EXPIRY_S = 4.5
# Workers that crash under a task, and starts of it after that many crashes
# that break the promise.
CRASHES = 3
STARTS_AFTER_CRASHES = 3
# A capacity that has shrunk binds the owner after this time: its contact with
# the platform, and one report of the worker.
RESIZE_NOTICE_S = 4.5
NEVER = float('inf')
# Share of the changes of owner after which the configuration is late.
UNCONFIGURED_SHARE = 0.5
# Default resource limit of the team.
MAXIMUM = model.Size(cpu_milli=60_000)


class InvariantError(AssertionError):
    """Violation of an invariant of the cell."""


class Worker:
    """Worker that follows the platform's protocol on a clock of its own."""

    def __init__(self, sim: 'Sim', entry: model.WorkerEntry) -> None:
        self.sim = sim
        self.entry = entry
        self.clock_rate = 1 - sim.random.random() * DRIFT
        self.is_reachable = True
        # The machine is up without the process, so that connections break.
        self.is_refusing = False
        # Callbacks that fail the polls in progress.
        self.breaking: list[Any] = []
        # Capacities and when each was replaced by the next one.
        self.former_cpu: list[tuple[float, int]] = []
        # The worker's entry is missing before this time. Once the worker is
        # cut off, it remains until the second one.
        self.entry_from = 0.0
        self.entry_until = 0.0
        self.reset(1)

    def reset(self, incarnation: int) -> None:
        """Start a new incarnation without any state of the previous one."""
        self.entry = attrs.evolve(self.entry, incarnation=incarnation)
        self.started_at = self.sim.now
        self.fence = 0
        self.lease_until_ms = 0.0
        self.running: dict[tuple[str, int], float] = {}
        # Start and planned end of each run.
        self.run_times: dict[tuple[str, int], tuple[float, float]] = {}
        self.highest_run: dict[str, int] = {}
        self.ended: list[events.RunCompletion] = []
        self.last_completion = 0
        # Callbacks that answer the polls in progress.
        self.waiting: list[Any] = []

    @property
    def has_entry(self) -> bool:
        """Return whether the store has the worker's entry."""
        now = self.sim.now
        is_alive = self.is_reachable or now < self.entry_until
        return is_alive and now >= self.entry_from

    def crash(self, down_s: float, is_renamed: bool) -> None:
        """End all runs; a new incarnation follows, perhaps by another id.

        Some crashes take the machine along, so that nothing answers.
        """
        self.reset(self.entry.incarnation + 1)
        self.is_reachable = False
        self.is_refusing = self.sim.random.random() < REFUSING_SHARE
        breaking, self.breaking = self.breaking, []
        for fail in breaking if self.is_refusing else ():
            fail()
        if is_renamed:
            self.entry_from = NEVER
            self.sim.schedule(down_s, self._hand_over_address)
        else:
            self.sim.schedule(down_s, self._come_back)

    def _come_back(self) -> None:
        self.is_reachable, self.is_refusing = True, False
        self.publish()

    def _hand_over_address(self) -> None:
        """Let a worker with another id answer at this address."""
        successor = self.sim.add_worker(self.entry)
        # Orders to the former id are refused.
        self.entry = attrs.evolve(self.entry, address='')
        self.is_reachable, self.is_refusing = True, False
        successor.publish()
        self.sim.schedule(
            ENTRY_EXPIRY_S,
            lambda: self.sim.owner.feed(
                events.WorkersChanged(0.0, (), (self.entry.id,))
            ),
        )

    def publish(self) -> None:
        """Send the entry to the owner, if it has not expired."""
        if self.has_entry:
            self.sim.owner.feed(events.WorkersChanged(0.0, (self.entry,)))

    def resize(self, cpu_milli: int) -> None:
        """Change the capacity; the entry follows within a report interval."""
        capacity = self.entry.capacity
        self.former_cpu.append((self.sim.now, capacity.cpu_milli))
        self.entry = attrs.evolve(
            self.entry, capacity=attrs.evolve(capacity, cpu_milli=cpu_milli)
        )
        self.sim.schedule(self.sim.random.uniform(0, 1.5), self.publish)

    @property
    def counted_cpu(self) -> int:
        """Return the largest capacity that a start may still rely on."""
        noticed_at = self.sim.now - RESIZE_NOTICE_S
        former = [cpu for until, cpu in self.former_cpu if until > noticed_at]
        return max(self.entry.capacity.cpu_milli, *former, 0)

    @property
    def clock_ms(self) -> float:
        """Return the worker's clock."""
        return (self.sim.now - self.started_at) * self.clock_rate * 1000

    def _check_order(self, order: Any, fence: int) -> Outcome | None:
        """Return why an order is rejected; otherwise store its fence."""
        if order.address != self.entry.address:
            # Another worker has taken over the address.
            return Outcome.OTHER_INCARNATION
        is_current = order.incarnation == self.entry.incarnation
        if self.sim.orders_name_incarnation and not is_current:
            return Outcome.OTHER_INCARNATION
        if fence < self.fence:
            return Outcome.FENCED
        self.fence = fence
        return None

    def start(self, order: effects.StartRun, fence: int) -> Outcome:
        """Carry out a start order."""
        rejection = self._check_order(order, fence)
        if rejection is not None:
            return rejection
        key = (order.task, order.run)
        if key in self.running:
            return Outcome.DONE
        if order.run <= self.highest_run.get(order.task, 0):
            return Outcome.STALE_RUN
        if order.deadline_ms < self.clock_ms:
            return Outcome.DEADLINE_PASSED
        self._extend_lease(order.deadline_ms)
        self.sim.check_start(self, order)
        run_s = self.sim.duration_s(order.task, self.entry.kind)
        self.running[key] = self.sim.now + run_s
        self.run_times[key] = (self.sim.now, self.sim.now + run_s)
        incarnation = self.entry.incarnation
        self.sim.schedule(run_s, lambda: self._finish(key, incarnation))
        if order.task in self.sim.crashing_tasks:
            self.sim.schedule(
                CRASH_DELAY_S, lambda: self._crash_by(key, incarnation)
            )
        return Outcome.DONE

    def _crash_by(self, key: tuple[str, int], incarnation: int) -> None:
        if incarnation == self.entry.incarnation and key in self.running:
            self.sim.crashes[key[0]] += 1
            if self.sim.random.random() < self.sim.owner_lost_share:
                self.sim.schedule(
                    self.sim.random.uniform(0, OWNER_LOST_S),
                    lambda: self.sim.take_over(is_dead=True),
                )
            self.crash(
                self.sim.random.uniform(*CRASHED_RANGE_S),
                self.sim.random.random() < 0.5,
            )

    def run_status(self, task: str, run: int) -> events.RunStatus:
        """Return the status of a run; half-way through, progress is 50 %."""
        started, due = self.run_times[task, run]
        share = (self.sim.now - started) / max(due - started, 0.001)
        return events.RunStatus(task, run, '', min(99, int(100 * share)))

    def _finish(self, key: tuple[str, int], incarnation: int) -> None:
        self.expire_lease()
        if incarnation != self.entry.incarnation or key not in self.running:
            return
        failed = self.sim.fails(key[0])
        result = model.RunResult.FAILED if failed else model.RunResult.DONE
        if not failed:
            self.sim.done[key[0]] += 1
        self._end_run(key, result)

    def _end_run(self, key: tuple[str, int], result: model.RunResult) -> None:
        del self.running[key]
        self.last_completion += 1
        self.highest_run[key[0]] = max(self.highest_run.get(key[0], 0), key[1])
        completion = events.RunCompletion(
            self.last_completion, *key, result, ''
        )
        self.ended.append(completion)
        waiting, self.waiting = self.waiting, []
        for answer in waiting:
            answer()

    def _extend_lease(self, deadline_ms: float) -> None:
        granted_ms = min(deadline_ms, self.clock_ms + MAX_HOLD_S * 1000)
        self.lease_until_ms = max(self.lease_until_ms, granted_ms)

    def expire_lease(self) -> None:
        """End all runs if the lease has expired."""
        if self.clock_ms > self.lease_until_ms:
            # Ending a run answers polls, which expires the lease again.
            while self.running:
                key = next(iter(self.running))
                self._end_run(key, model.RunResult.LEASE_EXPIRED)

    def stop(self, order: effects.StopRun, fence: int) -> Outcome:
        """Carry out a stop order."""
        rejection = self._check_order(order, fence)
        if rejection is not None:
            return rejection
        self.expire_lease()
        key = (order.task, order.run)
        if key in self.running:
            self._end_run(key, model.RunResult.STOPPED)
        self.highest_run[order.task] = max(
            self.highest_run.get(order.task, 0), order.run
        )
        return Outcome.DONE

    def poll(self, order: effects.PollWorker, fence: int) -> Outcome:
        """Extend the lease and discard the completions that are stored."""
        rejection = self._check_order(order, fence)
        if rejection is not None:
            return rejection
        self.expire_lease()
        if order.deadline_ms is not None:
            self._extend_lease(order.deadline_ms)
        # A late poll may acknowledge the ends of another incarnation.
        is_current = order.incarnation == self.entry.incarnation
        for completion in self.ended:
            if is_current and completion.number <= order.stored_completion:
                self.sim.record_stored(completion)
        self.ended = [
            e for e in self.ended if e.number > order.stored_completion
        ]
        return Outcome.DONE


class Owner:
    """Owner of the cell that carries out the effects of its reducer."""

    def __init__(self, sim: 'Sim', epoch: int) -> None:
        self.sim = sim
        self.state = cell.Cell(epoch)
        self.is_alive = True
        # Evacuated data centres that this owner has read of.
        self.known_evacuated: frozenset[str] = frozenset()
        self.owner_lease_until = sim.now + OWNER_LEASE_S
        sim.owner = self
        self.is_configured = False
        if sim.memory_limit:
            self.feed(events.MemoryLimited(sim.now, sim.memory_limit))
        if sim.unconfigured_s and sim.random.random() < UNCONFIGURED_SHARE:
            sim.schedule(
                sim.random.uniform(0.0, sim.unconfigured_s), self._configure
            )
        else:
            self._configure()
        self._tick()

    def _configure(self) -> None:
        self.is_configured = True
        self.feed(events.ConfigChanged(self.sim.now, self.sim.config))

    def _tick(self) -> None:
        if not self.is_alive:
            return
        if self.sim.store_open and self is self.sim.owner:
            self.owner_lease_until = self.sim.now + OWNER_LEASE_S
        self.feed(events.Ticked(self.sim.now, int(self.sim.now * 1000)))
        self.sim.schedule(TICK_S, self._tick)

    @property
    def may_act(self) -> bool:
        """Return whether the owner may give orders."""
        return self.is_alive and self.sim.now < self.owner_lease_until

    def feed(self, event: events.Event) -> None:
        """Apply an event and carry out its effects."""
        if not self.is_alive:
            return
        event = attrs.evolve(event, now=self.sim.now)
        if isinstance(event, events.EvacuationsChanged):
            self.known_evacuated = event.data_centres
        for effect in cell.reduce(self.state, event, self.may_act):
            self._carry_out(effect)
        if self.sim.memory_limit:
            self._check_memory()

    def _check_memory(self) -> None:
        """Check that what has started is within the limit of the memory.

        One more step may start, as a gang does, and each job may have one
        occurrence that waits.
        """
        footprint = self.state.footprint
        allowed = _footprint.STARTED_SHARE * footprint.limit
        widths = (s.count for j in self.sim.specs.values() for s in j.steps)
        most = max(widths, default=0)
        allowed += most * _footprint.TASK_BYTES
        if footprint.started > allowed + self.adopted_bytes():
            raise InvariantError(
                f'{footprint.tasks} tasks and {footprint.steps} steps'
            )

    def adopted_bytes(self) -> int:
        """Return the memory of what former owners have started."""
        runs = sum(len(w.running) for w in self.sim.workers.values())
        return runs * (_footprint.TASK_BYTES + _footprint.STEP_BYTES)

    def _carry_out(self, effect: effects.Effect) -> None:
        match effect:
            case effects.StartRun():
                self._check_evacuations(effect)
                if not self.is_configured:
                    raise InvariantError(f'{effect.task} before the limits')
                self._send_order(effect, Worker.start, events.StartAnswered)
            case effects.StopRun():
                self._send_order(effect, Worker.stop, events.StopAnswered)
            case effects.PollWorker():
                self._poll(effect)
            case effects.RequestAdvice():
                self.sim.advise(self, effect)
            case effects.SaveRecords():
                self.sim.save(self, effect)
            case effects.StepDown():
                self.is_alive = False
            case effects.LogDecision():
                self.sim.log.append((self.sim.now, effect))

    def _check_evacuations(self, order: effects.StartRun) -> None:
        """Check that nothing is ordered where this owner may not start."""
        worker = self.state.workers[order.worker_id]
        if worker.entry.data_centre in self.known_evacuated:
            raise InvariantError(f'{order.task} on evacuated {worker.id}')

    def _send_order(
        self, order: Any, carry_out: Any, event_type: type
    ) -> None:
        worker = self.sim.workers[order.worker_id]
        epoch = self.state.epoch
        settled = []

        def answer(outcome: Outcome, clock_ms: int | None = None) -> None:
            if settled:
                return
            settled.append(True)
            self.feed(
                event_type(
                    0.0,
                    order.worker_id,
                    order.incarnation,
                    order.task,
                    order.run,
                    outcome,
                    clock_ms,
                )
            )

        def arrive() -> None:
            is_lost = (
                late
                and not self.sim.late_orders_outlive_restarts
                and order.incarnation != worker.entry.incarnation
            )
            if worker.is_refusing:
                answer(Outcome.NOT_SENT)
            if is_lost or not worker.is_reachable:
                return
            outcome = carry_out(worker, order, epoch)
            clock_ms = int(worker.clock_ms)
            if not lost:
                self.sim.schedule(
                    self.sim.answer_delay_s(),
                    lambda: answer(outcome, clock_ms),
                )

        chance = self.sim.random.random()
        late = chance < self.sim.late_share
        lost = late or chance > 1 - self.sim.lost_share
        self.sim.schedule(ORDER_TIMEOUT_S, lambda: answer(Outcome.UNKNOWN))
        delay_s = self.sim.random.uniform(1, 8) if late else ROUND_TRIP_S / 2
        self.sim.schedule(delay_s, arrive)

    def _poll(self, order: effects.PollWorker) -> None:
        worker = self.sim.workers[order.worker_id]
        epoch = self.state.epoch
        sent_at = self.sim.now
        settled = []

        def fail(outcome: Outcome) -> None:
            if not settled:
                settled.append(True)
                self.feed(
                    events.PollFailed(
                        0.0, order.worker_id, order.incarnation, outcome
                    )
                )

        def answer() -> None:
            worker.expire_lease()
            if not settled and worker.is_reachable:
                settled.append(True)
                event = events.PollAnswered(
                    0.0,
                    sent_at,
                    order.worker_id,
                    order.incarnation,
                    worker.entry.incarnation,
                    int(worker.clock_ms),
                    tuple(worker.run_status(*key) for key in worker.running),
                    tuple(worker.ended),
                )
                self.sim.schedule(
                    self.sim.answer_delay_s(), lambda: self.feed(event)
                )

        def arrive() -> None:
            if worker.is_refusing:
                fail(Outcome.NOT_SENT)
            if not worker.is_reachable:
                return
            worker.breaking.append(lambda: fail(Outcome.UNKNOWN))
            outcome = worker.poll(order, epoch)
            if outcome is not Outcome.DONE:
                self.sim.schedule(
                    self.sim.answer_delay_s() - ROUND_TRIP_S / 2,
                    lambda: fail(outcome),
                )
            elif worker.ended or not order.wait_ms:
                answer()
            else:
                worker.waiting.append(answer)
                self.sim.schedule(order.wait_ms / 1000, answer)

        self.sim.schedule(ROUND_TRIP_S / 2, arrive)
        timeout_s = order.wait_ms / 1000 + POLL_MARGIN_S
        self.sim.schedule(timeout_s, lambda: fail(Outcome.UNKNOWN))


class Sim:
    """Simulation of one cell with a seeded random generator."""

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
        # Share of the answers that arrive shortly before the timeout.
        self.slow_share = 0.0
        # Whether orders tell the incarnations of a worker id apart.
        self.orders_name_incarnation = True
        # Whether the network, and not the worker, holds late orders, so that
        # the next incarnation carries them out.
        self.late_orders_outlive_restarts = False
        self.store_write_s = STORE_WRITE_S
        self.store_open = True
        self.store_write_s = STORE_WRITE_S
        self.maximum = maximum
        # Memory for the state of the cell; 0 for no limit.
        self.memory_limit = 0
        # Longest time for which a new owner does not know the configuration.
        self.unconfigured_s = 0.0
        # Range of the factor between estimates and run times.
        self.duration_range = (0.5, 2.0)
        # Run times by step, where they differ from the estimate; speeds by
        # kind of worker; and share of the runs that take far longer.
        self.run_ms_by_step: dict[str, float] = {}
        self.speed_by_kind: dict[str, float] = {}
        self.tail_share = 0.0
        # Share of the runs that fail.
        self.fail_share = 0.025
        self.config = cells.config(maximum=self.maximum)
        self.workers = {
            f'w{number}': Worker(self, cells.entry(f'w{number}', cores=16))
            for number in range(workers)
        }
        # Tasks that crash each worker that starts them; their crashes, and
        # their starts after too many of these.
        self.crashing_tasks: set[str] = set()
        self.crashes: collections.Counter[str] = collections.Counter()
        self.starts_after_crashes: collections.Counter[str] = (
            collections.Counter()
        )
        # Share of the crashes by tasks right after which the owner dies.
        self.owner_lost_share = 0.0
        # Number of completions by task.
        self.done: collections.Counter[str] = collections.Counter()
        # Tasks whose completion was acknowledged as stored.
        self.stored_done: set[str] = set()
        # Jobs that have not ended.
        self.jobs: dict[str, events.StoredJob] = {}
        self.records: dict[str, str] = {}
        self.final_states: dict[str, str] = {}
        self.final_at: dict[str, float] = {}
        # Incarnations and addresses, by worker id.
        self.stored_workers: dict[str, tuple[int, str]] = {}
        # When each node can call the policy service next; None if the service
        # always answers soon.
        self.policy_nodes: list[float] | None = None
        # Nodes that send the queries and may be lost, if any.
        self.nodes: simnodes.PolicyNodes | None = None
        self.evacuated: frozenset[str] = frozenset()
        self.learned = ''
        self.version = 0
        self.specs: dict[str, model.Job] = {}
        self.owner: Owner
        self._start_owner(1, self.now)

    def add_worker(self, former: model.WorkerEntry) -> Worker:
        """Add a worker at the address of a former one, by another id."""
        entry = attrs.evolve(former, id=f'w{len(self.workers)}')
        worker = self.workers[entry.id] = Worker(self, entry)
        return worker

    def schedule(self, delay_s: float, work: Any) -> None:
        """Schedule a callback after a delay."""
        entry = (self.now + delay_s, next(self._numbers), work)
        heapq.heappush(self._heap, entry)

    def run(self, until: float) -> None:
        """Process all events up to a time."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, work = heapq.heappop(self._heap)
            work()
        self.now = until

    def answer_delay_s(self) -> float:
        """Return the time from the execution of an order to its answer."""
        if self.slow_share and self.random.random() < self.slow_share:
            return self.random.uniform(
                ROUND_TRIP_S / 2, ORDER_TIMEOUT_S - ROUND_TRIP_S
            )
        return ROUND_TRIP_S / 2

    def listing(self) -> events.WorkersChanged:
        """Return the list of the workers that have an entry."""
        entries = tuple(w.entry for w in self.workers.values() if w.has_entry)
        return events.WorkersChanged(0.0, entries)

    def evacuate(self, data_centres: frozenset[str]) -> None:
        """Evacuate data centres and return all others; the owner reads it."""
        self.evacuated = data_centres
        event = events.EvacuationsChanged(0.0, data_centres)
        self.owner.feed(event)

    def submit(self, job: model.Job) -> None:
        """Store a job and send it to the owner."""
        self.version += 1
        job = attrs.evolve(job, arrived_ms=int(self.now * 1000))
        stored = events.StoredJob(job, self.version)
        self.specs[job.id] = job
        self.jobs[job.id] = stored
        self.owner.feed(events.JobAccepted(0.0, stored))

    def take_over(self, is_dead: bool) -> None:
        """Replace the owner; a live one may act until its lease expires."""
        previous = self.owner
        if is_dead:
            previous.is_alive = False
        previous_until = self.now if is_dead else previous.owner_lease_until
        self._start_owner(previous.state.epoch + 1, previous_until)

    def _start_owner(self, epoch: int, previous_until: float) -> None:
        self.version += 1
        owner = Owner(self, epoch)
        owner.feed(self.listing())
        self.evacuate(self.evacuated)
        lease_s = MAX_HOLD_S / (1 - DRIFT)
        owner.feed(
            events.Restored(
                0.0,
                int(self.now * 1000),
                tuple(self.jobs.values()),
                dict(self.records),
                (),
                tuple((w, *r) for w, r in self.stored_workers.items()),
                previous_until + lease_s + 0.1,
                self.version,
                previous_until,
                learned=self.learned,
            )
        )

    def save(self, owner: Owner, order: effects.SaveRecords) -> None:
        """Store records if they come from the current owner."""

        def store() -> None:
            if owner is not self.owner or not self.store_open:
                owner.feed(events.RecordsFailed(0.0))
                return
            self.version += 1
            self.records.update(order.progress_by_job)
            self.learned = order.learned or self.learned
            for job_id, finished in order.ended_by_job.items():
                self.final_states[job_id] = finished.state
                self.final_at[job_id] = self.now
                self.jobs.pop(job_id, None)
                self.records.pop(job_id, None)
            self.stored_workers |= order.workers_by_id
            for worker_id in order.removed_workers:
                self.stored_workers.pop(worker_id, None)
            owner.feed(events.RecordsSaved(0.0))

        self.schedule(self.store_write_s, store)

    def advise(self, owner: Owner, query: effects.RequestAdvice) -> None:
        """Answer a policy query, approving about 0.7 of the workers and w0."""
        tickets = {
            worker: 'ticket'
            for worker in query.workers
            if worker == 'w0'
            or random.Random(f'{query.step}{worker}').random() < 0.7
        }

        def answer(sent_at: float) -> events.AdviceAnswered:
            return events.AdviceAnswered(
                0.0, query.step, query.workers, tickets, sent_at, 2500
            )

        if self.nodes is not None:
            self.nodes.request(owner, query, answer)
            return
        sent_at = self.now
        if self.policy_nodes is not None:
            # Each node has one call at a time, the first free one the next.
            sent_at = max(self.now, heapq.heappop(self.policy_nodes))
        event = answer(sent_at)
        answered_at = sent_at + 0.05
        if self.policy_nodes is not None:
            answered_at = sent_at + query.expected_ms / 1000
            heapq.heappush(self.policy_nodes, answered_at)
        self.schedule(answered_at - self.now, lambda: owner.feed(event))

    def _step_of(self, task: str) -> model.Step:
        job_id, _, number, _ = task.split('.')
        return self.specs[job_id].steps[int(number)]

    def duration_s(self, task: str, kind: str) -> float:
        """Return the run time of a task on a kind of worker."""
        estimate_ms = self._step_of(task).estimate_ms
        run_ms = self.run_ms_by_step.get(task.rpartition('.')[0], estimate_ms)
        run_ms *= self.random.uniform(*self.duration_range)
        if self.tail_share and self.random.random() < self.tail_share:
            run_ms *= TAIL_FACTOR
        return run_ms / 1000 / self.speed_by_kind.get(kind, 1.0)

    def fails(self, task: str) -> bool:
        """Return whether a run fails."""
        return self.random.random() < self.fail_share

    def record_stored(self, completion: events.RunCompletion) -> None:
        """Record that the completion of a run was acknowledged as stored."""
        if completion.result is model.RunResult.DONE:
            self.stored_done.add(completion.task)

    def check_start(self, worker: Worker, order: effects.StartRun) -> None:
        """Check the invariants for a run that a worker is about to start."""
        worker.expire_lease()
        step = self._step_of(order.task)
        other_workers = []
        worker_cpu = step.size.cpu_milli
        team_cpu = step.size.cpu_milli
        for other in self.workers.values():
            other.expire_lease()
            for task, _ in other.running:
                size = self._step_of(task).size.cpu_milli
                team_cpu += size
                worker_cpu += size if other is worker else 0
                if task == order.task:
                    other_workers.append(other.entry.id)
        context = f'{order.task} run {order.run} at {self.now:.3f} s'
        if other_workers and not step.allows_copies:
            raise InvariantError(
                f'{context} on {worker.entry.id}: runs on {other_workers}'
            )
        if order.task in self.stored_done and not step.allows_copies:
            raise InvariantError(
                f'{context}: its completion was already stored'
            )
        self._check_crashes(order.task, context)
        if worker_cpu > worker.counted_cpu:
            raise InvariantError(
                f'{context}: {worker.entry.id} exceeds its capacity'
            )
        limit = self.maximum.cpu_milli
        if limit and team_cpu > limit + step.size.cpu_milli:
            raise InvariantError(
                f'{context}: its team uses {team_cpu} millicores'
            )
        job_id, occurrence, *_ = order.task.split('.')
        job = self.specs[job_id]
        due_ms = job.first_due_ms + int(occurrence) * job.every_ms
        if job.times and due_ms > self.now * 1000:
            raise InvariantError(f'{context}: it is due at {due_ms} ms')
        for number in step.after:
            for index in range(job.steps[number].count):
                if not self.done[f'{job.id}.{occurrence}.{number}.{index}']:
                    raise InvariantError(
                        f'{context}: step {number} has not completed'
                    )

    def _check_crashes(self, task: str, context: str) -> None:
        """Check that a task does not crash one worker after the other."""
        if self.crashes[task] < CRASHES:
            return
        self.starts_after_crashes[task] += 1
        if self.starts_after_crashes[task] >= STARTS_AFTER_CRASHES:
            raise InvariantError(
                f'{context}: {self.crashes[task]} workers crashed under it'
            )
