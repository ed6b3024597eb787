"""Virtual time, and delivery of messages between simulated processes."""

from collections.abc import Callable
import heapq
import itertools
import random
from typing import Any

import attrs

import celeryshift_core as core
from celeryshift_core import effects
from celeryshift_core import events
from celeryshift_standins import _fakes
from celeryshift_standins import _links
from celeryshift_standins import _table

# Latencies are one-way delays: within a data centre, and between two.
LOCAL_LATENCY_S = 0.0005
REMOTE_LATENCY_S = 0.0015
STORE_ROUND_TRIP_S = 0.004
CALLER_LATENCY_S = 0.003
CALL_TIMEOUT_S = 2.0
# Added to the timeout of a request when a node forwards it.
FORWARD_GRACE_S = 0.25
PLATFORM = 'platform'

Node = _fakes.Node
Worker = _fakes.Worker
EffectHandler = Callable[['Network', Node, Any], None]


class Network:
    """Discrete-event simulation of the messages between processes.

    Scheduled callbacks run one at a time, in the order of virtual time.
    """

    def __init__(
        self, seed: int, handlers_by_effect: dict[type, EffectHandler]
    ) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self.table = _table.Table()
        self.vms_by_name: dict[str, tuple[int, events.Vm]] = {}
        self.vm_revision = 0
        # Tests set it: the named node sees the VM list up to this revision.
        self.vm_revision_by_node: dict[str, int] = {}
        self.nodes_by_name: dict[str, Node] = {}
        self.workers_by_name: dict[str, Worker] = {}
        self.links = _links.Links()
        self.store_down = False
        self.store_slow_s = 0.0
        self.answers_to_lose = 0
        self.messages = 0
        self.steps = 0
        self.on_step: list[Callable[[], None]] = []
        self.on_change: list[Callable[[Node, effects.LogChange], None]] = []
        self.on_stop: list[Callable[[Node], None]] = []
        self.sequence = itertools.count()
        self.callback_by_reply: dict[tuple[str, str], Callable[..., None]] = {}
        self.polls_by_worker: dict[str, list[Callable[[], None]]] = {}
        self.wake_at_by_worker: dict[str, float] = {}
        # By node and reply id, since events of requests don't have a payload.
        self.payloads: dict[tuple[str, str], dict[str, Any]] = {}
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._handlers_by_effect = handlers_by_effect

    def call_at(self, when: float, callback: Callable[[], None]) -> None:
        """Schedule a callback at a point of virtual time."""
        entry = (max(when, self.now), next(self.sequence), callback)
        heapq.heappush(self._queue, entry)

    def run_until(self, when: float) -> None:
        """Run the scheduled callbacks up to a point of virtual time."""
        while self._queue and self._queue[0][0] <= when:
            self.now, _, callback = heapq.heappop(self._queue)
            callback()
            self.steps += 1
            for check in self.on_step:
                check()
        self.now = max(self.now, when)

    def run(self, seconds: float) -> None:
        """Run the scheduled callbacks of the next seconds."""
        self.run_until(self.now + seconds)

    def feed(self, node: Node, event: events.Event) -> None:
        """Pass an event to the reducer of a node, and apply its effects."""
        if not node.alive:
            return
        for effect in core.reduce(node.state, event):
            self._handlers_by_effect[type(effect)](self, node, effect)
        next_at = node.state.timers.next_at
        if next_at is not None:
            self.call_at(next_at, lambda: self._tick(node, next_at))

    def deliver(
        self, node: Node, make_event: Callable[[], events.Event]
    ) -> None:
        """Deliver an event to a node, or defer it while the node is paused."""
        if node.paused:
            node.deferred.append(lambda: self.deliver(node, make_event))
        else:
            self.feed(node, attrs.evolve(make_event(), now=self.now))

    def deliver_later(
        self,
        node: Node,
        delay_s: float,
        make_event: Callable[[], events.Event],
    ) -> None:
        """Deliver an event to a node after a delay."""
        self.call_at(
            self.now + delay_s, lambda: self.deliver(node, make_event)
        )

    def _tick(self, node: Node, at: float) -> None:
        if node.state.timers.next_at == at:
            self.deliver(node, lambda: events.Tick(self.now))

    def can_reach_store(self, node: Node) -> bool:
        """Return whether a message of a node reaches the platform now."""
        return not self.store_down and self.links.passes(
            node.endpoints, (PLATFORM,), self.now
        )

    def can_store_reply(self, node: Node, called_at: float) -> bool:
        """Return whether a reply of the platform reaches a node now."""
        return self.links.passes_reply(
            (PLATFORM,), node.endpoints, called_at, self.now
        )

    def can_reach_worker(self, node: Node, worker: Worker) -> bool:
        """Return whether a message of a node reaches a worker now."""
        return (
            worker.alive
            and not worker.silent
            and self.links.passes(node.endpoints, worker.endpoints, self.now)
        )

    def can_worker_reply(
        self, node: Node, worker: Worker, called_at: float
    ) -> bool:
        """Return whether a reply of a worker reaches a node now."""
        return (
            worker.alive
            and not worker.silent
            and self.links.passes_reply(
                worker.endpoints, node.endpoints, called_at, self.now
            )
        )

    def worker_latency_s(self, node: Node, worker: Worker) -> float:
        """Return the one-way delay between a node and a worker."""
        return LOCAL_LATENCY_S + self.links.delay_s(
            node.endpoints, worker.endpoints
        )

    def find_peer(self, node: Node, address: str) -> tuple[Node, float] | None:
        """Return a peer and the delay to it, or None if it is unreachable."""
        peer = self.nodes_by_name.get(address)
        if peer is None or not peer.alive:
            return None
        if not self.links.passes(node.endpoints, peer.endpoints, self.now):
            return None
        is_local = peer.data_centre == node.data_centre
        delay_s = self.links.delay_s(node.endpoints, peer.endpoints)
        return peer, delay_s + (
            LOCAL_LATENCY_S if is_local else REMOTE_LATENCY_S
        )

    def complete_call(
        self,
        node: Node,
        reply_id: str,
        document: Any,
        refusal: core.Refusal | None,
    ) -> None:
        """Pass a reply to the callback that waits for it."""
        callback = self.callback_by_reply.pop((node.name, reply_id), None)
        if callback is not None:
            callback(document, refusal)
