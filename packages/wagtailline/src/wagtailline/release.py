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
    Change,
    apply_delta,
    apply_deltas,
    assemble,
    make_bucket_set,
    missing_buckets,
)
from wagtailline._release import (
    bucket_index,
    bucket_key,
    build_release,
    chain_of,
    decode_bucket,
    decode_head,
    decode_pack,
    digest_content,
    digest_set,
    encode_bucket,
    encode_head,
    make_delta,
    pack_object,
    size_of_delta,
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
    'Change',
    'Delta',
    'DigestMismatch',
    'Head',
    'MalformedContent',
    'PackedObject',
    'Release',
    'ReleaseFailure',
    'ValueTooLarge',
    'WrongParent',
    'apply_delta',
    'apply_deltas',
    'assemble',
    'bucket_index',
    'bucket_key',
    'build_release',
    'chain_of',
    'decode_bucket',
    'decode_head',
    'decode_pack',
    'digest_content',
    'digest_set',
    'encode_bucket',
    'encode_head',
    'make_bucket_set',
    'make_delta',
    'missing_buckets',
    'pack_object',
    'size_of_delta',
    'split_into_buckets',
    'unpack_object',
)
