"""Nodes of a simulated cell, through which it queries the policy service."""

from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from celeryshift_cell import effects
from celeryshift_cell import events
from celeryshift_cellnode import _advice
from celeryshift_cellnode import _advicequeue
from celeryshift_cellnode import _schema

if TYPE_CHECKING:
    from tests import cellsim

# Time after which the membership tells of a node that has restarted.
MAX_UNNOTICED_S = 4.0
ROUND_TRIP_S = 0.002


@attrs.define
class SimNode:
    """Node that may lose power or freeze."""

    node: _schema.Node
    # Calls hang until this time, and are refused until the second one.
    hangs_until: float = 0.0
    refuses_until: float = 0.0
    restarts: int = 0


@attrs.define
class _Queries:
    """Queries of one owner."""

    owner: 'cellsim.Owner'
    queue: _advicequeue.AdviceQueue = attrs.field(
        factory=_advicequeue.AdviceQueue
    )
    # Makes the answer to a query, by its number.
    answers: dict[int, Callable[[float], events.Event]] = attrs.field(
        factory=dict
    )


class PolicyNodes:
    """Nodes that each send one query at a time, as the owner assigns them."""

    def __init__(self, sim: 'cellsim.Sim', count: int) -> None:
        self._sim = sim
        self.nodes = {
            f'n{number}': SimNode(
                _schema.Node(f'n{number}', f'n{number}', f'{number}', 'here')
            )
            for number in range(count)
        }
        # Nodes as the owner knows them.
        self._known = [each.node for each in self.nodes.values()]
        # By owner; a former one may still send queries.
        self._queues: dict[cellsim.Owner, _Queries] = {}

    def request(
        self,
        owner: 'cellsim.Owner',
        query: effects.RequestAdvice,
        answer: Callable[[float], events.Event],
    ) -> None:
        """Send a query; ``answer`` is called with the time of its start."""
        queries = self._queues.setdefault(owner, _Queries(owner))
        queries.answers[queries.queue.add(query)] = answer
        self._assign(queries)

    def lose(
        self, names: list[str], lost_s: float, hangs: bool, restarts: bool
    ) -> None:
        """Lose some nodes at once, which restart or go on after a while."""
        until = self._sim.now + lost_s
        for name in names:
            lost = self.nodes[name]
            if hangs:
                lost.hangs_until = max(lost.hangs_until, until)
            else:
                lost.refuses_until = max(lost.refuses_until, until)
            if restarts:
                lost.restarts += 1
                lost.node = attrs.evolve(
                    lost.node, incarnation=f'{lost.node.name}-{lost.restarts}'
                )
        noticed_s = self._sim.random.uniform(0.0, MAX_UNNOTICED_S)
        self._sim.schedule(lost_s + noticed_s, self._update_known)

    def _update_known(self) -> None:
        self._known = [each.node for each in self.nodes.values()]
        for queries in self._queues.values():
            self._assign(queries)

    def _assign(self, queries: '_Queries') -> None:
        queue, sim = queries.queue, self._sim
        for assignment in queue.assign(self._known, sim.now):
            self._send(queries, assignment)
        retry_at = queue.next_retry_at(sim.now)
        if retry_at is not None:
            sim.schedule(retry_at - sim.now, lambda: self._assign(queries))

    def _send(
        self, queries: '_Queries', assignment: _advicequeue.Assignment
    ) -> None:
        sim, sent_at = self._sim, self._sim.now
        queue, owner = queries.queue, queries.owner
        query, node = assignment.request, assignment.node
        answer = queries.answers.pop(assignment.number)

        def end(is_answered: bool) -> None:
            event: events.Event
            if is_answered:
                queue.record_success(node)
                event = answer(sent_at)
            else:
                queue.record_failure(node, sim.now)
                event = events.AdviceFailed(
                    0.0, query.step, query.workers, 'no answer'
                )
            queue.release(node)
            owner.feed(event)
            self._assign(queries)

        def arrive() -> None:
            lost = self.nodes[node.name]
            is_late = sim.now < lost.hangs_until
            timeout_s = query.expected_ms / 1000 + _advice.NETWORK_MARGIN_S
            if is_late and lost.hangs_until < sent_at + timeout_s:
                # A frozen node that goes on answers late.
                sim.schedule(lost.hangs_until - sim.now, lambda: end(True))
            elif is_late:
                sim.schedule(sent_at + timeout_s - sim.now, lambda: end(False))
            else:
                end(True)

        if sim.now < self.nodes[node.name].refuses_until:
            sim.schedule(ROUND_TRIP_S, lambda: end(False))
        else:
            sim.schedule(query.expected_ms / 1000, arrive)
