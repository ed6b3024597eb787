"""Client of other nodes: messages and forwarded calls."""

from typing import Any

import celeryshift_core as core
from celeryshift_core import effects
from celeryshift_core import events
from celeryshift_net import pools
from celeryshift_node import _calls
from celeryshift_node import _wire

TIMEOUT_S = 2.0
# Timeout of forwarded calls about jobs, which the peer may answer only after
# writing to the store.
REPLY_TIMEOUT_S = 8.0
# Added to the timeout of a forwarded request, so that a refusal of the peer at
# the end of that timeout still arrives.
FORWARD_MARGIN_S = 0.25

Outcome = events.Outcome


class Peers:
    """Client of other nodes."""

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
        """Send a message; return whether it was delivered."""
        body = {'sender': self._node, **_wire.encode_message(effect.message)}
        reply = await self._post(effect.address, 'messages', body, TIMEOUT_S)
        return reply.ok

    async def forward_request(
        self, effect: effects.ForwardRequest, payload: Any
    ) -> tuple[Outcome, core.Refusal | None, Any]:
        """Forward a request; return its outcome, refusal and answer."""
        body = {
            'name': effect.name,
            'team': effect.team,
            'kind': effect.kind,
            'timeout_s': effect.timeout_s,
            'hops': effect.hops,
            'payload': payload,
        }
        timeout_s = effect.timeout_s + FORWARD_MARGIN_S
        reply = await self._post(effect.address, 'requests', body, timeout_s)
        outcome, refusal, document = _decode_reply(reply)
        if outcome is Outcome.OK and 'answer' not in document:
            return Outcome.UNKNOWN, None, None
        return outcome, refusal, document

    async def forward_job(
        self, effect: effects.ForwardJob
    ) -> tuple[Outcome, core.Refusal | None, Any]:
        """Forward a job; return the outcome, refusal and reply."""
        body = {'hops': effect.hops, 'spec': core.unstructure(effect.spec)}
        reply = await self._post(effect.address, 'jobs', body, REPLY_TIMEOUT_S)
        return _decode_reply(reply)

    async def forward_job_act(
        self, effect: effects.ForwardJobAct
    ) -> tuple[Outcome, core.Refusal | None, Any]:
        """Forward a call about a job; return outcome, refusal and reply."""
        body = {
            'job': effect.job,
            'act': effect.act.value,
            'team': effect.team,
            'hops': effect.hops,
        }
        reply = await self._post(
            effect.address, 'job-acts', body, REPLY_TIMEOUT_S
        )
        return _decode_reply(reply)

    async def _post(
        self, address: str, path: str, body: Any, timeout_s: float
    ) -> _calls.Reply:
        url = f'{self._scheme}://{address}/peer/v1/{path}'
        channel = self._channels.get(address, pools.PEERS)
        return await _calls.call(
            channel, 'POST', url, body, timeout_s, self._headers
        )


def _decode_reply(
    reply: _calls.Reply,
) -> tuple[Outcome, core.Refusal | None, Any]:
    if reply.outcome is not Outcome.OK:
        return reply.outcome, None, None
    if reply.ok:
        if not isinstance(reply.body, dict):
            return Outcome.UNKNOWN, None, None
        return Outcome.OK, None, reply.body
    try:
        return Outcome.REFUSED, _wire.decode_refusal(reply.body), None
    except (KeyError, TypeError, ValueError):
        return Outcome.UNKNOWN, None, None
