"""Types of the release format."""

from collections.abc import Mapping
from typing import NamedTuple

PackedObject = tuple[str, str, bytes]
"""The kind, the name and the msgpack-encoded fields of an object."""


class Delta(NamedTuple):
    """The objects that changed or were removed since the parent version."""

    parent_digest: bytes
    version: int
    digest: bytes
    changed: tuple[PackedObject, ...]
    removed: tuple[tuple[str, str], ...]


class Head(NamedTuple):
    """The description of a version: its digest and those of its buckets.

    ``delta`` is the change from the parent, and ``earlier`` are the deltas
    that lead to the parent, oldest first. ``packs`` are the digests of packs,
    which are values that contain many consecutive buckets each.
    """

    version: int
    parent_digest: bytes
    digest: bytes
    buckets: tuple[bytes, ...]
    delta: Delta | None = None
    earlier: tuple[Delta, ...] = ()
    packs: tuple[bytes, ...] = ()


class Release(NamedTuple):
    """A head, and the encoded buckets and packs of its version by digest."""

    head: Head
    buckets: Mapping[bytes, bytes]


class ValueTooLarge(NamedTuple):
    """A bucket whose size in bytes exceeds what the source accepts."""

    key: str
    size: int


class MalformedContent(NamedTuple):
    """Content that cannot be decoded or breaks a rule of the format."""

    problem: str


class DigestMismatch(NamedTuple):
    """Content whose digest differs from the expected one."""

    expected: bytes
    found: bytes


class WrongParent(NamedTuple):
    """A delta whose parent is not the version that it is applied to."""

    expected: bytes
    found: bytes


class BucketMissing(NamedTuple):
    """A bucket of the version that is neither known nor fetched."""

    digest: bytes


ReleaseFailure = MalformedContent | DigestMismatch | WrongParent | BucketMissing
