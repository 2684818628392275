"""Requests that a client sends, their answers and failures."""

from typing import NamedTuple

from wagtailline.calls import Body, Headers


class ConnectionFailed(Exception):
    """No connection could be made; nothing was sent."""


class AnswerMissing(Exception):
    """The connection ended before an answer; the request may have run."""


class AnswerMalformed(Exception):
    """The bytes that came are no answer to the request."""


class ClientRequest(NamedTuple):
    """A request to send; ``identity`` is the header that answers echo."""

    method: str
    target: str
    headers: Headers
    identity: tuple[bytes, bytes] | None = None


class ClientAnswer(NamedTuple):
    """Head of an answer and its body."""

    status: int
    headers: Headers
    body: Body
