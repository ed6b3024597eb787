"""State of a node, which the reducer reads and changes."""

import collections
import enum
import math
import random
from typing import Any
from typing import Protocol

import attrs

from celeryshift_core import _config
from celeryshift_core import _escrow
from celeryshift_core import _fleet
from celeryshift_core import _ledger
from celeryshift_core import _options
from celeryshift_core import _peaks
from celeryshift_core import _queue
from celeryshift_core import _refusals
from celeryshift_core import _retry_budget
from celeryshift_core import _size
from celeryshift_core import _tasks
from celeryshift_core import _timers
from celeryshift_core import effects
from celeryshift_core import events
from celeryshift_core import messages
from celeryshift_core import schema

Outbox = list[effects.Effect]


class NodePhase(enum.Enum):
    """Phase of a node, from its start to its end."""

    STARTING = 'starting'
    SERVING = 'serving'
    DRAINING = 'draining'
    STOPPED = 'stopped'


class SlicePhase(enum.Enum):
    """Phase of a slice at the node that owns it."""

    RECOVERING = 'recovering'
    READY = 'ready'
    RELEASING = 'releasing'


@attrs.define(eq=False)
class Slice:
    """Slice that this node owns, with its jobs, tasks and workers.

    `unaccounted` has the tasks that may run on behalf of a former owner, and
    `unconfirmed_starts` the runs whose start has not been acknowledged.
    `ends_by_task` has the worker and report of the latest run of a task that
    has ended, as far as it is known during recovery.
    `vm_revision` is the revision of the VM list up to which former owners may
    have used workers, and `acquired_version` the version of the write that
    acquired the slice.

    `reserving_by_upstream` has the job of the gang that reserves workers, and
    `earmarked_by_upstream` the task for each earmarked worker.
    `trials_by_upstream` has the workers on which trials began; they may have
    ended since.
    """

    number: int
    epoch: int
    row_version: int
    queue: _queue.Queue
    vm_revision: int = 0
    acquired_version: int = 0
    phase: SlicePhase = SlicePhase.RECOVERING
    ledger: _ledger.Ledger = attrs.field(factory=_ledger.Ledger)
    jobs_by_id: dict[str, _tasks.Job] = attrs.field(factory=dict)
    tasks_by_id: dict[str, _tasks.Task] = attrs.field(factory=dict)
    used_by_team: dict[str, _size.Size] = attrs.field(factory=dict)
    urgent_by_upstream: dict[str, _peaks.Peak] = attrs.field(factory=dict)
    allotment: _escrow.Allotment = attrs.field(factory=_escrow.Allotment)
    unaccounted: set[str] = attrs.field(factory=set)
    ends_by_task: dict[str, tuple[str, events.TaskReport]] = attrs.field(
        factory=dict
    )
    unconfirmed_starts: set[str] = attrs.field(factory=set)
    quarantined: set[str] = attrs.field(factory=set)
    gangs_by_job: dict[str, _tasks.Gang] = attrs.field(factory=dict)
    reserving_by_upstream: dict[str, str] = attrs.field(factory=dict)
    earmarked_by_upstream: dict[str, dict[str, str]] = attrs.field(
        factory=dict
    )
    earmark_after: float = 0.0
    trials_by_upstream: dict[str, set[str]] = attrs.field(factory=dict)
    preemptible_by_upstream: dict[str, dict[str, _tasks.Task]] = attrs.field(
        factory=dict
    )
    dirty_jobs: dict[str, None] = attrs.field(factory=dict)
    writing_jobs: bool = False
    moving_jobs: set[str] = attrs.field(factory=set)
    accepting_arrivals: bool = False
    finished_by_id: dict[str, _tasks.Job] = attrs.field(factory=dict)


@attrs.define(eq=False)
class Peer:
    """Another node, as this node knows it.

    `changed_at` is the time, by this node's clock, at which the registration
    of the peer was last seen to change. `basis` is the basis of its lease (see
    _promises), and `gone_since` the time at which its process was found to
    have ended.
    """

    id: str
    address: str
    data_centre: str
    row_version: int
    changed_at: float
    draining: bool = False
    config_version: int = 0
    basis: int = 0
    vm_revision: int = 0
    gone_since: float | None = None
    slices: tuple[int, ...] = ()
    free_slots_by_upstream: dict[str, int] = attrs.field(factory=dict)
    last_heard_at: float | None = None
    unreachable_at: float = float('-inf')
    last_summary_sent: messages.Summary | None = None
    summary_sent_at: float = float('-inf')


