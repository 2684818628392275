"""Events that the daemon logs; the class name gives the event name."""

from typing import NamedTuple


class DaemonStarted(NamedTuple):
    """Every service of the daemon has started."""

    vm: str
    endpoint: str
    http_port: int


class DaemonStopping(NamedTuple):
    """A planned stop has begun."""

    vm: str
    signal: str


class DaemonStopped(NamedTuple):
    """Every service of the daemon has ended."""

    vm: str
    calls_cut: int


class SnapshotInstalled(NamedTuple):
    """A higher version is in force in this process."""

    version: int
    digest: str
    objects: int


class FrameRejected(NamedTuple):
    """A peer sent bytes that are no message; its connection was closed."""

    fault: str


class CallFailed(NamedTuple):
    """A handler of a forwarded call raised an exception."""

    error: str


class VmListRejected(NamedTuple):
    """The platform's list of vms could not be read or parsed."""

    data_centre: str
    failure: str


class SuspectsNoticed(NamedTuple):
    """The local upstream died while it ran these requests."""

    endpoint: str
    death: int
    requests: int


class SnapshotAging(NamedTuple):
    """No source read has confirmed the snapshot for some time.

    ``age_seconds`` is -1 while none has ever done so.
    """

    version: int
    age_seconds: int
    source_failure: str


class SnapshotConfirmed(NamedTuple):
    """A source read confirms the snapshot again."""

    version: int


class VersionKeptOut(NamedTuple):
    """A published version is faulty or forked and is not installed."""

    version: int
    digest: str
    reason: str


class EndpointSuperseded(NamedTuple):
    """A later process holds the endpoint; this one takes no more part."""

    endpoint: str
    successor: str
