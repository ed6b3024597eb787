"""Deadline of a call, which moves while the answer arrives."""

import attrs

# Longest pause within an answer, unless the timeout of the call is shorter.
MAX_PAUSE_S = 1.0
# An answer that arrives more slowly than this on the whole fails. It is a
# small part of the slowest link, which other calls use too.
MIN_BYTES_PER_S = 32_000


@attrs.define
class Deadline:
    """Time at which a call fails.

    The timeout of a call bounds the wait for its answer. An answer that has
    begun may take longer, as long as it keeps arriving.
    """

    sent_at: float
    timeout_s: float
    received: int = 0
    at: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start with the timeout."""
        self.at = self.sent_at + self.timeout_s

    def extend(self, now: float, size: int) -> None:
        """Move the deadline after some bytes of the answer have arrived."""
        self.received += size
        waited_until = self.sent_at + self.timeout_s
        self.at = max(
            waited_until,
            min(
                now + min(MAX_PAUSE_S, self.timeout_s),
                waited_until + self.received / MIN_BYTES_PER_S,
            ),
        )
