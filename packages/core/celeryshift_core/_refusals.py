"""Refusals: typed final answers that state whether the work ran."""

import enum

import attrs


class Ran(enum.Enum):
    """Whether refused work may have run."""

    NO = 'no'
    YES = 'yes'
    UNKNOWN = 'unknown'


class Reason(enum.Enum):
    """Reason of a refusal; the value is part of the interface."""

    BAD_REQUEST = 'bad-request'
    UNKNOWN_KIND = 'unknown-kind'
    UNKNOWN_QUEUE = 'unknown-queue'
    UNKNOWN_JOB = 'unknown-job'
    WITHDRAWN_JOB = 'withdrawn-job'
    UNKNOWN_REQUEST = 'unknown-request'
    UNKNOWN_PATH = 'unknown-path'
    WRONG_KEY = 'wrong-key'
    WITHDRAWN_KEY = 'withdrawn-key'
    KEYS_UNCONFIRMED = 'keys-unconfirmed'
    NOT_OPERATOR = 'not-operator'
    NEVER_FITS = 'never-fits'
    NO_UPSTREAM = 'no-upstream'
    NO_ROOM = 'no-room'
    TEAM_LIMIT = 'team-limit'
    DEADLINE = 'deadline'
    DRAINING = 'draining'
    NOT_READY = 'not-ready'
    STORE_DOWN = 'store-down'
    ALREADY_SENT = 'already-sent'
    DUPLICATE = 'duplicate'
    WORKER_LOST = 'worker-lost'
    UPSTREAM_FAILED = 'upstream-failed'
    CONFIGURATION_CONFLICT = 'configuration-conflict'
    TOO_LARGE = 'too-large'
    SLOW_CALLER = 'slow-caller'
    TOO_MANY_BODIES = 'too-many-bodies'
    INTERNAL = 'internal-error'


@attrs.frozen(slots=True)
class Refusal:
    """Reason of a refusal, whether the work ran, and when to retry."""

    reason: Reason
    ran: Ran = Ran.NO
    retry_after_s: float | None = None
    detail: str = ''
