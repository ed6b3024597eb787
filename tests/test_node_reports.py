"""Errors in settings, log lines and metrics of a node."""

import collections
import json
import socket
import types

import builders
import logbook
import pytest

import celeryshift_core as core
from celeryshift_node import _logs
from celeryshift_node import _main
from celeryshift_node import _metrics
from celeryshift_node import _settings
from celeryshift_standins import world as worlds

SETTINGS = {
    'data_centre': 'dc1',
    'platform_url': 'http://platform',
    'cluster_token': 'x' * 16,
}


def test_all_mistakes_of_settings_are_told_with_their_paths():
    wrong = {
        **SETTINGS,
        'data_centre': '',
        'cluster_token': 'short',
        'slices': 'four',
        'slice': 4,
        'operators': {'ana': 'token'},
        'statsd': {'port': 0},
        'log': {'format': 'xml'},
        'bounds': {'read_timeout_s': 0, 'max_body_bytes': 'all'},
        'timing': {'node_lease_s': 1.0},
    }
    with pytest.raises(core.SettingsError) as caught:
        _settings.parse(wrong)
    paths = [m.rpartition(' @ ')[2] for m in caught.value.mistakes]
    assert sorted(paths) == [
        '$',
        '$.bounds.max_body_bytes',
        '$.bounds.read_timeout_s',
        '$.cluster_token',
        '$.data_centre',
        '$.log.format',
        '$.operators.ana',
        '$.slices',
        '$.statsd.port',
        '$.timing.node_renew_s',
    ]


def test_a_head_has_room_for_the_longest_line():
    with pytest.raises(core.SettingsError) as caught:
        _settings.parse({**SETTINGS, 'bounds': {'max_head_bytes': 8000}})
    (mistake,) = caught.value.mistakes
    assert mistake.endswith(' @ $.bounds.max_head_bytes')


@pytest.mark.parametrize('text', ['', '{', '[]', '{"listen": 3}'])
def test_a_node_with_bad_settings_says_so_and_ends(capsys, tmp_path, text):
    path = tmp_path / 'node.json'
    path.write_text(text)
    with pytest.raises(SystemExit) as caught:
        _main.run(str(path))
    assert caught.value.code == _main.SETTINGS_ERROR_EXIT_CODE
    output = capsys.readouterr().err
    assert output.startswith('celeryshiftd: ')
    assert ' @ $' in output
    assert 'Traceback' not in output


def _log_line(log_format, capsys, fail=False):
    log = logbook.Logger('test')
    with _logs.log_to_stderr(_settings.Log(format=log_format)):
        try:
            assert not fail
        except AssertionError:
            log.exception('handler failed')
        else:
            fields = {'slice': 3, 'why': 'a b\nINFO c', 'level': 'none'}
            log.info('slice-taken', extra=fields)
    return capsys.readouterr().err


def test_a_line_is_one_json_object(capsys):
    line = json.loads(_log_line('json', capsys))
    assert (line['change'], line['level']) == ('slice-taken', 'INFO')
    assert (line['slice'], line['why']) == (3, 'a b\nINFO c')
    assert (
        'AssertionError'
        in json.loads(_log_line('json', capsys, True))['trace']
    )


def test_a_line_of_text_is_one_line(capsys):
    (line,) = _log_line('text', capsys).splitlines()
    assert line.endswith(
        'INFO slice-taken slice=3 why="a b\\nINFO c" level=none'
    )


@pytest.fixture
def statsd():
    """Socket that receives metrics in place of statsd."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver:
        receiver.bind(('127.0.0.1', 0))
        receiver.setblocking(False)
        yield receiver


def _receive_metrics(receiver):
    lines = []
    while True:
        try:
            lines += receiver.recv(65_536).decode().split('\n')
        except BlockingIOError:
            return dict(line.split(':', 1) for line in lines)


def test_metrics_tell_waits_refusals_queues_and_packing(statsd):
    world = worlds.World(seed=1)
    world.add_worker('w0', 'dc1')
    world.configure(builders.fleet().document())
    world.add_node('n0', 'dc1')
    world.run(3.0)
    token = builders.token()
    world.submit('n0', 'j', 'recode', 'field', token, tasks=10, run_s=60.0)
    world.request('n0', 'r', 'no-such', 'field', token)
    world.run(1.0)
    runner = types.SimpleNamespace(
        state=world.nodes_by_name['n0'].state,
        counters=collections.Counter({'changes.slice-taken': 4}),
    )
    port = statsd.getsockname()[1]
    settings = _settings.Statsd(port=port, prefix='cs')
    traffic = collections.Counter({'control.peers.sent_bytes': 9})
    metrics = _metrics.Metrics(runner, traffic, settings)
    metrics.flush()
    sent = _receive_metrics(statsd)
    # One of the eight slots is reserved for urgent work.
    assert sent['cs.placements'] == '7|c'
    assert sent['cs.tasks.waiting'] == '3|g'
    assert sent['cs.slots.coding.known'] == '8|g'
    assert sent['cs.slots.coding.used'] == '7|g'
    assert sent['cs.refused.unknown-kind'] == '1|c'
    assert sent['cs.changes.slice-taken'] == '4|c'
    assert sent['cs.control.peers.sent_bytes'] == '9|c'
    assert sent['cs.store.failing_s'] == '0|g'
    assert sent['cs.wait.normal.recode.p99'].endswith('|ms')
    metrics.flush()
    again = _receive_metrics(statsd)
    assert 'cs.placements' not in again
    assert 'cs.wait.normal.recode.p99' not in again
