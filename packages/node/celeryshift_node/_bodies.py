"""Bodies of calls: read within bounds, and checked as a whole."""

import asyncio
from collections.abc import Iterator
import json
import re
from typing import Any
import uuid

from aiohttp import web
import attrs

import celeryshift_core as core
from celeryshift_core import events

NAME = re.compile(r'[A-Za-z0-9._-]{1,128}')
SIZE_MINIMA = {'slots': 1, 'cpu_milli': 0, 'memory_mb': 0, 'accelerators': 0}

Reason = core.Reason


@attrs.frozen
class RequestBody:
    """Describe what a caller sends to run a request."""

    kind: str
    queue: str
    id: str | None = None
    timeout_s: float | None = None
    payload: Any = None


@attrs.frozen
class JobBody:
    """Describe what a caller sends to submit a job."""

    kind: str
    queue: str
    id: str | None = None
    tasks: int = 1
    size: core.Size | None = None
    payload: Any = None


@attrs.frozen
class ConfigBody:
    """Describe what an operator sends to hand in a configuration."""

    base_version: int
    configuration: dict[str, Any]


@attrs.frozen
class PeerMessage:
    """Describe a message of a peer."""

    sender: str
    type: str
    body: dict[str, Any]


@attrs.frozen
class PeerRequest:
    """Describe a request that a peer hands over."""

    name: str
    team: str
    kind: str
    timeout_s: float
    hops: int
    payload: Any = None


@attrs.frozen
class PeerJob:
    """Describe a job that a peer hands over."""

    hops: int
    spec: events.JobSpec


@attrs.frozen
class PeerJobAct:
    """Describe a question about a job that a peer hands over."""

    job: str
    act: events.JobAct
    team: str
    hops: int


class RefusedError(core.CeleryshiftError):
    """Carry a refusal out of a handler."""

    def __init__(self, refusal: core.Refusal) -> None:
        self.refusal = refusal
        super().__init__(refusal.reason.value)


async def read(
    request: web.Request, max_bytes: int, timeout_s: float
) -> tuple[Any, int]:
    """Read a body as JSON; give its length in bytes too.

    Raises RefusedError for a body that is too long, too slow or no JSON.
    """
    bounded = request.clone(client_max_size=max_bytes)
    try:
        async with asyncio.timeout(timeout_s):
            raw = await bounded.read()
        return json.loads(raw, parse_constant=_refuse_constant), len(raw)
    except TimeoutError as error:
        detail = f'the body did not arrive within {timeout_s} s'
        raise refused(Reason.SLOW_CALLER, detail) from error
    except web.HTTPRequestEntityTooLarge as error:
        detail = f'a body has {max_bytes} bytes at most'
        raise refused(Reason.TOO_LARGE, detail) from error
    except RecursionError as error:
        detail = 'the body is nested too deeply'
        raise refused(Reason.BAD_REQUEST, detail) from error
    except ValueError as error:
        detail = f'the body is not JSON: {error}'
        raise refused(Reason.BAD_REQUEST, detail) from error


def build(document: Any, kind: type) -> Any:
    """Build a checked body.

    Raises RefusedError, which lists every mistake with its path.
    """
    body, mistakes = core.check(document, kind, _mistakes)
    if mistakes:
        raise refused(Reason.BAD_REQUEST, '; '.join(mistakes))
    return body


def name(given: str | None) -> str:
    """Check a caller's name for its work, or make one."""
    if given is None:
        return uuid.uuid4().hex
    if not NAME.fullmatch(given):
        detail = f'{given[:130]!r} is not a name: {NAME.pattern}'
        raise refused(Reason.BAD_REQUEST, detail)
    return given


def number(request: web.Request, field: str) -> int | None:
    """Read a number above 0 from the query of a call, if it is there."""
    text = request.query.get(field)
    if text is None:
        return None
    if not text.isdecimal() or not text.isascii() or int(text[:18]) < 1:
        detail = f'{text[:40]!r} is not a number above 0 @ ?{field}'
        raise refused(Reason.BAD_REQUEST, detail)
    return int(text[:18])


def refused(reason: core.Reason, detail: str = '') -> RefusedError:
    """Make the error that refuses a call of which nothing ran."""
    return RefusedError(core.Refusal(reason, detail=detail))


def _mistakes(body: Any) -> Iterator[str]:
    named = getattr(body, 'id', None)
    if named is not None and not NAME.fullmatch(named):
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
        for field, least in SIZE_MINIMA.items():
            if getattr(size, field) < least:
                yield f'must be {least} or more @ $.size.{field}'


def _refuse_constant(constant: str) -> None:
    raise ValueError(f'{constant} is no number of JSON')
