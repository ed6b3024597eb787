"""Calls to the HTTP interface of a node."""

from types import TracebackType
from typing import Any

import aiohttp

import celeryshift_core as core

DEFAULT_TIMEOUT_S = 60.0


class ProblemError(core.CeleryshiftError):
    """Carry the problem document that a node answered with."""

    def __init__(self, status: int, problem: dict[str, Any]) -> None:
        self.status = status
        self.problem = problem
        self.reason = problem.get('type', '').rpartition(':')[2]
        self.ran = problem.get('ran', 'unknown')
        self.retry_after_s = problem.get('retry_after_s')
        detail = problem.get('detail', '')
        super().__init__(f'{self.reason} (ran: {self.ran}): {detail}')


class UnreachableError(core.CeleryshiftError):
    """Report that a node gave no answer."""


class Client:
    """Call a node as a caller with a key, or as an operator."""

    def __init__(
        self,
        url: str,
        token: str = '',
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> None:
        self._url = url.rstrip('/')
        self._headers = {'Authorization': f'Bearer {token}'} if token else {}
        self._timeout = aiohttp.ClientTimeout(timeout_s)
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> 'Client':
        self._session = aiohttp.ClientSession(timeout=self._timeout)
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

    async def submit(
        self, kind: str, queue: str, payload: Any = None, **fields: Any
    ) -> dict[str, Any]:
        """Submit a job; it is accepted once this returns.

        Raises ProblemError when it is refused.
        """
        body = {'kind': kind, 'queue': queue, 'payload': payload, **fields}
        return await self.call('POST', '/v1/jobs', body)

    async def job(
        self, job: str, queue: str, explain: bool = False
    ) -> dict[str, Any]:
        """Show how far a job has come, or why."""
        tail = '/explain' if explain else ''
        return await self.call('GET', f'/v1/jobs/{job}{tail}?queue={queue}')

    async def cancel(self, job: str, queue: str) -> dict[str, Any]:
        """Cancel a job."""
        return await self.call('DELETE', f'/v1/jobs/{job}?queue={queue}')

    async def hand_in(
        self, base_version: int, configuration: dict[str, Any]
    ) -> dict[str, Any]:
        """Hand in a configuration made against a version."""
        body = {
            'base_version': base_version,
            'configuration': configuration,
        }
        return await self.call('PUT', '/operator/v1/config', body)

    async def call(
        self, method: str, path: str, body: Any = None
    ) -> dict[str, Any]:
        """Make one call.

        Raises ProblemError for a problem, UnreachableError for no answer.
        """
        if self._session is None:
            raise UnreachableError('the client is not open')
        try:
            async with self._session.request(
                method, self._url + path, json=body, headers=self._headers
            ) as response:
                document = await response.json(content_type=None)
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            raise UnreachableError(f'{self._url}: {error!r}') from error
        if response.status >= 400:
            raise ProblemError(response.status, document)
        return document
