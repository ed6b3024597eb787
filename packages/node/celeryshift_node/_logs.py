"""Log output, as text or as JSON."""

import contextlib
import json
from typing import Any

import logbook
from logbook import compat

from celeryshift_node import _settings


class JsonFormatter:
    """Formatter of records as one JSON object per line."""

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
    """Formatter of records as one line of text each."""

    def __call__(
        self, record: logbook.LogRecord, handler: logbook.Handler
    ) -> str:
        fields = ''.join(
            f' {k}={_quote_if_needed(v)}' for k, v in record.extra.items()
        )
        at = record.time.isoformat(timespec='milliseconds')
        line = f'{at} {record.level_name} {record.message}{fields}'
        trace = record.formatted_exception
        return f'{line}\n{trace}' if trace else line


def make_handler(settings: _settings.Log) -> logbook.Handler:
    """Return the handler that writes log lines to standard error."""
    stderr_handler = logbook.StderrHandler(level=settings.level)
    is_json = settings.format == 'json'
    stderr_handler.formatter = JsonFormatter() if is_json else TextFormatter()
    return stderr_handler


@contextlib.contextmanager
def log_to_stderr(settings: _settings.Log) -> Any:
    """Log to standard error, including records of the logging module."""
    redirected = compat.redirected_logging(set_root_logger_level=False)
    with make_handler(settings).applicationbound(), redirected:
        yield


def _quote_if_needed(value: Any) -> str:
    # An unquoted value with blanks would read as several fields.
    text = value if isinstance(value, str) else json.dumps(value, default=str)
    is_unambiguous = text.isprintable() and ' ' not in text and text
    return text if is_unambiguous else json.dumps(text)
