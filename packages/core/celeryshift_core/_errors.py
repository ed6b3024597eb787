"""The exception tree of celeryshift."""

from collections.abc import Sequence


class CeleryshiftError(Exception):
    """Stand at the root of every error that this project raises."""


class DocumentError(CeleryshiftError):
    """Report every mistake found in a document, each with its path."""

    def __init__(self, document: str, mistakes: Sequence[str]):
        self.document = document
        self.mistakes = tuple(mistakes)
        lines = '\n'.join(f'  {mistake}' for mistake in self.mistakes)
        super().__init__(f'{document} has mistakes:\n{lines}')


class SettingsError(DocumentError):
    """Report the mistakes in a settings file."""


class ConfigurationError(DocumentError):
    """Report the mistakes in a configuration."""


class ConfigurationConflictError(CeleryshiftError):
    """Report a hand-in made against a version no longer in force."""

    def __init__(self, base_version: int, current_version: int):
        self.base_version = base_version
        self.current_version = current_version
        super().__init__(
            f'configuration was changed from version {base_version} '
            f'to {current_version} meanwhile'
        )


class LedgerError(CeleryshiftError):
    """Report a booking that the ledger of a slice does not allow."""


class OverCommitError(LedgerError):
    """Report a booking that a worker has no room for."""


class UnknownEventError(CeleryshiftError):
    """Report an event that the reducer has no handler for."""
