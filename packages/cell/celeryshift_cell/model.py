"""Jobs, workers and policies of a cell.

Instances are stored and sent field by field under their field names.
"""

import enum

import attrs


class JobState(enum.Enum):
    """State of a job that callers see."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


class RunResult(enum.Enum):
    """How a run ended."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LEASE_EXPIRED = 'lapsed'
    # Another member of the gang ended before it completed.
    GANG_MEMBER_ENDED = 'broken'
    # Not all members of the gang started in time.
    GANG_INCOMPLETE = 'alone'


@attrs.frozen(slots=True)
class Size:
    """Amount of each resource of a worker."""

    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def fits(self, free: 'Size') -> bool:
        """Return whether this amount fits into the free capacity."""
        return (
            self.cpu_milli <= free.cpu_milli
            and self.memory_mb <= free.memory_mb
            and self.accelerators <= free.accelerators
        )

    def plus(self, other: 'Size') -> 'Size':
        """Return the sum of two amounts."""
        return Size(
            self.cpu_milli + other.cpu_milli,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def maximum(self, other: 'Size') -> 'Size':
        """Return the larger amount of each resource."""
        return Size(
            max(self.cpu_milli, other.cpu_milli),
            max(self.memory_mb, other.memory_mb),
            max(self.accelerators, other.accelerators),
        )

    def minus(self, other: 'Size') -> 'Size':
        """Return the difference of two amounts, which may be negative."""
        return Size(
            self.cpu_milli - other.cpu_milli,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )


@attrs.frozen(slots=True)
class Step:
    """Specification of a group of identical tasks."""

    count: int
    size: Size
    estimate_ms: int = 0
    # Indices of the steps of the job that must complete first.
    after: tuple[int, ...] = ()
    # All tasks of the step start together or not at all.
    is_gang: bool = False
    # A gang is placed within one rack if possible.
    one_rack: bool = False
    required_label: str = ''
    # Rack that holds the input data; tasks are slower elsewhere.
    near_rack: str = ''
    # Maximum number of tasks of the step on one worker; 0 for no limit.
    most_per_worker: int = 0
    # Several runs of one task may exist at the same time.
    allows_copies: bool = False
    # Tasks save checkpoints and resume from them.
    checkpoints: bool = False
    # Tasks are services, which run until their job is cancelled.
    is_lasting: bool = False
    image: str = ''
    # Target for the tail latency of a serving task; 0 for none.
    target_ms: int = 0
    # Tasks use whatever processor time others leave; no cores are allocated.
    is_filler: bool = False
    # Maximum number of tasks of a service that may be down at a time because
    # the scheduler interrupted them.
    may_miss: int = 0


@attrs.frozen(slots=True)
class PolicyService:
    """Properties of the policy service that approves workers for steps.

    For an approved worker it issues a ticket, which the start order carries.
    A query takes about ``decision_ms`` plus ``each_ms`` per worker, and its
    tickets are valid for ``validity_ms``.
    """

    decision_ms: float
    each_ms: float
    validity_ms: int


@attrs.frozen(slots=True)
class Queue:
    """Scheduling policy for the jobs of a queue."""

    name: str
    upstream: str
    # 0 is the most urgent.
    priority: int = 0
    max_attempts: int = 1
    # The objective for the age of a job at completion is ``stretch`` times its
    # critical path plus ``target_ms``.
    stretch: float = 1.0
    target_ms: float = 0.0
    advice: PolicyService | None = None


@attrs.frozen(slots=True)
class Job:
    """Specification of a job that was accepted."""

    id: str
    queue: str
    team: str
    # Passed to the workers unchanged.
    spec: str
    steps: tuple[Step, ...]
    # When the first request of the caller arrived, in Unix milliseconds.
    arrived_ms: int
    # Unix time of the first scheduled occurrence, and interval between
    # occurrences.
    first_due_ms: int = 0
    every_ms: int = 0
    # Number of scheduled occurrences; 0 to run once and immediately.
    times: int = 0
    # Policy at the time of acceptance, used once the queue is not configured
    # any more.
    policy: Queue | None = None
    # The job exceeded the number of jobs per second that its team is entitled
    # to when the owner accepted it.
    is_surplus: bool = False

    @property
    def occurrences(self) -> int:
        """Return the number of times that the steps run."""
        return max(1, self.times)


@attrs.frozen(slots=True)
class Team:
    """Resource limits of a team."""

    name: str
    weight: float = 1.0
    # 0 means no limit on the resource.
    maximum: Size = Size()


@attrs.frozen(slots=True)
class Upstream:
    """Service that workers belong to.

    The placement of tasks does not depend on the flags.
    """

    name: str
    # Its workers reject tasks that exceed their free capacity.
    guards_capacity: bool = False
    is_spare: bool = False


@attrs.frozen(slots=True)
class Config:
    """Part of the configuration that placement depends on."""

    version: int = 0
    queues_by_name: dict[str, Queue] = attrs.field(factory=dict)
    teams_by_name: dict[str, Team] = attrs.field(factory=dict)
    upstreams_by_name: dict[str, Upstream] = attrs.field(factory=dict)


@attrs.frozen(slots=True)
class WorkerEntry:
    """Entry that a worker publishes about itself."""

    id: str
    # Start time in Unix milliseconds, which identifies the incarnation of the
    # worker under its id.
    incarnation: int
    upstream: str
    address: str
    data_centre: str
    capacity: Size
    labels: tuple[str, ...] = ()
    rack: str = ''
    # Hardware kind; workers of one kind are about equally fast.
    kind: str = ''
    is_draining: bool = False
    # The worker's own clock, which differs in every report.
    clock_ms: int = attrs.field(default=0, eq=False)
    # Time until a draining worker leaves, if known.
    remaining_ms: int | None = None
    # Time for which the worker is still slow; 0 if it is warm. Like the clock,
    # it differs in every report.
    cold_remaining_ms: int = attrs.field(default=0, eq=False)
