"""Calls to other processes, and what is known when one fails."""

import asyncio
import json
from typing import Any

import aiohttp
import attrs

from celeryshift_core import events
from celeryshift_node import _channels

Outcome = events.Outcome

JSON_HEADERS = {'Content-Type': 'application/json'}
NOT_CONNECTED = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)
FAILED = (aiohttp.ClientError, ValueError, OSError)


@attrs.frozen(slots=True)
class Reply:
    """Hold the reply to a call, or why there is none."""

    outcome: Outcome
    status: int = 0
    body: Any = None

    @property
    def ok(self) -> bool:
        """Tell whether the call was answered with success."""
        return self.outcome is Outcome.OK and self.status < 400


async def call(
    channel: _channels.Channel,
    method: str,
    url: str,
    body: Any = None,
    timeout_s: float = 5.0,
    headers: dict[str, str] | None = None,
) -> Reply:
    """Make a call; a reply that is cut short counts as none.

    The outcome is UNSENT only if no byte of the call can have left.
    """
    data = b'' if body is None else json.dumps(body).encode()
    headers = {**JSON_HEADERS, **(headers or {})}
    channel.traffic.sent(len(data))
    session = channel.acquire()
    silent = False
    try:
        async with (
            asyncio.timeout(timeout_s),
            session.request(
                method, url, data=data or None, headers=headers
            ) as response,
        ):
            channel.traffic.received(len(await response.read()))
            decoded = await response.json(content_type=None)
            return Reply(Outcome.OK, response.status, decoded)
    except NOT_CONNECTED:
        return Reply(Outcome.UNSENT)
    except TimeoutError:
        silent = True
        return Reply(Outcome.UNKNOWN)
    except FAILED:
        return Reply(Outcome.UNKNOWN)
    except asyncio.CancelledError:
        # Whoever cancels a call has found its connection silent.
        silent = True
        raise
    finally:
        await channel.release(session, silent)
