"""Receives the bytes of a connection, and bounds what its parser keeps.

The guard is the protocol of the transport. It hands received bytes to the
request handler of aiohttp in small parts, as far as the handler makes use of
them: it stops at a request until that is answered, and for good once bytes
are malformed or add up to no request.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
from typing import Any
from typing import Protocol

from aiohttp import streams
from aiohttp import web

from celeryshift_net import _connectiontable
from celeryshift_net import _limits
from celeryshift_net import _turns

Phase = _connectiontable.Phase

# Ends the head of a request, and nothing in a head before its end.
HEAD_END = b'\n\r\n'
# Bytes of framing for which each byte of a body makes up, so that a body may
# come in chunks of one byte.
FRAMING_FACTOR = 16
# Parts of the received bytes that are parsed in one turn of the event loop.
MAX_PARTS = 32
REFUSAL = (
    'HTTP/1.1 {status}\r\n'
    'Content-Type: text/plain; charset=utf-8\r\n'
    'Content-Length: {length}\r\n'
    'Connection: close\r\n'
    '\r\n'
    '{reason}'
)
MALFORMED = '400 Bad Request'
HEAD_TOO_LARGE = '431 Request Header Fields Too Large'


class RequestHandler(Protocol):
    """Handler of the requests of a connection, with its parser."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin."""

    def connection_lost(self, exc: BaseException | None) -> None:
        """End."""

    def data_received(self, data: bytes) -> None:
        """Parse bytes."""

    def eof_received(self) -> bool | None:
        """Note that the client sends no more."""

    def pause_writing(self) -> None:
        """Write no more for now."""

    def resume_writing(self) -> None:
        """Continue to write."""


class Listener:
    """State that the connections of a listener share."""

    def __init__(self, limits: _limits.Limits) -> None:
        self.limits = limits
        self.table = _connectiontable.ConnectionTable(limits.max_connections)
        self.turns = _turns.Turns()
        # A read is handled before the next one begins.
        self.buffer = memoryview(bytearray(_limits.READ_BYTES))
        # Memory of large heads.
        self.heads_bytes = 0


