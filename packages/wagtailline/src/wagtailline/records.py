"""Conversion of decoded JSON to typed records, with a list of all faults."""

from collections.abc import Mapping
from functools import cache
from typing import Any, NamedTuple, TypeVar, cast, get_type_hints

import msgspec
from result import Err, Ok, Result


class FieldMissing(NamedTuple):
    """A field without a default is missing."""

    where: str
    field: str


class FieldUnknown(NamedTuple):
    """The JSON object has a field that the record type does not have."""

    where: str
    field: str


class FieldInvalid(NamedTuple):
    """The value of a field has the wrong type or is out of range."""

    where: str
    field: str
    problem: str


class NotAnObject(NamedTuple):
    """A JSON value is not an object (or, for a section, not a list)."""

    where: str


FieldFault = FieldMissing | FieldUnknown | FieldInvalid | NotAnObject
_Record = TypeVar('_Record')


def parse_record(
    record_type: type[_Record], raw: object, where: str
) -> Result[_Record, tuple[FieldFault, ...]]:
    """Return a NamedTuple of the given type with the fields of an object.

    ``raw`` is decoded JSON, and ``where`` names it in faults. The annotations
    give the types, and with ``msgspec.Meta`` the ranges and patterns. The
    error lists every missing, unknown and invalid field.
    """
    if not isinstance(raw, Mapping):
        return Err((NotAnObject(where),))
    field_types = _field_types(cast(Any, record_type))
    faults: list[FieldFault] = [
        FieldUnknown(where, str(name))
        for name in raw
        if name not in field_types
    ]
    fields: dict[str, object] = {}
    for name, field_type in field_types.items():
        if name in raw:
            match _convert_field(raw[name], field_type):
                case Ok(converted):
                    fields[name] = converted
                case Err(problem):
                    faults.append(FieldInvalid(where, name, problem))
        elif name not in cast(Any, record_type)._field_defaults:
            faults.append(FieldMissing(where, name))
    return Err(tuple(faults)) if faults else Ok(record_type(**fields))


@cache
def _field_types(record_type: type[object]) -> dict[str, Any]:
    return get_type_hints(record_type, include_extras=True)


def _convert_field(raw: object, field_type: Any) -> Result[object, str]:
    try:
        return Ok(msgspec.convert(raw, field_type, strict=True))
    except msgspec.ValidationError as error:
        return Err(str(error))
