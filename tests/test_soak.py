"""Soak test, short and with fixed seeds."""

import pytest
from tests import soak

# Seed 1 always runs; a seed that once failed is added, with its cause.
SEEDS = [1]


@pytest.mark.parametrize('seed', SEEDS)
def test_promises_hold_while_faults_come(seed):
    soak.run_seed(seed)
