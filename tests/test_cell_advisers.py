"""Requests to the policy service through several nodes, some of which fail."""

import asyncio

from tests import virtualtime

from celeryshift_cell import effects
from celeryshift_cell import events
from celeryshift_cellnode import _advice
from celeryshift_cellnode import errors
from celeryshift_cellnode import ports

# Time that a check (a short, urgent job) has beyond its run time. The answer
# of the policy service must arrive within it.
SLACK_S = 0.5
STEP = 'a' * 16 + '.0.0'


def _request(expected_ms=50.0):
    return effects.RequestAdvice(STEP, ('w',), (0, expected_ms), expected_ms)


def test_a_node_that_is_cut_off_does_not_use_up_the_time_of_a_check():
    # Policy requests sent through a node behind a network partition took
    # 1.4 s.
    addresses = []

    async def ask(address, step, workers, timeout_s):
        addresses.append(address)
        if address == 'cut':
            await asyncio.sleep(timeout_s)
            raise errors.PeerError('no answer')
        return ports.AdviceResult({'w': 'ticket'}, 2500)

    async def work():
        scheduler = _advice.AdviceScheduler(ask, lambda: ['well', 'cut'])
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
        assert addresses.count('cut') == 1

    virtualtime.run(work())
