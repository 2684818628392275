"""Encoding and decoding of releases: heads, buckets, packs and deltas.

Each object belongs to the bucket given by the hash of its name. The digest of
a set is computed from the digests of its buckets, so a delta is verified by
hashing only the buckets it changes. A pack contains many consecutive buckets,
so that a whole set is fetched with a few calls to the source.
"""

import sys
from collections.abc import Iterable
from hashlib import blake2b

import msgpack
import msgspec
from result import Err, Ok, Result

from wagtailline._release_limits import (
    BUCKET_COUNT,
    BUCKETS_PER_PACK,
    DIGEST_BYTES,
    EMPTY_DIGEST,
    MAX_EARLIER_DELTA_BYTES,
    MAX_INLINE_DELTA_BYTES,
    MAX_VALUE_BYTES,
)
from wagtailline._release_types import (
    Delta,
    DigestMismatch,
    Head,
    MalformedContent,
    PackedObject,
    Release,
    ReleaseFailure,
    ValueTooLarge,
)
from wagtailline.objects import KINDS, ObjectId, ObjectMap, PublishedObject


def bucket_key(digest: bytes) -> str:
    """Return the key under which the source stores a bucket or a pack."""
    return f'bucket/{digest.hex()}'


def bucket_index(identity: ObjectId) -> int:
    """Return the index of the bucket that an object belongs to."""
    name = '/'.join(identity).encode()
    return blake2b(name, digest_size=1).digest()[0]


def pack_object(identity: ObjectId, published: PublishedObject) -> PackedObject:
    """Return the canonical encoding of an object, with sorted mappings."""
    fields = tuple(
        dict(sorted(field.items())) if isinstance(field, dict) else field
        for field in published
    )
    return identity[0], identity[1], msgpack.packb(fields)


def unpack_object(
    packed: PackedObject,
) -> Result[PublishedObject, MalformedContent]:
    """Decode an object and check its type and name."""
    if packed[0] not in KINDS:
        return Err(MalformedContent(f'unknown kind {packed[0]}'))
    try:
        fields = [_intern_string(field) for field in msgpack.unpackb(packed[2])]
        published = msgspec.convert(fields, KINDS[packed[0]])
    except (ValueError, msgspec.ValidationError) as error:
        return Err(MalformedContent(f'{packed[0]}/{packed[1]}: {error}'))
    if published.name != packed[1]:
        return Err(MalformedContent(f'{packed[0]}/{packed[1]}: other name'))
    return Ok(published)


def _intern_string(field: object) -> object:
    """Return a string interned, because many objects repeat the same names."""
    return sys.intern(field) if isinstance(field, str) else field


def split_into_buckets(objects: ObjectMap) -> list[bytes]:
    """Return the encoded buckets of a set in the order of their indexes."""
    members: list[list[PackedObject]] = [[] for _ in range(BUCKET_COUNT)]
    for identity, published in objects.items():
        members[bucket_index(identity)].append(pack_object(identity, published))
    return [encode_bucket(packed_objects) for packed_objects in members]


def encode_bucket(packed_objects: Iterable[PackedObject]) -> bytes:
    """Return the canonical encoding of a bucket, with its objects sorted."""
    encoded: bytes = msgpack.packb(sorted(packed_objects))
    return encoded


def digest_content(content: bytes) -> bytes:
    """Return the BLAKE2b digest of an encoded bucket or pack."""
    return blake2b(content, digest_size=DIGEST_BYTES).digest()


def digest_set(bucket_digests: Iterable[bytes]) -> bytes:
    """Return the digest of a set, computed from the digests of its buckets."""
    return digest_content(b''.join(bucket_digests))


def build_release(
    objects: ObjectMap, parent: Head | None, parent_objects: ObjectMap
) -> Result[Release, tuple[ValueTooLarge, ...]]:
    """Build the version after the parent, or version 1 without a parent.

    Fails if a bucket exceeds ``MAX_VALUE_BYTES``.
    """
    encoded = split_into_buckets(objects)
    digests = tuple(digest_content(content) for content in encoded)
    delta = make_delta(parent, parent_objects, objects, digest_set(digests))
    packs = _pack_buckets(encoded)
    inline = delta if _fits_inline(delta) else None
    head = Head(
        version=parent.version + 1 if parent else 1,
        parent_digest=parent.digest if parent else EMPTY_DIGEST,
        digest=digest_set(digests),
        buckets=digests,
        delta=inline,
        earlier=_earlier_deltas(parent) if parent and inline else (),
        packs=tuple(packs),
    )
    oversized = tuple(
        ValueTooLarge(bucket_key(digest), len(content))
        for digest, content in zip(digests, encoded, strict=True)
        if len(content) > MAX_VALUE_BYTES
    )
    if oversized:
        return Err(oversized)
    buckets_by_digest = dict(zip(digests, encoded, strict=True))
    return Ok(Release(head, buckets_by_digest | packs))


