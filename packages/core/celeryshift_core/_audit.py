"""Differences between two configurations, for the audit record."""

from collections.abc import Iterator
import itertools

import attrs

from celeryshift_core import _config

MAX_CHANGES = 20


def changes(before: _config.Config, after: _config.Config) -> list[str]:
    """Return the entries that differ, and the count of further ones."""
    found = _changes(before, after)
    listed = list(itertools.islice(found, MAX_CHANGES))
    remaining = sum(1 for _ in found)
    return [*listed, f'{remaining} more'] if remaining else listed


def _changes(before: _config.Config, after: _config.Config) -> Iterator[str]:
    for field in attrs.fields(_config.Config):
        old, new = getattr(before, field.name), getattr(after, field.name)
        if isinstance(old, dict):
            yield from _entries(field.name, old, new)
    for key_id in sorted({*after.withdrawn_keys} - {*before.withdrawn_keys}):
        yield f'keys.{key_id} withdrawn'


def _entries(section: str, old: dict, new: dict) -> Iterator[str]:
    for name in sorted(old.keys() | new.keys()):
        if name not in old:
            yield f'{section}.{name} added'
        elif name not in new:
            yield f'{section}.{name} removed'
        elif old[name] != new[name]:
            yield f'{section}.{name} changed'
