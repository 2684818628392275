"""Client of the issuers: sends grant requests and spending reports."""

import asyncio
from itertools import count

from wagtailline.allowance._borrowed_limit import (
    BorrowedLimit,
    HeldGrant,
    IssuerState,
)
from wagtailline.allowance._elapsed import ClockReading, Stopwatch
from wagtailline.allowance._issuers import Issuers
from wagtailline.allowance._messages import Grant, GrantRequest, GrantReturn
from wagtailline.allowance._peers import PeerRequests
from wagtailline.allowance._plan import LimitPlan
from wagtailline.allowance._settings import AllowanceSettings, Identity
from wagtailline.codec import Message
from wagtailline.placement import rendezvous_weight
from wagtailline.ports import Clock

_ATTEMPTS = 2


class IssuerClient:
    """Sends requests and reports to issuers for a borrower.

    At most one request for a limit is in flight to each issuer.
    """

    def __init__(
        self,
        identity: Identity,
        issuers: Issuers,
        peers: PeerRequests,
        clock: Clock,
        settings: AllowanceSettings,
    ) -> None:
        """Create a client that calls the issuers of this process directly."""
        self._identity = identity
        self._issuers = issuers
        self._peers = peers
        self._clock = clock
        self._stopwatch = Stopwatch(clock)
        self._settings = settings
        self._sequences = count(1)
        self._tasks: set[asyncio.Task[None]] = set()

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task for a number of seconds."""
        await self._clock.sleep(seconds)

    def update_issuers(self, borrowed: BorrowedLimit, plan: LimitPlan) -> None:
        """Replace the issuers of a limit by those of a new plan.

        Each borrower orders them by its own hash, which spreads the requests
        of all borrowers evenly over the issuers.
        """
        known_states = borrowed.issuers
        borrowed.issuers = {}
        for data_centre, shares in plan.issuers.items():
            is_local = data_centre == self._identity.data_centre
            for endpoint in shares:
                state = known_states.get(endpoint) or IssuerState(
                    endpoint, is_local
                )
                state.ready_at = 0
                borrowed.issuers[endpoint] = state
        borrowed.issuer_order = tuple(
            sorted(
                borrowed.issuers.values(),
                key=lambda state: rendezvous_weight(
                    self._identity.endpoint, state.endpoint
                ),
            )
        )

    def next_ready_at(self, borrowed: BorrowedLimit, now: float) -> float:
        """Return the monotonic time when an issuer should have a token."""
        return max(
            now,
            min(
                (state.ready_at for state in borrowed.issuer_order),
                default=now + self._settings.suspect_seconds,
            ),
        )

    async def request_tokens(
        self, borrowed: BorrowedLimit, width: int, prefetch: int
    ) -> bool:
        """Ask up to ``width`` issuers and return whether any was asked.

        Wait until all have answered, but no longer than the hedge time, so
        that a failed issuer does not delay the callers. Grants that arrive
        later are used as well.
        """
        now = self._clock.monotonic()
        states = _select_ready(borrowed, now)[:width]
        if not states:
            return False
        waiting_per_issuer = -(-len(borrowed.waiters) // len(states))
        tasks = [
            self._start(
                borrowed, state, waiting_per_issuer, -(-prefetch // len(states))
            )
            for state in states
        ]
        await asyncio.wait(tasks, timeout=self._settings.hedge_seconds)
        return True

    async def wait_for_reply(self, borrowed: BorrowedLimit) -> bool:
        """Wait for any reply and return whether a request was in flight."""
        tasks = [
            state.request_task
            for state in borrowed.issuer_order
            if state.request_task
        ]
        if tasks:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        return bool(tasks)

    def report(self, borrowed: BorrowedLimit) -> None:
        """Report spent and returned tokens to their issuers."""
        for endpoint in borrowed.unreported_issuers():
            issuer, reports = borrowed.take_reports(endpoint)
            message = GrantReturn(
                borrowed.limit, self._identity.key, issuer, reports
            )
            if endpoint == self._identity.endpoint:
                self._issuers.handle_return(message)
            else:
                task = asyncio.ensure_future(
                    self._peers.post(endpoint, message)
                )
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Cancel the requests and reports in flight."""
        for task in self._tasks:
            task.cancel()

    def _start(
        self,
        borrowed: BorrowedLimit,
        state: IssuerState,
        waiting: int,
        prefetch: int,
    ) -> asyncio.Task[None]:
        issuer, reports = borrowed.take_reports(state.endpoint)
        request = GrantRequest(
            borrowed.limit,
            self._identity.key,
            next(self._sequences),
            waiting,
            prefetch,
            issuer,
            reports,
        )
        task = asyncio.ensure_future(self._ask(borrowed, state, request))
        state.request_task = task
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _ask(
        self, borrowed: BorrowedLimit, state: IssuerState, request: GrantRequest
    ) -> None:
        sent_at = self._stopwatch.now()
        try:
            reply = await self._send(state.endpoint, request)
        finally:
            state.request_task = None
        now = self._stopwatch.now()
        match reply:
            case Grant() if _is_reply_to(reply, request):
                state.round_trip_seconds = now.monotonic - sent_at.monotonic
                state.ready_at = now.monotonic + reply.wait_ms / 1000
                self._receive(borrowed, state.endpoint, reply, sent_at)
                borrowed.serve_waiters(now)
            case _:
                state.ready_at = now.monotonic + self._settings.suspect_seconds

    def _receive(
        self,
        borrowed: BorrowedLimit,
        endpoint: str,
        grant: Grant,
        sent_at: ClockReading,
    ) -> None:
        if grant.tokens:
            lifetime_seconds = self._settings.grant_seconds
            borrowed.add_grant(
                HeldGrant(endpoint, grant, sent_at, lifetime_seconds)
            )

    async def _send(
        self, endpoint: str, request: GrantRequest
    ) -> Message | None:
        if endpoint == self._identity.endpoint:
            return self._issuers.handle_request(request)
        reply = None
        for _ in range(_ATTEMPTS):
            # If the reply was lost, retrying with the same sequence returns
            # the same grant and does not debit the issuer again.
            reply = await self._peers.request(
                endpoint, request, self._settings.request_seconds
            )
            if reply is not None:
                break
        return reply


def _is_reply_to(grant: Grant, request: GrantRequest) -> bool:
    """Return whether a grant replies to this request, not an earlier one."""
    return grant.sequence == request.sequence and grant.limit == request.limit


def _select_ready(borrowed: BorrowedLimit, now: float) -> list[IssuerState]:
    ready = (
        state
        for state in borrowed.issuer_order
        if state.request_task is None and state.ready_at <= now
    )
    return sorted(
        ready, key=lambda state: (not state.is_local, state.round_trip_seconds)
    )
