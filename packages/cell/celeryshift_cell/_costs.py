"""Costs of workers for a task, which decide where it starts."""

import math

from celeryshift_cell import _cold
from celeryshift_cell import _completion
from celeryshift_cell import _interference
from celeryshift_cell import _run_times
from celeryshift_cell import _state


def cost(
    cell: _state.Cell,
    step: _state.StepRun,
    task: _state.Task,
    worker: _state.Worker,
) -> tuple[float, ...]:
    """Return the cost of a worker for a task; the lowest is best.

    It may depend on what runs on this worker, but not on other workers; see
    ``_placement._Ranking``.

    Urgent tasks prefer warm workers, and the fastest of these. All other tasks
    are packed onto the fullest workers that fit, which leaves room for large
    tasks and keeps fast workers free for urgent ones.
    """
    spec = step.spec
    is_remote = bool(spec.near_rack) and worker.entry.rack != spec.near_rack
    is_avoided = (
        worker.id in task.failed_on or worker.id in task.avoided_workers
    )
    is_cold = _cold.is_cold(cell, worker)
    is_cold_for_urgent = _cold.is_cold_for_urgent(cell, step, worker)
    if spec.is_filler:
        idle_cpu = worker.free_cpu - worker.filler_cpu
        disturbance = _interference.penalty(cell, step, worker)
        return (
            is_avoided,
            is_cold_for_urgent,
            is_remote,
            disturbance,
            -idle_cpu,
            is_cold,
        )
    capacity = max(worker.entry.capacity.cpu_milli, 1)
    free_share = (worker.free_cpu - spec.size.cpu_milli) / capacity
    disturbance = _interference.penalty(cell, step, worker)
    if _run_times.is_used(cell):
        speed_cost = _completion.cost(cell, step, task, worker)
        return (
            is_avoided,
            is_cold_for_urgent,
            is_remote,
            *speed_cost,
            disturbance,
            free_share,
            is_cold,
        )
    is_slow = worker.slowness > cell.options.slow_factor
    if step.job.queue.priority > 0:
        return (
            is_avoided,
            is_cold_for_urgent,
            is_remote,
            is_slow,
            disturbance,
            free_share,
            is_cold,
        )
    log_factor = math.log(cell.options.similar_factor)
    return (
        is_avoided,
        is_cold_for_urgent,
        is_remote,
        math.log(worker.slowness) // log_factor,
        disturbance,
        free_share,
    )
