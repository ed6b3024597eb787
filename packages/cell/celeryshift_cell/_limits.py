"""Resource limits of teams, and the order of work within them.

A team may submit more work than its maximum allows. Its lower-priority work,
which may be long, must not delay its urgent work. So lower-priority work
leaves free what the urgent work of the team used at its recent peak, up to a
share of the maximum, and none of it starts while more urgent work of the team
waits for the limit. Both rules apply once the team uses half of its maximum;
services (``is_lasting``) are exempt from them.
"""

from celeryshift_cell import _headroom
from celeryshift_cell import _state
from celeryshift_cell import _usage
from celeryshift_cell import model

# Maximum share of a limit that is kept free for urgent work.
MAX_HEADROOM_SHARE = 0.25


def keep_former_teams(cell: _state.Cell, config: model.Config) -> None:
    """Keep the limits of teams with jobs that a new configuration lacks."""
    known = cell.former_teams | cell.config.teams_by_name
    missing = {job.spec.team for job in cell.jobs.values()}.difference(
        config.teams_by_name
    )
    cell.former_teams = {
        name: known[name] for name in sorted(missing) if name in known
    }


def find_team(cell: _state.Cell, name: str) -> model.Team | None:
    """Return the limits of a team, as last known; None if it has none."""
    team = cell.config.teams_by_name.get(name)
    return team or cell.former_teams.get(name)


def allows(cell: _state.Cell, step: _state.StepRun, size: model.Size) -> bool:
    """Return whether a team may start more of a step within its limit."""
    name = step.job.spec.team
    team = find_team(cell, name)
    if team is None:
        return True
    used = cell.usage(name)
    in_doubt = cell.in_doubt_by_team.get(name) if cell.unfenced else None
    if in_doubt is not None:
        limit = _with_overage(team.maximum, cell.options.in_doubt_overage)
        if not used.plus(in_doubt).allows(size, limit):
            return False
    may_use_headroom = step.spec.is_lasting or _headroom.is_urgent(step)
    if may_use_headroom or not _is_half_used(used, team.maximum):
        return used.allows(size, team.maximum)
    rank = step.job.rank
    if cell.limit_reservations.get(name, rank) < rank:
        return False
    return used.allows(size, _minus_headroom(used, team.maximum))


def _with_overage(maximum: model.Size, share: float) -> model.Size:
    """Return a maximum raised by the overage allowed for in-doubt runs."""
    return model.Size(
        int(maximum.cpu_milli * (1 + share)),
        int(maximum.memory_mb * (1 + share)),
        int(maximum.accelerators * (1 + share)),
    )


def _is_half_used(used: _usage.Usage, maximum: model.Size) -> bool:
    """Return whether a team uses at least half of its maximum.

    Below that it keeps no headroom for urgent work.
    """
    return (
        0 < maximum.cpu_milli <= 2 * used.cpu_milli
        or 0 < maximum.memory_mb <= 2 * used.memory_mb
    )


def _minus_headroom(usage: _usage.Usage, maximum: model.Size) -> model.Size:
    """Return a maximum minus the headroom for the team's urgent work."""
    cpu = min(
        usage.urgent_cpu.headroom, MAX_HEADROOM_SHARE * maximum.cpu_milli
    )
    memory = min(
        usage.urgent_memory.headroom, MAX_HEADROOM_SHARE * maximum.memory_mb
    )
    return model.Size(
        maximum.cpu_milli - int(cpu),
        maximum.memory_mb - int(memory),
        maximum.accelerators,
    )
