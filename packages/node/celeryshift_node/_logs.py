"""Log lines: as text for people, or as JSON."""

import json

import logbook

from celeryshift_node import _settings


class JsonFormatter:
    """Write a record as one JSON object on a line."""

    def __call__(
        self, record: logbook.LogRecord, handler: logbook.Handler
    ) -> str:
        return json.dumps(
            {
                'at': record.time.isoformat(),
                'level': record.level_name,
                'change': record.message,
                'trace': _trace(record),
                **record.extra,
            },
            default=str,
        )


class TextFormatter:
    """Write a record as one line of text."""

    def __call__(
        self, record: logbook.LogRecord, handler: logbook.Handler
    ) -> str:
        fields = ' '.join(f'{k}={v}' for k, v in record.extra.items())
        at = record.time.isoformat(timespec='milliseconds')
        line = f'{at} {record.level_name} {record.message} {fields}'.rstrip()
        return f'{line}\n{trace}' if (trace := _trace(record)) else line


def _trace(record: logbook.LogRecord) -> str | None:
    return record.formatted_exception


def handler(settings: _settings.Log) -> logbook.Handler:
    """Build the handler that writes lines to standard error."""
    made = logbook.StderrHandler(level=settings.level)
    is_json = settings.format == 'json'
    made.formatter = JsonFormatter() if is_json else TextFormatter()
    return made
