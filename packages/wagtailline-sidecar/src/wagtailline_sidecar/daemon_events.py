"""Events of the daemon's own life."""

from typing import NamedTuple


class DaemonStarted(NamedTuple):
    """Every service runs."""

    vm: str
    data_centre: str
    ingress: str


class DaemonStopping(NamedTuple):
    """A planned stop has begun."""

    vm: str
    reason: str


class DaemonStopped(NamedTuple):
    """The process ends; what is still in progress is cut."""

    vm: str
    requests_cut: int
    calls_cut: int


class FrameRejected(NamedTuple):
    """A peer sent bytes that are no message."""

    problem: str


class HandlerFailed(NamedTuple):
    """A fault of this program ended a call."""

    problem: str
