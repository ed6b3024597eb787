"""Configuration that operators submit, and its validation."""

from collections.abc import Callable
from collections.abc import Iterable
import enum
import functools
import hashlib
import hmac
import math
import re
from typing import Any

import attrs
import cattrs

from celeryshift_core import _errors
from celeryshift_core import _pruning
from celeryshift_core import _size

MAX_TIMEOUT_S = 3600.0
MAX_RUN_S = 30 * 86400.0
NAME = re.compile(r'[A-Za-z0-9_-][A-Za-z0-9._-]{0,127}')
# Key ids have no dot, which separates the id from the secret in a token.
KEY_ID = re.compile(r'[A-Za-z0-9_-]{1,128}')
SHA256 = re.compile(r'[0-9a-f]{64}')


class Policy(enum.Enum):
    """Placement policy of the tasks of a kind."""

    REQUEST = 'request'
    BATCH = 'batch'
    GANG = 'gang'
    SERVICE = 'service'


class Access(enum.Enum):
    """Who may submit work to a queue."""

    OPEN = 'open'
    KEY = 'key'


class UpstreamState(enum.Enum):
    """Whether an upstream takes new work."""

    LIVE = 'live'
    LEAVING = 'leaving'


@attrs.frozen(slots=True)
class Team:
    """Share and upper limit of a team."""

    share: float = 1.0
    limit_slots: int = 1_000_000


@attrs.frozen(slots=True)
class Key:
    """Team of a key and the hash of its secret, which is not stored."""

    team: str
    sha256: str


@attrs.frozen(slots=True)
class Queue:
    """Queue; work submitted to an open one belongs to the queue's team."""

    access: Access = Access.KEY
    team: str | None = None


@attrs.frozen(slots=True)
class Upstream:
    """Back end that runs the tasks of some kinds."""

    state: UpstreamState = UpstreamState.LIVE


@attrs.frozen(slots=True)
class Kind:
    """Kind of work, and how its tasks are placed and run."""

    upstream: str
    policy: Policy = Policy.BATCH
    urgent: bool = False
    repeatable: bool = True
    preemptible: bool = False
    size: _size.Size = _size.ONE_SLOT
    timeout_s: float = 10.0
    max_run_s: float = 3600.0
    max_attempts: int = 3


@attrs.frozen
class Config:
    """One version of the configuration."""

    version: int = 0
    teams: dict[str, Team] = attrs.field(factory=dict)
    keys: dict[str, Key] = attrs.field(factory=dict)
    withdrawn_keys: list[str] = attrs.field(factory=list)
    queues: dict[str, Queue] = attrs.field(factory=dict)
    upstreams: dict[str, Upstream] = attrs.field(factory=dict)
    kinds: dict[str, Kind] = attrs.field(factory=dict)

    @functools.cached_property
    def urgent_upstreams(self) -> frozenset[str]:
        """Return the upstreams that have an urgent kind of work."""
        return frozenset(
            kind.upstream for kind in self.kinds.values() if kind.urgent
        )

    def takes_work(self, upstream: str) -> bool:
        """Return whether an upstream takes new work."""
        found = self.upstreams.get(upstream)
        return found is not None and found.state is UpstreamState.LIVE


_converter = cattrs.Converter(forbid_extra_keys=True)


def _check_type(value: Any, class_: Any) -> Any:
    # JSON types are not converted, except that an int may be a float.
    if class_ is float and type(value) is int:
        return float(value)
    if type(value) is not class_:
        raise TypeError(f'expected {class_.__name__}, got {value!r}')
    return value


for _class in (bool, int, float, str):
    _converter.register_structure_hook(_class, _check_type)


def structure(document: Any, class_: type) -> Any:
    """Build a validated object of a class from decoded JSON.

    Raises DocumentError, which lists every mistake with its path.
    """
    try:
        return _converter.structure(document, class_)
    except cattrs.BaseValidationError as error:
        mistakes = cattrs.transform_error(error, path='$')
        raise _errors.DocumentError(class_.__name__, mistakes) from error
    except (AttributeError, TypeError, ValueError) as error:
        raise _errors.DocumentError(
            class_.__name__, [f'{error} @ $']
        ) from error


