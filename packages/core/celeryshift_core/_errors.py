"""Exceptions of celeryshift."""

from collections.abc import Sequence


class CeleryshiftError(Exception):
    """Base class of the exceptions that celeryshift raises."""


class DocumentError(CeleryshiftError):
    """A document has mistakes, which are listed with their paths."""

    def __init__(self, document: str, mistakes: Sequence[str]):
        self.document = document
        self.mistakes = tuple(mistakes)
        lines = '\n'.join(f'  {mistake}' for mistake in self.mistakes)
        super().__init__(f'{document} has mistakes:\n{lines}')


class SettingsError(DocumentError):
    """A settings file has mistakes."""


class ConfigurationError(DocumentError):
    """A configuration has mistakes."""


class ConfigurationConflictError(CeleryshiftError):
    """A submission is based on a version that is no longer in force."""

    def __init__(self, base_version: int, current_version: int):
        self.base_version = base_version
        self.current_version = current_version
        super().__init__(
            f'configuration was changed from version {base_version} '
            f'to {current_version} meanwhile'
        )


class LedgerError(CeleryshiftError):
    """The ledger of a slice does not allow a booking."""


class OverCommitError(LedgerError):
    """A worker lacks the free capacity for a booking."""


class UnknownEventError(CeleryshiftError):
    """The reducer has no handler for an event."""
