"""Events of the refresh of the snapshot."""

from typing import NamedTuple

from wagtailline_sidecar.source_revision import SourceRevision

ORIGIN_SOURCE = 'source'
OUTCOME_OK = 'ok'
# The peer did not reply in time.
OUTCOME_TIMEOUT = TimeoutError.__name__
# The peer was late, and another one replied first.
OUTCOME_OVERTAKEN = 'another peer replied first'
# This daemon stopped before the peer had replied.
OUTCOME_STOPPED = 'daemon stopped'
# The peer was out of contact with the source while this daemon was not.
OUTCOME_OTHER_OUTAGE = 'peer alone saw an outage'
# The peer has not heard of the restore of the source that this daemon knows.
OUTCOME_EARLIER_ERA = 'peer is in an earlier era'


class SourceLost(NamedTuple):
    """Event: a reading of the source failed after a successful one."""

    reason: str
    picture_age_seconds: float


class SourceRegained(NamedTuple):
    """Event: a reading of the source succeeded after failures."""

    failures: int
    revision: SourceRevision


class SourceConflict(NamedTuple):
    """Event: the source gave two contents for one revision of an item.

    The first one that was received stays. ``revision`` is ``era.number``.
    """

    key: str
    revision: str


class EraChanged(NamedTuple):
    """Event: the source was restored from an older copy.

    Its revisions before and after tell how far it went back. ``version`` is
    that of the configuration in force, ``source_version`` the one that the
    source holds (0 if that is not known), which is lower until the operator
    has published again.
    """

    era: int
    previous_era: int
    revision: SourceRevision
    previous_revision: SourceRevision
    version: int
    source_version: int


class ReaderChanged(NamedTuple):
    """Event: the host from which this daemon gets its snapshot changed.

    ``reader`` is the host of this daemon if it reads the source itself, then
    over a link of ``link_megabits_per_second`` (0 if that is not known).
    """

    reader: str
    reason: str
    picture_age_seconds: float
    link_megabits_per_second: float


class RefreshEnded(NamedTuple):
    """Event: an attempt to refresh the snapshot has ended.

    ``origin`` is the host of the peer, or ``source``. ``outcome`` is ``ok`` or
    the reason of the failure. Of ``took_ms``, the peer waited ``waited_ms`` for
    news; ``peer_age_ms`` was the age of its snapshot then, and
    ``received_bytes`` the size of its reply.
    """

    origin: str
    outcome: str
    took_ms: int
    picture_age_ms: int
    waited_ms: int = 0
    peer_age_ms: int = 0
    received_bytes: int = 0
