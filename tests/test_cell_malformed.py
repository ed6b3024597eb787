"""Malformed rows, answers and calls: one log line, and no other effect."""

import asyncio
import json
import os
import types

import attrs
import orjson
import pytest
from tests import cellnodes
from tests import cells
from tests import oddvalues
from tests import test_cell_journal as journal
from tests import test_cell_runner as runners
from tests import virtualtime

from celeryshift_cell import effects
from celeryshift_cell import events
from celeryshift_cellnode import _groupwriter
from celeryshift_cellnode import _jobspec
from celeryshift_cellnode import _logs
from celeryshift_cellnode import _peers
from celeryshift_cellnode import _records
from celeryshift_cellnode import _schema
from celeryshift_cellnode import errors
from celeryshift_net import exchanges
from celeryshift_platform import _decode
from celeryshift_platform import _front
from celeryshift_platform import _store
from celeryshift_platform import _workers

ENTRY = {
    'service': 'coding',
    'address': '10.0.0.1:80',
    'zone': 'a',
    'state': 'ready',
    'labels': ['kind', 'rack'],
    'capacity': {'cpu': 32000, 'mem_mb': 1024, 'gpu': 0},
    'born': 1_780_000_000_000,
    'clock_ms': 5000,
}
POLL_ANSWER = {
    'clock_ms': 5000,
    'born': 7,
    'running': [['a.0.0.1', 2, '', 10, 3]],
    'ended_runs': [[1, 'a.0.0.0', 1, 'done', '']],
}
MISSING = object()


def _decoder():
    lines = []
    decoder = _decode.Decoder(lambda name, **fields: lines.append(name))
    return decoder, lines


@pytest.mark.parametrize(
    ('field', 'value'),
    [
        ('born', MISSING),
        ('born', '1780000000000'),
        ('born', 1.5),
        ('born', True),
        ('born', -1),
        ('born', None),
        ('clock_ms', '5'),
        ('clock_ms', [5]),
        ('address', MISSING),
        ('address', 7),
        ('address', 'nowhere'),
        ('address', '10.0.0.1:http'),
        ('service', None),
        ('state', 'asleep'),
        ('state', ['ready']),
        ('labels', 'kind'),
        ('labels', [1]),
        ('capacity', MISSING),
        ('capacity', 32),
        ('capacity', {'cpu': '32'}),
        ('capacity', {'cpu': 1e400}),
        ('capacity', {'cpu': 1e300}),
        ('capacity', {'cpu': -1}),
        ('cold_remaining_ms', 1.5e20),
        ('remaining_ms', -1e300),
        ('born', 2**63),
        ('clock_ms', 2**63),
        ('address', '10.0.0.1:0'),
        ('address', '10.0.0.1:99999'),
        ('address', '10.0.0.1:' + '1' * 5000),
    ],
)
def test_an_entry_of_another_writer_names_no_worker(field, value):
    entry = {k: v for k, v in (ENTRY | {field: value}).items() if v != MISSING}
    raw = json.dumps(entry).replace('Infinity', '1e999').encode()
    decoder, lines = _decoder()
    for _ in range(50):
        assert decoder.worker('i-1', raw) is None
    assert lines == ['worker_unreadable']
    assert decoder.worker('i-2', json.dumps(ENTRY).encode()) is not None


@pytest.mark.parametrize('field', oddvalues.ENTRY_FIELDS)
@pytest.mark.parametrize('value', oddvalues.texts())
def test_no_value_of_an_entry_fails_the_decoder(field, value):
    decoder, lines = _decoder()
    fields = {name: json.dumps(each) for name, each in ENTRY.items()}
    entry = decoder.worker('i-1', oddvalues.replace(fields, field, value))
    assert (entry is None) == (lines == ['worker_unreadable'])
    if entry is not None:
        # Its numbers can be logged, stored and calculated with.
        orjson.dumps(attrs.asdict(entry))


@pytest.mark.parametrize('field', ['labels', 'state', 'address', 'born'])
def test_a_deeply_nested_value_names_no_worker(field):
    decoder, lines = _decoder()
    fields = {name: json.dumps(each) for name, each in ENTRY.items()}
    raw = oddvalues.replace(fields, field, oddvalues.nested())
    assert decoder.worker('i-1', raw) is None
    assert lines == ['worker_unreadable']


@pytest.mark.parametrize('raw', [b'', b'\xff', b'[]', b'null', b'{"a":'])
def test_bytes_that_are_no_entry_name_no_worker(raw):
    decoder, lines = _decoder()
    for _ in range(50):
        assert decoder.worker('i-1', raw) is None
    assert lines == ['worker_unreadable']


