"""Usage of teams that is in doubt after a change of owner.

A former owner may have started runs on workers that have not answered the
new owner yet (``Cell.unfenced``). Such runs count towards the limit of their
team until the worker answers or its lease has certainly expired.
"""

from collections.abc import Iterator
import math

from celeryshift_cell import _jobs
from celeryshift_cell import _limits
from celeryshift_cell import _state
from celeryshift_cell import _usage
from celeryshift_cell import model

# Minimum interval between recounts, each of which visits every job, for this
# many jobs. Tasks started since the last recount count twice, an error on the
# safe side.
RECOUNT_S = 0.05
RECOUNTED_JOBS = 1000
NO_USAGE = _usage.Usage()


def update(cell: _state.Cell) -> None:
    """Recount the usage in doubt unless the last count is recent."""
    if not cell.unfenced:
        cell.in_doubt_by_team = {}
    elif cell.now >= cell.in_doubt_recount_at:
        cell.in_doubt_recount_at = cell.now + RECOUNT_S * math.ceil(
            len(cell.jobs) / RECOUNTED_JOBS
        )
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
        for size, count in _possible_runs(job):
            usage = found.setdefault(job.spec.team, _usage.Usage())
            usage.add(size, count)
    total = _unfenced_capacity(cell)
    for name, usage in found.items():
        if total is not None:
            usage.cap(total, NO_USAGE)
        team = _limits.find_team(cell, name)
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


def _possible_runs(job: _state.JobRun) -> Iterator[tuple[model.Size, int]]:
    """Yield the numbers of tasks that a former owner may have started."""
    steps = job.steps
    in_memory = {
        step.occurrence
        for step in steps.known
        if step.occurrence < job.occurrences_in_doubt
    }
    for occurrence in in_memory:
        for number, spec in enumerate(job.spec.steps):
            step = steps.get((occurrence, number))
            if step is not None:
                if may_have_started(step):
                    yield spec.size, _count_possible_runs(step)
            elif not (
                steps.is_done(occurrence, number)
                or _has_known_run(job, occurrence, spec.after)
            ):
                yield spec.size, spec.count
    for number, spec in enumerate(job.spec.steps):
        others = steps.count_remaining(number, job.occurrences_in_doubt) - sum(
            not steps.is_done(occurrence, number) for occurrence in in_memory
        )
        if others:
            yield spec.size, others * spec.count


def _count_possible_runs(step: _state.StepRun) -> int:
    # If the step allows copies, an unknown run may exist beside a known one.
    known = 0
    if not step.spec.allows_copies:
        known = sum(
            bool(task.runs) and not task.is_done for task in step.tasks.known
        )
    return step.remaining_tasks - known


def may_have_started(step: _state.StepRun) -> bool:
    """Return whether a former owner may have started tasks of a step.

    It may have received completions of earlier steps that this one has not,
    except for a task of which this owner still knows the only run.
    """
    if not (step.in_doubt and step.remaining_tasks):
        return False
    return not _has_known_run(step.job, step.occurrence, step.spec.after)


def _has_known_run(
    job: _state.JobRun, occurrence: int, numbers: tuple[int, ...]
) -> bool:
    """Return whether the only run of a task of one of the steps is known."""
    steps = (job.steps.get((occurrence, number)) for number in numbers)
    return any(
        task.runs
        for step in steps
        if step is not None and not step.spec.allows_copies
        for task in step.tasks.known
    )
