"""Request bodies: reading within limits, and validation."""

from collections.abc import Iterator
import json
import re
import time
from typing import Any
import uuid

from aiohttp import web
import attrs

import celeryshift_core as core
from celeryshift_core import events
from celeryshift_net import servers

NAME = re.compile(r'[A-Za-z0-9._-]{1,128}')
# Callers retry after this time if the bodies of other calls take all memory.
BUSY_RETRY_S = 1.0
SIZE_MINIMA = {'slots': 1, 'cpu_milli': 0, 'memory_mb': 0, 'accelerators': 0}

Reason = core.Reason


@attrs.frozen
class RequestBody:
    """Body of a call to run a request."""

    kind: str
    queue: str
    id: str | None = None
    timeout_s: float | None = None
    payload: Any = None


@attrs.frozen
class JobBody:
    """Body of a call to submit a job."""

    kind: str
    queue: str
    id: str | None = None
    tasks: int = 1
    size: core.Size | None = None
    payload: Any = None


@attrs.frozen
class ConfigBody:
    """Body of an operator's call to replace the configuration."""

    base_version: int
    configuration: dict[str, Any]


@attrs.frozen
class PeerMessage:
    """Message from a peer."""

    sender: str
    type: str
    body: dict[str, Any]


@attrs.frozen
class PeerRequest:
    """Request that a peer forwards."""

    name: str
    team: str
    kind: str
    timeout_s: float
    hops: int
    payload: Any = None


@attrs.frozen
class PeerJob:
    """Job that a peer forwards."""

    hops: int
    spec: events.JobSpec


@attrs.frozen
class PeerJobAct:
    """Call about an existing job that a peer forwards."""

    job: str
    act: events.JobAct
    team: str
    hops: int


class RefusedError(core.CeleryshiftError):
    """Raised by a handler to refuse its call."""

    def __init__(self, refusal: core.Refusal) -> None:
        self.refusal = refusal
        super().__init__(refusal.reason.value)


async def read_json(
    body: servers.Body, max_bytes: int, timeout_s: float
) -> tuple[Any, int]:
    """Read a JSON body; return the document and its length in bytes.

    Raises RefusedError for a body that is too long, too slow or not JSON, and
    if the bodies of other calls take all memory.
    """
    try:
        raw = await body.read(max_bytes, time.monotonic() + timeout_s)
        return json.loads(raw, parse_constant=_reject_constant), len(raw)
    except servers.IncompleteBodyError as error:
        detail = f'the body did not arrive within {timeout_s} s: {error}'
        raise refusal_error(Reason.SLOW_CALLER, detail) from error
    except servers.BodyTooLargeError as error:
        detail = f'a body has {max_bytes} bytes at most'
        raise refusal_error(Reason.TOO_LARGE, detail) from error
    except servers.BusyError as error:
        refusal = core.Refusal(
            Reason.TOO_MANY_BODIES,
            retry_after_s=BUSY_RETRY_S,
            detail=str(error),
        )
        raise RefusedError(refusal) from error
    except servers.EncodedBodyError as error:
        raise refusal_error(Reason.BAD_REQUEST, str(error)) from error
    except RecursionError as error:
        detail = 'the body is nested too deeply'
        raise refusal_error(Reason.BAD_REQUEST, detail) from error
    except ValueError as error:
        detail = f'the body is not JSON: {error}'
        raise refusal_error(Reason.BAD_REQUEST, detail) from error


def validate(document: Any, kind: type) -> Any:
    """Validate a document and return it as an instance of a class.

    Raises RefusedError, which lists every mistake with its path.
    """
    body, mistakes = core.check(document, kind, _mistakes)
    if mistakes:
        raise refusal_error(Reason.BAD_REQUEST, '; '.join(mistakes))
    return body


def validate_name(given: str | None) -> str:
    """Validate a name that a caller gives; generate one for None."""
    if given is None:
        return uuid.uuid4().hex
    if not NAME.fullmatch(given):
        detail = f'{given[:130]!r} is not a name: {NAME.pattern}'
        raise refusal_error(Reason.BAD_REQUEST, detail)
    return given


def parse_positive_number(request: web.Request, parameter: str) -> int | None:
    """Return a positive number from the query string, None if absent."""
    text = request.query.get(parameter)
    if text is None:
        return None
    if not text.isdecimal() or not text.isascii() or int(text[:18]) < 1:
        detail = f'{text[:40]!r} is not a number above 0 @ ?{parameter}'
        raise refusal_error(Reason.BAD_REQUEST, detail)
    # Digits after the 18th are ignored.
    return int(text[:18])


def refusal_error(reason: core.Reason, detail: str = '') -> RefusedError:
    """Return the error for a call that is refused before anything ran."""
    return RefusedError(core.Refusal(reason, detail=detail))


def _mistakes(body: Any) -> Iterator[str]:
    given_name = getattr(body, 'id', None)
    if given_name is not None and not NAME.fullmatch(given_name):
        yield f'not a name: {NAME.pattern} @ $.id'
    timeout_s = getattr(body, 'timeout_s', None)
    if timeout_s is not None and not timeout_s > 0:
        yield 'must be above 0 @ $.timeout_s'
    if getattr(body, 'tasks', 1) < 1:
        yield 'must be 1 or more @ $.tasks'
    if getattr(body, 'base_version', 0) < 0:
        yield 'must be 0 or more @ $.base_version'
    size = getattr(body, 'size', None)
    if size is not None:
        for field, minimum in SIZE_MINIMA.items():
            if getattr(size, field) < minimum:
                yield f'must be {minimum} or more @ $.size.{field}'


def _reject_constant(constant: str) -> None:
    raise ValueError(f'{constant} is no number of JSON')
