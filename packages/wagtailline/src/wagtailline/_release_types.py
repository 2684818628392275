"""Types of the release format."""

from collections.abc import Mapping
from typing import NamedTuple

PackedObject = tuple[str, str, bytes]
"""Kind, name and the msgpack array of the fields of one object."""


class Delta(NamedTuple):
    """What changed between a version and its parent."""

    parent_digest: bytes
    version: int
    digest: bytes
    changed: tuple[PackedObject, ...]
    removed: tuple[tuple[str, str], ...]


class Head(NamedTuple):
    """Names a version and the digests of its buckets.

    ``earlier`` are the deltas that lead to the parent, oldest first. ``packs``
    are the digests of values that hold many buckets each, in order.
    """

    version: int
    parent_digest: bytes
    digest: bytes
    buckets: tuple[bytes, ...]
    delta: Delta | None = None
    earlier: tuple[Delta, ...] = ()
    packs: tuple[bytes, ...] = ()


class Release(NamedTuple):
    """A head, and its encoded buckets and packs by digest."""

    head: Head
    buckets: Mapping[bytes, bytes]


class ValueTooLarge(NamedTuple):
    """A bucket or head exceeds what the source can hold, in bytes."""

    key: str
    size: int


class MalformedContent(NamedTuple):
    """Bytes that are not a head, a bucket or an object."""

    problem: str


class DigestMismatch(NamedTuple):
    """Content whose digest is not the one that was announced."""

    expected: bytes
    found: bytes


class WrongParent(NamedTuple):
    """A delta to another parent than the set at hand."""

    expected: bytes
    found: bytes


class BucketMissing(NamedTuple):
    """A bucket of the version has not been fetched."""

    digest: bytes


ReleaseFailure = MalformedContent | DigestMismatch | WrongParent | BucketMissing
