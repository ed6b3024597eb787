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
class PromiseAsked:
    """Ask a node not to take from the sender for a lease's time."""

    to: str
    basis: int
    asked_at: float


@attrs.frozen(slots=True)
class Promised:
    """Promise what was asked; a leaving node promises it for good."""

    to: str
    basis: int
    asked_at: float
    leaving: bool


@attrs.frozen(slots=True)
class VouchAsked:
    """Ask a node to promise an owner nothing more."""

    to: str
    address: str
    owner: str
    version: int
    basis: int


@attrs.frozen(slots=True)
class Vouched:
    """Tell after which wait no promise to an owner runs any more."""

    to: str
    owner: str
    version: int
    wait_s: float


Message = (
    Summary | KeysWithdrawn | PromiseAsked | Promised | VouchAsked | Vouched
)
ALL = (Summary, KeysWithdrawn, PromiseAsked, Promised, VouchAsked, Vouched)
