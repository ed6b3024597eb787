"""Random schedules of faults; a failing one is printed as a scenario.

For a longer run: pytest tests/test_random_faults.py --hypothesis-profile=long
--hypothesis-seed=7
"""

import pathlib

import hypothesis
from hypothesis import strategies

from celeryshift_standins import scenario as scenarios

FILES = pathlib.Path(__file__).parent.parent / 'scenarios'
NODES = ['dc1-n0', 'dc1-n1', 'dc2-n0', 'dc2-n1']
WORKERS = ['dc1-w0', 'dc1-w1', 'dc2-w0', 'dc2-w1']
ENDPOINTS = ['dc1', 'dc2', 'platform', *NODES, *WORKERS]
LAST_STEP = 'settle 120s'

nodes = strategies.sampled_from(NODES)
workers = strategies.sampled_from(WORKERS)
endpoint_pairs = strategies.lists(
    strategies.sampled_from(ENDPOINTS), min_size=2, max_size=2, unique=True
).map(' '.join)
directions = strategies.sampled_from(['', ' one-way'])
faults = strategies.one_of(
    nodes.map('restart {}'.format),
    nodes.map('lapse {}'.format),
    nodes.map('pause {}'.format),
    nodes.map('resume {}'.format),
    workers.map('gone {}'.format),
    workers.map('silent {}'.format),
    workers.map('hear {}'.format),
    workers.map('fail-all {}'.format),
    strategies.builds('cut {}{}'.format, endpoint_pairs, directions),
    strategies.builds(
        'silent-connection {}{}'.format, endpoint_pairs, directions
    ),
    endpoint_pairs.map('slow {} 200ms'.format),
    strategies.sampled_from(
        [
            'store down',
            'store up',
            'store slow 700ms',
            'heal all',
            'lose-answer 1',
            'lose-answer 6',
            'hand-in',
            'cancel recode',
            'job recode team office tasks 9 run 1s to 5s count 3',
            'job count team office tasks 4 run 1s',
            'job panel team ministry tasks 6 run 2s',
        ]
    ),
)
waits = strategies.sampled_from(['0s', '100ms', '1s', '3s', '6s'])
steps = strategies.builds('{}\nwait {}'.format, faults, waits)


@hypothesis.given(
    strategies.lists(steps, min_size=1, max_size=12),
    strategies.integers(1, 1000),
)
def test_random_faults(chosen_steps, seed):
    text = '\n'.join(['use roomy', 'use load', *chosen_steps, LAST_STEP, ''])
    scenario = scenarios.Scenario(FILES / 'random.scn', text)
    hypothesis.note(text)
    assert scenario.run(seed).failures == []
