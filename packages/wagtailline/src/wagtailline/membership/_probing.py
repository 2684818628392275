"""Probes of other members: direct, indirect, and of those that are down."""

import asyncio

from wagtailline.membership._local import LocalMember, make_doubt
from wagtailline.membership._members import Standing, holder_order
from wagtailline.membership.messages import (
    IndirectProbe,
    IndirectReply,
    MemberProbe,
    MemberReply,
    News,
)


class Prober:
    """Finds members that do not answer, by one probe a second."""

    def __init__(self, local: LocalMember) -> None:
        """Probe on behalf of a member."""
        self._local = local
        self._settings = local.environment.settings
        self._ring: list[str] = []
        self._indirect: dict[str, asyncio.Event] = {}

    def next_target(self) -> str | None:
        """Return the next member of a random order over all members.

        A whole round before the next order bounds the time until each
        member is probed again.
        """
        if not self._ring:
            own = self._local.member
            self._ring = [
                member.endpoint
                for member in self._local.table.in_data_centre(own.data_centre)
                if member.endpoint != own.endpoint
            ]
            self._local.environment.random.shuffle(self._ring)
        return self._ring.pop() if self._ring else None

    def next_recheck(self) -> str | None:
        """Return a member that is down or only listed, but may answer."""
        local = self._local
        random = local.environment.random
        if local.disputed:
            chosen = random.choice(sorted(local.disputed))
            local.disputed.discard(chosen)
            return chosen
        silent = [
            entry.member.endpoint
            for standing in (Standing.DOWN, Standing.LISTED)
            for entry in local.table.silent(standing)
            if entry.member.data_centre == local.member.data_centre
        ]
        return random.choice(silent) if silent else None

    async def check(self, endpoint: str) -> MemberReply | None:
        """Probe a member, through others if needed, and doubt a silent one."""
        entry = self._local.table.entry(endpoint)
        if entry is None:
            return None
        started = self._local.now()
        reply = await self.probe(endpoint)
        if reply is not None:
            return reply
        if await self._probe_indirectly(endpoint):
            return None
        # After a pause of this process every answer seems to be late.
        longest = (
            self._settings.probe_timeout
            + self._settings.indirect_timeout
            + self._settings.pause_limit
        )
        if self._local.now() - started < longest:
            self._local.take_doubt(make_doubt(entry.member))
        return None

    async def probe(self, endpoint: str) -> MemberReply | None:
        """Return the reply of the holder, after taking its news."""
        local = self._local
        asked = local.table.find(endpoint)
        reply = await local.environment.peers.request(
            endpoint, self._question(endpoint), self._settings.probe_timeout
        )
        if not isinstance(reply, MemberReply) or asked is None:
            return None
        self.take_reply(reply)
        answered = reply.member
        if answered.endpoint != endpoint:
            return None
        if holder_order(answered) < holder_order(asked):
            return None
        return reply

    async def ask_all(self, endpoints: list[str]) -> list[MemberReply]:
        """Return the replies of the holders that answer in time."""
        replies = await asyncio.gather(*map(self.probe, endpoints))
        return [reply for reply in replies if reply is not None]

    def take_reply(self, reply: MemberReply) -> None:
        """Take the news and the statements of a reply."""
        local = self._local
        local.take_statement(reply.member)
        local.take_news(reply.news)
        if reply.holder is not None:
            local.take_statement(reply.holder)

    def answer(self, probe: MemberProbe, *, attests: bool) -> MemberReply:
        """Return the reply to a probe, after taking its news."""
        local = self._local
        sender = probe.sender
        local.take_statement(sender)
        local.take_news(probe.news)
        known = local.table.find(sender.endpoint)
        holder = None
        if known is not None and holder_order(known) > holder_order(sender):
            holder = known
        news = local.queue.take(1, self._settings.probe_batch)
        about_sender = local.doubts_about(sender.endpoint)
        return MemberReply(
            local.member,
            holder,
            attests and holder is None,
            local.scopes(),
            news._replace(doubts=news.doubts + about_sender),
        )

    async def relay(self, request: IndirectProbe) -> None:
        """Probe a member for another one and pass on its statement."""
        reply = await self.probe(request.target)
        if reply is not None:
            await self._local.post(request.sender, IndirectReply(reply.member))

    def take_relayed(self, reply: IndirectReply) -> None:
        """End the wait for an indirect probe."""
        self._local.take_statement(reply.member)
        waiting = self._indirect.get(reply.member.endpoint)
        if waiting is not None:
            waiting.set()

    async def _probe_indirectly(self, endpoint: str) -> bool:
        local = self._local
        answered = asyncio.Event()
        self._indirect[endpoint] = answered
        helpers = local.choose(self._settings.indirect_probes, endpoint)
        request = IndirectProbe(local.member.endpoint, endpoint)
        for helper in helpers:
            await local.post(helper, request)
        try:
            async with asyncio.timeout(self._settings.indirect_timeout):
                await answered.wait()
        except TimeoutError:
            return False
        finally:
            self._indirect.pop(endpoint, None)
        return True

    def _question(self, endpoint: str) -> MemberProbe:
        local = self._local
        doubts = local.doubts_about(endpoint)
        news = local.queue.take(1, self._settings.probe_batch)
        return MemberProbe(
            local.member,
            local.scopes(),
            News(news.members, news.doubts + doubts),
        )
