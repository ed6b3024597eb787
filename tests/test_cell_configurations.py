"""Configurations of any size come into force in time on slow links."""

import asyncio
import base64
import zlib

import orjson
import pytest
from tests import configsim
from tests import linksim

from celeryshift_cellnode import _distribution

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


def test_a_large_answer_does_not_mark_the_store_as_slow_or_lost():
    async def work():
        site = configsim.Site(fast=0, slow=1)
        (node,) = site.nodes
        await site.start(MANY_ROUTES, settle_s=0.0)
        marks = []
        for _ in range(300):
            await asyncio.sleep(0.01)
            store = node.store
            marks.append(
                store.is_slow or store.is_unavailable or store.unanswered_s
            )
        assert node.version
        site.stop()
        return marks

    marks = configsim.run(work())
    assert max(marks) < 0.1


def test_versions_stored_during_a_read_do_not_add_up_on_a_lone_node():
    async def work():
        site = configsim.Site(fast=0, slow=1)
        site.owner = None
        await site.start()
        site.configure(MANY_ROUTES // 2)
        await asyncio.sleep(1.1)
        for _ in range(5):
            site.configure(MANY_ROUTES // 2)
            await asyncio.sleep(0.1)
        await asyncio.sleep(15.0)
        site.stop()
        return site

    assert configsim.run(work()).late() == []


@pytest.mark.parametrize('seed', (*range(10), 67, 70))
def test_configurations_are_in_force_in_time_whatever_answer_is_lost(seed):
    site = configsim.run(configsim.play(seed))
    assert site.late() == []


def test_a_notice_that_comes_during_the_last_attempt_is_not_forgotten(
    monkeypatch,
):
    monkeypatch.setattr(_distribution, 'ATTEMPTS', 1)
    monkeypatch.setattr(_distribution, 'MAX_SOURCES', 0)

    async def work():
        site = configsim.Site(fast=3, slow=0)
        await site.start()
        first, second, third = site.nodes
        site.owner = None
        for name in (configsim.STORE, second.name):
            site.network.silent.add((first.name, name))
        notice = first.configurations.handlers['configured']
        linksim.caller.set(first.name)
        await notice({'version': 2, 'address': second.node.address})
        await asyncio.sleep(0.5)
        site.configure(20)
        site.configure(20)
        await notice({'version': 3, 'address': third.node.address})
        await asyncio.sleep(1.0)
        assert first.version == 3
        site.stop()

    configsim.run(work())


def _compress(value):
    return base64.b64encode(zlib.compress(value)).decode()


@pytest.mark.parametrize(
    'answer',
    [
        {'value': 7},
        {'value': '!'},
        {'value': base64.b64encode(b'no zlib').decode()},
        {'value': _compress(b'{"version":9}')},
        {'value': _compress(configsim.document(9, 1))[:-8]},
        {'value': _compress(configsim.document(9, 1)), 'read_to': -1},
        {
            'value': _compress(configsim.document(9, 1)),
            'read_to': 1,
            'evacuations': [7],
        },
    ],
)
def test_an_odd_configuration_of_another_node_changes_nothing(answer):
    async def work():
        site = configsim.Site(fast=2, slow=0)
        await site.start()

        async def respond(name, method, target, body):
            return 200, orjson.dumps({'version': 9, **answer})

        first, second = site.nodes
        site.network.hosts[first.name].handler = respond
        notice = {'version': 9, 'address': first.node.address}
        await second.configurations.handlers['configured'](notice)
        await asyncio.sleep(5.0)
        assert second.version == 1
        site.configure(20)
        await asyncio.sleep(1.0)
        assert second.version == 2
        site.stop()

    configsim.run(work())
