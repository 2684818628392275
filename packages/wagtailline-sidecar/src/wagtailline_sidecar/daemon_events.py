"""Events of the start and stop of the daemon and of its internal errors."""

from typing import NamedTuple


class DaemonStarted(NamedTuple):
    """Event: all services of the daemon have started."""

    vm: str
    data_centre: str
    ingress: str


class DaemonStopping(NamedTuple):
    """Event: a graceful stop has begun."""

    vm: str
    reason: str


class DaemonStopped(NamedTuple):
    """Event: the stop has ended; what was still in progress is aborted."""

    vm: str
    requests_cut: int
    calls_cut: int


class FrameRejected(NamedTuple):
    """Event: a peer sent bytes that are not a valid message."""

    problem: str


class HandlerFailed(NamedTuple):
    """Event: an unexpected exception ended a request or call."""

    problem: str
