"""Random losses of nodes on the reducer of a cell, in simulated time.

Each node sends one query to the policy service at a time. To run a range of
seeds: ``python -m tests.test_cell_node_losses 100 400``.
"""

import sys

import attrs
import pytest
from tests import cells
from tests import cellsim
from tests import simnodes
from tests import test_cell_random

SEEDS = range(24)
FAULTS_S = test_cell_random.FAULTS_S
NODE_LOSSES = 8
OTHER_FAULTS = 6
# How long nodes are without power, restart or are frozen.
LOSS_RANGE_S = (0.3, 9.5)
MAX_NODES = 9
# Share of the jobs on whose queue a decision takes long.
SLOWLY_ADVISED_SHARE = 0.5
# Whether the calls to a lost node hang, and whether it restarts: it loses
# power, crashes or freezes.
KINDS = ((True, True), (False, True), (True, False))


def simulate(seed: int) -> cellsim.Sim:
    """Run the simulation with nodes that are lost, several at once.

    Raises ``InvariantError`` if the cell violates an invariant or jobs never
    end.
    """
    sim = cellsim.Sim(seed)
    nodes = simnodes.PolicyNodes(sim, sim.random.randint(1, MAX_NODES))
    sim.nodes = nodes
    for number in range(test_cell_random.JOBS):
        job = test_cell_random.random_job(sim, number)
        if sim.random.random() < SLOWLY_ADVISED_SHARE:
            job = attrs.evolve(job, queue=cells.SLOWLY_ADVISED.name)
        sim.schedule(
            sim.random.uniform(0, FAULTS_S), lambda j=job: sim.submit(j)
        )
    for _ in range(NODE_LOSSES):
        sim.schedule(
            sim.random.uniform(1, FAULTS_S), lambda: _lose_nodes(sim, nodes)
        )
    for _ in range(OTHER_FAULTS):
        sim.schedule(
            sim.random.uniform(1, FAULTS_S),
            lambda: test_cell_random.inject_fault(sim),
        )
    sim.run(FAULTS_S + test_cell_random.SETTLE_S)
    test_cell_random.check_all_ended(sim)
    return sim


def _lose_nodes(sim: cellsim.Sim, nodes: simnodes.PolicyNodes) -> None:
    """Lose some nodes at once, the owner with the chance that it is one."""
    names = list(nodes.nodes)
    lost = sim.random.sample(names, sim.random.randint(1, len(names)))
    hangs, restarts = sim.random.choice(KINDS)
    nodes.lose(lost, sim.random.uniform(*LOSS_RANGE_S), hangs, restarts)
    if sim.random.random() < len(lost) / len(names):
        sim.take_over(is_dead=True)


@pytest.mark.parametrize('seed', SEEDS)
def test_no_job_is_lost_with_the_nodes_that_query_for_it(seed):
    # Queries were never sent again after most nodes had been lost at once.
    sim = simulate(seed)
    assert len(sim.final_states) == test_cell_random.JOBS


if __name__ == '__main__':
    first, last = (int(text) for text in sys.argv[1:3])
    for number in range(first, last):
        try:
            simulate(number)
        except cellsim.InvariantError as error:
            sys.stdout.write(f'{number}: {error}\n')
