"""Messages between borrowers, issuers and witnesses."""

from typing import Annotated, NamedTuple

from msgspec import Meta

from wagtailline.codec import Message

Count = Annotated[int, Meta(ge=0, le=10_000_000)]
Milliseconds = Annotated[float, Meta(ge=0, le=1e9)]


class SpentReport(NamedTuple):
    """Number of tokens of one grant that were spent so far.

    The borrower spends no more tokens of a closed grant and gives ``returned``
    of them back. These are fewer than the unspent tokens if a lowered limit
    made the borrower discard some.
    """

    grant: int
    spent: Count
    closed: bool = False
    returned: Count = 0


class GrantRequest(NamedTuple):
    """Request of a borrower to an issuer for tokens.

    A request with the same ``sequence`` as the one before gets the same
    grant again. ``waiting`` is the number of waiting callers and
    ``prefetch`` the number of tokens wanted beyond that. ``issuer`` is the
    key of the process whose grants ``reports`` are about.
    """

    limit: str
    borrower: str
    sequence: int
    waiting: Count
    prefetch: Count
    issuer: str = ''
    reports: tuple[SpentReport, ...] = ()


class Grant(NamedTuple):
    """Reply to a grant request: tokens to spend within the grant time.

    ``tokens`` is zero if the issuer has none. ``burst`` is the burst of the
    limit when the tokens were issued, so that a borrower with a lowered limit
    can scale them. ``wait_ms`` is the time after which the issuer expects to
    have a token for a further request.
    """

    limit: str
    issuer: str
    sequence: int
    grant: int
    tokens: Count
    burst: Count
    wait_ms: Milliseconds


class GrantReturn(NamedTuple):
    """Message that reports spent tokens or closes grants; has no reply."""

    limit: str
    borrower: str
    issuer: str
    reports: tuple[SpentReport, ...]


class LeaseClaim(NamedTuple):
    """Claim of an issuer to a group of limits under one split.

    A split is the division of the group's limits among issuers; ``digest``
    identifies it. A claim is settled if the issuer has verified that no data
    centre uses another split.
    """

    group: int
    version: int
    digest: bytes
    settled: bool = False


class LeaseRequest(NamedTuple):
    """Request of an issuer to a witness to confirm it for the lease time.

    ``data_centre`` is the data centre of the issuers that the claims are
    about. If ``endpoint`` is empty, nothing is leased: the request only
    announces the split and asks whether another one may still be in use.
    """

    endpoint: str
    vm: str
    incarnation: int
    data_centre: str
    claims: tuple[LeaseClaim, ...]


class LeaseAnswer(NamedTuple):
    """Answer of a witness to the claim to one group.

    ``conflict_free_ms`` is the time for which this witness has certainly
    held no conflicting lease, which is one of another process at the endpoint
    or of an issuer under another split of the group. ``settled`` means that
    an issuer under the same split has claimed so. ``superseded`` means that a
    newer process occupies the endpoint.
    """

    group: int
    confirmed: bool
    conflict_free_ms: Milliseconds = 0
    settled: bool = False
    superseded: bool = False


class LeaseReply(NamedTuple):
    """Reply of a witness: its answers in the order of the claims."""

    answers: tuple[LeaseAnswer, ...]


ALLOWANCE_KINDS: dict[int, type[Message]] = {
    40: GrantRequest,
    41: Grant,
    42: GrantReturn,
    43: LeaseRequest,
    44: LeaseReply,
}
