"""Messages of the distribution, kinds 16 to 31.

Versions are named by number and digest. ``confirmed_ms`` is the wall time in
milliseconds at which a read of the source last confirmed the version; zero
means never. Requests and replies carry ``request_id``, set by PeerLinks.
"""

from typing import NamedTuple

from wagtailline.codec import Message
from wagtailline.release import Delta


class VersionName(NamedTuple):
    """A version and the time of its last confirmation."""

    version: int
    digest: bytes
    confirmed_ms: int = 0


class HeadNotice(NamedTuple):
    """A reader's version on its way down the tree.

    The receiver passes it on to the members whose score for the reader is
    from ``low`` to ``high``, other than those on the ``path``, which begins
    with the reader. An empty path marks a notice between data centres.
    """

    version: VersionName
    path: tuple[str, ...]
    sequence: int
    low: int
    high: int
    deltas: tuple[Delta, ...] = ()


class VersionProbe(NamedTuple):
    """Asks for the receiver's version and tells the sender's."""

    version: VersionName
    request_id: int = 0


class VersionReply(NamedTuple):
    """Answers a probe; ``ready`` is false while the sender is joining."""

    version: VersionName
    ready: bool
    request_id: int = 0


class DeltaRequest(NamedTuple):
    """Asks for the deltas that follow the digest."""

    digest: bytes
    request_id: int = 0


class DeltaReply(NamedTuple):
    """Deltas from the digest asked for to the version; may be empty."""

    version: VersionName
    deltas: tuple[Delta, ...]
    request_id: int = 0


class HeadRequest(NamedTuple):
    """Asks for the bucket digests of the receiver's version."""

    request_id: int = 0


class HeadReply(NamedTuple):
    """Bucket digests; none when the receiver has to wait first."""

    version: VersionName
    buckets: tuple[bytes, ...]
    retry_after_ms: int = 0
    request_id: int = 0


class BucketRequest(NamedTuple):
    """Asks for buckets by digest."""

    digests: tuple[bytes, ...]
    request_id: int = 0


class BucketReply(NamedTuple):
    """The buckets that the sender holds, as many as fit."""

    buckets: tuple[bytes, ...]
    request_id: int = 0


class Laggard(NamedTuple):
    """A member below the newest version; zero means no report."""

    endpoint: str
    version: int


class Aggregate(NamedTuple):
    """Versions of a part of the tree: the lowest and who holds it up."""

    lowest: int
    members: int
    laggards: tuple[Laggard, ...] = ()


class Acknowledgement(NamedTuple):
    """What a relay knows about its part of a reader's tree."""

    reader: str
    aggregate: Aggregate


class ReportRequest(NamedTuple):
    """Asks a reader about its data centre."""

    request_id: int = 0


class KeptOut(NamedTuple):
    """A version that is kept out, and why."""

    version: int
    digest: bytes
    reason: str


class ReportReply(NamedTuple):
    """A reader's view; ``rooted`` is false when the sender is no reader."""

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
