"""Issuers: the limits whose tokens this position generates."""

from collections.abc import Sequence

from wagtailline.allowance._bucket import Bucket
from wagtailline.allowance._elapsed import Moment, Stopwatch
from wagtailline.allowance._leases import Leases
from wagtailline.allowance._messages import (
    Grant,
    GrantRequest,
    GrantReturn,
    SpentReport,
)
from wagtailline.allowance._plan import (
    NO_SHARE,
    IssuerShare,
    LimitPlan,
    Plan,
    PlanCache,
)
from wagtailline.allowance._settings import AllowanceSettings, Identity
from wagtailline.objects import Limit

# Replies are kept for repeated requests while the grant may be useful.
_REPLY_SECONDS = 5
# A longer wait is reported as this one, as a rate may be tiny.
_MAX_WAIT_SECONDS = 3600
_NEVER = float('-inf')
_NO_FRACTION: tuple[float, float] = (0, 0)


class _Issuer:
    """State of one limit at this issuer."""

    def __init__(self, now: float) -> None:
        self.bucket = Bucket(now)
        self.valid_until = _NEVER
        self.confirmed = Moment(_NEVER, _NEVER)
        self.fraction = _NO_FRACTION
        self.turned_away = 0
        self.replies: dict[str, tuple[int, float, Grant]] = {}

    def forget_replies(self, now: float) -> None:
        """Drop replies that no request repeats any more."""
        for borrower, (_, sent, _grant) in tuple(self.replies.items()):
            if sent < now - _REPLY_SECONDS:
                self.replies.pop(borrower)


