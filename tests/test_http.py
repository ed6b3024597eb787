"""HTTP interface of a node: authorization and problem documents."""

import asyncio
import contextlib
import json

import aiohttp
import builders
import entries
import pytest

import celeryshift_client
import celeryshift_core as core

BOUNDS = {'read_timeout_s': 0.2, 'header_timeout_s': 0.2, 'max_body_bytes': 99}


async def _call(url, method, path, token='', **options):
    headers = {'Authorization': f'Bearer {token}'} if token else {}
    async with (
        aiohttp.ClientSession(headers=headers) as session,
        session.request(method, url + path, **options) as response,
    ):
        return response.status, await response.json(content_type=None)


def _problem(reply):
    status, document = reply
    assert document['status'] == status
    return status, document['type'].rpartition(':')[2], document['ran']


def _refused_call(method, path, token='', bounds=BOUNDS, **options):
    async def call():
        async with entries.node(**bounds) as entry:
            return await _call(entry.url, method, path, token, **options)

    return asyncio.run(call())


REQUEST = {'kind': 'validate', 'queue': 'field'}
JOB = {'kind': 'recode', 'queue': 'field'}
KEY = builders.token()


@pytest.mark.parametrize(
    ('path', 'token', 'body', 'status', 'reason', 'detail'),
    [
        ('requests', KEY, '{"kind"', 400, 'bad-request', 'not JSON'),
        ('requests', KEY, '[' * 90, 400, 'bad-request', ''),
        ('requests', KEY, '[]', 400, 'bad-request', '$'),
        ('requests', KEY, 'x' * 100, 413, 'too-large', '99 bytes'),
        ('requests', KEY, {'kind': 1, 'a': 2}, 400, 'bad-request', '$.kind'),
        (
            'requests',
            KEY,
            {**REQUEST, 'timeout_s': -1, 'id': 'a b'},
            400,
            'bad-request',
            '$.timeout_s',
        ),
        ('requests', 'k1.wrong', REQUEST, 401, 'wrong-key', ''),
        ('requests', '', REQUEST, 401, 'wrong-key', ''),
        ('requests', 'k0.old', REQUEST, 401, 'withdrawn-key', ''),
        ('requests', KEY, {**REQUEST, 'kind': 'x'}, 404, 'unknown-kind', ''),
        ('requests', KEY, {**REQUEST, 'queue': 'x'}, 404, 'unknown-queue', ''),
        ('requests', KEY, REQUEST, 503, 'not-ready', 'no workers'),
        ('jobs', KEY, {**JOB, 'tasks': 0}, 400, 'bad-request', '$.tasks'),
        (
            'jobs',
            KEY,
            {**JOB, 'size': {'slots': -1}},
            400,
            'bad-request',
            '$.size.slots',
        ),
        ('jobs', KEY, {**JOB, 'size': {'slots': 9}}, 422, 'never-fits', ''),
        ('nothing', KEY, JOB, 404, 'unknown-path', 'POST /v1/nothing'),
    ],
)
def test_a_bad_call_gets_a_typed_problem(
    path, token, body, status, reason, detail
):
    data = body if isinstance(body, str) else json.dumps(body)
    reply = _refused_call('POST', f'/v1/{path}', token, data=data)
    assert _problem(reply) == (status, reason, 'no')
    assert detail in reply[1]['detail']


@pytest.mark.parametrize('token', ['', KEY, entries.CLUSTER])
@pytest.mark.parametrize(
    ('method', 'path'),
    [
        ('GET', 'config'),
        ('PUT', 'config'),
        ('GET', 'audit'),
        ('GET', 'keys'),
        ('DELETE', 'keys/k1'),
        ('GET', 'node'),
        ('POST', 'drain'),
    ],
)
def test_only_operators_do_operators_acts(method, path, token):
    reply = _refused_call(method, f'/operator/v1/{path}', token)
    assert _problem(reply) == (403, 'not-operator', 'no')


@pytest.mark.parametrize('token', ['', KEY, entries.OPERATOR])
@pytest.mark.parametrize('path', ['messages', 'requests', 'jobs', 'job-acts'])
def test_only_nodes_speak_as_peers(path, token):
    reply = _refused_call('POST', f'/peer/v1/{path}', token, json={})
    assert _problem(reply) == (403, 'not-operator', 'no')
    reply = _refused_call('POST', f'/peer/v1/{path}', entries.CLUSTER, json={})
    assert _problem(reply) == (400, 'bad-request', 'no')


