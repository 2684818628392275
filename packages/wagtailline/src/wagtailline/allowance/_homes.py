"""Homes: the limits whose tokens this position generates."""

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
    HomeShare,
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


class _Home:
    """State of one limit at this home."""

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


class Homes:
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
        self._homes: dict[str, _Home] = {}

    def answer(self, request: GrantRequest) -> Grant | None:
        """Grant what there is; None for a request that came too late."""
        plan = self._plans.current()
        limit = plan.limit(request.limit) if plan else None
        if plan is None or limit is None:
            return None
        home = self._refresh(request.limit, plan)
        self._settle(home, request.home, request.borrower, request.reports)
        sequence, _, reply = home.replies.get(request.borrower, (0, 0, None))
        if request.sequence <= sequence:
            return reply if request.sequence == sequence else None
        grant = self._grant(home, request, limit.limit.burst)
        now = self._stopwatch.now().monotonic
        home.replies[request.borrower] = (request.sequence, now, grant)
        return grant

    def take_back(self, returned: GrantReturn) -> None:
        """Record spending and returned tokens."""
        plan = self._plans.current()
        if plan is not None and returned.limit in self._homes:
            home = self._refresh(returned.limit, plan)
            self._settle(
                home, returned.home, returned.borrower, returned.reports
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
        for name, home in tuple(self._homes.items()):
            home.forget_replies(now)
            self._refresh(name, plan)
            if home.bucket.is_idle():
                self._homes.pop(name)

    def _refresh(self, name: str, plan: Plan) -> _Home:
        now = self._stopwatch.now().monotonic
        if name not in self._homes:
            self._homes[name] = _Home(now)
        home = self._homes[name]
        share = home.bucket.share
        limit = plan.limit(name)
        if limit is None:
            share = NO_SHARE
            home.fraction = _NO_FRACTION
        elif self._leases.valid_until(limit.group) > now:
            share = self._find_share(home, limit, plan)
        # Part of the time since the last call may have passed under the new
        # share already, so the lower one of both counts for it.
        home.bucket.change_share(_lower(share, home.bucket.share))
        home.bucket.advance(now, home.valid_until)
        home.bucket.change_share(share)
        if limit is not None:
            home.fraction = _fraction(share, limit.limit)
            home.valid_until = self._leases.valid_until(limit.group)
        if home.valid_until > now:
            home.confirmed = self._stopwatch.now()
        return home

    def _find_share(
        self, home: _Home, plan: LimitPlan, whole: Plan
    ) -> HomeShare:
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
        lapse = self._stopwatch.elapsed(home.confirmed)
        if lapse >= self._settings.lease_seconds:
            return NO_SHARE
        tokens, rate = home.fraction
        kept = HomeShare(int(tokens * plan.limit.burst), rate * plan.limit.rate)
        return _lower(target, kept)

    def _settle(
        self,
        home: _Home,
        issuer: str,
        borrower: str,
        reports: Sequence[SpentReport],
    ) -> None:
        # Grant numbers begin again in each process, so a report about an
        # earlier process of this position must not free grants of this one.
        if issuer == self._identity.key:
            for report in reports:
                home.bucket.settle(borrower, report)

    def _grant(self, home: _Home, request: GrantRequest, burst: int) -> Grant:
        now = self._stopwatch.now().monotonic
        usable = home.bucket.level if home.valid_until > now else 0
        free = int(usable)
        waiting = min(request.waiting, free)
        # Prefetched tokens may be wanted elsewhere before they are spent, so
        # that they come out of the upper half of the bucket only.
        spare = max(0, free - waiting - home.bucket.share.tokens // 2)
        tokens = waiting + min(request.prefetch, spare)
        number = 0
        if tokens:
            expires = now + self._settings.held_grant_seconds
            number = home.bucket.take(request.borrower, tokens, expires)
        wait: float = 0
        if tokens < request.waiting or not tokens:
            home.turned_away += 1
            wait = self._seconds_until_next(home, now)
        else:
            home.turned_away = 0
        return Grant(
            request.limit,
            self._identity.key,
            request.sequence,
            number,
            tokens,
            burst,
            wait * 1000,
        )

    def _seconds_until_next(self, home: _Home, now: float) -> float:
        if home.valid_until <= now or not home.bucket.share.tokens:
            return self._settings.suspect_seconds
        # Borrowers that ask an empty home in turn come back when there is a
        # token for each, but before the bucket is full and tokens are lost.
        most = max(1, home.bucket.share.tokens // 2)
        wait = home.bucket.seconds_until(min(home.turned_away, most))
        return min(wait, _MAX_WAIT_SECONDS)


def _lower(first: HomeShare, second: HomeShare) -> HomeShare:
    return HomeShare(
        min(first.tokens, second.tokens), min(first.rate, second.rate)
    )


def _fraction(share: HomeShare, limit: Limit) -> tuple[float, float]:
    return share.tokens / limit.burst, share.rate / limit.rate
