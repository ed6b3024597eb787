"""Client of the platform: transactions, reads and the VM list."""

from celeryshift_core import effects
from celeryshift_core import events
from celeryshift_core import schema
from celeryshift_net import pools
from celeryshift_node import _calls
from celeryshift_node import _wire

TIMEOUT_S = 2.0
CONFLICT_STATUS = 409

Outcome = events.Outcome


class Platform:
    """Client of the platform's services."""

    def __init__(self, channels: pools.ChannelPool, url: str) -> None:
        self._url = url.rstrip('/')
        self._channel = channels.get(self._url, pools.PLATFORM)

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
        if reply.ok:
            return Outcome.OK, reply.body['version'], _decode_rows(reply.body)
        if reply.status == CONFLICT_STATUS:
            return Outcome.REFUSED, 0, _decode_rows(reply.body)
        return Outcome.UNKNOWN, 0, {}

    async def read(
        self, effect: effects.ReadStore
    ) -> dict[str, schema.Row] | None:
        """Read rows; return None if the service did not answer."""
        body = {'keys': list(effect.keys), 'prefixes': list(effect.prefixes)}
        reply = await self._post('/v1/reads', body)
        return _decode_rows(reply.body) if reply.ok else None

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
        vms = [_wire.decode_vm(document) for document in reply.body['vms']]
        return reply.body['revision'], vms

    async def _post(self, path: str, body: dict) -> _calls.Reply:
        return await _calls.call(
            self._channel, 'POST', self._url + path, body, TIMEOUT_S
        )


def _decode_rows(body: dict) -> dict[str, schema.Row]:
    return {
        key: schema.Row(version, value)
        for key, (version, value) in body['rows'].items()
    }
