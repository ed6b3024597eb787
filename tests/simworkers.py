"""Workers of a simulated cell, which follow the platform's protocol."""

from typing import Any
from typing import TYPE_CHECKING

import attrs
from tests import simchecks

from celeryshift_cell import effects
from celeryshift_cell import events
from celeryshift_cell import model

if TYPE_CHECKING:
    from tests import cellsim

Outcome = events.Outcome

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
# The entry of a worker that left expires after this.
ENTRY_EXPIRY_S = 4.5
# A capacity that has shrunk binds the owner after this time: its contact with
# the platform, and one report of the worker.
RESIZE_NOTICE_S = 4.5
NEVER = float('inf')


class Worker:
    """Worker that follows the platform's protocol on a clock of its own."""

    def __init__(self, sim: 'cellsim.Sim', entry: model.WorkerEntry) -> None:
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
        simchecks.check_start(self.sim, self, order)
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
