"""Effects: everything that the core asks of the node that runs it.

An effect with a deadline is carried out before that time, on the monotonic
clock, or not at all; its outcome is then UNSENT.
"""

from typing import Any

import attrs

from celeryshift_core import _refusals
from celeryshift_core import _size
from celeryshift_core import events


@attrs.frozen(slots=True)
class Effect:
    """Stand at the root of the effects."""


@attrs.frozen(slots=True)
class WriteStore(Effect):
    """Write rows in one transaction, if every check holds.

    A check gives the version that a row must have, or 0 for no row. The
    prefixes are read in the same transaction.
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
    """Ask for the VMs that changed after a revision."""

    revision: int


@attrs.frozen(slots=True)
class SyncWorker(Effect):
    """Renew the leases of a worker's tasks and learn what changed."""

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
    """Stop a task on a worker, after a checkpoint if one is wanted."""

    slice: int
    epoch: int
    worker: str
    address: str
    task: str
    deadline: float
    checkpoint: bool = False


@attrs.frozen(slots=True)
class ThrottleTask(Effect):
    """Let a task on a worker use no more than it declared."""

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
    """Hand a request to a peer and wait for its answer."""

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
    """Give the caller the answer that was received."""

    id: str
    worker: str
    waited_s: float


@attrs.frozen(slots=True)
class RefuseRequest(Effect):
    """Give the caller a refusal."""

    id: str
    refusal: _refusals.Refusal


@attrs.frozen(slots=True)
class QueryOutcome(Effect):
    """Ask a worker, over a new connection, how a request ended."""

    id: str
    attempt: int
    task: str
    worker: str
    address: str
    timeout_s: float


@attrs.frozen(slots=True)
class ForwardJob(Effect):
    """Hand a job to a peer and wait for its reply."""

    reply_id: str
    peer: str
    address: str
    spec: events.JobSpec
    hops: int


@attrs.frozen(slots=True)
class ForwardJobAct(Effect):
    """Ask a peer about a job that it holds and wait for its reply."""

    reply_id: str
    peer: str
    address: str
    job: str
    act: events.JobAct
    team: str
    hops: int


@attrs.frozen(slots=True)
class Reply(Effect):
    """Reply to a caller or operator: with a document or a refusal."""

    reply_id: str
    document: dict | None = None
    refusal: _refusals.Refusal | None = None


@attrs.frozen(slots=True)
class SendMessage(Effect):
    """Send a message to another node, without waiting for an answer."""

    peer: str
    address: str
    message: Any


@attrs.frozen(slots=True)
class LogChange(Effect):
    """Write a line about a change of state."""

    name: str
    fields: dict[str, Any] = attrs.field(factory=dict)


@attrs.frozen(slots=True)
class StopNode(Effect):
    """End the process: nothing is left to hand over."""
