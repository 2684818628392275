"""Periodic exchange of versions with a random peer."""

from wagtailline.distribution._catch_up import CatchUp
from wagtailline.distribution._context import Surroundings
from wagtailline.distribution._election import Election
from wagtailline.distribution.messages import VersionProbe, VersionReply

_DRAWS = 4


class Gossip:
    """Repairs what the trees lose."""

    def __init__(
        self, around: Surroundings, election: Election, catch_up: CatchUp
    ) -> None:
        """Offer newer versions to the given task."""
        self._around = around
        self._election = election
        self._catch_up = catch_up

    async def exchange(self) -> None:
        """Ask one peer of the own data centre each period; never ends."""
        while True:
            await self._pause()
            await self.ask(self._draw(self._around.member.data_centre))

    async def exchange_far(self) -> None:
        """As a reader, ask one peer of another data centre each period."""
        own = self._around.member.data_centre
        while True:
            await self._pause()
            others = [
                data_centre
                for data_centre in self._around.topology.data_centres()
                if data_centre != own
            ]
            if others and self._election.is_reader:
                await self.ask(self._draw(self._around.random.choice(others)))

    async def ask(self, endpoint: str | None) -> VersionReply | None:
        """Exchange versions with one peer; None without an answer."""
        if endpoint is None:
            return None
        versions = self._around.versions
        answered = await self._around.links.request(
            endpoint,
            VersionProbe(versions.name),
            VersionReply,
            self._around.settings.probe_seconds,
        )
        if answered.is_err():
            self._around.topology.suspect(endpoint)
            return None
        reply = answered.unwrap()
        self._note(endpoint, reply)
        return reply

    def _note(self, endpoint: str, reply: VersionReply) -> None:
        member = self._around.links.table.find(endpoint)
        if member is not None:
            self._election.hear(endpoint, member.data_centre)
        if self._around.versions.is_wanted(reply.version):
            self._catch_up.offer(endpoint, reply.version)

    def _draw(self, data_centre: str) -> str | None:
        members = self._around.topology.members(data_centre)
        drawn = None
        for _ in range(_DRAWS if members else 0):
            candidate = self._around.random.choice(members)
            if candidate == self._around.member.endpoint:
                continue
            drawn = candidate
            if not self._around.topology.is_suspect(candidate):
                break
        return drawn

    async def _pause(self) -> None:
        period = self._around.settings.gossip_seconds
        await self._around.clock.sleep(
            period * self._around.random.uniform(0.8, 1.2)
        )
