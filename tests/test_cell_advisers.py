"""Questions to the policy service, spread over nodes of which some fail."""

import asyncio

from celeryshift_cell import effects
from celeryshift_cell import events
from celeryshift_cellnode import _advisers
from celeryshift_cellnode import errors
from celeryshift_cellnode import ports

# What a check has beyond its work, with which a question must be done.
SLACK_S = 0.5
STEP = 'a' * 16 + '.0.0'


def _question(expected_ms=50.0):
    return effects.RequestAdvice(STEP, ('w',), (0, expected_ms), expected_ms)


def test_a_node_that_is_cut_off_does_not_use_up_the_time_of_a_check():
    # Seen on the bench (scale-1 of apmn-escala-grown): checks waited 1.4 s
    # for a question sent through a node behind a cut.
    asked = []

    async def ask(address, step, workers, timeout_s):
        asked.append(address)
        if address == 'cut':
            await asyncio.sleep(timeout_s)
            raise errors.PeerError('no answer')
        return ports.AdviceResult({'w': 'ticket'}, 2500)

    async def work():
        advisers = _advisers.Advisers(ask, lambda: ['well', 'cut'])
        loop = asyncio.get_running_loop()
        began = loop.time()
        answer = await advisers.ask(_question())
        if isinstance(answer, events.AdviceFailed):
            answer = await advisers.ask(_question())
        assert isinstance(answer, events.AdviceAnswered)
        assert loop.time() - began < SLACK_S
        # It is not asked through that node again.
        for _ in range(5):
            await advisers.ask(_question())
        assert asked.count('cut') == 1

    asyncio.run(work())
