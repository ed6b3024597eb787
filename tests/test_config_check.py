"""Findings of `config check`, and its output and exit codes."""

import json

import builders
import pytest

import celeryshift_client
from celeryshift_client import _findings

Code = celeryshift_client.ExitCode
build = builders.configuration


def _kind(**fields):
    return build(kinds={'x': {'upstream': builders.UPSTREAM, **fields}})


# Urgent kinds are a gang, which does not preempt, and of another upstream.
UNPREEMPTED = {
    'validate': {'upstream': builders.UPSTREAM, 'preemptible': True},
    'panel': {'upstream': builders.UPSTREAM, 'policy': 'gang', 'urgent': True},
    'x': {'upstream': 'x', 'urgent': True},
}
LEAVING = {'upstreams': {'x': {'state': 'leaving'}}}
OPEN_QUEUE = {'queues': {'q': {'access': 'open', 'team': 'public'}}}
ONCE = {'repeatable': False, 'max_attempts': 2}
NO_KEYS = {**build(), 'keys': {}}
# Paths of all findings, separated by spaces, and the document.
FOUND = [
    ('', build()),
    ('', {**build(teams={'x': {}}), 'keys': {}}),
    ('', _kind(policy='request', **ONCE)),
    ('', _kind(policy='service', size={'slots': 64})),
    ('teams.x', build(teams={'x': {}})),
    ('teams.public.limit_slots', build(teams={'public': {'limit_slots': 0}})),
    ('keys teams.ministry', {**build(), **OPEN_QUEUE}),
    ('queues', {**build(), 'queues': {}}),
    ('kinds', {**build(), 'kinds': {}}),
    ('upstreams.x', build(upstreams={'x': {}})),
    ('kinds.x.upstream', build(kinds={'x': {'upstream': 'x'}}, **LEAVING)),
    ('kinds.x.size.slots', _kind(size={'slots': 65})),
    ('kinds.x.timeout_s', _kind(timeout_s=5.0)),
    ('kinds.x.max_run_s', _kind(policy='request', max_run_s=5.0)),
    ('kinds.x.max_attempts', _kind(policy='service', max_attempts=2)),
    ('kinds.x.max_attempts', _kind(policy='gang', **ONCE)),
    ('kinds.x.preemptible', _kind(urgent=True, preemptible=True)),
    (
        'kinds.validate.preemptible',
        build(upstreams={'x': {}}, kinds=UNPREEMPTED),
    ),
]


def _find(*arguments):
    return ' '.join(f.path[2:] for f in _findings.find(*arguments))


def _check(capsys, tmp_path, text, *flags, base=''):
    file, other = tmp_path / 'file', tmp_path / 'base'
    file.write_text(text)
    other.write_text(base)
    flags += ('--against', str(other)) if base else ()
    code = celeryshift_client.run(['config', 'check', str(file), *flags])
    printed = capsys.readouterr()
    return code, printed.out, printed.err


@pytest.mark.parametrize(('paths', 'document'), FOUND)
def test_exactly_the_entries_without_effect_are_found(paths, document):
    """Guards against missed or repeated findings, and false ones."""
    assert _find(document) == paths


def test_only_keys_that_work_count():
    """Guards against withdrawn keys, and keys in force, counted wrongly."""
    withdrawn = {**build(), 'withdrawn_keys': ['k1']}
    places = 'queues.field teams.ministry'
    assert _find(withdrawn) == f'keys.k1 {places}'
    assert _find(NO_KEYS, withdrawn) == places
    assert _find(NO_KEYS, build()) == ''


def test_differences_have_an_exit_code_and_warnings_none(capsys, tmp_path):
    """Guards against scripts that take a warning for an error."""
    text = '{"teams": {"a": {}, "a": {"share": 2}}}'
    code, out, err = _check(capsys, tmp_path, text, '--json')
    assert (code, err) == (Code.OK, '')
    (warning,) = json.loads(out)['warnings']
    assert warning.pop('message').startswith('is given more than once')
    assert warning == {'path': '$.teams.a', 'category': 'never-matches'}
    assert _check(capsys, tmp_path, text, base=text)[0] == Code.OK
    code, out, _ = _check(capsys, tmp_path, text, '--json', base='{}')
    changes = json.loads(out)['changes']
    assert (code, changes[1]['to']) == (Code.DIFFERENT, 2.0)
    # `config show` hides the keys, so none of the file's is reported as new.
    shown = {'configuration': _findings.without_keys(build()), 'version': 3}
    texts = json.dumps(build()), json.dumps(shown)
    assert _check(capsys, tmp_path, texts[0], base=texts[1])[0] == Code.OK


def test_errors_are_those_of_the_checked_file(capsys, tmp_path):
    """Guards against errors lost in JSON, or of another file."""
    plain = _check(capsys, tmp_path, '{"teams": 3}')
    code, out, err = _check(capsys, tmp_path, '{"teams": 3}', '--json')
    assert plain == (code, '', err) == (Code.MISTAKES, '', err)
    assert json.loads(out)['mistakes'][0] in err
    assert _check(capsys, tmp_path, '{}', base='{')[0] == Code.USAGE
    # `config apply` would keep the key of the team that is gone, and fail.
    code, _, err = _check(capsys, tmp_path, '{}', base=json.dumps(build()))
    assert (code, '$.keys.k1.team' in err) == (Code.MISTAKES, True)
