"""Values that another writer may leave where a sound one is expected."""

import random
from typing import Any

# Depth that the JSON decoder accepts, and numbers beyond 64 bits or the range
# of the field.
DEPTH = 1000
DIGITS = 5000
NUMBERS = ('1e300', '-1e300', '1e999', '1.5e20', str(2**64), '9' * DIGITS)
ENTRY_FIELDS = (
    'address',
    'born',
    'capacity',
    'clock_ms',
    'cold_remaining_ms',
    'labels',
    'remaining_ms',
    'service',
    'state',
    'zone',
)
ADDRESSES = (
    '127.0.0.1:0',
    '127.0.0.1:99999',
    f'127.0.0.1:{"1" * DIGITS}',
    '127.0.0.1:-1',
    ':80',
    '',
)


def nested(depth: int = DEPTH) -> str:
    """Return a list in a list, and so on, in JSON."""
    return '[' * depth + ']' * depth


def texts() -> tuple[str, ...]:
    """Return values in JSON that no field may have."""
    nested_objects = '{"a":' * DEPTH + '1' + '}' * DEPTH
    addresses = tuple(f'"{address}"' for address in ADDRESSES)
    return (nested(), nested_objects, 'true', '"x"', *NUMBERS, *addresses)


def replace(entry: dict[str, str], field: str, value: str) -> bytes:
    """Return an object, given by its fields in JSON, with another value."""
    fields = {**entry, field: value}
    return _join(fields)


def _join(fields: dict[str, str]) -> bytes:
    pairs = ','.join(f'"{name}":{value}' for name, value in fields.items())
    return f'{{{pairs}}}'.encode()


def draw(generator: random.Random, entry: dict[str, Any]) -> bytes:
    """Return an entry, given by its fields in JSON, with an odd value."""
    field = generator.choice(ENTRY_FIELDS)
    return replace(entry, field, generator.choice(texts()))
