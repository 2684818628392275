"""Failure detector: direct and indirect probes of other members."""

import asyncio

from wagtailline.membership._local import LocalMember, make_suspicion
from wagtailline.membership._members import MemberStatus, holder_order
from wagtailline.membership.messages import (
    IndirectProbe,
    IndirectProbeReply,
    MemberProbe,
    ProbeReply,
    UpdateBatch,
)


class Prober:
    """Probes members and suspects those that do not answer."""

    def __init__(self, local: LocalMember) -> None:
        """Probe as the local member."""
        self._local = local
        self._settings = local.environment.settings
        self._round_targets: list[str] = []
        self._indirect_waits: dict[str, asyncio.Event] = {}

    def next_probe_target(self) -> str | None:
        """Return the next endpoint of a shuffled round over all members.

        Each member is probed once a round, which bounds the time until a
        dead one is noticed.
        """
        if not self._round_targets:
            own = self._local.member
            self._round_targets = [
                member.endpoint
                for member in self._local.table.in_data_centre(own.data_centre)
                if member.endpoint != own.endpoint
            ]
            self._local.environment.random.shuffle(self._round_targets)
        return self._round_targets.pop() if self._round_targets else None

    def next_recheck_target(self) -> str | None:
        """Return a disputed endpoint, or a random one that is not answering."""
        local = self._local
        random = local.environment.random
        if local.disputed:
            chosen = random.choice(sorted(local.disputed))
            local.disputed.discard(chosen)
            return chosen
        not_answering = [
            entry.member.endpoint
            for status in (MemberStatus.DOWN, MemberStatus.LISTED)
            for entry in local.table.not_answering(status)
            if entry.member.data_centre == local.member.data_centre
        ]
        return random.choice(not_answering) if not_answering else None

    async def check(self, endpoint: str) -> ProbeReply | None:
        """Probe directly, then indirectly; suspect the member if both fail."""
        entry = self._local.table.entry(endpoint)
        if entry is None:
            return None
        started = self._local.now()
        reply = await self.probe(endpoint)
        if reply is not None:
            return reply
        if await self._probe_indirectly(endpoint):
            return None
        # After a pause of this process every reply seems to be late.
        max_seconds = (
            self._settings.probe_timeout_seconds
            + self._settings.indirect_probe_timeout_seconds
            + self._settings.pause_limit_seconds
        )
        if self._local.now() - started < max_seconds:
            self._local.merge_suspicion(make_suspicion(entry.member))
        return None

    async def probe(self, endpoint: str) -> ProbeReply | None:
        """Return the reply of the holder, after merging it.

        A reply of an earlier occupant of the endpoint does not count.
        """
        local = self._local
        expected = local.table.find(endpoint)
        reply = await local.environment.peers.request(
            endpoint,
            self._make_probe(endpoint),
            self._settings.probe_timeout_seconds,
        )
        if not isinstance(reply, ProbeReply) or expected is None:
            return None
        self.merge_reply(reply)
        responder = reply.member
        if responder.endpoint != endpoint:
            return None
        if holder_order(responder) < holder_order(expected):
            return None
        return reply

    async def probe_all(self, endpoints: list[str]) -> list[ProbeReply]:
        """Probe endpoints concurrently; return the replies of the holders."""
        replies = await asyncio.gather(*map(self.probe, endpoints))
        return [reply for reply in replies if reply is not None]

    def merge_reply(self, reply: ProbeReply) -> None:
        """Merge the updates and statements of a reply."""
        local = self._local
        local.merge_statement(reply.member)
        local.merge_updates(reply.updates)
        if reply.holder is not None:
            local.merge_statement(reply.holder)

    def answer(self, probe: MemberProbe, *, attests: bool) -> ProbeReply:
        """Return the reply to a probe, after merging its updates."""
        local = self._local
        sender = probe.sender
        local.merge_statement(sender)
        local.merge_updates(probe.updates)
        known = local.table.find(sender.endpoint)
        holder = None
        if known is not None and holder_order(known) > holder_order(sender):
            holder = known
        updates = local.queue.take(1, self._settings.probe_batch)
        about_sender = local.suspicions_about(sender.endpoint)
        return ProbeReply(
            local.member,
            holder,
            attests and holder is None,
            local.digests(),
            updates._replace(suspicions=updates.suspicions + about_sender),
        )

    async def relay(self, request: IndirectProbe) -> None:
        """Probe the target and send its statement to the requester."""
        reply = await self.probe(request.target)
        if reply is not None:
            await self._local.post(
                request.sender, IndirectProbeReply(reply.member)
            )

    def complete_indirect_probe(self, reply: IndirectProbeReply) -> None:
        """Merge the statement and end the wait for an indirect probe."""
        self._local.merge_statement(reply.member)
        waiting = self._indirect_waits.get(reply.member.endpoint)
        if waiting is not None:
            waiting.set()

    async def _probe_indirectly(self, endpoint: str) -> bool:
        local = self._local
        answered = asyncio.Event()
        self._indirect_waits[endpoint] = answered
        relays = local.choose_peers(
            self._settings.indirect_probe_count, endpoint
        )
        request = IndirectProbe(local.member.endpoint, endpoint)
        for relay in relays:
            await local.post(relay, request)
        try:
            async with asyncio.timeout(
                self._settings.indirect_probe_timeout_seconds
            ):
                await answered.wait()
        except TimeoutError:
            return False
        finally:
            self._indirect_waits.pop(endpoint, None)
        return True

    def _make_probe(self, endpoint: str) -> MemberProbe:
        local = self._local
        suspicions = local.suspicions_about(endpoint)
        updates = local.queue.take(1, self._settings.probe_batch)
        return MemberProbe(
            local.member,
            local.digests(),
            UpdateBatch(updates.members, updates.suspicions + suspicions),
        )
