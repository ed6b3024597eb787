"""Jobs, workers and policies, as the owner of a cell sees them."""

import enum

import attrs


class JobState(enum.Enum):
    """Name the states of a job that its callers see."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


class RunResult(enum.Enum):
    """Name the ways in which a run ends."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LEASE_EXPIRED = 'lapsed'
    # Another member of the gang ended.
    GANG_MEMBER_ENDED = 'broken'
    # The other members of the gang did not come in time.
    GANG_INCOMPLETE = 'alone'


@attrs.frozen(slots=True)
class Size:
    """Hold an amount of each resource of a worker."""

    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def fits(self, room: 'Size') -> bool:
        """Tell whether this amount fits into the room given."""
        return (
            self.cpu_milli <= room.cpu_milli
            and self.memory_mb <= room.memory_mb
            and self.accelerators <= room.accelerators
        )


@attrs.frozen(slots=True)
class Step:
    """Describe tasks that are alike."""

    count: int
    size: Size
    estimate_ms: int = 0
    # The steps of the same job that must have ended first.
    after: tuple[int, ...] = ()
    is_gang: bool = False
    one_rack: bool = False
    required_label: str = ''
    # The rack that holds the data; tasks are slower elsewhere.
    near_rack: str = ''
    # At most so many tasks of the step on one worker; 0 for no limit.
    most_per_worker: int = 0
    allows_copies: bool = False
    checkpoints: bool = False
    is_lasting: bool = False
    image: str = ''
    # The tail of the response times of a serving task stays below this.
    target_ms: int = 0
    # Uses the cores that other tasks leave; none are reserved for it.
    is_filler: bool = False
    # So many tasks may be away at one time by our own orders.
    may_miss: int = 0


@attrs.frozen(slots=True)
class PolicyService:
    """Describe the policy service that a queue's steps need."""

    decision_ms: float
    each_ms: float
    validity_ms: int


@attrs.frozen(slots=True)
class Queue:
    """Hold the policy for the jobs of a queue."""

    name: str
    upstream: str
    # 0 comes first.
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_ms: float = 0.0
    advice: PolicyService | None = None


@attrs.frozen(slots=True)
class Job:
    """Describe work that was accepted."""

    id: str
    queue: str
    team: str
    spec: str
    steps: tuple[Step, ...]
    # When the caller's first call arrived, in Unix milliseconds.
    arrived_ms: int
    first_due_ms: int = 0
    every_ms: int = 0
    # How often the steps run at set times; 0 for once and at once.
    times: int = 0
    # The policy at the time of acceptance, used once the queue is gone.
    policy: Queue | None = None

    @property
    def occurrences(self) -> int:
        """Count how often the steps run."""
        return max(1, self.times)


@attrs.frozen(slots=True)
class Team:
    """Hold what a team may use."""

    name: str
    weight: float = 1.0
    # 0 of a resource means no limit.
    maximum: Size = Size()


@attrs.frozen(slots=True)
class Upstream:
    """Describe a service that workers belong to."""

    name: str
    # Its workers refuse what does not fit.
    guards_capacity: bool = False
    is_spare: bool = False


@attrs.frozen(slots=True)
class Config:
    """Hold the part of a configuration that placing depends on."""

    version: int = 0
    queues_by_name: dict[str, Queue] = attrs.field(factory=dict)
    teams_by_name: dict[str, Team] = attrs.field(factory=dict)
    upstreams_by_name: dict[str, Upstream] = attrs.field(factory=dict)


@attrs.frozen(slots=True)
class WorkerEntry:
    """Hold what a worker says of itself."""

    id: str
    # The Unix millisecond of its start tells lives under one id apart.
    life: int
    upstream: str
    address: str
    zone: str
    capacity: Size
    labels: tuple[str, ...] = ()
    rack: str = ''
    # Workers of one kind are about equally fast.
    kind: str = ''
    is_draining: bool = False
    clock_ms: int = 0
    remaining_ms: int | None = None
