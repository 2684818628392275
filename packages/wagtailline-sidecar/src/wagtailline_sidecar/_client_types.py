"""Requests, responses and errors of HTTP client connections."""

from typing import NamedTuple

from wagtailline.calls import Body, Headers


class ConnectionFailed(Exception):
    """The connection could not be opened; nothing was sent."""


class AnswerMissing(Exception):
    """The connection ended before a response; the request may have run."""


class AnswerMalformed(Exception):
    """The received bytes are not a valid response."""


class ClientRequest(NamedTuple):
    """Request to send.

    ``echo_header`` is a header, as name and value, that responses echo.
    """

    method: str
    target: str
    headers: Headers
    echo_header: tuple[bytes, bytes] | None = None


class ClientResponse(NamedTuple):
    """Status, headers and body of a response."""

    status: int
    headers: Headers
    body: Body
