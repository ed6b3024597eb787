"""Settings of a node, read from a JSON file and validated as a whole."""

import json
import pathlib
import re
from typing import Any

import attrs

import celeryshift_core as core

MIN_TOKEN_LENGTH = 16
SHA256 = re.compile(r'[0-9a-f]{64}')


@attrs.frozen
class Listen:
    """Address to listen on, and the host name that peers use."""

    host: str = '127.0.0.1'
    port: int = 0
    advertise_host: str | None = None


@attrs.frozen
class Tls:
    """Files for TLS, and whether workers are called over TLS."""

    certificate: str
    key: str
    ca: str | None = None
    workers: bool = False


@attrs.frozen
class Statsd:
    """Destination, name prefix and interval of metrics."""

    host: str = '127.0.0.1'
    port: int = 8125
    prefix: str = 'celeryshift'
    flush_s: float = 10.0


@attrs.frozen
class Log:
    """Level and format of log lines."""

    level: str = 'INFO'
    format: str = 'text'


@attrs.frozen
class Bounds:
    """Limits on the size and duration of calls and connections."""

    max_body_bytes: int = 262_144
    max_config_bytes: int = 4_194_304
    # Request line, or header field.
    max_header_bytes: int = 8190
    max_headers: int = 100
    # Request line and all header fields.
    max_head_bytes: int = 32_768
    max_connections: int = 1000
    # Memory of the large heads, and of the bodies, of all calls in progress.
    max_heads_bytes: int = 1_048_576
    max_bodies_bytes: int = 16_777_216
    # Time until the header of the first request on a connection is complete.
    header_timeout_s: float = 10.0
    # Time to receive the body of a request.
    read_timeout_s: float = 10.0
    # Time for which a caller may leave an answer unread.
    write_timeout_s: float = 10.0
    # Time for which a connection is kept open between requests.
    idle_timeout_s: float = 75.0
    # Maximum time for which a stopping node waits until it is drained, and
    # again for requests in progress when its listener closes.
    drain_timeout_s: float = 30.0
    # A stopping node waits for this time twice: until load balancers detect
    # that it is not ready, then for calls that still arrive on open
    # connections.
    idle_grace_s: float = 1.0
    max_connections_per_worker: int = 64
    # Time without an answer after which a worker is queried for the state of a
    # request.
    silent_after_s: float = 0.4


@attrs.frozen
class Timing:
    """Leases and intervals of a node; see celeryshift_core.Options."""

    node_lease_s: float = 4.0
    node_renew_s: float = 1.2
    task_lease_s: float = 15.0
    sync_wait_s: float = 4.0
    vm_poll_s: float = 2.0
    config_poll_s: float = 1.0
    config_stale_s: float = 15.0
    summary_s: float = 0.25


@attrs.frozen
class Settings:
    """All settings of a node."""

    data_centre: str
    platform_url: str
    cluster_token: str
    listen: Listen = attrs.field(factory=Listen)
    slices: int = 4
    # SHA-256 of the token in hexadecimal, by name of the operator.
    operators: dict[str, str] = attrs.field(factory=dict)
    tls: Tls | None = None
    statsd: Statsd | None = None
    log: Log = attrs.field(factory=Log)
    bounds: Bounds = attrs.field(factory=Bounds)
    timing: Timing = attrs.field(factory=Timing)


def load(path: str) -> Settings:
    """Read and validate a settings file.

    Raises SettingsError, which lists every mistake with its path.
    """
    try:
        document = json.loads(pathlib.Path(path).read_text())
    except (OSError, ValueError, RecursionError) as error:
        raise core.SettingsError(path, [f'{error} @ $']) from error
    return parse(document, path)


def parse(document: Any, name: str = 'settings') -> Settings:
    """Validate a document and return it as settings.

    Raises SettingsError, which lists every mistake with its path.
    """
    settings, mistakes = core.check(document, Settings, _mistakes)
    if mistakes:
        raise core.SettingsError(name, mistakes)
    return settings


def _mistakes(settings: Settings) -> Any:
    if not settings.data_centre:
        yield 'must not be empty @ $.data_centre'
    if not settings.platform_url.startswith(('http://', 'https://')):
        yield 'must be an HTTP URL @ $.platform_url'
    if len(settings.cluster_token) < MIN_TOKEN_LENGTH:
        yield f'needs {MIN_TOKEN_LENGTH} characters @ $.cluster_token'
    if not 0 <= settings.listen.port <= 65535:
        yield 'must be 0 to 65535 @ $.listen.port'
    if settings.slices < 1:
        yield 'must be 1 or more @ $.slices'
    for name, digest in settings.operators.items():
        if not SHA256.fullmatch(digest):
            yield f'not a SHA-256 in hexadecimal @ $.operators.{name}'
    if settings.log.format not in ('text', 'json'):
        yield "must be 'text' or 'json' @ $.log.format"
    if settings.log.level not in ('DEBUG', 'INFO', 'WARNING', 'ERROR'):
        yield 'must be DEBUG, INFO, WARNING or ERROR @ $.log.level'
    if settings.statsd is not None:
        if not 1 <= settings.statsd.port <= 65535:
            yield 'must be 1 to 65535 @ $.statsd.port'
        if not settings.statsd.flush_s > 0:
            yield 'must be above 0 @ $.statsd.flush_s'
    yield from _check_positive(settings.timing, '$.timing')
    yield from _check_positive(settings.bounds, '$.bounds')
    if settings.bounds.max_head_bytes < settings.bounds.max_header_bytes:
        yield 'must be max_header_bytes at least @ $.bounds.max_head_bytes'
    if settings.timing.node_renew_s * 2 > settings.timing.node_lease_s:
        yield 'must be half of node_lease_s at most @ $.timing.node_renew_s'


def _check_positive(section: Any, path: str) -> Any:
    for field in attrs.fields(type(section)):
        if not getattr(section, field.name) > 0:
            yield f'must be above 0 @ {path}.{field.name}'
