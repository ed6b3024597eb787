"""The workers' protocol: leases, tasks and requests."""

from typing import Any

import aiohttp

from celeryshift_core import effects
from celeryshift_core import events
from celeryshift_node import _calls
from celeryshift_node import _wire

TIMEOUT_S = 2.0
REFUSALS = frozenset((409, 503))

Outcome = events.Outcome


class Workers:
    """Call workers.

    Requests that must not be repeated, and questions about silent ones, go
    over connections of their own, never over one that may be stale.
    """

    def __init__(
        self, session: aiohttp.ClientSession, fresh: aiohttp.ClientSession
    ) -> None:
        self._session = session
        self._fresh = fresh

    async def sync(
        self, effect: effects.SyncWorker
    ) -> tuple[str, bool, list[events.TaskReport] | None]:
        """Renew leases and wait for changes; None without an answer."""
        body = {
            'cursor': effect.cursor,
            'acknowledged': list(effect.acknowledged),
            'wait_s': effect.wait_s,
            'lease_s': effect.lease_s,
            'epoch': effect.epoch,
        }
        timeout_s = effect.wait_s + TIMEOUT_S
        reply = await self._post(effect.address, 'sync', body, timeout_s)
        if not reply.ok:
            return '', False, None
        reports = [_wire.report(task) for task in reply.body['tasks']]
        return reply.body['cursor'], reply.body['whole'], reports

    async def start(self, effect: effects.StartTask) -> Outcome:
        """Start a task."""
        body = {
            'run_id': effect.task,
            'team': effect.team,
            'kind': effect.kind,
            'size': _wire.size(effect.size),
            'payload': effect.payload,
            'lease_s': effect.lease_s,
            'max_run_s': effect.max_run_s,
        }
        return _outcome(await self._post(effect.address, 'tasks', body))

    async def stop(self, effect: effects.StopTask) -> Outcome:
        """Stop a task."""
        body = {'run_id': effect.task}
        return _outcome(await self._post(effect.address, 'stop', body))

    async def request(
        self, effect: effects.SendRequest, payload: Any
    ) -> tuple[Outcome, bool, Any]:
        """Send a request; give the outcome, a failure, and the answer."""
        body = {
            'run_id': effect.task,
            'team': effect.team,
            'kind': effect.kind,
            'size': _wire.size(effect.size),
            'timeout_s': effect.timeout_s,
            'payload': payload,
        }
        session = self._session if effect.repeatable else self._fresh
        reply = await self._post(
            effect.address, 'requests', body, effect.timeout_s, session
        )
        return _answer(reply, effect.task)

    async def ask(
        self, effect: effects.AskOutcome
    ) -> tuple[Outcome, bool, Any]:
        """Ask how a request ended, over a new connection."""
        reply = await self._post(
            effect.address,
            'outcomes',
            {'run_id': effect.task},
            effect.timeout_s,
            self._fresh,
        )
        if reply.outcome is Outcome.OK and not reply.ok:
            return Outcome.UNKNOWN, False, None
        return _answer(reply, effect.task)

    async def _post(
        self,
        address: str,
        path: str,
        body: dict[str, Any],
        timeout_s: float = TIMEOUT_S,
        session: aiohttp.ClientSession | None = None,
    ) -> _calls.Reply:
        return await _calls.call(
            session or self._session,
            'POST',
            f'http://{address}/v1/{path}',
            body,
            timeout_s,
        )


def _outcome(reply: _calls.Reply) -> Outcome:
    if reply.outcome is not Outcome.OK or reply.ok:
        return reply.outcome
    return Outcome.REFUSED if reply.status in REFUSALS else Outcome.UNKNOWN


def _answer(reply: _calls.Reply, run_id: str) -> tuple[Outcome, bool, Any]:
    outcome = _outcome(reply)
    if outcome is not Outcome.OK:
        return outcome, False, None
    if reply.body.get('run_id') != run_id or 'answer' not in reply.body:
        return Outcome.UNKNOWN, False, None
    return Outcome.OK, bool(reply.body['failed']), reply.body['answer']