@attrs.define(eq=False)
class Membership:
    """Registration of this node, and those of its peers.

    `registered_version` is the version of the first write of this node's
    registration, and `row_version` that of the latest. `vm_revision` is the
    revision of the VM list that the registration covers, and `renewed_at` the
    time at which the latest successful renewal was sent.
    """

    row_version: int = 0
    registered_version: int = 0
    lease_until: float = 0.0
    renewed_at: float = -math.inf
    vm_revision: int = 0
    renewing: bool = False
    draining_since: float = 0.0
    deregistering: bool = False
    deregistered: bool = False
    peers_by_id: dict[str, Peer] = attrs.field(factory=dict)
    slice_rows_by_number: dict[int, schema.Row] = attrs.field(factory=dict)
    acquiring: set[int] = attrs.field(factory=set)
    stable_since: float = 0.0
    nodes_read_at: float = 0.0


@attrs.frozen(slots=True)
class Vouch:
    """Time at which the last promise of a vouching node to an owner expires.

    `version` is that of the owner's registration.
    """

    version: int
    at: float


@attrs.define(eq=False)
class Promises:
    """Promises that this node has received and given.

    A promise is the pledge of a peer not to take over the slices of a node
    for the time of a lease. `address_by_peer` has the peers to request
    promises from, and `leaving_peers` those whose promise does not expire.
    `fence_by_node` has for each owner the version up to which this node gives
    it no promise: a request with that basis or a lower one is ignored.
    """

    basis_version: int = 0
    address_by_peer: dict[str, str] = attrs.field(factory=dict)
    promised_until_by_peer: dict[str, float] = attrs.field(factory=dict)
    leaving_peers: set[str] = attrs.field(factory=set)
    given_until_by_node: dict[str, float] = attrs.field(factory=dict)
    fence_by_node: dict[str, int] = attrs.field(factory=dict)
    vouch_by_node: dict[str, Vouch] = attrs.field(factory=dict)


@attrs.define(eq=False)
class Request:
    """Request whose caller is waiting for the answer."""

    id: str
    name: str
    kind: str
    team: str
    arrived: float
    deadline: float
    hops: int
    named: bool = True
    task: _tasks.Task | None = None
    slice: int = -1
    attempt: int = 0
    failed_on: tuple[str, ...] = ()
    claim_version: int = 0
    sent: bool = False
    outcome_queried: bool = False
    forwarding: bool = False
    forwarded_at: float = 0.0
    forwarded_to: tuple[str, ...] = ()

    def detach_from_slice(self) -> None:
        """Remove the request from its slice, but keep its attempt count."""
        if self.task is not None:
            self.attempt = self.task.attempt
            self.failed_on = self.task.failed_on
        self.task = None
        self.slice = -1


@attrs.frozen(slots=True)
class Submission:
    """Accepted job that has not been written to the store yet."""

    reply_id: str
    slice: int
    job: _tasks.Job


@attrs.define(eq=False)
class PendingWrite:
    """Write whose outcome is not known yet.

    It deletes `dropped_markers` and, if `marked`, inserts a marker of its own.
    """

    purpose: Any
    sent_at: float
    dropped_markers: tuple[str, ...]
    marked: bool


@attrs.define(eq=False)
class Store:
    """Outstanding reads and writes of the store."""

    op_count: int = 0
    writes_by_op: dict[str, PendingWrite] = attrs.field(factory=dict)
    reads_by_op: dict[str, Any] = attrs.field(factory=dict)
    settled_markers: list[str] = attrs.field(factory=list)
    failing_since: float | None = None


@attrs.frozen(slots=True)
class LastSuccess:
    """Time and worker of the last successful task of a kind."""

    at: float
    worker: str


@attrs.define(eq=False)
class Estimate:
    """Measured use of tasks of one kind and declared size.

    `size` is what the ledger books for such a task.
    """

    size: _size.Size
    samples: int = 0
    cpu_milli: float = 0.0
    memory_mb: float = 0.0


