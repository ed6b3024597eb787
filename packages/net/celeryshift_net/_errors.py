"""Errors of calls to other processes."""

# Raised when nothing listens on the port. If the host is down, the connection
# attempt times out instead.
REFUSED_ERRORS = (ConnectionRefusedError, ConnectionResetError)


class ExchangeError(Exception):
    """Raised if a call gets no response."""


class NotSentError(ExchangeError):
    """Raised if no byte of a call can have been sent."""


class NotListeningError(NotSentError):
    """Raised if nothing listens at the address."""


class NoAnswerError(ExchangeError):
    """Raised if a call may have been executed but got no full response."""
