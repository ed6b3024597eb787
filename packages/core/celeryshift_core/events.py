"""Events: everything that the core learns, each with its time.

Times are seconds on the monotonic clock of the node.
"""

import enum
from typing import Any

import attrs

from celeryshift_core import _refusals
from celeryshift_core import _size
from celeryshift_core import schema


class Outcome(enum.Enum):
    """Say what is known of an act that another process was asked for."""

    OK = 'ok'
    REFUSED = 'refused'
    UNSENT = 'unsent'
    UNKNOWN = 'unknown'


class TaskPhase(enum.Enum):
    """Say how far a worker has come with a task."""

    RUNNING = 'running'
    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'


class VmState(enum.Enum):
    """Say what the VM list knows of a VM."""

    LIVE = 'live'
    LEAVING = 'leaving'
    GONE = 'gone'


class VmRole(enum.Enum):
    """Tell workers from entry VMs."""

    WORKER = 'worker'
    ENTRY = 'entry'


@attrs.frozen(slots=True)
class Vm:
    """Describe one VM of the list."""

    name: str
    role: VmRole
    address: str
    data_centre: str
    rack: str = ''
    upstream: str = ''
    state: VmState = VmState.LIVE
    capacity: _size.Size = _size.ZERO


@attrs.frozen(slots=True)
class TaskReport:
    """Describe a task as its worker reports it."""

    id: str
    phase: TaskPhase
    kind: str = ''
    team: str = ''
    size: _size.Size = _size.ONE_SLOT
    request: bool = False
    used: _size.Size = _size.ZERO


@attrs.frozen(slots=True)
class JobSpec:
    """Describe a job as its caller hands it in."""

    id: str
    team: str
    kind: str
    tasks: int = 1
    payload: Any = None
    size: _size.Size | None = None


@attrs.frozen(slots=True)
class Credentials:
    """Hold what a caller shows: a queue and, unless it is open, a key."""

    queue: str
    key_id: str = ''
    secret: str = attrs.field(default='', repr=False)


@attrs.frozen(slots=True)
class Event:
    """Carry the time at which the node learned something."""

    now: float


@attrs.frozen(slots=True)
class Started(Event):
    """Begin: a process with an incarnation of its own."""

    incarnation: str = ''


@attrs.frozen(slots=True)
class Tick(Event):
    """Let time pass."""


@attrs.frozen(slots=True)
class StoreWritten(Event):
    """Report the outcome of a write; conflicts carry the rows found."""

    op_id: str
    outcome: Outcome
    version: int = 0
    rows: dict[str, schema.Row] = attrs.field(factory=dict)


@attrs.frozen(slots=True)
class StoreRead(Event):
    """Report the rows read, or None when the store did not answer."""

    op_id: str
    rows: dict[str, schema.Row] | None


@attrs.frozen(slots=True)
class VmsFetched(Event):
    """Report the VMs that changed, or None when there was no answer."""

    revision: int
    vms: list[Vm] | None


@attrs.frozen(slots=True)
class WorkerSynced(Event):
    """Report the changes of a worker, or None when it did not answer."""

    slice: int
    epoch: int
    worker: str
    cursor: str
    reports: list[TaskReport] | None
    whole: bool = False


@attrs.frozen(slots=True)
class TaskStarted(Event):
    """Report the outcome of a start."""

    slice: int
    epoch: int
    worker: str
    task: str
    outcome: Outcome


@attrs.frozen(slots=True)
class TaskStopped(Event):
    """Report the outcome of a stop."""

    slice: int
    epoch: int
    worker: str
    task: str
    outcome: Outcome


@attrs.frozen(slots=True)
class RequestArrived(Event):
    """Take in a request from a caller, or from a peer with its team.

    The id is this node's own. The name is the caller's, scoped by team, or
    one that was made for a request that was not named.
    """

    id: str
    name: str
    kind: str
    credentials: Credentials | None = None
    team: str = ''
    timeout_s: float | None = None
    hops: int = 0
    named: bool = True


@attrs.frozen(slots=True)
class RequestAbandoned(Event):
    """Note that the caller of a request has gone."""

    id: str


@attrs.frozen(slots=True)
class RequestAnswered(Event):
    """Report the outcome of a request sent to a worker."""

    id: str
    attempt: int
    outcome: Outcome
    failed: bool = False


@attrs.frozen(slots=True)
class RequestForwarded(Event):
    """Report the outcome of a request handed to a peer."""

    id: str
    outcome: Outcome
    refusal: _refusals.Refusal | None = None
    worker: str = ''
    waited_s: float = 0.0


@attrs.frozen(slots=True)
class JobSubmitted(Event):
    """Take in a job."""

    reply_id: str
    spec: JobSpec
    credentials: Credentials | None = None
    hops: int = 0


class JobAct(enum.Enum):
    """Name what is asked of a job that exists."""

    SHOW = 'show'
    CANCEL = 'cancel'
    EXPLAIN = 'explain'


@attrs.frozen(slots=True)
class JobActRequested(Event):
    """Take in a question about a job, or its cancellation."""

    reply_id: str
    job: str
    act: JobAct
    credentials: Credentials | None = None
    team: str = ''
    hops: int = 0


@attrs.frozen(slots=True)
class CallForwarded(Event):
    """Report what a peer replied to a call handed to it."""

    reply_id: str
    outcome: Outcome
    document: dict | None = None
    refusal: _refusals.Refusal | None = None


@attrs.frozen(slots=True)
class ConfigSubmitted(Event):
    """Take in a checked configuration, made against a version."""

    reply_id: str
    base_version: int
    document: dict
    operator: str
    wall_time: str


@attrs.frozen(slots=True)
class KeyWithdrawn(Event):
    """Take in the withdrawal of a key."""

    reply_id: str
    key_id: str
    operator: str
    wall_time: str


@attrs.frozen(slots=True)
class AuditRequested(Event):
    """Take in a question about the changes before a version."""

    reply_id: str
    before: int | None
    limit: int


@attrs.frozen(slots=True)
class RequestQueried(Event):
    """Take in a question about what became of a request."""

    reply_id: str
    name: str
    credentials: Credentials


@attrs.frozen(slots=True)
class PeerMessageArrived(Event):
    """Take in a message from another node."""

    sender: str
    message: Any


@attrs.frozen(slots=True)
class PeerUnreachable(Event):
    """Note that a message to a peer was not delivered."""

    peer: str


@attrs.frozen(slots=True)
class DrainRequested(Event):
    """Begin a graceful shutdown."""
