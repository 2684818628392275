"""Messages of a call connection.

A call is named by the number that its sender gave it on the connection.
Offsets and limits count the bytes of a body from its start, so that a
repeated message changes nothing.
"""

from typing import NamedTuple

from wagtailline.calls._types import CallRequest, Executed, Headers
from wagtailline.codec import Message


class CallStart(NamedTuple):
    """Head of a call and the start of its body."""

    call: int
    request: CallRequest
    content: bytes
    ended: bool


class CallBody(NamedTuple):
    """A piece of the body of a call."""

    call: int
    offset: int
    content: bytes
    ended: bool


class CallCancel(NamedTuple):
    """The sender of the call no longer wants its answer."""

    call: int


class CallCredit(NamedTuple):
    """The peer may send its body up to this offset."""

    call: int
    limit: int


class AnswerStart(NamedTuple):
    """Head of an answer and the start of its body."""

    call: int
    status: int
    headers: Headers
    load: float
    content: bytes
    ended: bool


class AnswerBody(NamedTuple):
    """A piece of the body of an answer."""

    call: int
    offset: int
    content: bytes


class AnswerEnd(NamedTuple):
    """End of an answer's body; without ``complete`` it was cut."""

    call: int
    length: int
    complete: bool


class CallRefused(NamedTuple):
    """The call got no answer of an upstream."""

    call: int
    reason: str
    executed: Executed
    retry_after_ms: int


CALL_KINDS: dict[int, type[Message]] = {
    64: CallStart,
    65: CallBody,
    66: CallCancel,
    67: CallCredit,
    68: AnswerStart,
    69: AnswerBody,
    70: AnswerEnd,
    71: CallRefused,
}
