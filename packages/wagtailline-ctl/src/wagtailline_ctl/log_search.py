"""Finds the decisions about one request in collected logs."""

import re
from collections.abc import Iterable
from typing import NamedTuple

_FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
# Events that name the upstream they are about, beside those of a request.
_INSTANCE_FIELDS = ('instance', 'attempts')


class LogLine(NamedTuple):
    """One event of a log; ``time`` is the clock of the VM that wrote it."""

    time: str
    event: str
    fields: dict[str, str]
    text: str


def parse_line(text: str) -> LogLine | None:
    """Return the event of a line; None when it holds none."""
    fields = {name: field.strip('"') for name, field in _FIELD.findall(text)}
    if 'event' not in fields:
        return None
    time = fields.pop('time', '')
    return LogLine(time, fields.pop('event'), fields, text.strip())


def find_request(lines: Iterable[str], identity: str) -> list[LogLine]:
    """Return the decisions about a request and its calls, in time order.

    Calls of an upstream carry the identity of the request that made them,
    followed by a dot and their own.
    """
    found = [
        line
        for line in map(parse_line, lines)
        if line is not None and _is_about(line, identity)
    ]
    return sorted(found, key=lambda line: line.time)


def instances_of(decisions: Iterable[LogLine]) -> set[str]:
    """Return the upstreams that the decisions name."""
    named: set[str] = set()
    for line in decisions:
        for name in _INSTANCE_FIELDS:
            attempts = line.fields.get(name, '').split(',')
            named.update(one.partition(':')[0] for one in attempts)
    return named - {''}


def find_beliefs(
    lines: Iterable[str], instances: set[str], start: str, end: str
) -> list[LogLine]:
    """Return what was believed of upstreams between two times."""
    found = [
        line
        for line in map(parse_line, lines)
        if line is not None
        and 'request' not in line.fields
        and line.fields.get('instance') in instances
        and start <= line.time <= end
    ]
    return sorted(found, key=lambda line: line.time)


def _is_about(line: LogLine, identity: str) -> bool:
    request = line.fields.get('request', '')
    return request == identity or request.startswith(f'{identity}.')
