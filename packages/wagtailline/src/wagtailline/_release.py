"""Form of a release: the head, buckets and deltas of a published set.

A set is hashed into buckets whose digests make up the digest of the set, so
that a delta can be checked by rehashing only the buckets that it touches.
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
        fields = [_share(field) for field in msgpack.unpackb(packed[2])]
        published = msgspec.convert(fields, KINDS[packed[0]])
    except (ValueError, msgspec.ValidationError) as problem:
        return Err(MalformedContent(f'{packed[0]}/{packed[1]}: {problem}'))
    if published.name != packed[1]:
        return Err(MalformedContent(f'{packed[0]}/{packed[1]}: other name'))
    return Ok(published)


def _share(field: object) -> object:
    """Keep one copy of each string: names stand in many objects."""
    return sys.intern(field) if isinstance(field, str) else field


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
    held = dict(zip(digests, encoded, strict=True))
    return Ok(Release(head, held | packs))


def decode_pack(
    content: bytes, digest: bytes
) -> Result[dict[bytes, bytes], ReleaseFailure]:
    """Return the buckets of a pack by digest."""
    found = digest_content(content)
    if found != digest:
        return Err(DigestMismatch(digest, found))
    try:
        buckets = msgspec.convert(msgpack.unpackb(content), tuple[bytes, ...])
    except (ValueError, msgspec.ValidationError) as problem:
        return Err(MalformedContent(str(problem)))
    return Ok({digest_content(bucket): bucket for bucket in buckets})


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


def chain_of(head: Head) -> tuple[Delta, ...]:
    """Return the deltas of a head, oldest first."""
    return (*head.earlier, head.delta) if head.delta else ()


def size_of_delta(delta: Delta) -> int:
    """Return the bytes of an encoded delta."""
    return len(msgpack.packb(delta))


def _fits_inline(delta: Delta | None) -> bool:
    if delta is None:
        return False
    return size_of_delta(delta) <= MAX_INLINE_DELTA_BYTES


def _earlier_deltas(parent: Head) -> tuple[Delta, ...]:
    kept: list[Delta] = []
    room = MAX_EARLIER_DELTA_BYTES
    for delta in reversed(chain_of(parent)):
        room -= size_of_delta(delta)
        if room < 0:
            break
        kept.append(delta)
    return tuple(reversed(kept))


def _pack_buckets(encoded: list[bytes]) -> dict[bytes, bytes]:
    packs = [
        msgpack.packb(encoded[start : start + BUCKETS_PER_PACK])
        for start in range(0, BUCKET_COUNT, BUCKETS_PER_PACK)
    ]
    # A set beyond the size of a value is fetched bucket by bucket.
    if max(map(len, packs)) > MAX_VALUE_BYTES:
        return {}
    return {digest_content(pack): pack for pack in packs}
