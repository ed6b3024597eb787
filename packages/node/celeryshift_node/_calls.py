"""Calls to other processes, and what is known when one fails."""

import json
from typing import Any

import attrs

from celeryshift_core import events
from celeryshift_net import exchanges
from celeryshift_net import pools

Outcome = events.Outcome


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
    channel: pools.Channel,
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
    headers = {**exchanges.JSON_HEADERS, **(headers or {})}
    try:
        status, received = await exchanges.exchange(
            channel, method, url, data, timeout_s, headers
        )
        return Reply(Outcome.OK, status, json.loads(received))
    except exchanges.NotSentError:
        return Reply(Outcome.UNSENT)
    except (exchanges.NoAnswerError, ValueError):
        return Reply(Outcome.UNKNOWN)
