"""Messages of the membership subsystem, kinds 32 to 38."""

from typing import NamedTuple

from wagtailline.codec import Message
from wagtailline.membership._members import Member, Suspicion


class UpdateBatch(NamedTuple):
    """Statements of members and doubts about members, to be passed on."""

    members: tuple[Member, ...] = ()
    suspicions: tuple[Suspicion, ...] = ()


class DataCentreDigest(NamedTuple):
    """Digest of the statements that the sender holds of a data centre."""

    data_centre: str
    digest: int


class GossipMessage(NamedTuple):
    """News for a random member."""

    updates: UpdateBatch


class MemberProbe(NamedTuple):
    """Question whether a member answers; ``sender`` is its own statement."""

    sender: Member
    digests: tuple[DataCentreDigest, ...]
    updates: UpdateBatch
    request_id: int = 0


class ProbeReply(NamedTuple):
    """Answer to a probe with the statement of the member that answers.

    ``holder`` is the higher incarnation at the sender's endpoint, if the
    answering member knows one. ``attests`` tells that it knows the sender
    as the holder and has been running long enough to have learned of a
    higher one.
    """

    member: Member
    holder: Member | None
    attests: bool
    digests: tuple[DataCentreDigest, ...]
    updates: UpdateBatch
    request_id: int = 0


class IndirectProbe(NamedTuple):
    """Request to probe a member that does not answer the sender."""

    sender: str
    target: str


class IndirectProbeReply(NamedTuple):
    """Statement of a member that answered an indirect probe."""

    member: Member


class SyncRequest(NamedTuple):
    """Fingerprints of all statements of a data centre that are held."""

    data_centre: str
    fingerprints: bytes
    request_id: int = 0


class SyncReply(NamedTuple):
    """Statements missing at the sender of a MemberSync.

    ``doubts`` are recent doubts about statements that the sender holds,
    ``wants`` are the fingerprints that the answering member lacks, and
    ``remaining`` is the number of statements that did not fit.
    """

    members: tuple[Member, ...]
    suspicions: tuple[Suspicion, ...]
    wanted_fingerprints: bytes
    remaining: int
    request_id: int = 0


MEMBERSHIP_KINDS: dict[int, type[Message]] = {
    32: GossipMessage,
    33: MemberProbe,
    34: ProbeReply,
    35: IndirectProbe,
    36: IndirectProbeReply,
    37: SyncRequest,
    38: SyncReply,
}
