"""Typed records from untyped JSON, with every fault named."""

from collections.abc import Mapping
from functools import cache
from typing import Any, NamedTuple, TypeVar, cast, get_type_hints

import msgspec
from result import Err, Ok, Result


class FieldMissing(NamedTuple):
    """A field without a default is absent."""

    where: str
    field: str


class FieldUnknown(NamedTuple):
    """A field that the record does not have."""

    where: str
    field: str


class FieldInvalid(NamedTuple):
    """A field of the wrong type or out of its range."""

    where: str
    field: str
    problem: str


class NotAnObject(NamedTuple):
    """A JSON value that should be an object with fields."""

    where: str


FieldFault = FieldMissing | FieldUnknown | FieldInvalid | NotAnObject
_Record = TypeVar('_Record')


def parse_record(
    kind: type[_Record], raw: object, where: str
) -> Result[_Record, tuple[FieldFault, ...]]:
    """Make a NamedTuple of a JSON object.

    Types and ranges come from the annotations (``msgspec.Meta`` for ranges).
    The error lists every missing, unknown and invalid field.
    """
    if not isinstance(raw, Mapping):
        return Err((NotAnObject(where),))
    hints = _hints(cast(Any, kind))
    faults: list[FieldFault] = [
        FieldUnknown(where, str(name)) for name in raw if name not in hints
    ]
    fields: dict[str, object] = {}
    for name, hint in hints.items():
        if name in raw:
            match _convert(raw[name], hint):
                case Ok(converted):
                    fields[name] = converted
                case Err(problem):
                    faults.append(FieldInvalid(where, name, problem))
        elif name not in cast(Any, kind)._field_defaults:
            faults.append(FieldMissing(where, name))
    return Err(tuple(faults)) if faults else Ok(kind(**fields))


@cache
def _hints(kind: type[object]) -> dict[str, Any]:
    return get_type_hints(kind, include_extras=True)


def _convert(raw: object, hint: Any) -> Result[object, str]:
    try:
        return Ok(msgspec.convert(raw, hint, strict=True))
    except msgspec.ValidationError as problem:
        return Err(str(problem))
