"""The membership service of one process."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from contextlib import suppress
from typing import NamedTuple

from wagtailline.membership._background import Background
from wagtailline.membership._handlers import Handlers
from wagtailline.membership._holding import Holding, PauseDetector
from wagtailline.membership._lists import ListFailure, ListReader
from wagtailline.membership._local import Environment, LocalMember
from wagtailline.membership._members import Member, is_answering
from wagtailline.membership._probing import Prober
from wagtailline.membership._sync import Synchronizer
from wagtailline.membership.messages import MemberUpdate
from wagtailline.ports import Source

_TICK_SECONDS = 0.25
_EXPIRY_SECONDS = 10.0
# Every eighth round also tells a member of another data centre.
_FOREIGN_ROUNDS = 8


class Published(NamedTuple):
    """What the service needs of the published set, read at each use."""

    endpoints: Callable[[], Sequence[str]]
    data_centres: Callable[[], Sequence[str]]


class MembershipService:
    """Keeps the table of members of one process.

    ``published`` gives the endpoints of the own data centre, among which
    the witnesses are chosen, and the names of all data centres. Without a
    snapshot it may return nothing; known members then take their place.
    """

    def __init__(
        self,
        member: Member,
        environment: Environment,
        source: Source,
        published: Published,
        report_list: Callable[[str, ListFailure], None],
    ) -> None:
        """Register the message handlers with the environment's peers."""
        self._environment = environment
        self._published = published
        self._settings = environment.settings
        self._local = LocalMember(member, environment)
        self._local.on_change = self._note_change
        self._prober = Prober(self._local)
        self._sync = Synchronizer(self._local)
        self._lists = ListReader(self._local, source, report_list)
        self._pauses = PauseDetector(self._local)
        self._holding = Holding(self._local, self._prober, self._positions)
        self._background = Background(environment.clock)
        self._handlers = Handlers(
            self._local, self._prober, self._sync, self._background
        )
        self._handlers.register(self._attests)
        self._started = self._local.now()
        self._joined = False
        self._next_recheck = self._started
        self.revision = 0

    @property
    def member(self) -> Member:
        """This process's own latest statement."""
        return self._local.member

    @property
    def successor(self) -> Member | None:
        """The later occupant of the own endpoint, once one is known."""
        return self._local.successor

    @property
    def takes_part(self) -> bool:
        """Tell whether this process may act as the holder of its endpoint.

        False until it has joined, after a pause until a majority of the
        witnesses has confirmed the endpoint, and for ever once a later
        occupant is known. The pause is checked here, because a call may run
        before the tasks of the service after a pause.
        """
        if self._local.successor is not None or not self._joined:
            return False
        if self._pauses.was_paused():
            return False
        return self._holding.is_valid

    @property
    def confirmed_since(self) -> float | None:
        """Monotonic time of the first of an unbroken series of confirmations.

        A successor may act for its endpoint once the validity of a
        confirmation has passed since then.
        """
        return self._holding.first_confirmed

    @property
    def confirmed_at(self) -> float | None:
        """Monotonic time of the last confirmation by the witnesses.

        Whatever needs a single holder may act while this is recent.
        """
        return self._holding.last_confirmed

    def answering(self, data_centre: str) -> tuple[Member, ...]:
        """Return the members of a data centre that are believed to answer."""
        return self._local.table.in_data_centre(data_centre)

    def is_answering(self, endpoint: str) -> bool:
        """Tell whether the holder of an endpoint is believed to answer."""
        entry = self._local.table.entry(endpoint)
        return entry is not None and is_answering(entry)

    def is_leaving(self, endpoint: str) -> bool:
        """Tell whether the holder of an endpoint is about to stop."""
        member = self._local.table.find(endpoint)
        return member is not None and self._lists.is_leaving(member)

    async def start(self) -> None:
        """Join, for a bounded time, and begin to take part."""
        seconds = self._settings.join_timeout
        self._background.repeat(_TICK_SECONDS, self._tick)
        # Peers that do not answer in this time learn of it by gossip.
        with suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._join()
        self._joined = True
        self._run_tasks()

    async def stop(self) -> None:
        """End all tasks; others find by probes that this process is gone."""
        await self._background.stop()

    async def leave(self) -> None:
        """Announce that this process is about to stop."""
        if self._local.successor is None:
            member = self._local.member
            self._local.state(
                member._replace(sequence=member.sequence + 1, leaving=True)
            )

    async def _join(self) -> None:
        own = self._local.member.data_centre
        await self._lists.read(own)
        peers = self._local.choose(self._settings.join_peers)
        # One after the other, so that only the first one sends everything.
        for peer in peers:
            await self._sync.pull(peer, own)
        await self._holding.confirm()

    async def _tick(self) -> None:
        if self._pauses.was_paused():
            self._holding.require()
            self._started = self._local.now()
            self._background.run(self._confirm_after_pause())
        self._pauses.mark()
        now = self._local.now()
        if self._local.table.settle(now - self._settings.doubt_grace, now):
            self._note_change()

    async def _confirm_after_pause(self) -> None:
        wait = self._settings.first_confirm_wait
        while self._local.successor is None:
            if await self._holding.confirm():
                return
            jitter = self._environment.random.uniform(0.5, 1)
            await self._environment.clock.sleep(wait * jitter)
            wait = min(2 * wait, self._settings.confirm_interval)

    async def _keep_confirmed(self) -> None:
        while self._local.successor is None:
            await self._holding.confirm()
            jitter = self._environment.random.uniform(0.8, 1.2)
            await self._environment.clock.sleep(
                self._settings.confirm_interval * jitter
            )

    async def _gossip(self) -> None:
        settings = self._settings
        local = self._local
        rounds = 0
        while True:
            await local.queue.wait()
            targets = local.choose(settings.fanout)
            rounds += 1
            if rounds % _FOREIGN_ROUNDS == 0:
                foreign = local.choose_foreign()
                targets = [foreign, *targets[1:]] if foreign else targets
            update = MemberUpdate(
                local.queue.take(settings.fanout, settings.batch)
            )
            for target in targets:
                self._background.run(local.post(target, update))
            await self._environment.clock.sleep(settings.gossip_interval)

    async def _probe(self) -> None:
        if self._local.successor is not None:
            return
        now = self._local.now()
        target = self._prober.next_target()
        if target is not None:
            self._background.run(self._check(target))
        if self._local.disputed or now >= self._next_recheck:
            self._next_recheck = now + self._settings.recheck_interval
            silent = self._prober.next_recheck()
            if silent is not None:
                self._background.run(self._prober.check(silent))

    async def _check(self, target: str) -> None:
        reply = await self._prober.check(target)
        if reply is not None:
            self._handlers.compare(target, reply.scopes)

    async def _visit(self) -> None:
        own = self._local.member.data_centre
        if len(self._local.table.endpoints(own)) == 1:
            await self._read_own()
        await self._find_foreign()
        target = self._local.choose_foreign()
        if target is not None and self._local.successor is None:
            reply = await self._prober.probe(target)
            if reply is not None:
                self._handlers.compare(target, reply.scopes)

    async def _find_foreign(self) -> None:
        # One list at a time; members that are found tell of all the others.
        known = set(self._local.table.data_centres())
        unknown = set(self._published.data_centres()) - known
        if unknown:
            chosen = self._environment.random.choice(sorted(unknown))
            await self._lists.read(chosen)

    async def _read_own(self) -> None:
        await self._lists.read(self._local.member.data_centre)

    async def _read_others(self) -> None:
        own = self._local.member.data_centre
        for data_centre in self._published.data_centres():
            if data_centre != own and await self._lists.read(data_centre):
                for doubtful in self._lists.find_doubtful(data_centre):
                    self._background.run(self._prober.check(doubtful))

    async def _expire(self) -> None:
        self._lists.expire()

    def _attests(self) -> bool:
        if self._local.successor is not None or self._pauses.was_paused():
            return False
        age = self._local.now() - self._started
        return age >= self._settings.witness_quiet

    def _positions(self) -> Sequence[str]:
        published = self._published.endpoints()
        if published:
            return published
        return self._local.table.endpoints(self._local.member.data_centre)

    def _run_tasks(self) -> None:
        settings = self._settings
        self._background.run(self._gossip())
        self._background.run(self._keep_confirmed())
        self._repeat(settings.probe_interval, self._probe)
        self._repeat(settings.foreign_interval, self._visit)
        self._repeat(settings.list_interval, self._read_own)
        self._repeat(settings.foreign_list_interval, self._read_others)
        self._repeat(_EXPIRY_SECONDS, self._expire)

    def _repeat(
        self, seconds: float, work: Callable[[], Awaitable[None]]
    ) -> None:
        self._background.repeat(seconds, work, self._environment.random)

    def _note_change(self) -> None:
        self.revision += 1
