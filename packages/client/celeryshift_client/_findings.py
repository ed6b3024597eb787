"""Findings about a valid configuration, and differences between two.

A finding is a warning: the configuration can be put into force, but an entry
of it has no effect, or contradicts another one. This module does no I/O.
"""

from collections.abc import Iterator
import enum
from typing import Any

import attrs

import celeryshift_core as core

HASH_FIELD = 'sha256'
# A validated document does not tell default values from given ones, so a field
# that has no effect is reported only if its value differs from the default.
DEFAULT_KIND = core.Kind('')


class Category(enum.Enum):
    """What is wrong with an entry."""

    NEVER_MATCHES = 'never-matches'
    CONTRADICTION = 'contradiction'


@attrs.frozen
class Finding:
    """A warning about the entry at a path."""

    path: str
    category: Category
    message: str


def find(
    document: dict[str, Any],
    in_force: dict[str, Any] | None = None,
    repeated_paths: tuple[str, ...] = (),
) -> list[Finding]:
    """Return the findings about a validated document, sorted by path.

    The keys in force are taken into account if they are given, since applying
    the document retains them. Raises ConfigurationError if the document is not
    valid together with these keys. `repeated_paths` are entries that the file
    gives several times.
    """
    merged = document if in_force is None else with_keys(document, in_force)
    config = core.parse(merged)
    findings = [
        *(
            _never(path, 'is given more than once; the last one is used')
            for path in repeated_paths
        ),
        *_find_in_sections(config),
        *_find_in_teams(config),
        *_find_in_keys(config, document['keys']),
        *_find_in_upstreams(config),
    ]
    for name, kind in config.kinds.items():
        findings += _find_in_kind(config, f'$.kinds.{name}', kind)
    return sorted(findings, key=lambda finding: finding.path)


def with_keys(
    document: dict[str, Any], in_force: dict[str, Any]
) -> dict[str, Any]:
    """Return the document with the keys in force and all withdrawals."""
    withdrawn = {*document['withdrawn_keys'], *in_force['withdrawn_keys']}
    return {
        **document,
        'keys': {**in_force['keys'], **document['keys']},
        'withdrawn_keys': sorted(withdrawn),
    }


def without_keys(document: dict[str, Any]) -> dict[str, Any]:
    """Return the document without keys, whose hashes must not be shown."""
    hidden = ('version', 'keys', 'withdrawn_keys')
    return {key: document[key] for key in document if key not in hidden}


def changes(
    document: dict[str, Any], in_force: dict[str, Any], has_keys: bool = True
) -> list[dict[str, Any]]:
    """Return the differences that applying a document would make.

    Keys are compared only if those in force are known.
    """
    if not has_keys:
        return differences(without_keys(in_force), without_keys(document))
    return differences(in_force, with_keys(document, in_force))


def differences(
    before: dict[str, Any], after: dict[str, Any]
) -> list[dict[str, Any]]:
    """Return the differences sorted by path, without values of hashes."""
    old, new = (
        dict(_iterate_leaves(before, '$')),
        dict(_iterate_leaves(after, '$')),
    )
    found = []
    for path in sorted(old.keys() | new.keys()):
        if old.get(path) != new.get(path):
            change: dict[str, Any] = {'path': path}
            if not path.endswith(HASH_FIELD):
                change |= {'from': old.get(path), 'to': new.get(path)}
            found.append(change)
    return found


def _find_in_sections(config: core.Config) -> Iterator[Finding]:
    if config.kinds and not config.queues:
        yield _never('$.queues', 'has no queue to which work can be submitted')
    if (config.queues or config.upstreams) and not config.kinds:
        yield _never('$.kinds', 'has no kind of work that can be submitted')


def _find_in_teams(config: core.Config) -> Iterator[Finding]:
    callers = _teams_with_callers(config)
    smallest = min(
        (
            kind.size.slots
            for kind in config.kinds.values()
            if config.takes_work(kind.upstream)
        ),
        default=1,
    )
    for name, team in config.teams.items():
        path = f'$.teams.{name}'
        if config.queues and name not in callers:
            yield _never(path, 'has no open queue, and no key that works')
        if team.limit_slots < smallest:
            yield _contradiction(
                f'{path}.limit_slots',
                f'is below {smallest}, the least that a kind of work needs',
            )


