"""A version held in memory as buckets, and its update to a later version."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from result import Err, Ok, Result

from wagtailline._release import (
    bucket_index,
    decode_bucket,
    digest_content,
    digest_set,
    encode_bucket,
    split_into_buckets,
    unpack_object,
)
from wagtailline._release_limits import (
    BUCKET_COUNT,
    EMPTY_DIGEST,
)
from wagtailline._release_types import (
    BucketMissing,
    Delta,
    DigestMismatch,
    Head,
    MalformedContent,
    PackedObject,
    ReleaseFailure,
    WrongParent,
)
from wagtailline.objects import ObjectId, ObjectMap, PublishedObject


class BucketSet(NamedTuple):
    """A verified version: its encoded buckets and their decoded objects.

    ``digests`` and ``encoded`` are in the order of the bucket indexes.
    """

    version: int
    digest: bytes
    digests: tuple[bytes, ...]
    encoded: tuple[bytes, ...]
    objects: ObjectMap


class VersionChange(NamedTuple):
    """A verified version and the ids of objects that differ from its base.

    ``changed`` includes the ids of added and removed objects.
    """

    buckets: BucketSet
    changed: frozenset[ObjectId]


class _Update(NamedTuple):
    """New contents of some buckets, and the objects that they change.

    ``buckets`` maps bucket indexes to the digest and encoding of the bucket.
    """

    buckets: dict[int, tuple[bytes, bytes]]
    changed: dict[ObjectId, PublishedObject]
    removed: frozenset[ObjectId]


_EMPTY_BUCKET = encode_bucket(())
EMPTY_SET = BucketSet(
    0,
    EMPTY_DIGEST,
    (digest_content(_EMPTY_BUCKET),) * BUCKET_COUNT,
    (_EMPTY_BUCKET,) * BUCKET_COUNT,
    {},
)


def make_bucket_set(version: int, objects: ObjectMap) -> BucketSet:
    """Encode a whole set of objects into buckets."""
    encoded = tuple(split_into_buckets(objects))
    digests = tuple(digest_content(content) for content in encoded)
    return BucketSet(version, digest_set(digests), digests, encoded, objects)


def apply_delta(
    base: BucketSet, delta: Delta
) -> Result[BucketSet, ReleaseFailure]:
    """Return the version that a delta leads to; the base is not modified."""
    return apply_deltas(base, (delta,)).map(lambda change: change.buckets)


def apply_deltas(
    base: BucketSet, deltas: Iterable[Delta]
) -> Result[VersionChange, ReleaseFailure]:
    """Return the version that a chain of deltas leads to.

    Only the buckets that the deltas change are hashed. The digest of the set
    is checked after each delta. The base is not modified.
    """
    builder = _BucketSetBuilder(base)
    for delta in deltas:
        update = _prepare_update(builder, delta)
        if isinstance(update, Err):
            return update
        builder.apply(delta.version, delta.digest, update.ok_value)
    return Ok(builder.build())


def missing_buckets(base: BucketSet, head: Head) -> tuple[bytes, ...]:
    """Return the digests of the head's buckets that the base does not have."""
    known_digests = set(base.digests)
    return tuple(
        dict.fromkeys(
            digest for digest in head.buckets if digest not in known_digests
        )
    )


def assemble_buckets(
    base: BucketSet, head: Head, fetched: Mapping[bytes, bytes]
) -> Result[VersionChange, ReleaseFailure]:
    """Build the version of a head from buckets of the base and fetched ones."""
    found = digest_set(head.buckets)
    if found != head.digest:
        return Err(DigestMismatch(head.digest, found))
    builder = _BucketSetBuilder(base)
    known_buckets = dict(zip(base.digests, base.encoded, strict=True))
    for index, digest in enumerate(head.buckets):
        if digest == base.digests[index]:
            continue
        content = known_buckets.get(digest, fetched.get(digest))
        if content is None:
            return Err(BucketMissing(digest))
        update = _replace_bucket(base, index, digest, content)
        if isinstance(update, Err):
            return update
        builder.apply(head.version, head.digest, update.ok_value)
    builder.version, builder.digest = head.version, head.digest
    return Ok(builder.build())


