"""Log events about responses that are not the answer to a request."""

from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple


class RejectionReason(StrEnum):
    """Why received bytes are not the response to the waiting request."""

    MALFORMED = 'malformed'
    OTHER_REQUEST = 'other_request'
    SURPLUS = 'surplus'
    SWALLOWED = 'swallowed'
    TORN = 'torn'
    UNEXPECTED = 'unexpected'
    UNFRAMED = 'unframed'
    UNNAMED = 'unnamed'


class AnswerRejected(NamedTuple):
    """Event: an upstream sent bytes that are not the expected response.

    ``request`` is the id of the waiting request, if any, and ``exchanges``
    the number of requests that the connection has carried.
    """

    reason: str
    request: str
    exchanges: int


class StutterStarted(NamedTuple):
    """Event: connections rest, as an upstream sends responses again.

    ``reason`` is that of the first rejection.
    """

    reason: str


class StutterEnded(NamedTuple):
    """Event: nothing was rejected lately, and connections rest no longer."""


RejectionObserver = Callable[[AnswerRejected], None]
AnswerEvent = AnswerRejected | StutterStarted | StutterEnded
AnswerObserver = Callable[[AnswerEvent], None]


def ignore_event(event: AnswerEvent) -> None:
    """Ignore an event; the default if no observer is set."""