class Guard(asyncio.BufferedProtocol):
    """Protocol of a connection, in front of its request handler."""

    __slots__ = (
        '_answers',
        '_credit',
        '_handler',
        '_head_bytes',
        '_is_closing',
        '_is_held',
        '_is_paused',
        '_is_queued',
        '_is_refused',
        '_is_writing_paused',
        '_length',
        '_limits',
        '_listener',
        '_payload',
        '_payload_bytes',
        '_pending',
        '_rest_bytes',
        '_taken',
        '_timer',
        '_transport',
        '_unanswered',
        'parsed_bytes',
        'phase',
        'since',
    )

    def __init__(
        self,
        listener: Listener,
        make_handler: Callable[['Guard'], RequestHandler],
    ) -> None:
        self._listener = listener
        self._limits = listener.limits
        self._handler = make_handler(self)
        self._transport: Any = None
        self._pending = b''
        # Number of complete answers, and of requests without one.
        self._answers = 0
        self._unanswered = 0
        # Body that has not arrived completely, and its size so far.
        self._payload: streams.StreamReader | None = None
        self._payload_bytes = 0
        # Length of the body, if it is known.
        self._length: int | None = None
        # Bytes that may still be parsed without a request or a part of a body.
        self._credit = self._limits.max_head_bytes
        # Bytes since the last request, and what they take of the memory for
        # large heads.
        self._head_bytes = 0
        self._taken = 0
        # Bytes of a request that was answered before it was complete.
        self._rest_bytes = 0
        self.parsed_bytes = 0
        # Whether the handler can't take more at present.
        self._is_held = False
        self._is_paused = False
        self._is_writing_paused = False
        self._is_refused = False
        # Whether the handler closes the connection after its last answer.
        self._is_closing = False
        self._is_queued = False
        # Closes a connection that makes no progress.
        self._timer: asyncio.TimerHandle | None = None
        self.phase = Phase.INCOMPLETE
        self.since = 0.0

    # Calls of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept the connection, in place of another if there are many."""
        self._transport = transport
        self._transport.set_write_buffer_limits(_limits.WRITE_BUFFER_BYTES)
        self._handler.connection_made(transport)
        if self._limits.first_head_timeout_s:
            self._start_timer(
                self._limits.first_head_timeout_s, 'head_too_slow'
            )
        self._listener.table.add(self, asyncio.get_running_loop().time())
        # With TLS, bytes may come before.
        self._continue()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget the connection."""
        self._stop_timer()
        self._pending = b''
        self._release_head()
        self._listener.table.remove(self)
        if self._transport is None:
            return
        self._transport = None
        self._handler.connection_lost(exc)

    def pause_writing(self) -> None:
        """Give the client a time to read its answers."""
        self._is_writing_paused = True
        self._handler.pause_writing()
        self._watch_answer()
        self._update_phase()

    def resume_writing(self) -> None:
        """Continue after the client has read its answers."""
        self._is_writing_paused = False
        if not (self._is_refused or self._is_closing):
            self._stop_timer()
        self._handler.resume_writing()
        self._update_phase()
        self._continue()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next bytes."""
        return self._listener.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse received bytes in this turn if it has room, or later."""
        if self._is_refused or self._is_closing:
            return
        self._pending += bytes(self._listener.buffer[:nbytes])
        if self._can_parse() and self._listener.turns.take(nbytes):
            self.parse()
        else:
            self._continue()

    def eof_received(self) -> bool | None:
        """Note that the client sends no more."""
        return self._handler.eof_received()

    # Calls of the listener.

    def parse(self) -> int:
        """Parse some of the received bytes, and return how many."""
        self._is_queued = False
        size = parts = 0
        while parts < MAX_PARTS and self._can_parse():
            parts += 1
            data, self._pending = self._split(self._pending)
            size += len(data)
            self.parsed_bytes += len(data)
            self._handler.data_received(data)
            self._account(len(data))
        self._update_phase()
        self._continue()
        return size

    def abort(self, reason: str) -> None:
        """Close the connection at once, and count the reason."""
        self._listener.table.counters[reason] += 1
        self._refuse()
        if self._transport is not None:
            self._transport.abort()

    # Calls of the request handler and its parser.

    def hold(self) -> None:
        """Parse no more until released."""
        self._is_held = True
        self._pause()

    def release(self) -> None:
        """Parse again."""
        self._is_held = False
        self._continue()

    def begin_request(
        self, payload: streams.StreamReader, length: int | None
    ) -> None:
        """Note that the head of a request is complete.

        The length is that of its body, if the head tells it.
        """
        self._unanswered += 1
        self._payload, self._payload_bytes = payload, 0
        self._length = length
        self._credit = self._limits.max_head_bytes
        self._head_bytes = 0
        self._stop_timer()

    def end_answer(self, keeps_open: bool) -> None:
        """Note that a request is answered."""
        self._answers += 1
        self._unanswered -= 1
        self._release_head()
        self.parsed_bytes = 0
        self._rest_bytes = 0
        if self._is_refused:
            self._linger()
        elif not keeps_open:
            self.close()
        self._update_phase()
        self._continue()

    def close(self) -> None:
        """Receive no more, and give the client a time to read the answer."""
        if not self._is_closing:
            self._is_closing = True
            self._pending = b''
            if not self._is_refused:
                self._watch_answer()

    def refuse(self, reason: str, status: str, text: str) -> None:
        """Receive no more, and answer a request that has begun."""
        if self._is_refused:
            return
        self._listener.table.counters[reason] += 1
        self._refuse()
        if self._unanswered:
            self._end_payload(text)
        elif self._transport is not None:
            answer = REFUSAL.format(
                status=status, length=len(text.encode()), reason=text
            )
            self._transport.write(answer.encode())
            self._linger()

    def _refuse(self) -> None:
        self._is_refused = True
        self._pending = b''
        # The parser keeps the head until the connection is closed.
        self._pause()
        self._update_phase()

    def _end_payload(self, text: str) -> None:
        """Let the handler of the request know that its body is malformed."""
        payload, self._payload = self._payload, None
        if payload is not None and not payload.is_eof():
            payload.set_exception(web.RequestPayloadError(text))
            # Otherwise the rest would be waited for after the answer.
            payload.feed_eof()

    def _linger(self) -> None:
        """Leave the client time to read the answer, then close."""
        if self._transport is None or self._transport.is_closing():
            return
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._start_timer(_limits.LINGERING_S, 'refused_closed')

    # State of the connection.

    def _can_parse(self) -> bool:
        if not self._pending or self._is_held or self._is_refused:
            return False
        if self._is_writing_paused or self._is_closing:
            return False
        if self._transport is None:
            return False
        # The next request is parsed once this one is answered.
        return not self._unanswered or self._payload is not None

    def _split(self, data: bytes) -> tuple[bytes, bytes]:
        """Split data so that few heads are parsed at once.

        The end of the body of a request may be followed by many others.
        """
        if self._payload is not None and self._length is not None:
            end = self._length - self._payload.total_bytes
        else:
            end = len(data) - len(data.lstrip(b'\r\n'))
        if end <= 0:
            found = data.find(HEAD_END)
            end = found + len(HEAD_END) if found >= 0 else len(data)
        return data[:end], data[end:]

    def _account(self, size: int) -> None:
        """Note that bytes were parsed, and refuse if they came to nothing."""
        if self._is_refused:
            return
        self._credit -= size
        payload = self._payload
        if payload is not None:
            received = payload.total_bytes - self._payload_bytes
            self._payload_bytes = payload.total_bytes
            self._credit = min(
                self._limits.max_head_bytes,
                self._credit + FRAMING_FACTOR * received,
            )
            if payload.is_eof():
                self._payload = None
            elif not self._unanswered:
                self._rest_bytes += size
                if self._rest_bytes > _limits.LINGERING_BYTES:
                    self.abort('rest_too_large')
                    return
        else:
            self._head_bytes += size
            self._take_head()
        if self._credit < 0:
            text = 'too many bytes without a request'
            self.refuse('head_too_large', HEAD_TOO_LARGE, text)
        elif self._timer is None and self._head_bytes:
            self._start_timer(self._limits.head_timeout_s, 'head_too_slow')

    def _take_head(self) -> None:
        """Take memory for a large head, or close if there is none."""
        limit = self._limits.heads_bytes
        taken = self._head_bytes - _limits.READ_BYTES
        if not limit or taken <= self._taken:
            return
        listener = self._listener
        listener.heads_bytes += taken - self._taken
        self._taken = taken
        if listener.heads_bytes > limit:
            self.abort('heads_crowded')

    def _release_head(self) -> None:
        self._listener.heads_bytes -= self._taken
        self._taken = 0

    def _update_phase(self) -> None:
        if self._is_refused:
            phase = Phase.REFUSED
        elif self._payload is not None or self._is_writing_paused:
            phase = Phase.INCOMPLETE
        elif self._unanswered:
            phase = Phase.WAITING
        elif self._head_bytes or not self._answers:
            phase = Phase.INCOMPLETE
        else:
            phase = Phase.IDLE
        if phase is not self.phase:
            now = asyncio.get_running_loop().time()
            self._listener.table.move(self, phase, now)

    def _continue(self) -> None:
        """Receive more, or have the received bytes parsed later."""
        if self._can_parse():
            self._pause()
            if not self._is_queued:
                self._is_queued = True
                self._listener.turns.add(self)
        elif self._pending or self._is_held or self._is_refused:
            self._pause()
        else:
            self._resume()

    def _pause(self) -> None:
        if not self._is_paused and self._is_open():
            self._is_paused = True
            self._transport.pause_reading()

    def _resume(self) -> None:
        if self._is_paused and self._is_open():
            self._is_paused = False
            self._transport.resume_reading()

    def _is_open(self) -> bool:
        return self._transport is not None and not self._transport.is_closing()

    def _watch_answer(self, unsent_bytes: int | None = None) -> None:
        """Close the connection unless its client reads its answers."""
        if self._transport is None:
            return
        size = self._transport.get_write_buffer_size()
        if unsent_bytes is not None and size >= unsent_bytes:
            self.abort('answer_unread')
            return
        self._stop_timer()
        self._timer = asyncio.get_running_loop().call_later(
            self._limits.write_timeout_s, self._watch_answer, size
        )

    def _start_timer(self, delay_s: float, reason: str) -> None:
        self._stop_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self.abort, reason)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class Parser:
    """Parser of a request handler that reports to the guard."""

    __slots__ = ('_guard', '_parser')

    def __init__(self, parser: Any, guard: Guard) -> None:
        self._parser = parser
        self._guard = guard

    def __getattr__(self, name: str) -> Any:
        """Return what the parser has beyond the methods here."""
        return getattr(self._parser, name)

    def feed_data(self, data: bytes) -> tuple[Sequence[Any], bool, bytes]:
        """Parse bytes, and return complete heads with their bodies."""
        try:
            parsed, _, _ = self._parser.feed_data(data)
        except Exception as error:
            # For some bytes the parser raises other errors than its own.
            text = f'malformed request: {type(error).__name__}'
            self._guard.refuse('malformed', MALFORMED, text)
            return (), False, b''
        messages = []
        for message, payload in parsed:
            if message.upgrade or message.method == 'CONNECT':
                # What follows the request belongs to no known protocol.
                message = message._replace(should_close=True)
            length = None if message.chunked else _content_length(message)
            self._guard.begin_request(payload, length)
            messages.append((message, payload))
        return messages, False, b''


def _content_length(message: Any) -> int | None:
    length = message.headers.get('Content-Length', '')
    return int(length) if length.isdecimal() else None
