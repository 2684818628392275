"""Sizes of the parts of a request that are not its body."""

from wagtailline.request_memory import HEADER_OVERHEAD_BYTES

# The colon and the end of a header line.
_LINE_BYTES = len(':\r\n')


class HeadSize:
    """Counter of the bytes of one request head, and of the trailers.

    The parser holds back an incomplete line and ignores empty lines before a
    request, so received bytes count until something is parsed.
    """

    def __init__(self) -> None:
        """Create a counter of a head that has not begun."""
        self._parsed_bytes = 0
        self._unparsed_bytes = 0
        self._headers = 0

    @property
    def size_bytes(self) -> int:
        """Return the size of what has arrived."""
        return max(self._parsed_bytes, self._unparsed_bytes)

    @property
    def memory_bytes(self) -> int:
        """Return what the parts that have arrived take in memory."""
        return self.size_bytes + self._headers * HEADER_OVERHEAD_BYTES

    def begin(self) -> None:
        """Count anew, for a head or for a body and its trailers."""
        self._parsed_bytes = 0
        self._unparsed_bytes = 0
        self._headers = 0

    def receive(self, size_bytes: int) -> None:
        """Count bytes that are about to be parsed."""
        self._unparsed_bytes += size_bytes

    def add_target(self, part: bytes) -> None:
        """Count a part of the request target."""
        self._parsed_bytes += len(part)
        self._unparsed_bytes = 0

    def add_header(self, name: bytes, value: bytes) -> None:
        """Count a header or a trailer."""
        self._headers += 1
        self._parsed_bytes += len(name) + len(value) + _LINE_BYTES
        self._unparsed_bytes = 0
