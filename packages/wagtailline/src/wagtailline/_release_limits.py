"""Constants of the release format."""

BUCKET_COUNT = 256
DIGEST_BYTES = 16
# The source does not accept larger values.
MAX_VALUE_BYTES = 1_000_000
# A head does not carry a larger delta; readers fetch the changed buckets.
MAX_INLINE_DELTA_BYTES = 32 * 1024
# The source stores only the latest head, so a reader that may make one call a
# second misses versions that are published in a burst. 16 KiB hold about 90
# deltas of one object each. At 0.17 changes per second, a higher limit would
# exhaust the bandwidth that readers may use for control traffic.
MAX_EARLIER_DELTA_BYTES = 16 * 1024
# Three packs hold all buckets, so a reader that has no version yet loads the
# head and the set with four calls, which its burst limit allows, instead of
# 257. With 8,200 endpoints, a pack is about 230 KB.
BUCKETS_PER_PACK = 86
HEAD_KEY = 'head'
EMPTY_DIGEST = b''
