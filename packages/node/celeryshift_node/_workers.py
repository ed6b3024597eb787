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
# Timeout of calls that a worker answers at once: status queries, and syncs
# after their long-poll time.
STATUS_TIMEOUT_S = 0.75
# Consecutive status queries without an answer after which a request counts as
# lost.
MAX_FAILED_QUERIES = 2
# Time for reading an answer that has already arrived.
READ_GRACE_S = 0.05
REFUSED_STATUSES = frozenset((409, 503))

Outcome = events.Outcome


class Seen(enum.Enum):
    """State of a request whose answer is delayed, as its worker sees it."""

    RUNNING = 'running'
    ENDED = 'ended'
    # The worker knows no such request: it has not received it, or has already
    # discarded its answer.
    NOT_FOUND = 'never'
    # The worker does not answer status queries.
    UNRESPONSIVE = 'silent'


SEEN_BY_PHASE = {'running': Seen.RUNNING, 'unknown': Seen.NOT_FOUND}


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
        self._single_use_channel = channels.single_use()
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
            effect.address, 'sync', body, effect.wait_s + STATUS_TIMEOUT_S
        )
        if not reply.ok:
            # The pooled connection may be stale, so a new one is tried.
            body['wait_s'] = 0.0
            reply = await self._post(
                effect.address,
                'sync',
                body,
                STATUS_TIMEOUT_S,
                self._single_use_channel,
            )
        if not reply.ok:
            return '', False, None
        try:
            return _wire.decode_sync(reply.body)
        except (LookupError, TypeError, ValueError, AttributeError):
            return '', False, None

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
        return _decode_outcome(await self._post(effect.address, 'tasks', body))

    async def stop(self, effect: effects.StopTask) -> Outcome:
        """Stop a task."""
        body = {'run_id': effect.task, 'checkpoint': effect.checkpoint}
        return _decode_outcome(await self._post(effect.address, 'stop', body))

    async def throttle(self, effect: effects.ThrottleTask) -> Outcome:
        """Throttle a task."""
        body = {'run_id': effect.task}
        return _decode_outcome(
            await self._post(effect.address, 'throttle', body)
        )

    async def request(
        self, effect: effects.SendRequest, payload: Any
    ) -> tuple[Outcome, bool, Any]:
        """Send a request and wait for its answer.

        Returns the outcome, whether the request failed, and the answer.
        If the answer is delayed, the state of the request is queried over a
        new connection.
        """
        body = {
            'run_id': effect.task,
            'team': effect.team,
            'kind': effect.kind,
            'size': _wire.encode_size(effect.size),
            'payload': payload,
        }
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + effect.timeout_s
        post = functools.partial(self._post_request, effect.address, body)
        channel = self._single_use_channel
        if effect.repeatable:
            channel = self._channels.get(effect.address)
        reply = await self._await_reply(
            effect, post(effect.timeout_s, channel)
        )
        if isinstance(reply, _calls.Reply):
            return _decode_answer(reply, effect.task)
        left_s = ends_at - loop.time()
        if reply is Seen.UNRESPONSIVE or left_s <= 0:
            return Outcome.UNKNOWN, False, None
        if reply is Seen.NOT_FOUND and effect.repeatable:
            retried = await post(left_s, self._single_use_channel)
            if not retried.ok:
                # The worker may have run the first copy.
                return Outcome.UNKNOWN, False, None
            return _decode_answer(retried, effect.task)
        # The request has ended, or must not be sent again because the first
        # copy may still arrive. Its outcome is queried instead.
        return await self._query_outcome(effect.address, effect.task, left_s)

    async def query_outcome(
        self, effect: effects.QueryOutcome
    ) -> tuple[Outcome, bool, Any]:
        """Query the result of a request over a new connection."""
        return await self._query_outcome(
            effect.address, effect.task, effect.timeout_s
        )

    async def close(self) -> None:
        """Close the single-use connections."""
        await self._single_use_channel.close()

    async def _post_request(
        self,
        address: str,
        body: dict[str, Any],
        timeout_s: float,
        channel: pools.Channel,
    ) -> _calls.Reply:
        body = {**body, 'timeout_s': timeout_s}
        return await self._post(address, 'requests', body, timeout_s, channel)

    async def _await_reply(
        self,
        effect: effects.SendRequest,
        call: Coroutine[Any, Any, _calls.Reply],
    ) -> '_calls.Reply | Seen':
        """Return the reply, or the last known state if none will arrive.

        The status queries run in a task of their own, which starts only if
        the reply is delayed, so that most calls cost no more than a timer.
        """
        loop = asyncio.get_running_loop()
        waiter = asyncio.current_task()
        assert waiter is not None
        final_states: list[Seen] = []
        watchers: list[asyncio.Task[None]] = []

        def start_watcher() -> None:
            watcher = self._watch(effect, waiter, final_states)
            watchers.append(loop.create_task(watcher))

        timer = loop.call_later(self._silent_after_s, start_watcher)
        try:
            return await call
        except asyncio.CancelledError:
            # The watcher has stopped the call, and nobody else has cancelled
            # this task.
            if final_states and not waiter.uncancel():
                return final_states[0]
            raise
        finally:
            timer.cancel()
            for watcher in watchers:
                watcher.cancel()

    async def _watch(
        self,
        effect: effects.SendRequest,
        waiter: asyncio.Task[Any],
        final_states: list['Seen'],
    ) -> None:
        """Query the state of a request; cancel its waiter if it is lost.

        The state is appended to `final_states` before the waiter is cancelled.
        """
        wait_s = self._silent_after_s
        failed_queries = 0
        while True:
            state = await self._query_state(effect)
            if state is Seen.RUNNING:
                failed_queries = 0
                wait_s *= 2
            elif state is Seen.UNRESPONSIVE:
                failed_queries += 1
                if failed_queries == MAX_FAILED_QUERIES:
                    break
            else:
                # The request has ended or is not known to the worker. The
                # answer is lost unless it is being read at this moment.
                await asyncio.sleep(READ_GRACE_S)
                break
            await asyncio.sleep(wait_s)
        final_states.append(state)
        waiter.cancel()

    async def _query_state(self, effect: effects.SendRequest) -> 'Seen':
        """Query the state of a request over a new connection."""
        reply = await self._post(
            effect.address,
            'status',
            {'run_id': effect.task},
            STATUS_TIMEOUT_S,
            self._single_use_channel,
        )
        if reply.outcome is not Outcome.OK:
            return Seen.UNRESPONSIVE
        if not reply.ok:
            return Seen.RUNNING
        phase = reply.body.get('phase') if _is_document(reply) else None
        return SEEN_BY_PHASE.get(str(phase), Seen.ENDED)

    async def _query_outcome(
        self, address: str, task: str, timeout_s: float
    ) -> tuple[Outcome, bool, Any]:
        body = {'run_id': task}
        reply = await self._post(
            address, 'outcomes', body, timeout_s, self._single_use_channel
        )
        if not reply.ok:
            # The outcome of the query is not that of the request.
            return Outcome.UNKNOWN, False, None
        return _decode_answer(reply, task)

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


def _decode_outcome(reply: _calls.Reply) -> Outcome:
    if reply.outcome is not Outcome.OK or reply.ok:
        return reply.outcome
    return (
        Outcome.REFUSED
        if reply.status in REFUSED_STATUSES
        else Outcome.UNKNOWN
    )


def _decode_answer(
    reply: _calls.Reply, run_id: str
) -> tuple[Outcome, bool, Any]:
    outcome = _decode_outcome(reply)
    if outcome is not Outcome.OK:
        return outcome, False, None
    if (
        not _is_document(reply)
        or reply.body.get('run_id') != run_id
        or not {'answer', 'failed'} <= reply.body.keys()
    ):
        return Outcome.UNKNOWN, False, None
    return Outcome.OK, bool(reply.body['failed']), reply.body['answer']


def _is_document(reply: _calls.Reply) -> bool:
    return isinstance(reply.body, dict)
