"""Parser of HTTP/1.1 responses.

Source: RFC 9112, HTTP/1.1, sections 2 to 7 and 9.
"""

import functools
import re

import attrs

# Answers have a few hundred bytes of headers.
MAX_HEAD_BYTES = 32 * 1024
# The longest answers are pages of the store, of less than 1 MB.
MAX_BODY_BYTES = 16 * 1024 * 1024
# Size of a chunk and its extensions, which nobody uses.
MAX_CHUNK_LINE_BYTES = 1024
# Parsed heads that are kept, by their bytes.
CACHED_HEADS = 128
NO_BODY_STATUSES = (204, 304)
SWITCHING_PROTOCOLS_STATUS = 101

_HEAD = re.compile(
    rb'HTTP/1\.([0-9]) ([1-9][0-9]{2})(?: [^\r\n\0]*)?'
    rb"(?:\r\n[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\r\n\0]*+)*+"
)
_FRAMING = re.compile(
    rb'\r\n(content-length|transfer-encoding|connection):([^\r\n]*)',
    re.IGNORECASE,
)
_FOLD = re.compile(rb'\r\n[ \t]+')
_LENGTH = re.compile(rb'[0-9]{1,18}')
_CHUNK_LINE = re.compile(rb'([0-9A-Fa-f]{1,15})[ \t]*(?:;[^\r\n\0]*)?')


class MalformedError(ValueError):
    """Raised if a response violates the protocol or a limit."""


@attrs.define
class Response:
    """Response, and whether its connection may carry another call."""

    status: int
    body: bytes
    is_kept: bool


@attrs.frozen
class _Head:
    """Status, and how the end of the body is found.

    A body with neither a length nor chunks ends with the connection.
    """

    status: int
    is_kept: bool
    is_chunked: bool
    length: int | None


@attrs.define
class ResponseReader:
    """Parser of the responses of a connection."""

    _buffer: bytearray = attrs.field(factory=bytearray)
    _head: _Head | None = None
    _chunks: bytearray = attrs.field(factory=bytearray)
    _is_reply_to_head: bool = False

    def begin(self, is_reply_to_head: bool) -> None:
        """Expect a response; one to HEAD has no body."""
        self._is_reply_to_head = is_reply_to_head

    def feed(self, data: bytes) -> Response | None:
        """Return the response if it is complete.

        Its connection is not kept if further bytes follow, which nobody has
        asked for.
        """
        if not self._buffer and self._head is None:
            response = self._read_whole(data)
            if response is not None:
                return response
        checked = len(self._buffer)
        self._buffer += data
        while self._head is None:
            if not self._read_head(max(0, checked - 3)):
                return None
            checked = 0
        return self._read_body()

    def end(self) -> Response | None:
        """Return the response if the end of the connection completes it."""
        head = self._head
        if head is None or head.is_chunked or head.length is not None:
            return None
        return Response(head.status, bytes(self._buffer), False)

    def _read_whole(self, data: bytes) -> Response | None:
        """Return the response if these bytes are just that, as most are."""
        encoded, separator, body = data.partition(b'\r\n\r\n')
        if not separator or len(encoded) > MAX_HEAD_BYTES:
            return None
        head = _parse_head(encoded, self._is_reply_to_head)
        if head.status < 200 or head.is_chunked or head.length != len(body):
            return None
        return Response(head.status, body, head.is_kept)

    def _read_head(self, start: int) -> bool:
        """Parse a head, unless it is incomplete; ignore interim responses."""
        end = self._buffer.find(b'\r\n\r\n', start)
        received = len(self._buffer) if end < 0 else end
        if received > MAX_HEAD_BYTES:
            raise MalformedError('the headers are too long')
        if end < 0:
            return False
        head = _parse_head(bytes(self._buffer[:end]), self._is_reply_to_head)
        del self._buffer[: end + 4]
        if head.status == SWITCHING_PROTOCOLS_STATUS:
            raise MalformedError('the protocol was switched')
        if head.status >= 200:
            self._head = head
        return True

    def _read_body(self) -> Response | None:
        head = self._head
        assert head is not None
        if head.is_chunked:
            return self._read_chunks(head)
        if head.length is None:
            if len(self._buffer) > MAX_BODY_BYTES:
                raise MalformedError('the body is too long')
            return None
        if len(self._buffer) < head.length:
            return None
        body = bytes(self._buffer[: head.length])
        del self._buffer[: head.length]
        return self._finish(head, body)

    def _read_chunks(self, head: _Head) -> Response | None:
        while (line_end := self._buffer.find(b'\r\n')) >= 0:
            size = _parse_chunk_size(bytes(self._buffer[:line_end]))
            if size == 0:
                return self._read_trailers(head, line_end)
            if len(self._chunks) + size > MAX_BODY_BYTES:
                raise MalformedError('the body is too long')
            start = line_end + 2
            end = start + size
            if len(self._buffer) < end + 2:
                return None
            if self._buffer[end : end + 2] != b'\r\n':
                raise MalformedError('a chunk does not end where it should')
            self._chunks += self._buffer[start:end]
            del self._buffer[: end + 2]
        if len(self._buffer) > MAX_CHUNK_LINE_BYTES:
            raise MalformedError('the line of a chunk is too long')
        return None

    def _read_trailers(self, head: _Head, start: int) -> Response | None:
        # Without trailers, the two line breaks follow the last size at once.
        end = self._buffer.find(b'\r\n\r\n', start)
        if end < 0:
            if len(self._buffer) > MAX_HEAD_BYTES:
                raise MalformedError('the trailers are too long')
            return None
        del self._buffer[: end + 4]
        body = bytes(self._chunks)
        self._chunks.clear()
        return self._finish(head, body)

    def _finish(self, head: _Head, body: bytes) -> Response:
        self._head = None
        return Response(head.status, body, head.is_kept and not self._buffer)


