"""The allowance service of a daemon."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

from result import Result

from wagtailline.allowance._borrower import AllowanceRefusal, Borrower
from wagtailline.allowance._elapsed import Stopwatch
from wagtailline.allowance._issuers import Issuers
from wagtailline.allowance._leases import Leases
from wagtailline.allowance._lender import Lender
from wagtailline.allowance._messages import (
    GrantRequest,
    GrantReturn,
    LeaseRequest,
)
from wagtailline.allowance._peers import PeerRequests
from wagtailline.allowance._plan import PlanCache
from wagtailline.allowance._settings import (
    DEFAULT_SETTINGS,
    AllowanceSettings,
    Identity,
)
from wagtailline.allowance._witness import Witness
from wagtailline.codec import Message
from wagtailline.ports import Clock
from wagtailline.snapshot import SnapshotStore

# A lease that is not confirmed is asked for this many times as often.
_EAGERNESS = 5
# Buckets also generate when they are asked. Where nobody asks, this has to
# happen more often than a lease lasts, or the issuer counts as lapsed.
_RENEWALS_PER_REFRESH = 2


class Allowance:
    """Keeps accounts within their rate and burst over all daemons.

    One daemon is a borrower of every limit, an issuer of some and a witness
    of some positions. A new process starts without any of their state.
    """

    def __init__(
        self,
        identity: Identity,
        snapshots: SnapshotStore,
        peers: PeerRequests,
        clock: Clock,
        random: Random,
        settings: AllowanceSettings = DEFAULT_SETTINGS,
    ) -> None:
        """Wire the parts; nothing is sent before the start."""
        plans = PlanCache(snapshots, settings)
        self.plans = plans
        stopwatch = Stopwatch(clock)
        self._clock = clock
        self._random = random
        self._settings = settings
        self._peers = peers
        self._witness = Witness(plans, clock, settings)
        self._leases = Leases(
            identity, plans, peers, self._witness, stopwatch, settings
        )
        self._issuers = Issuers(
            identity, plans, self._leases, stopwatch, settings
        )
        self._lender = Lender(identity, self._issuers, peers, clock, settings)
        self._borrower = Borrower(
            plans, self._lender, stopwatch, random, settings
        )
        self._renewals = 0
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Register the handlers and begin to renew leases."""
        self._peers.register(GrantRequest, self._on_request)
        self._peers.register(GrantReturn, self._on_return)
        self._peers.register(LeaseRequest, self._on_lease)
        self._tasks = [
            asyncio.ensure_future(self._repeat(self._renew)),
            asyncio.ensure_future(self._repeat(self._report)),
        ]

    async def stop(self) -> None:
        """Return all unspent tokens and end the tasks."""
        for task in self._tasks:
            task.cancel()
        self._borrower.close()
        await asyncio.sleep(0)
        self._lender.close()
        self._leases.close()

    async def acquire(
        self, limit_name: str, timeout_seconds: float
    ) -> Result[None, AllowanceRefusal]:
        """Admit one call of a limit, waiting up to the timeout for it.

        The refusal names the limit, says that the call was not run and
        when to come back.
        """
        return await self._borrower.acquire(limit_name, timeout_seconds)

    async def _repeat(self, action: Callable[[], Awaitable[float]]) -> None:
        while True:
            pause = await action()
            # Jitter keeps the daemons from acting in step.
            await self._clock.sleep(pause * self._random.uniform(0.8, 1))

    async def _renew(self) -> float:
        confirmed = await self._leases.renew()
        self._renewals += 1
        if not confirmed or self._renewals % _RENEWALS_PER_REFRESH == 0:
            self._issuers.refresh_all()
        seconds = self._settings.renew_seconds
        return seconds if confirmed else seconds / _EAGERNESS

    async def _report(self) -> float:
        self._borrower.report()
        return self._settings.report_seconds

    async def _on_request(
        self, sender: str, message: Message
    ) -> Message | None:
        if isinstance(message, GrantRequest):
            return self._issuers.answer(message)
        return None

    async def _on_return(self, sender: str, message: Message) -> None:
        if isinstance(message, GrantReturn):
            self._issuers.take_back(message)

    async def _on_lease(self, sender: str, message: Message) -> Message | None:
        if isinstance(message, LeaseRequest):
            return self._witness.answer(message)
        return None
