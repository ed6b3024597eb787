"""Requests to the policy service through several nodes, some of which fail."""

import asyncio
import random

import attrs
import pytest
from tests import virtualtime

from celeryshift_cell import effects
from celeryshift_cell import events
from celeryshift_cellnode import _advice
from celeryshift_cellnode import _advicequeue
from celeryshift_cellnode import _schema
from celeryshift_cellnode import errors
from celeryshift_cellnode import ports

# Time that a check (a short, urgent job) has beyond its run time. The answer
# of the policy service must arrive within it.
SLACK_S = 0.5
STEP = 'a' * 16 + '.0.0'
SHORT_MS = 50.0
LONG_MS = 480.0
SEEDS = range(40)
# Time within which nodes are lost in the random runs, and the longest loss.
FAULTS_S = 20.0
MAX_LOST_S = 9.5
REQUESTS = 30
# Time between a restart and the change of the nodes that tells of it.
MAX_UNNOTICED_S = 4.0


def _request(expected_ms=SHORT_MS):
    return effects.RequestAdvice(STEP, ('w',), (0, expected_ms), expected_ms)


def _node(name, incarnation=1):
    return _schema.Node(name, name, f'{name}-{incarnation}', 'here')


class Nodes:
    """Nodes that send requests, unless they are lost."""

    def __init__(self, *names):
        self.by_name = {name: _node(name) for name in names}
        self.lost = set()
        self.sent = []
        self.duration_s = SHORT_MS / 1000
        self.scheduler = _advice.AdviceScheduler(
            self._send, lambda: self.by_name.values()
        )

    async def _send(self, address, step, workers, timeout_s):
        self.sent.append(address)
        async with asyncio.timeout(timeout_s) as bound:
            try:
                await asyncio.sleep(self.duration_s)
                while address in self.lost:
                    await asyncio.sleep(0.05)
            except asyncio.CancelledError:
                if not bound.expired():
                    raise
                raise errors.PeerError('no answer') from None
        return ports.AdviceResult({'w': 'ticket'}, 2500)

    def change(self, *nodes):
        """Add or replace nodes, as the membership does."""
        self.by_name |= {node.name: node for node in nodes}
        self.scheduler.assign_nodes()

    async def request(self, expected_ms=LONG_MS):
        """Repeat a request until it is answered, as the cell does."""
        while True:
            answer = await self.scheduler.request_advice(_request(expected_ms))
            if isinstance(answer, events.AdviceAnswered):
                return
            await asyncio.sleep(0.25)


def test_a_node_that_is_cut_off_does_not_use_up_the_time_of_a_check():
    # Policy requests sent through a node behind a network partition took
    # 1.4 s.
    async def work():
        nodes = Nodes('well', 'cut')
        nodes.lost = {'cut'}
        scheduler = nodes.scheduler
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        answer = await scheduler.request_advice(_request())
        if isinstance(answer, events.AdviceFailed):
            answer = await scheduler.request_advice(_request())
        assert isinstance(answer, events.AdviceAnswered)
        assert loop.time() - started_at < SLACK_S
        # Further requests do not use that node.
        for _ in range(5):
            await scheduler.request_advice(_request())
        assert nodes.sent.count('cut') == 1

    virtualtime.run(work())


@pytest.mark.parametrize('lost', ['bcd', 'abc', 'bd'])
def test_long_requests_are_sent_while_most_nodes_are_lost(lost):
    # With three of four nodes lost, the last one was reserved for short
    # requests, and long ones were never sent, even after the others were back.
    async def work():
        nodes = Nodes(*'abcd')
        nodes.lost = set(lost)
        await asyncio.wait_for(
            asyncio.gather(*(nodes.request() for _ in range(4))), 6.0
        )

    virtualtime.run(work())


def test_a_waiting_request_is_sent_when_a_back_off_ends():
    # Nothing assigned nodes when the back-off of one ended.
    async def work():
        nodes = Nodes(*'ab')
        nodes.lost = {'b'}
        await nodes.scheduler.request_advice(_request())
        nodes.lost.clear()
        nodes.duration_s = _advicequeue.BACKOFF_S + 1.0
        loop = asyncio.get_running_loop()
        long_ms = 1000 * nodes.duration_s
        first = loop.create_task(nodes.request(long_ms))
        second = loop.create_task(nodes.request(long_ms))
        await asyncio.sleep(_advicequeue.BACKOFF_S + 0.1)
        assert nodes.scheduler.in_flight == 2
        await asyncio.gather(first, second)

    virtualtime.run(work())


@pytest.mark.parametrize('changed', [_node('b', 2), _node('c')])
def test_a_waiting_request_is_sent_through_a_node_that_starts(changed):
    # A restarted node stayed backed off, and a new one waited for the end of
    # another request.
    async def work():
        nodes = Nodes(*'ab')
        nodes.lost = {'b'}
        await nodes.scheduler.request_advice(_request())
        nodes.duration_s = 1.0
        loop = asyncio.get_running_loop()
        calls = [loop.create_task(nodes.request(1000.0)) for _ in range(2)]
        await asyncio.sleep(0.1)
        assert nodes.scheduler.in_flight == 1
        nodes.lost.clear()
        nodes.change(changed)
        assert nodes.scheduler.in_flight == 2
        await asyncio.gather(*calls)

    virtualtime.run(work())


def test_a_request_that_is_withdrawn_leaves_its_node_to_the_next():
    async def work():
        nodes = Nodes('a')
        first, second, third = (
            asyncio.create_task(nodes.request()) for _ in range(3)
        )
        await asyncio.sleep(0.01)
        second.cancel()
        # Its node has been assigned, but it has not been resumed yet.
        first.cancel()
        await asyncio.wait_for(third, 1.0)
        assert not nodes.scheduler.waiting
        assert not nodes.scheduler.in_flight

    virtualtime.run(work())


@pytest.mark.parametrize('seed', SEEDS)
def test_every_request_is_answered_while_nodes_are_lost_at_random(seed):
    # Nodes lose power, freeze and go on, restart and join, several at once.
    rng = random.Random(seed)

    async def lose(nodes, names, lost_s, restarts):
        await asyncio.sleep(rng.uniform(0, FAULTS_S))
        nodes.lost |= names
        await asyncio.sleep(lost_s)
        nodes.lost -= names
        if restarts:
            await asyncio.sleep(rng.uniform(0, MAX_UNNOTICED_S))
            present = [nodes.by_name[name] for name in names]
            nodes.change(
                *(
                    attrs.evolve(n, incarnation=f'{n.incarnation}+')
                    for n in present
                )
            )

    async def request(nodes):
        await asyncio.sleep(rng.uniform(0, FAULTS_S))
        await nodes.request(rng.choice((SHORT_MS, LONG_MS, 1000.0)))

    async def work():
        names = 'abcdefgh'[: rng.randint(1, 8)]
        nodes = Nodes(*names)
        losses = [
            lose(
                nodes,
                set(rng.sample(names, rng.randint(1, len(names)))),
                rng.uniform(0.2, MAX_LOST_S),
                rng.random() < 0.5,
            )
            for _ in range(4)
        ]
        calls = [request(nodes) for _ in range(REQUESTS)]
        await asyncio.gather(*losses, *calls)
        assert not nodes.scheduler.waiting

    virtualtime.run(work(), FAULTS_S + 2 * MAX_LOST_S + MAX_UNNOTICED_S)
