"""JSON encoding of the objects of the core."""

from typing import Any

import celeryshift_core as core
from celeryshift_core import events
from celeryshift_core import messages

# Largest amount of a resource that is accepted.
MAX_AMOUNT = 2**53

MESSAGES_BY_NAME: dict[str, type] = {
    kind.__name__: kind for kind in messages.ALL
}


def decode_vm(document: dict[str, Any]) -> events.Vm:
    """Decode a VM of the platform's list."""
    return core.structure(document, events.Vm)


def decode_task_report(document: dict[str, Any]) -> events.TaskReport:
    """Decode a worker's report on a task."""
    return events.TaskReport(
        document['id'],
        events.TaskPhase(document['phase']),
        document['kind'],
        document['team'],
        _decode_size(document['size']),
        document['request'],
        _decode_size({'slots': 0, **document.get('used', {})}),
    )


def _decode_size(document: dict[str, Any]) -> core.Size:
    for amount in document.values():
        if isinstance(amount, bool) or not isinstance(amount, int | float):
            raise TypeError(f'{type(amount).__name__} is no amount')
        if not 0 <= amount <= MAX_AMOUNT:
            raise ValueError('an amount is out of range')
    return core.Size(**document)


def decode_sync(
    document: dict[str, Any],
) -> tuple[str, bool, list[events.TaskReport]]:
    """Decode the cursor and the reports of a worker.

    Also returns whether all its tasks are listed.
    """
    cursor, whole = document['cursor'], document['whole']
    if not isinstance(cursor, str) or not isinstance(whole, bool):
        raise TypeError(f'{cursor!r}, {whole!r} are no cursor and flag')
    return cursor, whole, [decode_task_report(t) for t in document['tasks']]


def encode_size(value: core.Size) -> dict[str, int]:
    """Encode a size."""
    return {
        'slots': value.slots,
        'cpu_milli': value.cpu_milli,
        'memory_mb': value.memory_mb,
        'accelerators': value.accelerators,
    }


def encode_message(value: Any) -> dict[str, Any]:
    """Encode a message to a peer."""
    return {'type': type(value).__name__, 'body': core.unstructure(value)}


def decode_message(document: dict[str, Any]) -> Any:
    """Decode a message from a peer."""
    kind = MESSAGES_BY_NAME[document['type']]
    return core.structure(document['body'], kind)


def decode_refusal(document: dict[str, Any]) -> core.Refusal:
    """Decode a refusal from the problem document of a peer."""
    name = document['type'].rpartition(':')[2]
    return core.Refusal(
        core.Reason(name),
        core.Ran(document['ran']),
        document.get('retry_after_s'),
        document.get('detail', ''),
    )
