"""Invariants of a simulated cell, checked against what its workers run."""

from typing import TYPE_CHECKING

from celeryshift_cell import _footprint
from celeryshift_cell import effects

if TYPE_CHECKING:
    from tests import cellsim
    from tests import simworkers

# Workers that crash under a task, and starts of it after that many crashes
# that break the promise.
CRASHES = 3
STARTS_AFTER_CRASHES = 3


class InvariantError(AssertionError):
    """Violation of an invariant of the cell."""


def check_start(
    sim: 'cellsim.Sim',
    worker: 'simworkers.Worker',
    order: effects.StartRun,
) -> None:
    """Check the invariants for a run that a worker is about to start."""
    worker.expire_lease()
    step = sim.step_of(order.task)
    other_workers = []
    worker_cpu = step.size.cpu_milli
    team_cpu = step.size.cpu_milli
    for other in sim.workers.values():
        other.expire_lease()
        for task, _ in other.running:
            size = sim.step_of(task).size.cpu_milli
            team_cpu += size
            worker_cpu += size if other is worker else 0
            if task == order.task:
                other_workers.append(other.entry.id)
    context = f'{order.task} run {order.run} at {sim.now:.3f} s'
    if other_workers and not step.allows_copies:
        raise InvariantError(
            f'{context} on {worker.entry.id}: runs on {other_workers}'
        )
    if order.task in sim.stored_done and not step.allows_copies:
        raise InvariantError(f'{context}: its completion was already stored')
    _check_crashes(sim, order.task, context)
    if worker_cpu > worker.counted_cpu:
        raise InvariantError(
            f'{context}: {worker.entry.id} exceeds its capacity'
        )
    limit = sim.maximum.cpu_milli
    if limit and team_cpu > limit + step.size.cpu_milli:
        raise InvariantError(f'{context}: its team uses {team_cpu} millicores')
    job_id, occurrence, *_ = order.task.split('.')
    job = sim.specs[job_id]
    due_ms = job.first_due_ms + int(occurrence) * job.every_ms
    if job.times and due_ms > sim.now * 1000:
        raise InvariantError(f'{context}: it is due at {due_ms} ms')
    for number in step.after:
        for index in range(job.steps[number].count):
            if not sim.done[f'{job.id}.{occurrence}.{number}.{index}']:
                raise InvariantError(
                    f'{context}: step {number} has not completed'
                )


def _check_crashes(sim: 'cellsim.Sim', task: str, context: str) -> None:
    """Check that a task does not crash one worker after the other."""
    if sim.crashes[task] < CRASHES:
        return
    sim.starts_after_crashes[task] += 1
    if sim.starts_after_crashes[task] >= STARTS_AFTER_CRASHES:
        raise InvariantError(
            f'{context}: {sim.crashes[task]} workers crashed under it'
        )


def check_memory(owner: 'cellsim.Owner') -> None:
    """Check that what has started is within the limit of the memory.

    One more step may start, as a gang does, and each job may have one
    occurrence that waits.
    """
    footprint = owner.state.footprint
    allowed = _footprint.STARTED_SHARE * footprint.limit
    widths = (s.count for j in owner.sim.specs.values() for s in j.steps)
    most = max(widths, default=0)
    allowed += most * _footprint.TASK_BYTES
    if footprint.started > allowed + _adopted_bytes(owner):
        raise InvariantError(
            f'{footprint.tasks} tasks and {footprint.steps} steps'
        )


def _adopted_bytes(owner: 'cellsim.Owner') -> int:
    """Return the memory of what former owners have started."""
    runs = sum(len(w.running) for w in owner.sim.workers.values())
    return runs * (_footprint.TASK_BYTES + _footprint.STEP_BYTES)