def test_many_invalid_entries_take_bounded_memory():
    decoder, _ = _decoder()
    for number in range(3 * _decode.MAX_INVALID_ROWS):
        decoder.worker(f'i-{number}', b'')
    assert len(decoder._error_by_key) <= _decode.MAX_INVALID_ROWS


@pytest.mark.parametrize(
    ('field', 'value', 'is_valid'),
    [
        ('born', 7, True),
        ('born', '7', False),
        ('born', 7.5, False),
        ('clock_ms', '5000', False),
        ('clock_ms', None, False),
        ('clock_ms', True, False),
        ('running', [[['a'], 2, '', 10]], False),
        ('running', [['a.0.0.1', '2', '', 10]], False),
        ('running', [['a.0.0.1', 2, '', 1e999]], False),
        ('running', 5, False),
        ('ended_runs', [['1', 'a.0.0.0', 1, 'done', '']], False),
        ('ended_runs', [[1, 'a.0.0.0', 1, 'finished', '']], False),
        ('ended_runs', [[1, 'a.0.0.0', 1]], False),
    ],
)
def test_a_malformed_list_of_a_worker_counts_as_no_answer(
    field, value, is_valid, monkeypatch
):
    async def exchange(*_):
        body = json.dumps(POLL_ANSWER | {field: value})
        return 200, body.replace('Infinity', '1e999').encode()

    monkeypatch.setattr(exchanges, 'exchange', exchange)
    channels = types.SimpleNamespace(get=lambda address: None)
    order = effects.PollWorker('w', 7, '10.0.0.1:80', 0, 0, None)
    answer = asyncio.run(
        _workers.Workers(channels).poll(order, 1, lambda: 0.0)
    )
    if is_valid:
        assert isinstance(answer, events.PollAnswered)
    else:
        assert answer.outcome is events.Outcome.UNKNOWN


@pytest.mark.parametrize('clock', ['5', 5.5, True, None, [], {}])
def test_a_malformed_clock_is_no_reading(clock):
    assert _workers._decode_clock({'clock_ms': clock}) is None


@attrs.define
class Request:
    """Request of another node, whose content is its own."""

    path: str
    body: bytes
    headers: dict[str, str] = attrs.field(factory=dict)
    is_read: bool = False

    @property
    def content_length(self) -> int:
        """Return the length of the body."""
        return len(self.body)

    @property
    def content(self) -> 'Request':
        """Return what the body is read from."""
        return self

    async def readany(self) -> bytes:
        """Return the body, then nothing."""
        body = b'' if self.is_read else self.body
        self.is_read = True
        return body


@pytest.mark.parametrize('name', ['resigned', 'owner', 'promise'])
@pytest.mark.parametrize(
    'body', [b'', b'null', b'[]', b'{}', b'{"version":"x","owner":3}']
)
def test_a_malformed_call_of_another_node_is_answered_and_logged(name, body):
    # Nodes of earlier releases resign without a version. They are replaced
    # once they are silent.
    async def work():
        members, network = await cellnodes.start_members('a', 'b')
        owner, (other,) = cellnodes.split_owner(members)
        lines = []
        server = _peers.PeerServer(
            lambda: (b'', ''), lambda name, **_: lines.append(name)
        )
        handler = network.handlers[other.node.address][name]
        server.add_handler(name, handler)
        request = Request(f'/v1/{name}', body)
        response = await server.handle_request(request)
        assert request.is_read
        assert response.status in (200, 503)
        assert (lines == ['peer_call_failed']) == (response.status == 503)
        await asyncio.sleep(2.0)
        assert owner.ownership.is_owner
        assert not other.ownership.is_owner

    virtualtime.run(work())


def test_an_ownership_that_cannot_start_is_given_up():
    # The node renewed its lease but gave no orders, and nobody replaced it.
    async def work():
        members, _ = await cellnodes.start_members('a', 'b', 'c')
        owner, others = cellnodes.split_owner(members)

        for other in others:

            async def fail(*_):
                raise ValueError('a row cannot be read')

            other.ownership._on_acquired = fail
        owner.kill()
        await cellnodes.wait_until(
            lambda: any('cell_lost' in m.decisions for m in others)
        )
        assert any('ownership_not_started' in m.decisions for m in others)
        last = others[-1]
        last.ownership._on_acquired = last._on_acquired
        await cellnodes.wait_until(lambda: bool(last.acquired_at), 30.0)

    virtualtime.run(work())


