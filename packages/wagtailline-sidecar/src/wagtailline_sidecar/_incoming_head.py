"""Head of a request as its parts arrive, and the size of these parts."""

from wagtailline.calls import Headers
from wagtailline.request_memory import HEADER_OVERHEAD_BYTES
from wagtailline_sidecar._request_head import RequestHead

# The colon and the end of a header line.
_LINE_BYTES = len(':\r\n')
# Bytes before a request that begin no head yet: two empty lines.
MAX_STRAY_BYTES = len('\r\n\r\n')


class IncomingHead:
    """Target and headers of the request head that is being received.

    ``is_open`` tells whether a head has begun and is not complete. ``target``
    and ``headers`` are what has been parsed of it. Empty lines before a
    request belong to its head.
    """

    def __init__(self) -> None:
        """Set up a head that has not begun."""
        self.is_open = False
        self.target = b''
        self._headers: list[tuple[bytes, bytes]] = []
        self._parsed_bytes = 0
        self._received_bytes = 0
        self._has_message_ended = False

    @property
    def headers(self) -> Headers:
        """Return the headers that were parsed, with names in lower case."""
        return tuple(self._headers)

    @property
    def size_bytes(self) -> int:
        """Return the size of the parts that have arrived."""
        return max(self._parsed_bytes, self._received_bytes)

    @property
    def memory_bytes(self) -> int:
        """Return what the parts that have arrived take in memory."""
        return self.size_bytes + len(self._headers) * HEADER_OVERHEAD_BYTES

    @property
    def is_awaited(self) -> bool:
        """Return whether the client has begun a head that is not complete."""
        return self.is_open or self._received_bytes > MAX_STRAY_BYTES

    def begin(self) -> None:
        """Begin the head of the next request."""
        self.target = b''
        self._headers = []
        self._parsed_bytes = 0
        self.is_open = True

    def add_target(self, part: bytes) -> None:
        """Append a part of the request target."""
        self.target += part
        self._parsed_bytes += len(part)

    def add_header(self, name: bytes, content: bytes) -> None:
        """Append a header."""
        self._headers.append((name.lower(), content))
        self._parsed_bytes += len(name) + len(content) + _LINE_BYTES

    def complete(self, http_version: str) -> RequestHead:
        """Return the head, which has arrived completely."""
        head = RequestHead(
            http_version, self.target, self.headers, self.size_bytes
        )
        self.discard()
        return head

    def discard(self) -> None:
        """Hold nothing of a head until the next one begins."""
        self.is_open = False
        self.target = b''
        self._headers = []
        self._parsed_bytes = 0
        self._received_bytes = 0

    def end_message(self) -> None:
        """Note that the body of the request is complete as well."""
        self._has_message_ended = True

    def begin_input(self) -> None:
        """Note that received bytes are about to be parsed."""
        self._has_message_ended = False

    def end_input(self, received_bytes: int) -> None:
        """Count received bytes that belong to a head, parsed or not.

        The parser buffers an incomplete header and ignores empty lines before
        a head. After the end of a message the bytes of the next head are not
        told from those of the body, so only parsed ones are counted.
        """
        if not self._has_message_ended:
            self._received_bytes += received_bytes
