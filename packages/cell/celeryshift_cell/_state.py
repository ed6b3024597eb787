"""The state of a cell, as its owner keeps it."""

import collections
import enum
import heapq
from typing import Any
from typing import ClassVar

import attrs

from celeryshift_cell import _options
from celeryshift_cell import effects
from celeryshift_cell import events
from celeryshift_cell import model

# Runs of one task under one owner get numbers from one such range, so that
# the next owner never gives a number again that it has not heard of.
RUNS_PER_EPOCH = 1000


class Phase(enum.Enum):
    """Name what is known of a run that may be on a worker."""

    # The order is on its way.
    SENT = 'sent'
    RUNNING = 'running'
    STOPPING = 'stopping'
    # The order to start got no answer.
    DOUBT = 'doubt'


@attrs.define(slots=True, eq=False)
class Run:
    """Follow one run that uses room on a worker until it is settled."""

    task: 'Task'
    number: int
    worker: 'Worker'
    phase: Phase
    since: float
    # When the worker confirmed that the run is there.
    confirmed_at: float = 0.0
    # When an order to stop it was answered; a list made later that lacks
    # the run proves that it never came to be.
    stopped_at: float | None = None
    # How far it has come, and when it was last seen to have come further.
    percent: int = 0
    moved_at: float = 0.0
    load: int = 0
    # It counts among the urgent tasks of its upstream.
    is_urgent: bool = False
    # The share of its speed that the run is paced to, and since when.
    pace: int = 100
    paced_at: float = 0.0


@attrs.define(slots=True, eq=False)
class Task:
    """Follow one task of a step."""

    step: 'StepRun'
    index: int
    name: str
    is_done: bool = False
    last_run: int = 0
    checkpoint: str = ''
    failed_runs: set[int] = attrs.field(factory=set)
    runs: dict[int, Run] = attrs.field(factory=dict)
    # Workers on which the task has failed.
    failed_on: set[str] = attrs.field(factory=set)
    # Workers that it was moved off.
    avoid: set[str] = attrs.field(factory=set)


@attrs.define(slots=True, eq=False)
class Verdict:
    """Hold that a worker may run a step."""

    incarnation: int
    ticket: str
    until: float


@attrs.define(slots=True, eq=False)
class StepRun:
    """Follow a step of one occurrence of a job."""

    job: 'JobRun'
    occurrence: int
    number: int
    spec: model.Step
    name: str
    tasks: list[Task] = attrs.field(factory=list)
    # Indices of the tasks that wait for a worker.
    pending: set[int] = attrs.field(factory=set)
    left: int = 0
    is_ready: bool = False
    ready_at: float = 0.0
    # Nothing that would let a waiting task start has changed since the
    # last look.
    is_blocked: bool = False
    # What it was last seen to wait for.
    waits_for: str = ''
    # Set if what stands in the way is the maximum of the team.
    team_full: bool = False
    # Set if what stands in the way is the room kept for urgent work.
    is_held: bool = False
    # How long the tasks that are done took at most.
    slowest_s: float = 0.0
    verdicts: dict[str, Verdict] = attrs.field(factory=dict)
    # The lives of workers that may not run the step.
    unfit: dict[str, int] = attrs.field(factory=dict)
    # Workers that are being asked about.
    asking: frozenset[str] = frozenset()
    ask_after: float = 0.0
    on_worker: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    # A former owner may have started the tasks.
    in_doubt: bool = False
    # Workers on which no work of lower priority starts before it.
    claims: frozenset[str] = frozenset()


@attrs.define(slots=True, eq=False)
class JobRun:
    """Follow a job."""

    spec: model.Job
    queue: model.Queue
    steps: dict[tuple[int, int], StepRun] = attrs.field(factory=dict)
    state: model.JobState = model.JobState.QUEUED
    # Steps that have not ended.
    left: int = 0
    # What is stored says that the job has ended.
    is_recorded: bool = False
    recorded_at: float = 0.0
    # Its progress is or may be stored.
    has_record: bool = False
    # The expected time of the longest chain of steps.
    chain_ms: float = 0.0


@attrs.define(slots=True, eq=False)
class Mean:
    """Follow the mean of what is seen, the newest weighing most."""

    # Older samples fade beyond so many.
    LONGEST: ClassVar[int] = 40

    value: float = 1.0
    count: int = 0

    def add(self, sample: float) -> None:
        """Take in a sample."""
        self.count = min(self.count + 1, self.LONGEST)
        self.value += (sample - self.value) / self.count