def test_rows_that_cannot_be_read_do_not_keep_the_others_from_being_read():
    async def scenario():
        harness = journal.WriterHarness()
        good = cells.job('a')
        rows = {
            (_schema.JOBS, good.id): _schema.dump(good),
            (_schema.JOBS, 'b' * 16): b'\xff',
            (_schema.JOBS, 'c' * 16): b'{"id":1}',
            (_schema.WORKERS, 'w1'): b'[5,"w1:80"]',
            (_schema.WORKERS, 'w2'): b'"w2"',
            (_schema.WORKERS, 'w3'): b'["x",5,6]',
            (_schema.PROGRESS, good.id): b'3:{"done',
        }
        for (table, key), value in rows.items():
            harness.store.put(table, _schema.CELL, key, value)
        lines = []
        restored = await _records.restore(
            harness.store,
            harness.writer,
            lambda name, **fields: lines.append((name, fields['key'])),
        )
        assert set(restored.jobs) == {good.id}
        assert restored.workers == (('w1', 5, 'w1:80'),)
        assert sorted(key[0] for _, key in lines) == ['b', 'c', 'w', 'w']
        # A job whose progress is not known must not run again.
        bench = cells.Bench((cells.entry('w'),), epoch=2)
        bench.send(restored.to_event(0.0, 0.0))
        decisions = [e.decision for e in bench.effects_of(effects.LogDecision)]
        assert 'job_not_restored' in decisions
        assert not bench.effects_of(effects.StartRun)
        bench.tick(10.0)
        assert not bench.effects_of(effects.StartRun)

    journal.run(scenario)


def test_an_unreadable_node_does_not_hide_the_others():
    async def work():
        members, _ = await cellnodes.start_members('a', 'b')
        store = members[0].access.store
        store.put(_schema.NODES, '', 'c', orjson.dumps({'name': 7}))
        store.put(_schema.NODES, '', 'd', b'\xff')
        for member in members:
            for _ in range(5):
                await member.membership.read()
            assert set(member.membership.nodes) == {'a', 'b'}
            assert member.decisions.count('node_unreadable') == 2

    virtualtime.run(work())


def test_an_unexpected_error_of_an_order_counts_as_no_answer(monkeypatch):
    async def work(runner, workers):
        async def fail(*_):
            raise RuntimeError('unexpected')

        workers.start = workers.poll = fail
        monkeypatch.setattr(_records, 'save', fail)
        now = asyncio.get_running_loop().time()
        runner.enqueue(events.ConfigChanged(now, cells.config()))
        runner.enqueue(events.Restored(now, 0, (), {}, (), (), 0.0, 0))
        runner.enqueue(events.WorkersChanged(now, (cells.entry('w'),)))
        await asyncio.sleep(2.0)
        worker = runner.state.workers['w']
        # The poll and the save are repeated.
        assert worker.is_silent
        assert worker.poll_at is not None or worker.polls_in_flight
        monkeypatch.undo()
        await asyncio.sleep(1.0)
        assert worker.is_recorded

    runners._run(work)


def test_a_rejection_reaches_only_its_own_change():
    change = _groupwriter.Change(
        puts={journal.ports.Key('t', 'k' * 300): b'v'}
    )
    assert change.rejection_reason(journal.ports.StoreLimits())


def test_an_effect_that_fails_loses_no_other_effect_or_event():
    # A line of the log could not be written, and a new owner lost the event
    # that restores its cell.
    async def work(runner, workers):
        written = []

        def fail(decision, **_):
            written.append(decision)
            if decision == 'worker_cold':
                raise TypeError('Integer exceeds 64-bit range')

        runner._log_decision = fail
        now = asyncio.get_running_loop().time()
        cold = cells.entry('odd', cold_remaining_ms=10**20)
        runner.enqueue(events.ConfigChanged(now, cells.config()))
        runner.enqueue(events.WorkersChanged(now, (cold, cells.entry('w'))))
        runner.enqueue(events.Restored(now, 0, (), {}, (), (), 0.0, 0))
        await asyncio.sleep(0.1)
        assert 'cell_restored' in written
        assert runner.state.is_restored

    runners._run(work)


