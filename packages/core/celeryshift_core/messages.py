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


@attrs.frozen(slots=True)
class Usage:
    """Tell what each team uses and waits for at a node, in slots."""

    node: str
    capacity: int
    used_by_team: dict[str, int]
    waiting_by_team: dict[str, int]


Message = Summary | KeysWithdrawn | Usage
ALL = (Summary, KeysWithdrawn, Usage)
