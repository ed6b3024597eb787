"""What teams may use, and whose turn it is within that.

This answers teams that hand in more than their maximum allows: their own
longer work must not keep their urgent work waiting. So a team's longer work
leaves a part of the maximum to what the urgent work of the team has used at
its recent peak, and nothing of it starts while urgent work waits for the
maximum.
"""

from celeryshift_cell import _reserve
from celeryshift_cell import _state
from celeryshift_cell import model

# At most this share of a maximum is kept for urgent work.
MOST_SHARE = 0.25


def allows(cell: _state.Cell, step: _state.StepRun, size: model.Size) -> bool:
    """Tell whether more of a step may run beside what its team runs."""
    name = step.job.spec.team
    team = cell.config.teams_by_name.get(name)
    if team is None:
        return True
    used = cell.usage(name)
    doubt = cell.doubt_by_team.get(name) if cell.unfenced else None
    if doubt is not None:
        most = _with_overage(team.maximum, cell.options.in_doubt_overage)
        if not used.plus(doubt).allows(size, most):
            return False
    is_free = step.spec.is_lasting or _reserve.is_urgent(step)
    if is_free or not _is_half_used(used, team.maximum):
        return used.allows(size, team.maximum)
    priority = step.job.queue.priority
    if cell.team_claims.get(name, priority) < priority:
        return False
    return used.allows(size, _less_kept(used, team.maximum))


def _with_overage(maximum: model.Size, share: float) -> model.Size:
    """Give a maximum that something in doubt may reach."""
    return model.Size(
        int(maximum.cpu_milli * (1 + share)),
        int(maximum.memory_mb * (1 + share)),
        int(maximum.accelerators * (1 + share)),
    )


def _is_half_used(used: _state.Usage, maximum: model.Size) -> bool:
    """Tell whether a team is near enough to its maximum to save room."""
    return (
        0 < maximum.cpu_milli <= 2 * used.cpu_milli
        or 0 < maximum.memory_mb <= 2 * used.memory_mb
    )


def _less_kept(usage: _state.Usage, maximum: model.Size) -> model.Size:
    """Give a maximum less what is kept for urgent work."""
    cpu = min(usage.urgent_cpu.unused, MOST_SHARE * maximum.cpu_milli)
    memory = min(usage.urgent_memory.unused, MOST_SHARE * maximum.memory_mb)
    return model.Size(
        maximum.cpu_milli - int(cpu),
        maximum.memory_mb - int(memory),
        maximum.accelerators,
    )
