"""Readiness of a process: its join, and the confirmation after a pause."""

import asyncio
from typing import NamedTuple

from result import Err, Ok, Result

from wagtailline.distribution._context import DistributionContext
from wagtailline.distribution._election import Election
from wagtailline.distribution._gossip import Gossip
from wagtailline.distribution._responder import Responder
from wagtailline.distribution._source_reader import SourceReader
from wagtailline.distribution.messages import VersionName, VersionReply

LOCAL_PEER_COUNT = 3
PAUSE_CHECK_SECONDS = 0.25
_POLL_SECONDS = 0.05


class NotConfirmed(NamedTuple):
    """The version could not be confirmed within the time, in seconds."""

    seconds: float


class Readiness:
    """Decision whether the snapshot in force may be relied on."""

    def __init__(
        self,
        context: DistributionContext,
        election: Election,
        gossip: Gossip,
        responder: Responder,
        reader: SourceReader,
    ) -> None:
        """Start as a process that has not joined."""
        self._context = context
        self._election = election
        self._gossip = gossip
        self._responder = responder
        self._reader = reader
        self._checked_at = context.clock.monotonic()
        self._ready = asyncio.Event()
        self._newest_known: VersionName | None = None

    @property
    def is_ready(self) -> bool:
        """Return whether the process has joined and was not paused since."""
        elapsed = self._context.clock.monotonic() - self._checked_at
        return self._ready.is_set() and not self._is_pause(elapsed)

    async def wait(self, seconds: float) -> Result[None, NotConfirmed]:
        """Wait until ready, for at most the given time."""
        try:
            async with asyncio.timeout(seconds):
                while not self.is_ready:
                    await self._context.clock.sleep(_POLL_SECONDS)
        except TimeoutError:
            return Err(NotConfirmed(seconds))
        return Ok(None)

    async def join(self) -> None:
        """Ask peers for their versions until the newest one is in force.

        It needs a reply from all the peers asked, each of which must be ready
        itself, and on a reader an answer of the source. After
        ``join_seconds``, one reply of a peer or the source is enough.
        """
        clock, settings = self._context.clock, self._context.settings
        started_at = clock.monotonic()
        attempt = 0
        while not self._ready.is_set():
            replies = await self._query_peers()
            waited = clock.monotonic() - started_at
            is_complete = bool(replies) and all(
                reply is not None and reply.ready for reply in replies
            )
            if self._election.is_reader:
                is_complete = (
                    is_complete and self._reader.answered_at > started_at
                )
            has_any_reply = (
                any(replies) or self._reader.answered_at > started_at
            )
            is_late = waited >= settings.join_seconds
            if is_complete or (has_any_reply and is_late):
                await self._complete_join(started_at)
            remaining = started_at + settings.join_seconds - clock.monotonic()
            await self._back_off(attempt, max(remaining, 0) or None)
            attempt += 1

    async def watch_pauses(self) -> None:
        """Withdraw readiness after a pause; run until cancelled.

        The process is ready again once the version has been confirmed.
        """
        clock = self._context.clock
        while True:
            self._checked_at = clock.monotonic()
            await clock.sleep(PAUSE_CHECK_SECONDS)
            elapsed = clock.monotonic() - self._checked_at
            if self._is_pause(elapsed) and self._ready.is_set():
                self._set_ready(is_ready=False)
                self._checked_at = clock.monotonic()
                await self._confirm_version()

    def _is_pause(self, elapsed: float) -> bool:
        return (
            elapsed
            > PAUSE_CHECK_SECONDS + self._context.settings.max_pause_seconds
        )

    async def _confirm_version(self) -> None:
        resumed_ms = int(self._context.clock.wall() * 1000)
        attempt = 0
        while not self._ready.is_set():
            replies = await self._query_peers()
            is_confirmed_by_source = (
                self._context.versions.name.confirmed_ms >= resumed_ms
            )
            is_confirmed_by_peer = any(
                reply is not None and reply.ready for reply in replies
            )
            self._checked_at = self._context.clock.monotonic()
            if (
                is_confirmed_by_peer or is_confirmed_by_source
            ) and not self._is_behind():
                self._set_ready(is_ready=True)
            else:
                await self._back_off(attempt, None)
                attempt += 1

    async def _complete_join(self, started_at: float) -> None:
        """Wait until the newest version that a peer reported is in force.

        The peer may fail before this process has fetched that version. After
        ``join_limit_seconds`` the process therefore becomes ready with the
        version that it has, if any.
        """
        clock, settings = self._context.clock, self._context.settings
        while (
            self._is_behind() or not self._context.versions.current_set.version
        ):
            waited = clock.monotonic() - started_at
            if waited > settings.join_limit_seconds:
                break
            await clock.sleep(_POLL_SECONDS)
        if self._context.versions.current_set.version:
            self._set_ready(is_ready=True)

    def _is_behind(self) -> bool:
        versions = self._context.versions
        return self._newest_known is not None and versions.is_wanted(
            self._newest_known
        )

    def _set_ready(self, *, is_ready: bool) -> None:
        self._responder.is_ready = is_ready
        if is_ready:
            self._ready.set()
        else:
            self._ready.clear()

    async def _query_peers(self) -> list[VersionReply | None]:
        replies = await asyncio.gather(
            *(
                self._gossip.exchange_with(endpoint)
                for endpoint in self._choose_peers()
            )
        )
        for reply in replies:
            if reply is not None and (
                self._newest_known is None
                or reply.version.version > self._newest_known.version
            ):
                self._newest_known = reply.version
        return replies

    def _choose_peers(self) -> list[str]:
        """Return the peers to ask, first readers, which know the source."""
        own_data_centre = self._context.member.data_centre
        topology = self._context.topology
        local_readers = [
            endpoint
            for endpoint in self._election.readers_of(own_data_centre)
            if endpoint != self._context.member.endpoint
        ]
        peers = local_readers[: LOCAL_PEER_COUNT - 1]
        others = [
            endpoint
            for endpoint in topology.neighbours()
            if endpoint not in peers
        ]
        count = min(len(others), LOCAL_PEER_COUNT - len(peers))
        peers.extend(self._context.random.sample(others, count))
        for data_centre in topology.data_centres():
            if data_centre != own_data_centre and topology.members(data_centre):
                peers.append(
                    self._context.random.choice(topology.members(data_centre))
                )
        return peers

    async def _back_off(self, attempt: int, max_seconds: float | None) -> None:
        settings = self._context.settings
        max_delay = min(
            settings.join_backoff_max_seconds,
            settings.join_backoff_min_seconds * 2**attempt,
        )
        seconds = max_delay * self._context.random.random()
        await self._context.clock.sleep(
            seconds if max_seconds is None else min(seconds, max_seconds)
        )
