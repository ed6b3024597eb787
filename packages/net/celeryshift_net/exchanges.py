"""One call to another process, and what is known when it fails."""

import asyncio
from collections.abc import Mapping

import aiohttp

from celeryshift_net import pools

JSON_HEADERS = {'Content-Type': 'application/json'}
NOT_CONNECTED = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)
# Nothing listens at the port; a host without power stays silent instead.
REFUSED = (ConnectionRefusedError, ConnectionResetError)


class ExchangeError(Exception):
    """Report a call without an answer."""


class NotSentError(ExchangeError):
    """Report a call of which no byte can have left."""


class NotListeningError(NotSentError):
    """Report that nothing listens at the address."""


class NoAnswerError(ExchangeError):
    """Report a call that may have been carried out, or may be later."""


async def exchange(
    channel: pools.Channel,
    method: str,
    url: str,
    data: bytes = b'',
    timeout_s: float = 5.0,
    headers: Mapping[str, str] = JSON_HEADERS,
) -> tuple[int, bytes]:
    """Make a call; give its status and body, whole or not at all."""
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
            body = await response.read()
            channel.traffic.received(len(body))
            return response.status, body
    except NOT_CONNECTED as error:
        if isinstance(getattr(error, 'os_error', None), REFUSED):
            raise NotListeningError(f'{url}: {error}') from error
        raise NotSentError(f'{url}: {error}') from error
    except TimeoutError as error:
        silent = True
        message = f'{url}: no answer within {timeout_s:g} s'
        raise NoAnswerError(message) from error
    except (aiohttp.ClientError, ValueError, OSError) as error:
        raise NoAnswerError(f'{url}: {error!r}') from error
    except asyncio.CancelledError:
        # Whoever cancels a call has found its connection silent.
        silent = True
        raise
    finally:
        await channel.release(session, silent)
