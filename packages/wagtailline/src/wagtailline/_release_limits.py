"""Sizes and names of the release format."""

BUCKET_COUNT = 256
DIGEST_BYTES = 16
MAX_VALUE_BYTES = 1_000_000
MAX_INLINE_DELTA_BYTES = 32 * 1024
# The source keeps only the last head, so a reader that is limited to one call
# a second misses heads in a burst. 16 KiB hold about 90 one-object deltas;
# more would use up the control budget of the readers at 0.17 changes/s.
MAX_EARLIER_DELTA_BYTES = 16 * 1024
# Three packs hold a whole set, so that a reader without one loads the head and
# the set with the burst of four source calls instead of 257. At 8,200
# endpoints each pack is about 230 KB.
BUCKETS_PER_PACK = 86
HEAD_KEY = 'head'
EMPTY_DIGEST = b''