def _find_in_keys(
    config: core.Config, named_keys: dict[str, Any]
) -> Iterator[Finding]:
    # Keys in force that are withdrawn stay listed, so only those that the
    # file names are reported.
    for key_id in named_keys.keys() & {*config.withdrawn_keys}:
        yield _never(f'$.keys.{key_id}', 'is withdrawn, and never works again')
    queues = [
        name
        for name, queue in config.queues.items()
        if queue.access is core.Access.KEY
    ]
    if config.keys and config.queues and not queues:
        yield _never('$.keys', 'no queue requires a key')
    if config.keys and not _working_keys(config):
        for name in queues:
            yield _never(
                f'$.queues.{name}', 'requires a key, and all are withdrawn'
            )


def _find_in_upstreams(config: core.Config) -> Iterator[Finding]:
    used = {kind.upstream for kind in config.kinds.values()}
    if not used:
        # All are unused, which is reported once, for the section `kinds`.
        return
    for name in config.upstreams.keys() - used:
        yield _never(f'$.upstreams.{name}', 'no kind of work names it')


def _find_in_kind(
    config: core.Config, path: str, kind: core.Kind
) -> Iterator[Finding]:
    if not config.takes_work(kind.upstream):
        yield _never(
            f'{path}.upstream',
            f'upstream {kind.upstream!r} is leaving and takes no new work',
        )
    limits = [
        config.teams[name].limit_slots for name in _teams_with_callers(config)
    ]
    if limits and kind.size.slots > max(limits):
        yield _contradiction(
            f'{path}.size.slots',
            f'exceeds the limit of every team, {max(limits)} slots at most',
        )
    if kind.preemptible and not _is_preempted(config, kind.upstream):
        yield _never(
            f'{path}.preemptible',
            f'no urgent kind of upstream {kind.upstream!r} preempts work',
        )
    if kind.preemptible and kind.urgent:
        yield _contradiction(
            f'{path}.preemptible', 'urgent work would be stopped for its like'
        )
    yield from _find_unused_fields(path, kind)


def _find_unused_fields(path: str, kind: core.Kind) -> Iterator[Finding]:
    is_request = kind.policy is core.Policy.REQUEST
    if not is_request and kind.timeout_s != DEFAULT_KIND.timeout_s:
        yield _never(f'{path}.timeout_s', 'applies only to requests')
    if is_request and kind.max_run_s != DEFAULT_KIND.max_run_s:
        yield _never(f'{path}.max_run_s', 'does not apply to requests')
    if kind.max_attempts == DEFAULT_KIND.max_attempts:
        return
    if kind.policy is core.Policy.SERVICE:
        yield _never(
            f'{path}.max_attempts', 'does not apply: services always restart'
        )
    elif kind.max_attempts > 1 and not (is_request or kind.repeatable):
        yield _contradiction(
            f'{path}.max_attempts', 'work that is not repeatable runs once'
        )


def _teams_with_callers(config: core.Config) -> set[str]:
    """Return the teams as which some caller can submit work.

    A configuration without keys says nothing about them, because they are
    granted separately: then all teams may have one.
    """
    queues = config.queues.values()
    teams = {
        queue.team
        for queue in queues
        if queue.access is core.Access.OPEN and queue.team is not None
    }
    if not any(queue.access is core.Access.KEY for queue in queues):
        return teams
    if not config.keys:
        return set(config.teams)
    return teams | {key.team for key in _working_keys(config)}


def _working_keys(config: core.Config) -> list[core.Key]:
    return [
        key
        for key_id, key in config.keys.items()
        if key_id not in config.withdrawn_keys
    ]


def _is_preempted(config: core.Config, upstream: str) -> bool:
    """Return whether work of an upstream may be stopped for urgent work."""
    return any(
        kind.urgent
        and kind.upstream == upstream
        and kind.policy is not core.Policy.GANG
        for kind in config.kinds.values()
    )


def _never(path: str, message: str) -> Finding:
    return Finding(path, Category.NEVER_MATCHES, message)


def _contradiction(path: str, message: str) -> Finding:
    return Finding(path, Category.CONTRADICTION, message)


def _iterate_leaves(value: Any, path: str) -> Any:
    if isinstance(value, dict):
        for key, child in value.items():
            yield from _iterate_leaves(child, f'{path}.{key}')
    else:
        yield path, value
