"""TLS between callers, operators and nodes."""

import asyncio
import pathlib

import entries
import pytest

import celeryshift_client
import celeryshift_core as core
from celeryshift_net import pools
from celeryshift_node import _calls
from celeryshift_node import _settings
from celeryshift_node import _tls

DATA = pathlib.Path(__file__).parent / 'data'
CERTIFICATE = str(DATA / 'certificate.pem')
TLS = {
    'certificate': CERTIFICATE,
    'key': str(DATA / 'key.pem'),
    'ca': CERTIFICATE,
}


async def _fetch_configuration(ca):
    async with (
        entries.node(tls=TLS) as entry,
        celeryshift_client.Client(
            entry.url, entries.OPERATOR, ca=ca
        ) as operator,
    ):
        return await operator.configuration()


def test_an_operator_trusts_the_certificate_that_is_named():
    assert asyncio.run(_fetch_configuration(CERTIFICATE))['version'] == 1


def test_nothing_is_sent_to_a_node_that_is_not_trusted():
    with pytest.raises(celeryshift_client.UnreachableError) as caught:
        asyncio.run(_fetch_configuration(None))
    assert caught.value.ran is core.Ran.NO


@pytest.mark.parametrize(
    ('tls', 'outcome'),
    [
        (_settings.Tls(**TLS), _calls.Outcome.OK),
        (None, _calls.Outcome.UNSENT),
    ],
)
def test_a_node_calls_those_that_it_trusts(tls, outcome):
    async def call():
        async with entries.node(tls=TLS) as entry:
            channels = pools.ChannelPool(context=_tls.client_context(tls))
            channel = channels.get(entry.url, pools.PEERS)
            reply = await _calls.call(channel, 'GET', f'{entry.url}/healthz')
            await channels.close()
            return reply, channels.counters['control.peers.received_bytes']

    reply, received = asyncio.run(call())
    assert reply.outcome is outcome
    assert received == (len('{"phase": "serving"}') if reply.ok else 0)


@pytest.mark.parametrize('field', ['certificate', 'key', 'ca'])
def test_a_file_that_cannot_be_used_is_a_mistake_of_settings(field):
    tls = _settings.Tls(**{**TLS, field: '/no/such/file'})
    with pytest.raises(core.SettingsError) as caught:
        _tls.server_context(tls)
        _tls.client_context(tls)
    assert f'$.tls.{field}' in caught.value.mistakes[0]


def test_handshakes_count_as_connections():
    async def connect(port):
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        # A part of a message that begins a handshake.
        writer.write(b'\x16\x03\x01\x02\x00\x01')
        return reader, writer

    async def crowd():
        async with entries.node(tls=TLS, max_connections=10) as entry:
            port = int(entry.url.rpartition(':')[2])
            opened = [await connect(port) for _ in range(30)]
            async with asyncio.timeout(5.0):
                while sum(reader.at_eof() for reader, _ in opened) < 20:
                    await asyncio.sleep(0.01)
            async with celeryshift_client.Client(
                entry.url, entries.OPERATOR, ca=CERTIFICATE
            ) as operator:
                document = await operator.configuration()
            for _, writer in opened:
                writer.close()
            return document['version']

    assert asyncio.run(crowd()) == 1