class Issuers:
    """Answers borrowers out of the buckets of this position."""

    def __init__(
        self,
        identity: Identity,
        plans: PlanCache,
        leases: Leases,
        stopwatch: Stopwatch,
        settings: AllowanceSettings,
    ) -> None:
        """Begin with empty buckets, whatever was generated before."""
        self._identity = identity
        self._plans = plans
        self._leases = leases
        self._stopwatch = stopwatch
        self._settings = settings
        self._issuers: dict[str, _Issuer] = {}

    def answer(self, request: GrantRequest) -> Grant | None:
        """Grant what there is; None for a request that came too late."""
        plan = self._plans.current()
        limit = plan.limit(request.limit) if plan else None
        if plan is None or limit is None:
            return None
        issuer = self._refresh(request.limit, plan)
        self._settle(issuer, request.issuer, request.borrower, request.reports)
        sequence, _, reply = issuer.replies.get(request.borrower, (0, 0, None))
        if request.sequence <= sequence:
            return reply if request.sequence == sequence else None
        grant = self._grant(issuer, request, limit.limit.burst)
        now = self._stopwatch.now().monotonic
        issuer.replies[request.borrower] = (request.sequence, now, grant)
        return grant

    def take_back(self, returned: GrantReturn) -> None:
        """Record spending and returned tokens."""
        plan = self._plans.current()
        if plan is not None and returned.limit in self._issuers:
            issuer = self._refresh(returned.limit, plan)
            self._settle(
                issuer, returned.issuer, returned.borrower, returned.reports
            )

    def refresh_all(self) -> None:
        """Generate tokens in every bucket, also where nobody asks."""
        plan = self._plans.current()
        if plan is None:
            return
        identity = self._identity
        for group in plan.groups_of(identity.data_centre, identity.endpoint):
            for limit in plan.limits_of(group):
                self._refresh(limit.name, plan)
        now = self._stopwatch.now().monotonic
        for name, issuer in tuple(self._issuers.items()):
            issuer.forget_replies(now)
            self._refresh(name, plan)
            if issuer.bucket.is_idle():
                self._issuers.pop(name)

    def _refresh(self, name: str, plan: Plan) -> _Issuer:
        now = self._stopwatch.now().monotonic
        if name not in self._issuers:
            self._issuers[name] = _Issuer(now)
        issuer = self._issuers[name]
        share = issuer.bucket.share
        limit = plan.limit(name)
        if limit is None:
            share = NO_SHARE
            issuer.fraction = _NO_FRACTION
        elif self._leases.valid_until(limit.group) > now:
            share = self._find_share(issuer, limit, plan)
        # Part of the time since the last call may have passed under the new
        # share already, so the lower one of both counts for it.
        issuer.bucket.change_share(_lower(share, issuer.bucket.share))
        issuer.bucket.advance(now, issuer.valid_until)
        issuer.bucket.change_share(share)
        if limit is not None:
            issuer.fraction = _fraction(share, limit.limit)
            issuer.valid_until = self._leases.valid_until(limit.group)
        if issuer.valid_until > now:
            issuer.confirmed = self._stopwatch.now()
        return issuer

    def _find_share(
        self, issuer: _Issuer, plan: LimitPlan, whole: Plan
    ) -> IssuerShare:
        """Return the published share, or what is safe of it until then.

        Grants of an earlier holder or split can still be spent for a grant
        time; until that has passed, a share may shrink but not grow. After a
        lapse long enough for another split to come and go, it is zero.
        """
        identity = self._identity
        target = whole.share(
            plan.limit.name, identity.data_centre, identity.endpoint
        )
        digest = whole.group(plan.group, identity.data_centre).digest
        if self._leases.is_settled(plan.group, digest):
            return target
        lapse = self._stopwatch.elapsed(issuer.confirmed)
        if lapse >= self._settings.lease_seconds:
            return NO_SHARE
        tokens, rate = issuer.fraction
        kept = IssuerShare(
            int(tokens * plan.limit.burst), rate * plan.limit.rate
        )
        return _lower(target, kept)

    def _settle(
        self,
        issuer: _Issuer,
        issuer_key: str,
        borrower: str,
        reports: Sequence[SpentReport],
    ) -> None:
        # Grant numbers begin again in each process, so a report about an
        # earlier process of this position must not free grants of this one.
        if issuer_key == self._identity.key:
            for report in reports:
                issuer.bucket.settle(borrower, report)

    def _grant(
        self, issuer: _Issuer, request: GrantRequest, burst: int
    ) -> Grant:
        now = self._stopwatch.now().monotonic
        usable = issuer.bucket.level if issuer.valid_until > now else 0
        free = int(usable)
        waiting = min(request.waiting, free)
        # Prefetched tokens may be wanted elsewhere before they are spent, so
        # that they come out of the upper half of the bucket only.
        spare = max(0, free - waiting - issuer.bucket.share.tokens // 2)
        tokens = waiting + min(request.prefetch, spare)
        number = 0
        if tokens:
            expires = now + self._settings.held_grant_seconds
            number = issuer.bucket.take(request.borrower, tokens, expires)
        wait: float = 0
        if tokens < request.waiting or not tokens:
            issuer.turned_away += 1
            wait = self._seconds_until_next(issuer, now)
        else:
            issuer.turned_away = 0
        return Grant(
            request.limit,
            self._identity.key,
            request.sequence,
            number,
            tokens,
            burst,
            wait * 1000,
        )

    def _seconds_until_next(self, issuer: _Issuer, now: float) -> float:
        if issuer.valid_until <= now or not issuer.bucket.share.tokens:
            return self._settings.suspect_seconds
        # Borrowers that ask an empty issuer in turn come back when there is a
        # token for each, but before the bucket is full and tokens are lost.
        most = max(1, issuer.bucket.share.tokens // 2)
        wait = issuer.bucket.seconds_until(min(issuer.turned_away, most))
        return min(wait, _MAX_WAIT_SECONDS)


def _lower(first: IssuerShare, second: IssuerShare) -> IssuerShare:
    return IssuerShare(
        min(first.tokens, second.tokens), min(first.rate, second.rate)
    )


def _fraction(share: IssuerShare, limit: Limit) -> tuple[float, float]:
    return share.tokens / limit.burst, share.rate / limit.rate
