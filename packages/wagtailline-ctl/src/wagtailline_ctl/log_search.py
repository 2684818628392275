"""Search of collected logs for the events about one request."""

import re
from collections.abc import Iterable
from typing import NamedTuple

_FIELD = re.compile(r'\b(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
# Fields of events that name instances of upstreams. ``attempts`` is a list of
# items ``INSTANCE:OUTCOME:DURATION``, separated by commas.
_INSTANCE_FIELDS = ('instance', 'attempts')


class LogLine(NamedTuple):
    """A log line with an event; ``time`` is by the clock of the logging VM."""

    time: str
    event: str
    fields: dict[str, str]
    text: str


def parse_line(text: str) -> LogLine | None:
    """Return the event that a line contains, or None if there is none."""
    fields = {name: field.strip('"') for name, field in _FIELD.findall(text)}
    if 'event' not in fields:
        return None
    time = fields.pop('time', '')
    return LogLine(time, fields.pop('event'), fields, text.strip())


def find_request(lines: Iterable[str], request_id: str) -> list[LogLine]:
    """Return the events about a request and its calls, ordered by time.

    The id of a call that an upstream makes while it handles a request is the
    id of that request, a dot and an id of the call.
    """
    found = [
        line
        for line in map(parse_line, lines)
        if line is not None and _is_about(line, request_id)
    ]
    return sorted(found, key=lambda line: line.time)


def find_instances(request_events: Iterable[LogLine]) -> set[str]:
    """Return the instances of upstreams that the events of a request name."""
    instance_names: set[str] = set()
    for line in request_events:
        for name in _INSTANCE_FIELDS:
            attempts = line.fields.get(name, '').split(',')
            instance_names.update(
                attempt.partition(':')[0] for attempt in attempts
            )
    return instance_names - {''}


def find_upstream_events(
    lines: Iterable[str], instances: set[str], start: str, end: str
) -> list[LogLine]:
    """Return events that are about upstreams and no request, ordered by time.

    Both ends of the period are included.
    """
    found = [
        line
        for line in map(parse_line, lines)
        if line is not None
        and 'request' not in line.fields
        and line.fields.get('instance') in instances
        and start <= line.time <= end
    ]
    return sorted(found, key=lambda line: line.time)


def _is_about(line: LogLine, request_id: str) -> bool:
    logged_id = line.fields.get('request', '')
    return logged_id == request_id or logged_id.startswith(f'{request_id}.')
