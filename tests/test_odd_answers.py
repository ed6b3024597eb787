"""An odd answer or entry ends no process of celeryshiftd."""

import asyncio
import json

import pytest
from tests import oddvalues

from celeryshift_core import effects
from celeryshift_core import events
from celeryshift_net import exchanges
from celeryshift_node import _peers
from celeryshift_node import _platform
from celeryshift_node import _workers

VM = {
    'name': '"w0"',
    'role': '"worker"',
    'address': '"10.0.0.1:80"',
    'data_centre': '"dc1"',
    'capacity': '{"slots":4}',
}
ANSWERS = (
    *(value.encode() for value in oddvalues.texts()),
    b'',
    b'[]',
    b'{}',
    b'null',
    b'{"rows":[1],"version":1}',
    b'{"rows":{"a":1}}',
    b'{"rows":{"a":[1,2]},"version":1}',
    b'{"rows":{"a":["x",{}]},"version":1}',
    b'{"rows":{},"version":"x"}',
    b'{"vms":7,"revision":1}',
    b'{"cursor":"c","whole":true,"tasks":[{"size":[]}]}',
)
UNKNOWN = events.Outcome.UNKNOWN


class _Channels:
    """Channels that are not used, as the exchange is replaced."""

    def get(self, *_):
        return None

    def single_use(self):
        return None


def _answer_all_with(body, monkeypatch):
    async def exchange(*_):
        return 200, body

    monkeypatch.setattr(exchanges, 'exchange', exchange)


@pytest.mark.parametrize('field', [*VM, 'capacity.slots'])
@pytest.mark.parametrize('value', oddvalues.texts())
def test_an_odd_vm_does_not_hide_the_others(field, value, monkeypatch):
    if field == 'capacity.slots':
        field, value = 'capacity', f'{{"slots":{value}}}'
    odd = oddvalues.replace(VM, field, value)
    sound = oddvalues.replace(VM, 'name', '"w1"')
    body = b'{"revision":5,"vms":[' + odd + b',' + sound + b']}'
    _answer_all_with(body, monkeypatch)
    platform = _platform.Platform(_Channels(), 'http://platform')
    unreadable = []
    platform.on_unreadable = unreadable.append
    revision, vms = asyncio.run(platform.fetch_vms(0))
    # Digits or a depth that make the whole answer no JSON count as no answer.
    try:
        json.loads(body)
    except (ValueError, RecursionError):
        assert vms is None
    else:
        assert revision == 5
        assert vms[-1].name == 'w1'
        assert len(vms) + len(unreadable) == 2


@pytest.mark.parametrize('body', ANSWERS)
def test_an_odd_answer_counts_as_none(body, monkeypatch):
    _answer_all_with(body, monkeypatch)
    platform = _platform.Platform(_Channels(), 'http://platform')
    workers = _workers.Workers(_Channels(), 1.0)
    peers = _peers.Peers(_Channels(), 'token', 'n0')
    write = effects.WriteStore('o', {}, {}, (), ())
    sync = effects.SyncWorker(0, 1, 'w', 'a:1', '', (), 0.0, 1.0, 9.0)
    forward = effects.ForwardRequest('r', 'r', 'n1', 'a:1', 't', 'k', 1.0, 0)

    async def work():
        assert (await platform.fetch_vms(0))[1] is None
        outcome, _, _ = await platform.write(write)
        assert outcome is UNKNOWN
        assert not await platform.read(effects.ReadStore('o', (), ()))
        assert (await workers.sync(sync))[2] is None
        outcome, _, _ = await peers.forward_request(forward, None)
        assert outcome is UNKNOWN

    asyncio.run(work())
