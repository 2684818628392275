"""Messages of the membership protocol, kinds 32 to 38."""

from typing import NamedTuple

from wagtailline.codec import Message
from wagtailline.membership._members import Member, Suspicion


class UpdateBatch(NamedTuple):
    """Statements of members and suspicions, to be disseminated."""

    members: tuple[Member, ...] = ()
    suspicions: tuple[Suspicion, ...] = ()


class DataCentreDigest(NamedTuple):
    """Digest of the statements of a data centre that the sender has."""

    data_centre: str
    digest: int


class GossipMessage(NamedTuple):
    """Updates that are sent to random members."""

    updates: UpdateBatch


class MemberProbe(NamedTuple):
    """Direct probe; ``sender`` is the statement of the probing member."""

    sender: Member
    digests: tuple[DataCentreDigest, ...]
    updates: UpdateBatch
    request_id: int = 0


class ProbeReply(NamedTuple):
    """Reply to a probe; ``member`` is the statement of the probed member.

    ``holder`` is a later occupant of the sender's endpoint, if the probed
    member knows one. ``attests`` is true if it knows none and has been
    running long enough to have learned of one.
    """

    member: Member
    holder: Member | None
    attests: bool
    digests: tuple[DataCentreDigest, ...]
    updates: UpdateBatch
    request_id: int = 0


class IndirectProbe(NamedTuple):
    """Request to probe a member that did not answer the sender."""

    sender: str
    target: str


class IndirectProbeReply(NamedTuple):
    """Statement of the target of an indirect probe, which has answered."""

    member: Member


class SyncRequest(NamedTuple):
    """Fingerprints of all statements of a data centre at the sender."""

    data_centre: str
    fingerprints: bytes
    request_id: int = 0


class SyncReply(NamedTuple):
    """Statements that the sender of a SyncRequest lacks.

    ``suspicions`` are recent ones about statements that the sender has,
    ``wanted_fingerprints`` are those that the replying member lacks, and
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
