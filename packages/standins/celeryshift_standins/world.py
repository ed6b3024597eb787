"""A world in virtual time: real reducers, and fakes at their interfaces.

The fakes hold only what an interface can show: a table service, a VM list,
workers without guards, and links that can be cut or go silent.
"""

from collections.abc import Callable
from typing import Any

import celeryshift_core as core
from celeryshift_core import effects
from celeryshift_core import events
from celeryshift_core import schema
from celeryshift_standins import _fakes
from celeryshift_standins import _network
from celeryshift_standins import _peer_effects
from celeryshift_standins import _store_effects
from celeryshift_standins import _tasktable
from celeryshift_standins import _worker_effects
from celeryshift_standins import invariants

CALLER_S = _network.CALLER_S
PLATFORM = _network.PLATFORM
VM_LAG_S = 3.0

Node = _fakes.Node
Worker = _fakes.Worker
Call = _fakes.Call

HANDLERS_BY_EFFECT: dict[type, _network.EffectHandler] = {
    effects.WriteStore: _store_effects.write,
    effects.ReadStore: _store_effects.read,
    effects.FetchVms: _store_effects.fetch_vms,
    effects.SyncWorker: _worker_effects.sync,
    effects.StartTask: _worker_effects.start,
    effects.StopTask: _worker_effects.stop,
    effects.ThrottleTask: _worker_effects.throttle,
    effects.SendRequest: _worker_effects.send_request,
    effects.QueryOutcome: _worker_effects.ask_outcome,
    effects.ForwardRequest: _peer_effects.forward_request,
    effects.ForwardJob: _peer_effects.forward_job,
    effects.ForwardJobAct: _peer_effects.forward_act,
    effects.SendMessage: _peer_effects.send,
    effects.AnswerRequest: _peer_effects.answer,
    effects.RefuseRequest: _peer_effects.refuse,
    effects.Reply: _peer_effects.reply,
    effects.LogChange: _peer_effects.log,
    effects.StopNode: _peer_effects.stop_node,
}


class World(_network.Network):
    """Run nodes against fakes, one event after another."""

    def __init__(self, seed: int = 1, **options: Any) -> None:
        super().__init__(seed, HANDLERS_BY_EFFECT)
        self.options = options
        self.calls: list[Call] = []

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

    def kill(self, name: str) -> None:
        """End a node and its VM at once; the VM list tells it late."""
        self.crash(name)
        node = self.nodes_by_name[name]
        gone = events.VmState.GONE

        def list_gone() -> None:
            if self.nodes_by_name[name] is node:
                self._list_entry(name, node.data_centre, gone)

        self.call_at(self.now + VM_LAG_S, list_gone)

    def crash(self, name: str) -> None:
        """End a node's process at once; its VM stays."""
        self.nodes_by_name[name].alive = False

    def pause(self, name: str) -> None:
        """Freeze a node: what reaches it waits."""
        node = self.nodes_by_name[name]
        node.paused = True
        node.paused_at = self.now

    def resume(self, name: str) -> None:
        """Let a frozen node go on with what has waited."""
        node = self.nodes_by_name[name]
        node.paused = False
        held_back, node.held_back = node.held_back, []
        for act in held_back:
            self.call_at(self.now, act)

    def drain(self, name: str) -> None:
        """Stop a node gracefully."""
        node = self.nodes_by_name[name]
        self.feed(node, events.DrainRequested(self.now))

    def cut(self, one: str, other: str) -> None:
        """Cut two ends off: names of data centres, VMs, or 'platform'."""
        self.links.cut(self.now, one, other, both=True)

    def heal(self, one: str, other: str) -> None:
        """Undo a cut."""
        self.links.heal(self.now, one, other)

    def kill_worker(self, name: str) -> None:
        """End a worker and all that it runs."""
        worker = self.workers_by_name[name]
        worker.alive = False
        worker.tasks.advance(self.now)
        for run in worker.tasks.running():
            worker.tasks.stop(self.now, run.id)

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
        call.key_id = credentials.key_id

        def make(reply_id: str) -> events.Event:
            return events.RequestArrived(
                self.now, reply_id, name, kind, credentials
            )

        self.call_at(self.now + CALLER_S, lambda: self._ask(call, make))
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
        size: core.Size | None = None,
        **payload: Any,
    ) -> Call:
        """Submit a job to a node; the payload tells the run time."""
        call = Call(name, kind, team, self.now, node, True, payload)
        self.calls.append(call)
        credentials = _credentials(queue, key)
        call.key_id = credentials.key_id
        call.tasks = tasks
        spec = events.JobSpec(name, '', kind, tasks, payload, size)

        def make(reply_id: str) -> events.Event:
            return events.JobSubmitted(self.now, reply_id, spec, credentials)

        self.call_at(self.now + CALLER_S, lambda: self._ask(call, make))
        return call

    def request_job_act(
        self, node: str, name: str, act: str, queue: str, key: str = ''
    ) -> Call:
        """Ask a node about a job."""
        call = Call(name, act, '', self.now, node)
        self.calls.append(call)
        credentials = _credentials(queue, key)
        call.key_id = credentials.key_id
        job_act = events.JobAct(act)

        def make(reply_id: str) -> events.Event:
            return events.JobActRequested(
                self.now, reply_id, name, job_act, credentials
            )

        self.call_at(self.now + CALLER_S, lambda: self._ask(call, make))
        return call

    def operate(
        self, node: str, make: Callable[[float, str], events.Event]
    ) -> Call:
        """Do an operator's act at a node."""
        call = Call('operator', 'operator', '', self.now, node)
        self.calls.append(call)
        self.call_at(
            self.now + CALLER_S,
            lambda: self._ask(call, lambda reply: make(self.now, reply)),
        )
        return call

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
        call.taken_by = node
        reply_id = f'c{next(self.count)}'
        self.payloads[(node.name, reply_id)] = call.payload

        def take(document: Any, refusal: core.Refusal | None) -> None:
            if call.ended_at is None:
                call.ended_at = self.now + CALLER_S
                call.answer = document
                call.refusal = refusal

        self.call_by_reply[(node.name, reply_id)] = take
        self.deliver(node, lambda: make(reply_id))


def _credentials(queue: str, key: str) -> events.Credentials:
    key_id, _, secret = key.partition('.')
    return events.Credentials(queue, key_id, secret)