@attrs.define(eq=False)
class Withdrawals:
    """Withdrawals of keys that are not in the store yet.

    `confirmed_by_key` has the nodes that know of each withdrawal, and
    `key_by_reply` the keys of operators' calls that await a reply.
    """

    pending_by_key: dict[str, messages.Withdrawal] = attrs.field(factory=dict)
    confirmed_by_key: dict[str, set[str]] = attrs.field(factory=dict)
    key_by_reply: dict[str, str] = attrs.field(factory=dict)
    writing: bool = False


@attrs.define(eq=False)
class State:
    """Complete state of a node.

    `unannounced` has the workers that the node's registration does not cover
    yet, `slice_weights` a revision of the VM list and the weights of slices
    at that revision, and `waits_by_kind` histograms by kind and urgency.
    `resumed_at` is the time of the first event after the latest pause of the
    process.
    """

    options: _options.Options
    now: float = 0.0
    resumed_at: float = -math.inf
    node: str = ''
    phase: NodePhase = NodePhase.STARTING
    rng: random.Random = attrs.field(factory=lambda: random.Random(0))
    timers: _timers.Timers = attrs.field(factory=_timers.Timers)
    store: Store = attrs.field(factory=Store)
    membership: Membership = attrs.field(factory=Membership)
    promises: Promises = attrs.field(factory=Promises)
    config: _config.Config = attrs.field(factory=_config.Config)
    config_row_version: int = 0
    config_confirmed_at: float | None = None
    config_asked_at: float = float('-inf')
    withdrawn_keys: set[str] = attrs.field(factory=set)
    withdrawals: Withdrawals = attrs.field(factory=Withdrawals)
    usage_by_node: dict[str, tuple[float, messages.Usage]] = attrs.field(
        factory=dict
    )
    escrow: _escrow.Escrow = attrs.field(factory=_escrow.Escrow)
    vms_by_name: dict[str, events.Vm] = attrs.field(factory=dict)
    fleet: _fleet.Fleet = attrs.field(factory=_fleet.Fleet)
    vm_revision: int = 0
    gone_addresses: collections.OrderedDict[str, float] = attrs.field(
        factory=collections.OrderedDict
    )
    unannounced: list[tuple[Slice, _ledger.Worker]] = attrs.field(factory=list)
    slice_weights: tuple[int, dict[int, int]] = (-1, {})
    slices_by_number: dict[int, Slice] = attrs.field(factory=dict)
    slices_to_place: dict[int, None] = attrs.field(factory=dict)
    requests_by_id: dict[str, Request] = attrs.field(factory=dict)
    pending_replies: set[str] = attrs.field(factory=set)
    submissions: list[Submission] = attrs.field(factory=list)
    submitting: bool = False
    moving: bool = False
    job_acts_by_reply: dict[str, Any] = attrs.field(factory=dict)
    completed_by_id: collections.OrderedDict[str, _tasks.Task] = attrs.field(
        factory=collections.OrderedDict
    )
    run_s_by_kind: dict[str, float] = attrs.field(factory=dict)
    estimates: dict[tuple[str, _size.Size], Estimate] = attrs.field(
        factory=dict
    )
    last_success_by_kind: dict[str, LastSuccess] = attrs.field(factory=dict)
    refusals_in_doubt: dict[str, _refusals.Refusal] = attrs.field(factory=dict)
    budgets_by_team: dict[str, _retry_budget.RetryBudget] = attrs.field(
        factory=dict
    )
    gauges: dict[str, float] = attrs.field(factory=dict)
    waits_by_kind: dict[tuple[str, bool], list[int]] = attrs.field(
        factory=dict
    )
    counters: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )


def sum_free_slots(state: State) -> dict[str, int]:
    """Return the free slots of this node's slices by upstream."""
    free: collections.Counter[str] = collections.Counter()
    for slice_ in state.slices_by_number.values():
        for upstream in slice_.ledger.upstreams:
            free[upstream] += slice_.ledger.free_slots(upstream)
    return dict(free)


class SliceEpoch(Protocol):
    """Reference to a slice and the epoch under which it was owned."""

    @property
    def slice(self) -> int:
        """Return the number of the slice."""

    @property
    def epoch(self) -> int:
        """Return the epoch, which each change of owner increments."""


def owned_slice(state: State, ref: SliceEpoch) -> Slice | None:
    """Return a slice if this node still owns it under the epoch."""
    slice_ = state.slices_by_number.get(ref.slice)
    return slice_ if slice_ is not None and slice_.epoch == ref.epoch else None