# The heads of the answers to one kind of order change only with the date, so
# that most of those that arrive within a second are equal.
@functools.lru_cache(maxsize=CACHED_HEADS)
def _parse_head(head: bytes, is_reply_to_head: bool) -> _Head:
    if b'\r\n ' in head or b'\r\n\t' in head:
        head = _FOLD.sub(b' ', head)
    match = _HEAD.fullmatch(head)
    if match is None:
        raise MalformedError(f'no HTTP/1 response: {head[:80]!r}')
    is_old = match[1] == b'0'
    status = int(match[2])
    length: int | None = None
    codings = []
    options = []
    for name, value in _FRAMING.findall(head):
        name, value = name.lower(), value.strip(b' \t').lower()
        if name == b'content-length':
            length = _parse_length(value, length)
        elif name == b'transfer-encoding':
            codings.append(value)
        else:
            options += [option.strip(b' \t') for option in value.split(b',')]
    is_chunked = codings == [b'chunked']
    if codings and (not is_chunked or is_old or length is not None):
        raise MalformedError(f'the length is unclear: {codings!r}, {length}')
    is_kept = b'close' not in options and (
        not is_old or b'keep-alive' in options
    )
    if status < 200 or status in NO_BODY_STATUSES or is_reply_to_head:
        return _Head(status, is_kept, False, 0)
    return _Head(status, is_kept, is_chunked, length)


def _parse_length(value: bytes, previous: int | None) -> int:
    if not _LENGTH.fullmatch(value):
        raise MalformedError(f'no length: {value[:80]!r}')
    length = int(value)
    if previous not in (None, length):
        raise MalformedError('two lengths')
    if length > MAX_BODY_BYTES:
        raise MalformedError('the body is too long')
    return length


def _parse_chunk_size(line: bytes) -> int:
    match = _CHUNK_LINE.fullmatch(line)
    if match is None or len(line) > MAX_CHUNK_LINE_BYTES:
        raise MalformedError(f'no size of a chunk: {line[:80]!r}')
    return int(match[1], 16)
