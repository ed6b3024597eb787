"""A single HTTP call, with errors that tell whether it was sent."""

from collections.abc import Mapping
from typing import Protocol

from celeryshift_net._errors import ExchangeError
from celeryshift_net._errors import NoAnswerError
from celeryshift_net._errors import NotListeningError
from celeryshift_net._errors import NotSentError

__all__ = [
    'Channel',
    'ChannelPool',
    'ExchangeError',
    'JSON_HEADERS',
    'NoAnswerError',
    'NotListeningError',
    'NotSentError',
    'exchange',
]

JSON_HEADERS = {'Content-Type': 'application/json'}


class Channel(Protocol):
    """Connections to one address."""

    # When a part of an answer last arrived, on the monotonic clock; 0 if
    # never. An answer that arrives in one piece need not count.
    progressed_at: float

    async def exchange(
        self,
        method: str,
        url: str,
        data: bytes,
        timeout_s: float,
        headers: Mapping[str, str],
    ) -> tuple[int, bytes]:
        """Make a call and return its status and complete body."""


class ChannelPool(Protocol):
    """Pool of channels, one for each address."""

    def get(self, address: str, kind: str = ...) -> Channel:
        """Return the channel to an address.

        `kind` names the counters of a new channel.
        """


async def exchange(
    channel: Channel,
    method: str,
    url: str,
    data: bytes = b'',
    timeout_s: float = 5.0,
    headers: Mapping[str, str] = JSON_HEADERS,
) -> tuple[int, bytes]:
    """Make a call and return its status and complete body.

    `timeout_s` bounds the wait for the answer. An answer that has begun may
    take longer, as long as it keeps arriving. Raises NotSentError if the call
    was certainly not sent, and NoAnswerError if it may have been executed or
    may still be executed.
    """
    return await channel.exchange(method, url, data, timeout_s, headers)
