"""Usage of teams that is in doubt after a change of owner.

A former owner may have started runs on workers that have not answered the
new owner yet (``Cell.unfenced``). Such runs count towards the limit of their
team until the worker answers or its lease has certainly expired.
"""

from celeryshift_cell import _jobs
from celeryshift_cell import _state
from celeryshift_cell import _usage
from celeryshift_cell import model

# Minimum interval between recounts, each of which visits every task in doubt.
# Tasks started since the last recount count twice, an error on the safe side.
RECOUNT_S = 0.05
NO_USAGE = _usage.Usage()


def update(cell: _state.Cell) -> None:
    """Recount the usage in doubt unless the last count is recent."""
    if not cell.unfenced:
        cell.in_doubt_by_team = {}
    elif cell.now >= cell.in_doubt_recount_at:
        cell.in_doubt_recount_at = cell.now + RECOUNT_S
        cell.in_doubt_by_team = possible_usage_by_team(cell)


def possible_usage_by_team(cell: _state.Cell) -> dict[str, _usage.Usage]:
    """Return what each team may be running on unfenced workers.

    Counts every task that may have been started and is not known to run. The
    result is capped by the capacity of the unfenced workers. It is also capped
    by the team's limit minus the usage that was found on other workers at the
    change of owner.
    """
    found: dict[str, _usage.Usage] = {}
    for job in cell.jobs.values():
        if job.state in _jobs.FINAL:
            continue
        for step in job.steps.values():
            if may_have_started(step):
                usage = found.setdefault(job.spec.team, _usage.Usage())
                usage.add(step.spec.size, _count_possible_runs(step))
    total = _unfenced_capacity(cell)
    for name, usage in found.items():
        if total is not None:
            usage.cap(total, NO_USAGE)
        team = cell.config.teams_by_name.get(name)
        if team is not None:
            usage.cap(team.maximum, cell.adopted_usage(name))
    return found


def _unfenced_capacity(cell: _state.Cell) -> model.Size | None:
    """Return the capacity of the unfenced workers, or None if unknown."""
    total = _usage.Usage()
    for worker_id in cell.unfenced:
        worker = cell.workers.get(worker_id)
        if worker is None or not worker.entry.capacity.cpu_milli:
            return None
        total.add(worker.entry.capacity, 1)
    return model.Size(total.cpu_milli, total.memory_mb, total.accelerators)


def _count_possible_runs(step: _state.StepRun) -> int:
    # If the step allows copies, an unknown run may exist beside a known one.
    return sum(
        not task.is_done and (not task.runs or step.spec.allows_copies)
        for task in step.tasks
    )


def may_have_started(step: _state.StepRun) -> bool:
    """Return whether a former owner may have started tasks of a step.

    It may have received completions of earlier steps that this one has not,
    except for a task of which this owner still knows the only run.
    """
    if not (step.in_doubt and step.remaining_tasks):
        return False
    steps = step.job.steps
    return not any(
        task.runs and not task.step.spec.allows_copies
        for number in step.spec.after
        for task in steps[step.occurrence, number].tasks
    )
