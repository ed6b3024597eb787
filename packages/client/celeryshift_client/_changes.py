"""Changes of a configuration: files, differences and keys."""

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

TRY_FOR_S = 15.0
FIRST_PAUSE_S = 0.05
LONGEST_PAUSE_S = 1.0
SECRET_FIELD = 'sha256'
UNSETTLED = frozenset((core.Ran.UNKNOWN, core.Ran.UNKNOWN.value))
CONFLICT = core.Reason.CONFIGURATION_CONFLICT.value


@attrs.frozen
class Draft:
    """Hold a configuration from a file, and the version it is made for."""

    document: dict[str, Any]
    base_version: int | None = None


class _Tries:
    """Bound how long a change is tried; a node may be some time behind."""

    def __init__(self) -> None:
        self._ends_at = time.monotonic() + TRY_FOR_S
        self._pause_s = FIRST_PAUSE_S

    async def again_after(self, error: Exception) -> bool:
        """Pause and tell whether to try again."""
        if time.monotonic() > self._ends_at or not _may_try_again(error):
            return False
        await asyncio.sleep(self._pause_s * random.uniform(0.5, 1.0))
        self._pause_s = min(2 * self._pause_s, LONGEST_PAUSE_S)
        return True


def read(path: str) -> Draft:
    """Read a configuration from JSON, or from a Python file's `fleet`.

    Raises ConfigurationError, which lists every mistake with its path.
    """
    document = _read_python(path) if path.endswith('.py') else _read(path)
    version = None
    if isinstance(document, dict) and 'configuration' in document:
        version = document.get('version')
        document = document['configuration']
    return Draft(_fleet.canonical(document), version)


def with_keys(
    document: dict[str, Any], in_force: dict[str, Any]
) -> dict[str, Any]:
    """Keep the keys in force, and all withdrawals."""
    withdrawn = {*document['withdrawn_keys'], *in_force['withdrawn_keys']}
    return {
        **document,
        'keys': {**in_force['keys'], **document['keys']},
        'withdrawn_keys': sorted(withdrawn),
    }


def without_keys(document: dict[str, Any]) -> dict[str, Any]:
    """Leave out the keys: their hashes are shown to nobody."""
    hidden = ('version', 'keys', 'withdrawn_keys')
    return {key: document[key] for key in document if key not in hidden}


def differences(
    before: dict[str, Any], after: dict[str, Any]
) -> list[dict[str, Any]]:
    """List what differs, by path; hashes are not shown."""
    old, new = dict(_leaves(before, '$')), dict(_leaves(after, '$'))
    found = []
    for path in sorted(old.keys() | new.keys()):
        if old.get(path) != new.get(path):
            change: dict[str, Any] = {'path': path}
            if not path.endswith(SECRET_FIELD):
                change |= {'from': old.get(path), 'to': new.get(path)}
            found.append(change)
    return found


async def grant(client: _api.Client, key_id: str, team: str) -> dict[str, Any]:
    """Grant a key: read, add, hand in, and again after a conflict.

    The answer is the only place where the secret is ever shown.
    """
    secret = _fleet.new_secret()
    key = {'team': team, SECRET_FIELD: _fleet.hash_of(secret)}
    tries = _Tries()
    while True:
        shown = await client.configuration()
        document = shown['configuration']
        if document['keys'].get(key_id) == key:
            # An earlier try took effect, though its answer was lost.
            return _granted(key_id, team, secret, shown['version'])
        if key_id in document['keys'] or key_id in document['withdrawn_keys']:
            raise _errors.UsageError(f'key {key_id!r} exists already')
        document['keys'][key_id] = key
        checked = _fleet.canonical(document)
        try:
            reply = await client.hand_in(shown['version'], checked)
        except core.CeleryshiftError as error:
            if not await tries.again_after(error):
                raise
        else:
            return _granted(key_id, team, secret, reply['version'])


async def withdraw(client: _api.Client, key_id: str) -> dict[str, Any]:
    """Withdraw a key, and again after a conflict."""
    tries = _Tries()
    while True:
        try:
            return await client.withdraw_key(key_id)
        except _errors.ProblemError as error:
            if not await tries.again_after(error):
                raise


def _granted(
    key_id: str, team: str, secret: str, version: int
) -> dict[str, Any]:
    token = f'{key_id}.{secret}'
    return {'key': key_id, 'team': team, 'token': token, 'version': version}


def _may_try_again(error: Exception) -> bool:
    if isinstance(error, _errors.ProblemError):
        return error.reason == CONFLICT or error.ran in UNSETTLED
    if isinstance(error, _errors.UnreachableError):
        return error.ran in UNSETTLED
    return False


def _read(path: str) -> Any:
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


def _leaves(value: Any, path: str) -> Any:
    if isinstance(value, dict):
        for key, inner in value.items():
            yield from _leaves(inner, f'{path}.{key}')
    else:
        yield path, value
