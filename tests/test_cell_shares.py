"""Shares of teams by weight in a cell."""

import collections

import attrs
import hypothesis
from hypothesis import strategies
import pytest
from tests import cells
from tests import cellsim

import celeryshift_cell as cell
from celeryshift_cell import effects
from celeryshift_cell import events
from celeryshift_cell import model

# Times between which a simulated cell is observed, and pause between samples.
FROM_S, UNTIL_S, SAMPLE_S = 2.0, 8.0, 0.05


def _weighted(**weight_by_team: object) -> model.Config:
    teams = {
        name: model.Team(name, weight)  # type: ignore[arg-type]
        for name, weight in weight_by_team.items()
    }
    return attrs.evolve(cells.config(), teams_by_name=teams)


def _job(
    name: str, team: str, *steps: model.Step, is_surplus=False, **fields
) -> model.Job:
    job = cells.job(name, *steps, **fields)
    return attrs.evolve(job, team=team, is_surplus=is_surplus)


def _start_backlog(weight_by_team, seed: int) -> cellsim.Sim:
    """Start a cell that has more work of every team than it can do."""
    sim = cellsim.Sim(seed, maximum=model.Size())
    sim.config = _weighted(**weight_by_team)
    sim.owner.feed(events.ConfigChanged(0.0, sim.config))
    sim.fail_share, sim.duration_range = 0.0, (0.5, 1.5)
    for number in range(36):
        for position, team in enumerate(weight_by_team):
            job_id = f'{position}{number:03}'
            sim.submit(_job(job_id, team, cells.step(10, 2)))
            surplus = _job(f'a{job_id}', team, is_surplus=True)
            if number < 3:
                sim.submit(surplus)
    return sim


# Shrinking repeats a simulation for minutes, so failures are not shrunk.
@hypothesis.settings(
    max_examples=6,
    deadline=None,
    phases=(hypothesis.Phase.explicit, hypothesis.Phase.generate),
)
@hypothesis.given(
    weights=strategies.lists(
        strategies.sampled_from([1, 2, 5]), min_size=2, max_size=4
    ).filter(lambda weights: len(set(weights)) > 1),
    takeovers=strategies.lists(
        strategies.tuples(strategies.floats(0, 6), strategies.booleans()),
        max_size=3,
    ),
    seed=strategies.integers(0, 1000),
)
def test_every_team_gets_its_share_over_takeovers(weights, takeovers, seed):
    # Without shares, the team whose jobs arrived first took the whole cell.
    weight_by_team = {f'team{n}': weight for n, weight in enumerate(weights)}
    sim = _start_backlog(weight_by_team, seed)
    for at_s, is_dead in takeovers:
        sim.schedule(at_s, lambda is_dead=is_dead: sim.take_over(is_dead))
    used: collections.Counter[str] = collections.Counter()
    at_s = FROM_S
    samples = 0
    while at_s < UNTIL_S:
        sim.run(at_s)
        samples += 1
        for worker in sim.workers.values():
            for task, _ in worker.running:
                assert not task.startswith('a'), 'surplus work ran first'
                used[sim.specs[task.split('.')[0]].team] += 1
        at_s += SAMPLE_S
    for team, weight in weight_by_team.items():
        share = weight / sum(weights) * used.total() / samples
        assert used[team] / samples >= share - 1


def _started_teams(bench: cells.Bench) -> list[str]:
    return [
        bench.state.jobs[start.task.split('.')[0]].spec.team
        for start in bench.effects_of(effects.StartRun)
    ]


def _fill(bench: cells.Bench, team: str, cores: int) -> list:
    return bench.accept(_job('f', team, cells.step(cores)))


