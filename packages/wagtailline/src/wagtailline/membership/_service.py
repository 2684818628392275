"""The membership service of one process."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from contextlib import suppress
from typing import NamedTuple

from wagtailline.membership._background import BackgroundTasks
from wagtailline.membership._handlers import Handlers
from wagtailline.membership._list_reader import ListFailure, ListReader
from wagtailline.membership._local import LocalMember, MembershipPorts
from wagtailline.membership._members import Member, is_answering
from wagtailline.membership._ownership import EndpointOwnership, PauseDetector
from wagtailline.membership._probing import Prober
from wagtailline.membership._sync import Synchronizer
from wagtailline.membership.messages import GossipMessage
from wagtailline.ports import Source

_TICK_SECONDS = 0.25
_EXPIRY_INTERVAL_SECONDS = 10.0
# In every eighth round one of the targets is in another data centre.
_ROUNDS_PER_REMOTE_TARGET = 8


class PublishedEndpoints(NamedTuple):
    """Endpoint and data centre names from the snapshot, read at each use."""

    endpoints: Callable[[], Sequence[str]]
    data_centres: Callable[[], Sequence[str]]


class MembershipService:
    """Runs the membership protocol and keeps the member table up to date.

    ``published`` gives the endpoints of the own data centre, among which
    the witnesses are chosen, and the names of all data centres. If it has
    no endpoints, the known members are the candidates.
    """

    def __init__(
        self,
        member: Member,
        environment: MembershipPorts,
        source: Source,
        published: PublishedEndpoints,
        report_list_failure: Callable[[str, ListFailure], None],
    ) -> None:
        """Register the message handlers with the environment's peers."""
        self._environment = environment
        self._published = published
        self._settings = environment.settings
        self._local = LocalMember(member, environment)
        self._local.on_change = self._count_change
        self._prober = Prober(self._local)
        self._sync = Synchronizer(self._local)
        self._list_reader = ListReader(self._local, source, report_list_failure)
        self._pause_detector = PauseDetector(self._local)
        self._ownership = EndpointOwnership(
            self._local, self._prober, self._witness_candidates
        )
        self._background = BackgroundTasks(environment.clock)
        self._handlers = Handlers(
            self._local, self._prober, self._sync, self._background
        )
        self._handlers.register(self._attests)
        self._running_since = self._local.now()
        self._joined = False
        self._next_recheck_at = self._running_since
        self.revision = 0

    @property
    def member(self) -> Member:
        """Latest statement of this process."""
        return self._local.member

    @property
    def successor(self) -> Member | None:
        """Later occupant of the own endpoint, once one is known."""
        return self._local.successor

    @property
    def takes_part(self) -> bool:
        """Whether this process may act as the holder of its endpoint.

        False until it has joined, after a pause until a majority of the
        witnesses has confirmed the endpoint, and for ever once a later
        occupant is known. The pause is checked here too, because after a
        pause a caller may run before the periodic check.
        """
        if self._local.successor is not None or not self._joined:
            return False
        if self._pause_detector.was_paused():
            return False
        return self._ownership.is_valid

    @property
    def confirmed_since(self) -> float | None:
        """Monotonic time of the first of an unbroken series of confirmations.

        A successor may act for its endpoint once the validity of a
        confirmation has passed since then, because by that time the last
        confirmation of its predecessor has expired.
        """
        return self._ownership.first_confirmed

    @property
    def confirmed_at(self) -> float | None:
        """Monotonic time of the last confirmation by the witnesses.

        Work that needs a single holder may run while this is recent.
        """
        return self._ownership.last_confirmed

    def answering(self, data_centre: str) -> tuple[Member, ...]:
        """Return the answering and suspect members of a data centre."""
        return self._local.table.in_data_centre(data_centre)

    def is_answering(self, endpoint: str) -> bool:
        """Return whether the holder of an endpoint is answering or suspect."""
        entry = self._local.table.entry(endpoint)
        return entry is not None and is_answering(entry)

    def is_leaving(self, endpoint: str) -> bool:
        """Return whether the holder of an endpoint is about to stop."""
        member = self._local.table.find(endpoint)
        return member is not None and self._list_reader.is_leaving(member)

    async def start(self) -> None:
        """Join within the timeout, and start the periodic tasks."""
        seconds = self._settings.join_timeout_seconds
        self._background.repeat(_TICK_SECONDS, self._tick)
        # Peers that do not answer in time learn of this member by gossip.
        with suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._join()
        self._joined = True
        self._run_tasks()

    async def stop(self) -> None:
        """Cancel all tasks; other members detect the end by probes."""
        await self._background.stop()

    async def leave(self) -> None:
        """Announce by gossip that this process is about to stop."""
        if self._local.successor is None:
            member = self._local.member
            self._local.publish_statement(
                member._replace(sequence=member.sequence + 1, leaving=True)
            )

    async def _join(self) -> None:
        own = self._local.member.data_centre
        await self._list_reader.read(own)
        peers = self._local.choose_peers(self._settings.join_peer_count)
        # Sequentially, so that only the first peer sends the whole table.
        for peer in peers:
            await self._sync.synchronize(peer, own)
        await self._ownership.confirm()

    async def _tick(self) -> None:
        if self._pause_detector.was_paused():
            self._ownership.require_new_confirmation()
            self._running_since = self._local.now()
            self._background.run(self._confirm_after_pause())
        self._pause_detector.record_running()
        now = self._local.now()
        if self._local.table.expire_suspicions(
            now - self._settings.suspicion_timeout_seconds, now
        ):
            self._count_change()

    async def _confirm_after_pause(self) -> None:
        wait = self._settings.first_confirm_wait_seconds
        while self._local.successor is None:
            if await self._ownership.confirm():
                return
            jitter = self._environment.random.uniform(0.5, 1)
            await self._environment.clock.sleep(wait * jitter)
            wait = min(2 * wait, self._settings.confirm_interval_seconds)

    async def _keep_confirmed(self) -> None:
        while self._local.successor is None:
            await self._ownership.confirm()
            jitter = self._environment.random.uniform(0.8, 1.2)
            await self._environment.clock.sleep(
                self._settings.confirm_interval_seconds * jitter
            )

    async def _gossip(self) -> None:
        settings = self._settings
        local = self._local
        rounds = 0
        while True:
            await local.queue.wait()
            targets = local.choose_peers(settings.fanout)
            rounds += 1
            if rounds % _ROUNDS_PER_REMOTE_TARGET == 0:
                remote = local.choose_remote_peer()
                targets = [remote, *targets[1:]] if remote else targets
            message = GossipMessage(
                local.queue.take(settings.fanout, settings.gossip_batch)
            )
            for target in targets:
                self._background.run(local.post(target, message))
            await self._environment.clock.sleep(
                settings.gossip_interval_seconds
            )

    async def _probe(self) -> None:
        if self._local.successor is not None:
            return
        now = self._local.now()
        target = self._prober.next_probe_target()
        if target is not None:
            self._background.run(self._check_target(target))
        if self._local.disputed or now >= self._next_recheck_at:
            self._next_recheck_at = (
                now + self._settings.recheck_interval_seconds
            )
            recheck_target = self._prober.next_recheck_target()
            if recheck_target is not None:
                self._background.run(self._prober.check(recheck_target))

    async def _check_target(self, target: str) -> None:
        reply = await self._prober.check(target)
        if reply is not None:
            self._handlers.compare_digests(target, reply.digests)

    async def _probe_remote(self) -> None:
        own = self._local.member.data_centre
        if len(self._local.table.endpoints(own)) == 1:
            await self._read_own_list()
        await self._discover_data_centre()
        target = self._local.choose_remote_peer()
        if target is not None and self._local.successor is None:
            reply = await self._prober.probe(target)
            if reply is not None:
                self._handlers.compare_digests(target, reply.digests)

    async def _discover_data_centre(self) -> None:
        # One list at a time, since one member leads to all others by gossip.
        known = set(self._local.table.data_centres())
        unknown = set(self._published.data_centres()) - known
        if unknown:
            chosen = self._environment.random.choice(sorted(unknown))
            await self._list_reader.read(chosen)

    async def _read_own_list(self) -> None:
        await self._list_reader.read(self._local.member.data_centre)

    async def _read_other_lists(self) -> None:
        own = self._local.member.data_centre
        for data_centre in self._published.data_centres():
            if data_centre != own and await self._list_reader.read(data_centre):
                for unlisted in self._list_reader.find_unlisted(data_centre):
                    self._background.run(self._prober.check(unlisted))

    async def _expire(self) -> None:
        self._list_reader.expire()

    def _attests(self) -> bool:
        if (
            self._local.successor is not None
            or self._pause_detector.was_paused()
        ):
            return False
        age = self._local.now() - self._running_since
        return age >= self._settings.witness_quiet_seconds

    def _witness_candidates(self) -> Sequence[str]:
        published = self._published.endpoints()
        if published:
            return published
        return self._local.table.endpoints(self._local.member.data_centre)

    def _run_tasks(self) -> None:
        settings = self._settings
        self._background.run(self._gossip())
        self._background.run(self._keep_confirmed())
        self._repeat(settings.probe_interval_seconds, self._probe)
        self._repeat(settings.remote_probe_interval_seconds, self._probe_remote)
        self._repeat(settings.list_interval_seconds, self._read_own_list)
        self._repeat(
            settings.remote_list_interval_seconds, self._read_other_lists
        )
        self._repeat(_EXPIRY_INTERVAL_SECONDS, self._expire)

    def _repeat(
        self, seconds: float, work: Callable[[], Awaitable[None]]
    ) -> None:
        self._background.repeat(seconds, work, self._environment.random)

    def _count_change(self) -> None:
        self.revision += 1
