"""Queue of updates to disseminate, each a bounded number of times."""

import asyncio
from heapq import nlargest

from wagtailline.membership._members import Member, Suspicion
from wagtailline.membership._settings import MembershipSettings
from wagtailline.membership.messages import UpdateBatch


class UpdateQueue:
    """The latest update of each endpoint; the least sent are taken first."""

    def __init__(self, settings: MembershipSettings) -> None:
        """Start empty; the settings give the number of transmissions."""
        self._settings = settings
        self._updates: dict[str, Member | Suspicion] = {}
        self._remaining_sends: dict[str, int] = {}
        self._not_empty = asyncio.Event()

    def __len__(self) -> int:
        """Return the number of queued updates."""
        return len(self._updates)

    def add(self, update: Member | Suspicion) -> None:
        """Queue an update and replace a queued one of the same endpoint."""
        transmissions = self._settings.transmissions
        if len(self._updates) >= self._settings.long_queue_length:
            transmissions = self._settings.long_queue_transmissions
        self._updates[update.endpoint] = update
        self._remaining_sends[update.endpoint] = transmissions
        self._not_empty.set()

    def contains(self, endpoint: str) -> bool:
        """Return whether an update of this endpoint is queued."""
        return endpoint in self._updates

    def count_duplicate(self, update: Member | Suspicion) -> None:
        """Send an update once less, since another member has sent it too."""
        if self._updates.get(update.endpoint) == update:
            self._deduct_sends(update.endpoint, 1)

    async def wait(self) -> None:
        """Wait until the queue is not empty."""
        await self._not_empty.wait()

    def take(self, receivers: int, max_updates: int) -> UpdateBatch:
        """Return a batch, counted as sent once to each of the receivers."""
        if not self._updates:
            return UpdateBatch()
        chosen = nlargest(
            max_updates,
            self._remaining_sends,
            key=self._remaining_sends.__getitem__,
        )
        updates = [self._updates[endpoint] for endpoint in chosen]
        for endpoint in chosen:
            self._deduct_sends(endpoint, receivers)
        return UpdateBatch(
            tuple(update for update in updates if isinstance(update, Member)),
            tuple(
                update for update in updates if isinstance(update, Suspicion)
            ),
        )

    def _deduct_sends(self, endpoint: str, receivers: int) -> None:
        self._remaining_sends[endpoint] -= receivers
        if self._remaining_sends[endpoint] > 0:
            return
        del self._remaining_sends[endpoint]
        del self._updates[endpoint]
        if not self._updates:
            self._not_empty.clear()
