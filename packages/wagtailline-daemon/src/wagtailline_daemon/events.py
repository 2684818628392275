"""Structured logs: one key=value line for each event."""

import logging
import re
import sys
from collections.abc import Mapping
from typing import Any, NamedTuple, Protocol

from pythonjsonlogger.core import BaseJsonFormatter

_LOGGER_NAME = 'wagtailline'
_WORD_START = re.compile('(?<!^)(?=[A-Z])')
_PLAIN = re.compile(r'^[\w.:/@+-]+$')


class Event(NamedTuple):
    """A named event with its fields, as it goes to the log."""

    name: str
    fields: Mapping[str, object]


class KeyValueFormatter(BaseJsonFormatter):
    """Renders the fields of a record as key=value pairs."""

    def __init__(self) -> None:
        """Take time, level and event from the record itself."""
        super().__init__(
            '{asctime}{levelname}{message}',
            style='{',
            rename_fields={
                'asctime': 'time',
                'levelname': 'level',
                'message': 'event',
            },
        )

    def jsonify_log_record(self, log_data: Mapping[str, Any]) -> str:
        """Return one line; values with spaces are quoted."""
        return ' '.join(
            f'{name}={_quote(field)}' for name, field in log_data.items()
        )


class Output(Protocol):
    """Text output of log lines."""

    def write(self, text: str, /) -> object:
        """Write one line."""

    def flush(self) -> object:
        """Write what is held back."""


class EventLog:
    """Writes typed events; the class name gives the stable event name."""

    def __init__(self, logger: logging.Logger) -> None:
        """Write to the given logger."""
        self._logger = logger

    def debug(self, event: NamedTuple) -> None:
        """Write an event of interest while searching a fault."""
        self._write(logging.DEBUG, event)

    def info(self, event: NamedTuple) -> None:
        """Write an event of normal operation."""
        self._write(logging.INFO, event)

    def warning(self, event: NamedTuple) -> None:
        """Write an event that an operator may have to act on."""
        self._write(logging.WARNING, event)

    def error(self, event: NamedTuple) -> None:
        """Write an event that shows a broken promise."""
        self._write(logging.ERROR, event)

    def _write(self, level: int, event: NamedTuple) -> None:
        if self._logger.isEnabledFor(level):
            fields = event._asdict()
            self._logger.log(level, event_name(event), extra=fields)


def event_name(event: object) -> str:
    """Return the stable name of an event: its class in snake case."""
    return _WORD_START.sub('_', type(event).__name__).lower()


def open_event_log(level: str, stream: Output | None = None) -> EventLog:
    """Return the log of this process, written to standard error."""
    logger = logging.getLogger(_LOGGER_NAME)
    output = logging.StreamHandler(stream or sys.stderr)
    output.setFormatter(KeyValueFormatter())
    logger.handlers = [output]
    logger.propagate = False
    logger.setLevel(level.upper())
    return EventLog(logger)


def _quote(field: object) -> str:
    text = field if isinstance(field, str) else str(field)
    if _PLAIN.match(text):
        return text
    escaped = text.replace('\\', r'\\').replace('"', r'\"')
    single_line = escaped.replace('\n', r'\n')
    return f'"{single_line}"'
