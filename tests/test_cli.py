"""Output and exit codes of the command line."""

import asyncio
import json
import re

import builders
import entries
import pytest

import celeryshift_client
from celeryshift_core import schema

UNREACHABLE_URL = 'http://127.0.0.1:1'
Code = celeryshift_client.ExitCode


@pytest.fixture
def fleet(tmp_path):
    """File with the configuration in force."""
    path = tmp_path / 'fleet.json'
    path.write_text(builders.fleet().to_json())
    return path


def _run(capsys, *arguments, url='', token=entries.OPERATOR):
    flags = ['--url', url, '--token', token] if url else []
    code = celeryshift_client.run([*map(str, arguments), *flags])
    printed = capsys.readouterr()
    assert 'Traceback' not in printed.err
    # Commands that fail, and only these, write to standard error.
    assert bool(printed.err) == (code not in (Code.OK, Code.DIFFERENT))
    return code, printed.out, printed.err


def _run_at_node(capsys, *commands, token=entries.OPERATOR, prepare=None):
    async def work():
        async with entries.node() as entry:
            if prepare is not None:
                prepare(entry.platform)
            return [
                await asyncio.to_thread(
                    _run, capsys, *command, url=entry.url, token=token
                )
                for command in commands
            ]

    return asyncio.run(work())


@pytest.mark.parametrize(
    'line',
    [
        'config bogus',
        'config check',
        'config check /no/such/file',
        'config check {fleet} extra',
        'config show',
        'job submit recode field --tasks many --url http://a',
        'job submit recode field --payload {{ --url http://a',
        'node drain --url http://a,http://b',
        'audit --limit x --url http://a',
    ],
)
def test_a_line_that_makes_no_sense_is_a_usage_error(capsys, fleet, line):
    arguments = line.format(fleet=fleet).split()
    assert _run(capsys, *arguments)[0] == Code.USAGE


def test_a_leftover_word_keeps_a_command_from_acting(capsys, fleet):
    def forbid():
        raise AssertionError

    def prepare(platform):
        platform.before_write.append(forbid)

    (result,) = _run_at_node(
        capsys, ('config', 'apply', fleet, 'twice'), prepare=prepare
    )
    assert result[0] == Code.USAGE


@pytest.mark.parametrize('text', ['{', '[]', '{"teams": {"a": {"b": 1}}}'])
def test_every_mistake_is_told_with_its_path(capsys, tmp_path, text):
    path = tmp_path / 'wrong.json'
    path.write_text(text)
    code, out, err = _run(capsys, 'config', 'check', path)
    assert (code, out) == (Code.MISTAKES, '')
    assert ' @ $' in err


def test_a_python_file_prints_what_its_fleet_holds(capsys, tmp_path, fleet):
    path = tmp_path / 'fleet.py'
    path.write_text('import builders\nfleet = builders.fleet()\n')
    printed = [_run(capsys, 'config', 'print', p) for p in (path, fleet)]
    assert printed[0] == printed[1] == (Code.OK, fleet.read_text(), '')
    path.write_text('fleet = 3')
    assert _run(capsys, 'config', 'check', path)[0] == Code.USAGE


def test_a_fault_of_the_program_has_a_code_of_its_own(capsys, monkeypatch):
    monkeypatch.setattr('json.loads', None)
    result = _run(capsys, 'job', 'submit', 'a', 'b', url=UNREACHABLE_URL)
    assert result[0] == Code.INTERNAL


def test_no_node_is_unreachable(capsys):
    assert (
        _run(capsys, 'config', 'show', url=UNREACHABLE_URL)[0]
        == Code.UNREACHABLE
    )
    result = _run(
        capsys, 'request', 'send', 'validate', 'field', url=UNREACHABLE_URL
    )
    assert result[0] == Code.UNREACHABLE
    assert 'ran: no' in result[2]


