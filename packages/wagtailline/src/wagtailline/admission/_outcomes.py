"""Outcomes of requests that held a slot."""

from typing import NamedTuple


class Answered(NamedTuple):
    """A complete answer; ``latency`` is the seconds to its first byte."""

    latency: float
    status: int


class RefusedByUpstream(NamedTuple):
    """The upstream shed the request because of its own load."""


class ConnectionRefused(NamedTuple):
    """The upstream refused the connection, so the request was not sent."""


class ResetBeforeFirstByte(NamedTuple):
    """The connection ended before the answer began.

    On a reused connection the cause may be the upstream's idle timeout.
    """

    reused_connection: bool = False


class ResetDuringAnswer(NamedTuple):
    """The connection ended after the answer began, before its end."""


class Cancelled(NamedTuple):
    """The caller cancelled the request after it was sent."""


class TimedOut(NamedTuple):
    """The deadline passed after the request was sent."""


class Unused(NamedTuple):
    """The slot was released before anything was sent to the upstream."""


Outcome = (
    Answered
    | RefusedByUpstream
    | ConnectionRefused
    | ResetBeforeFirstByte
    | ResetDuringAnswer
    | Cancelled
    | TimedOut
    | Unused
)