def decode_pack(
    content: bytes, digest: bytes
) -> Result[dict[bytes, bytes], ReleaseFailure]:
    """Verify the digest of a pack and return its buckets by their digests."""
    found = digest_content(content)
    if found != digest:
        return Err(DigestMismatch(digest, found))
    try:
        buckets = msgspec.convert(msgpack.unpackb(content), tuple[bytes, ...])
    except (ValueError, msgspec.ValidationError) as error:
        return Err(MalformedContent(str(error)))
    return Ok({digest_content(bucket): bucket for bucket in buckets})


def make_delta(
    parent: Head | None,
    parent_objects: ObjectMap,
    objects: ObjectMap,
    digest: bytes,
) -> Delta | None:
    """Return the delta from the parent; None if there is no parent."""
    if parent is None:
        return None
    changed = tuple(
        pack_object(identity, published)
        for identity, published in objects.items()
        if parent_objects.get(identity) != published
    )
    removed = tuple(
        former_id for former_id in parent_objects if former_id not in objects
    )
    return Delta(parent.digest, parent.version + 1, digest, changed, removed)


def encode_head(head: Head) -> bytes:
    """Return the encoding of a head, as the source stores it."""
    encoded: bytes = msgpack.packb(head)
    return encoded


def decode_head(content: bytes) -> Result[Head, MalformedContent]:
    """Decode a head and check its version and number of buckets."""
    try:
        head = msgspec.convert(msgpack.unpackb(content), Head)
    except (ValueError, msgspec.ValidationError) as error:
        return Err(MalformedContent(str(error)))
    if len(head.buckets) != BUCKET_COUNT or head.version < 1:
        return Err(MalformedContent('wrong bucket count or version'))
    return Ok(head)


def decode_bucket(
    content: bytes, digest: bytes
) -> Result[tuple[PackedObject, ...], ReleaseFailure]:
    """Verify the digest of a bucket and return its encoded objects."""
    found = digest_content(content)
    if found != digest:
        return Err(DigestMismatch(digest, found))
    try:
        packed_objects = msgspec.convert(
            msgpack.unpackb(content), tuple[PackedObject, ...]
        )
    except (ValueError, msgspec.ValidationError) as error:
        return Err(MalformedContent(str(error)))
    return Ok(packed_objects)


def list_deltas(head: Head) -> tuple[Delta, ...]:
    """Return the deltas that a head carries, oldest first."""
    return (*head.earlier, head.delta) if head.delta else ()


def encoded_delta_size(delta: Delta) -> int:
    """Return the size of an encoded delta in bytes."""
    return len(msgpack.packb(delta))


def _fits_inline(delta: Delta | None) -> bool:
    """Return whether there is a delta that is small enough for the head."""
    if delta is None:
        return False
    return encoded_delta_size(delta) <= MAX_INLINE_DELTA_BYTES


def _earlier_deltas(parent: Head) -> tuple[Delta, ...]:
    """Return the newest deltas of the parent that fit the size limit."""
    newest_first: list[Delta] = []
    remaining_bytes = MAX_EARLIER_DELTA_BYTES
    for delta in reversed(list_deltas(parent)):
        remaining_bytes -= encoded_delta_size(delta)
        if remaining_bytes < 0:
            break
        newest_first.append(delta)
    return tuple(reversed(newest_first))


def _pack_buckets(encoded: list[bytes]) -> dict[bytes, bytes]:
    """Return the packs of consecutive buckets by digest."""
    packs = [
        msgpack.packb(encoded[start : start + BUCKETS_PER_PACK])
        for start in range(0, BUCKET_COUNT, BUCKETS_PER_PACK)
    ]
    # Without packs, readers fetch the buckets one by one.
    if max(map(len, packs)) > MAX_VALUE_BYTES:
        return {}
    return {digest_content(pack): pack for pack in packs}
