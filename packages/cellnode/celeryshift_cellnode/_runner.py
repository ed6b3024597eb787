"""Runs the reducer of a cell: queues events and executes the effects."""

import asyncio
from collections.abc import Callable
import time
from typing import Any

import celeryshift_cell as cell
from celeryshift_cell import effects
from celeryshift_cell import events
from celeryshift_cellnode import _advice
from celeryshift_cellnode import _election
from celeryshift_cellnode import _groupwriter
from celeryshift_cellnode import _metrics
from celeryshift_cellnode import _records
from celeryshift_cellnode import errors
from celeryshift_cellnode import ports

# Interval at which leases, tickets and delays are checked.
TICK_INTERVAL_S = 0.1
# Interval at which an owner without a valid lease checks it again.
LEASE_POLL_INTERVAL_S = 0.05
# Steps of jobs that a new owner restores in one turn of the event loop.
MAX_RESTORED_STEPS = 200
# Polls that are answered at once and in flight at a time. A new owner polls
# all workers; more polls than the node can handle within their timeout would
# all fail, and be repeated together.
MAX_IMMEDIATE_POLLS = 200


class Runner:
    """Executor of a cell under the epoch of one ownership."""

    def __init__(
        self,
        epoch: int,
        options: cell.Options,
        lease: _election.OwnerLease,
        workers: ports.Workers,
        advice_scheduler: _advice.AdviceScheduler,
        writer: _groupwriter.GroupWriter,
        log_decision: Callable[..., None],
        metrics: _metrics.Metrics,
        on_lost: Callable[[str], None],
    ) -> None:
        self.state = cell.Cell(epoch, options)
        self._lease = lease
        self._workers = workers
        self._advice = advice_scheduler
        self.writer = writer
        self._log_decision = log_decision
        self._metrics = metrics
        self._on_lost = on_lost
        self._queue: list[events.Event] = []
        self._is_scheduled = False
        self._is_closed = False
        self._tasks: set[asyncio.Task[Any]] = set()
        self._poll_slots = asyncio.Semaphore(MAX_IMMEDIATE_POLLS)
        self._spawn(self._tick())

    @property
    def epoch(self) -> int:
        """Return the epoch under which all orders are given."""
        return self.state.epoch

    def gauges(self) -> dict[str, float]:
        """Return the gauges of the cell and of its executor, by name."""
        window = self.state.window
        return {
            'jobs': len(self.state.jobs),
            'steps_waiting': len(self.state.waiting),
            'workers': len(self.state.workers),
            'starts_in_flight': window.in_flight,
            'starts_at_most': int(window.size),
            'interference_pairs': len(self.state.run_times.interference.found),
            'advice_waiting': self._advice.waiting,
            'advice_in_flight': self._advice.in_flight,
            **cell.gauges(self.state),
        }

    def enqueue(self, event: events.Event) -> None:
        """Queue an event; it is processed soon, together with others."""
        if self._is_closed:
            return
        self._queue.append(event)
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._drain_queue)

    async def restore(self, restored: _records.Restored) -> None:
        """Restore the stored jobs, a few in each turn of the event loop.

        Other work of the node, such as its heartbeat, goes on in between.
        """
        for event in restored.job_events(MAX_RESTORED_STEPS):
            self.enqueue(event)
            await asyncio.sleep(0)
            while self._is_scheduled and not self._is_closed:
                await asyncio.sleep(0)

    def handle_nodes_changed(self) -> None:
        """Use the present nodes for the queries that wait for one."""
        if not self._is_closed:
            self._advice.assign_nodes()

    def log_decision(self, decision: str, **fields: Any) -> None:
        """Log and count a decision that was made outside of the reducer."""
        self._execute(effects.LogDecision(decision, fields))

    def close(self) -> None:
        """Stop giving orders, and close the writer."""
        self._is_closed = True
        self.writer.close()
        for task in self._tasks:
            task.cancel()

    def _drain_queue(self) -> None:
        self._is_scheduled = False
        if self._is_closed:
            return
        queue, self._queue = self._queue, []
        last = len(queue) - 1
        # Tasks are placed once, after the last event of the batch.
        for index, event in enumerate(queue):
            may_start = index == last and self._may_act()
            try:
                emitted = cell.reduce(self.state, event, may_start)
            except Exception as error:
                # The other events of the batch must not be lost.
                self._log_decision(
                    'event_failed',
                    event=type(event).__name__,
                    error=errors.describe(error),
                )
                continue
            for effect in emitted:
                self._execute_safely(effect)

    def _execute_safely(self, effect: effects.Effect) -> None:
        try:
            self._execute(effect)
        except Exception as error:
            # The other effects and events must not be lost.
            self._log_failed_effect(effect, error)

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            error = task.exception()
            self._log_decision('effect_failed', error=errors.describe(error))

    def _log_failed_effect(
        self, effect: effects.Effect, error: Exception
    ) -> None:
        """Log an unexpected error; the cell then treats it as no answer."""
        self._log_decision(
            'effect_failed',
            effect=type(effect).__name__,
            error=errors.describe(error),
        )

    def _execute(self, effect: effects.Effect) -> None:
        match effect:
            case effects.LogDecision():
                self._metrics.observe_decision(effect)
                self._log_decision(effect.decision, **effect.fields)
            case effects.StartRun():
                self._spawn(self._start_run(effect))
            case effects.StopRun():
                self._spawn(self._stop_run(effect))
            case effects.PollWorker():
                self._spawn(self._poll_worker(effect))
            case effects.SetPace():
                self._spawn(self._set_pace(effect))
            case effects.RequestAdvice():
                self._spawn(self._request_advice(effect))
            case effects.SaveRecords():
                self._spawn(self._save_records(effect))
            case effects.StepDown():
                self._on_lost(f'worker {effect.worker_id} obeys a later owner')

    def _may_act(self) -> bool:
        return not self._is_closed and self._lease.is_valid(time.monotonic())

    async def _start_run(self, order: effects.StartRun) -> None:
        if not self._may_act():
            self.enqueue(
                events.StartAnswered(
                    time.monotonic(),
                    order.worker_id,
                    order.incarnation,
                    order.task,
                    order.run,
                    events.Outcome.NOT_SENT,
                )
            )
            return
        started_at = time.monotonic()
        try:
            answer = await self._workers.start(
                order, self.epoch, time.monotonic
            )
        except Exception as error:
            self._log_failed_effect(order, error)
            answer = events.StartAnswered(
                time.monotonic(),
                order.worker_id,
                order.incarnation,
                order.task,
                order.run,
                events.Outcome.UNKNOWN,
            )
        self._metrics.observe_order('start', answer.outcome.value, started_at)
        self.enqueue(answer)

    async def _stop_run(self, order: effects.StopRun) -> None:
        started_at = time.monotonic()
        answer = await self._workers.stop(order, self.epoch, time.monotonic)
        self._metrics.observe_order('stop', answer.outcome.value, started_at)
        self.enqueue(answer)

    async def _poll_worker(self, order: effects.PollWorker) -> None:
        if order.wait_ms:
            await self._send_poll(order)
            return
        async with self._poll_slots:
            await self._send_poll(order)

    async def _send_poll(self, order: effects.PollWorker) -> None:
        while not self._may_act():
            # The deadline in the order is already fixed, so the wait does not
            # extend the worker's lease.
            await asyncio.sleep(LEASE_POLL_INTERVAL_S)
        try:
            answer = await self._workers.poll(
                order, self.epoch, time.monotonic
            )
        except Exception as error:
            self._log_failed_effect(order, error)
            answer = events.PollFailed(
                time.monotonic(),
                order.worker_id,
                order.incarnation,
                events.Outcome.UNKNOWN,
            )
        self.enqueue(answer)

    async def _set_pace(self, order: effects.SetPace) -> None:
        if self._may_act():
            await self._workers.set_pace(order, self.epoch)

    async def _request_advice(self, request: effects.RequestAdvice) -> None:
        try:
            answer = await self._advice.request_advice(request)
        except Exception as error:
            self._log_failed_effect(request, error)
            answer = events.AdviceFailed(
                time.monotonic(),
                request.step,
                request.workers,
                errors.describe(error),
            )
        self.enqueue(answer)

    async def _save_records(self, order: effects.SaveRecords) -> None:
        try:
            outcome = await _records.save(self.writer, order)
        except Exception as error:
            self._log_failed_effect(order, error)
            outcome = _groupwriter.WriteOutcome.UNKNOWN
        now = time.monotonic()
        if outcome is _groupwriter.WriteOutcome.STORED:
            self.enqueue(events.RecordsSaved(now))
        else:
            is_rejected = outcome is _groupwriter.WriteOutcome.REJECTED
            self.enqueue(events.RecordsFailed(now, is_rejected))

    async def _tick(self) -> None:
        due_at = time.monotonic()
        while True:
            now = time.monotonic()
            lag_s = max(0.0, now - due_at)
            self._metrics.set_gauge('loop_lag_ms', round(lag_s * 1000))
            self.enqueue(events.Ticked(now, int(time.time() * 1000), lag_s))
            due_at = now + TICK_INTERVAL_S
            await asyncio.sleep(TICK_INTERVAL_S)