@attrs.define(slots=True, eq=False)
class Worker:
    """Follow one life of a worker."""

    entry: model.WorkerEntry
    free_cpu: int
    free_memory: int
    free_accelerators: int
    # The worker has confirmed that it obeys this owner.
    is_fenced: bool = False
    is_listed: bool = True
    # When the entry was last read.
    listed_at: float = 0.0
    # An order or a question got no answer; another question is out.
    is_suspect: bool = False
    # That question got no answer either.
    is_silent: bool = False
    # Runs that it lists of jobs that are not known, any more or yet; their
    # size is not known either.
    strangers: set[tuple[str, int]] = attrs.field(factory=set)
    # The worker's clock minus ours, at the last answer.
    clock_offset_ms: float = 0.0
    # The last end that was processed, and the last that is stored.
    last_end: int = 0
    last_saved_end: int = 0
    # When the last of its leases runs out at the latest.
    lease_until: float = 0.0
    holds_out: int = 0
    # When to ask again; None while a question is out.
    ask_at: float | None = 0.0
    runs: dict[tuple[str, int], Run] = attrs.field(factory=dict)
    # No task is started there until then.
    quarantined_until: float = 0.0
    # Failures since the last success, by the name of the job.
    failed_jobs: set[str] = attrs.field(factory=set)
    filler_cpu: int = 0
    # How many times as long tasks take here as elsewhere.
    slowness: float = 1.0
    # Times of tasks by their estimates.
    speed: Mean = attrs.field(factory=Mean)

    @property
    def id(self) -> str:
        """Give the id of the worker."""
        return self.entry.id

    def is_usable(self, now: float) -> bool:
        """Tell whether tasks may be started here."""
        return (
            self.is_fenced
            and self.is_listed
            and not self.is_silent
            and not self.is_suspect
            and not self.strangers
            and not self.entry.is_draining
            and self.quarantined_until <= now
        )

    def has_room(self, step: model.Step) -> bool:
        """Tell whether a task of the step fits."""
        size = step.size
        return (
            size.memory_mb <= self.free_memory
            and (step.is_filler or size.cpu_milli <= self.free_cpu)
            and size.accelerators <= self.free_accelerators
        )

    def book(self, step: model.Step, sign: int) -> None:
        """Take the room of a task (1) or give it back (-1)."""
        if step.is_filler:
            self.filler_cpu += sign * step.size.cpu_milli
        else:
            self.free_cpu -= sign * step.size.cpu_milli
        self.free_memory -= sign * step.size.memory_mb
        self.free_accelerators -= sign * step.size.accelerators


@attrs.define(slots=True, eq=False)
class Peak:
    """Follow how much is used, and its recent peak."""

    used: int = 0
    peak: float = 0.0
    # The peak when it was last raised; it falls in equal parts of this.
    top: float = 0.0

    def follow(self, wanted: int, share: float) -> None:
        """Raise the peak to what is wanted, or lower it by a share."""
        if wanted >= self.peak:
            self.peak = self.top = wanted
        else:
            self.peak = max(wanted, self.peak - share * self.top)

    @property
    def unused(self) -> float:
        """Give what may be wanted soon beyond what is used."""
        return max(0.0, self.peak - self.used)


