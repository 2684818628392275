"""Messages between borrowers, issuers and witnesses."""

from typing import Annotated, NamedTuple

from msgspec import Meta

from wagtailline.codec import Message

Count = Annotated[int, Meta(ge=0, le=10_000_000)]
Milliseconds = Annotated[float, Meta(ge=0, le=1e9)]


class SpentReport(NamedTuple):
    """Tokens of one grant spent so far.

    A closed grant is spent no more, and ``returned`` tokens of it go back.
    These are less than what was not spent when a lowered limit cut them.
    """

    grant: int
    spent: Count
    closed: bool = False
    returned: Count = 0


class GrantRequest(NamedTuple):
    """Asks an issuer for tokens; a repeated sequence gets the same grant.

    ``issuer`` is the process that issued the grants reported, ``waiting`` the
    callers that wait now and ``prefetch`` what more would be useful.
    """

    limit: str
    borrower: str
    sequence: int
    waiting: Count
    prefetch: Count
    issuer: str = ''
    reports: tuple[SpentReport, ...] = ()


class Grant(NamedTuple):
    """Tokens leased for the grant time, none when ``tokens`` is zero.

    ``burst`` is that of the limit when the tokens were issued, so that a
    receiver with a lowered limit can scale them; ``wait_ms`` is the time
    until the issuer expects its next token.
    """

    limit: str
    issuer: str
    sequence: int
    grant: int
    tokens: Count
    burst: Count
    wait_ms: Milliseconds


class GrantReturn(NamedTuple):
    """Reports spending, or closes grants, without asking for tokens."""

    limit: str
    borrower: str
    issuer: str
    reports: tuple[SpentReport, ...]


class LeaseClaim(NamedTuple):
    """A group of limits and the split that the issuer acts on.

    A settled claim tells that no data centre acts on another split.
    """

    group: int
    version: int
    digest: bytes
    settled: bool = False


class LeaseRequest(NamedTuple):
    """An issuer asks a witness to confirm it for the lease time.

    ``data_centre`` is that of the issuers the claims are about. Without an
    endpoint nothing is leased: the request only tells of the split and asks
    whether another one may still be in use.
    """

    endpoint: str
    vm: str
    incarnation: int
    data_centre: str
    claims: tuple[LeaseClaim, ...]


class LeaseAnswer(NamedTuple):
    """A witness's answer for one group.

    ``quiet_ms`` is how long no other holder of the position, and no issuer of
    another split of the group, has had a lease of this witness. ``settled``
    repeats what an issuer of the same split told.
    """

    group: int
    confirmed: bool
    quiet_ms: Milliseconds = 0
    settled: bool = False
    superseded: bool = False


class LeaseReply(NamedTuple):
    """Answers of one witness, in the order of the claims."""

    answers: tuple[LeaseAnswer, ...]


ALLOWANCE_KINDS: dict[int, type[Message]] = {
    40: GrantRequest,
    41: Grant,
    42: GrantReturn,
    43: LeaseRequest,
    44: LeaseReply,
}
