"""Limits of the connections that a listener accepts."""

import attrs

from celeryshift_net import _sockets

# Bytes that a connection receives at once, which are parsed in one turn of the
# event loop.
READ_BYTES = 8192
# Bytes of a body that the server reads ahead of its handler.
BODY_BUFFER_BYTES = 4096
# Bytes of an answer that wait for a slow client, beside one answer.
WRITE_BUFFER_BYTES = 8192
# Memory of a connection: its objects and the buffers above.
OBJECT_BYTES = 24_576
# How long the rest of a refused request is received, so that the client gets
# the response instead of a reset, and at most how much of it.
LINGERING_S = 1.0
LINGERING_BYTES = 262_144


@attrs.frozen
class Limits:
    """Limits of all connections of a listener, and of each."""

    max_connections: int = 10_000
    # Request line, or header field.
    max_line_bytes: int = 16_384
    max_fields: int = 100
    # Request line and all header fields, and the same for what precedes and
    # frames them: empty lines, chunk extensions, trailers.
    max_head_bytes: int = 32_768
    # Memory of the large heads of all connections; 0 for no limit.
    heads_bytes: int = 0
    # Time for the TLS handshake, if there is one.
    handshake_timeout_s: float = 10.0
    # Time for the first head of a connection; 0 to wait as between requests.
    first_head_timeout_s: float = 0.0
    # Time for the rest of a head once it has begun.
    head_timeout_s: float = 5.0
    # Time for which a connection is kept open between requests.
    idle_timeout_s: float = 75.0
    # Time for which a client may leave an answer unread.
    write_timeout_s: float = 10.0
    # Receive buffer of a connection in the kernel.
    receive_bytes: int = 8192
    # Send buffer of a connection in the kernel; 0 for the default.
    send_bytes: int = 0


def connection_bytes(receive_bytes: int = 8192) -> int:
    """Return the memory of a connection with a receive buffer."""
    return OBJECT_BYTES + _sockets.KERNEL_FACTOR * receive_bytes
