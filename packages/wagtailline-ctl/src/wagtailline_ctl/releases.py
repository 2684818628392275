"""Releases in a directory whose files are the values of the source."""

import os
from pathlib import Path
from typing import NamedTuple

from result import Err, Ok, Result

from wagtailline.objects import ObjectId, PublishedObject
from wagtailline.release import (
    HEAD_KEY,
    Head,
    MalformedContent,
    Release,
    ReleaseFailure,
    bucket_key,
    decode_bucket,
    decode_head,
    encode_head,
    unpack_object,
)


class PublishedVersion(NamedTuple):
    """The head and the objects of the version in a directory."""

    head: Head | None
    objects: dict[ObjectId, PublishedObject]


def write_release(directory: Path, release: Release) -> None:
    """Write the buckets and packs, then replace the head atomically."""
    for digest, content in release.buckets.items():
        path = directory / bucket_key(digest)
        path.parent.mkdir(parents=True, exist_ok=True)
        if not path.exists():
            _replace_file(path, content)
    _replace_file(directory / HEAD_KEY, encode_head(release.head))


def read_release(directory: Path) -> Result[PublishedVersion, ReleaseFailure]:
    """Return the version in a directory; it is empty if there is no head."""
    path = directory / HEAD_KEY
    if not path.exists():
        return Ok(PublishedVersion(None, {}))
    match decode_head(path.read_bytes()):
        case Ok(head):
            return _read_objects(directory, head)
        case Err(failure):
            return Err(failure)
    raise AssertionError(path)


def _read_objects(
    directory: Path, head: Head
) -> Result[PublishedVersion, ReleaseFailure]:
    objects: dict[ObjectId, PublishedObject] = {}
    for digest in head.buckets:
        path = directory / bucket_key(digest)
        if not path.exists():
            return Err(MalformedContent(f'bucket {digest.hex()} is missing'))
        match decode_bucket(path.read_bytes(), digest):
            case Ok(packed_objects):
                for packed in packed_objects:
                    unpacked = unpack_object(packed)
                    if isinstance(unpacked, Err):
                        return unpacked
                    objects[packed[0], packed[1]] = unpacked.ok_value
            case Err(failure):
                return Err(failure)
    return Ok(PublishedVersion(head, objects))


def _replace_file(path: Path, content: bytes) -> None:
    """Write a file so that a reader sees its old or its new content."""
    path.parent.mkdir(parents=True, exist_ok=True)
    temporary = path.with_name(f'.{path.name}.new')
    temporary.write_bytes(content)
    os.replace(temporary, path)
