"""Allowance service: the borrower, issuers and witness of one daemon."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

from result import Result

from wagtailline.allowance._borrower import AllowanceRefusal, Borrower
from wagtailline.allowance._elapsed import Stopwatch
from wagtailline.allowance._issuer_client import IssuerClient
from wagtailline.allowance._issuers import Issuers
from wagtailline.allowance._leases import Leases
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

# Factor by which renewals are more frequent while a lease is unconfirmed.
_UNCONFIRMED_RENEWAL_FACTOR = 5
# A request also updates its bucket. Buckets without requests must be updated
# more often than a lease lasts, or their issuer counts as unconfirmed.
_RENEWALS_PER_REFRESH = 2


class Allowance:
    """Enforces the limits of client accounts over all daemons together.

    Each daemon is a borrower for every limit, an issuer of some limits and a
    witness for some issuers. A new process starts without any of their state.
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
        """Create the parts of the service; nothing is sent before ``start``."""
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
        self._issuer_client = IssuerClient(
            identity, self._issuers, peers, clock, settings
        )
        self._borrower = Borrower(
            plans, self._issuer_client, stopwatch, random, settings
        )
        self._renewal_count = 0
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Register message handlers and start renewing and reporting."""
        self._peers.register(GrantRequest, self._on_grant_request)
        self._peers.register(GrantReturn, self._on_grant_return)
        self._peers.register(LeaseRequest, self._on_lease_request)
        self._tasks = [
            asyncio.ensure_future(self._repeat(self._renew_leases)),
            asyncio.ensure_future(self._repeat(self._report_spending)),
        ]

    async def stop(self) -> None:
        """Cancel the tasks and return all unspent tokens."""
        for task in self._tasks:
            task.cancel()
        self._borrower.close()
        await asyncio.sleep(0)
        self._issuer_client.close()
        self._leases.close()

    async def acquire(
        self, limit_name: str, timeout_seconds: float
    ) -> Result[None, AllowanceRefusal]:
        """Admit one call under a limit or refuse it after the timeout.

        The call waits for a token, but is refused at once if none is expected
        before the timeout.
        """
        return await self._borrower.acquire(limit_name, timeout_seconds)

    async def _repeat(self, action: Callable[[], Awaitable[float]]) -> None:
        while True:
            delay_seconds = await action()
            # Jitter keeps the daemons from sending all at the same time.
            await self._clock.sleep(
                delay_seconds * self._random.uniform(0.8, 1)
            )

    async def _renew_leases(self) -> float:
        confirmed = await self._leases.renew()
        self._renewal_count += 1
        if not confirmed or self._renewal_count % _RENEWALS_PER_REFRESH == 0:
            self._issuers.refresh_all()
        seconds = self._settings.renew_seconds
        return seconds if confirmed else seconds / _UNCONFIRMED_RENEWAL_FACTOR

    async def _report_spending(self) -> float:
        self._borrower.report()
        return self._settings.report_seconds

    async def _on_grant_request(
        self, sender: str, message: Message
    ) -> Message | None:
        if isinstance(message, GrantRequest):
            return self._issuers.handle_request(message)
        return None

    async def _on_grant_return(self, sender: str, message: Message) -> None:
        if isinstance(message, GrantReturn):
            self._issuers.handle_return(message)

    async def _on_lease_request(
        self, sender: str, message: Message
    ) -> Message | None:
        if isinstance(message, LeaseRequest):
            return self._witness.handle_request(message)
        return None
