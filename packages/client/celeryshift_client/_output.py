"""Output of the command line, as indented text or as JSON."""

import json
from typing import Any

INDENT = '  '


def format_document(document: Any, as_json: bool) -> str:
    """Return a document as JSON, or as indented lines."""
    if as_json:
        return json.dumps(document, indent=2, sort_keys=True) + '\n'
    if isinstance(document, str):
        return document if document.endswith('\n') else f'{document}\n'
    return ''.join(f'{line}\n' for line in _format_lines(document, ''))


def _format_lines(value: Any, indent: str) -> list[str]:
    if isinstance(value, dict):
        return _format_entries(value.items(), indent)
    if isinstance(value, list):
        lines = []
        for item in value:
            first, *rest = _format_lines(item, indent + INDENT) or ['']
            lines += [f'{indent}- {first.strip()}', *rest]
        return lines
    return [f'{indent}{_format_scalar(value)}']


def _format_entries(items: Any, indent: str) -> list[str]:
    lines = []
    for key, value in items:
        if isinstance(value, (dict, list)) and value:
            lines.append(f'{indent}{key}:')
            lines += _format_lines(value, indent + INDENT)
        elif value != '':
            lines.append(f'{indent}{key}: {_format_scalar(value)}')
    return lines


def _format_scalar(value: Any) -> str:
    if value in ({}, []):
        return 'none'
    return value if isinstance(value, str) else json.dumps(value)
