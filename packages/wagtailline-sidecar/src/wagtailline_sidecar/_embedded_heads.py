"""Search for heads of responses among bytes that should be a body."""

import re
from collections.abc import Container
from functools import lru_cache

_STATUS_LINE = re.compile(rb'HTTP/1\.[01] \d{3}')
_BLANKS = b' \t'
_STATUS_LINE_BYTES = len('HTTP/1.1 200')
# Largest distance between the status line and the name of the request.
_MAX_HEAD_BYTES = 4096


def contains_status_line(field: bytes) -> bool:
    """Return whether bytes contain the begin of a status line."""
    return _STATUS_LINE.search(field) is not None


class HeadSearch:
    """Search in a stream of bytes for heads that name certain requests.

    ``name`` is the lower-case name of the header that names the request of a
    response, and ``request_ids`` the values to look for.
    """

    def __init__(self, name: bytes, request_ids: Container[bytes]) -> None:
        """Start a search in a new stream."""
        self._pattern = _compile_name(name)
        self._request_ids = request_ids
        self._tail = b''

    def find(self, content: bytes) -> bool:
        """Return whether the stream, with the next bytes, contains a head."""
        window = self._tail + content
        first = _STATUS_LINE.search(window)
        if first is None:
            self._tail = window[1 - _STATUS_LINE_BYTES :]
            return False
        begin = max(first.start(), len(window) - _MAX_HEAD_BYTES)
        self._tail = window[begin:]
        return any(
            match.group(1).strip(_BLANKS) in self._request_ids
            and self._is_in_head(window, match.start())
            for match in self._pattern.finditer(window, first.end())
        )

    def crosses(self, surplus: bytes) -> bool:
        """Return whether a head begins in the stream and ends behind it.

        ``surplus`` are the bytes behind the end of the stream.
        """
        window = self._tail + surplus
        first = _STATUS_LINE.search(window)
        if first is None or first.start() >= len(self._tail):
            return False
        return first.end() > len(self._tail) or any(
            match.group(1).strip(_BLANKS) in self._request_ids
            for match in self._pattern.finditer(window, first.end())
        )

    def _is_in_head(self, window: bytes, position: int) -> bool:
        begin = max(position - _MAX_HEAD_BYTES, 0)
        return _STATUS_LINE.search(window, begin, position) is not None


@lru_cache(maxsize=8)
def _compile_name(name: bytes) -> re.Pattern[bytes]:
    """Return the pattern of a header line, whose group 1 is the value.

    The value may have blanks around it: a pattern that excludes them takes
    the third power of the length of a run of blanks.
    """
    return re.compile(
        rb'\r\n%b:([^\r\n]+)\r\n' % re.escape(name),
        re.IGNORECASE,
    )
