"""The errors of a node; each says what is known of the call that failed."""


class CellNodeError(Exception):
    """Stand at the root of the errors of a node."""


class SettingsError(CellNodeError):
    """Report every mistake in a settings file."""


class StoreError(CellNodeError):
    """Report a call to the store that failed."""


class StoreRefusedError(StoreError):
    """Report a call that the store has surely not carried out."""


class StoreOutcomeUnknownError(StoreError):
    """Report a call that the store may have carried out, or may later."""


class HistoryLostError(StoreError):
    """Report that the changes since a version are not kept any more."""


class PeerError(CellNodeError):
    """Report a call to another node that was not answered."""


class PeerRefusedError(PeerError):
    """Report that nothing listens at the address of a node."""


class JobError(CellNodeError):
    """Report a job that callers have described wrongly."""
