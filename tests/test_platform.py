"""Decoding of settings, store entries, jobs and answers of workers."""

import asyncio
import time
from unittest import mock

from aiohttp import web
import pytest

from celeryshift_cell import effects
from celeryshift_cell import events
from celeryshift_cell import model
from celeryshift_cellnode import errors
from celeryshift_net import exchanges
from celeryshift_net import pools
from celeryshift_platform import _decode
from celeryshift_platform import _settings
from celeryshift_platform import _workers

SETTINGS = {
    'node': 'front-a-1',
    'ip': '10.1.0.17',
    'zone': 'a',
    'listen': {'front': '10.1.0.17:8183', 'ready': '10.1.0.17:8184'},
    'internal_ports': [7420, 7435],
    'bounds': {'max_hold_ms': 5000, 'gang_timeout_ms': 3000},
    'advice': '10.200.1.9:8182',
    'platform': {'address': '10.200.1.7:8182'},
    'unheard_of': {'new': 1},
}
WORKER = (
    b'{"service":"s","address":"10.0.0.9:80","zone":"a","state":"ready",'
    b'"capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1-3"],'
    b'"clock_ms":482113,"born":1779324295004}'
)


class DecisionLog:
    """Log callback that records the names of decisions."""

    def __init__(self) -> None:
        self.decisions: list[str] = []

    def __call__(self, decision: str, **fields: object) -> None:
        self.decisions.append(decision)


def test_settings_are_decoded_into_names_of_our_own():
    settings = _settings.decode(SETTINGS)
    assert settings.node.data_centre == 'a'
    assert settings.node.peer_port == 7420
    assert settings.node.cell.max_lease_s == 5.0
    assert settings.callers == _settings.Address('10.1.0.17', 8183)
    assert settings.store_address == '10.200.1.7:8182'


def test_every_mistake_in_the_settings_is_told_at_once():
    broken = {**SETTINGS, 'node': 7, 'listen': {'front': 'nowhere'}}
    with pytest.raises(errors.SettingsError) as caught:
        _settings.decode(broken)
    for path in ('node', 'listen.front', 'listen.ready'):
        assert path in str(caught.value)


def test_a_worker_is_decoded():
    entry = _decode.Decoder(DecisionLog()).worker('i-1', WORKER)
    assert entry is not None
    assert entry.incarnation == 1779324295004
    assert entry.capacity == model.Size(16000, 32768, 0)
    assert (entry.kind, entry.rack) == ('a', 'r1-3')


@pytest.mark.parametrize(
    ('status', 'body', 'clock_ms'),
    [
        (200, b'{"clock_ms":482113}', 482113),
        (409, b'{"clock_ms":482113,"reason":"late"}', 482113),
        (503, b'', None),
        (400, b'[]', None),
        (200, b'{"clock_ms":"soon"}', None),
    ],
)
def test_the_clock_is_decoded_from_every_answer_that_has_it(
    monkeypatch, status, body, clock_ms
):
    async def exchange(*_):
        return status, body

    monkeypatch.setattr(exchanges, 'exchange', exchange)
    workers = _workers.Workers(mock.Mock())
    start = effects.StartRun('i-1', 1, 'a:80', 't', 1, '', '', '', 5)
    stop = effects.StopRun('i-1', 1, 'a:80', 't', 1)
    started = asyncio.run(workers.start(start, 1, time.monotonic))
    stopped = asyncio.run(workers.stop(stop, 1, time.monotonic))
    assert started.clock_ms == stopped.clock_ms == clock_ms


@pytest.mark.parametrize(
    'value',
    [
        b'',
        b'\xff\xfe',
        b'[]',
        b'{}',
        WORKER.replace(b'"ready"', b'"asleep"'),
        WORKER.replace(b'16000', b'"many"'),
        WORKER.replace(b'"s"', b'null'),
    ],
)
def test_an_entry_that_cannot_be_read_names_no_worker(value):
    decision_log = DecisionLog()
    assert _decode.Decoder(decision_log).worker('i-1', value) is None
    assert decision_log.decisions == ['worker_unreadable']


def test_a_configuration_that_cannot_be_read_changes_nothing():
    decision_log = DecisionLog()
    assert (
        _decode.Decoder(decision_log).configuration(b'{"version":3}') is None
    )
    assert decision_log.decisions == ['configuration_unreadable']


def test_poor_names_of_the_wire_become_ours():
    document = {
        'spec': 'x',
        'steps': [
            {
                'count': 2,
                'cpu': 500,
                'affinity': 'r1-3',
                'anti_affinity': 1,
                'allow_duplicates': True,
                'fills': True,
            }
        ],
    }
    (step,) = _decode.decode_job(document, 'a' * 16, 'q', 't', 5).steps
    assert step.near_rack == 'r1-3'
    assert step.most_per_worker == 1
    assert step.allows_copies
    assert step.is_filler


@pytest.mark.parametrize(
    'document',
    [
        None,
        [],
        {},
        {'steps': 3},
        {'steps': [{}]},
        {'steps': [{'count': 'two'}]},
        {'steps': [{'count': True}]},
        {'spec': 7, 'steps': [{'count': 1}]},
    ],
)
def test_a_malformed_job_is_told(document):
    with pytest.raises(_decode.DECODE_ERRORS):
        _decode.decode_job(document, 'a' * 16, 'q', 't', 5)


@pytest.mark.parametrize('status', [200, 409])
@pytest.mark.parametrize('body', [b'[]', b'7', b'null', b'"late"'])
def test_an_answer_that_is_no_object_leaves_no_order_without_an_answer(
    status, body
):
    async def handle(request):
        return web.Response(body=body, status=status)

    async def order():
        app = web.Application()
        app.router.add_post('/-/{call}', handle)
        runner = web.AppRunner(app, shutdown_timeout=0)
        await runner.setup()
        channels = pools.ChannelPool()
        try:
            await web.TCPSite(runner, '127.0.0.1', 0).start()
            address = f'127.0.0.1:{runner.addresses[0][1]}'
            workers = _workers.Workers(channels)
            start = effects.StartRun('i-1', 1, address, 't', 1, '', '', '', 0)
            stop = effects.StopRun('i-1', 1, address, 't', 1)
            poll = effects.PollWorker('i-1', 1, address, 0, 0, None)
            return [
                await workers.start(start, 1, time.monotonic),
                await workers.stop(stop, 1, time.monotonic),
                await workers.poll(poll, 1, time.monotonic),
            ]
        finally:
            await channels.close()
            await runner.cleanup()

    for event in asyncio.run(order()):
        assert event.outcome is events.Outcome.UNKNOWN
