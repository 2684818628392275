"""Token bucket of one limit at one issuer."""

from typing import NamedTuple

from wagtailline.allowance._messages import SpentReport
from wagtailline.allowance._plan import NO_SHARE, IssuerShare

# Generation runs slower by this factor, so that rounding of floating point
# sums never yields a token early.
_ROUNDING = 1 - 1e-9


class _Outstanding(NamedTuple):
    borrower: str
    issued: int
    unspent: int
    expires: float


class Bucket:
    """Generates tokens and counts those granted and not yet spent.

    The level plus the outstanding tokens never exceeds the issuer's share of
    the burst. A token leaves that sum only by being spent or by expiring, so
    spending in any window is at most this share plus what was generated.
    """

    def __init__(self, now: float) -> None:
        """Begin empty and without a share."""
        self.level: float = 0
        self.outstanding = 0
        self._share = NO_SHARE
        self._advanced = now
        self._grants: dict[int, _Outstanding] = {}
        self._last_grant = 0

    @property
    def share(self) -> IssuerShare:
        """Return the share in force."""
        return self._share

    def change_share(self, share: IssuerShare) -> None:
        """Put another share in force; a smaller one cuts the level.

        The tokens outstanding count in full against a smaller share, even
        though their borrowers cut them as well.
        """
        self._share = share
        self._cap()

    def advance(self, now: float, until: float) -> None:
        """Generate tokens to the end of a lease; drop expired grants."""
        while self._grants:
            first = next(iter(self._grants))
            expires = self._grants[first].expires
            if expires > now:
                break
            self._generate(min(expires, until))
            self.outstanding -= self._grants.pop(first).unspent
        self._generate(min(now, until))
        self._advanced = max(self._advanced, now)

    def take(self, borrower: str, tokens: int, expires: float) -> int:
        """Move tokens from the level into a new grant; return its number."""
        self.level -= tokens
        self.outstanding += tokens
        self._last_grant += 1
        self._grants[self._last_grant] = _Outstanding(
            borrower, tokens, tokens, expires
        )
        return self._last_grant

    def settle(self, borrower: str, report: SpentReport) -> None:
        """Free what a borrower spent; refill what it will not spend.

        Reports are cumulative and only ever lower the unspent count, so that
        duplicates and late ones change nothing.
        """
        grant = self._grants.get(report.grant)
        if grant is None or grant.borrower != borrower:
            return
        unspent = min(grant.unspent, max(0, grant.issued - report.spent))
        self.outstanding -= grant.unspent - unspent
        self._grants[report.grant] = grant._replace(unspent=unspent)
        if report.closed:
            self._grants.pop(report.grant)
            self.outstanding -= unspent
            self.level += min(unspent, report.returned)
            self._cap()

    def seconds_until(self, tokens: float) -> float:
        """Return when the level reaches a number of tokens."""
        if not self._share.rate:
            return float('inf')
        return max(0, tokens - self.level) / self._share.rate

    def is_idle(self) -> bool:
        """Tell whether the bucket may be forgotten."""
        return not self._grants and not self._share.tokens

    def _generate(self, now: float) -> None:
        if now > self._advanced:
            self.level += (now - self._advanced) * self._share.rate * _ROUNDING
            self._advanced = now
            self._cap()

    def _cap(self) -> None:
        room = max(0, self._share.tokens - self.outstanding)
        self.level = min(self.level, room)
