"""Requirements of steps on workers: constraints and valid tickets."""

from celeryshift_cell import _state
from celeryshift_cell import model


def policy_service(step: _state.StepRun) -> model.PolicyService | None:
    """Return the policy service of a step's queue, or None."""
    return step.job.queue.advice


def valid_ticket(
    cell: _state.Cell, step: _state.StepRun, worker: _state.Worker
) -> str | None:
    """Return a ticket that remains valid long enough, or None."""
    approval = step.approvals.get(worker.id)
    if approval is None or approval.incarnation != worker.entry.incarnation:
        return None
    if approval.valid_until < cell.now + cell.options.ticket_margin_s:
        return None
    return approval.ticket


def meets_constraints(step: _state.StepRun, worker: _state.Worker) -> bool:
    """Return whether a worker meets the constraints of a step."""
    spec = step.spec
    if spec.required_label and spec.required_label not in (
        worker.entry.labels
    ):
        return False
    limit = spec.most_per_worker
    return not limit or step.runs_by_worker[worker.id] < limit
