"""Structured logging: each event is one line of key=value pairs."""

import logging
import re
import sys
from collections.abc import Callable, Mapping
from functools import cache
from typing import Any, NamedTuple, Protocol

from pythonjsonlogger.core import BaseJsonFormatter

_LOGGER_NAME = 'wagtailline'
_WORD_START = re.compile('(?<!^)(?=[A-Z])')
_UNQUOTED_VALUE = re.compile(r'^[\w.:/@+-]+$')


class Event(NamedTuple):
    """A log event: its name and its fields."""

    name: str
    fields: Mapping[str, object]


class KeyValueFormatter(BaseJsonFormatter):
    """Formatter of log records as key=value pairs."""

    def __init__(self) -> None:
        """Set up the names under which time, level and event are written."""
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
        """Return the record as one line, quoting values where needed."""
        return ' '.join(
            f'{name}={_quote(field)}' for name, field in log_data.items()
        )


class TextStream(Protocol):
    """A text stream that log lines can be written to."""

    def write(self, text: str, /) -> object:
        """Write text to the stream."""

    def flush(self) -> object:
        """Flush buffered text."""


def _may_always_write() -> bool:
    """Return True; the default without a limit of the log's rate."""
    return True


class EventLog:
    """Log of typed events, each of which is named after its class."""

    def __init__(
        self,
        logger: logging.Logger,
        may_write: Callable[[], bool] = _may_always_write,
    ) -> None:
        """Take the logger that events are written to.

        ``may_write`` is called for each event and tells whether it is written
        or dropped, before any work is spent on it.
        """
        self._logger = logger
        self._may_write = may_write

    def debug(self, event: NamedTuple) -> None:
        """Log an event that helps to diagnose a fault."""
        self._write(logging.DEBUG, event)

    def info(self, event: NamedTuple) -> None:
        """Log an event of normal operation."""
        self._write(logging.INFO, event)

    def warning(self, event: NamedTuple) -> None:
        """Log an event that an operator may have to act on."""
        self._write(logging.WARNING, event)

    def error(self, event: NamedTuple) -> None:
        """Log an event that violates a guarantee of the system."""
        self._write(logging.ERROR, event)

    def _write(self, level: int, event: NamedTuple) -> None:
        if self._logger.isEnabledFor(level) and self._may_write():
            fields = event._asdict()
            self._logger.log(level, event_name(event), extra=fields)


def event_name(event: object) -> str:
    """Return the name of an event, which is its class name in snake case."""
    return _snake_case(type(event).__name__)


@cache
def _snake_case(name: str) -> str:
    return _WORD_START.sub('_', name).lower()


def open_event_log(
    level: str,
    stream: TextStream | None = None,
    may_write: Callable[[], bool] = _may_always_write,
) -> EventLog:
    """Return the event log, which writes to a stream or standard error."""
    logger = logging.getLogger(_LOGGER_NAME)
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    logger.handlers = [handler]
    logger.propagate = False
    logger.setLevel(level.upper())
    return EventLog(logger, may_write)


def _quote(field: object) -> str:
    text = field if isinstance(field, str) else str(field)
    if _UNQUOTED_VALUE.match(text):
        return text
    escaped = text.replace('\\', r'\\').replace('"', r'\"')
    single_line = escaped.replace('\n', r'\n')
    return f'"{single_line}"'
