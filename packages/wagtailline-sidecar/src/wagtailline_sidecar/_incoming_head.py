"""Head of a request as its parts arrive, and the size of these parts."""

from wagtailline.calls import Headers
from wagtailline_sidecar._request_head import RequestHead


class IncomingHead:
    """Target and headers of the request head that is being received.

    ``is_open`` tells whether a head has begun and is not complete. ``target``
    and ``headers`` are what has been parsed of it.
    """

    def __init__(self) -> None:
        """Set up a head that has not begun."""
        self.is_open = False
        self.target = b''
        self._headers: list[tuple[bytes, bytes]] = []
        self._parsed_bytes = 0
        self._unparsed_bytes = 0
        self._parsed_before = 0
        self._has_message_ended = False

    @property
    def headers(self) -> Headers:
        """Return the headers that were parsed, with names in lower case."""
        return tuple(self._headers)

    @property
    def size_bytes(self) -> int:
        """Return the size of the parts that have arrived."""
        return self._parsed_bytes + self._unparsed_bytes

    def begin(self) -> None:
        """Begin the head of the next request."""
        self.target = b''
        self._headers = []
        self._parsed_bytes = 0
        self._unparsed_bytes = 0
        self.is_open = True

    def add_target(self, part: bytes) -> None:
        """Append a part of the request target."""
        self.target += part
        self._count_parsed(len(part))

    def add_header(self, name: bytes, content: bytes) -> None:
        """Append a header."""
        self._headers.append((name.lower(), content))
        self._count_parsed(len(name) + len(content))

    def complete(self, http_version: str) -> RequestHead:
        """Return the head, which has arrived completely."""
        self._unparsed_bytes = 0
        self.is_open = False
        return RequestHead(
            http_version, self.target, self.headers, self._parsed_bytes
        )

    def end_message(self) -> None:
        """Note that the body of the request is complete as well."""
        self._parsed_bytes = 0
        self._has_message_ended = True

    def begin_input(self) -> None:
        """Note that received bytes are about to be parsed."""
        self._parsed_before = self._parsed_bytes
        self._has_message_ended = False

    def end_input(self, received_bytes: int) -> None:
        """Count received bytes that the parser holds back.

        It buffers an incomplete header, which the limit on the size of the
        head would not notice. After the end of a message the bytes of the
        head are not told from those of the body, so none are counted.
        """
        if self.is_open and not self._has_message_ended:
            parsed_bytes = self._parsed_bytes - self._parsed_before
            self._unparsed_bytes += max(received_bytes - parsed_bytes, 0)

    def _count_parsed(self, count: int) -> None:
        self._parsed_bytes += count
        self._unparsed_bytes = 0
