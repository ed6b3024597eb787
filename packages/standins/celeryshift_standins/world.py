"""Simulation of nodes in virtual time, with fakes of what they talk to.

Nodes run the real reducer. The fakes model only what is visible at an
interface: a table service, a VM list, workers that run whatever they are
sent, and links that can be cut or go silent.
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

CALLER_LATENCY_S = _network.CALLER_LATENCY_S
PLATFORM = _network.PLATFORM
VM_LIST_DELAY_S = 3.0

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
    effects.QueryOutcome: _worker_effects.query_outcome,
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
    """Simulated data centres: nodes, workers, platform and callers."""

    def __init__(self, seed: int = 1, **options: Any) -> None:
        super().__init__(seed, HANDLERS_BY_EFFECT)
        self.options = options
        self.calls: list[Call] = []

    def add_node(self, name: str, data_centre: str) -> Node:
        """Start a node, or restart it as a new incarnation."""
        previous = self.nodes_by_name.get(name)
        incarnation = previous.incarnation + 1 if previous else 0
        options = core.Options(name, data_centre, **self.options)
        node = Node(
            name, data_centre, core.State(options), incarnation=incarnation
        )
        self.nodes_by_name[name] = node
        self._list_node_vm(name, data_centre, events.VmState.LIVE)
        self.feed(node, events.Started(self.now, f'i{incarnation}'))
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
        """Add a VM to the VM list, or update its entry."""
        self.vm_revision += 1
        self.vms_by_name[vm.name] = (self.vm_revision, vm)

    def configure(self, document: dict[str, Any]) -> None:
        """Write a configuration to the store as the next version."""
        head = self.table.rows_by_key.get(schema.CONFIG_HEAD)
        version = (head[1]['version'] if head else 0) + 1
        puts = {
            schema.CONFIG_HEAD: {'version': version},
            schema.CONFIG: {**document, 'version': version},
        }
        self.table.transact({}, puts, [], [])

    def kill(self, name: str) -> None:
        """Kill a node and its VM; the VM list shows it after a delay."""
        self.crash(name)
        node = self.nodes_by_name[name]
        gone = events.VmState.GONE

        def list_gone() -> None:
            if self.nodes_by_name[name] is node:
                self._list_node_vm(name, node.data_centre, gone)

        self.call_at(self.now + VM_LIST_DELAY_S, list_gone)

    def crash(self, name: str) -> None:
        """Kill the process of a node; its VM keeps running."""
        self.nodes_by_name[name].alive = False

    def pause(self, name: str) -> None:
        """Pause a node; events for it are deferred until it resumes."""
        node = self.nodes_by_name[name]
        node.paused = True
        node.paused_at = self.now

    def resume(self, name: str) -> None:
        """Resume a paused node and deliver the deferred events."""
        node = self.nodes_by_name[name]
        node.paused = False
        deferred, node.deferred = node.deferred, []
        for callback in deferred:
            self.call_at(self.now, callback)

    def drain(self, name: str) -> None:
        """Stop a node gracefully."""
        node = self.nodes_by_name[name]
        self.feed(node, events.DrainRequested(self.now))

    def cut(self, first: str, second: str) -> None:
        """Cut the link of two endpoints: data centres, VMs, or 'platform'."""
        self.links.cut(self.now, first, second, both_ways=True)

    def heal(self, first: str, second: str) -> None:
        """Restore the link of two endpoints."""
        self.links.heal(self.now, first, second)

    def kill_worker(self, name: str) -> None:
        """Kill a worker and everything that it runs."""
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
        """Send a request to a node; `run_s` of the payload is its run time."""
        call = Call(name, kind, team, self.now, node, payload=payload)
        self.calls.append(call)
        credentials = _credentials(queue, key)
        call.key_id = credentials.key_id

        def make_event(reply_id: str) -> events.Event:
            return events.RequestArrived(
                self.now, reply_id, name, kind, credentials
            )

        self.call_at(
            self.now + CALLER_LATENCY_S,
            lambda: self._deliver_call(call, make_event),
        )
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
        """Submit a job to a node; `run_s` of the payload is the run time."""
        call = Call(name, kind, team, self.now, node, True, payload)
        self.calls.append(call)
        credentials = _credentials(queue, key)
        call.key_id = credentials.key_id
        call.tasks = tasks
        spec = events.JobSpec(name, '', kind, tasks, payload, size)

        def make_event(reply_id: str) -> events.Event:
            return events.JobSubmitted(self.now, reply_id, spec, credentials)

        self.call_at(
            self.now + CALLER_LATENCY_S,
            lambda: self._deliver_call(call, make_event),
        )
        return call

    def request_job_act(
        self, node: str, name: str, act: str, queue: str, key: str = ''
    ) -> Call:
        """Send an act on a job, such as show or cancel, to a node."""
        call = Call(name, act, '', self.now, node)
        self.calls.append(call)
        credentials = _credentials(queue, key)
        call.key_id = credentials.key_id
        job_act = events.JobAct(act)

        def make_event(reply_id: str) -> events.Event:
            return events.JobActRequested(
                self.now, reply_id, name, job_act, credentials
            )

        self.call_at(
            self.now + CALLER_LATENCY_S,
            lambda: self._deliver_call(call, make_event),
        )
        return call

    def operate(
        self, node: str, make_event: Callable[[float, str], events.Event]
    ) -> Call:
        """Send an operator's call to a node."""
        call = Call('operator', 'operator', '', self.now, node)
        self.calls.append(call)
        self.call_at(
            self.now + CALLER_LATENCY_S,
            lambda: self._deliver_call(
                call, lambda reply: make_event(self.now, reply)
            ),
        )
        return call

    def spans(self) -> list[invariants.Span]:
        """Return the time span of every run on every worker."""
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

    def _list_node_vm(
        self, name: str, data_centre: str, state: events.VmState
    ) -> None:
        role = events.VmRole.ENTRY
        self.list_vm(events.Vm(name, role, name, data_centre, state=state))

    def _deliver_call(
        self, call: Call, make_event: Callable[[str], events.Event]
    ) -> None:
        node = self.nodes_by_name[call.node]
        is_up = node.alive
        if not is_up:
            call.ended_at = self.now
            return
        call.accepted_by = node
        reply_id = f'c{next(self.sequence)}'
        self.payloads[(node.name, reply_id)] = call.payload

        def on_reply(document: Any, refusal: core.Refusal | None) -> None:
            if call.ended_at is None:
                call.ended_at = self.now + CALLER_LATENCY_S
                call.answer = document
                call.refusal = refusal

        self.callback_by_reply[(node.name, reply_id)] = on_reply
        self.deliver(node, lambda: make_event(reply_id))


def _credentials(queue: str, key: str) -> events.Credentials:
    key_id, _, secret = key.partition('.')
    return events.Credentials(queue, key_id, secret)
