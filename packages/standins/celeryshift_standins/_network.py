"""Virtual time, and the links between nodes and all that they talk to."""

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

NEAR_S = 0.0005
FAR_S = 0.0015
STORE_S = 0.004
CALLER_S = 0.003
CALL_TIMEOUT_S = 2.0
FORWARD_GRACE_S = 0.25
PLATFORM = 'platform'

Node = _fakes.Node
Worker = _fakes.Worker
EffectHandler = Callable[['Network', Node, Any], None]


class Network:
    """Pass events and effects between nodes and fakes, one at a time."""

    def __init__(
        self, seed: int, handlers_by_effect: dict[type, EffectHandler]
    ) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self.table = _table.Table()
        self.vms_by_name: dict[str, tuple[int, events.Vm]] = {}
        self.vm_revision = 0
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
        self.count = itertools.count()
        self.call_by_reply: dict[tuple[str, str], Callable[..., None]] = {}
        self.polls: dict[str, list[Callable[[], None]]] = {}
        self.wakes: dict[str, float] = {}
        self.payloads: dict[tuple[str, str], dict[str, Any]] = {}
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._handlers_by_effect = handlers_by_effect

    def call_at(self, when: float, act: Callable[[], None]) -> None:
        """Do something at a time."""
        entry = (max(when, self.now), next(self.count), act)
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
            self._handlers_by_effect[type(effect)](self, node, effect)
        next_at = node.state.timers.next_at
        if next_at is not None:
            self.call_at(next_at, lambda: self._tick(node, next_at))

    def deliver(self, node: Node, make: Callable[[], events.Event]) -> None:
        """Let an event reach a node, later if the node is frozen."""
        if node.paused:
            node.held_back.append(lambda: self.deliver(node, make))
        else:
            self.feed(node, attrs.evolve(make(), now=self.now))

    def after(
        self,
        node: Node,
        delay_s: float,
        make: Callable[[], events.Event],
    ) -> None:
        """Let an event reach a node after a delay."""
        self.call_at(self.now + delay_s, lambda: self.deliver(node, make))

    def _tick(self, node: Node, at: float) -> None:
        if node.state.timers.next_at == at:
            self.deliver(node, lambda: events.Tick(self.now))

    def to_store(self, node: Node) -> bool:
        """Tell whether what a node sends the platform arrives."""
        return not self.store_down and self.links.passes(
            node.ends, (PLATFORM,), self.now
        )

    def from_store(self, node: Node, asked_at: float) -> bool:
        """Tell whether an answer of the platform reaches a node."""
        return self.links.answers((PLATFORM,), node.ends, asked_at, self.now)

    def reach(self, node: Node, worker: Worker) -> bool:
        """Tell whether what a node sends a worker arrives."""
        return (
            worker.alive
            and not worker.silent
            and self.links.passes(node.ends, worker.ends, self.now)
        )

    def hears(self, node: Node, worker: Worker, asked_at: float) -> bool:
        """Tell whether an answer of a worker reaches a node."""
        return (
            worker.alive
            and not worker.silent
            and self.links.answers(worker.ends, node.ends, asked_at, self.now)
        )

    def way(self, node: Node, worker: Worker) -> float:
        """Give the delay between a node and a worker."""
        return NEAR_S + self.links.delay_s(node.ends, worker.ends)

    def peer(self, node: Node, address: str) -> tuple[Node, float] | None:
        """Give a peer that can be reached, and the way there."""
        peer = self.nodes_by_name.get(address)
        if peer is None or not peer.alive:
            return None
        if not self.links.passes(node.ends, peer.ends, self.now):
            return None
        near = peer.data_centre == node.data_centre
        delay_s = self.links.delay_s(node.ends, peer.ends)
        return peer, delay_s + (NEAR_S if near else FAR_S)

    def resolve(
        self,
        node: Node,
        reply_id: str,
        document: Any,
        refusal: core.Refusal | None,
    ) -> None:
        """Give whoever waits for a reply what it is."""
        take = self.call_by_reply.pop((node.name, reply_id), None)
        if take is not None:
            take(document, refusal)
