"""Connections to other processes, dropped together when one goes silent.

Something between two ends may lose track of every open connection while new
ones work. A call that times out therefore retires all the connections to its
address: calls under way may still end, and new calls connect anew.
"""

import collections
from collections.abc import Callable
import ssl

import aiohttp

MAX_CONNECTIONS = 64
# A sync has a body of 130 bytes; these headers would cost as much again.
NEEDLESS_HEADERS = ('Accept', 'Accept-Encoding', 'User-Agent')
PEERS = 'peers'
PLATFORM = 'platform'
WORKERS = 'workers'


class Traffic:
    """Count the calls to one kind of process, and the bytes of bodies."""

    def __init__(self, name: str, counters: collections.Counter[str]) -> None:
        self._counters = counters
        self._calls = f'control.{name}.calls'
        self._sent = f'control.{name}.sent_bytes'
        self._received = f'control.{name}.received_bytes'

    def sent(self, length: int) -> None:
        """Count a call."""
        self._counters[self._calls] += 1
        self._counters[self._sent] += length

    def received(self, length: int) -> None:
        """Count the reply to a call."""
        self._counters[self._received] += length


class Channel:
    """Keep the connections to one address."""

    def __init__(
        self, make: Callable[[], aiohttp.ClientSession], traffic: Traffic
    ) -> None:
        self.traffic = traffic
        self._make = make
        self._session: aiohttp.ClientSession | None = None
        self._open_by_session: dict[aiohttp.ClientSession, int] = {}

    def acquire(self) -> aiohttp.ClientSession:
        """Give the session to make a call with; release it afterwards."""
        if self._session is None:
            self._session = self._make()
            self._open_by_session[self._session] = 0
        self._open_by_session[self._session] += 1
        return self._session

    async def release(
        self, session: aiohttp.ClientSession, silent: bool = False
    ) -> None:
        """Note the end of a call, and whether its connection was silent."""
        self._open_by_session[session] -= 1
        if silent and session is self._session:
            self._session = None
        retired = session is not self._session
        if retired and not self._open_by_session[session]:
            del self._open_by_session[session]
            await session.close()

    async def close(self) -> None:
        """Close every connection."""
        for session in list(self._open_by_session):
            await session.close()


class ChannelPool:
    """Keep a channel for each address."""

    def __init__(
        self,
        limit_per_address: int = MAX_CONNECTIONS,
        context: ssl.SSLContext | None = None,
    ) -> None:
        self._limit = limit_per_address
        self._context = context or True
        self._channels_by_address: dict[str, Channel] = {}
        self.counters: collections.Counter[str] = collections.Counter()

    def get(self, address: str, kind: str = WORKERS) -> Channel:
        """Give the channel to an address of a kind of process."""
        channel = self._channels_by_address.get(address)
        if channel is None:
            traffic = Traffic(kind, self.counters)
            channel = Channel(self._make_session, traffic)
            self._channels_by_address[address] = channel
        return channel

    def fresh(self) -> Channel:
        """Give a channel whose connections are used for one call each."""
        traffic = Traffic(WORKERS, self.counters)
        return Channel(self._make_single_use_session, traffic)

    async def forget(self, address: str) -> None:
        """Close the channel to an address that is not called any more."""
        channel = self._channels_by_address.pop(address, None)
        if channel is not None:
            await channel.close()

    async def close(self) -> None:
        """Close every channel."""
        for address in list(self._channels_by_address):
            await self.forget(address)

    def _make_session(self) -> aiohttp.ClientSession:
        connector = aiohttp.TCPConnector(limit=self._limit, ssl=self._context)
        return _session(connector)

    def _make_single_use_session(self) -> aiohttp.ClientSession:
        connector = aiohttp.TCPConnector(force_close=True, ssl=self._context)
        return _session(connector)


def _session(connector: aiohttp.TCPConnector) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=connector, skip_auto_headers=NEEDLESS_HEADERS
    )
