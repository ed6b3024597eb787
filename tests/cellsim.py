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
from tests import simchecks
from tests import simnodes
from tests import simworkers

import celeryshift_cell as cell
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
# Run time of the runs in the tail, as a multiple of the others.
TAIL_FACTOR = 7
# Share of the changes of owner after which the configuration is late.
UNCONFIGURED_SHARE = 0.5
# Default resource limit of the team.
MAXIMUM = model.Size(cpu_milli=60_000)


InvariantError = simchecks.InvariantError


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
            simchecks.check_memory(self)

    def _carry_out(self, effect: effects.Effect) -> None:
        match effect:
            case effects.StartRun():
                self._check_evacuations(effect)
                if not self.is_configured:
                    raise InvariantError(f'{effect.task} before the limits')
                self._send_order(
                    effect, simworkers.Worker.start, events.StartAnswered
                )
            case effects.StopRun():
                self._send_order(
                    effect, simworkers.Worker.stop, events.StopAnswered
                )
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
            f'w{number}': simworkers.Worker(
                self, cells.entry(f'w{number}', cores=16)
            )
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

    def add_worker(self, former: model.WorkerEntry) -> simworkers.Worker:
        """Add a worker at the address of a former one, by another id."""
        entry = attrs.evolve(former, id=f'w{len(self.workers)}')
        worker = self.workers[entry.id] = simworkers.Worker(self, entry)
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
        lease_s = simworkers.MAX_HOLD_S / (1 - simworkers.DRIFT)
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

    def step_of(self, task: str) -> model.Step:
        """Return the specification of the step of a task."""
        job_id, _, number, _ = task.split('.')
        return self.specs[job_id].steps[int(number)]

    def duration_s(self, task: str, kind: str) -> float:
        """Return the run time of a task on a kind of worker."""
        estimate_ms = self.step_of(task).estimate_ms
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
