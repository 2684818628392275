"""Token bucket for one issuer's share of a limit."""

from typing import NamedTuple

from wagtailline.allowance._messages import SpentReport
from wagtailline.allowance._plan import NO_SHARE, IssuerShare

# Slows generation slightly, so that rounding of floating-point sums never
# makes a token available early.
_GENERATION_FACTOR = 1 - 1e-9


class _OutstandingGrant(NamedTuple):
    borrower: str
    issued: int
    unspent: int
    expires: float


class Bucket:
    """Generates tokens and tracks those that are granted but not yet spent.

    The level (tokens free to grant) plus the outstanding tokens (granted and
    unspent) never exceeds the issuer's share of the burst. A token leaves
    that sum only by being spent or by expiring, so at most the share plus the
    tokens generated meanwhile are spent in any window.
    """

    def __init__(self, now: float) -> None:
        """Create an empty bucket with a share of zero."""
        self.level: float = 0
        self.outstanding = 0
        self._share = NO_SHARE
        self._advanced_at = now
        self._grants: dict[int, _OutstandingGrant] = {}
        self._last_grant_number = 0

    @property
    def share(self) -> IssuerShare:
        """Return the current share of burst and rate."""
        return self._share

    def change_share(self, share: IssuerShare) -> None:
        """Replace the share and reduce the level to fit a smaller one.

        Outstanding tokens count in full against a smaller share, although
        their borrowers also reduce them.
        """
        self._share = share
        self._cap_level()

    def advance(self, now: float, until: float) -> None:
        """Generate tokens up to ``until`` and remove expired grants.

        ``until`` is the end of the lease; nothing is generated after it.
        """
        while self._grants:
            first = next(iter(self._grants))
            expires = self._grants[first].expires
            if expires > now:
                break
            self._generate(min(expires, until))
            self.outstanding -= self._grants.pop(first).unspent
        self._generate(min(now, until))
        self._advanced_at = max(self._advanced_at, now)

    def issue(self, borrower: str, tokens: int, expires: float) -> int:
        """Move tokens from the level to a new grant and return its number."""
        self.level -= tokens
        self.outstanding += tokens
        self._last_grant_number += 1
        self._grants[self._last_grant_number] = _OutstandingGrant(
            borrower, tokens, tokens, expires
        )
        return self._last_grant_number

    def apply_report(self, borrower: str, report: SpentReport) -> None:
        """Deduct spent tokens from a grant and take returned ones back.

        Reports are cumulative and can only lower the unspent count, so
        duplicate and late reports have no effect.
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
            self._cap_level()

    def seconds_until(self, tokens: float) -> float:
        """Return the seconds until the level reaches ``tokens``."""
        if not self._share.rate:
            return float('inf')
        return max(0, tokens - self.level) / self._share.rate

    def is_idle(self) -> bool:
        """Return whether the bucket has no grants and no share."""
        return not self._grants and not self._share.tokens

    def _generate(self, now: float) -> None:
        if now > self._advanced_at:
            self.level += (
                (now - self._advanced_at)
                * self._share.rate
                * _GENERATION_FACTOR
            )
            self._advanced_at = now
            self._cap_level()

    def _cap_level(self) -> None:
        room = max(0, self._share.tokens - self.outstanding)
        self.level = min(self.level, room)
