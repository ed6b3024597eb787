"""A world in virtual time: real reducers, and fakes at their interfaces.

The fakes hold only what an interface can show: a table service, a VM list,
workers without guards, and links that can be cut or go silent.
"""

from collections.abc import Callable
import heapq
import itertools
import random
from typing import Any
from typing import ClassVar

import attrs

import celeryshift_core as core
from celeryshift_core import effects
from celeryshift_core import events
from celeryshift_core import schema
from celeryshift_standins import _table
from celeryshift_standins import _tasktable
from celeryshift_standins import invariants

NEAR_S = 0.0005
FAR_S = 0.0015
STORE_S = 0.004
CALLER_S = 0.003
CALL_TIMEOUT_S = 2.0
VM_LAG_S = 3.0
FORWARD_GRACE_S = 0.25
PLATFORM = 'platform'

Outcome = events.Outcome


@attrs.define(eq=False)
class Node:
    """Hold a node: its reducer's state, and what befalls it."""

    name: str
    data_centre: str
    state: core.State
    alive: bool = True
    paused: bool = False
    held_back: list[Callable[[], None]] = attrs.field(factory=list)
    counter: int = 0


@attrs.define(eq=False)
class Worker:
    """Hold a worker: its tasks, and what befalls it."""

    vm: events.Vm
    tasks: _tasktable.TaskTable
    alive: bool = True
    silent: bool = False
    refuses: bool = False
    starts: int = 0


@attrs.define(eq=False)
class Call:
    """Hold what a caller asked for, and the final answer."""

    name: str
    kind: str
    team: str
    sent_at: float
    node: str
    job: bool = False
    payload: dict[str, Any] = attrs.field(factory=dict)
    ended_at: float | None = None
    answer: dict[str, Any] | None = None
    refusal: core.Refusal | None = None

    @property
    def waited_s(self) -> float | None:
        """Give the time from sending to the final answer."""
        return None if self.ended_at is None else self.ended_at - self.sent_at


