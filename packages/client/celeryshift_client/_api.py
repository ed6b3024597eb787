"""Client of the HTTP interface of a node."""

from collections.abc import Sequence
import ssl
from types import TracebackType
from typing import Any
from urllib import parse
import uuid

import aiohttp

from celeryshift_client import _errors
import celeryshift_core as core

DEFAULT_TIMEOUT_S = 60.0
NOT_SENT_ERRORS = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)
CALL_ERRORS = (aiohttp.ClientError, TimeoutError, ValueError, RecursionError)
# Another node may be able to serve a call refused for these reasons.
TRY_NEXT_REASONS = frozenset(
    reason.value
    for reason in (
        core.Reason.DRAINING,
        core.Reason.NOT_READY,
        core.Reason.KEYS_UNCONFIRMED,
        core.Reason.TOO_MANY_BODIES,
        core.Reason.UNKNOWN_REQUEST,
    )
)
RAN_VALUES = frozenset(ran.value for ran in core.Ran)


class Client:
    """Client of nodes, for callers with a key and for operators.

    Given several URLs, it tries the next one in two cases. Either a node gave
    no valid reply, and the call certainly had no effect or may safely be
    repeated; or it refused the call, which had no effect, for a reason that
    may not apply to other nodes.
    """

    def __init__(
        self,
        url: str | Sequence[str],
        token: str = '',
        timeout_s: float = DEFAULT_TIMEOUT_S,
        ca: str | None = None,
    ) -> None:
        self._ca = ca
        urls = [url] if isinstance(url, str) else list(url)
        self._urls = [each.rstrip('/') for each in urls]
        self._headers = {'Authorization': f'Bearer {token}'} if token else {}
        self._timeout = aiohttp.ClientTimeout(timeout_s)
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> 'Client':
        ssl_context: ssl.SSLContext | bool = True
        if self._ca is not None:
            ssl_context = ssl.create_default_context(cafile=self._ca)
        self._session = aiohttp.ClientSession(
            timeout=self._timeout,
            connector=aiohttp.TCPConnector(ssl=ssl_context),
        )
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._session is not None:
            await self._session.close()

    async def request(
        self, kind: str, queue: str, payload: Any = None, **fields: Any
    ) -> dict[str, Any]:
        """Run a request and wait for its answer.

        Raises ProblemError when it is refused.
        """
        body = {'kind': kind, 'queue': queue, 'payload': payload, **fields}
        return await self.call('POST', '/v1/requests', body)

    async def explain_request(self, name: str, queue: str) -> dict[str, Any]:
        """Return the decisions of a node about a request."""
        path = f'/v1/requests/{_quote(name)}/explain?queue={_quote(queue)}'
        return await self.call('GET', path)

    async def submit(
        self, kind: str, queue: str, payload: Any = None, **fields: Any
    ) -> dict[str, Any]:
        """Submit a job and wait until it is accepted.

        An id is generated if none is given. A job that is submitted again
        with the same id is not added twice. Raises ProblemError when it is
        refused.
        """
        body = {'kind': kind, 'queue': queue, 'payload': payload, **fields}
        if body.get('id') is None:
            body['id'] = uuid.uuid4().hex
        return await self.call('POST', '/v1/jobs', body, repeatable=True)

    async def job(
        self, job: str, queue: str, explain: bool = False
    ) -> dict[str, Any]:
        """Return the progress of a job, or the reasons for its state."""
        suffix = '/explain' if explain else ''
        path = f'/v1/jobs/{_quote(job)}{suffix}?queue={_quote(queue)}'
        return await self.call('GET', path)

    async def cancel(self, job: str, queue: str) -> dict[str, Any]:
        """Cancel a job."""
        path = f'/v1/jobs/{_quote(job)}?queue={_quote(queue)}'
        return await self.call('DELETE', path, repeatable=True)

    async def configuration(self) -> dict[str, Any]:
        """Return the configuration in force and the nodes that use it."""
        return await self.call('GET', '/operator/v1/config')

    async def hand_in(
        self, base_version: int, configuration: dict[str, Any]
    ) -> dict[str, Any]:
        """Submit a configuration that is based on a certain version.

        Raises ProblemError if another version is in force.
        """
        body = {
            'base_version': base_version,
            'configuration': configuration,
        }
        return await self.call('PUT', '/operator/v1/config', body)

    async def withdraw_key(self, key_id: str) -> dict[str, Any]:
        """Withdraw a key permanently."""
        path = f'/operator/v1/keys/{_quote(key_id)}'
        return await self.call('DELETE', path, repeatable=True)

    async def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        repeatable: bool = False,
    ) -> dict[str, Any]:
        """Make one call, trying further nodes if that is safe.

        Raises ProblemError if a node refuses the call, and UnreachableError
        if no node gives a valid reply.
        """
        failure: Exception = _errors.UnreachableError('', 'no URL is given')
        repeatable = repeatable or method == 'GET'
        for url in self._urls:
            try:
                return await self._call(url, method, path, body)
            except _errors.UnreachableError as error:
                failure = error
                if error.ran is not core.Ran.NO and not repeatable:
                    break
            except _errors.ProblemError as error:
                failure = error
                if error.reason not in TRY_NEXT_REASONS or error.ran != 'no':
                    break
        raise failure

    async def _call(
        self, url: str, method: str, path: str, body: Any
    ) -> dict[str, Any]:
        if self._session is None:
            raise _errors.UnreachableError(url, 'the client is not open')
        # A GET call changes nothing, so it counts as not run.
        ran = core.Ran.NO if method == 'GET' else core.Ran.UNKNOWN
        try:
            async with self._session.request(
                method, url + path, json=body, headers=self._headers
            ) as response:
                document = await response.json(content_type=None)
        except NOT_SENT_ERRORS as error:
            raise _errors.UnreachableError(url, _cause(error)) from error
        except CALL_ERRORS as error:
            cause = _cause(error)
            raise _errors.UnreachableError(url, cause, ran) from error
        status = response.status
        if status >= 400 and _is_problem(document):
            raise _errors.ProblemError(status, document)
        if status >= 400 or not isinstance(document, dict):
            cause = f'invalid reply (status {status})'
            raise _errors.UnreachableError(url, cause, ran)
        return document


def _is_problem(document: Any) -> bool:
    return (
        isinstance(document, dict)
        and isinstance(document.get('type'), str)
        and document.get('ran') in RAN_VALUES
    )


def _cause(error: Exception) -> str:
    return f'{type(error).__name__}: {error}'


def _quote(text: str) -> str:
    return parse.quote(text, safe='')
