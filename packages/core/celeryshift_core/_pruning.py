"""Removal of invalid parts of a document, so that the rest can be checked.

The patterns match the messages of `cattrs.transform_error`, each of which
ends with the path of the mistake.
"""

import copy
import re
from typing import Any

EXTRA_FIELDS = re.compile(r'extra fields found \((.*)\)$')
MISSING_FIELD = 'required field missing'
PATH_STEP = re.compile(r"\.(\w+)|\['(.*?)'\](?=[.\[]|$)|\[(\d+)\]")


def prune(document: Any, mistakes: tuple[str, ...]) -> Any:
    """Return a copy of a document without the parts that have mistakes."""
    pruned = copy.deepcopy(document)
    # In reverse, so that the list indices in earlier paths remain valid.
    for mistake in reversed(mistakes):
        error, _, path = mistake.rpartition(' @ $')
        steps = _steps(path)
        extra = EXTRA_FIELDS.match(error)
        if extra is not None:
            for name in extra.group(1).split(', '):
                _remove(pruned, [*steps, name])
        elif error == MISSING_FIELD:
            _remove(pruned, steps[:-1])
        else:
            _remove(pruned, steps)
    return pruned


def _steps(path: str) -> list[Any]:
    return [
        int(number) if number else field or key
        for field, key, number in PATH_STEP.findall(path)
    ]


def _remove(document: Any, steps: list[Any]) -> None:
    if not steps:
        return
    for step in steps[:-1]:
        try:
            document = document[step]
        except (KeyError, IndexError, TypeError):
            return
    last = steps[-1]
    if isinstance(document, dict):
        document.pop(last, None)
    elif isinstance(document, list) and last < len(document):
        del document[last]