def unstructure(value: Any) -> Any:
    """Convert an object to values that JSON can encode."""
    return _converter.unstructure(value)


def parse(document: Any) -> Config:
    """Validate a configuration and build it.

    Raises ConfigurationError, which lists every mistake with its path.
    """
    config, mistakes = check(document, Config, _find_mistakes)
    if mistakes:
        raise _errors.ConfigurationError('configuration', mistakes)
    return config


def check(
    document: Any, class_: type, find_mistakes: Callable[[Any], Iterable[str]]
) -> tuple[Any, list[str]]:
    """Build an object of a class, and return it with all mistakes found.

    The object is None if its structure has mistakes; the valid parts are
    still searched for others.
    """
    try:
        built = structure(document, class_)
    except _errors.DocumentError as error:
        mistakes = list(error.mistakes)
        try:
            rest = structure(_pruning.prune(document, error.mistakes), class_)
        except _errors.DocumentError:
            return None, mistakes
        return None, mistakes + list(find_mistakes(rest))
    return built, list(find_mistakes(built))


def team_of_key(config: Config, key_id: str, secret: str) -> str | None:
    """Return the team of a key, or None if the key is wrong."""
    key = config.keys.get(key_id)
    actual = hashlib.sha256(secret.encode()).hexdigest()
    expected = key.sha256 if key else hashlib.sha256(b'').hexdigest()
    is_equal = hmac.compare_digest(actual, expected)
    return key.team if key and is_equal else None


def _find_mistakes(config: Config) -> Any:
    for section in ('teams', 'keys', 'queues', 'upstreams', 'kinds'):
        pattern = KEY_ID if section == 'keys' else NAME
        for name in getattr(config, section):
            if not pattern.fullmatch(name):
                yield f'not a name ({pattern.pattern}) @ $.{section}.{name}'
    for name, team in config.teams.items():
        if not 0 < team.share < math.inf:
            yield f'share must be above 0 and finite @ $.teams.{name}.share'
        if team.limit_slots < 0:
            yield f'limit must be 0 or more @ $.teams.{name}.limit_slots'
    for name, key in config.keys.items():
        if key.team not in config.teams:
            yield f'unknown team {key.team!r} @ $.keys.{name}.team'
        if not SHA256.fullmatch(key.sha256):
            yield f'not a SHA-256 in hexadecimal @ $.keys.{name}.sha256'
    for name, queue in config.queues.items():
        if queue.access is Access.OPEN and queue.team not in config.teams:
            yield f'unknown team {queue.team!r} @ $.queues.{name}.team'
        if queue.access is Access.KEY and queue.team is not None:
            yield f'only an open queue names a team @ $.queues.{name}.team'
    for name, kind in config.kinds.items():
        yield from _find_kind_mistakes(config, name, kind)


def _find_kind_mistakes(config: Config, name: str, kind: Kind) -> Any:
    path = f'$.kinds.{name}'
    if kind.upstream not in config.upstreams:
        yield f'unknown upstream {kind.upstream!r} @ {path}.upstream'
    if not 0 < kind.timeout_s <= MAX_TIMEOUT_S:
        yield f'must be above 0, {MAX_TIMEOUT_S} at most @ {path}.timeout_s'
    if not 0 < kind.max_run_s <= MAX_RUN_S:
        yield f'must be above 0, {MAX_RUN_S} at most @ {path}.max_run_s'
    if kind.preemptible and not (
        kind.policy is Policy.BATCH and kind.repeatable
    ):
        yield f'only repeatable batch may be preempted @ {path}.preemptible'
    if kind.max_attempts < 1:
        yield f'must be 1 or more @ {path}.max_attempts'
    for field in attrs.asdict(kind.size):
        if getattr(kind.size, field) < (1 if field == 'slots' else 0):
            yield f'is too small @ {path}.size.{field}'
