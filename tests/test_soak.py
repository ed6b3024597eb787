"""The soak, for a short while and with fixed seeds."""

import pytest
from tests import soak

# One for every run, and those that once failed, each with its cause.
SEEDS = [1]


@pytest.mark.parametrize('seed', SEEDS)
def test_promises_hold_while_faults_come(seed):
    soak.play(seed)
