"""Consistency of the configuration library, schema and validation."""

import json

import attrs
import builders
import jsonschema
import pytest

import celeryshift_client
import celeryshift_core as core

HASH = 'a' * 64


def _broken(section, name, **fields):
    document = json.loads(builders.fleet().to_json())
    document[section].setdefault(name, {}).update(fields)
    return document


# Invalid documents by the path of the mistake that the validation reports.
BROKEN_BY_PATH = {
    'teams.ministry.share': _broken('teams', 'ministry', share=0),
    'teams.ministry.limit_slots': _broken('teams', 'ministry', limit_slots=-1),
    "teams['ministry']": _broken('teams', 'ministry', bogus=1),
    'teams.a:b': _broken('teams', 'a:b'),
    'keys.k.2': _broken('keys', 'k.2', team='ministry', sha256=HASH),
    'keys.k1.sha256': _broken('keys', 'k1', sha256='b' * 63),
    "keys['k3'].sha256": _broken('keys', 'k3', team='ministry'),
    'queues.field.team': _broken('queues', 'field', team='public'),
    'queues.walk-in.team': _broken('queues', 'walk-in', team=None),
    "upstreams['coding'].state": _broken('upstreams', 'coding', state='gone'),
    "kinds['x'].upstream": _broken('kinds', 'x'),
    "kinds['panel'].policy": _broken('kinds', 'panel', policy='all'),
    "kinds['panel'].urgent": _broken('kinds', 'panel', urgent='yes'),
    'kinds.panel.timeout_s': _broken('kinds', 'panel', timeout_s=3601),
    'kinds.panel.max_run_s': _broken('kinds', 'panel', max_run_s=0),
    'kinds.panel.max_attempts': _broken('kinds', 'panel', max_attempts=0),
    'kinds.panel.size.slots': _broken('kinds', 'panel', size={'slots': 0}),
    'kinds.panel.size.memory_mb': _broken(
        'kinds', 'panel', size={'memory_mb': -1}
    ),
}
# Mistakes that a schema cannot find: references to names that do not exist.
BEYOND_SCHEMA_BY_PATH = {
    'keys.k1.team': _broken('keys', 'k1', team='nobody'),
    'queues.walk-in.team': _broken('queues', 'walk-in', team='nobody'),
    'kinds.panel.upstream': _broken('kinds', 'panel', upstream='nothing'),
}


def _is_valid(document):
    schema = celeryshift_client.config_schema()
    return jsonschema.Draft202012Validator(schema).is_valid(document)


def test_the_library_prints_what_the_schema_and_the_checks_take():
    text = builders.fleet().to_json()
    assert text == builders.fleet().to_json()
    assert builders.SECRET not in text
    assert _is_valid(json.loads(text))
    assert core.parse(json.loads(text)).teams['ministry'].share == 4.0


@pytest.mark.parametrize('path', BROKEN_BY_PATH)
def test_the_schema_and_the_checks_refuse_the_same(path):
    document = BROKEN_BY_PATH[path]
    assert not _is_valid(document)
    with pytest.raises(core.ConfigurationError) as caught:
        core.parse(document)
    assert any(m.endswith(f' @ $.{path}') for m in caught.value.mistakes)


@pytest.mark.parametrize('path', BEYOND_SCHEMA_BY_PATH)
def test_names_that_lead_nowhere_are_refused(path):
    with pytest.raises(core.ConfigurationError) as caught:
        core.parse(BEYOND_SCHEMA_BY_PATH[path])
    assert [m.partition(' @ $.')[2] for m in caught.value.mistakes] == [path]


def test_the_schema_knows_every_field():
    definitions = celeryshift_client.config_schema()['$defs']
    for name, kind in (
        ('team', core.Team),
        ('key', core.Key),
        ('queue', core.Queue),
        ('upstream', core.Upstream),
        ('kind', core.Kind),
        ('size', core.Size),
    ):
        fields = {field.name for field in attrs.fields(kind)}
        assert set(definitions[name]['properties']) == fields


def test_all_mistakes_are_told_at_once_with_their_paths():
    fleet = builders.fleet(replace=False)
    fleet.team('ministry')
    fleet.team('late', shares=2)
    fleet.key('k9', 'nobody', 'secret')
    fleet.batch('odd', 'coding', timeout_s='long', slots=0)
    fleet.batch('lost', 'nowhere')
    with pytest.raises(core.ConfigurationError) as caught:
        fleet.to_json()
    paths = {m.rpartition(' @ ')[2] for m in caught.value.mistakes}
    assert paths == {
        '$.teams.ministry',
        "$.teams['late']",
        '$.keys.k9.team',
        "$.kinds['odd'].timeout_s",
        '$.kinds.odd.size.slots',
        '$.kinds.lost.upstream',
    }


@pytest.mark.parametrize('document', [[], None, 3, 'text', {'teams': []}])
def test_what_is_no_configuration_is_refused_with_a_path(document):
    with pytest.raises(core.ConfigurationError) as caught:
        core.parse(document)
    assert all(' @ $' in mistake for mistake in caught.value.mistakes)
