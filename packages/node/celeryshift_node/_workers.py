"""Client of the workers: leases, tasks and requests."""

import asyncio
from collections.abc import Coroutine
import enum
import functools
from typing import Any

from celeryshift_core import effects
from celeryshift_core import events
from celeryshift_net import pools
from celeryshift_node import _calls
from celeryshift_node import _wire

TIMEOUT_S = 2.0
PROBE_S = 0.75
SILENT_PROBES = 2
READ_S = 0.05
REFUSALS = frozenset((409, 503))

Outcome = events.Outcome


class Seen(enum.Enum):
    """State of a delayed request according to its worker."""

    RUNNING = 'running'
    ENDED = 'ended'
    NEVER = 'never'
    SILENT = 'silent'


class Workers:
    """Client of the workers.

    Pooled connections may be stale. Requests that must not be repeated, and
    status queries for delayed requests, therefore use a new connection each.
    """

    def __init__(
        self,
        channels: pools.ChannelPool,
        silent_after_s: float,
        scheme: str = 'http',
    ) -> None:
        self._scheme = scheme
        self._channels = channels
        self._fresh = channels.single_use()
        self._silent_after_s = silent_after_s

    async def sync(
        self, effect: effects.SyncWorker
    ) -> tuple[str, bool, list[events.TaskReport] | None]:
        """Renew leases and wait for changes (long poll).

        Returns the cursor, whether all tasks are listed, and the reports on
        tasks, which are None if the worker did not answer.
        """
        body = {
            'cursor': effect.cursor,
            'acknowledged': list(effect.acknowledged),
            'wait_s': effect.wait_s,
            'lease_s': effect.lease_s,
            'epoch': effect.epoch,
        }
        reply = await self._post(
            effect.address, 'sync', body, effect.wait_s + PROBE_S
        )
        if not reply.ok:
            # The pooled connection may be stale, so a new one is tried.
            body['wait_s'] = 0.0
            reply = await self._post(
                effect.address, 'sync', body, PROBE_S, self._fresh
            )
        if not reply.ok:
            return '', False, None
        reports = [
            _wire.decode_task_report(task) for task in reply.body['tasks']
        ]
        return reply.body['cursor'], reply.body['whole'], reports

    async def start(self, effect: effects.StartTask) -> Outcome:
        """Start a task."""
        body = {
            'run_id': effect.task,
            'team': effect.team,
            'kind': effect.kind,
            'size': _wire.encode_size(effect.size),
            'payload': effect.payload,
            'lease_s': effect.lease_s,
            'max_run_s': effect.max_run_s,
        }
        return _outcome(await self._post(effect.address, 'tasks', body))

    async def stop(self, effect: effects.StopTask) -> Outcome:
        """Stop a task."""
        body = {'run_id': effect.task, 'checkpoint': effect.checkpoint}
        return _outcome(await self._post(effect.address, 'stop', body))

    async def throttle(self, effect: effects.ThrottleTask) -> Outcome:
        """Throttle a task."""
        body = {'run_id': effect.task}
        return _outcome(await self._post(effect.address, 'throttle', body))

    async def request(
        self, effect: effects.SendRequest, payload: Any
    ) -> tuple[Outcome, bool, Any]:
        """Send a request; return the outcome, if it failed, and the answer.

        If the answer is delayed, the state of the request is queried over a
        new connection.
        """
        body = {
            'run_id': effect.task,
            'team': effect.team,
            'kind': effect.kind,
            'size': _wire.encode_size(effect.size),
            'timeout_s': effect.timeout_s,
            'payload': payload,
        }
        post = functools.partial(
            self._post, effect.address, 'requests', body, effect.timeout_s
        )
        channel = self._fresh
        if effect.repeatable:
            channel = self._channels.get(effect.address)
        reply = await self._await_answer(effect, post(channel))
        if isinstance(reply, _calls.Reply):
            return _answer(reply, effect.task)
        if reply is Seen.SILENT:
            return Outcome.UNKNOWN, False, None
        if reply is Seen.NEVER and effect.repeatable:
            again = await post(self._fresh)
            return _answer(again, effect.task)
        return await self._ask(effect.address, effect.task, effect.timeout_s)

    async def ask(
        self, effect: effects.QueryOutcome
    ) -> tuple[Outcome, bool, Any]:
        """Query the result of a request over a new connection."""
        return await self._ask(effect.address, effect.task, effect.timeout_s)

    async def close(self) -> None:
        """Close the single-use connections."""
        await self._fresh.close()

    async def _await_answer(
        self,
        effect: effects.SendRequest,
        work: Coroutine[Any, Any, _calls.Reply],
    ) -> '_calls.Reply | Seen':
        """Return the reply, or the state of a request that gets none.

        Most replies arrive before the first status query is due and cost
        only a timer.
        """
        loop = asyncio.get_running_loop()
        waiting = asyncio.current_task()
        assert waiting is not None
        found: list[Seen] = []
        watches: list[asyncio.Task[None]] = []

        def begin() -> None:
            watch = self._watch(effect, waiting, found)
            watches.append(loop.create_task(watch))

        timer = loop.call_later(self._silent_after_s, begin)
        try:
            return await work
        except asyncio.CancelledError:
            if found and not waiting.uncancel():
                return found[0]
            raise
        finally:
            timer.cancel()
            for watch in watches:
                watch.cancel()

    async def _watch(
        self,
        effect: effects.SendRequest,
        waiting: asyncio.Task[Any],
        found: list['Seen'],
    ) -> None:
        """Query the state of a request; cancel the waiter if it is lost."""
        wait_s = self._silent_after_s
        unanswered = 0
        while True:
            seen = await self._seen(effect)
            if seen is Seen.RUNNING:
                unanswered = 0
                wait_s *= 2
            elif seen is Seen.SILENT:
                unanswered += 1
                if unanswered == SILENT_PROBES:
                    break
            else:
                # The answer is lost, unless it is being read right now.
                await asyncio.sleep(READ_S)
                break
            await asyncio.sleep(wait_s)
        found.append(seen)
        waiting.cancel()

    async def _seen(self, effect: effects.SendRequest) -> 'Seen':
        """Query the state of a request over a new connection."""
        reply = await self._post(
            effect.address,
            'status',
            {'run_id': effect.task},
            PROBE_S,
            self._fresh,
        )
        if reply.outcome is not Outcome.OK:
            return Seen.SILENT
        if not reply.ok or reply.body.get('phase') == 'running':
            return Seen.RUNNING
        never = reply.body.get('phase') == 'unknown'
        return Seen.NEVER if never else Seen.ENDED

    async def _ask(
        self, address: str, task: str, timeout_s: float
    ) -> tuple[Outcome, bool, Any]:
        body = {'run_id': task}
        reply = await self._post(
            address, 'outcomes', body, timeout_s, self._fresh
        )
        if reply.outcome is Outcome.OK and not reply.ok:
            return Outcome.UNKNOWN, False, None
        return _answer(reply, task)

    async def _post(
        self,
        address: str,
        path: str,
        body: dict[str, Any],
        timeout_s: float = TIMEOUT_S,
        channel: pools.Channel | None = None,
    ) -> _calls.Reply:
        return await _calls.call(
            channel or self._channels.get(address),
            'POST',
            f'{self._scheme}://{address}/v1/{path}',
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