class _BucketSetBuilder:
    """A mutable copy of a version.

    An update is verified before it is applied, so it takes effect as a whole
    or not at all.
    """

    def __init__(self, base: BucketSet) -> None:
        self.version = base.version
        self.digest = base.digest
        self.digests = list(base.digests)
        self.encoded = list(base.encoded)
        self._objects = dict(base.objects)
        self._changed: set[ObjectId] = set()

    def apply(self, version: int, digest: bytes, update: _Update) -> None:
        """Apply a verified update and set the resulting version."""
        self.version = version
        self.digest = digest
        for index, (bucket_digest, content) in update.buckets.items():
            self.digests[index] = bucket_digest
            self.encoded[index] = content
        for identity in update.removed:
            self._objects.pop(identity, None)
        self._objects.update(update.changed)
        self._changed.update(update.changed, update.removed)

    def build(self) -> VersionChange:
        """Return the resulting version and the ids of changed objects."""
        buckets = BucketSet(
            self.version,
            self.digest,
            tuple(self.digests),
            tuple(self.encoded),
            self._objects,
        )
        return VersionChange(buckets, frozenset(self._changed))


def _prepare_update(
    builder: _BucketSetBuilder, delta: Delta
) -> Result[_Update, ReleaseFailure]:
    """Check a delta against the current version and return its update."""
    if delta.parent_digest != builder.digest:
        return Err(WrongParent(delta.parent_digest, builder.digest))
    if delta.version <= builder.version:
        return Err(MalformedContent('version is not above that of the parent'))
    changed = _unpack_objects(delta.changed)
    if isinstance(changed, Err):
        return changed
    buckets: dict[int, tuple[bytes, bytes]] = {}
    digests = list(builder.digests)
    for index, changes in _group_by_bucket(delta).items():
        content = _edit_bucket(builder.encoded[index], changes)
        digests[index] = digest_content(content)
        buckets[index] = digests[index], content
    found = digest_set(digests)
    if found != delta.digest:
        return Err(DigestMismatch(delta.digest, found))
    return Ok(_Update(buckets, changed.ok_value, frozenset(delta.removed)))


def _group_by_bucket(
    delta: Delta,
) -> dict[int, dict[ObjectId, PackedObject | None]]:
    """Return the changes by bucket index and id; None removes an object."""
    changes: dict[int, dict[ObjectId, PackedObject | None]] = defaultdict(dict)
    for identity in delta.removed:
        changes[bucket_index(identity)][identity] = None
    for packed in delta.changed:
        changed_id = packed[0], packed[1]
        changes[bucket_index(changed_id)][changed_id] = packed
    return changes


def _edit_bucket(
    content: bytes, changes: Mapping[ObjectId, PackedObject | None]
) -> bytes:
    """Return the encoding of a bucket after changes to its objects."""
    members: dict[ObjectId, PackedObject] = {
        (packed[0], packed[1]): packed
        for packed in decode_bucket(content, digest_content(content)).unwrap()
    }
    for identity, packed in changes.items():
        if packed is None:
            members.pop(identity, None)
        else:
            members[identity] = packed
    return encode_bucket(members.values())


def _replace_bucket(
    base: BucketSet, index: int, digest: bytes, content: bytes
) -> Result[_Update, ReleaseFailure]:
    """Return the update that replaces one bucket of the base."""
    decoded = decode_bucket(content, digest)
    if isinstance(decoded, Err):
        return decoded
    unpacked = _unpack_objects(decoded.ok_value)
    if isinstance(unpacked, Err):
        return unpacked
    objects = unpacked.ok_value
    if any(bucket_index(identity) != index for identity in objects):
        return Err(
            MalformedContent(f'object does not belong to bucket {index}')
        )
    previous_ids = {
        (packed[0], packed[1])
        for packed in decode_bucket(
            base.encoded[index], base.digests[index]
        ).unwrap()
    }
    changed = {
        identity: published
        for identity, published in objects.items()
        if base.objects.get(identity) != published
    }
    return Ok(
        _Update(
            {index: (digest, content)},
            changed,
            frozenset(previous_ids - set(objects)),
        )
    )


def _unpack_objects(
    packed_objects: Iterable[PackedObject],
) -> Result[dict[ObjectId, PublishedObject], ReleaseFailure]:
    unpacked: dict[ObjectId, PublishedObject] = {}
    for packed in packed_objects:
        published = unpack_object(packed)
        if isinstance(published, Err):
            return published
        unpacked[packed[0], packed[1]] = published.ok_value
    return Ok(unpacked)
