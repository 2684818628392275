"""Peer messages of the distribution; they have the kinds 16 to 31.

A version is identified by its number and digest. ``confirmed_ms`` is the wall
time in milliseconds at which a read of the source last confirmed the version;
zero means never. PeerLinks sets ``request_id`` in requests and replies.
"""

from typing import NamedTuple

from wagtailline.codec import Message
from wagtailline.release import Delta


class VersionName(NamedTuple):
    """Number and digest of a version, and the time of its last confirmation."""

    version: int
    digest: bytes
    confirmed_ms: int = 0


class HeadNotice(NamedTuple):
    """Announcement of a reader's version, relayed down the reader's tree.

    The receiver forwards it to the members whose score for the reader is
    between ``low`` and ``high`` inclusive, except those on the ``path``. The
    path lists the relays so far and begins with the reader; it is empty in
    notices between data centres, which are not forwarded. ``sequence``
    increases with each notice of a reader.
    """

    version: VersionName
    path: tuple[str, ...]
    sequence: int
    low: int
    high: int
    deltas: tuple[Delta, ...] = ()


class VersionProbe(NamedTuple):
    """Request for the receiver's version that carries the sender's."""

    version: VersionName
    request_id: int = 0


class VersionReply(NamedTuple):
    """Reply to a probe.

    ``ready`` is false while the sender joins or confirms its version.
    """

    version: VersionName
    ready: bool
    request_id: int = 0


class DeltaRequest(NamedTuple):
    """Request for the deltas that follow the version with the digest."""

    digest: bytes
    request_id: int = 0


class DeltaReply(NamedTuple):
    """Deltas from the requested digest to the version.

    They are empty if the sender has no such chain.
    """

    version: VersionName
    deltas: tuple[Delta, ...]
    request_id: int = 0


class HeadRequest(NamedTuple):
    """Request for the bucket digests of the receiver's version."""

    request_id: int = 0


class HeadReply(NamedTuple):
    """Bucket digests of the version.

    They are empty if the requester must wait ``retry_after_ms`` because the
    sender already serves its limit of transfers.
    """

    version: VersionName
    buckets: tuple[bytes, ...]
    retry_after_ms: int = 0
    request_id: int = 0


class BucketRequest(NamedTuple):
    """Request for buckets by digest."""

    digests: tuple[bytes, ...]
    request_id: int = 0


class BucketReply(NamedTuple):
    """Those requested buckets that the sender has and that fit."""

    buckets: tuple[bytes, ...]
    request_id: int = 0


class Laggard(NamedTuple):
    """Member below the newest version; version 0 means no report."""

    endpoint: str
    version: int


class Aggregate(NamedTuple):
    """Versions of a part of a tree.

    ``lowest`` is the lowest version in it, ``members`` the number of members,
    ``laggards`` a bounded list of the members that are furthest behind.
    """

    lowest: int
    members: int
    laggards: tuple[Laggard, ...] = ()


class Acknowledgement(NamedTuple):
    """Report of a relay to its parent on its part of a reader's tree."""

    reader: str
    aggregate: Aggregate


class ReportRequest(NamedTuple):
    """Request to a reader for the versions of its data centre."""

    request_id: int = 0


class KeptOut(NamedTuple):
    """Version that must not be installed, with the reason."""

    version: int
    digest: bytes
    reason: str


class ReportReply(NamedTuple):
    """Versions of a data centre as its reader knows them.

    ``from_reader`` is false when the sender is not a reader.
    """

    version: VersionName
    from_reader: bool
    aggregate: Aggregate
    kept_out: tuple[KeptOut, ...] = ()
    request_id: int = 0


DISTRIBUTION_KINDS: dict[int, type[Message]] = {
    16: HeadNotice,
    17: VersionProbe,
    18: VersionReply,
    19: DeltaRequest,
    20: DeltaReply,
    21: HeadRequest,
    22: HeadReply,
    23: BucketRequest,
    24: BucketReply,
    25: Acknowledgement,
    26: ReportRequest,
    27: ReportReply,
}
