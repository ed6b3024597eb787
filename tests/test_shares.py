"""Shares of the teams in a full fleet."""

import builders
import pytest

from celeryshift_core import _usage
from celeryshift_standins import world as worlds

SLOTS = 8
WORKERS = 40


def _fleet(share_by_team):
    made = builders.fleet()
    for team, share in share_by_team.items():
        made.team(team, share=share)
        made.queue(f'of-{team}', open_for=team)
    made.batch('quick', builders.UPSTREAM)
    return made.document()


def _world(share_by_team, workers=WORKERS):
    world = worlds.World(seed=1)
    world.configure(_fleet(share_by_team))
    for number in range(workers):
        world.add_worker(f'w{number}', 'dc1')
    for number in range(2):
        world.add_node(f'n{number}', 'dc1')
    world.run(12.0)
    return world


def _offer(world, team, seconds, every_s=0.5, tasks=30, run_s=1.0):
    """Submit small jobs at both nodes, one after another."""
    count = int(seconds / every_s)
    for number in range(count):

        def submit(number=number):
            world.submit(
                f'n{number % 2}',
                f'{team}-{world.now:.1f}',
                'quick',
                f'of-{team}',
                team=team,
                tasks=tasks,
                run_s=run_s * (0.8 + 0.4 * world.rng.random()),
            )

        world.at(world.now + number * every_s, submit)


def _used_by_team(world, since, until):
    """Give the part of the fleet that each team used over a time."""
    used = dict.fromkeys((), 0.0)
    for span in world.spans():
        lasted = min(span.until, until) - max(span.started_at, since)
        if lasted > 0:
            used[span.team] = used.get(span.team, 0.0) + lasted * span.slots
    total = (until - since) * len(world.workers_by_name) * SLOTS
    return {team: slots / total for team, slots in used.items()}


def distance(used_by_team, share_by_team):
    """Give the greatest distance from a portion, as part of the fleet."""
    total = sum(share_by_team.values())
    return max(
        abs(used_by_team.get(team, 0.0) - share / total)
        for team, share in share_by_team.items()
    )


def six():
    """Give six teams, each with twice the share of the one before."""
    return {f't{number}': 2.0**number for number in range(6)}


def many():
    """Give as many teams as the fleet is designed for."""
    return {f't{number}': 1.0 + number % 4 for number in range(46)}


@pytest.mark.parametrize('teams', [six, many])
def test_a_full_fleet_is_divided_by_share(teams):
    share_by_team = teams()
    world = _world(share_by_team)
    tasks = 200 if teams is six else 20
    for team in share_by_team:
        _offer(world, team, 20.0, tasks=tasks)
    began = world.now
    world.run(18.0)
    used = _used_by_team(world, began + 6.0, world.now)
    assert sum(used.values()) > 0.9
    assert distance(used, share_by_team) < 0.02
    state = world.nodes_by_name['n0'].state
    told = _usage.distances(state)
    assert max(abs(entry.distance) for entry in told.values()) < 0.1


def test_a_team_that_was_idle_starves_nobody_and_is_not_starved():
    share_by_team = {'old': 1.0, 'new': 1.0}
    world = _world(share_by_team, 8)
    _offer(world, 'old', 50.0, tasks=100)
    world.run(20.0)
    _offer(world, 'new', 30.0, tasks=100)
    began = world.now
    for second in range(3, 20, 4):
        world.run_until(began + second + 4)
        used = _used_by_team(world, began + second, world.now)
        assert distance(used, share_by_team) < 0.1, second


def test_teams_at_their_limits_do_not_hold_up_the_others():
    limited = {f'l{number}': 1.0 for number in range(12)}
    share_by_team = {**limited, 'free': 1.0}
    world = _world(share_by_team, 8)
    made = builders.fleet()
    made.batch('quick', builders.UPSTREAM)
    for team in share_by_team:
        most = 1 if team in limited else 1000
        made.team(team, limit_slots=most)
        made.queue(f'of-{team}', open_for=team)
    world.configure(made.document())
    world.run(3.0)
    for team in share_by_team:
        _offer(world, team, 1.0, tasks=100, run_s=30.0)
    world.run(10.0)
    used = _used_by_team(world, world.now - 1.0, world.now)
    assert used['free'] > 0.7