def test_jobs_beyond_the_weight_are_surplus():
    # One team that sent seven times its usual delayed all others.
    bench = cells.Bench((cells.entry('a'),), _weighted(a=1, b=3))
    marks = []
    for number in range(8):
        marked = cell.mark_surplus(bench.state, _job(f'{number}', 'b'))
        cell.count_accepted(bench.state, marked)
        marks.append(marked.is_surplus)
    # The burst is two seconds' worth.
    assert marks == [False] * 6 + [True] * 2
    bench.tick(1.0)
    assert not cell.mark_surplus(bench.state, _job('8', 'b')).is_surplus
    # The other team is not affected, and has a burst of two jobs.
    assert not cell.mark_surplus(bench.state, _job('9', 'a')).is_surplus


def test_nothing_is_marked_or_reordered_with_equal_weights():
    # A release that reorders work where nobody asked for shares would change
    # every installation.
    bench = cells.Bench((cells.entry('a', 4),), _weighted(a=2, b=2))
    for number in range(20):
        marked = cell.mark_surplus(bench.state, _job(f'{number}', 'b'))
        cell.count_accepted(bench.state, marked)
        assert not marked.is_surplus
    (first, *_) = _fill(bench, 'a', 4)
    bench.accept(_job('x', 'b', is_surplus=True))
    bench.accept(_job('y', 'a'))
    bench.finish_run(first)
    assert _started_teams(bench) == ['b']


def test_urgent_surplus_work_waits_for_longer_work_within_its_share():
    # Surplus work of one team must not delay what the others are entitled to.
    bench = cells.Bench((cells.entry('a', 4),), _weighted(a=1, b=2))
    (first, *_) = _fill(bench, 'a', 4)
    bench.accept(_job('x', 'b', cells.step(1, 4), is_surplus=True))
    bench.accept(_job('y', 'b', queue='weekly'))
    bench.finish_run(first)
    assert _started_teams(bench) == ['b']
    assert bench.effects_of(effects.StartRun)[0].task.startswith('y')


@pytest.mark.parametrize(
    'weight', [0, -1, 1e300, float('nan'), float('inf'), None, 'many', True]
)
def test_an_invalid_weight_counts_as_the_smallest_and_is_logged_once(weight):
    # A weight of 0 would divide by zero, and an infinite one starve others.
    bench = cells.Bench(configuration=_weighted(a=weight, b=3, c=5))
    assert bench.state.shares.weight('a') == 3
    configuration = _weighted(a=weight, b=3, c=5)
    bench.send(events.ConfigChanged(0.0, configuration))
    logged = [
        decision.decision for decision in bench.effects_of(effects.LogDecision)
    ]
    assert 'weights_invalid' not in logged
    bench.send(events.ConfigChanged(0.0, _weighted(a=1, b=weight)))
    assert any(
        decision.decision == 'weights_invalid'
        for decision in bench.effects_of(effects.LogDecision)
    )


def _stops_for(**fields) -> int:
    """Return how many surplus tasks are stopped for an urgent one in 4 s."""
    bench = cells.Bench(
        tuple(cells.entry(name, 32) for name in 'ab'), _weighted(a=1, b=2)
    )
    step = cells.step(64, checkpoints=True)
    job = _job('s', 'b', step, queue='weekly', is_surplus=True)
    for order in bench.accept(attrs.evolve(job, **fields)):
        bench.answer_start(order)
    # Its objective leaves time to wait.
    urgent = attrs.evolve(cells.step(8), estimate_ms=20_000)
    bench.accept(_job('u', 'a', urgent))
    # Stop orders without an answer are repeated.
    stopped = set()
    for _ in range(40):
        bench.tick()
        stopped |= {s.task for s in bench.effects_of(effects.StopRun)}
    return len(stopped)


def test_lent_capacity_is_reclaimed_within_a_bound():
    # Urgent work waited until long surplus tasks ended; without a bound, one
    # burst would stop all of them.
    assert 3 <= _stops_for() <= 0.02 * 64 * 4


def test_work_within_its_share_is_not_preempted():
    assert _stops_for(is_surplus=False) == 0
