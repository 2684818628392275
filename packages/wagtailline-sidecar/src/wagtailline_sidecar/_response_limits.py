"""Limits for bytes that a server sends without completing a response."""

# Bytes that the parser may hold or ignore, such as one header, trailers or the
# extension of a chunk, until a head is complete or a part of a body arrives.
MAX_BYTES_WITHOUT_PROGRESS = 64 * 1024
# Bytes of other responses that are skipped before the expected head.
MAX_SKIPPED_BYTES = 1024 * 1024
# Bytes of the headers of one head, each with what its objects take.
MAX_HEAD_BYTES = 64 * 1024
_HEADER_OVERHEAD_BYTES = 128


class ResponseLimits:
    """Counter of the bytes of one exchange that are not part of a body."""

    def __init__(self) -> None:
        """Create the limits of a new exchange."""
        self._bytes_without_progress = 0
        self._skipped_bytes = 0
        self._head_bytes = 0
        self._has_progress = False

    def record_header(self, name: bytes, value: bytes) -> None:
        """Count a header; raise ValueError if the head is too large."""
        self._head_bytes += len(name) + len(value) + _HEADER_OVERHEAD_BYTES
        if self._head_bytes > MAX_HEAD_BYTES:
            raise ValueError('the head of the response is too large')

    def record_progress(self) -> None:
        """Note that a head was completed or a part of a body arrived."""
        self._head_bytes = 0
        self._has_progress = True

    def is_exceeded(self, size_bytes: int, *, is_head_complete: bool) -> bool:
        """Count bytes that were parsed; return whether they are too many."""
        if self._has_progress:
            self._bytes_without_progress = 0
            self._has_progress = False
        else:
            self._bytes_without_progress += size_bytes
        if not is_head_complete:
            self._skipped_bytes += size_bytes
        return (
            self._bytes_without_progress > MAX_BYTES_WITHOUT_PROGRESS
            or self._skipped_bytes > MAX_SKIPPED_BYTES
        )
