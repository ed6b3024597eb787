"""Memory that the jobs of a cell take, and how much they may.

An accepted job costs what its row says: the occurrences that are not due and
the tasks that have not started take a few bits. A task costs memory from its
first start until it has completed. The next owner restores all of it, so the
limit is that of the smallest node.
"""

import math
import sys

import attrs

from celeryshift_cell import model

# Sizes in bytes. That of a job includes its row, its decoded form and its
# entries in the tables of the cell.
JOB_BYTES = 1600
STEP_BYTES = 1600
# A task that has started, with its run and what its worker reports.
TASK_BYTES = 2400
# Decision of the policy service on a worker for a step.
DECISION_BYTES = 250
# Id of an ended job, which is remembered.
EVICTED_BYTES = 200
# Shares of the limit: accepted jobs; started tasks and further occurrences of
# scheduled jobs; and decisions of the policy service. The rest is left for
# messages and for a change of owner.
JOBS_SHARE = 0.35
STARTED_SHARE = 0.25
DECISIONS_SHARE = 0.1
# Part of the first share for jobs that nodes store without the owner.
RESERVE_SHARE = 0.1
# Time constant of the mean rate at which memory becomes free.
FREED_S = 10.0
# Part of the second share up to which jobs get several occurrences that wait.
EAGER_SHARE = 0.5


def job_bytes(job: model.Job) -> int:
    """Return the memory that a job takes until its tasks start."""
    size = JOB_BYTES + sys.getsizeof(job.spec) + job.occurrences // 8
    for step in job.steps:
        size += STEP_BYTES + step.count // 4 + 8 * len(step.after)
        for text in (step.required_label, step.near_rack, step.image):
            size += sys.getsizeof(text)
    return size


def reserve_bytes(limit: int) -> int:
    """Return the memory of jobs that nodes store without the owner."""
    return int(JOBS_SHARE * RESERVE_SHARE * limit)


@attrs.define(slots=True, eq=False)
class Footprint:
    """Estimated memory of the jobs of a cell; a limit of 0 means none."""

    # Memory in bytes for the state of the cell.
    limit: int = 0
    # Bytes of the accepted jobs, and number of their steps, one occurrence of
    # which they include.
    jobs: int = 0
    included_steps: int = 0
    # Numbers of steps and tasks in memory, and of ids of ended jobs.
    steps: int = 0
    tasks: int = 0
    # Number of those tasks that have ended, which no other task waits for.
    retained: int = 0
    # Number of decisions of the policy service.
    decisions: int = 0
    evicted: int = 0
    # Bytes of removed jobs, which decay exponentially, and as of when.
    freed: float = 0.0
    freed_at: float = 0.0

    def add_job(self, job: model.Job) -> None:
        """Count an accepted job."""
        self.jobs += job_bytes(job)
        self.included_steps += len(job.steps)

    def remove_job(self, job: model.Job, now: float) -> None:
        """Count a job that is no longer kept."""
        size = job_bytes(job)
        self.jobs -= size
        self.included_steps -= len(job.steps)
        self.freed = self._freed_by(now) + size
        self.freed_at = now

    def _freed_by(self, now: float) -> float:
        elapsed_s = max(0.0, now - self.freed_at)
        return self.freed * math.exp(-elapsed_s / FREED_S)

    def freed_per_s(self, now: float) -> float:
        """Return the bytes of accepted jobs that became free per second."""
        return self._freed_by(now) / FREED_S

    @property
    def accepted(self) -> int:
        """Return the bytes of the accepted jobs."""
        return self.jobs + EVICTED_BYTES * self.evicted

    @property
    def started(self) -> int:
        """Return the bytes of started tasks and further occurrences."""
        further = max(0, self.steps - self.included_steps)
        active = self.tasks - self.retained
        return TASK_BYTES * active + STEP_BYTES * further

    def excess(self, job: model.Job, pending: int = 0) -> int:
        """Return by how many bytes a new job exceeds the limit, or 0.

        ``pending`` are the bytes of jobs that are being stored.
        """
        if not self.limit:
            return 0
        needed = self.accepted + pending + job_bytes(job)
        return max(0, int(needed - self.allowed))

    @property
    def allowed(self) -> float:
        """Return how many bytes the accepted jobs may take."""
        return JOBS_SHARE * (1 - RESERVE_SHARE) * self.limit

    def may_query(self, share: float) -> bool:
        """Return whether there is room in a share of that for decisions."""
        used = DECISION_BYTES * self.decisions
        return not self.limit or used < share * DECISIONS_SHARE * self.limit

    @property
    def has_room(self) -> bool:
        """Return whether half of the memory of accepted jobs is free."""
        return not self.limit or 2 * self.accepted < JOBS_SHARE * self.limit

    @property
    def may_start(self) -> bool:
        """Return whether there is room for tasks that start the first time."""
        return not self.limit or self.started < STARTED_SHARE * self.limit

    @property
    def may_release(self) -> bool:
        """Return whether a job may have several occurrences that wait."""
        if not self.limit:
            return True
        return self.started < EAGER_SHARE * STARTED_SHARE * self.limit
