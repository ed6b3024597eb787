"""Runner that passes events to the core's reducer and executes effects."""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
import datetime
from typing import Any
import uuid

import logbook

import celeryshift_core as core
from celeryshift_core import effects
from celeryshift_core import events
from celeryshift_node import _peers
from celeryshift_node import _platform
from celeryshift_node import _workers

log = logbook.Logger('celeryshift')

Outcome = events.Outcome


class Runner:
    """Runner of one reducer on the event loop of this thread."""

    def __init__(
        self,
        options: core.Options,
        platform: _platform.Platform,
        workers: _workers.Workers,
        make_peers: Callable[[str], _peers.Peers],
    ) -> None:
        self.state = core.State(options)
        self.stopped = asyncio.Event()
        self.counters: collections.Counter[str] = collections.Counter()
        self._platform = platform
        self._workers = workers
        self._make_peers = make_peers
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at: float | None = None
        # Ids are assigned by `_next_id`, to requests and to other calls alike;
        # ids that callers choose are called names.
        self._reply_futures_by_id: dict[str, asyncio.Future] = {}
        # Payloads and answers of open requests, which the reducer never sees.
        self._payloads_by_id: dict[str, Any] = {}
        self._answers_by_id: dict[str, Any] = {}
        self._last_id = 0
        self._handlers_by_effect = self._make_effect_handlers()
        platform.on_unreadable = self._log_unreadable_vm

    @property
    def now(self) -> float:
        """Return the time of the monotonic clock, in seconds."""
        return self._loop.time()

    def start(self) -> None:
        """Start the node under a new incarnation."""
        incarnation = uuid.uuid4().hex[:8]
        address = self.state.options.address
        self._peers = self._make_peers(f'{address}/{incarnation}')
        self.handle(events.Started(self.now, incarnation))

    def handle(self, event: events.Event) -> None:
        """Pass an event to the reducer and execute the effects."""
        for effect in core.reduce(self.state, event):
            self._handlers_by_effect[type(effect)](effect)
        self._set_timer()

    async def run_request(
        self, make_event: Callable[[str], events.Event], payload: Any
    ) -> Any:
        """Run a request and wait for its result.

        Returns the answer, or the refusal if there is none.
        """
        request_id = self._next_id()
        self._payloads_by_id[request_id] = payload
        try:
            return await self._wait_for_reply(
                request_id, make_event(request_id)
            )
        except asyncio.CancelledError:
            self.handle(events.RequestAbandoned(self.now, request_id))
            raise
        finally:
            self._payloads_by_id.pop(request_id, None)
            self._answers_by_id.pop(request_id, None)

    async def get_reply(
        self, make_event: Callable[[str], events.Event]
    ) -> Any:
        """Handle an event and wait for the reply to it."""
        reply_id = self._next_id()
        return await self._wait_for_reply(reply_id, make_event(reply_id))

    async def close(self) -> None:
        """Cancel the timer and all effects in progress."""
        if self._timer is not None:
            self._timer.cancel()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _wait_for_reply(self, reply_id: str, event: events.Event) -> Any:
        future = self._loop.create_future()
        self._reply_futures_by_id[reply_id] = future
        try:
            self.handle(event)
            return await future
        finally:
            del self._reply_futures_by_id[reply_id]

    def _next_id(self) -> str:
        self._last_id += 1
        return f'{self._last_id:x}'

    def _set_timer(self) -> None:
        next_at = self.state.timers.next_at
        if next_at == self._timer_at:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = next_at
        if next_at is not None:
            self._timer = self._loop.call_at(next_at, self._tick)

    def _tick(self) -> None:
        self._timer = self._timer_at = None
        self.handle(events.Tick(self.now))

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._handle_done)

    def _handle_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            # This is a bug. The state may be inconsistent, so stop the node.
            log.critical('effect failed: {!r}', task.exception())
            self.stopped.set()

    def _make_effect_handlers(self) -> dict[type, Callable[[Any], None]]:
        spawn = self._spawn
        return {
            effects.WriteStore: lambda e: spawn(self._write_store(e)),
            effects.ReadStore: lambda e: spawn(self._read_store(e)),
            effects.FetchVms: lambda e: spawn(self._fetch_vms(e)),
            effects.SyncWorker: lambda e: spawn(self._sync_worker(e)),
            effects.StartTask: lambda e: spawn(self._start_task(e)),
            effects.StopTask: lambda e: spawn(self._stop_task(e)),
            effects.ThrottleTask: lambda e: spawn(self._throttle_task(e)),
            effects.SendRequest: lambda e: spawn(self._send_request(e)),
            effects.QueryOutcome: lambda e: spawn(self._query_outcome(e)),
            effects.ForwardRequest: lambda e: spawn(self._forward_request(e)),
            effects.ForwardJob: lambda e: spawn(self._forward_job(e)),
            effects.ForwardJobAct: lambda e: spawn(self._forward_job_act(e)),
            effects.SendMessage: lambda e: spawn(self._send_message(e)),
            effects.AnswerRequest: self._answer_request,
            effects.RefuseRequest: lambda e: self._resolve(e.id, e.refusal),
            effects.Reply: lambda e: self._resolve(
                e.reply_id, e.refusal or e.document
            ),
            effects.LogChange: self._log_change,
            effects.StopNode: lambda e: self.stopped.set(),
        }

    def _log_change(self, effect: effects.LogChange) -> None:
        self.counters[f'changes.{effect.name}'] += 1
        log.info(effect.name, extra=dict(effect.fields))

    def _log_unreadable_vm(self, name: str) -> None:
        self._log_change(effects.LogChange('vm-unreadable', {'vm': name}))

    def _resolve(self, reply_id: str, value: Any) -> None:
        future = self._reply_futures_by_id.get(reply_id)
        if future is not None and not future.done():
            future.set_result(value)

    def _answer_request(self, effect: effects.AnswerRequest) -> None:
        answer = {
            'answer': self._answers_by_id.get(effect.id),
            'worker': effect.worker,
            'waited_s': round(effect.waited_s, 6),
        }
        self._resolve(effect.id, answer)

    async def _write_store(self, effect: effects.WriteStore) -> None:
        outcome, version, rows = await self._platform.write(effect)
        self.handle(
            events.StoreWritten(self.now, effect.op_id, outcome, version, rows)
        )

    async def _read_store(self, effect: effects.ReadStore) -> None:
        rows = await self._platform.read(effect)
        self.handle(events.StoreRead(self.now, effect.op_id, rows))

    async def _fetch_vms(self, effect: effects.FetchVms) -> None:
        revision, vms = await self._platform.fetch_vms(effect.revision)
        self.handle(events.VmsFetched(self.now, revision, vms))

    async def _sync_worker(self, effect: effects.SyncWorker) -> None:
        cursor, whole, reports = '', False, None
        if self.now < effect.deadline:
            cursor, whole, reports = await self._workers.sync(effect)
        self.handle(
            events.WorkerSynced(
                self.now,
                effect.slice,
                effect.epoch,
                effect.worker,
                cursor,
                reports,
                whole,
            )
        )

    async def _start_task(self, effect: effects.StartTask) -> None:
        outcome = await self._execute_before_deadline(
            effect, self._workers.start
        )
        self._report_outcome(events.TaskStarted, effect, outcome)

    async def _throttle_task(self, effect: effects.ThrottleTask) -> None:
        await self._execute_before_deadline(effect, self._workers.throttle)

    async def _stop_task(self, effect: effects.StopTask) -> None:
        outcome = await self._execute_before_deadline(
            effect, self._workers.stop
        )
        self._report_outcome(events.TaskStopped, effect, outcome)

    async def _execute_before_deadline(
        self, effect: Any, execute: Callable[[Any], Awaitable[Any]]
    ) -> Any:
        """Execute an effect unless the owner's lease has expired."""
        if self.now >= effect.deadline:
            return Outcome.UNSENT
        return await execute(effect)

    def _report_outcome(
        self,
        event_type: type[events.TaskStarted] | type[events.TaskStopped],
        effect: effects.StartTask | effects.StopTask,
        outcome: Outcome,
    ) -> None:
        self.handle(
            event_type(
                self.now,
                effect.slice,
                effect.epoch,
                effect.worker,
                effect.task,
                outcome,
            )
        )

    async def _send_request(self, effect: effects.SendRequest) -> None:
        outcome, failed, answer = Outcome.UNSENT, False, None
        if self.now < effect.deadline:
            payload = self._payloads_by_id.get(effect.id)
            outcome, failed, answer = await self._workers.request(
                effect, payload
            )
        self._handle_answer(effect.id, effect.attempt, outcome, failed, answer)

    async def _query_outcome(self, effect: effects.QueryOutcome) -> None:
        outcome, failed, answer = await self._workers.query_outcome(effect)
        self._handle_answer(effect.id, effect.attempt, outcome, failed, answer)

    def _handle_answer(
        self,
        request_id: str,
        attempt: int,
        outcome: Outcome,
        failed: bool,
        answer: Any,
    ) -> None:
        self._answers_by_id[request_id] = answer
        self.handle(
            events.RequestAnswered(
                self.now, request_id, attempt, outcome, failed
            )
        )
        if request_id not in self._reply_futures_by_id:
            # The caller is gone, so nothing else would remove the answer.
            self._answers_by_id.pop(request_id, None)

    async def _forward_request(self, effect: effects.ForwardRequest) -> None:
        payload = self._payloads_by_id.get(effect.id)
        outcome, refusal, document = await self._peers.forward_request(
            effect, payload
        )
        worker, waited_s = '', 0.0
        if outcome is Outcome.OK:
            worker = document.get('worker', '')
            waited_s = document.get('waited_s', 0.0)
            if effect.id in self._reply_futures_by_id:
                self._answers_by_id[effect.id] = document['answer']
        self.handle(
            events.RequestForwarded(
                self.now, effect.id, outcome, refusal, worker, waited_s
            )
        )

    async def _forward_job(self, effect: effects.ForwardJob) -> None:
        self._handle_forwarded_reply(
            effect.reply_id, await self._peers.forward_job(effect)
        )

    async def _forward_job_act(self, effect: effects.ForwardJobAct) -> None:
        self._handle_forwarded_reply(
            effect.reply_id, await self._peers.forward_job_act(effect)
        )

    def _handle_forwarded_reply(
        self,
        reply_id: str,
        reply: tuple[Outcome, core.Refusal | None, Any],
    ) -> None:
        outcome, refusal, document = reply
        self.handle(
            events.CallForwarded(
                self.now, reply_id, outcome, document, refusal
            )
        )

    async def _send_message(self, effect: effects.SendMessage) -> None:
        if not await self._peers.send(effect):
            self.handle(events.PeerUnreachable(self.now, effect.peer))


def wall_time() -> str:
    """Return the wall-clock time in the format of RFC 3339."""
    return datetime.datetime.now(datetime.UTC).isoformat()
