"""A single HTTP call, with errors that tell whether it was sent."""

import asyncio
from collections.abc import Mapping

import aiohttp

from celeryshift_net import pools

JSON_HEADERS = {'Content-Type': 'application/json'}
CONNECT_ERRORS = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)
# Raised when nothing listens on the port. If the host is down, the connection
# attempt times out instead.
REFUSED_ERRORS = (ConnectionRefusedError, ConnectionResetError)


class ExchangeError(Exception):
    """Raised if a call gets no response."""


class NotSentError(ExchangeError):
    """Raised if no byte of a call can have been sent."""


class NotListeningError(NotSentError):
    """Raised if nothing listens at the address."""


class NoAnswerError(ExchangeError):
    """Raised if a call may have been executed but got no full response."""


async def exchange(
    channel: pools.Channel,
    method: str,
    url: str,
    data: bytes = b'',
    timeout_s: float = 5.0,
    headers: Mapping[str, str] = JSON_HEADERS,
) -> tuple[int, bytes]:
    """Make a call and return its status and complete body.

    Raises NotSentError if the call was certainly not sent, and
    NoAnswerError if it may have been executed or may still be executed.
    """
    channel.traffic.count_call(len(data))
    session = channel.acquire()
    unresponsive = False
    try:
        async with (
            asyncio.timeout(timeout_s),
            # A redirected call has been sent even if the second one has not.
            session.request(
                method,
                url,
                data=data or None,
                headers=headers,
                allow_redirects=False,
            ) as response,
        ):
            body = await response.read()
            channel.traffic.count_reply(len(body))
            return response.status, body
    except CONNECT_ERRORS as error:
        if isinstance(getattr(error, 'os_error', None), REFUSED_ERRORS):
            raise NotListeningError(f'{url}: {error}') from error
        raise NotSentError(f'{url}: {error}') from error
    except TimeoutError as error:
        unresponsive = True
        message = f'{url}: no answer within {timeout_s:g} s'
        raise NoAnswerError(message) from error
    except (aiohttp.ClientError, ValueError, OSError) as error:
        raise NoAnswerError(f'{url}: {error!r}') from error
    except asyncio.CancelledError:
        # Callers cancel a call when they find its connection unresponsive.
        # After other cancellations, as at a shutdown, retiring the connection
        # is unnecessary but harmless.
        unresponsive = True
        raise
    finally:
        await channel.release(session, unresponsive)
