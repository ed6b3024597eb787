"""Changes of the configuration: files, differences and keys."""

import asyncio
import json
import pathlib
import random
import runpy
import time
from typing import Any

import attrs

from celeryshift_client import _api
from celeryshift_client import _errors
from celeryshift_client import _fleet
import celeryshift_core as core

RETRY_LIMIT_S = 15.0
INITIAL_DELAY_S = 0.05
MAX_DELAY_S = 1.0
HASH_FIELD = 'sha256'
# `ran` is a string in ProblemError and an enum member in UnreachableError.
UNKNOWN_OUTCOMES = frozenset((core.Ran.UNKNOWN, core.Ran.UNKNOWN.value))
CONFLICT = core.Reason.CONFIGURATION_CONFLICT.value


@attrs.frozen
class Draft:
    """Configuration from a file, and the version that it is based on."""

    document: dict[str, Any]
    base_version: int | None = None


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
    return Draft(_fleet.canonical(document), version)


def with_keys(
    document: dict[str, Any], in_force: dict[str, Any]
) -> dict[str, Any]:
    """Return the document with the keys in force and all withdrawals."""
    withdrawn = {*document['withdrawn_keys'], *in_force['withdrawn_keys']}
    return {
        **document,
        'keys': {**in_force['keys'], **document['keys']},
        'withdrawn_keys': sorted(withdrawn),
    }


def without_keys(document: dict[str, Any]) -> dict[str, Any]:
    """Return the document without keys, whose hashes must not be shown."""
    hidden = ('version', 'keys', 'withdrawn_keys')
    return {key: document[key] for key in document if key not in hidden}


def differences(
    before: dict[str, Any], after: dict[str, Any]
) -> list[dict[str, Any]]:
    """Return the differences sorted by path, without values of hashes."""
    old, new = (
        dict(_iterate_leaves(before, '$')),
        dict(_iterate_leaves(after, '$')),
    )
    changes = []
    for path in sorted(old.keys() | new.keys()):
        if old.get(path) != new.get(path):
            change: dict[str, Any] = {'path': path}
            if not path.endswith(HASH_FIELD):
                change |= {'from': old.get(path), 'to': new.get(path)}
            changes.append(change)
    return changes


async def grant(client: _api.Client, key_id: str, team: str) -> dict[str, Any]:
    """Grant a key; retry after a conflict or if the outcome is unknown.

    The secret is part of the returned token and is shown nowhere else.
    """
    secret = _fleet.new_secret()
    key = {'team': team, HASH_FIELD: _fleet.hash_of(secret)}
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
        return json.loads(pathlib.Path(path).read_text())
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


def _iterate_leaves(value: Any, path: str) -> Any:
    if isinstance(value, dict):
        for key, child in value.items():
            yield from _iterate_leaves(child, f'{path}.{key}')
    else:
        yield path, value
