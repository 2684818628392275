"""Messages on a connection that carries calls.

The sender numbers its calls, and ``call_number`` is that number. Offsets and
lengths are bytes from the start of a body, so that a repeated message changes
nothing.
"""

from typing import NamedTuple

from wagtailline.calls._types import (
    CallRequest,
    Executed,
    Headers,
    Load,
    Milliseconds,
    Status,
)
from wagtailline.codec import Message


class CallStart(NamedTuple):
    """Head of a call and the first bytes of its request body.

    With ``ends_body`` the body has no further bytes.
    """

    call_number: int
    request: CallRequest
    content: bytes
    ends_body: bool


class CallBody(NamedTuple):
    """Chunk of a request body; with ``ends_body`` it is the last one."""

    call_number: int
    offset: int
    content: bytes
    ends_body: bool


class CallCancel(NamedTuple):
    """Notice that the sender of the call no longer wants its answer."""

    call_number: int


class CallCredit(NamedTuple):
    """Permission for the peer to send the bytes below ``end_offset``."""

    call_number: int
    end_offset: int


class AnswerStart(NamedTuple):
    """Head of an answer and the first bytes of its body.

    With ``ends_body`` the body has no further bytes.
    """

    call_number: int
    status: Status
    headers: Headers
    load: Load
    content: bytes
    ends_body: bool


class AnswerBody(NamedTuple):
    """Chunk of an answer's body."""

    call_number: int
    offset: int
    content: bytes


class AnswerEnd(NamedTuple):
    """End of an answer's body, truncated unless ``is_complete``."""

    call_number: int
    length: int
    is_complete: bool


class CallRefused(NamedTuple):
    """End of a call that got no answer from an upstream."""

    call_number: int
    reason: str
    executed: Executed
    retry_after_ms: Milliseconds


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
