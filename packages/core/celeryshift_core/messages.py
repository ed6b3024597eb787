"""Messages that nodes send each other, without waiting for an answer."""

import attrs


@attrs.frozen(slots=True)
class Summary:
    """Tell what a node owns and has room for."""

    node: str
    slices: list[int]
    free_slots_by_upstream: dict[str, int]
    config_version: int
    config_age_s: float
    draining: bool


@attrs.frozen(slots=True)
class KeysWithdrawn:
    """Tell which keys have been withdrawn."""

    key_ids: list[str]


Message = Summary | KeysWithdrawn
ALL = (Summary, KeysWithdrawn)
