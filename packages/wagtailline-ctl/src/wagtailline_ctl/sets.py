"""Reads object sets from JSON files and checks them as a whole."""

import json
from pathlib import Path
from typing import NamedTuple

from result import Err, Ok, Result

from wagtailline.checks import SetFault, check_set
from wagtailline.objects import (
    DuplicateObject,
    ObjectId,
    ParseFault,
    PublishedObject,
    parse_objects,
)


class FileUnreadable(NamedTuple):
    """A file that can't be read or holds no JSON."""

    path: str
    problem: str


Fault = FileUnreadable | ParseFault | SetFault
Objects = dict[ObjectId, PublishedObject]


class FileFault(NamedTuple):
    """A fault and the file it is in; empty when it spans files."""

    path: str
    fault: Fault


def load_set(path: Path) -> Result[Objects, tuple[FileFault, ...]]:
    """Read a file, or all ``*.json`` files of a directory, as one set."""
    faults: list[FileFault] = []
    objects: Objects = {}
    paths = sorted(path.glob('*.json')) if path.is_dir() else [path]
    for one in paths:
        match _load_file(one):
            case Ok(found):
                faults.extend(_merge(objects, found, str(one)))
            case Err(problems):
                faults.extend(FileFault(str(one), fault) for fault in problems)
    if not faults:
        faults.extend(FileFault('', fault) for fault in check_set(objects))
    return Err(tuple(faults)) if faults else Ok(objects)


def _load_file(path: Path) -> Result[Objects, tuple[Fault, ...]]:
    try:
        raw = json.loads(path.read_bytes())
    except (OSError, ValueError) as problem:
        return Err((FileUnreadable(str(path), str(problem)),))
    match parse_objects(raw):
        case Ok(objects):
            return Ok(objects)
        case Err(faults):
            return Err(faults)
    raise AssertionError(path)


def _merge(objects: Objects, found: Objects, path: str) -> list[FileFault]:
    faults = [
        FileFault(path, DuplicateObject(*identity))
        for identity in found
        if identity in objects
    ]
    objects.update(found)
    return faults
