"""Pooled connections to other processes, by aiohttp, also with TLS.

A network device on the path may lose the state of all open connections while
new connections still work. A call that times out therefore retires all
connections to its address: calls in flight may still complete, and new calls
open new connections.
"""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Mapping
import ssl
import time

import aiohttp

from celeryshift_net import _deadlines
from celeryshift_net import _errors

MAX_CONNECTIONS_PER_ADDRESS = 64
# These headers would double the size of a `sync` call to a worker, whose body
# has 130 bytes.
OMITTED_HEADERS = ('Accept', 'Accept-Encoding', 'User-Agent')
# Kinds of processes, as used in the names of counters.
PEERS = 'peers'
PLATFORM = 'platform'
WORKERS = 'workers'
CONNECT_ERRORS = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)


class Traffic:
    """Counters of calls to one kind of process and of their body bytes."""

    def __init__(self, name: str, counters: collections.Counter[str]) -> None:
        self._counters = counters
        self._calls = f'control.{name}.calls'
        self._sent = f'control.{name}.sent_bytes'
        self._received = f'control.{name}.received_bytes'
        self._connections = f'control.{name}.connections'

    def count_call(self, length: int) -> None:
        """Count a call and the bytes of its body."""
        self._counters[self._calls] += 1
        self._counters[self._sent] += length

    def count_reply(self, length: int) -> None:
        """Count the bytes of a reply's body."""
        self._counters[self._received] += length

    def count_connection(self) -> None:
        """Count a new connection; only channels of `http1` do so."""
        self._counters[self._connections] += 1


class Channel:
    """Connections to one address."""

    def __init__(
        self,
        make_session: Callable[[], aiohttp.ClientSession],
        traffic: Traffic,
    ) -> None:
        self.traffic = traffic
        self.progressed_at = 0.0
        self._make_session = make_session
        self._session: aiohttp.ClientSession | None = None
        self._open_calls_by_session: dict[aiohttp.ClientSession, int] = {}

    async def exchange(
        self,
        method: str,
        url: str,
        data: bytes,
        timeout_s: float,
        headers: Mapping[str, str],
    ) -> tuple[int, bytes]:
        """Make a call and return its status and complete body."""
        self.traffic.count_call(len(data))
        session = self.acquire()
        unresponsive = False
        loop = asyncio.get_running_loop()
        deadline = _deadlines.Deadline(loop.time(), timeout_s)
        try:
            async with (
                asyncio.timeout_at(deadline.at) as limit,
                # A redirected call has been sent even if the second one has
                # not.
                session.request(
                    method,
                    url,
                    data=data or None,
                    headers=headers,
                    allow_redirects=False,
                ) as response,
            ):
                chunks = []
                async for chunk in response.content.iter_any():
                    chunks.append(chunk)
                    deadline.extend(loop.time(), len(chunk))
                    limit.reschedule(deadline.at)
                    self.progressed_at = time.monotonic()
                body = b''.join(chunks)
                self.traffic.count_reply(len(body))
                return response.status, body
        except CONNECT_ERRORS as error:
            cause = getattr(error, 'os_error', None)
            if isinstance(cause, _errors.REFUSED_ERRORS):
                raise _errors.NotListeningError(f'{url}: {error}') from error
            raise _errors.NotSentError(f'{url}: {error}') from error
        except TimeoutError as error:
            unresponsive = True
            message = (
                f'{url}: no answer within {timeout_s:g} s, '
                f'{deadline.received} bytes received'
            )
            raise _errors.NoAnswerError(message) from error
        except (aiohttp.ClientError, ValueError, OSError) as error:
            raise _errors.NoAnswerError(f'{url}: {error!r}') from error
        except asyncio.CancelledError:
            # Callers cancel a call when they find its connection unresponsive.
            # After other cancellations, as at a shutdown, retiring the
            # connection is unnecessary but harmless.
            unresponsive = True
            raise
        finally:
            await self.release(session, unresponsive)

    def acquire(self) -> aiohttp.ClientSession:
        """Return the session for a call; release it after the call."""
        if self._session is None:
            self._session = self._make_session()
            self._open_calls_by_session[self._session] = 0
        self._open_calls_by_session[self._session] += 1
        return self._session

    async def release(
        self, session: aiohttp.ClientSession, unresponsive: bool = False
    ) -> None:
        """Release the session of a call; retire it if unresponsive.

        A retired session is closed once its last call is released.
        """
        self._open_calls_by_session[session] -= 1
        if unresponsive and session is self._session:
            self._session = None
        is_retired = session is not self._session
        if is_retired and not self._open_calls_by_session[session]:
            del self._open_calls_by_session[session]
            await session.close()

    async def close(self) -> None:
        """Close every connection."""
        for session in list(self._open_calls_by_session):
            await session.close()


class ChannelPool:
    """Pool of channels, one for each address."""

    def __init__(
        self,
        max_connections_per_address: int = MAX_CONNECTIONS_PER_ADDRESS,
        context: ssl.SSLContext | None = None,
    ) -> None:
        self._max_connections = max_connections_per_address
        self._context = context or True
        self._channels_by_address: dict[str, Channel] = {}
        self.counters: collections.Counter[str] = collections.Counter()

    def get(self, address: str, kind: str = WORKERS) -> Channel:
        """Return the channel to an address.

        `kind` names the counters of a new channel; an existing one keeps its
        counters.
        """
        channel = self._channels_by_address.get(address)
        if channel is None:
            traffic = Traffic(kind, self.counters)
            channel = Channel(self._make_session, traffic)
            self._channels_by_address[address] = channel
        return channel

    def single_use(self) -> Channel:
        """Return a channel that opens a new connection for each call."""
        traffic = Traffic(WORKERS, self.counters)
        return Channel(self._make_single_use_session, traffic)

    async def remove(self, address: str) -> None:
        """Close and remove the channel to an address."""
        channel = self._channels_by_address.pop(address, None)
        if channel is not None:
            await channel.close()

    async def close(self) -> None:
        """Close every channel."""
        for address in list(self._channels_by_address):
            await self.remove(address)

    def _make_session(self) -> aiohttp.ClientSession:
        connector = aiohttp.TCPConnector(
            limit=self._max_connections, ssl=self._context
        )
        return _new_session(connector)

    def _make_single_use_session(self) -> aiohttp.ClientSession:
        connector = aiohttp.TCPConnector(force_close=True, ssl=self._context)
        return _new_session(connector)


def _new_session(connector: aiohttp.TCPConnector) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=connector, skip_auto_headers=OMITTED_HEADERS
    )
