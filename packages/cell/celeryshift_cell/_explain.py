"""Diagnostic summaries of a cell and of its jobs."""

import collections
from typing import Any

from celeryshift_cell import _admission
from celeryshift_cell import _cold
from celeryshift_cell import _crashes
from celeryshift_cell import _evacuation
from celeryshift_cell import _jobs
from celeryshift_cell import _placement
from celeryshift_cell import _requirements
from celeryshift_cell import _state


def describe(cell: _state.Cell) -> dict[str, Any]:
    """Return a summary of a cell."""
    phases = collections.Counter(
        run.phase.value
        for worker in cell.workers.values()
        for run in worker.runs.values()
    )
    workers = cell.workers.values()
    return {
        'epoch': cell.epoch,
        'jobs': len(cell.jobs),
        'steps_waiting': len(cell.waiting),
        'jobs_overdue': len(cell.overdue_jobs),
        'memory': {
            'limit': cell.footprint.limit,
            'accepted': cell.footprint.accepted,
            'started': cell.footprint.started,
        },
        'runs': dict(phases),
        'workers': len(cell.workers),
        'workers_usable': sum(w.is_usable(cell.now) for w in workers),
        'workers_silent': sorted(w.id for w in workers if w.is_silent),
        'workers_in_doubt': sorted(cell.unfenced),
        'workers_cold': _cold.count(cell),
        'data_centres_evacuated': _evacuation.known(cell),
        'evacuations_unknown': sorted(cell.unknown_evacuations),
        'teams': {
            name: [usage.cpu_milli, usage.memory_mb, usage.accelerators]
            for name, usage in cell.usage_by_team.items()
        },
    }


def gauges(cell: _state.Cell) -> dict[str, int]:
    """Return the values of the gauges of a cell, by name."""
    return {
        'evacuated_data_centres': len(_evacuation.known(cell)),
        'cold_workers': _cold.count(cell),
        'memory_limit_bytes': cell.footprint.limit,
        'memory_accepted_bytes': cell.footprint.accepted,
        'memory_started_bytes': cell.footprint.started,
        'jobs_overdue': len(cell.overdue_jobs),
    }


def explain(cell: _state.Cell, job_id: str) -> dict[str, Any] | None:
    """Return the state of a job by step, or None if it is unknown."""
    job = cell.jobs.get(job_id)
    if job is None:
        return None
    return {
        'state': job.state.value,
        'is_recorded': job.is_recorded,
        'queue': job.spec.queue,
        'team': job.spec.team,
        'age_ms': round(_jobs.age_ms(cell, job)),
        'is_surplus': job.spec.is_surplus,
        'predicted_age_ms': _admission.explain(cell, job),
        'occurrences': job.spec.occurrences,
        'occurrences_released': job.next_occurrence,
        'steps_left': job.remaining_steps,
        # Those in memory; steps that are not ready or done are not.
        'steps': {
            step.name: _explain_step(cell, step) for step in job.steps.known
        },
    }


def _explain_step(cell: _state.Cell, step: _state.StepRun) -> dict[str, Any]:
    return {
        'left': step.remaining_tasks,
        'waiting': len(step.pending),
        'why': _wait_reason(cell, step),
        'runs': {
            f'{task.name} run {run.number}': [
                run.worker.id,
                run.phase.value,
                run.percent,
            ]
            for task in step.tasks.known
            for run in task.runs.values()
        },
    }


def _wait_reason(cell: _state.Cell, step: _state.StepRun) -> str:
    """Return why a step has tasks that have not completed."""
    if step.remaining_tasks == 0:
        return 'done'
    if not step.is_ready:
        return 'earlier steps or its time'
    if not step.pending:
        return 'running'
    if _placement.is_blocked_in_doubt(cell, step):
        return 'a silent worker may still run its tasks'
    if _evacuation.blocks(cell, step):
        names = ', '.join(_evacuation.known(cell))
        return f'only evacuated data centres can run it: {names}'
    if step.blocked_by_limit:
        return 'the limit of its team'
    if step.blocked_by_headroom:
        return 'the room that is left is kept for urgent work'
    if step.blocked_by_memory:
        return 'memory of the owner'
    if _crashes.has_suspects(step):
        return 'workers were lost under its tasks, which start on trial'
    if step.pending_query:
        return 'the answer of the policy service'
    if _requirements.policy_service(step) is not None and not any(
        _requirements.valid_ticket(cell, step, worker)
        for worker in cell.workers.values()
    ):
        return 'no ticket for a worker'
    if _cold.holds_back(cell, step):
        return 'the share of cold workers for work that is not urgent'
    return 'no room on the workers that may run it'
