"""Joining with nothing, and confirming the version after a pause."""

import asyncio
from typing import NamedTuple

from result import Err, Ok, Result

from wagtailline.distribution._context import DistributionContext
from wagtailline.distribution._election import Election
from wagtailline.distribution._gossip import Gossip
from wagtailline.distribution._responder import Responder
from wagtailline.distribution._source_reader import SourceReader
from wagtailline.distribution.messages import VersionName, VersionReply

NEAR_PARTIES = 3
TICK_SECONDS = 0.25
_POLL_SECONDS = 0.05


class NotConfirmed(NamedTuple):
    """The version could not be confirmed in the time, in seconds."""

    seconds: float


class Readiness:
    """Tells whether the snapshot in force may be relied on."""

    def __init__(
        self,
        context: DistributionContext,
        election: Election,
        gossip: Gossip,
        responder: Responder,
        reader: SourceReader,
    ) -> None:
        """Begin as a process that has not joined."""
        self._context = context
        self._election = election
        self._gossip = gossip
        self._responder = responder
        self._reader = reader
        self._ticked = context.clock.monotonic()
        self._settled = asyncio.Event()
        self._newest: VersionName | None = None

    @property
    def is_ready(self) -> bool:
        """Tell whether the process has joined and was not paused since."""
        gap = self._context.clock.monotonic() - self._ticked
        return self._settled.is_set() and not self._is_pause(gap)

    async def wait(self, seconds: float) -> Result[None, NotConfirmed]:
        """Wait until ready, at most the given time."""
        try:
            async with asyncio.timeout(seconds):
                while not self.is_ready:
                    await self._context.clock.sleep(_POLL_SECONDS)
        except TimeoutError:
            return Err(NotConfirmed(seconds))
        return Ok(None)

    async def join(self) -> None:
        """Ask around until the newest version is in force."""
        clock, settings = self._context.clock, self._context.settings
        started = clock.monotonic()
        rounds = 0
        while not self._settled.is_set():
            answers = await self._ask_round()
            waited = clock.monotonic() - started
            is_everyone = bool(answers) and all(
                answer is not None and answer.ready for answer in answers
            )
            if self._election.is_reader:
                is_everyone = is_everyone and self._reader.answered_at > started
            is_anyone = any(answers) or self._reader.answered_at > started
            is_late = waited >= settings.join_seconds
            if is_everyone or (is_anyone and is_late):
                await self._settle(started)
            remaining = started + settings.join_seconds - clock.monotonic()
            await self._back_off(rounds, max(remaining, 0) or None)
            rounds += 1

    async def watch_pauses(self) -> None:
        """Withdraw readiness after a pause until confirmed; never ends."""
        clock = self._context.clock
        while True:
            self._ticked = clock.monotonic()
            await clock.sleep(TICK_SECONDS)
            gap = clock.monotonic() - self._ticked
            if self._is_pause(gap) and self._settled.is_set():
                self._change(is_ready=False)
                self._ticked = clock.monotonic()
                await self._confirm()

    def _is_pause(self, gap: float) -> bool:
        return gap > TICK_SECONDS + self._context.settings.max_pause_seconds

    async def _confirm(self) -> None:
        resumed_ms = int(self._context.clock.wall() * 1000)
        rounds = 0
        while not self._settled.is_set():
            answers = await self._ask_round()
            is_by_source = (
                self._context.versions.name.confirmed_ms >= resumed_ms
            )
            is_by_peer = any(
                answer is not None and answer.ready for answer in answers
            )
            self._ticked = self._context.clock.monotonic()
            if (is_by_peer or is_by_source) and not self._is_behind():
                self._change(is_ready=True)
            else:
                await self._back_off(rounds, None)
                rounds += 1

    async def _settle(self, started: float) -> None:
        """Wait for the newest version that a party has told.

        A holder may vanish before it gave its version; then the process
        takes part with what it has.
        """
        clock, settings = self._context.clock, self._context.settings
        while (
            self._is_behind() or not self._context.versions.current_set.version
        ):
            waited = clock.monotonic() - started
            if waited > settings.join_limit_seconds:
                break
            await clock.sleep(_POLL_SECONDS)
        if self._context.versions.current_set.version:
            self._change(is_ready=True)

    def _is_behind(self) -> bool:
        versions = self._context.versions
        return self._newest is not None and versions.is_wanted(self._newest)

    def _change(self, *, is_ready: bool) -> None:
        self._responder.is_ready = is_ready
        if is_ready:
            self._settled.set()
        else:
            self._settled.clear()

    async def _ask_round(self) -> list[VersionReply | None]:
        answers = await asyncio.gather(
            *(
                self._gossip.exchange_with(endpoint)
                for endpoint in self._parties()
            )
        )
        for answer in answers:
            if answer is not None and (
                self._newest is None
                or answer.version.version > self._newest.version
            ):
                self._newest = answer.version
        return answers

    def _parties(self) -> list[str]:
        """Return readers and others to ask; readers know the source."""
        own = self._context.member.data_centre
        topology = self._context.topology
        near = [
            endpoint
            for endpoint in self._election.readers_of(own)
            if endpoint != self._context.member.endpoint
        ]
        parties = near[: NEAR_PARTIES - 1]
        others = [one for one in topology.neighbours() if one not in parties]
        count = min(len(others), NEAR_PARTIES - len(parties))
        parties.extend(self._context.random.sample(others, count))
        for data_centre in topology.data_centres():
            if data_centre != own and topology.members(data_centre):
                parties.append(
                    self._context.random.choice(topology.members(data_centre))
                )
        return parties

    async def _back_off(self, rounds: int, limit: float | None) -> None:
        settings = self._context.settings
        longest = min(
            settings.join_backoff_max_seconds,
            settings.join_backoff_min_seconds * 2**rounds,
        )
        seconds = longest * self._context.random.random()
        await self._context.clock.sleep(
            seconds if limit is None else min(seconds, limit)
        )
