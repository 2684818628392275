"""Log events of the daemon.

The name of an event in the log is its class name in snake case.
"""

from typing import NamedTuple


class DaemonStarted(NamedTuple):
    """All services of the daemon have started."""

    vm: str
    endpoint: str
    http_port: int


class DaemonStopping(NamedTuple):
    """The daemon was told to stop and begins to finish its calls."""

    vm: str
    signal: str


class DaemonStopped(NamedTuple):
    """All services of the daemon have stopped.

    ``calls_cut`` counts the calls that were still in progress.
    """

    vm: str
    calls_cut: int


class SnapshotInstalled(NamedTuple):
    """A newer version of the configuration was put in force."""

    version: int
    digest: str
    objects: int


class FrameRejected(NamedTuple):
    """A peer sent a malformed frame; its connection was closed."""

    fault: str


class CallFailed(NamedTuple):
    """The handler of a forwarded call raised an exception."""

    error: str


class VmListRejected(NamedTuple):
    """The list of vms of a data centre could not be read or parsed."""

    data_centre: str
    failure: str


class SuspectsNoticed(NamedTuple):
    """The local upstream died while it was executing these requests."""

    endpoint: str
    death: int
    requests: int


class SnapshotAging(NamedTuple):
    """No read from the source has confirmed the snapshot for some time.

    ``age_seconds`` is -1 if no read has confirmed a snapshot since the start.
    """

    version: int
    age_seconds: int
    source_failure: str


class SnapshotConfirmed(NamedTuple):
    """A read from the source has confirmed the snapshot again."""

    version: int


class VersionKeptOut(NamedTuple):
    """A published version is faulty or forked and was not installed."""

    version: int
    digest: str
    reason: str


class EndpointSuperseded(NamedTuple):
    """A newer process holds the endpoint; this one takes no further part."""

    endpoint: str
    successor: str
