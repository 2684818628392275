"""Updates that wait to be passed on, each a bounded number of times."""

import asyncio
from heapq import nlargest

from wagtailline.membership._members import Doubt, Member
from wagtailline.membership._settings import MembershipSettings
from wagtailline.membership.messages import News


class UpdateQueue:
    """Holds the latest update of each endpoint, least sent first."""

    def __init__(self, settings: MembershipSettings) -> None:
        """Begin without updates."""
        self._settings = settings
        self._updates: dict[str, Member | Doubt] = {}
        self._left: dict[str, int] = {}
        self._filled = asyncio.Event()

    def __len__(self) -> int:
        """Return the number of updates that wait."""
        return len(self._updates)

    def add(self, update: Member | Doubt) -> None:
        """Pass on an update instead of the one before it."""
        transmissions = self._settings.transmissions
        if len(self._updates) >= self._settings.crowded_queue:
            transmissions = self._settings.crowded_transmissions
        self._updates[update.endpoint] = update
        self._left[update.endpoint] = transmissions
        self._filled.set()

    def holds(self, endpoint: str) -> bool:
        """Tell whether an update of this endpoint waits."""
        return endpoint in self._updates

    def discount(self, update: Member | Doubt) -> None:
        """Send an update once less, since another member has sent it here."""
        if self._updates.get(update.endpoint) == update:
            self._count(update.endpoint, 1)

    async def wait(self) -> None:
        """Return once an update waits."""
        await self._filled.wait()

    def take(self, copies: int, limit: int) -> News:
        """Return a batch that will be sent to some number of members."""
        if not self._updates:
            return News()
        chosen = nlargest(limit, self._left, key=self._left.__getitem__)
        updates = [self._updates[endpoint] for endpoint in chosen]
        for endpoint in chosen:
            self._count(endpoint, copies)
        return News(
            tuple(one for one in updates if isinstance(one, Member)),
            tuple(one for one in updates if isinstance(one, Doubt)),
        )

    def _count(self, endpoint: str, copies: int) -> None:
        self._left[endpoint] -= copies
        if self._left[endpoint] > 0:
            return
        del self._left[endpoint]
        del self._updates[endpoint]
        if not self._updates:
            self._filled.clear()
