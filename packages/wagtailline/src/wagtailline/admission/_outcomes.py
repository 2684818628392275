"""How a request that held a slot ended."""

from typing import NamedTuple


class Answered(NamedTuple):
    """A complete answer; latency in seconds to its first byte."""

    latency: float
    status: int


class RefusedByUpstream(NamedTuple):
    """The upstream shed the request."""


class ConnectionRefused(NamedTuple):
    """The upstream accepted no connection; the request has not begun."""


class ResetBeforeFirstByte(NamedTuple):
    """The connection ended before the answer began.

    On a reused connection this may be the upstream's idle timeout.
    """

    reused_connection: bool = False


class ResetLater(NamedTuple):
    """The connection ended within the answer."""


class Cancelled(NamedTuple):
    """The caller left after the request was sent."""


class TimedOut(NamedTuple):
    """The deadline passed after the request was sent."""


class Unused(NamedTuple):
    """The slot was given back and nothing was sent to the upstream."""


Outcome = (
    Answered
    | RefusedByUpstream
    | ConnectionRefused
    | ResetBeforeFirstByte
    | ResetLater
    | Cancelled
    | TimedOut
    | Unused
)
