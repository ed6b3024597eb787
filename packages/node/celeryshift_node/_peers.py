"""The protocol between nodes: messages, and calls handed over."""

from typing import Any

import celeryshift_core as core
from celeryshift_core import effects
from celeryshift_core import events
from celeryshift_net import pools
from celeryshift_node import _calls
from celeryshift_node import _wire

TIMEOUT_S = 2.0
REPLY_TIMEOUT_S = 8.0
GRACE_S = 0.25

Outcome = events.Outcome


class Peers:
    """Call other nodes."""

    def __init__(
        self,
        channels: pools.ChannelPool,
        token: str,
        node: str,
        scheme: str = 'http',
    ) -> None:
        self._scheme = scheme
        self._channels = channels
        self._headers = {'Authorization': f'Bearer {token}'}
        self._node = node

    async def send(self, effect: effects.SendMessage) -> bool:
        """Send a message; tell whether it was delivered."""
        body = {'sender': self._node, **_wire.encode_message(effect.message)}
        reply = await self._post(effect.address, 'messages', body, TIMEOUT_S)
        return reply.ok

    async def forward_request(
        self, effect: effects.ForwardRequest, payload: Any
    ) -> tuple[Outcome, core.Refusal | None, Any]:
        """Hand over a request; give the outcome, refusal and answer."""
        body = {
            'name': effect.name,
            'team': effect.team,
            'kind': effect.kind,
            'timeout_s': effect.timeout_s,
            'hops': effect.hops,
            'payload': payload,
        }
        timeout_s = effect.timeout_s + GRACE_S
        reply = await self._post(effect.address, 'requests', body, timeout_s)
        return _document(reply)

    async def forward_job(
        self, effect: effects.ForwardJob
    ) -> tuple[Outcome, core.Refusal | None, Any]:
        """Hand over a job; give the outcome, refusal and reply."""
        body = {'hops': effect.hops, 'spec': core.unstructure(effect.spec)}
        reply = await self._post(effect.address, 'jobs', body, REPLY_TIMEOUT_S)
        return _document(reply)

    async def forward_job_act(
        self, effect: effects.ForwardJobAct
    ) -> tuple[Outcome, core.Refusal | None, Any]:
        """Ask about a job; give the outcome, refusal and reply."""
        body = {
            'job': effect.job,
            'act': effect.act.value,
            'team': effect.team,
            'hops': effect.hops,
        }
        reply = await self._post(
            effect.address, 'job-acts', body, REPLY_TIMEOUT_S
        )
        return _document(reply)

    async def _post(
        self, address: str, path: str, body: Any, timeout_s: float
    ) -> _calls.Reply:
        url = f'{self._scheme}://{address}/peer/v1/{path}'
        channel = self._channels.get(address, pools.PEERS)
        return await _calls.call(
            channel, 'POST', url, body, timeout_s, self._headers
        )


def _document(
    reply: _calls.Reply,
) -> tuple[Outcome, core.Refusal | None, Any]:
    if reply.outcome is not Outcome.OK:
        return reply.outcome, None, None
    if reply.ok:
        return Outcome.OK, None, reply.body
    try:
        return Outcome.REFUSED, _wire.decode_refusal(reply.body), None
    except (KeyError, TypeError, ValueError):
        return Outcome.UNKNOWN, None, None
