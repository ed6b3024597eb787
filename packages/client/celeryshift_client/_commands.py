"""Command groups of the celeryshift command line.

A command returns an action that is executed later, because Fire calls the
command before it reports superfluous arguments.
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
from celeryshift_client import _findings
from celeryshift_client import _fleet
import celeryshift_core as core

URL_VARIABLE = 'CELERYSHIFT_URL'
TOKEN_VARIABLE = 'CELERYSHIFT_TOKEN'
CA_VARIABLE = 'CELERYSHIFT_CA'
AUDIT_PAGE_SIZE = 20
# Value of --against for the configuration that the nodes use.
IN_FORCE = 'in-force'

# Fire keeps the metadata of a command in an attribute of this name. Its help
# would list a public attribute as a group of commands.
decorators.FIRE_METADATA = '_fire_metadata'

Number = TypeVar('Number', int, float)
Execute = Callable[[], Awaitable['Result']]
parse_as_text = decorators.SetParseFn(str)


@attrs.frozen
class Result:
    """Output, exit code and error messages of a command."""

    document: Any
    code: _exits.ExitCode = _exits.ExitCode.OK
    errors: tuple[str, ...] = ()


@attrs.frozen(eq=False)
class Action:
    """Action of a command, to be executed by `perform`.

    Its attributes are private because Fire lists public ones as commands.
    """

    _execute: Execute
    _as_json: bool


@attrs.frozen
class _Context:
    url: str
    token: str
    as_json: bool
    timeout_s: float
    ca: str | None

    def action(self, execute: Execute) -> Action:
        return Action(execute, self.as_json)

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

    def call(
        self, make_call: Callable[[_api.Client], Awaitable[Any]]
    ) -> Action:
        async def execute() -> Result:
            async with self.client() as client:
                return Result(await make_call(client))

        return self.action(execute)


class ConfigCommands:
    """Check, print, apply, show and compare configurations.

    A FILE is JSON, or Python that defines a Fleet named `fleet`.
    """

    def __init__(self, context: _Context) -> None:
        self._context = context

    @parse_as_text
    def check(self, file: str, against: str = '') -> Action:
        """Check a configuration; list every mistake and warning.

        --against FILE, or --against in-force for the configuration that the
        nodes use, also lists the differences from it.
        """

        async def execute() -> Result:
            try:
                draft = _changes.read(file)
                base = await self._read_base(against)
                in_force = base.document if base else None
                findings = _findings.find(
                    draft.document, in_force, draft.repeated_paths
                )
            except core.ConfigurationError as error:
                if not self._context.as_json:
                    raise
                document = {'file': file, 'mistakes': [*error.mistakes]}
                code = _exits.exit_code(error)
                return Result(document, code, (str(error),))
            return _check_result(file, draft, findings, base)

        return self._context.action(execute)

    @parse_as_text
    def print(self, file: str) -> Action:
        """Print a configuration as the JSON that `apply` submits."""

        async def execute() -> Result:
            return Result(_changes.read(file).document)

        return attrs.evolve(self._context, as_json=True).action(execute)

    @parse_as_text
    def apply(self, file: str, base_version: str = '') -> Action:
        """Submit a configuration; keys in force are kept.

        It is refused if it is not based on the version in force.
        """

        async def call(client: _api.Client) -> Any:
            draft = _changes.read(file)
            current = await client.configuration()
            document = _findings.with_keys(
                draft.document, current['configuration']
            )
            version = current['version']
            if draft.base_version is not None:
                version = draft.base_version
            if base_version:
                version = _parse_number(int, 'base_version', base_version)
            checked = _fleet.canonical(document)
            return await client.hand_in(version, checked)

        return self._context.call(call)

    @parse_as_text
    def show(self) -> Action:
        """Show the configuration in force and the nodes that use it."""

        async def call(client: _api.Client) -> Any:
            current = await client.configuration()
            document = current['configuration']
            current['configuration'] = _findings.without_keys(document)
            return current

        return self._context.call(call)

    @parse_as_text
    def diff(self, file: str) -> Action:
        """Show what applying a configuration would change."""

        async def execute() -> Result:
            draft = _changes.read(file)
            base = await self._read_in_force()
            changes = _findings.changes(draft.document, base.document)
            codes = _exits.ExitCode
            code = codes.DIFFERENT if changes else codes.OK
            document = {'version': base.base_version, 'changes': changes}
            return Result(document, code)

        return self._context.action(execute)

    async def _read_in_force(self) -> _changes.Draft:
        async with self._context.client() as client:
            current = await client.configuration()
        document = _fleet.canonical(current['configuration'])
        return _changes.Draft(document, current['version'])

    async def _read_base(self, against: str) -> _changes.Draft | None:
        if not against:
            return None
        try:
            if against == IN_FORCE:
                return await self._read_in_force()
            return _changes.read(against)
        except core.ConfigurationError as error:
            # The mistakes are not those of the file that is checked.
            message = f'--against {against}: {error}'
            raise _errors.UsageError(message) from error


class KeyCommands:
    """Grant, withdraw and list keys."""

    def __init__(self, context: _Context) -> None:
        self._context = context

    @parse_as_text
    def grant(self, key_id: str, team: str) -> Action:
        """Grant a key to a team; the token is shown only once."""
        return self._context.call(
            lambda client: _changes.grant(client, key_id, team)
        )

    @parse_as_text
    def withdraw(self, key_id: str) -> Action:
        """Withdraw a key permanently."""
        return self._context.call(
            lambda client: _changes.withdraw(client, key_id)
        )

    @parse_as_text
    def list(self) -> Action:
        """List the keys and their teams."""
        return self._context.call(
            lambda client: client.call('GET', '/operator/v1/keys')
        )


class JobCommands:
    """Submit, follow, cancel and explain jobs."""

    def __init__(self, context: _Context) -> None:
        self._context = context

    @parse_as_text
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
    ) -> Action:
        """Submit a job and wait until it is accepted."""
        fields: dict[str, Any] = {'tasks': _parse_number(int, 'tasks', tasks)}
        size = {
            name: _parse_number(int, name, text)
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
        content = _parse_payload(payload)
        return self._context.call(
            lambda client: client.submit(kind, queue, content, **fields)
        )

    @parse_as_text
    def status(self, id: str, queue: str) -> Action:
        """Show the progress of a job."""
        return self._context.call(lambda client: client.job(id, queue))

    @parse_as_text
    def cancel(self, id: str, queue: str) -> Action:
        """Cancel a job."""
        return self._context.call(lambda client: client.cancel(id, queue))

    @parse_as_text
    def explain(self, id: str, queue: str) -> Action:
        """Show why each task of a job waits, or ran where it did."""
        return self._context.call(
            lambda client: client.job(id, queue, explain=True)
        )


class RequestCommands:
    """Send and explain requests."""

    def __init__(self, context: _Context) -> None:
        self._context = context

    @parse_as_text
    def send(
        self,
        kind: str,
        queue: str,
        payload: str = 'null',
        id: str = '',
        timeout_s: str = '',
    ) -> Action:
        """Run a request and show its answer."""
        fields: dict[str, Any] = {}
        if id:
            fields['id'] = id
        if timeout_s:
            fields['timeout_s'] = _parse_number(float, 'timeout_s', timeout_s)
        content = _parse_payload(payload)
        return self._context.call(
            lambda client: client.request(kind, queue, content, **fields)
        )

    @parse_as_text
    def explain(self, id: str, queue: str) -> Action:
        """Show the decisions about a request that its node recorded."""
        return self._context.call(
            lambda client: client.explain_request(id, queue)
        )


class NodeCommands:
    """Show and drain nodes."""

    def __init__(self, context: _Context) -> None:
        self._context = context

    @parse_as_text
    def status(self) -> Action:
        """Show the status that each node of --url reports."""

        async def execute() -> Result:
            statuses: dict[str, Any] = {}
            errors = []
            for url in self._context.urls:
                try:
                    async with self._context.client(url) as client:
                        path = '/operator/v1/node'
                        statuses[url] = await client.call('GET', path)
                except _errors.UnreachableError as error:
                    statuses[url] = 'unreachable'
                    errors.append(str(error))
            codes = _exits.ExitCode
            code = codes.UNREACHABLE if errors else codes.OK
            return Result(statuses, code, tuple(errors))

        return self._context.action(execute)

    @parse_as_text
    def drain(self) -> Action:
        """Stop the one node of --url gracefully."""
        if len(self._context.urls) != 1:
            raise _errors.UsageError('give the --url of one node')
        return self._context.call(
            lambda client: client.call('POST', '/operator/v1/drain', {})
        )


@decorators.SetParseFns(url=str, token=str, timeout_s=str, ca=str)
class Commands:
    """Operate and use celeryshift.

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
            _parse_number(float, 'timeout_s', timeout_s),
            _validate_ca_file(ca or os.environ.get(CA_VARIABLE, '')),
        )
        self._context = context
        self.config = ConfigCommands(context)
        self.key = KeyCommands(context)
        self.job = JobCommands(context)
        self.request = RequestCommands(context)
        self.node = NodeCommands(context)

    @parse_as_text
    def audit(
        self, before: str = '', limit: str = str(AUDIT_PAGE_SIZE)
    ) -> Action:
        """Show who changed what, the latest change first."""
        query = f'limit={_parse_number(int, "limit", limit)}'
        if before:
            query += f'&before={_parse_number(int, "before", before)}'
        return self._context.call(
            lambda client: client.call('GET', f'/operator/v1/audit?{query}')
        )


