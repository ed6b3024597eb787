"""Data of the shares of teams and of the backlog of a cell.

``_shares`` and ``_backlog`` maintain it. Amounts of work are in millicores or
MB multiplied by milliseconds.
"""

import attrs

from celeryshift_cell import _usage
from celeryshift_cell import model

# Added to the priority of surplus work to get its rank; priorities are lower.
SURPLUS_RANK = 1_000_000


def rank(queue: model.Queue, is_surplus: bool) -> int:
    """Return the rank of work: all of a lower rank is placed first."""
    return queue.priority + (SURPLUS_RANK if is_surplus else 0)


@attrs.define(slots=True, eq=False)
class Bucket:
    """Token bucket of a team."""

    tokens: float
    filled_at: float


@attrs.define(slots=True, eq=False)
class Shares:
    """Weights of the teams, and what they use and are entitled to."""

    # The weights differ, so that shares and marks have an effect.
    is_weighted: bool = False
    weight_by_team: dict[str, float] = attrs.field(factory=dict)
    # Weight of work without a configured team.
    default_weight: float = 1.0
    # Teams whose invalid weight was logged last.
    invalid_teams: tuple[str, ...] = ()
    # Resources in use without lasting tasks and fillers.
    usage_by_team: dict[str, _usage.Usage] = attrs.field(factory=dict)
    bucket_by_team: dict[str, Bucket] = attrs.field(factory=dict)
    # Maximum number of tasks that the current step may start in its turn; 0
    # for no limit.
    turn: int = 0
    # Millicores of surplus work that may be preempted now, and as of when.
    reclaimable_cpu: float = 0.0
    reclaim_updated_at: float = 0.0

    def usage(self, team: str) -> _usage.Usage:
        """Return the usage of a team that counts towards its share."""
        return self.usage_by_team.setdefault(team, _usage.Usage())

    def weight(self, team: str) -> float:
        """Return the weight of a team."""
        return self.weight_by_team.get(team, self.default_weight)


@attrs.define(slots=True)
class Work:
    """Amount of work."""

    cpu: float = 0.0
    memory: float = 0.0
    # Number of tasks to start.
    starts: float = 0.0

    def add(self, other: 'Work', factor: float = 1.0) -> None:
        """Add a multiple of another amount."""
        self.cpu += factor * other.cpu
        self.memory += factor * other.memory
        self.starts += factor * other.starts


@attrs.define(slots=True)
class Capacity:
    """Capacity of the available workers, without that of lasting tasks."""

    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    free_cpu: int = 0
    free_memory: int = 0
    # Millicores of listed workers that have not answered this owner yet.
    unfenced_cpu: int = 0


@attrs.define(slots=True, eq=False)
class Backlog:
    """Totals over the live jobs, without lasting tasks and fillers."""

    refreshed_at: float = float('-inf')
    # By upstream, rank and class (``_ordering.step_class``).
    work_by_key: dict[tuple[str, int, int], Work] = attrs.field(factory=dict)
    # By team and rank.
    work_by_team: dict[tuple[str, int], Work] = attrs.field(factory=dict)
    capacity_by_upstream: dict[str, Capacity] = attrs.field(factory=dict)
    # Resources of lasting tasks, by worker id.
    lasting_by_worker: dict[str, _usage.Usage] = attrs.field(factory=dict)
    # Upstreams in which more work waits than fits.
    saturated: set[str] = attrs.field(factory=set)
    # Accepted work by upstream and rank, which decays exponentially.
    inflow_by_key: dict[tuple[str, int], Work] = attrs.field(factory=dict)
    inflow_updated_at: float = 0.0
    # Work that was told to return, by upstream, rank and second.
    returning_by_key: dict[tuple[str, int, int], float] = attrs.field(
        factory=dict
    )

    def capacity(self, upstream: str) -> Capacity:
        """Return the capacity of an upstream."""
        return self.capacity_by_upstream.setdefault(upstream, Capacity())

    def allocate(
        self, worker_id: str, upstream: str, step: model.Step, sign: int
    ) -> None:
        """Count a task that starts (sign 1) or ends (-1)."""
        size = step.size
        capacity = self.capacity(upstream)
        if not step.is_filler:
            capacity.free_cpu -= sign * size.cpu_milli
        capacity.free_memory -= sign * size.memory_mb
        if not step.is_lasting:
            return
        lasting = self.lasting_by_worker.setdefault(worker_id, _usage.Usage())
        lasting.add(size, sign)
        if not (lasting.cpu_milli or lasting.memory_mb):
            del self.lasting_by_worker[worker_id]
