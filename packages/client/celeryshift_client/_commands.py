"""The commands of celeryshift, in groups.

A command gives an act instead of acting, so that nothing is done when the
rest of the command line turns out to make no sense.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import json
import os
import ssl
from typing import Any
from typing import TypeVar

import attrs
from fire import decorators

from celeryshift_client import _api
from celeryshift_client import _changes
from celeryshift_client import _errors
from celeryshift_client import _exits
from celeryshift_client import _fleet

URL_VARIABLE = 'CELERYSHIFT_URL'
TOKEN_VARIABLE = 'CELERYSHIFT_TOKEN'
CA_VARIABLE = 'CELERYSHIFT_CA'
AUDIT_PAGE = 20

# Fire would list the metadata of a command in its help as a group.
decorators.FIRE_METADATA = '_fire_metadata'

Number = TypeVar('Number', int, float)
Work = Callable[[], Awaitable['Result']]
as_text = decorators.SetParseFn(str)


@attrs.frozen
class Result:
    """Hold what a command found, and how it ended."""

    document: Any
    code: _exits.ExitCode = _exits.ExitCode.OK
    errors: tuple[str, ...] = ()


@attrs.frozen(eq=False)
class Act:
    """Hold what a command will do."""

    _work: Work
    _as_json: bool


@attrs.frozen
class _Context:
    url: str
    token: str
    as_json: bool
    timeout_s: float
    ca: str | None

    def act(self, work: Work) -> Act:
        return Act(work, self.as_json)

    @property
    def urls(self) -> list[str]:
        urls = [url for url in self.url.split(',') if url]
        if not urls:
            message = f'give --url, or set {URL_VARIABLE}'
            raise _errors.UsageError(message)
        return urls

    def client(self, *urls: str) -> _api.Client:
        chosen = urls or self.urls
        return _api.Client(chosen, self.token, self.timeout_s, self.ca)

    def call(self, make_call: Callable[[_api.Client], Awaitable[Any]]) -> Act:
        async def work() -> Result:
            async with self.client() as client:
                return Result(await make_call(client))

        return self.act(work)


class ConfigCommands:
    """Check, print, apply, show and compare configurations.

    A FILE is JSON, or Python that defines a Fleet named `fleet`.
    """

    def __init__(self, context: _Context) -> None:
        self._context = context

    @as_text
    def check(self, file: str) -> Act:
        """Check a configuration and list every mistake."""

        async def work() -> Result:
            _changes.read(file)
            return Result({'file': file, 'mistakes': []})

        return self._context.act(work)

    @as_text
    def print(self, file: str) -> Act:
        """Print a configuration as the JSON that is handed in."""

        async def work() -> Result:
            return Result(_changes.read(file).document)

        return attrs.evolve(self._context, as_json=True).act(work)

    @as_text
    def apply(self, file: str, base_version: str = '') -> Act:
        """Hand in a configuration; keys in force are kept.

        It is refused if it is not made against the version in force.
        """

        async def call(client: _api.Client) -> Any:
            draft = _changes.read(file)
            shown = await client.configuration()
            document = _changes.with_keys(
                draft.document, shown['configuration']
            )
            version = shown['version']
            if draft.base_version is not None:
                version = draft.base_version
            if base_version:
                version = _number(int, 'base_version', base_version)
            checked = _fleet.canonical(document)
            return await client.hand_in(version, checked)

        return self._context.call(call)

    @as_text
    def show(self) -> Act:
        """Show the configuration in force, and on which nodes it is."""

        async def call(client: _api.Client) -> Any:
            shown = await client.configuration()
            document = shown['configuration']
            shown['configuration'] = _changes.without_keys(document)
            return shown

        return self._context.call(call)

    @as_text
    def diff(self, file: str) -> Act:
        """Show what applying a configuration would change."""

        async def work() -> Result:
            draft = _changes.read(file)
            async with self._context.client() as client:
                shown = await client.configuration()
            in_force = _fleet.canonical(shown['configuration'])
            after = _changes.with_keys(draft.document, in_force)
            found = _changes.differences(in_force, after)
            codes = _exits.ExitCode
            code = codes.DIFFERENT if found else codes.OK
            document = {'version': shown['version'], 'changes': found}
            return Result(document, code)

        return self._context.act(work)


class KeyCommands:
    """Grant, withdraw and list keys."""

    def __init__(self, context: _Context) -> None:
        self._context = context

    @as_text
    def grant(self, key_id: str, team: str) -> Act:
        """Grant a key to a team; the token is shown this once."""
        return self._context.call(
            lambda client: _changes.grant(client, key_id, team)
        )

    @as_text
    def withdraw(self, key_id: str) -> Act:
        """Withdraw a key for good."""
        return self._context.call(
            lambda client: _changes.withdraw(client, key_id)
        )

    @as_text
    def list(self) -> Act:
        """List the keys and their teams."""
        return self._context.call(
            lambda client: client.call('GET', '/operator/v1/keys')
        )


class JobCommands:
    """Submit, follow, cancel and explain jobs."""

    def __init__(self, context: _Context) -> None:
        self._context = context

    @as_text
    def submit(
        self,
        kind: str,
        queue: str,
        payload: str = 'null',
        id: str = '',
        tasks: str = '1',
        slots: str = '',
        cpu_milli: str = '',
        memory_mb: str = '',
        accelerators: str = '',
    ) -> Act:
        """Submit a job; it is accepted once this returns."""
        fields: dict[str, Any] = {'tasks': _number(int, 'tasks', tasks)}
        size = {
            name: _number(int, name, text)
            for name, text in (
                ('slots', slots),
                ('cpu_milli', cpu_milli),
                ('memory_mb', memory_mb),
                ('accelerators', accelerators),
            )
            if text
        }
        if size:
            fields['size'] = size
        if id:
            fields['id'] = id
        content = _payload(payload)
        return self._context.call(
            lambda client: client.submit(kind, queue, content, **fields)
        )

    @as_text
    def status(self, id: str, queue: str) -> Act:
        """Show how far a job has come."""
        return self._context.call(lambda client: client.job(id, queue))

    @as_text
    def cancel(self, id: str, queue: str) -> Act:
        """Cancel a job."""
        return self._context.call(lambda client: client.cancel(id, queue))

    @as_text
    def explain(self, id: str, queue: str) -> Act:
        """Show why each task of a job waits, or ran where it did."""
        return self._context.call(
            lambda client: client.job(id, queue, explain=True)
        )


class RequestCommands:
    """Send and explain requests."""

    def __init__(self, context: _Context) -> None:
        self._context = context

    @as_text
    def send(
        self,
        kind: str,
        queue: str,
        payload: str = 'null',
        id: str = '',
        timeout_s: str = '',
    ) -> Act:
        """Run a request and show its answer."""
        fields: dict[str, Any] = {}
        if id:
            fields['id'] = id
        if timeout_s:
            fields['timeout_s'] = _number(float, 'timeout_s', timeout_s)
        content = _payload(payload)
        return self._context.call(
            lambda client: client.request(kind, queue, content, **fields)
        )

    @as_text
    def explain(self, id: str, queue: str) -> Act:
        """Show the decisions about a request, as its node remembers them."""
        return self._context.call(
            lambda client: client.explain_request(id, queue)
        )


class NodeCommands:
    """Show and drain nodes."""

    def __init__(self, context: _Context) -> None:
        self._context = context

    @as_text
    def status(self) -> Act:
        """Show what each node of --url says of itself."""

        async def work() -> Result:
            shown: dict[str, Any] = {}
            errors = []
            for url in self._context.urls:
                try:
                    async with self._context.client(url) as client:
                        path = '/operator/v1/node'
                        shown[url] = await client.call('GET', path)
                except _errors.UnreachableError as error:
                    shown[url] = 'unreachable'
                    errors.append(str(error))
            codes = _exits.ExitCode
            code = codes.UNREACHABLE if errors else codes.OK
            return Result(shown, code, tuple(errors))

        return self._context.act(work)

    @as_text
    def drain(self) -> Act:
        """Stop the one node of --url gracefully."""
        if len(self._context.urls) != 1:
            raise _errors.UsageError('give the --url of one node')
        return self._context.call(
            lambda client: client.call('POST', '/operator/v1/drain', {})
        )


@decorators.SetParseFns(url=str, token=str, timeout_s=str, ca=str)
class Commands:
    """Operate celeryshift, and use it.

    Nodes: --url, or CELERYSHIFT_URL (several, separated by commas).
    Operator token or key: --token, or CELERYSHIFT_TOKEN.
    Certificates to trust: --ca, or CELERYSHIFT_CA.
    """

    def __init__(
        self,
        *,
        url: str = '',
        token: str = '',
        json: bool = False,
        timeout_s: str = str(_api.DEFAULT_TIMEOUT_S),
        ca: str = '',
    ) -> None:
        context = _Context(
            url or os.environ.get(URL_VARIABLE, ''),
            token or os.environ.get(TOKEN_VARIABLE, ''),
            json,
            _number(float, 'timeout_s', timeout_s),
            _readable(ca or os.environ.get(CA_VARIABLE, '')),
        )
        self._context = context
        self.config = ConfigCommands(context)
        self.key = KeyCommands(context)
        self.job = JobCommands(context)
        self.request = RequestCommands(context)
        self.node = NodeCommands(context)

    @as_text
    def audit(self, before: str = '', limit: str = str(AUDIT_PAGE)) -> Act:
        """Show who changed what, the latest change first."""
        query = f'limit={_number(int, "limit", limit)}'
        if before:
            query += f'&before={_number(int, "before", before)}'
        return self._context.call(
            lambda client: client.call('GET', f'/operator/v1/audit?{query}')
        )


async def perform(act: Act) -> tuple[Result, bool]:
    """Carry out what a command will do; tell if JSON was asked for."""
    return await act._work(), act._as_json


def _number(kind: type[Number], name: str, text: str) -> Number:
    try:
        return kind(text)
    except ValueError as error:
        message = f'--{name} {text!r} is not a number'
        raise _errors.UsageError(message) from error


def _readable(path: str) -> str | None:
    try:
        if path:
            ssl.create_default_context(cafile=path)
    except OSError as error:
        raise _errors.UsageError(f'--ca {path}: {error}') from error
    return path or None


def _payload(text: str) -> Any:
    try:
        return json.loads(text)
    except (ValueError, RecursionError) as error:
        message = f'--payload is not JSON: {error}'
        raise _errors.UsageError(message) from error
