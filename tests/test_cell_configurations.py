"""Configurations of any size come into force in time on slow links."""

import asyncio

import pytest
from tests import configsim

# The size to which the operator's configuration grows on the slowest links.
MANY_ROUTES = 4000


@pytest.mark.parametrize('pause_s', [1.0, 1.5, 2.0, 2.4])
def test_a_large_answer_is_not_discarded_on_a_slow_link(pause_s):
    async def work():
        site = configsim.Site()
        await site.start()
        site.configure(MANY_ROUTES // 2)
        await asyncio.sleep(pause_s)
        site.configure(MANY_ROUTES)
        await asyncio.sleep(8.0)
        site.stop()
        return site

    site = configsim.run(work())
    assert not site.late()
    assert not any(node.count('store_lost') for node in site.nodes)
