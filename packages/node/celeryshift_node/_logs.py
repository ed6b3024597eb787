"""Log lines: as text for people, or as JSON."""

import contextlib
import json
from typing import Any

import logbook
from logbook import compat

from celeryshift_node import _settings


class JsonFormatter:
    """Write a record as one JSON object on a line."""

    def __call__(
        self, record: logbook.LogRecord, handler: logbook.Handler
    ) -> str:
        document = {
            **record.extra,
            'at': record.time.isoformat(),
            'level': record.level_name,
            'change': record.message,
        }
        if trace := record.formatted_exception:
            document['trace'] = trace
        return json.dumps(document, default=str)


class TextFormatter:
    """Write a record as one line of text."""

    def __call__(
        self, record: logbook.LogRecord, handler: logbook.Handler
    ) -> str:
        fields = ''.join(f' {k}={_text(v)}' for k, v in record.extra.items())
        at = record.time.isoformat(timespec='milliseconds')
        line = f'{at} {record.level_name} {record.message}{fields}'
        trace = record.formatted_exception
        return f'{line}\n{trace}' if trace else line


def handler(settings: _settings.Log) -> logbook.Handler:
    """Build the handler that writes lines to standard error."""
    made = logbook.StderrHandler(level=settings.level)
    is_json = settings.format == 'json'
    made.formatter = JsonFormatter() if is_json else TextFormatter()
    return made


@contextlib.contextmanager
def writing(settings: _settings.Log) -> Any:
    """Write the lines of this program, and those of its libraries."""
    redirected = compat.redirected_logging(set_root_logger_level=False)
    with handler(settings).applicationbound(), redirected:
        yield


def _text(value: Any) -> str:
    # A value with blanks in it must not look like further fields.
    text = value if isinstance(value, str) else json.dumps(value, default=str)
    is_plain = text.isprintable() and ' ' not in text and text
    return text if is_plain else json.dumps(text)
