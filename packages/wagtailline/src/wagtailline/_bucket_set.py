"""A version as buckets, and how the next one is made of it."""

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
    split_buckets,
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
    """One verified version: its buckets and their typed objects."""

    version: int
    digest: bytes
    digests: tuple[bytes, ...]
    encoded: tuple[bytes, ...]
    objects: ObjectMap


class Change(NamedTuple):
    """A verified version and the objects that differ from its base."""

    buckets: BucketSet
    changed: frozenset[ObjectId]


class _Step(NamedTuple):
    buckets: dict[int, tuple[bytes, bytes]]
    changed: dict[ObjectId, PublishedObject]
    removed: frozenset[ObjectId]


_EMPTY_CONTENT = encode_bucket(())
EMPTY_SET = BucketSet(
    0,
    EMPTY_DIGEST,
    (digest_content(_EMPTY_CONTENT),) * BUCKET_COUNT,
    (_EMPTY_CONTENT,) * BUCKET_COUNT,
    {},
)


def bucket_set_of(version: int, objects: ObjectMap) -> BucketSet:
    """Return the buckets of a whole set."""
    encoded = tuple(split_buckets(objects))
    digests = tuple(digest_content(content) for content in encoded)
    return BucketSet(version, digest_set(digests), digests, encoded, objects)


def apply_delta(
    base: BucketSet, delta: Delta
) -> Result[BucketSet, ReleaseFailure]:
    """Return the version after a delta; the base is unchanged."""
    return apply_deltas(base, (delta,)).map(lambda change: change.buckets)


def apply_deltas(
    base: BucketSet, deltas: Iterable[Delta]
) -> Result[Change, ReleaseFailure]:
    """Return the version after a chain of deltas.

    Only the buckets that the deltas touch are hashed. The digest is checked
    after each delta; the base is unchanged.
    """
    draft = _Draft(base)
    for delta in deltas:
        step = _plan_step(draft, delta)
        if isinstance(step, Err):
            return step
        draft.commit(delta.version, delta.digest, step.ok_value)
    return Ok(draft.finish())


def missing_buckets(base: BucketSet, head: Head) -> tuple[bytes, ...]:
    """Return the digests of the head's buckets that the base lacks."""
    held = set(base.digests)
    return tuple(
        dict.fromkeys(digest for digest in head.buckets if digest not in held)
    )


def assemble(
    base: BucketSet, head: Head, fetched: Mapping[bytes, bytes]
) -> Result[Change, ReleaseFailure]:
    """Return the head's version of the base's and the fetched buckets."""
    found = digest_set(head.buckets)
    if found != head.digest:
        return Err(DigestMismatch(head.digest, found))
    draft = _Draft(base)
    held = dict(zip(base.digests, base.encoded, strict=True))
    for index, digest in enumerate(head.buckets):
        if digest == base.digests[index]:
            continue
        content = held.get(digest, fetched.get(digest))
        if content is None:
            return Err(BucketMissing(digest))
        step = _replace_bucket(base, index, digest, content)
        if isinstance(step, Err):
            return step
        draft.commit(head.version, head.digest, step.ok_value)
    draft.version, draft.digest = head.version, head.digest
    return Ok(draft.finish())


class _Draft:
    """A working copy; a step is committed whole or not at all."""

    def __init__(self, base: BucketSet) -> None:
        self.version = base.version
        self.digest = base.digest
        self.digests = list(base.digests)
        self.encoded = list(base.encoded)
        self._objects = dict(base.objects)
        self._changed: set[ObjectId] = set()

    def commit(self, version: int, digest: bytes, step: _Step) -> None:
        self.version = version
        self.digest = digest
        for index, (bucket_digest, content) in step.buckets.items():
            self.digests[index] = bucket_digest
            self.encoded[index] = content
        for identity in step.removed:
            self._objects.pop(identity, None)
        self._objects.update(step.changed)
        self._changed.update(step.changed, step.removed)

    def finish(self) -> Change:
        buckets = BucketSet(
            self.version,
            self.digest,
            tuple(self.digests),
            tuple(self.encoded),
            self._objects,
        )
        return Change(buckets, frozenset(self._changed))


def _plan_step(draft: _Draft, delta: Delta) -> Result[_Step, ReleaseFailure]:
    if delta.parent_digest != draft.digest:
        return Err(WrongParent(delta.parent_digest, draft.digest))
    if delta.version <= draft.version:
        return Err(MalformedContent('version does not rise'))
    changed = _unpack(delta.changed)
    if isinstance(changed, Err):
        return changed
    buckets: dict[int, tuple[bytes, bytes]] = {}
    digests = list(draft.digests)
    for index, changes in _group(delta).items():
        content = _edit_bucket(draft.encoded[index], changes)
        digests[index] = digest_content(content)
        buckets[index] = digests[index], content
    found = digest_set(digests)
    if found != delta.digest:
        return Err(DigestMismatch(delta.digest, found))
    return Ok(_Step(buckets, changed.ok_value, frozenset(delta.removed)))


def _group(delta: Delta) -> dict[int, dict[ObjectId, PackedObject | None]]:
    grouped: dict[int, dict[ObjectId, PackedObject | None]] = defaultdict(dict)
    for identity in delta.removed:
        grouped[bucket_index(identity)][identity] = None
    for packed in delta.changed:
        changed = packed[0], packed[1]
        grouped[bucket_index(changed)][changed] = packed
    return grouped


def _edit_bucket(
    content: bytes, changes: Mapping[ObjectId, PackedObject | None]
) -> bytes:
    kept: dict[ObjectId, PackedObject] = {
        (packed[0], packed[1]): packed
        for packed in decode_bucket(content, digest_content(content)).unwrap()
    }
    for identity, packed in changes.items():
        if packed is None:
            kept.pop(identity, None)
        else:
            kept[identity] = packed
    return encode_bucket(kept.values())


def _replace_bucket(
    base: BucketSet, index: int, digest: bytes, content: bytes
) -> Result[_Step, ReleaseFailure]:
    decoded = decode_bucket(content, digest)
    if isinstance(decoded, Err):
        return decoded
    unpacked = _unpack(decoded.ok_value)
    if isinstance(unpacked, Err):
        return unpacked
    current = unpacked.ok_value
    if any(bucket_index(identity) != index for identity in current):
        return Err(MalformedContent(f'object outside of bucket {index}'))
    former = {
        (packed[0], packed[1])
        for packed in decode_bucket(
            base.encoded[index], base.digests[index]
        ).unwrap()
    }
    changed = {
        identity: published
        for identity, published in current.items()
        if base.objects.get(identity) != published
    }
    return Ok(
        _Step(
            {index: (digest, content)},
            changed,
            frozenset(former - set(current)),
        )
    )


def _unpack(
    packed: Iterable[PackedObject],
) -> Result[dict[ObjectId, PublishedObject], ReleaseFailure]:
    unpacked: dict[ObjectId, PublishedObject] = {}
    for one in packed:
        published = unpack_object(one)
        if isinstance(published, Err):
            return published
        unpacked[one[0], one[1]] = published.ok_value
    return Ok(unpacked)
