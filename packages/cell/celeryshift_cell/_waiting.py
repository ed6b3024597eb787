"""Steps that wait for a worker, by what they wait for.

A step is tried in the next placement pass unless it is blocked: its last
attempt failed, and nothing has changed since that might let it succeed. When
a run ends, only the blocked steps are examined that its worker, or the limit
of its team, may now serve.
"""

from collections.abc import Callable
from collections.abc import Iterable
import itertools
from typing import TYPE_CHECKING

import attrs

from celeryshift_cell import model

if TYPE_CHECKING:
    from celeryshift_cell import _job_state
    from celeryshift_cell import _worker_state

Steps = dict[str, '_job_state.StepRun']
# Rank of a step, size of a task, and whether it is a filler.
Demand = tuple[int, model.Size, bool]
# With more waiting steps than this, only those that a worker may run are tried
# at once when a run ends on it. Others whose reservations may have changed are
# tried on the next tick.
MAX_RETRIED = 16
# Maximum number of steps with the same demand that a run's end unblocks, the
# ones blocked first.
MAX_UNBLOCKED = 256
# Empty groups of steps are removed once there are this many groups.
MAX_GROUPS = 64
IsAllowed = Callable[[model.Size], bool]


@attrs.define(slots=True, eq=False)
class WaitingSteps:
    """Steps with waiting tasks; all dictionaries are keyed by step name."""

    by_name: Steps = attrs.field(factory=dict)
    # Steps that are tried in the next placement pass.
    unblocked: Steps = attrs.field(factory=dict)
    # Steps blocked by the limit of their team, by team and size of a task.
    limited_by_team: dict[str, dict[Demand, Steps]] = attrs.field(factory=dict)
    # Steps that any worker of their upstream may serve, or for which one may
    # be asked about, by upstream and demand.
    open_by_upstream: dict[str, dict[Demand, Steps]] = attrs.field(
        factory=dict
    )
    # Waiting steps by id of a worker that the policy service approved.
    approved_by_worker: dict[str, Steps] = attrs.field(factory=dict)
    # Steps with an approved worker whose free capacity or reservation may
    # have changed since their last attempt.
    touched: Steps = attrs.field(factory=dict)
    # Steps whose reservations may have changed since the last pass.
    changed: Steps = attrs.field(factory=dict)
    _numbers: itertools.count = attrs.field(factory=itertools.count)

    def add(self, step: '_job_state.StepRun') -> None:
        """Add a step, or unblock it if it waits already."""
        if step.name in self.by_name:
            self.unblock(step)
            return
        step.job.waiting_steps += 1
        step.waiting_number = next(self._numbers)
        step.blocked_in = None
        self.by_name[step.name] = self.unblocked[step.name] = step
        self.changed[step.name] = step
        for worker_id in step.approvals:
            self.approved_by_worker.setdefault(worker_id, {})[step.name] = step

    def remove(self, step: '_job_state.StepRun') -> None:
        """Remove a step that no longer waits, if it does."""
        if self.by_name.pop(step.name, None) is None:
            return
        step.job.waiting_steps -= 1
        self.unblocked.pop(step.name, None)
        self.touched.pop(step.name, None)
        self._clear_block(step)
        self.changed[step.name] = step
        for worker_id in step.reserved_workers:
            self.touch(worker_id)
        for worker_id in step.approvals:
            self._remove_approval(step, worker_id)

    def block(self, step: '_job_state.StepRun') -> None:
        """Try a waiting step again only once it may succeed."""
        if step.name not in self.by_name:
            return
        self._clear_block(step)
        self.unblocked.pop(step.name, None)
        self.touched.pop(step.name, None)
        if step.blocked_by_limit:
            groups = self.limited_by_team.setdefault(step.job.spec.team, {})
            step.blocked_in = _group_of(groups, step)
        elif step.blocked_by_headroom or step.pending_query:
            # Each tick, or the answer of the policy service, unblocks it.
            step.blocked_in = {}
        else:
            groups = self.open_by_upstream.setdefault(
                step.job.queue.upstream, {}
            )
            step.blocked_in = _group_of(groups, step)
        step.blocked_in[step.name] = step

    def unblock(self, step: '_job_state.StepRun') -> None:
        """Try a step in the next placement pass, if it waits."""
        if step.name in self.by_name:
            self._clear_block(step)
            self.unblocked[step.name] = step

    def unblock_all(self) -> None:
        """Try all steps in the next placement pass."""
        for step in self.by_name.values():
            self._clear_block(step)
        self.unblocked = dict(self.by_name)

    def add_approval(self, step: '_job_state.StepRun', worker_id: str) -> None:
        """Note that the policy service has approved a worker for a step."""
        if step.name in self.by_name:
            self.approved_by_worker.setdefault(worker_id, {})[step.name] = step

    def drop_approval(
        self, step: '_job_state.StepRun', worker_id: str
    ) -> None:
        """Drop the approval of a worker for a step, if any."""
        if step.approvals.pop(worker_id, None) is not None:
            self._remove_approval(step, worker_id)

    def touch(self, worker_id: str) -> None:
        """Note that a worker may have changed for the steps it may run."""
        steps = self.approved_by_worker.get(worker_id)
        if steps:
            self.touched.update(steps)

    def unblock_for(
        self, worker: '_worker_state.Worker', team: str, is_allowed: IsAllowed
    ) -> None:
        """Unblock the steps that may start once a run has ended.

        ``is_allowed`` returns whether a size is within the limit of the team.
        """
        for (_, size, _), steps in self.limited_by_team.get(team, {}).items():
            if steps and is_allowed(size):
                self._unblock_first(steps.values())
        demands = self.open_by_upstream.get(worker.entry.upstream, {})
        incarnation = worker.entry.incarnation
        for steps in demands.values():
            first = next(iter(steps.values()), None)
            if first is not None and worker.has_capacity(first.spec):
                self._unblock_first(
                    step
                    for step in steps.values()
                    if step.ineligible.get(worker.id) != incarnation
                )
        is_short = len(self.by_name) <= MAX_RETRIED
        steps = (
            self.touched
            if is_short
            else self.approved_by_worker.get(worker.id, {})
        )
        for step in list(steps.values()):
            if (
                step.is_blocked
                and worker.has_capacity(step.spec)
                and step.ineligible.get(worker.id) != incarnation
            ):
                self._retry(step)

    def retry_touched(self) -> None:
        """Unblock the steps for which something has changed."""
        for step in list(self.touched.values()):
            self._retry(step)

    def _retry(self, step: '_job_state.StepRun') -> None:
        self.touched.pop(step.name, None)
        if not (step.blocked_by_limit or step.blocked_by_headroom):
            self.unblock(step)

    def _unblock_first(self, steps: Iterable['_job_state.StepRun']) -> None:
        for step in list(itertools.islice(steps, MAX_UNBLOCKED)):
            self.unblock(step)

    def _clear_block(self, step: '_job_state.StepRun') -> None:
        if step.blocked_in is not None:
            step.blocked_in.pop(step.name, None)
            step.blocked_in = None

    def _remove_approval(
        self, step: '_job_state.StepRun', worker_id: str
    ) -> None:
        steps = self.approved_by_worker.get(worker_id)
        if steps is not None:
            steps.pop(step.name, None)
            if not steps:
                del self.approved_by_worker[worker_id]


def _group_of(
    groups: dict[Demand, Steps], step: '_job_state.StepRun'
) -> Steps:
    """Return the group of the blocked steps that need the same as a step."""
    demand = step.job.rank, step.spec.size, step.spec.is_filler
    group = groups.get(demand)
    if group is None:
        if len(groups) >= MAX_GROUPS and not all(groups.values()):
            for empty in [key for key, steps in groups.items() if not steps]:
                del groups[empty]
        group = groups[demand] = {}
    return group
