"""Memory and descriptors of a process, as the platform counts them."""

import asyncio
import collections
from collections.abc import Iterable
import pathlib

import attrs

MB = 2**20
INTERVAL_S = 0.05
LISTENING = '0A'


@attrs.frozen
class Usage:
    """Private memory, unread bytes of sockets, and open descriptors."""

    private_mb: float
    unread_mb: float
    descriptors: int

    @property
    def memory_mb(self) -> float:
        """Return all memory that counts."""
        return self.private_mb + self.unread_mb


def _private_mb(pid: int) -> float:
    for line in pathlib.Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('RssAnon:'):
            return int(line.split()[1]) / 1024
    return 0.0


def unread_mb_by_port() -> dict[int, float]:
    """Return what the sockets with each local port have received."""
    unread: collections.Counter[int] = collections.Counter()
    for line in pathlib.Path('/proc/net/tcp').read_text().splitlines()[1:]:
        _, local, _, state, queues, *_ = line.split()
        if state != LISTENING:
            port = int(local.partition(':')[2], 16)
            unread[port] += int(queues.partition(':')[2], 16)
    return {port: size / MB for port, size in unread.items()}


def measure(pid: int, ports: Iterable[int]) -> Usage:
    """Return the usage of a process that listens at some ports.

    Raises OSError if it has ended.
    """
    descriptors = len(list(pathlib.Path(f'/proc/{pid}/fd').iterdir()))
    unread = unread_mb_by_port()
    unread_mb = sum(unread.get(port, 0.0) for port in ports)
    return Usage(_private_mb(pid), unread_mb, descriptors)


@attrs.frozen
class Bounds:
    """Most that a process may use."""

    memory_mb: float
    unread_mb: float
    descriptors: int


async def watch(pid: int, ports: Iterable[int], bounds: Bounds) -> None:
    """Check the usage of a process until cancelled."""
    while True:
        usage = measure(pid, ports)
        assert usage.memory_mb <= bounds.memory_mb, usage
        assert usage.unread_mb <= bounds.unread_mb, usage
        assert usage.descriptors <= bounds.descriptors, usage
        await asyncio.sleep(INTERVAL_S)
