"""Client of the platform: transactions, reads and the VM list."""

from collections.abc import Callable
from typing import Any

import celeryshift_core as core
from celeryshift_core import effects
from celeryshift_core import events
from celeryshift_core import schema
from celeryshift_net import pools
from celeryshift_node import _calls
from celeryshift_node import _wire

TIMEOUT_S = 2.0
CONFLICT_STATUS = 409
# Errors of an answer of another form.
DECODE_ERRORS = (LookupError, TypeError, ValueError, AttributeError)
# Size of the name of an invalid VM in the log.
MAX_NAME_CHARS = 100

Outcome = events.Outcome


class Platform:
    """Client of the platform's services."""

    def __init__(self, channels: pools.ChannelPool, url: str) -> None:
        self._url = url.rstrip('/')
        self._channel = channels.get(self._url, pools.PLATFORM)
        # Called with the name of a VM whose entry is invalid.
        self.on_unreadable: Callable[[str], None] = lambda name: None

    async def write(
        self, effect: effects.WriteStore
    ) -> tuple[Outcome, int, dict[str, schema.Row]]:
        """Execute a transaction; return its outcome, version and rows."""
        body = {
            'checks': effect.checks,
            'puts': effect.puts,
            'deletes': list(effect.deletes),
            'prefixes': list(effect.prefixes),
        }
        reply = await self._post('/v1/transactions', body)
        if reply.outcome is not Outcome.OK:
            return reply.outcome, 0, {}
        try:
            if reply.ok:
                rows = _decode_rows(reply.body)
                _check_version(reply.body['version'])
                return Outcome.OK, reply.body['version'], rows
            if reply.status == CONFLICT_STATUS:
                return Outcome.REFUSED, 0, _decode_rows(reply.body)
        except DECODE_ERRORS:
            # The transaction may have been executed.
            pass
        return Outcome.UNKNOWN, 0, {}

    async def read(
        self, effect: effects.ReadStore
    ) -> dict[str, schema.Row] | None:
        """Read rows; return None if the service did not answer."""
        body = {'keys': list(effect.keys), 'prefixes': list(effect.prefixes)}
        reply = await self._post('/v1/reads', body)
        try:
            return _decode_rows(reply.body) if reply.ok else None
        except DECODE_ERRORS:
            return None

    async def fetch_vms(
        self, revision: int
    ) -> tuple[int, list[events.Vm] | None]:
        """Return the latest revision and the VMs changed after a revision.

        Returns None as VMs if the service did not answer.
        """
        url = f'{self._url}/v1/vms?after={revision}'
        reply = await _calls.call(
            self._channel, 'GET', url, timeout_s=TIMEOUT_S
        )
        if not reply.ok:
            return 0, None
        try:
            revision, documents = reply.body['revision'], reply.body['vms']
            vms = [self._decode_vm(document) for document in documents]
            _check_version(revision)
        except DECODE_ERRORS:
            return 0, None
        return revision, [vm for vm in vms if vm is not None]

    def _decode_vm(self, document: Any) -> events.Vm | None:
        """Return a VM; None for an entry that is invalid."""
        try:
            return _wire.decode_vm(document)
        except (core.DocumentError, RecursionError):
            name = document.get('name') if isinstance(document, dict) else ''
            name = name if isinstance(name, str) else ''
            self.on_unreadable(name[:MAX_NAME_CHARS])
            return None

    async def _post(self, path: str, body: dict) -> _calls.Reply:
        return await _calls.call(
            self._channel, 'POST', self._url + path, body, TIMEOUT_S
        )


def _decode_rows(body: dict) -> dict[str, schema.Row]:
    return {
        key: _decode_row(version, value)
        for key, (version, value) in body['rows'].items()
    }


def _decode_row(version: Any, value: Any) -> schema.Row:
    _check_version(version)
    if not isinstance(value, dict):
        raise TypeError('the value of a row is no object')
    return schema.Row(version, value)


def _check_version(version: Any) -> None:
    if isinstance(version, bool) or not isinstance(version, int):
        raise TypeError('a version is no whole number')
