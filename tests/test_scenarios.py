"""Tests of the scenario files and of the scenario language."""

import pathlib

import pytest

from celeryshift_standins import scenario as scenarios

FILES = pathlib.Path(__file__).parent.parent / 'scenarios'
SEED = 1


@pytest.mark.parametrize(
    'path', sorted(FILES.glob('*.scn')), ids=lambda path: path.stem
)
def test_scenario(path):
    result = scenarios.read(path).run(SEED)
    assert result.failures == []


def test_the_same_seed_gives_the_same_steps():
    scenario = scenarios.read(FILES / 'node-dies.scn')
    first, second = scenario.run(3), scenario.run(3)
    assert (first.steps, first.trace_hash) == (second.steps, second.trace_hash)
    assert scenario.run(4).trace_hash != first.trace_hash


@pytest.mark.parametrize(
    ('line', 'expected'),
    [
        ('explode dc1-n0', 'a verb'),
        ('wait 5', 'a time'),
        ('kill', 'a node'),
        ('kill dc1-n0 now', 'the end of the line'),
        ('expect p99-wait validate < 1s', 'one of <=, >=, ='),
        ('use nothing', 'the name of a part'),
    ],
)
def test_a_mistake_names_its_line_and_what_was_expected(line, expected):
    text = f'use fleet\n\n{line}\n'
    with pytest.raises(scenarios.ScenarioError) as caught:
        scenarios.Scenario(FILES / 'wrong.scn', text)
    assert (caught.value.path, caught.value.line) == ('wrong.scn', 3)
    assert caught.value.expected.startswith(expected)
