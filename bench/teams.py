"""Limits and shares of teams, measured in virtual time.

Prints how far teams are from their fair shares, and how many allotment moves
(between slices and the pool in the store) a burst of all teams causes.
"""

import collections
import sys

import celeryshift_client
from celeryshift_core import _usage
from celeryshift_standins import world as worlds

UPSTREAM = 'coding'
SLOTS = 8
SETTLE_S = 12.0


def fleet_document(
    share_by_team: dict[str, float], limit_slots: int = 1_000_000
) -> dict:
    """Build a configuration with an open queue for each team."""
    fleet = celeryshift_client.Fleet()
    fleet.upstream(UPSTREAM)
    fleet.batch('quick', UPSTREAM)
    for team, share in share_by_team.items():
        fleet.team(team, share=share, limit_slots=limit_slots)
        fleet.queue(f'of-{team}', open_for=team)
    return fleet.document()


def start_world(
    document: dict, workers: int, nodes: int = 2, centres: int = 1
) -> worlds.World:
    """Start a simulated world and run it until it has settled."""
    world = worlds.World(seed=1)
    world.configure(document)
    for centre in range(centres):
        data_centre = f'dc{centre}'
        for number in range(workers):
            world.add_worker(f'{data_centre}-w{number}', data_centre, UPSTREAM)
        for number in range(nodes):
            world.add_node(f'{data_centre}-n{number}', data_centre)
    world.run(SETTLE_S)
    return world


def submit_jobs(
    world: worlds.World,
    team: str,
    seconds: float,
    tasks: int = 30,
    run_s: float = 1.0,
) -> None:
    """Schedule two jobs a second for the given number of seconds.

    They are submitted alternately to the first two nodes of data centre 0.
    """
    for number in range(int(seconds * 2)):

        def submit(number: int = number) -> None:
            world.submit(
                f'dc0-n{number % 2}',
                f'{team}-{world.now:.1f}',
                'quick',
                f'of-{team}',
                team=team,
                tasks=tasks,
                run_s=run_s * (0.8 + 0.4 * world.rng.random()),
            )

        world.call_at(world.now + number / 2, submit)


def usage_by_team(
    world: worlds.World, since: float, until: float
) -> dict[str, float]:
    """Return the fraction of all slots that each team used in a period."""
    used: collections.Counter[str] = collections.Counter()
    for span in world.spans():
        overlap_s = min(span.until, until) - max(span.started_at, since)
        used[span.team] += max(0.0, overlap_s) * span.slots  # type: ignore
    total = (until - since) * len(world.workers_by_name) * SLOTS
    return {team: slots / total for team, slots in used.items()}


def max_distance(
    used: dict[str, float], share_by_team: dict[str, float]
) -> float:
    """Return the largest distance of a team from its fair share.

    The distance is a fraction of all slots.
    """
    total = sum(share_by_team.values())
    return max(
        abs(used.get(team, 0.0) - share / total)
        for team, share in share_by_team.items()
    )


def doubling_shares() -> dict[str, float]:
    """Return the shares of six teams, each twice the previous one."""
    return {f't{number}': 2.0**number for number in range(6)}


def full_scale_shares() -> dict[str, float]:
    """Return the shares of as many teams as a fleet is designed for."""
    return {f't{number}': 1.0 + number % 4 for number in range(46)}


def run_full_fleet(
    share_by_team: dict[str, float],
) -> tuple[worlds.World, float]:
    """Fill a fleet; return its world and `max_distance` in the last 12 s."""
    world = start_world(fleet_document(share_by_team), 40)
    for team in share_by_team:
        submit_jobs(world, team, 20.0, tasks=1200 // len(share_by_team))
    began = world.now
    world.run(18.0)
    used = usage_by_team(world, began + 6.0, world.now)
    return world, max_distance(used, share_by_team)


def run_burst() -> None:
    """Submit jobs of 46 teams to all of nine data centres at once.

    Each team has a limit of 40 slots. Prints for each second how many tasks
    run and how many allotments were moved.
    """
    world = start_world(
        fleet_document(full_scale_shares(), 40), 16, nodes=4, centres=9
    )
    for number, team in enumerate(full_scale_shares()):
        for centre in range(9):
            world.submit(
                f'dc{centre}-n{number % 4}',
                f'{team}-{centre}',
                'quick',
                f'of-{team}',
                tasks=60,
                run_s=1.5,
            )
    before: collections.Counter[str] = collections.Counter()
    for second in range(1, 16):
        world.run(1.0)
        counts: collections.Counter[str] = collections.Counter()
        for node in world.nodes_by_name.values():
            counts.update(node.state.counters)
        running = sum(
            span.started_at <= world.now < span.until for span in world.spans()
        )
        moves = counts['allotments.moves'] - before['allotments.moves']
        sys.stdout.write(f'{second:3} s: {running} run, {moves} moves\n')
        before = counts


def main() -> None:
    """Print the distances, then the moves of allotments in a burst."""
    for teams in (doubling_shares(), full_scale_shares()):
        world, distance = run_full_fleet(teams)
        distance_by_team = _usage.distances(
            world.nodes_by_name['dc0-n0'].state
        )
        reported = max(
            abs(entry.distance) for entry in distance_by_team.values()
        )
        sys.stdout.write(
            f'{len(teams)} teams: {distance:.4f}, as reported {reported:.4f}\n'
        )
    run_burst()


if __name__ == '__main__':
    main()
