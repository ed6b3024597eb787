"""Calls of clients and the answers to them."""

import enum
from typing import Any

import attrs

from celeryshift_cellnode import errors

# Clients retry after this time when the store is unavailable.
STORE_UNAVAILABLE_RETRY_S = 1


class Verdict(enum.Enum):
    """Kinds of answers to clients."""

    OK = 'ok'
    # The queue does not exist.
    NO_QUEUE = 'no queue'
    NO_ACCESS = 'no access'
    # The store has no such job.
    NO_JOB = 'no job'
    MALFORMED = 'malformed'
    # The body exceeds the limit, or did not arrive in time.
    TOO_LARGE = 'too large'
    INCOMPLETE = 'incomplete'
    # The job was cancelled before it was stored. It is not accepted.
    WITHDRAWN = 'withdrawn'
    # The job is not accepted, because no worker or limit allows it, or because
    # it would end too late; the client may retry.
    TRY_LATER = 'try later'
    # The store or the owner does not answer. A submitted job is not accepted;
    # the client may retry.
    UNAVAILABLE = 'unavailable'
    # It is not known whether the job is accepted.
    UNKNOWN = 'unknown'


@attrs.frozen(slots=True)
class Answer:
    """Answer to a client."""

    verdict: Verdict
    body: dict[str, Any] | None = None
    retry_after_s: int | None = None
    reason: str = ''


@attrs.frozen(slots=True)
class Call:
    """Properties that all calls of clients have."""

    host: str
    path: str
    token: str | None
    # How long the client waits for the answer.
    timeout_s: float


def unavailable(reason: str) -> Answer:
    """Return the answer to a call that has certainly had no effect."""
    return Answer(
        Verdict.UNAVAILABLE,
        retry_after_s=STORE_UNAVAILABLE_RETRY_S,
        reason=reason,
    )


def withdrawn() -> Answer:
    """Return the answer to the submission of a cancelled job."""
    return Answer(
        Verdict.WITHDRAWN, reason='the job was cancelled before it was stored'
    )


def for_unread_body(error: Exception) -> Answer:
    """Return the answer to a call whose body was not read, by the error."""
    if isinstance(error, errors.BodyTooLargeError):
        return Answer(Verdict.TOO_LARGE, reason=str(error))
    if isinstance(error, errors.BusyError):
        return unavailable(str(error))
    if isinstance(error, errors.EncodedBodyError):
        return Answer(Verdict.MALFORMED, reason=str(error))
    return Answer(Verdict.INCOMPLETE, reason=f'incomplete body: {error}')
