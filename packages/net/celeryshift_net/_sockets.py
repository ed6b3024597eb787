"""Sockets that listen, whose connections have small buffers in the kernel."""

import socket
from typing import Any

# The kernel reserves twice the size that is set, for its own overhead.
KERNEL_FACTOR = 2


def open_sockets(
    host: str, port: int, backlog: int, receive_bytes: int, send_bytes: int = 0
) -> list[socket.socket]:
    """Listen at the addresses of a host.

    Connections inherit the sizes of the buffers, which would grow otherwise; 0
    leaves the send buffer as it is.
    """
    found = socket.getaddrinfo(
        host, port, type=socket.SOCK_STREAM, flags=socket.AI_PASSIVE
    )
    sockets: list[socket.socket] = []
    try:
        for family, kind, proto, _, address in dict.fromkeys(found):
            listening = socket.socket(family, kind, proto)
            sockets.append(listening)
            level = socket.SOL_SOCKET
            listening.setsockopt(level, socket.SO_RCVBUF, receive_bytes)
            if send_bytes:
                listening.setsockopt(level, socket.SO_SNDBUF, send_bytes)
            _listen(listening, address, backlog)
    except BaseException:
        for each in sockets:
            each.close()
        raise
    return sockets


def _listen(listening: socket.socket, address: Any, backlog: int) -> None:
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if listening.family == socket.AF_INET6:
        listening.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
    listening.bind(address)
    listening.listen(backlog)
    listening.setblocking(False)