@pytest.mark.parametrize(
    'value',
    [2**64, 10**5000, '\ud800', {'a': [2**70]}, object()],
    ids=['64 bits', 'digits', 'surrogate', 'in a list', 'object'],
)
def test_a_line_with_a_value_that_has_no_json_form_is_written(value):
    reading, writing = os.pipe()
    log = _logs.DecisionLog('n', writing)
    log.write('odd', value=value, sound=1)
    line = json.loads(os.read(reading, 65536))
    assert line['decision'] == 'odd'
    assert line['sound'] == 1
    for descriptor in (reading, writing):
        os.close(descriptor)


@pytest.mark.parametrize('value', oddvalues.texts())
@pytest.mark.parametrize('field', ['count', 'cpu', 'after', 'image'])
def test_a_job_with_an_odd_value_is_refused_or_stored(field, value):
    step = oddvalues.replace({'count': '1', 'cpu': '500'}, field, value)
    document = b'{"spec":"x","steps":[' + step + b']}'
    try:
        job = _decode.decode_job(
            orjson.loads(document), 'a' * 16, 'field', 'team', 0
        )
        _jobspec.validate(job, 65_536)
    except (errors.JobError, *_decode.DECODE_ERRORS) as error:
        assert errors.describe(error)


@pytest.mark.parametrize('deadline', ['\u00b2', '9' * 5000, '-1', '1e9', ''])
def test_an_odd_deadline_of_a_call_counts_as_none(deadline):
    headers = {'Deadline-Ms': deadline, 'Host': 'h'}
    request = types.SimpleNamespace(headers=headers, path='/p')
    assert _front._parse_call(request).timeout_s == 3.0


@pytest.mark.parametrize('value', oddvalues.texts())
@pytest.mark.parametrize('field', ['good', 'validity_ms'])
def test_an_odd_answer_of_the_policy_service_counts_as_none(
    field, value, monkeypatch
):
    async def exchange(*_):
        fields = {'good': '[["w","t"]]', 'validity_ms': '2000'}
        return 200, oddvalues.replace(fields, field, value)

    monkeypatch.setattr(exchanges, 'exchange', exchange)
    channels = types.SimpleNamespace(get=lambda *_: None)
    client = _workers.PolicyClient(channels, '10.0.0.1:80')
    with pytest.raises(errors.PeerError):
        asyncio.run(client.advise('a.0.0', ['w'], 1.0))


@pytest.mark.parametrize('value', oddvalues.texts())
@pytest.mark.parametrize('field', ['running', 'ended_runs', 'clock_ms'])
def test_an_odd_list_of_a_worker_counts_as_no_answer(
    field, value, monkeypatch
):
    async def exchange(*_):
        fields = {name: json.dumps(each) for name, each in POLL_ANSWER.items()}
        return 200, oddvalues.replace(fields, field, value)

    monkeypatch.setattr(exchanges, 'exchange', exchange)
    channels = types.SimpleNamespace(get=lambda address: None)
    order = effects.PollWorker('w', 7, '10.0.0.1:80', 0, 0, None)
    answer = asyncio.run(
        _workers.Workers(channels).poll(order, 1, lambda: 0.0)
    )
    assert answer.outcome is events.Outcome.UNKNOWN


@pytest.mark.parametrize(
    'document',
    [b'[]', b'{}', b'{"rows":[{}]}', b'{"rows":[{"value":7}]}', b'7', b'null'],
)
def test_an_odd_answer_of_the_store_counts_as_none(document, monkeypatch):
    async def exchange(*_):
        return 200, document

    monkeypatch.setattr(exchanges, 'exchange', exchange)
    channels = types.SimpleNamespace(get=lambda *_: None)
    store = _store.Store(channels, '10.0.0.1:80')
    key = _schema_key()
    for call in (
        store.read('servers', ''),
        store.read_changes('servers', 0, 0),
        store.transact(_groupwriter.ports.Transaction('', {key: 1}), 1.0),
    ):
        with pytest.raises(errors.StoreOutcomeUnknownError):
            asyncio.run(call)


def _schema_key():
    return journal.ports.Key(_schema.NODES, 'n')


@pytest.mark.parametrize('document', [b'', b'\xff', b'[]', b'7', b'{}'])
def test_an_odd_answer_of_another_node_counts_as_none(document, monkeypatch):
    async def exchange(*_):
        return 200, document

    monkeypatch.setattr(exchanges, 'exchange', exchange)
    channels = types.SimpleNamespace(get=lambda *_: None)

    async def call():
        answer = await _peers.Peers(channels).call('10.0.0.1:80', 'ping', {})
        return answer['incarnation']

    with pytest.raises(errors.PeerError):
        asyncio.run(call())
