"""HTTP/1.1 connection that carries one call at a time."""

import asyncio
from collections.abc import Callable
import socket
from typing import Any
from typing import cast

import attrs

from celeryshift_net import _deadlines
from celeryshift_net import _responses


@attrs.define(eq=False)
class Connection(asyncio.Protocol):
    """Connection to one address; `generation` is that of its channel."""

    generation: Any
    _handle_lost: Callable[['Connection'], None]
    # Called when a part of a response has arrived that is not its end.
    _handle_progress: Callable[[], None]
    released_at: float = 0.0
    _transport: asyncio.Transport = attrs.field(init=False)
    _reader: _responses.ResponseReader = attrs.field(
        factory=_responses.ResponseReader
    )
    _answer: asyncio.Future[_responses.Response] | None = None
    _deadline: _deadlines.Deadline | None = None
    _loop: asyncio.AbstractEventLoop | None = None
    _timer: asyncio.TimerHandle | None = None
    _is_usable: bool = True

    def is_usable(self) -> bool:
        """Return whether the connection may carry a call."""
        return self._is_usable and not self._transport.is_closing()

    def send(
        self,
        request: bytes,
        is_head: bool,
        loop: asyncio.AbstractEventLoop,
        deadline: _deadlines.Deadline,
    ) -> asyncio.Future[_responses.Response]:
        """Send a request, and return the future of its response.

        It fails with TimeoutError at the deadline, which moves while the
        response arrives, and with other errors if the connection is lost or
        the response malformed.
        """
        answer: asyncio.Future[_responses.Response] = loop.create_future()
        self._answer = answer
        self._deadline, self._loop = deadline, loop
        self._timer = loop.call_at(deadline.at, self._expire)
        self._reader.begin(is_head)
        self._transport.write(request)
        return answer

    def abort(self) -> None:
        """Close the connection at once; what it has not sent is discarded."""
        self._is_usable = False
        self._cancel_timer()
        self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        # The transports of uvloop are not subclasses of asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)
        transport.get_extra_info('socket').setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
        )

    def data_received(self, data: bytes) -> None:
        """Complete the call if its response is complete."""
        if self._answer is None:
            # Nobody has asked for these bytes, as before a server closes an
            # idle connection.
            self.abort()
            return
        try:
            response = self._reader.feed(data)
        except _responses.MalformedError as error:
            self._fail(error)
            self.abort()
            return
        if response is not None:
            self._complete(response)
        elif self._deadline is not None and self._loop is not None:
            self._deadline.extend(self._loop.time(), len(data))
            self._handle_progress()

    def eof_received(self) -> None:
        """Complete the call if its response ends with the connection."""
        self._is_usable = False
        if self._answer is not None:
            response = self._reader.end()
            if response is not None:
                self._complete(response)

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the call that is in flight."""
        self._is_usable = False
        self._fail(
            error or ConnectionAbortedError('closed before the answer ended')
        )
        self._handle_lost(self)

    def _complete(self, response: _responses.Response) -> None:
        answer = self._end_call()
        # A server may answer before it has read all of a request.
        if not response.is_kept or self._transport.get_write_buffer_size():
            self.abort()
        if answer is not None:
            answer.set_result(response)

    def _expire(self) -> None:
        assert self._deadline is not None
        assert self._loop is not None
        if self._deadline.at > self._loop.time():
            self._timer = self._loop.call_at(self._deadline.at, self._expire)
            return
        self._fail(TimeoutError())

    def _fail(self, error: Exception) -> None:
        answer = self._end_call()
        if answer is not None:
            answer.set_exception(error)

    def _end_call(self) -> asyncio.Future[_responses.Response] | None:
        """Return the future of the call unless it is done."""
        answer, self._answer = self._answer, None
        self._cancel_timer()
        return None if answer is None or answer.done() else answer

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
