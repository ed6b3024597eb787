"""Messages that nodes send each other without waiting for an answer."""

from typing import Any

import attrs


@attrs.frozen(slots=True)
class Summary:
    """Slices, free slots and configuration version of a node.

    `config_age_s` is the time since the configuration was last confirmed, or
    -1 if it never was.
    """

    node: str
    slices: list[int]
    free_slots_by_upstream: dict[str, int]
    config_version: int
    config_age_s: float
    draining: bool


@attrs.frozen(slots=True)
class Withdrawal:
    """Withdrawal of a key: which one, by whom and when."""

    key_id: str
    operator: str
    wall_time: str


@attrs.frozen(slots=True)
class KeysWithdrawn:
    """Announcement of withdrawn keys."""

    keys: list[Withdrawal]


@attrs.frozen(slots=True)
class KeysHeard:
    """Acknowledgement of withdrawals received."""

    key_ids: list[str]


@attrs.frozen(slots=True)
class PromiseAsked:
    """Request for a promise not to take over the slices of the sender.

    A promise lasts for a lease. `basis` is the version of the renewal that
    returned the list of nodes to ask.
    """

    to: str
    basis: int
    asked_at: float


@attrs.frozen(slots=True)
class Promised:
    """Promise as requested, which does not expire if the sender leaves."""

    to: str
    basis: int
    asked_at: float
    leaving: bool


@attrs.frozen(slots=True)
class VouchAsked:
    """Request to give an owner no more promises, and to confirm this.

    `version` and `basis` are those of the owner's registration.
    """

    to: str
    address: str
    owner: str
    version: int
    basis: int


@attrs.frozen(slots=True)
class Vouched:
    """Confirmation that the sender gives an owner no more promises.

    Its last promise to the owner expires after `wait_s` seconds.
    """

    to: str
    owner: str
    version: int
    wait_s: float


@attrs.frozen(slots=True)
class ConfigAsked:
    """Request for the configuration in force if it is newer."""

    than: int


@attrs.frozen(slots=True)
class ConfigTold:
    """Configuration in force at the sender."""

    document: dict[str, Any]


@attrs.frozen(slots=True)
class Usage:
    """Slots that each team uses and waits for at a node."""

    node: str
    capacity: int
    used_by_team: dict[str, int]
    waiting_by_team: dict[str, int]


@attrs.frozen(slots=True)
class SlotsClaimed:
    """Claim to slots of team limits that are completely allotted."""

    slots_by_team: dict[str, int]


@attrs.frozen(slots=True)
class JobsMoved:
    """Notice to the owner of slices that jobs were moved there."""

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
