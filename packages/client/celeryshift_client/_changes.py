"""Changes of the configuration: files and keys."""

import asyncio
import collections
from collections.abc import Iterator
import json
import pathlib
import random
import runpy
import time
from typing import Any

import attrs

from celeryshift_client import _api
from celeryshift_client import _errors
from celeryshift_client import _findings
from celeryshift_client import _fleet
import celeryshift_core as core

RETRY_LIMIT_S = 15.0
INITIAL_DELAY_S = 0.05
MAX_DELAY_S = 1.0
# `ran` is a string in ProblemError and an enum member in UnreachableError.
UNKNOWN_OUTCOMES = frozenset((core.Ran.UNKNOWN, core.Ran.UNKNOWN.value))
CONFLICT = core.Reason.CONFIGURATION_CONFLICT.value


@attrs.frozen
class Draft:
    """Configuration from a file, and the version that it is based on.

    `repeated_paths` are the paths of names that a JSON object has twice or
    more; only the last entry of such a name is in the document. `lists_keys`
    is false for the output of `config show`, which hides the keys.
    """

    document: dict[str, Any]
    base_version: int | None = None
    repeated_paths: tuple[str, ...] = ()
    lists_keys: bool = True


class _Object(dict):
    """JSON object that knows which of its names were repeated."""

    def __init__(self, pairs: list[tuple[str, Any]]) -> None:
        super().__init__(pairs)
        counts = collections.Counter(name for name, _ in pairs)
        self.repeated = [name for name in counts if counts[name] > 1]


class _Retries:
    """Retries of a change with backoff, up to a time limit.

    A node may learn of a new configuration with a delay, so a change that is
    based on its version may conflict several times.
    """

    def __init__(self) -> None:
        self._deadline = time.monotonic() + RETRY_LIMIT_S
        self._delay_s = INITIAL_DELAY_S

    async def wait_before_retry(self, error: Exception) -> bool:
        """Wait for the backoff delay; return whether to retry."""
        if time.monotonic() > self._deadline or not _may_retry(error):
            return False
        await asyncio.sleep(self._delay_s * random.uniform(0.5, 1.0))
        self._delay_s = min(2 * self._delay_s, MAX_DELAY_S)
        return True


def read(path: str) -> Draft:
    """Read a configuration from JSON, or from a Python file's `fleet`.

    Raises ConfigurationError, which lists every mistake with its path.
    """
    document = _read_python(path) if path.endswith('.py') else _read_json(path)
    version = None
    if isinstance(document, dict) and 'configuration' in document:
        version = document.get('version')
        document = document['configuration']
    checked = _fleet.canonical(document)
    repeated_paths = tuple(_iterate_repeated(document, '$'))
    return Draft(checked, version, repeated_paths, 'keys' in document)


async def grant(client: _api.Client, key_id: str, team: str) -> dict[str, Any]:
    """Grant a key; retry after a conflict or if the outcome is unknown.

    The secret is part of the returned token and is shown nowhere else.
    """
    secret = _fleet.new_secret()
    key = {'team': team, _findings.HASH_FIELD: _fleet.hash_of(secret)}
    retries = _Retries()
    while True:
        current = await client.configuration()
        document = current['configuration']
        if document['keys'].get(key_id) == key:
            # An earlier attempt took effect, but its reply was lost.
            return _grant_result(key_id, team, secret, current['version'])
        if key_id in document['keys'] or key_id in document['withdrawn_keys']:
            raise _errors.UsageError(f'key {key_id!r} already exists')
        document['keys'][key_id] = key
        checked = _fleet.canonical(document)
        try:
            reply = await client.hand_in(current['version'], checked)
        except core.CeleryshiftError as error:
            if not await retries.wait_before_retry(error):
                raise
        else:
            return _grant_result(key_id, team, secret, reply['version'])


async def withdraw(client: _api.Client, key_id: str) -> dict[str, Any]:
    """Withdraw a key, and retry after a refusal.

    Only conflicts and refusals with an unknown outcome are retried.
    """
    retries = _Retries()
    while True:
        try:
            return await client.withdraw_key(key_id)
        except _errors.ProblemError as error:
            if not await retries.wait_before_retry(error):
                raise


def _grant_result(
    key_id: str, team: str, secret: str, version: int
) -> dict[str, Any]:
    token = f'{key_id}.{secret}'
    return {'key': key_id, 'team': team, 'token': token, 'version': version}


def _may_retry(error: Exception) -> bool:
    if isinstance(error, _errors.ProblemError):
        return error.reason == CONFLICT or error.ran in UNKNOWN_OUTCOMES
    if isinstance(error, _errors.UnreachableError):
        return error.ran in UNKNOWN_OUTCOMES
    return False


def _read_json(path: str) -> Any:
    try:
        text = pathlib.Path(path).read_text()
        return json.loads(text, object_pairs_hook=_Object)
    except OSError as error:
        raise _errors.UsageError(f'{path}: {error.strerror}') from error
    except (ValueError, RecursionError) as error:
        raise core.ConfigurationError(path, [f'{error} @ $']) from error


def _read_python(path: str) -> Any:
    try:
        fleet = runpy.run_path(path).get('fleet')
    except core.CeleryshiftError:
        raise
    except Exception as error:
        raise _errors.UsageError(f'{path}: {error!r}') from error
    if not isinstance(fleet, _fleet.Fleet):
        raise _errors.UsageError(f'{path}: defines no Fleet named "fleet"')
    return fleet.document()


def _iterate_repeated(value: Any, path: str) -> Iterator[str]:
    if isinstance(value, _Object):
        for name in value.repeated:
            yield f'{path}.{name}'
    if isinstance(value, dict):
        for name, child in value.items():
            yield from _iterate_repeated(child, f'{path}.{name}')