class World:
    """Run nodes against fakes, one event after another."""

    def __init__(self, seed: int = 1, **options: Any) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self.options = options
        self.table = _table.Table()
        self.vms_by_name: dict[str, tuple[int, events.Vm]] = {}
        self.vm_revision = 0
        self.vm_revision_by_node: dict[str, int] = {}
        self.nodes_by_name: dict[str, Node] = {}
        self.workers_by_name: dict[str, Worker] = {}
        self.calls: list[Call] = []
        self.cuts: set[frozenset[str]] = set()
        self.store_down = False
        self.store_slow_s = 0.0
        self.answers_to_lose = 0
        self.messages = 0
        self.steps = 0
        self.on_step: list[Callable[[], None]] = []
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._count = itertools.count()
        self._call_by_reply: dict[tuple[str, str], Callable[..., None]] = {}
        self._polls: dict[str, list[Callable[[], None]]] = {}
        self._payloads: dict[tuple[str, str], dict[str, Any]] = {}

    # Set-up.

    def add_node(self, name: str, data_centre: str) -> Node:
        """Start a node, or start it again as another incarnation."""
        before = self.nodes_by_name.get(name)
        count = before.counter + 1 if before else 0
        options = core.Options(name, data_centre, **self.options)
        node = Node(name, data_centre, core.State(options), counter=count)
        self.nodes_by_name[name] = node
        self._list_entry(name, data_centre, events.VmState.LIVE)
        self.feed(node, events.Started(self.now, f'i{count}'))
        return node

    def add_worker(
        self,
        name: str,
        data_centre: str,
        upstream: str = 'coding',
        capacity: core.Size | None = None,
        rack: str = 'r0',
    ) -> Worker:
        """Start a worker and put it on the VM list."""
        capacity = capacity or core.Size(8, 32_000, 131_072, 0)
        vm = events.Vm(
            name,
            events.VmRole.WORKER,
            name,
            data_centre,
            rack,
            upstream,
            events.VmState.LIVE,
            capacity,
        )
        worker = Worker(vm, _tasktable.TaskTable(f'{name}-0'))
        self.workers_by_name[name] = worker
        self.list_vm(vm)
        return worker

    def list_vm(self, vm: events.Vm) -> None:
        """Put a VM on the list, or change what the list says of it."""
        self.vm_revision += 1
        self.vms_by_name[vm.name] = (self.vm_revision, vm)

    def configure(self, document: dict[str, Any]) -> None:
        """Put a configuration into the store, one version on."""
        head = self.table.rows_by_key.get(schema.CONFIG_HEAD)
        version = (head[1]['version'] if head else 0) + 1
        puts = {
            schema.CONFIG_HEAD: {'version': version},
            schema.CONFIG: {**document, 'version': version},
        }
        self.table.transact({}, puts, [], [])

    # Time.

    def at(self, when: float, act: Callable[[], None]) -> None:
        """Do something at a time."""
        entry = (max(when, self.now), next(self._count), act)
        heapq.heappush(self._queue, entry)

    def run_until(self, when: float) -> None:
        """Let time pass."""
        while self._queue and self._queue[0][0] <= when:
            self.now, _, act = heapq.heappop(self._queue)
            act()
            self.steps += 1
            for check in self.on_step:
                check()
        self.now = max(self.now, when)

    def run(self, seconds: float) -> None:
        """Let a number of seconds pass."""
        self.run_until(self.now + seconds)

    def feed(self, node: Node, event: events.Event) -> None:
        """Give an event to a node, and carry out what follows."""
        if not node.alive:
            return
        for effect in core.reduce(node.state, event):
            self._PERFORMERS[type(effect)](self, node, effect)
        next_at = node.state.timers.next_at
        if next_at is not None:
            self.at(next_at, lambda: self._tick(node, next_at))

    # Faults.

    def kill(self, name: str) -> None:
        """End a node and its VM at once; the VM list tells it late."""
        self.crash(name)
        node = self.nodes_by_name[name]
        gone = events.VmState.GONE

        def list_gone() -> None:
            if self.nodes_by_name[name] is node:
                self._list_entry(name, node.data_centre, gone)

        self.at(self.now + VM_LAG_S, list_gone)

    def crash(self, name: str) -> None:
        """End a node's process at once; its VM stays."""
        self.nodes_by_name[name].alive = False

    def pause(self, name: str) -> None:
        """Freeze a node: what reaches it waits."""
        self.nodes_by_name[name].paused = True

    def resume(self, name: str) -> None:
        """Let a frozen node go on with what has waited."""
        node = self.nodes_by_name[name]
        node.paused = False
        held_back, node.held_back = node.held_back, []
        for act in held_back:
            self.at(self.now, act)

    def drain(self, name: str) -> None:
        """Stop a node gracefully."""
        node = self.nodes_by_name[name]
        self.feed(node, events.DrainRequested(self.now))

    def cut(self, one: str, other: str) -> None:
        """Cut two ends off: names of data centres, VMs, or 'platform'."""
        self.cuts.add(frozenset((one, other)))

    def heal(self, one: str, other: str) -> None:
        """Undo a cut."""
        self.cuts.discard(frozenset((one, other)))

    def kill_worker(self, name: str) -> None:
        """End a worker and all that it runs."""
        worker = self.workers_by_name[name]
        worker.alive = False
        worker.tasks.advance(self.now)
        for run in worker.tasks.running():
            worker.tasks.stop(self.now, run.id)

    # Callers.

    def request(
        self,
        node: str,
        name: str,
        kind: str,
        queue: str,
        key: str = '',
        team: str = '',
        **payload: Any,
    ) -> Call:
        """Send a request to a node; the payload tells the run time."""
        call = Call(name, kind, team, self.now, node, payload=payload)
        self.calls.append(call)
        credentials = _credentials(queue, key)

        def make(reply_id: str) -> events.Event:
            return events.RequestArrived(
                self.now, reply_id, name, kind, credentials
            )

        self.at(self.now + CALLER_S, lambda: self._ask(call, make))
        return call

    def submit(
        self,
        node: str,
        name: str,
        kind: str,
        queue: str,
        key: str = '',
        team: str = '',
        tasks: int = 1,
        **payload: Any,
    ) -> Call:
        """Submit a job to a node; the payload tells the run time."""
        call = Call(name, kind, team, self.now, node, True, payload)
        self.calls.append(call)
        credentials = _credentials(queue, key)
        spec = events.JobSpec(name, '', kind, tasks, payload)

        def make(reply_id: str) -> events.Event:
            return events.JobSubmitted(self.now, reply_id, spec, credentials)

        self.at(self.now + CALLER_S, lambda: self._ask(call, make))
        return call

    def ask_job(
        self, node: str, name: str, act: str, queue: str, key: str = ''
    ) -> Call:
        """Ask a node about a job."""
        call = Call(name, act, '', self.now, node)
        credentials = _credentials(queue, key)
        job_act = events.JobAct(act)

        def make(reply_id: str) -> events.Event:
            return events.JobAsked(
                self.now, reply_id, name, job_act, credentials
            )

        self.at(self.now + CALLER_S, lambda: self._ask(call, make))
        return call

    def operate(
        self, node: str, make: Callable[[float, str], events.Event]
    ) -> Call:
        """Do an operator's act at a node."""
        call = Call('operator', 'operator', '', self.now, node)
        self.at(
            self.now + CALLER_S,
            lambda: self._ask(call, lambda reply: make(self.now, reply)),
        )
        return call

    # What really happened.

    def spans(self) -> list[invariants.Span]:
        """List what each worker ran, and when."""
        spans = []
        for name, worker in self.workers_by_name.items():
            worker.tasks.advance(self.now)
            spans += [
                invariants.Span(
                    run.id,
                    name,
                    run.team,
                    run.size['slots'],
                    run.started_at,
                    run.ended_at,
                )
                for run in worker.tasks.history
            ]
        return spans

    def _list_entry(
        self, name: str, data_centre: str, state: events.VmState
    ) -> None:
        role = events.VmRole.ENTRY
        self.list_vm(events.Vm(name, role, name, data_centre, state=state))

    def _ask(self, call: Call, make: Callable[[str], events.Event]) -> None:
        node = self.nodes_by_name[call.node]
        node_is_up = node.alive
        if not node_is_up:
            call.ended_at = self.now
            return
        reply_id = f'c{next(self._count)}'
        self._payloads[(node.name, reply_id)] = call.payload

        def take(document: Any, refusal: core.Refusal | None) -> None:
            if call.ended_at is None:
                call.ended_at = self.now + CALLER_S
                call.answer = document
                call.refusal = refusal

        self._call_by_reply[(node.name, reply_id)] = take
        self._deliver(node, lambda: make(reply_id))

    def _deliver(self, node: Node, make: Callable[[], events.Event]) -> None:
        """Let an event reach a node, later if the node is frozen."""
        if node.paused:
            node.held_back.append(lambda: self._deliver(node, make))
        else:
            self.feed(node, attrs.evolve(make(), now=self.now))

    def _after(
        self,
        node: Node,
        delay_s: float,
        make: Callable[[], events.Event],
    ) -> None:
        self.at(self.now + delay_s, lambda: self._deliver(node, make))

    def _tick(self, node: Node, at: float) -> None:
        if node.state.timers.next_at == at:
            self._deliver(node, lambda: events.Tick(self.now))

    def _is_cut(self, *ends: str) -> bool:
        pairs = itertools.combinations(ends, 2)
        return any(frozenset(pair) in self.cuts for pair in pairs)

    def _cut_from_store(self, node: Node) -> bool:
        return self.store_down or self._is_cut(
            node.name, node.data_centre, PLATFORM
        )

    def _write_store(self, node: Node, effect: effects.WriteStore) -> None:
        def answer(outcome: Outcome, version: int, rows: Any) -> Any:
            return lambda: events.StoreWritten(
                self.now, effect.op_id, outcome, version, rows
            )

        def apply() -> None:
            if self._cut_from_store(node):
                lost = answer(Outcome.UNKNOWN, 0, {})
                self._after(node, CALL_TIMEOUT_S, lost)
                return
            found = self.table.transact(
                effect.checks,
                effect.puts,
                list(effect.deletes),
                list(effect.prefixes),
            )
            if self.answers_to_lose > 0:
                self.answers_to_lose -= 1
                lost = answer(Outcome.UNKNOWN, 0, {})
                self._after(node, CALL_TIMEOUT_S, lost)
                return
            outcome = Outcome.OK if found.ok else Outcome.REFUSED
            reply = answer(outcome, found.version, _rows(found))
            self._after(node, STORE_S / 2, reply)

        self.at(self.now + STORE_S / 2 + self.store_slow_s, apply)

    def _read_store(self, node: Node, effect: effects.ReadStore) -> None:
        def apply() -> None:
            if self._cut_from_store(node):
                self._after(
                    node,
                    CALL_TIMEOUT_S,
                    lambda: events.StoreRead(self.now, effect.op_id, None),
                )
                return
            found = self.table.read(list(effect.keys), list(effect.prefixes))
            rows = _rows(found)
            self._after(
                node,
                STORE_S / 2,
                lambda: events.StoreRead(self.now, effect.op_id, rows),
            )

        self.at(self.now + STORE_S / 2 + self.store_slow_s, apply)

    def _fetch_vms(self, node: Node, effect: effects.FetchVms) -> None:
        if self._cut_from_store(node):
            self._after(
                node,
                CALL_TIMEOUT_S,
                lambda: events.VmsFetched(self.now, 0, None),
            )
            return
        latest = self.vm_revision_by_node.get(node.name, self.vm_revision)
        changed = [
            vm
            for revision, vm in self.vms_by_name.values()
            if effect.revision < revision <= latest
        ]
        self._after(
            node,
            STORE_S,
            lambda: events.VmsFetched(self.now, latest, changed),
        )

    def _reach(self, node: Node, worker: Worker) -> bool:
        return (
            worker.alive
            and not worker.silent
            and not self._is_cut(
                node.name,
                node.data_centre,
                worker.vm.name,
                worker.vm.data_centre,
            )
        )

    def _sync_worker(self, node: Node, effect: effects.SyncWorker) -> None:
        worker = self.workers_by_name[effect.worker]
        name = worker.vm.name
        until = self.now + effect.wait_s

        def answer(cursor: str, whole: bool, reports: Any) -> Any:
            return lambda: events.WorkerSynced(
                self.now,
                effect.slice,
                effect.epoch,
                effect.worker,
                cursor,
                reports,
                whole,
            )

        def poll() -> None:
            if not self._reach(node, worker):
                left_s = max(0.0, until - self.now) + CALL_TIMEOUT_S
                self._after(node, left_s, answer('', False, None))
                return
            worker.tasks.advance(self.now)
            if self.now < until and not worker.tasks.has_news(effect.cursor):
                self._polls.setdefault(name, []).append(poll)
                due = worker.tasks.next_at or until
                self.at(min(until, due), lambda: self._wake(name))
                return
            cursor, whole, runs = worker.tasks.sync(
                self.now, effect.cursor, effect.lease_s, []
            )
            reports = [_report(run) for run in runs]
            self._after(node, NEAR_S, answer(cursor, whole, reports))

        def begin() -> None:
            if self._reach(node, worker):
                worker.tasks.sync(
                    self.now,
                    effect.cursor,
                    effect.lease_s,
                    list(effect.acknowledged),
                )
            poll()

        if self.now >= effect.deadline:
            self._after(node, 0.0, answer('', False, None))
        else:
            self.messages += 1
            self.at(self.now + NEAR_S, begin)

    def _wake(self, name: str) -> None:
        for poll in self._polls.pop(name, []):
            poll()

    def _start_task(self, node: Node, effect: effects.StartTask) -> None:
        worker = self.workers_by_name[effect.worker]

        def answer(outcome: Outcome) -> Any:
            return lambda: events.TaskStarted(
                self.now,
                effect.slice,
                effect.epoch,
                effect.worker,
                effect.task,
                outcome,
            )

        def begin() -> None:
            if not self._reach(node, worker):
                self._after(node, CALL_TIMEOUT_S, answer(Outcome.UNKNOWN))
            elif worker.refuses:
                self._after(node, NEAR_S, answer(Outcome.REFUSED))
            else:
                payload = effect.payload or {}
                worker.tasks.start(
                    self.now,
                    effect.task,
                    effect.team,
                    effect.kind,
                    attrs.asdict(effect.size),
                    min(payload.get('run_s', 0.0), effect.max_run_s),
                    effect.lease_s,
                    payload.get('fail', False),
                )
                worker.starts += 1
                self._watch(worker)
                self._after(node, NEAR_S, answer(Outcome.OK))

        if self.now >= effect.deadline:
            self._after(node, 0.0, answer(Outcome.UNSENT))
        else:
            self.messages += 1
            self.at(self.now + NEAR_S, begin)

    def _stop_task(self, node: Node, effect: effects.StopTask) -> None:
        worker = self.workers_by_name[effect.worker]

        def begin() -> None:
            reached = self._reach(node, worker)
            if reached:
                worker.tasks.stop(self.now, effect.task)
                self._wake(worker.vm.name)
            outcome = Outcome.OK if reached else Outcome.UNKNOWN
            self._after(
                node,
                NEAR_S if reached else CALL_TIMEOUT_S,
                lambda: events.TaskStopped(
                    self.now,
                    effect.slice,
                    effect.epoch,
                    effect.worker,
                    effect.task,
                    outcome,
                ),
            )

        self.messages += 1
        self.at(self.now + NEAR_S, begin)

    def _watch(self, worker: Worker) -> None:
        """Wake the polls of a worker when some run may have ended."""
        name = worker.vm.name
        self._wake(name)
        if worker.tasks.next_at is not None:
            self.at(worker.tasks.next_at, lambda: self._wake(name))

    def _send_request(self, node: Node, effect: effects.SendRequest) -> None:
        worker = self.workers_by_name[effect.worker]

        def answer(outcome: Outcome, failed: bool = False) -> Any:
            return lambda: events.RequestAnswered(
                self.now, effect.id, effect.attempt, outcome, failed
            )

        def begin() -> None:
            if not self._reach(node, worker):
                lost = answer(Outcome.UNKNOWN)
                self._after(node, effect.timeout_s, lost)
                return
            if worker.refuses:
                self._after(node, NEAR_S, answer(Outcome.REFUSED))
                return
            payload = self._payloads.get((node.name, effect.id), {})
            run = worker.tasks.start(
                self.now,
                effect.task,
                effect.team,
                effect.kind,
                attrs.asdict(effect.size),
                min(payload.get('run_s', 0.0), effect.timeout_s),
                None,
                payload.get('fail', False),
            )
            worker.starts += 1
            self.at(run.ends_at, lambda: end(run))

        def end(run: _tasktable.Run) -> None:
            worker.tasks.advance(self.now)
            worker.tasks.forget(run.id)
            if self._reach(node, worker):
                failed = run.phase is _tasktable.Phase.FAILED
                self._after(node, NEAR_S, answer(Outcome.OK, failed))
            else:
                left_s = run.started_at + effect.timeout_s - self.now
                lost = answer(Outcome.UNKNOWN)
                self._after(node, max(0.0, left_s), lost)

        if self.now >= effect.deadline:
            self._after(node, 0.0, answer(Outcome.UNSENT))
        else:
            self.messages += 1
            self.at(self.now + NEAR_S, begin)

    def _ask_outcome(self, node: Node, effect: effects.AskOutcome) -> None:
        worker = self.workers_by_name[effect.worker]
        run = worker.tasks.runs_by_id.get(effect.task)
        known = run is not None and self._reach(node, worker)
        failed = bool(known and run and run.will_fail)
        outcome = Outcome.OK if known else Outcome.UNKNOWN
        wait_s = max(0.0, run.ends_at - self.now) if known and run else 0.0
        self._after(
            node,
            wait_s + 2 * NEAR_S,
            lambda: events.RequestAnswered(
                self.now, effect.id, effect.attempt, outcome, failed
            ),
        )

    def _peer(self, node: Node, address: str) -> tuple[Node, float] | None:
        peer = self.nodes_by_name.get(address)
        if peer is None or not peer.alive:
            return None
        if self._is_cut(
            node.name, node.data_centre, peer.name, peer.data_centre
        ):
            return None
        near = peer.data_centre == node.data_centre
        return peer, NEAR_S if near else FAR_S

    def _send_peer(self, node: Node, effect: effects.SendPeer) -> None:
        self.messages += 1
        found = self._peer(node, effect.address)
        if found is None or found[0].state.node != effect.peer:
            self._after(
                node,
                CALL_TIMEOUT_S,
                lambda: events.PeerUnreachable(self.now, effect.peer),
            )
            return
        peer, delay_s = found
        sender = node.state.node
        self._after(
            peer,
            delay_s,
            lambda: events.PeerMessageArrived(
                self.now, sender, effect.message
            ),
        )

    def _hand_over(
        self,
        node: Node,
        address: str,
        timeout_s: float,
        make: Callable[[str], events.Event],
        finish: Callable[..., events.Event],
        payload: dict[str, Any],
    ) -> None:
        """Pass a call on to a peer, and its reply back."""
        self.messages += 1
        found = self._peer(node, address)
        if found is None:
            self._after(node, NEAR_S, lambda: finish(Outcome.UNSENT))
            return
        peer, delay_s = found
        reply_id = f'p{next(self._count)}'
        self._payloads[(peer.name, reply_id)] = payload
        answered: list[bool] = []

        def reply(outcome: Outcome, *rest: Any) -> None:
            if not answered:
                answered.append(True)
                self._deliver(node, lambda: finish(outcome, *rest))

        def take(document: Any, refusal: core.Refusal | None) -> None:
            if self._peer(peer, node.name) is not None:
                outcome = Outcome.REFUSED if refusal else Outcome.OK
                self.at(
                    self.now + delay_s,
                    lambda: reply(outcome, document, refusal),
                )

        self._call_by_reply[(peer.name, reply_id)] = take
        self._after(peer, delay_s, lambda: make(reply_id))
        self.at(self.now + timeout_s, lambda: reply(Outcome.UNKNOWN))

    def _forward_request(
        self, node: Node, effect: effects.ForwardRequest
    ) -> None:
        def make(reply_id: str) -> events.Event:
            return events.RequestArrived(
                self.now,
                reply_id,
                effect.name,
                effect.kind,
                None,
                effect.team,
                effect.timeout_s,
                effect.hops,
            )

        def finish(
            outcome: Outcome,
            document: Any = None,
            refusal: core.Refusal | None = None,
        ) -> events.Event:
            return events.RequestForwarded(
                self.now, effect.id, outcome, refusal
            )

        payload = self._payloads.get((node.name, effect.id), {})
        timeout_s = effect.timeout_s + FORWARD_GRACE_S
        self._hand_over(node, effect.address, timeout_s, make, finish, payload)

    def _forward_job(self, node: Node, effect: effects.ForwardJob) -> None:
        def make(reply_id: str) -> events.Event:
            return events.JobSubmitted(
                self.now, reply_id, effect.spec, None, effect.hops
            )

        self._forward_call(node, effect, make)

    def _forward_act(self, node: Node, effect: effects.ForwardJobAct) -> None:
        def make(reply_id: str) -> events.Event:
            return events.JobAsked(
                self.now,
                reply_id,
                effect.job,
                effect.act,
                None,
                effect.team,
                effect.hops,
            )

        self._forward_call(node, effect, make)

    def _forward_call(
        self, node: Node, effect: Any, make: Callable[[str], events.Event]
    ) -> None:
        def finish(
            outcome: Outcome,
            document: Any = None,
            refusal: core.Refusal | None = None,
        ) -> events.Event:
            return events.CallForwarded(
                self.now, effect.reply_id, outcome, document, refusal
            )

        timeout_s = 4 * CALL_TIMEOUT_S
        self._hand_over(node, effect.address, timeout_s, make, finish, {})

    def _resolve(
        self,
        node: Node,
        reply_id: str,
        document: Any,
        refusal: core.Refusal | None,
    ) -> None:
        take = self._call_by_reply.pop((node.name, reply_id), None)
        if take is not None:
            take(document, refusal)

    def _answer(self, node: Node, effect: effects.AnswerRequest) -> None:
        document = {'worker': effect.worker, 'waited_s': effect.waited_s}
        self._resolve(node, effect.id, document, None)

    def _refuse(self, node: Node, effect: effects.RefuseRequest) -> None:
        self._resolve(node, effect.id, None, effect.refusal)

    def _reply(self, node: Node, effect: effects.Reply) -> None:
        self._resolve(node, effect.reply_id, effect.document, effect.refusal)

    def _stop_node(self, node: Node, effect: effects.StopNode) -> None:
        node.alive = False

    def _ignore(self, node: Node, effect: effects.Effect) -> None:
        """Nothing to do."""

    _PERFORMERS: ClassVar[dict[type, Callable[..., None]]] = {
        effects.WriteStore: _write_store,
        effects.ReadStore: _read_store,
        effects.FetchVms: _fetch_vms,
        effects.SyncWorker: _sync_worker,
        effects.StartTask: _start_task,
        effects.StopTask: _stop_task,
        effects.SendRequest: _send_request,
        effects.AskOutcome: _ask_outcome,
        effects.ForwardRequest: _forward_request,
        effects.ForwardJob: _forward_job,
        effects.ForwardJobAct: _forward_act,
        effects.SendPeer: _send_peer,
        effects.AnswerRequest: _answer,
        effects.RefuseRequest: _refuse,
        effects.Reply: _reply,
        effects.LogChange: _ignore,
        effects.StopNode: _stop_node,
    }


def _credentials(queue: str, key: str) -> events.Credentials:
    key_id, _, secret = key.partition('.')
    return events.Credentials(queue, key_id, secret)


def _rows(answer: _table.Answer) -> dict[str, schema.Row]:
    return {
        key: schema.Row(version, value)
        for key, (version, value) in answer.rows.items()
    }


def _report(run: _tasktable.Run) -> events.TaskReport:
    return events.TaskReport(
        run.id,
        events.TaskPhase(run.phase.value),
        run.kind,
        run.team,
        core.Size(**run.size),
        run.request,
    )
