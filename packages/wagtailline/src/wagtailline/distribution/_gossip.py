"""Periodic exchange of versions with a random peer."""

from wagtailline.distribution._catch_up import CatchUp
from wagtailline.distribution._context import DistributionContext
from wagtailline.distribution._election import Election
from wagtailline.distribution.messages import VersionProbe, VersionReply

_DRAWS = 4


class Gossip:
    """Repairs what the trees lose."""

    def __init__(
        self,
        context: DistributionContext,
        election: Election,
        catch_up: CatchUp,
    ) -> None:
        """Offer newer versions to the given task."""
        self._context = context
        self._election = election
        self._catch_up = catch_up

    async def run_local_exchange(self) -> None:
        """Ask one peer of the own data centre each period; never ends."""
        while True:
            await self._pause()
            await self.exchange_with(
                self._draw(self._context.member.data_centre)
            )

    async def run_remote_exchange(self) -> None:
        """As a reader, ask one peer of another data centre each period."""
        own = self._context.member.data_centre
        while True:
            await self._pause()
            others = [
                data_centre
                for data_centre in self._context.topology.data_centres()
                if data_centre != own
            ]
            if others and self._election.is_reader:
                await self.exchange_with(
                    self._draw(self._context.random.choice(others))
                )

    async def exchange_with(self, endpoint: str | None) -> VersionReply | None:
        """Exchange versions with one peer; None without an answer."""
        if endpoint is None:
            return None
        versions = self._context.versions
        answered = await self._context.links.request(
            endpoint,
            VersionProbe(versions.name),
            VersionReply,
            self._context.settings.probe_seconds,
        )
        if answered.is_err():
            self._context.topology.suspect(endpoint)
            return None
        reply = answered.unwrap()
        self._note(endpoint, reply)
        return reply

    def _note(self, endpoint: str, reply: VersionReply) -> None:
        member = self._context.links.table.find(endpoint)
        if member is not None:
            self._election.record_contact(endpoint, member.data_centre)
        if self._context.versions.is_wanted(reply.version):
            self._catch_up.offer(endpoint, reply.version)

    def _draw(self, data_centre: str) -> str | None:
        members = self._context.topology.members(data_centre)
        drawn = None
        for _ in range(_DRAWS if members else 0):
            candidate = self._context.random.choice(members)
            if candidate == self._context.member.endpoint:
                continue
            drawn = candidate
            if not self._context.topology.is_suspect(candidate):
                break
        return drawn

    async def _pause(self) -> None:
        period = self._context.settings.gossip_seconds
        await self._context.clock.sleep(
            period * self._context.random.uniform(0.8, 1.2)
        )