def test_a_cut_leaves_the_outcome_unknown(capsys):
    async def cut(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.close()

    async def work():
        server = await asyncio.start_server(cut, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        async with server:
            return await asyncio.to_thread(
                _run,
                capsys,
                *('request', 'send', 'seal', 'field'),
                url=f'http://127.0.0.1:{port},{UNREACHABLE_URL}',
            )

    code, _, err = asyncio.run(work())
    assert code == Code.REFUSED_UNKNOWN
    assert 'ran: unknown' in err


def test_refusals_have_codes_of_their_own(capsys):
    results = _run_at_node(
        capsys,
        ('request', 'send', 'validate', 'field'),
        ('request', 'explain', 'r1', 'field'),
        ('job', 'status', 'j1', 'field'),
        ('audit',),
        token=builders.token(),
    )
    assert [code for code, _, _ in results] == [Code.REFUSED_NOT_RUN] * 4
    reasons = [err.split()[1] for _, _, err in results]
    assert reasons == [
        'not-ready',
        'unknown-request',
        'unknown-job',
        'not-operator',
    ]


def test_a_configuration_is_compared_applied_and_conflicts(capsys, fleet):
    document = json.loads(fleet.read_text())
    document['teams']['ministry']['share'] = 5
    fleet.write_text(json.dumps(document))
    other = fleet.with_name('other.json')
    document['teams']['ministry']['share'] = 6
    other.write_text(json.dumps(document))
    difference, checked, applied, no_difference, *others = _run_at_node(
        capsys,
        ('config', 'diff', fleet, '--json'),
        ('config', 'check', fleet, '--against', 'in-force', '--json'),
        ('config', 'apply', fleet),
        ('config', 'diff', fleet),
        ('config', 'show', '--json'),
        ('config', 'apply', other, '--base_version', '1'),
        ('audit', '--json'),
    )
    shown, conflict, audit = others
    assert difference[0] == Code.DIFFERENT
    change = {'path': '$.teams.ministry.share', 'from': 4.0, 'to': 5.0}
    assert json.loads(difference[1])['changes'] == [change]
    # A check that compares with anything else than `config diff` misleads.
    assert checked[0] == Code.DIFFERENT
    assert json.loads(difference[1]).items() <= json.loads(checked[1]).items()
    assert applied == (Code.OK, 'version: 2\nexisted: false\n', '')
    assert no_difference[0] == Code.OK
    assert json.loads(shown[1])['version'] == 2
    assert 'keys' not in json.loads(shown[1])['configuration']
    assert conflict[0] == Code.CONFLICT
    assert json.loads(audit[1])['records'][0]['to_version'] == 2


def test_a_granted_key_survives_conflicts_and_a_new_configuration(
    capsys, fleet
):
    def prepare(platform):
        change = builders.fleet().document()
        platform.before_write.append(lambda: platform.configure(change))

    granted, again, applied, listed, withdrawn, after = _run_at_node(
        capsys,
        ('key', 'grant', '007', 'public', '--json'),
        ('key', 'grant', '007', 'public'),
        ('config', 'apply', fleet),
        ('key', 'list', '--json'),
        ('key', 'withdraw', '007'),
        ('key', 'list', '--json'),
        prepare=prepare,
    )
    token = json.loads(granted[1])['token']
    assert re.fullmatch(r'007\.[\w-]{32}', token)
    assert again[0] == Code.USAGE
    assert applied[0] == withdrawn[0] == Code.OK
    keys = json.loads(listed[1])['keys']
    assert keys['007'] == {'team': 'public', 'withdrawn': False}
    assert json.loads(after[1])['keys']['007']['withdrawn']
    assert token.partition('.')[2] not in listed[1]


def test_a_grant_whose_answer_was_lost_is_not_made_twice(capsys):
    platforms = []

    def prepare(platform):
        platform.answers_to_lose = 1
        platforms.append(platform)

    (granted,) = _run_at_node(
        capsys, ('key', 'grant', 'k7', 'public'), prepare=prepare
    )
    assert granted[0] == Code.OK
    row = platforms[0].table.rows_by_key[schema.CONFIG]
    assert row[1]['version'] == 2
    assert row[1]['keys']['k7']['team'] == 'public'


def test_the_next_url_is_tried_where_that_is_safe(capsys):
    async def work():
        async with entries.node() as entry:
            url = f'{UNREACHABLE_URL},{entry.url}'
            return [
                await asyncio.to_thread(_run, capsys, *command, url=url)
                for command in (('config', 'show'), ('node', 'status'))
            ]

    shown, status = asyncio.run(work())
    assert shown[0] == Code.OK
    assert status[0] == Code.UNREACHABLE
    assert 'phase:' in status[1]
