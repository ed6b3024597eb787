"""Errors of a node; each class states what is known of the failed call."""

from celeryshift_net import servers

# Size of a value or an error in a message.
MAX_DESCRIPTION_CHARS = 200


class CellNodeError(Exception):
    """Base class of the errors of a node."""


class SettingsError(CellNodeError):
    """Raised with every mistake in a settings file."""


class StoreError(CellNodeError):
    """Raised when a call to the store fails."""


class StoreRefusedError(StoreError):
    """Raised when the store has certainly not carried out a call."""


class StoreRejectedError(StoreRefusedError):
    """Raised when the store never carries out a call, since it is invalid."""


class StoreOutcomeUnknownError(StoreError):
    """Raised when the store may have carried out a call, or may later."""


class HistoryLostError(StoreError):
    """Raised when the changes since a version are no longer available."""


class PeerError(CellNodeError):
    """Raised when another node or service does not answer a call."""


class PeerRefusedError(PeerError):
    """Raised when nothing listens at the address of a node."""


class JobError(CellNodeError):
    """Raised when the description of a job is invalid."""


# Errors of the body of a call; the first is the base class of the others.
BodyError = servers.BodyError
BodyTooLargeError = servers.BodyTooLargeError
BusyError = servers.BusyError
EncodedBodyError = servers.EncodedBodyError
IncompleteBodyError = servers.IncompleteBodyError


def describe(value: object) -> str:
    """Return a short text for any value or error, for a message or the log."""
    if isinstance(value, list | dict):
        # The text of one that is nested or long would take very long to make.
        return type(value).__name__
    if isinstance(value, str | bytes):
        value = value[:MAX_DESCRIPTION_CHARS]
    try:
        text = repr(value)
    except Exception:
        # Its contents can't be printed, such as a number of many digits.
        text = type(value).__name__
    return text[:MAX_DESCRIPTION_CHARS]
