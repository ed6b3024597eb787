"""Consistency of the documentation with the code."""

import json
import pathlib
import re

import attrs
import pytest

import celeryshift_client
import celeryshift_core as core
from celeryshift_node import _problems
from celeryshift_node import _settings

ROOT = pathlib.Path(__file__).parent.parent
DOCS = ROOT / 'docs'
# First two cells of a row of a Markdown table.
ROW = re.compile(r'^\| (.+?) \| (.+?) \|', re.MULTILINE)
# Names of logged changes, counters and gauges in the source code.
CHANGE = re.compile(r"(?:LogChange|_change)\(\s*'([a-z-]+)'")
COUNTED = re.compile(r"(?:counters|gauges|counts)\[f?'([^']+)'\]")
GAUGE = re.compile(r"yield f?'([a-z]+\.[^' ]+)',")
CODE = re.compile(r'`([^`]+)`')


def _page(name):
    return (DOCS / name).read_text()


def _rows(text):
    return {
        first.strip('`'): second.strip('`')
        for first, second in ROW.findall(text)
    }


def _blocks(text, language):
    return re.findall(rf'```{language}\n(.*?)```', text, re.DOTALL)


def _source():
    return '\n'.join(
        path.read_text()
        for package in ('core', 'node')
        for path in sorted((ROOT / 'packages' / package).glob('*/*.py'))
    )


def _defaults(kind, prefix=''):
    for field in attrs.fields(kind):
        if field.default is attrs.NOTHING:
            yield prefix + field.name, 'required'
            continue
        default = field.default
        if isinstance(default, attrs.Factory):
            default = default.factory()
        if attrs.has(type(default)):
            yield from _defaults(type(default), f'{prefix}{field.name}.')
        else:
            yield prefix + field.name, json.dumps(default)


def test_every_problem_is_listed_with_its_status():
    rows = _rows(_page('API.md').partition('| type | status |')[2])
    for reason in core.Reason:
        status = _problems.STATUS_BY_REASON.get(
            reason, _problems.DEFAULT_STATUS
        )
        assert rows[reason.value].partition(' ')[0] == str(status)


def test_every_exit_code_is_listed():
    rows = _rows(_page('API.md').partition('| code |')[2])
    codes = {code for code in rows if code.isdecimal()}
    assert codes == {str(int(code)) for code in celeryshift_client.ExitCode}


def test_every_setting_is_listed_with_its_default():
    rows = _rows(_page('CONFIGURATION.md').partition('| setting |')[2])
    listed = {name: rows[name] for name in rows if not name.startswith('-')}
    expected = dict(_defaults(_settings.Settings))
    expected |= dict(_defaults(_settings.Statsd, 'statsd.'))
    expected |= dict(_defaults(_settings.Tls, 'tls.'))
    assert listed == expected


@pytest.mark.parametrize(
    ('title', 'kind'),
    [
        ('Teams', core.Team),
        ('Keys', core.Key),
        ('Queues', core.Queue),
        ('Upstreams', core.Upstream),
        ('Kinds of work', core.Kind),
        ('Sizes', core.Size),
    ],
)
def test_every_field_of_the_configuration_is_listed(title, kind):
    section = _page('CONFIGURATION.md').partition(f'### {title}\n')[2]
    rows = _rows(section.partition('\n##')[0])
    fields = {field.name for field in attrs.fields(kind)}
    assert rows.keys() - {'field', '---'} == fields


def test_logged_changes_are_those_of_the_code():
    section = _page('OPERATIONS.md').partition('## Log lines')[2]
    table = section.partition('## Metrics')[0].partition('| --- |')[2]
    rows = ROW.findall(table)
    listed = {name for names, _ in rows for name in CODE.findall(names)}
    assert listed == set(CHANGE.findall(_source()))


def test_every_counter_and_gauge_is_listed():
    page = _page('OPERATIONS.md').partition('## Metrics')[2]
    source = _source()
    names = COUNTED.findall(source) + GAUGE.findall(source)
    assert len(names) > 30
    for name in names:
        prefix, _, rest = name.partition('{')
        suffix = rest.rpartition('}')[2]
        assert f'`{prefix}' in page
        assert f'{suffix}`' in page


def test_the_example_and_the_pages_examples_are_valid(tmp_path):
    example = (ROOT / 'examples' / 'fleet.py').read_text()
    (shown,) = _blocks((ROOT / 'README.md').read_text(), 'python')
    assert shown in example
    page = tmp_path / 'fleet.py'
    page.write_text(shown)
    assert celeryshift_client.run(['config', 'check', str(page)]) == 0
    (settings,) = _blocks(_page('CONFIGURATION.md'), 'json')
    assert _settings.parse(json.loads(settings)).listen.port == 7400
    (library,) = _blocks(_page('API.md'), 'python')
    compile(library, 'API.md', 'exec')
