"""Order in which waiting steps are placed.

The order matters under overload, when more work arrives than fits. Steps are
sorted by the priority of their queue. Within a priority there are three
classes: jobs that can still meet their objective, then jobs that can finish
within ``LATE_FACTOR`` times the objective, then all others. Within the first
two classes the job with the least remaining work comes first, since it frees
its capacity soonest. This does not starve long jobs: as jobs age, they drop
to the last class, where the oldest comes first.
"""

from celeryshift_cell import _jobs
from celeryshift_cell import _run_times
from celeryshift_cell import _state
from celeryshift_cell import model

# A late result still has some value up to this multiple of the objective.
LATE_FACTOR = 3.0
# Classes of steps within a priority.
IN_TIME, LATE, WORTHLESS = range(3)


def sort_key(cell: _state.Cell, step: _state.StepRun) -> tuple[float, ...]:
    """Return the sort key of a step; the lowest is placed first."""
    job = step.job
    if step.spec.is_lasting:
        # The value of a service is the time that it runs, so services come
        # first within their priority.
        return (job.rank, IN_TIME, 0.0, step.ready_at)
    step_class = classify(cell, step)
    if step_class == WORTHLESS:
        return (job.rank, WORTHLESS, job.spec.arrived_ms, step.ready_at)
    path_ms = remaining_path_ms(cell, step)
    if job.queue.upstream in cell.backlog.saturated:
        # What has begun is finished first. Otherwise more jobs share the
        # capacity than can end in time.
        has_begun = job.state is model.JobState.RUNNING
        return (job.rank, step_class, not has_begun, path_ms, step.ready_at)
    return (job.rank, step_class, path_ms, step.ready_at)


def classify(cell: _state.Cell, step: _state.StepRun) -> int:
    """Return the class of a step within its priority."""
    if can_meet_objective(cell, step):
        return IN_TIME
    if can_meet_objective(cell, step, LATE_FACTOR):
        return LATE
    return WORTHLESS


def objective_ms(job: _state.JobRun) -> float:
    """Return the objective for the age of a job at its completion."""
    return job.queue.stretch * job.critical_path_ms + job.queue.target_ms


def can_meet_objective(
    cell: _state.Cell, step: _state.StepRun, factor: float = 1.0
) -> bool:
    """Return whether a job can end within a multiple of its objective."""
    job = step.job
    age_ms = _jobs.age_ms(cell, job)
    limit_ms = factor * objective_ms(job)
    return age_ms + remaining_path_ms(cell, step) <= limit_ms


def remaining_path_ms(cell: _state.Cell, step: _state.StepRun) -> float:
    """Return the expected duration of the critical path from a step on."""
    spec = step.job.spec
    if not any(step.number in other.after for other in spec.steps):
        return _jobs.expected_ms(cell, step)
    path_by_step = [0.0] * len(spec.steps)
    for number in range(len(spec.steps) - 1, step.number - 1, -1):
        after = [
            path_by_step[later]
            for later in range(number + 1, len(spec.steps))
            if number in spec.steps[later].after
        ]
        own_ms = _run_times.expected_ms(
            cell, step.job.spec.queue, spec.steps[number]
        )
        path_by_step[number] = own_ms + max(after, default=0.0)
    return path_by_step[step.number]
