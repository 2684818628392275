"""Messages that carry snapshots between daemons, and what they amount to."""

from typing import NamedTuple

from wagtailline.codec import Message
from wagtailline_sidecar.field_types import Count, Integer
from wagtailline_sidecar.reading import Reading
from wagtailline_sidecar.source_revision import (
    NO_REVISION,
    ConfigurationVersion,
    SourceRevision,
)


class SnapshotRequest(NamedTuple):
    """Request for a snapshot; names the version and endpoints already known.

    ``number`` matches a reply to its request. A peer that knows nothing newer
    replies when it does, or after ``max_wait_ms``.
    """

    number: Count
    known: ConfigurationVersion
    endpoints_digest: bytes
    max_wait_ms: Count = 0


class SnapshotReply(NamedTuple):
    """Snapshot of a peer and the time since it was known to be current.

    ``refresh_age_ms`` is the time since the reading of the source had ended.
    The reply was sent ``waited_ms`` after its request had arrived.
    ``configuration`` and ``endpoints`` are empty if the requesting daemon
    already has them. The configuration is a delta to ``base``, or whole if that
    is NO_VERSION. A negative ``age_ms`` means that there is no snapshot.
    The endpoints may be those of a later revision, ``endpoints_revision``.
    After an outage of the source (``is_after_outage``) they may include some
    whose entries have expired. The configuration was published at
    ``configuration_revision``, or NO_REVISION if lost ones may still be
    published again. ``era_start`` is the first revision known of the era.
    """

    number: Count
    age_ms: Integer
    revision: SourceRevision
    base: ConfigurationVersion
    configuration: bytes
    endpoints: bytes
    endpoints_digest: bytes
    closed_data_centres: tuple[str, ...]
    refresh_age_ms: Count = 0
    waited_ms: Count = 0
    endpoints_revision: SourceRevision = NO_REVISION
    is_after_outage: bool = False
    configuration_revision: SourceRevision = NO_REVISION
    era_start: SourceRevision = NO_REVISION


SNAPSHOT_KINDS: dict[int, type[Message]] = {
    84: SnapshotRequest,
    85: SnapshotReply,
}


class ReplyFigures(NamedTuple):
    """Wait for news at the peer, age of its snapshot, and size of the reply."""

    waited_ms: int
    age_ms: int
    received_bytes: int


NO_REPLY = ReplyFigures(0, 0, 0)


class PeerReading(NamedTuple):
    """Reading received from a peer.

    ``current_at`` is the time since boot at which it was known to be current,
    ``refreshed_at`` that at which the reading of the source had ended.
    """

    reading: Reading
    current_at: float
    refreshed_at: float
    reply: ReplyFigures = NO_REPLY


class PeerUnavailable(NamedTuple):
    """A peer supplied no snapshot; ``reason`` says why."""

    reason: str
