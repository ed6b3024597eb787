"""Events that the core receives from the node, each with its time.

Times are seconds on the monotonic clock of the node.
"""

import enum
from typing import Any

import attrs

from celeryshift_core import _refusals
from celeryshift_core import _size
from celeryshift_core import schema


class Outcome(enum.Enum):
    """Outcome of an operation requested from another process.

    An operation that is UNSENT had no effect; one that is UNKNOWN may have
    had one.
    """

    OK = 'ok'
    REFUSED = 'refused'
    UNSENT = 'unsent'
    UNKNOWN = 'unknown'


class TaskPhase(enum.Enum):
    """Phase of a task on its worker."""

    RUNNING = 'running'
    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'


class VmState(enum.Enum):
    """State of a VM in the VM list."""

    LIVE = 'live'
    LEAVING = 'leaving'
    GONE = 'gone'


class VmRole(enum.Enum):
    """Role of a VM: worker or entry VM."""

    WORKER = 'worker'
    ENTRY = 'entry'


@attrs.frozen(slots=True)
class Vm:
    """Entry of the VM list."""

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
    """Report of a worker about one of its runs.

    `request` is set if it runs a request, and `used` is its measured use.
    """

    id: str
    phase: TaskPhase
    kind: str = ''
    team: str = ''
    size: _size.Size = _size.ONE_SLOT
    request: bool = False
    used: _size.Size = _size.ZERO


@attrs.frozen(slots=True)
class JobSpec:
    """Job as its caller submitted it."""

    id: str
    team: str
    kind: str
    tasks: int = 1
    payload: Any = None
    size: _size.Size | None = None


@attrs.frozen(slots=True)
class Credentials:
    """Queue that a caller names and, unless it is open, the key."""

    queue: str
    key_id: str = ''
    secret: str = attrs.field(default='', repr=False)


@attrs.frozen(slots=True)
class Event:
    """Base class of the events, with the time of the event."""

    now: float


@attrs.frozen(slots=True)
class Started(Event):
    """The process has started, under an incarnation of its own."""

    incarnation: str = ''


@attrs.frozen(slots=True)
class Tick(Event):
    """Time has passed, and timers may be due."""


@attrs.frozen(slots=True)
class StoreWritten(Event):
    """Outcome of a write, with rows of the same transaction.

    The rows are those under its prefixes if it is OK, and those that failed a
    check if it is REFUSED.
    """

    op_id: str
    outcome: Outcome
    version: int = 0
    rows: dict[str, schema.Row] = attrs.field(factory=dict)


@attrs.frozen(slots=True)
class StoreRead(Event):
    """Rows read, or None if the store did not answer."""

    op_id: str
    rows: dict[str, schema.Row] | None


@attrs.frozen(slots=True)
class VmsFetched(Event):
    """VMs that have changed, or None if there was no answer."""

    revision: int
    vms: list[Vm] | None


@attrs.frozen(slots=True)
class WorkerSynced(Event):
    """Changed tasks of a worker, or None if it did not answer.

    `whole` is set if the reports list every task of the worker.
    """

    slice: int
    epoch: int
    worker: str
    cursor: str
    reports: list[TaskReport] | None
    whole: bool = False


@attrs.frozen(slots=True)
class TaskStarted(Event):
    """Outcome of the start of a task."""

    slice: int
    epoch: int
    worker: str
    task: str
    outcome: Outcome


@attrs.frozen(slots=True)
class TaskStopped(Event):
    """Outcome of the stop of a task."""

    slice: int
    epoch: int
    worker: str
    task: str
    outcome: Outcome


@attrs.frozen(slots=True)
class RequestArrived(Event):
    """Request from a caller, or from a peer, which adds the team.

    The id is local to this node. The name is the caller's, within its team,
    or a generated one if the caller gave none; `named` is then unset. `hops`
    counts how often the request was forwarded.
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
    """The caller of a request has disconnected."""

    id: str


@attrs.frozen(slots=True)
class RequestAnswered(Event):
    """Outcome of a request sent to a worker."""

    id: str
    attempt: int
    outcome: Outcome
    failed: bool = False


@attrs.frozen(slots=True)
class RequestForwarded(Event):
    """Outcome of a request forwarded to a peer."""

    id: str
    outcome: Outcome
    refusal: _refusals.Refusal | None = None
    worker: str = ''
    waited_s: float = 0.0


@attrs.frozen(slots=True)
class JobSubmitted(Event):
    """Job submitted by a caller or forwarded by a peer."""

    reply_id: str
    spec: JobSpec
    credentials: Credentials | None = None
    hops: int = 0


class JobAct(enum.Enum):
    """Operation on an existing job."""

    SHOW = 'show'
    CANCEL = 'cancel'
    EXPLAIN = 'explain'


@attrs.frozen(slots=True)
class JobActRequested(Event):
    """Request to show, explain or cancel a job."""

    reply_id: str
    job: str
    act: JobAct
    credentials: Credentials | None = None
    team: str = ''
    hops: int = 0


@attrs.frozen(slots=True)
class CallForwarded(Event):
    """Reply of a peer to a call forwarded to it."""

    reply_id: str
    outcome: Outcome
    document: dict | None = None
    refusal: _refusals.Refusal | None = None


@attrs.frozen(slots=True)
class ConfigSubmitted(Event):
    """Configuration submitted to replace a given version."""

    reply_id: str
    base_version: int
    document: dict
    operator: str
    wall_time: str


@attrs.frozen(slots=True)
class KeyWithdrawn(Event):
    """Withdrawal of a key by an operator."""

    reply_id: str
    key_id: str
    operator: str
    wall_time: str


@attrs.frozen(slots=True)
class AuditRequested(Event):
    """Query for the configuration changes before a version."""

    reply_id: str
    before: int | None
    limit: int


@attrs.frozen(slots=True)
class RequestQueried(Event):
    """Query for the decisions that were made about a request."""

    reply_id: str
    name: str
    credentials: Credentials


@attrs.frozen(slots=True)
class PeerMessageArrived(Event):
    """Message from another node."""

    sender: str
    message: Any


@attrs.frozen(slots=True)
class PeerUnreachable(Event):
    """A message to a peer could not be delivered."""

    peer: str


@attrs.frozen(slots=True)
class DrainRequested(Event):
    """Request for a graceful shutdown."""
