"""Shares of the teams in a full fleet."""

from bench import teams
import pytest

from celeryshift_core import _usage


@pytest.mark.parametrize(
    'share_by_team', [teams.doubling_shares(), teams.full_scale_shares()]
)
def test_a_full_fleet_is_divided_by_share(share_by_team):
    world, distance = teams.run_full_fleet(share_by_team)
    used = teams.usage_by_team(world, world.now - 12.0, world.now)
    assert sum(used.values()) > 0.9
    assert distance < 0.02
    distance_by_team = _usage.distances(world.nodes_by_name['dc0-n0'].state)
    assert (
        max(abs(entry.distance) for entry in distance_by_team.values()) < 0.1
    )


def test_a_team_that_was_idle_starves_nobody_and_is_not_starved():
    share_by_team = {'old': 1.0, 'new': 1.0}
    world = teams.start_world(teams.fleet_document(share_by_team), 8)
    teams.submit_jobs(world, 'old', 50.0, tasks=100)
    world.run(20.0)
    teams.submit_jobs(world, 'new', 30.0, tasks=100)
    started_at = world.now
    for second in range(3, 20, 4):
        world.run_until(started_at + second + 4)
        used = teams.usage_by_team(world, started_at + second, world.now)
        assert teams.max_distance(used, share_by_team) < 0.1, second


def test_teams_at_their_limits_do_not_hold_up_the_others():
    limited = {f'l{number}': 1.0 for number in range(12)}
    document = teams.fleet_document({**limited, 'free': 1.0})
    for team in limited:
        document['teams'][team]['limit_slots'] = 1
    world = teams.start_world(document, 8)
    for team in (*limited, 'free'):
        teams.submit_jobs(world, team, 1.0, tasks=100, run_s=30.0)
    world.run(10.0)
    used = teams.usage_by_team(world, world.now - 1.0, world.now)
    assert used['free'] > 0.7
