"""Effects that the core asks the node to carry out.

An effect with a deadline is carried out before that time on the monotonic
clock or not at all, in which case its outcome is UNSENT. A `task` is given by
the id of its run, which differs for each attempt.
"""

from typing import Any

import attrs

from celeryshift_core import _refusals
from celeryshift_core import _size
from celeryshift_core import events


@attrs.frozen(slots=True)
class Effect:
    """Base class of the effects."""


@attrs.frozen(slots=True)
class WriteStore(Effect):
    """Write rows in one transaction if every check holds.

    A check gives the version that a row must have, or 0 if the row must not
    exist. The prefixes are read in the same transaction.
    """

    op_id: str
    checks: dict[str, int]
    puts: dict[str, dict]
    deletes: tuple[str, ...] = ()
    prefixes: tuple[str, ...] = ()


@attrs.frozen(slots=True)
class ReadStore(Effect):
    """Read rows by key and by prefix, in one transaction."""

    op_id: str
    keys: tuple[str, ...] = ()
    prefixes: tuple[str, ...] = ()


@attrs.frozen(slots=True)
class FetchVms(Effect):
    """Fetch the VMs that have changed since a revision."""

    revision: int


@attrs.frozen(slots=True)
class SyncWorker(Effect):
    """Renew the leases of a worker's tasks and fetch their changes.

    `acknowledged` lists ended runs that the worker need not report again. A
    `lease_s` of 0 renews no lease.
    """

    slice: int
    epoch: int
    worker: str
    address: str
    cursor: str
    acknowledged: tuple[str, ...]
    wait_s: float
    lease_s: float
    deadline: float


@attrs.frozen(slots=True)
class StartTask(Effect):
    """Start a task on a worker."""

    slice: int
    epoch: int
    worker: str
    address: str
    task: str
    team: str
    kind: str
    size: _size.Size
    payload: Any
    lease_s: float
    max_run_s: float
    deadline: float


@attrs.frozen(slots=True)
class StopTask(Effect):
    """Stop a task on a worker, after a checkpoint if requested."""

    slice: int
    epoch: int
    worker: str
    address: str
    task: str
    deadline: float
    checkpoint: bool = False


@attrs.frozen(slots=True)
class ThrottleTask(Effect):
    """Limit a task on a worker to the size that it declared."""

    slice: int
    epoch: int
    worker: str
    address: str
    task: str
    deadline: float


@attrs.frozen(slots=True)
class SendRequest(Effect):
    """Send a request to a worker and wait for its answer."""

    id: str
    attempt: int
    task: str
    worker: str
    address: str
    team: str
    kind: str
    size: _size.Size
    repeatable: bool
    timeout_s: float
    deadline: float


@attrs.frozen(slots=True)
class ForwardRequest(Effect):
    """Forward a request to a peer and wait for its answer."""

    id: str
    name: str
    peer: str
    address: str
    team: str
    kind: str
    timeout_s: float
    hops: int


@attrs.frozen(slots=True)
class AnswerRequest(Effect):
    """Send the caller the answer of the worker or peer."""

    id: str
    worker: str
    waited_s: float


@attrs.frozen(slots=True)
class RefuseRequest(Effect):
    """Send the caller a refusal."""

    id: str
    refusal: _refusals.Refusal


@attrs.frozen(slots=True)
class QueryOutcome(Effect):
    """Query a worker, over a new connection, for the outcome of a request."""

    id: str
    attempt: int
    task: str
    worker: str
    address: str
    timeout_s: float


@attrs.frozen(slots=True)
class ForwardJob(Effect):
    """Forward a job to a peer and wait for its reply."""

    reply_id: str
    peer: str
    address: str
    spec: events.JobSpec
    hops: int


@attrs.frozen(slots=True)
class ForwardJobAct(Effect):
    """Forward a call about a job to the peer that has it."""

    reply_id: str
    peer: str
    address: str
    job: str
    act: events.JobAct
    team: str
    hops: int


@attrs.frozen(slots=True)
class Reply(Effect):
    """Reply to a caller or operator with a document or a refusal."""

    reply_id: str
    document: dict | None = None
    refusal: _refusals.Refusal | None = None


@attrs.frozen(slots=True)
class SendMessage(Effect):
    """Send a message to another node without waiting for an answer."""

    peer: str
    address: str
    message: Any


@attrs.frozen(slots=True)
class LogChange(Effect):
    """Log a change of state."""

    name: str
    fields: dict[str, Any] = attrs.field(factory=dict)


@attrs.frozen(slots=True)
class StopNode(Effect):
    """Stop the process.

    Peers take over the slices that it could not release.
    """
