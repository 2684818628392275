"""Rendering of faults and other records as text or as JSON."""

import json
import re
from collections.abc import Iterable
from typing import Any

_WORD_START = re.compile('(?<!^)(?=[A-Z])')


def describe(fault: object) -> str:
    """Return a line with the class name and the fields of a fault."""
    if not isinstance(fault, tuple) or not hasattr(fault, '_asdict'):
        return str(fault)
    name = _WORD_START.sub(' ', type(fault).__name__).lower()
    fields = ', '.join(
        f'{field}={_bytes_to_hex(value)}'
        for field, value in _fields(fault).items()
    )
    return f'{name}: {fields}'


def render_json(records: Iterable[object]) -> str:
    """Return a JSON array of records, each with the name of its class."""
    return json.dumps([_as_json(record) for record in records], indent=2)


def _as_json(record: object) -> Any:
    if isinstance(record, tuple) and hasattr(record, '_asdict'):
        return {
            'type': type(record).__name__,
            **{key: _as_json(field) for key, field in _fields(record).items()},
        }
    return record.hex() if isinstance(record, bytes) else record


def _fields(record: Any) -> dict[str, Any]:
    fields: dict[str, Any] = record._asdict()
    return fields


def _bytes_to_hex(value: object) -> object:
    return value.hex() if isinstance(value, bytes) else value
