"""Preempts lower-priority tasks of a team in favour of its urgent work.

If a team is at its limit, and urgent work of it has waited for ``GRACE_S`` and
can still meet its objective, other tasks of the same team are stopped. Those
that have made the least progress are stopped first.
"""

from celeryshift_cell import _headroom
from celeryshift_cell import _limits
from celeryshift_cell import _ordering
from celeryshift_cell import _state
from celeryshift_cell import _stops
from celeryshift_cell import _usage

# How long urgent work waits for other tasks to complete before it preempts.
GRACE_S = 0.1
# A task without checkpoints is preempted only below this progress.
EARLY_PERCENT = 10


def preempt(cell: _state.Cell) -> None:
    """Stop other tasks of teams whose urgent work waits for their limit."""
    shortfall_by_team: dict[str, _usage.Usage] = {}
    for step in cell.waiting.values():
        if not (step.blocked_by_limit and _headroom.is_urgent(step)):
            continue
        waited_s = cell.now - step.ready_at
        if waited_s < GRACE_S or not _ordering.can_meet_objective(cell, step):
            continue
        shortfall = shortfall_by_team.setdefault(
            step.job.spec.team, _usage.Usage()
        )
        shortfall.add(step.spec.size, len(step.pending))
    for name, shortfall in shortfall_by_team.items():
        _preempt_team(cell, name, shortfall)


def _preempt_team(
    cell: _state.Cell, name: str, shortfall: _usage.Usage
) -> None:
    """Stop the tasks with the least progress to cover a shortfall."""
    team = _limits.find_team(cell, name)
    if team is None:
        return
    shortfall.cpu_milli -= _unused(
        team.maximum.cpu_milli, cell.usage(name).cpu_milli
    )
    shortfall.memory_mb -= _unused(
        team.maximum.memory_mb, cell.usage(name).memory_mb
    )
    candidates = []
    for worker in cell.workers.values():
        for run in worker.runs.values():
            if run.task.step.job.spec.team != name:
                continue
            if run.phase is _state.Phase.STOPPING:
                shortfall.add(run.task.step.spec.size, -1)
            elif _is_preemptible(run):
                candidates.append(run)
    candidates.sort(key=lambda run: (run.percent, run.task.name))
    for run in candidates:
        if shortfall.cpu_milli <= 0 and shortfall.memory_mb <= 0:
            return
        shortfall.add(run.task.step.spec.size, -1)
        _stops.stop(cell, run, 'urgent work of its team waits')


def _unused(maximum: int, used: int) -> int:
    # A maximum of 0 means no limit.
    return maximum - used if maximum else used


def _is_preemptible(run: _state.Run) -> bool:
    spec = run.task.step.spec
    if run.task.step.job.queue.priority == _headroom.URGENT:
        return False
    if spec.is_lasting or spec.is_gang or spec.is_filler:
        return False
    is_early = run.percent < EARLY_PERCENT
    return run.phase is _state.Phase.RUNNING and (spec.checkpoints or is_early)
