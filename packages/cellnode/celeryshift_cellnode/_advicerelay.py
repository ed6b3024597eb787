"""Relays requests for advice through other nodes to the policy service."""

from typing import Any

from celeryshift_cellnode import _peers
from celeryshift_cellnode import errors
from celeryshift_cellnode import ports


class AdviceRelay:
    """Requests for advice that this node makes, or relays for another one."""

    def __init__(
        self,
        policy_client: ports.PolicyClient,
        local_address: str,
        peers: _peers.Peers,
    ) -> None:
        self._policy_client = policy_client
        self._local_address = local_address
        self._peers = peers

    async def request_advice(
        self, address: str, step: str, workers: list[str], timeout_s: float
    ) -> ports.AdviceResult:
        """Request advice through the node at an address."""
        if address == self._local_address:
            return await self._policy_client.advise(step, workers, timeout_s)
        body = {'step': step, 'workers': workers, 'timeout_s': timeout_s}
        answer = await self._peers.call(address, 'advise', body, timeout_s)
        tickets, validity_ms = answer['tickets'], answer['validity_ms']
        if not (isinstance(tickets, dict) and isinstance(validity_ms, int)):
            raise errors.PeerError(f'advice on {step}: no tickets')
        return ports.AdviceResult(tickets, validity_ms)

    async def handle_request(self, body: Any) -> dict[str, Any]:
        """Request advice on behalf of another node."""
        advice = await self._policy_client.advise(
            body['step'], body['workers'], body['timeout_s']
        )
        return {
            'tickets': dict(advice.tickets_by_worker),
            'validity_ms': advice.validity_ms,
        }
