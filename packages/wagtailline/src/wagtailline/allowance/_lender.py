"""Requests of a borrower to the issuers of a limit."""

import asyncio
from itertools import count

from wagtailline.allowance._elapsed import Moment, Stopwatch
from wagtailline.allowance._issuers import Issuers
from wagtailline.allowance._messages import Grant, GrantRequest, GrantReturn
from wagtailline.allowance._peers import PeerRequests
from wagtailline.allowance._plan import LimitPlan
from wagtailline.allowance._settings import AllowanceSettings, Identity
from wagtailline.allowance._stock import HeldGrant, IssuerView, Stock
from wagtailline.codec import Message
from wagtailline.placement import score
from wagtailline.ports import Clock

_ATTEMPTS = 2


class Lender:
    """Asks issuers for tokens and reports to them, one request per issuer."""

    def __init__(
        self,
        identity: Identity,
        issuers: Issuers,
        peers: PeerRequests,
        clock: Clock,
        settings: AllowanceSettings,
    ) -> None:
        """Reach the issuers of this process directly, others by peers."""
        self._identity = identity
        self._issuers = issuers
        self._peers = peers
        self._clock = clock
        self._stopwatch = Stopwatch(clock)
        self._settings = settings
        self._sequences = count(1)
        self._tasks: set[asyncio.Task[None]] = set()

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task."""
        await self._clock.sleep(seconds)

    def follow(self, stock: Stock, plan: LimitPlan) -> None:
        """Take the issuers of another version, the nearest first.

        Every borrower has its own order, so that issuers are asked equally.
        """
        known = stock.issuers
        stock.issuers = {}
        for data_centre, shares in plan.issuers.items():
            is_local = data_centre == self._identity.data_centre
            for endpoint in shares:
                view = known.get(endpoint) or IssuerView(endpoint, is_local)
                view.ready_at = 0
                stock.issuers[endpoint] = view
        stock.order = tuple(
            sorted(
                stock.issuers.values(),
                key=lambda view: score(self._identity.endpoint, view.endpoint),
            )
        )

    def next_ready(self, stock: Stock, now: float) -> float:
        """Return when the next issuer is expected to have a token."""
        return max(
            now,
            min(
                (view.ready_at for view in stock.order),
                default=now + self._settings.suspect_seconds,
            ),
        )

    async def borrow(self, stock: Stock, width: int, prefetch: int) -> bool:
        """Ask up to ``width`` issuers at once; tell whether any was asked.

        Returns when all have answered, or after the hedge time, so that a
        dead issuer does not delay the callers; late grants count as well.
        """
        now = self._clock.monotonic()
        views = _choose(stock, now)[:width]
        if not views:
            return False
        share = -(-len(stock.waiters) // len(views))
        tasks = [
            self._start(stock, view, share, -(-prefetch // len(views)))
            for view in views
        ]
        await asyncio.wait(tasks, timeout=self._settings.hedge_seconds)
        return True

    async def wait_in_flight(self, stock: Stock) -> bool:
        """Wait for one more answer; tell whether there was any to come."""
        tasks = [view.asking for view in stock.order if view.asking]
        if tasks:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        return bool(tasks)

    def report(self, stock: Stock) -> None:
        """Tell issuers what was spent and what is returned."""
        for endpoint in stock.unreported_issuers():
            issuer, reports = stock.reports(endpoint)
            message = GrantReturn(
                stock.limit, self._identity.key, issuer, reports
            )
            if endpoint == self._identity.endpoint:
                self._issuers.take_back(message)
            else:
                task = asyncio.ensure_future(
                    self._peers.post(endpoint, message)
                )
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Give up the requests in flight."""
        for task in self._tasks:
            task.cancel()

    def _start(
        self, stock: Stock, view: IssuerView, waiting: int, prefetch: int
    ) -> asyncio.Task[None]:
        issuer, reports = stock.reports(view.endpoint)
        request = GrantRequest(
            stock.limit,
            self._identity.key,
            next(self._sequences),
            waiting,
            prefetch,
            issuer,
            reports,
        )
        task = asyncio.ensure_future(self._ask(stock, view, request))
        view.asking = task
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _ask(
        self, stock: Stock, view: IssuerView, request: GrantRequest
    ) -> None:
        sent = self._stopwatch.now()
        try:
            reply = await self._send(view.endpoint, request)
        finally:
            view.asking = None
        now = self._stopwatch.now()
        match reply:
            case Grant() if _answers(reply, request):
                view.round_trip = now.monotonic - sent.monotonic
                view.ready_at = now.monotonic + reply.wait_ms / 1000
                self._receive(stock, view.endpoint, reply, sent)
                stock.serve(now)
            case _:
                view.ready_at = now.monotonic + self._settings.suspect_seconds

    def _receive(
        self, stock: Stock, endpoint: str, grant: Grant, sent: Moment
    ) -> None:
        if grant.tokens:
            seconds = self._settings.grant_seconds
            stock.add(HeldGrant(endpoint, grant, sent, seconds))

    async def _send(
        self, endpoint: str, request: GrantRequest
    ) -> Message | None:
        if endpoint == self._identity.endpoint:
            return self._issuers.answer(request)
        reply = None
        for _ in range(_ATTEMPTS):
            # The same sequence again brings back a grant whose reply was
            # lost, without a second debit.
            reply = await self._peers.request(
                endpoint, request, self._settings.request_seconds
            )
            if reply is not None:
                break
        return reply


def _answers(grant: Grant, request: GrantRequest) -> bool:
    """Tell whether a grant is for this request and none before it."""
    return grant.sequence == request.sequence and grant.limit == request.limit


def _choose(stock: Stock, now: float) -> list[IssuerView]:
    ready = (
        view
        for view in stock.order
        if view.asking is None and view.ready_at <= now
    )
    return sorted(ready, key=lambda view: (not view.is_local, view.round_trip))