async def perform(action: Action) -> tuple[Result, bool]:
    """Execute an action; return its result and whether to print JSON."""
    return await action._execute(), action._as_json


def _check_result(
    file: str,
    draft: _changes.Draft,
    findings: list[_findings.Finding],
    base: _changes.Draft | None,
) -> Result:
    warnings = [
        {**attrs.asdict(finding), 'category': finding.category.value}
        for finding in findings
    ]
    document: dict[str, Any] = {
        'file': file,
        'mistakes': [],
        'warnings': warnings,
    }
    if base is None:
        return Result(document)
    changes = _findings.changes(draft.document, base.document, base.lists_keys)
    document |= {'version': base.base_version, 'changes': changes}
    codes = _exits.ExitCode
    return Result(document, codes.DIFFERENT if changes else codes.OK)


def _parse_number(kind: type[Number], name: str, text: str) -> Number:
    try:
        return kind(text)
    except ValueError as error:
        message = f'--{name} {text!r} is not a number'
        raise _errors.UsageError(message) from error


def _validate_ca_file(path: str) -> str | None:
    try:
        if path:
            ssl.create_default_context(cafile=path)
    except OSError as error:
        raise _errors.UsageError(f'--ca {path}: {error}') from error
    return path or None


def _parse_payload(text: str) -> Any:
    try:
        return json.loads(text)
    except (ValueError, RecursionError) as error:
        message = f'--payload is not JSON: {error}'
        raise _errors.UsageError(message) from error
