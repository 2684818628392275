"""Periodic exchange of versions with random peers."""

from wagtailline.distribution._catch_up import CatchUp
from wagtailline.distribution._context import DistributionContext
from wagtailline.distribution._election import Election
from wagtailline.distribution.messages import VersionProbe, VersionReply

_MAX_DRAWS = 4


class Gossip:
    """Anti-entropy that repairs the loss of notices in the trees."""

    def __init__(
        self,
        context: DistributionContext,
        election: Election,
        catch_up: CatchUp,
    ) -> None:
        """Take the catch-up task that fetches newer versions found."""
        self._context = context
        self._election = election
        self._catch_up = catch_up

    async def run_local_exchange(self) -> None:
        """Ask one peer of this data centre per period; run until cancelled."""
        while True:
            await self._wait_period()
            await self.exchange_with(
                self._choose_peer(self._context.member.data_centre)
            )

    async def run_remote_exchange(self) -> None:
        """Ask one peer of another data centre per period while a reader.

        It runs until cancelled.
        """
        own = self._context.member.data_centre
        while True:
            await self._wait_period()
            others = [
                data_centre
                for data_centre in self._context.topology.data_centres()
                if data_centre != own
            ]
            if others and self._election.is_reader:
                await self.exchange_with(
                    self._choose_peer(self._context.random.choice(others))
                )

    async def exchange_with(self, endpoint: str | None) -> VersionReply | None:
        """Exchange versions with a peer; return None if it did not reply."""
        if endpoint is None:
            return None
        versions = self._context.versions
        replied = await self._context.links.request(
            endpoint,
            VersionProbe(versions.name),
            VersionReply,
            self._context.settings.probe_seconds,
        )
        if replied.is_err():
            self._context.topology.suspect(endpoint)
            return None
        reply = replied.unwrap()
        self._record_reply(endpoint, reply)
        return reply

    def _record_reply(self, endpoint: str, reply: VersionReply) -> None:
        member = self._context.links.table.find(endpoint)
        if member is not None:
            self._election.record_contact(endpoint, member.data_centre)
        if self._context.versions.is_wanted(reply.version):
            self._catch_up.offer(endpoint, reply.version)

    def _choose_peer(self, data_centre: str) -> str | None:
        members = self._context.topology.members(data_centre)
        chosen = None
        for _ in range(_MAX_DRAWS if members else 0):
            candidate = self._context.random.choice(members)
            if candidate == self._context.member.endpoint:
                continue
            chosen = candidate
            if not self._context.topology.is_suspect(candidate):
                break
        return chosen

    async def _wait_period(self) -> None:
        period = self._context.settings.gossip_seconds
        await self._context.clock.sleep(
            period * self._context.random.uniform(0.8, 1.2)
        )
