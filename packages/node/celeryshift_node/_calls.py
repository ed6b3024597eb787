"""JSON calls to other processes, and the outcome of failed ones."""

import json
from typing import Any

import attrs

from celeryshift_core import events
from celeryshift_net import exchanges
from celeryshift_net import pools

Outcome = events.Outcome


@attrs.frozen(slots=True)
class Reply:
    """Reply to a call; without a reply, only the outcome is set."""

    outcome: Outcome
    status: int = 0
    body: Any = None

    @property
    def ok(self) -> bool:
        """Return whether the call got a reply that reports success."""
        return self.outcome is Outcome.OK and self.status < 400


async def call(
    channel: pools.Channel,
    method: str,
    url: str,
    body: Any = None,
    timeout_s: float = 5.0,
    headers: dict[str, str] | None = None,
) -> Reply:
    """Make a call with a JSON body and return its decoded reply.

    The outcome is UNSENT only if no byte of the call can have been sent, and
    UNKNOWN if the reply is missing, incomplete, not JSON or nested too deeply.
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
    except (exchanges.NoAnswerError, ValueError, RecursionError):
        return Reply(Outcome.UNKNOWN)
