"""Runs the reducer of a cell: events in, effects carried out."""

import asyncio
from collections.abc import Callable
import time
from typing import Any

import celeryshift_cell as cell
from celeryshift_cell import effects
from celeryshift_cell import events
from celeryshift_cellnode import _advisers
from celeryshift_cellnode import _election
from celeryshift_cellnode import _groupwriter
from celeryshift_cellnode import _metrics
from celeryshift_cellnode import _records
from celeryshift_cellnode import ports

# Leases, tickets and pauses are looked at so often.
TICK_S = 0.1
# An owner without the right to act looks so often whether it is back.
RIGHT_PAUSE_S = 0.05


class Runner:
    """Own a cell under one epoch, until it is given up."""

    def __init__(
        self,
        epoch: int,
        options: cell.Options,
        right: _election.OwnerLease,
        workers: ports.Workers,
        advisers: _advisers.Advisers,
        journal: _groupwriter.GroupWriter,
        note: Callable[..., None],
        metrics: _metrics.Metrics,
        lost: Callable[[str], None],
    ) -> None:
        self.state = cell.Cell(epoch, options)
        self._right = right
        self._workers = workers
        self._advisers = advisers
        self.journal = journal
        self._note = note
        self._metrics = metrics
        self._lost = lost
        self._queue: list[events.Event] = []
        self._is_scheduled = False
        self._is_over = False
        self._tasks: set[asyncio.Task[Any]] = set()
        self._spawn(self._tick())

    @property
    def epoch(self) -> int:
        """Give the epoch that all orders are given under."""
        return self.state.epoch

    def feed(self, event: events.Event) -> None:
        """Let an event happen soon, together with others."""
        if self._is_over:
            return
        self._queue.append(event)
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def close(self) -> None:
        """Give no further orders."""
        self._is_over = True
        self.journal.close()
        for task in self._tasks:
            task.cancel()

    def _run(self) -> None:
        self._is_scheduled = False
        if self._is_over:
            return
        queue, self._queue = self._queue, []
        last = len(queue) - 1
        for index, event in enumerate(queue):
            may_start = index == last and self._may_act()
            for effect in cell.reduce(self.state, event, may_start):
                self._carry_out(effect)

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            error = task.exception()
            self._note('effect_failed', error=repr(error))

    def _carry_out(self, effect: effects.Effect) -> None:
        match effect:
            case effects.LogDecision():
                self._metrics.decided(effect)
                self._note(effect.decision, **effect.fields)
            case effects.StartRun():
                self._spawn(self._start(effect))
            case effects.StopRun():
                self._spawn(self._stop(effect))
            case effects.PollWorker():
                self._spawn(self._hold(effect))
            case effects.SetPace():
                self._spawn(self._pace(effect))
            case effects.RequestAdvice():
                self._spawn(self._ask(effect))
            case effects.SaveRecords():
                self._spawn(self._save(effect))
            case effects.StepDown():
                self._lost(f'worker {effect.worker_id} obeys a later owner')

    def _may_act(self) -> bool:
        return not self._is_over and self._right.holds(time.monotonic())

    async def _start(self, order: effects.StartRun) -> None:
        if not self._may_act():
            self.feed(
                events.StartAnswered(
                    time.monotonic(),
                    order.worker_id,
                    order.task,
                    order.run,
                    events.Outcome.NOT_SENT,
                )
            )
            return
        began = time.monotonic()
        answer = await self._workers.start(order, self.epoch, time.monotonic)
        self._metrics.order('start', answer.outcome.value, began)
        self.feed(answer)

    async def _stop(self, order: effects.StopRun) -> None:
        began = time.monotonic()
        answer = await self._workers.stop(order, self.epoch, time.monotonic)
        self._metrics.order('stop', answer.outcome.value, began)
        self.feed(answer)

    async def _hold(self, order: effects.PollWorker) -> None:
        while not self._may_act():
            # The lease that it grants was counted from before.
            await asyncio.sleep(RIGHT_PAUSE_S)
        self.feed(await self._workers.poll(order, self.epoch, time.monotonic))

    async def _pace(self, order: effects.SetPace) -> None:
        if self._may_act():
            await self._workers.set_pace(order, self.epoch)

    async def _ask(self, question: effects.RequestAdvice) -> None:
        self.feed(await self._advisers.ask(question))

    async def _save(self, order: effects.SaveRecords) -> None:
        written = await _records.save(self.journal, order)
        now = time.monotonic()
        if written is _groupwriter.WriteOutcome.STORED:
            self.feed(events.RecordsSaved(now))
        else:
            self.feed(events.RecordsFailed(now))

    async def _tick(self) -> None:
        while True:
            self.feed(events.Ticked(time.monotonic(), int(time.time() * 1000)))
            await asyncio.sleep(TICK_S)