def test_a_hand_in_with_mistakes_is_refused_with_all_of_them():
    document = builders.fleet().document()
    document['keys']['k1']['team'] = 'nobody'
    document['kinds']['seal']['size']['slots'] = 0
    body = {'base_version': 1, 'configuration': document}
    path = '/operator/v1/config'
    reply = _refused_call('PUT', path, entries.OPERATOR, json=body)
    assert _problem(reply) == (400, 'bad-request', 'no')
    assert '$.keys.k1.team' in reply[1]['detail']
    assert '$.kinds.seal.size.slots' in reply[1]['detail']


def test_a_slow_body_ends_in_a_problem():
    async def drip():
        yield b'{'
        await asyncio.sleep(1.0)

    reply = _refused_call('POST', '/v1/requests', KEY, data=drip())
    assert _problem(reply) == (408, 'slow-caller', 'no')


@pytest.mark.parametrize(
    'sent', [b'', b'GET /healthz HT', b'GET /healthz HTTP/1.1\r\na: b\r\n']
)
def test_a_connection_without_a_whole_header_is_closed(sent):
    async def connect():
        async with entries.node(**BOUNDS) as entry:
            port = int(entry.url.rpartition(':')[2])
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(sent)
            with contextlib.suppress(ConnectionResetError):
                assert await asyncio.wait_for(reader.read(), 5.0) == b''
            writer.close()

    asyncio.run(connect())


def test_a_header_that_is_too_long_is_refused():
    headers = {'X-Long': 'x' * 9000}
    status, _ = asyncio.run(_long_header(headers))
    assert status == 400


async def _long_header(headers):
    async with (
        entries.node() as entry,
        aiohttp.ClientSession() as session,
        session.get(f'{entry.url}/healthz', headers=headers) as response,
    ):
        return response.status, await response.text()


def test_changes_leave_an_audit_trail_and_no_hash_is_shown():
    async def change():
        async with (
            entries.node() as entry,
            celeryshift_client.Client(entry.url, entries.OPERATOR) as operator,
        ):
            shown = await operator.configuration()
            document = shown['configuration']
            await operator.hand_in(1, document)
            document['teams']['late'] = {}
            document['teams']['public']['share'] = 2.0
            await operator.hand_in(2, document)
            document['teams']['later'] = {}
            with pytest.raises(celeryshift_client.ProblemError) as caught:
                await operator.hand_in(2, document)
            call = operator.call
            return (
                caught.value,
                await call('GET', '/operator/v1/audit?limit=1'),
                await call('GET', '/operator/v1/audit?before=3&limit=1'),
                await call('GET', '/operator/v1/keys'),
                await operator.configuration(),
            )

    conflict, last, first, keys, shown = asyncio.run(change())
    assert (conflict.status, conflict.reason) == (
        409,
        'configuration-conflict',
    )
    record = last['records'][0]
    del record['at']
    assert record == {
        'who': 'ana',
        'what': 'teams.late added; teams.public changed',
        'from_version': 2,
        'to_version': 3,
    }
    assert last['next_before'] == 3
    assert first['records'][0]['to_version'] == 2
    assert first['records'][0]['what'] == 'nothing'
    assert keys['keys']['k1'] == {'team': 'ministry', 'withdrawn': False}
    assert shown['version'] == 3
    assert shown['not_in_force_on'] == {}
    assert len(shown['in_force_on']) == 1


@pytest.mark.parametrize(
    'reply',
    [
        b'',
        b'not HTTP at all\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhtml',
        b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{"a"',
        b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]',
        b'HTTP/1.1 502 Bad\r\nContent-Length: 2\r\n\r\n{}',
    ],
)
def test_an_unexpected_reply_is_no_answer(reply):
    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(reply)
        writer.close()

    async def call():
        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        url = f'http://127.0.0.1:{port}'
        async with server, celeryshift_client.Client(url) as client:
            await client.request('validate', 'field')

    with pytest.raises(celeryshift_client.UnreachableError) as caught:
        asyncio.run(call())
    assert caught.value.ran is core.Ran.UNKNOWN
