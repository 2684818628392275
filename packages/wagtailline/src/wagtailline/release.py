"""Releases: the published, content-addressed form of the configuration.

The objects of a version are distributed over a fixed number of buckets by the
hash of their names. The digest of the version is computed from the digests of
its buckets, so a delta is verified by hashing only the buckets it changes.

Heads, buckets and packs of buckets are the values of a key-value store, which
is called the source.
"""

from wagtailline._bucket_set import (
    EMPTY_SET,
    BucketSet,
    VersionChange,
    apply_delta,
    apply_deltas,
    assemble_buckets,
    make_bucket_set,
    missing_buckets,
)
from wagtailline._release import (
    bucket_index,
    bucket_key,
    build_release,
    decode_bucket,
    decode_head,
    decode_pack,
    digest_content,
    digest_set,
    encode_bucket,
    encode_head,
    encoded_delta_size,
    list_deltas,
    make_delta,
    pack_object,
    split_into_buckets,
    unpack_object,
)
from wagtailline._release_limits import (
    BUCKET_COUNT,
    BUCKETS_PER_PACK,
    DIGEST_BYTES,
    EMPTY_DIGEST,
    HEAD_KEY,
    MAX_EARLIER_DELTA_BYTES,
    MAX_INLINE_DELTA_BYTES,
    MAX_VALUE_BYTES,
)
from wagtailline._release_types import (
    BucketMissing,
    Delta,
    DigestMismatch,
    Head,
    MalformedContent,
    PackedObject,
    Release,
    ReleaseFailure,
    ValueTooLarge,
    WrongParent,
)

__all__ = (
    'BUCKETS_PER_PACK',
    'BUCKET_COUNT',
    'DIGEST_BYTES',
    'EMPTY_DIGEST',
    'EMPTY_SET',
    'HEAD_KEY',
    'MAX_EARLIER_DELTA_BYTES',
    'MAX_INLINE_DELTA_BYTES',
    'MAX_VALUE_BYTES',
    'BucketMissing',
    'BucketSet',
    'Delta',
    'DigestMismatch',
    'Head',
    'MalformedContent',
    'PackedObject',
    'Release',
    'ReleaseFailure',
    'ValueTooLarge',
    'VersionChange',
    'WrongParent',
    'apply_delta',
    'apply_deltas',
    'assemble_buckets',
    'bucket_index',
    'bucket_key',
    'build_release',
    'decode_bucket',
    'decode_head',
    'decode_pack',
    'digest_content',
    'digest_set',
    'encode_bucket',
    'encode_head',
    'encoded_delta_size',
    'list_deltas',
    'make_bucket_set',
    'make_delta',
    'missing_buckets',
    'pack_object',
    'split_into_buckets',
    'unpack_object',
)
