"""Messages that nodes send each other, without waiting for an answer."""

from typing import Any

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
class Withdrawal:
    """Say which key was withdrawn, by whom and when."""

    key_id: str
    operator: str
    wall_time: str


@attrs.frozen(slots=True)
class KeysWithdrawn:
    """Tell which keys have been withdrawn."""

    keys: list[Withdrawal]


@attrs.frozen(slots=True)
class KeysHeard:
    """Confirm withdrawals that were told."""

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


@attrs.frozen(slots=True)
class ConfigAsked:
    """Ask for the configuration in force, if it is newer."""

    than: int


@attrs.frozen(slots=True)
class ConfigTold:
    """Tell the configuration in force."""

    document: dict[str, Any]


@attrs.frozen(slots=True)
class Usage:
    """Tell what each team uses and waits for at a node, in slots."""

    node: str
    capacity: int
    used_by_team: dict[str, int]
    waiting_by_team: dict[str, int]


@attrs.frozen(slots=True)
class SlotsClaimed:
    """Claim slots of limits that are all allotted."""

    slots_by_team: dict[str, int]


@attrs.frozen(slots=True)
class JobsMoved:
    """Tell the owner of slices that jobs were moved there."""

    slices: list[int]


Message = (
    Summary
    | KeysWithdrawn
    | KeysHeard
    | ConfigAsked
    | ConfigTold
    | Usage
    | SlotsClaimed
    | JobsMoved
    | PromiseAsked
    | Promised
    | VouchAsked
    | Vouched
)
ALL = (
    Summary,
    KeysWithdrawn,
    KeysHeard,
    ConfigAsked,
    ConfigTold,
    Usage,
    SlotsClaimed,
    JobsMoved,
    PromiseAsked,
    Promised,
    VouchAsked,
    Vouched,
)
