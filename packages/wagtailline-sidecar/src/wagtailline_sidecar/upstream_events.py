"""Log events about the state of the local upstream."""

from typing import NamedTuple


class UpstreamConfirmed(NamedTuple):
    """Event: a health check has settled the state of the upstream."""

    instance: str
    is_healthy: bool
    warm_up_seconds: float


class DoubtSettled(NamedTuple):
    """Event: the upstream that reset a connection has not restarted."""

    instance: str


class UpstreamDoubted(NamedTuple):
    """Event: the upstream may have restarted, or may be down or cold."""

    reason: str
    instance: str


class RateLimitStarted(NamedTuple):
    """Event: the upstream has named a limit of requests per second.

    ``origin`` tells whether its own response or a sender has named it.
    """

    instance: str
    rate: float
    origin: str


class RateLimitEnded(NamedTuple):
    """Event: the upstream no longer names the limit ``rate``."""

    instance: str
    rate: float


class RateLimitIgnored(NamedTuple):
    """Event: the upstream named a limit that can't be read."""

    instance: str
    field: str


class UpstreamLeaving(NamedTuple):
    """Event: the upstream has said in a response that it leaves."""

    instance: str