@attrs.define(slots=True, eq=False)
class Usage:
    """Count what a team has running."""

    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    # The part of its urgent work.
    urgent_cpu: Peak = attrs.field(factory=Peak)
    urgent_memory: Peak = attrs.field(factory=Peak)

    def book(self, size: model.Size, sign: int) -> None:
        """Add the size of a task (1) or take it off (-1)."""
        self.cpu_milli += sign * size.cpu_milli
        self.memory_mb += sign * size.memory_mb
        self.accelerators += sign * size.accelerators

    def plus(self, other: 'Usage') -> 'Usage':
        """Give the sum of two amounts."""
        return Usage(
            self.cpu_milli + other.cpu_milli,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def bound(self, maximum: model.Size, beside: 'Usage') -> None:
        """Lower this to what fits into a maximum beside something.

        If that is over the maximum already, the maximum has been another,
        and nothing follows from it.
        """
        self.cpu_milli = _bound(
            self.cpu_milli, maximum.cpu_milli, beside.cpu_milli
        )
        self.memory_mb = _bound(
            self.memory_mb, maximum.memory_mb, beside.memory_mb
        )
        self.accelerators = _bound(
            self.accelerators, maximum.accelerators, beside.accelerators
        )

    def allows(self, size: model.Size, maximum: model.Size) -> bool:
        """Tell whether one more task stays within the maximum."""
        return (
            _within(self.cpu_milli + size.cpu_milli, maximum.cpu_milli)
            and _within(self.memory_mb + size.memory_mb, maximum.memory_mb)
            and _within(
                self.accelerators + size.accelerators, maximum.accelerators
            )
        )


def _within(amount: int, maximum: int) -> bool:
    return maximum == 0 or amount <= maximum


def _bound(amount: int, maximum: int, beside: int) -> int:
    if maximum == 0 or beside > maximum:
        return amount
    return min(amount, maximum - beside)


@attrs.define(slots=True, eq=False)
class Zone:
    """Follow whether a data centre answers."""

    # When the first start was sent there since anything was heard of it.
    unanswered_since: float | None = None


@attrs.define(slots=True, eq=False)
class Pool:
    """Sum up the usable workers of an upstream, and its urgent work.

    A slot is room for an urgent task.
    """

    slot_cpu_milli: int = 0
    slot_memory_mb: int = 0
    slots: int = 0
    free_slots: int = 0
    # Urgent tasks that run, and those that wait.
    urgent: Peak = attrs.field(factory=Peak)
    waiting: int = 0


@attrs.define(slots=True, eq=False)
class Cell:
    """Hold all that the owner of a cell knows."""

    epoch: int
    options: _options.Options = attrs.field(factory=_options.Options)
    now: float = 0.0
    # Unix milliseconds minus the monotonic milliseconds.
    wall_offset_ms: float = 0.0
    config: model.Config = attrs.field(factory=model.Config)
    jobs: dict[str, JobRun] = attrs.field(factory=dict)
    workers: dict[str, Worker] = attrs.field(factory=dict)
    usage_by_team: dict[str, Usage] = attrs.field(factory=dict)
    # Steps with waiting tasks, by name.
    waiting: dict[str, StepRun] = attrs.field(factory=dict)
    # Steps whose time has not come, as (due in Unix ms, name).
    timed: list[tuple[int, str]] = attrs.field(factory=list)
    # Jobs that have ended and left memory.
    ended_at: dict[str, float] = attrs.field(factory=dict)
    # The store was read at this version when this owner began.
    restored_version: int = 0
    # Jobs whose stored progress is behind.
    dirty: dict[str, JobRun] = attrs.field(factory=dict)
    save_in_flight: bool = False
    # What the save under way covers: the last end of each worker, the jobs,
    # and those of them that have ended.
    saving: dict[str, int] = attrs.field(factory=dict)
    saving_jobs: tuple[str, ...] = ()
    saving_ended: tuple[str, ...] = ()
    save_after: float = 0.0
    # When waiting steps are looked at again.
    look_at: float = 0.0
    # Rises when a worker joins or goes; and the one that is stored.
    workers_version: int = 1
    stored_version: int = 0
    # Workers that a former owner may have used and that are silent.
    unfenced: set[str] = attrs.field(factory=set)
    in_doubt_until: float = 0.0
    # Ends of jobs that are not known, any more or yet: when they were
    # listed, and by whom.
    early_ends: list[tuple[float, str, events.RunCompletion]] = attrs.field(
        factory=list
    )
    # Until when the former owner may have given orders.
    former_owner_until: float = float('-inf')
    restored_at: float = 0.0
    # What teams may run on silent workers, and when to count it again.
    doubt_by_team: dict[str, Usage] = attrs.field(factory=dict)
    doubts_due_at: float = 0.0
    # What teams were found to run as this owner began.
    adopted_by_team: dict[str, Usage] = attrs.field(factory=dict)
    speed: Mean = attrs.field(factory=Mean)
    speed_by_kind: dict[str, Mean] = attrs.field(factory=dict)
    ms_by_image: dict[str, float] = attrs.field(factory=dict)
    # The usable workers, by upstream, as of the last tick.
    pools: dict[str, Pool] = attrs.field(factory=dict)
    observed_at: float = 0.0
    zones: dict[str, Zone] = attrs.field(factory=dict)
    # The workers that waiting steps claim, and the priority of these, as of
    # the pass under way.
    claims: dict[str, int] = attrs.field(factory=dict)
    # The most urgent priority that waits for the limit of a team.
    team_claims: dict[str, int] = attrs.field(factory=dict)
    # The workers by the index of the tasks that a step has just started.
    placed: dict[int, str] = attrs.field(factory=dict)
    out: list[effects.Effect] = attrs.field(factory=list)

    def emit(self, effect: effects.Effect) -> None:
        """Ask for an effect."""
        self.out.append(effect)

    def note(self, decision: str, **fields: Any) -> None:
        """Say what was decided, and why."""
        self.out.append(effects.LogDecision(decision, fields))

    @property
    def wall_ms(self) -> float:
        """Give the time of day in Unix milliseconds."""
        return self.now * 1000 + self.wall_offset_ms

    def usage(self, team: str) -> Usage:
        """Give what a team has running."""
        return self.usage_by_team.setdefault(team, Usage())

    def adopted(self, team: str) -> Usage:
        """Give what a team was found to run as this owner began."""
        return self.adopted_by_team.setdefault(team, Usage())

    def pool(self, upstream: str) -> Pool:
        """Give the sum of the workers of an upstream."""
        return self.pools.setdefault(upstream, Pool())

    def heard(self, worker: Worker) -> None:
        """Note that something has been heard of a data centre."""
        self.zone(worker).unanswered_since = None

    def zone(self, worker: Worker) -> Zone:
        """Give the data centre of a worker."""
        return self.zones.setdefault(worker.entry.zone, Zone())

    def step(self, name: str) -> StepRun | None:
        """Find a step by its name; others than ours have no step."""
        job_id, _, rest = name.partition('.')
        job = self.jobs.get(job_id)
        occurrence, _, number = rest.partition('.')
        if job is None or not (occurrence.isdigit() and number.isdigit()):
            return None
        return job.steps.get((int(occurrence), int(number)))

    def task(self, name: str) -> Task | None:
        """Find a task by its name."""
        step_name, _, index = name.rpartition('.')
        step = self.step(step_name)
        if step is None or not index.isdigit():
            return None
        is_known = int(index) < len(step.tasks)
        return step.tasks[int(index)] if is_known else None

    def schedule(self, due_ms: int, name: str) -> None:
        """Let a step wait until a time of day."""
        heapq.heappush(self.timed, (due_ms, name))
