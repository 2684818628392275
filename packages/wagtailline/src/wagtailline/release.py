"""Releases: the head, buckets and deltas of a published set.

A set is hashed into buckets whose digests make up the digest of the set, so
that a delta can be checked by rehashing only the buckets that it touches.
"""

from collections.abc import Iterable, Mapping
from hashlib import blake2b
from typing import NamedTuple

import msgpack
import msgspec
from result import Err, Ok, Result

from wagtailline.objects import KINDS, ObjectId, ObjectMap, PublishedObject

BUCKET_COUNT = 256
DIGEST_BYTES = 16
MAX_VALUE_BYTES = 1_000_000
MAX_INLINE_DELTA_BYTES = 32 * 1024
HEAD_KEY = 'head'
EMPTY_DIGEST = b''

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
    """Names a version and the digests of its buckets."""

    version: int
    parent_digest: bytes
    digest: bytes
    buckets: tuple[bytes, ...]
    delta: Delta | None = None


class Release(NamedTuple):
    """A head and its encoded buckets by digest."""

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


ReleaseFailure = MalformedContent | DigestMismatch | WrongParent


def bucket_key(digest: bytes) -> str:
    """Return the key of the source that holds a bucket."""
    return f'bucket/{digest.hex()}'


def bucket_index(identity: ObjectId) -> int:
    """Return the bucket that an object belongs to."""
    name = '/'.join(identity).encode()
    return blake2b(name, digest_size=1).digest()[0]


def pack_object(identity: ObjectId, published: PublishedObject) -> PackedObject:
    """Return the canonical form of an object."""
    fields = tuple(
        dict(sorted(field.items())) if isinstance(field, dict) else field
        for field in published
    )
    return identity[0], identity[1], msgpack.packb(fields)


def unpack_object(
    packed: PackedObject,
) -> Result[PublishedObject, MalformedContent]:
    """Return the typed object of its canonical form."""
    if packed[0] not in KINDS:
        return Err(MalformedContent(f'unknown kind {packed[0]}'))
    try:
        return Ok(msgspec.convert(msgpack.unpackb(packed[2]), KINDS[packed[0]]))
    except (ValueError, msgspec.ValidationError) as problem:
        return Err(MalformedContent(str(problem)))


def split_buckets(objects: ObjectMap) -> list[bytes]:
    """Return the encoded buckets of a set, by bucket index."""
    members: list[list[PackedObject]] = [[] for _ in range(BUCKET_COUNT)]
    for identity, published in objects.items():
        members[bucket_index(identity)].append(pack_object(identity, published))
    return [encode_bucket(packed) for packed in members]


def encode_bucket(packed: Iterable[PackedObject]) -> bytes:
    """Return the canonical bytes of a bucket."""
    encoded: bytes = msgpack.packb(sorted(packed))
    return encoded


def digest_content(content: bytes) -> bytes:
    """Return the digest that addresses a bucket."""
    return blake2b(content, digest_size=DIGEST_BYTES).digest()


def digest_set(bucket_digests: Iterable[bytes]) -> bytes:
    """Return the digest of a set from those of its buckets."""
    return digest_content(b''.join(bucket_digests))


def build_release(
    objects: ObjectMap, parent: Head | None, parent_objects: ObjectMap
) -> Result[Release, tuple[ValueTooLarge, ...]]:
    """Make the release that follows the parent."""
    encoded = split_buckets(objects)
    digests = tuple(digest_content(content) for content in encoded)
    delta = make_delta(parent, parent_objects, objects, digest_set(digests))
    head = Head(
        version=parent.version + 1 if parent else 1,
        parent_digest=parent.digest if parent else EMPTY_DIGEST,
        digest=digest_set(digests),
        buckets=digests,
        delta=delta if _fits_inline(delta) else None,
    )
    oversized = tuple(
        ValueTooLarge(bucket_key(digest), len(content))
        for digest, content in zip(digests, encoded, strict=True)
        if len(content) > MAX_VALUE_BYTES
    )
    if oversized:
        return Err(oversized)
    return Ok(Release(head, dict(zip(digests, encoded, strict=True))))


def make_delta(
    parent: Head | None,
    parent_objects: ObjectMap,
    objects: ObjectMap,
    digest: bytes,
) -> Delta | None:
    """Return the changes since the parent, None without a parent."""
    if parent is None:
        return None
    changed = tuple(
        pack_object(identity, published)
        for identity, published in objects.items()
        if parent_objects.get(identity) != published
    )
    removed = tuple(name for name in parent_objects if name not in objects)
    return Delta(parent.digest, parent.version + 1, digest, changed, removed)


def encode_head(head: Head) -> bytes:
    """Return the bytes of a head as the source holds them."""
    encoded: bytes = msgpack.packb(head)
    return encoded


def decode_head(content: bytes) -> Result[Head, MalformedContent]:
    """Return the head, or what is wrong with the bytes."""
    try:
        head = msgspec.convert(msgpack.unpackb(content), Head)
    except (ValueError, msgspec.ValidationError) as problem:
        return Err(MalformedContent(str(problem)))
    if len(head.buckets) != BUCKET_COUNT or head.version < 1:
        return Err(MalformedContent('wrong bucket count or version'))
    return Ok(head)


def decode_bucket(
    content: bytes, digest: bytes
) -> Result[tuple[PackedObject, ...], ReleaseFailure]:
    """Return the packed objects of a bucket whose digest matches."""
    found = digest_content(content)
    if found != digest:
        return Err(DigestMismatch(digest, found))
    try:
        packed = msgspec.convert(
            msgpack.unpackb(content), tuple[PackedObject, ...]
        )
    except (ValueError, msgspec.ValidationError) as problem:
        return Err(MalformedContent(str(problem)))
    return Ok(packed)


def _fits_inline(delta: Delta | None) -> bool:
    if delta is None:
        return False
    return len(msgpack.packb(delta)) <= MAX_INLINE_DELTA_BYTES
