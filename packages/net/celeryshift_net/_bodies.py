"""Bodies of requests, whose memory is bounded."""

import asyncio
import time

from aiohttp import web
import attrs

# Memory of a decoded body as a multiple of its size, and of a call.
DECODED_FACTOR = 6
CALL_BYTES = 16_384
# Larger bodies may use only this share of the budget.
SMALL_BODY_BYTES = 8192
LARGE_BODIES_SHARE = 0.5
# Longest time for which a body is read, whatever the client's timeout.
MAX_BODY_S = 10.0


class BodyError(Exception):
    """Raised when a body is not read."""


class BodyTooLargeError(BodyError):
    """Raised when the body of a call exceeds the limit."""


class IncompleteBodyError(BodyError):
    """Raised when a body does not arrive in time, or is malformed."""


class EncodedBodyError(BodyError):
    """Raised when a body has a content coding, which is not decoded."""


class BusyError(BodyError):
    """Raised when there is no memory for a call at present."""


@attrs.define(eq=False)
class BodyBudget:
    """Memory for the bodies of all calls in progress; 0 for no limit."""

    limit: int = 0
    used: int = 0

    def take(self, size: int, is_large: bool, taken: int = 0) -> bool:
        """Use a part of the budget, and return whether there was enough.

        A body that has taken all that is used is alone, and may take more.
        """
        limit = self.limit * (LARGE_BODIES_SHARE if is_large else 1.0)
        is_alone = self.used == taken
        if self.limit and self.used + size > limit and not is_alone:
            return False
        self.used += size
        return True


def budget_bytes(share_bytes: float, max_bytes: int) -> int:
    """Return the limit of a budget, with room for one body of any size."""
    largest = CALL_BYTES + DECODED_FACTOR * max_bytes
    return max(int(share_bytes), int(largest / LARGE_BODIES_SHARE))


class Body:
    """Body of a call, which keeps its part of the budget until it is closed.

    It is a context manager.
    """

    def __init__(self, request: web.BaseRequest, budget: BodyBudget) -> None:
        self._request = request
        self._budget = budget
        self._taken = 0

    def __enter__(self) -> 'Body':
        """Return the body."""
        return self

    def __exit__(self, *error: object) -> None:
        """Give the part of the budget back."""
        self._budget.used -= self._taken

    async def read(self, max_bytes: int, deadline: float) -> bytes:
        """Read the body.

        Raises ``BodyTooLargeError``, ``BusyError`` if the budget is used up,
        ``EncodedBodyError`` or ``IncompleteBodyError``.
        """
        coding = self._request.headers.get('Content-Encoding', 'identity')
        if coding.strip().lower() != 'identity':
            raise EncodedBodyError(f'content coding {coding[:40]!r}')
        declared = self._request.content_length
        if declared is not None and declared > max_bytes:
            raise BodyTooLargeError(f'a body of {declared} bytes')
        is_large = (declared or max_bytes) > SMALL_BODY_BYTES
        self._take(CALL_BYTES, is_large)
        timeout_s = min(max(0.0, deadline - time.monotonic()), MAX_BODY_S)
        try:
            async with asyncio.timeout(timeout_s):
                return await self._read(max_bytes, is_large)
        except TimeoutError as error:
            raise IncompleteBodyError('it is late') from error
        except (ConnectionError, web.RequestPayloadError) as error:
            raise IncompleteBodyError(repr(error)[:200]) from error

    async def _read(self, max_bytes: int, is_large: bool) -> bytes:
        # A list would take an object for each of many small chunks.
        content = bytearray()
        while chunk := await self._request.content.readany():
            if len(content) + len(chunk) > max_bytes:
                raise BodyTooLargeError(
                    f'a body of more than {max_bytes} bytes'
                )
            self._take(DECODED_FACTOR * len(chunk), is_large)
            content += chunk
        return bytes(content)

    def _take(self, size: int, is_large: bool) -> None:
        if not self._budget.take(size, is_large, self._taken):
            raise BusyError('the bodies of other calls take all memory')
        self._taken += size
