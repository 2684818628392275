"""Reading and checking of object sets that are stored as JSON files."""

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
    """A file that cannot be read or is not valid JSON."""

    path: str
    problem: str


Fault = FileUnreadable | ParseFault | SetFault
Objects = dict[ObjectId, PublishedObject]


class FileFault(NamedTuple):
    """A fault and the path of its file.

    The path is empty if the fault was found in the set as a whole.
    """

    path: str
    fault: Fault


def load_set(path: Path) -> Result[Objects, tuple[FileFault, ...]]:
    """Read a file, or all ``*.json`` files of a directory, as one set.

    The set as a whole is checked only if no file has a fault.
    """
    faults: list[FileFault] = []
    objects: Objects = {}
    paths = sorted(path.glob('*.json')) if path.is_dir() else [path]
    for file_path in paths:
        match _load_file(file_path):
            case Ok(found):
                faults.extend(_merge(objects, found, str(file_path)))
            case Err(file_faults):
                faults.extend(
                    FileFault(str(file_path), fault) for fault in file_faults
                )
    if not faults:
        faults.extend(FileFault('', fault) for fault in check_set(objects))
    return Err(tuple(faults)) if faults else Ok(objects)


def _load_file(path: Path) -> Result[Objects, tuple[Fault, ...]]:
    try:
        raw = json.loads(path.read_bytes())
    except (OSError, ValueError) as error:
        return Err((FileUnreadable(str(path), str(error)),))
    match parse_objects(raw):
        case Ok(objects):
            return Ok(objects)
        case Err(faults):
            return Err(faults)
    raise AssertionError(path)


def _merge(objects: Objects, found: Objects, path: str) -> list[FileFault]:
    """Add the objects of a file and return a fault for each duplicate."""
    faults = [
        FileFault(path, DuplicateObject(*identity))
        for identity in found
        if identity in objects
    ]
    objects.update(found)
    return faults
