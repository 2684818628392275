"""Watches the head in the source while this member is a reader."""

import asyncio

from result import Err, Ok, Result

from wagtailline.distribution._context import DistributionContext
from wagtailline.distribution._election import Election
from wagtailline.distribution._limiter import CallLimiter
from wagtailline.distribution._relay import Relay
from wagtailline.distribution.messages import VersionName
from wagtailline.ports import (
    Source,
    SourceFailure,
    SourceKeyMissing,
    SourceReading,
    SourceUnavailable,
)
from wagtailline.release import (
    BUCKETS_PER_PACK,
    HEAD_KEY,
    Head,
    bucket_key,
    chain_of,
    decode_bucket,
    decode_head,
    decode_pack,
    missing_buckets,
)

# How often a member that is no reader looks whether it has become one.
IDLE_SECONDS = 0.5
# A source that has not answered by then counts as unavailable.
CALL_SECONDS = 2.0
FIRST_BACKOFF_SECONDS = 0.5
MAX_BACKOFF_DOUBLINGS = 6
# A member that hears nobody in its data centre reads at this longer period,
# so that 8,200 members that cannot reach each other make about 1,300 calls/s.
ALONE_SECONDS = 10.0
# Up to this many missing buckets are read one by one instead of as packs.
FEW_BUCKETS = 2

_Reading = Result[SourceReading | None, SourceFailure]


class SourceReader:
    """One task that reads, watches, and backs off on failure."""

    def __init__(
        self,
        context: DistributionContext,
        election: Election,
        source: Source,
        relay: Relay,
    ) -> None:
        """Announce each confirmation and each refused version."""
        settings = context.settings
        self.answered_at = float('-inf')
        self.last_failure: SourceFailure | None = None
        self._context = context
        self._election = election
        self._source = source
        self._relay = relay
        self._limiter = CallLimiter(
            context.clock,
            settings.source_calls_per_second,
            settings.source_burst_calls,
        )
        self._revision = 0
        self._failures = 0

    async def run(self) -> None:
        """Read while this is a reader; never ends."""
        clock = self._context.clock
        # Processes that start together do not read together.
        await clock.sleep(self._context.random.random() * IDLE_SECONDS)
        while True:
            if not self._election.is_reader:
                await clock.sleep(IDLE_SECONDS)
            elif await self._cycle():
                self._failures = 0
                await self._rest()
            else:
                self._relay.announce()
                await self._back_off()

    async def _cycle(self) -> bool:
        """Read the head, then wait for the next; tell if both worked."""
        if not await self._read_head():
            return False
        self._relay.announce()
        while True:
            started_ms = self._now_ms()
            following = await self._watch()
            # The end of a wait proves nothing about a source that is stale,
            # so only a read confirms the version.
            if following == Ok(None):
                return True
            if not await self._take(following, started_ms):
                return False

    async def _read_head(self) -> bool:
        started_ms = self._now_ms()
        reading = await self._read(HEAD_KEY)
        if isinstance(reading, Err):
            # Before the first publication there is only something to watch.
            return isinstance(reading.err_value, SourceKeyMissing)
        return await self._take(reading, started_ms)

    async def _read(self, key: str) -> _Reading:
        await self._limiter.acquire()
        try:
            async with asyncio.timeout(CALL_SECONDS):
                return self._note(await self._source.read(key))
        except TimeoutError:
            return self._note(_no_answer(CALL_SECONDS))

    async def _watch(self) -> _Reading:
        await self._limiter.acquire()
        wait = self._context.settings.watch_seconds
        try:
            async with asyncio.timeout(wait + CALL_SECONDS):
                return self._note(
                    await self._source.watch(HEAD_KEY, self._revision, wait)
                )
        except TimeoutError:
            return self._note(_no_answer(wait + CALL_SECONDS))

    def _note(self, reading: _Reading) -> _Reading:
        if isinstance(reading, Err):
            self.last_failure = reading.err_value
        else:
            self.answered_at = self._context.clock.monotonic()
        return reading

    async def _rest(self) -> None:
        if self._election.is_isolated:
            await self._context.clock.sleep(
                ALONE_SECONDS * self._context.random.uniform(0.5, 1.5)
            )

    async def _back_off(self) -> None:
        doublings = min(self._failures, MAX_BACKOFF_DOUBLINGS)
        longest = min(
            self._context.settings.source_backoff_seconds,
            FIRST_BACKOFF_SECONDS * 2**doublings,
        )
        self._failures += 1
        await self._context.clock.sleep(
            longest * self._context.random.uniform(0.5, 1)
        )

    async def _take(self, reading: _Reading, started_ms: int) -> bool:
        found = reading.unwrap_or(None)
        if found is None:
            return False
        if await self._take_content(found.content, started_ms):
            self._revision = found.revision
            return True
        return False

    async def _take_content(self, content: bytes, started_ms: int) -> bool:
        decoded = decode_head(content)
        versions = self._context.versions
        if isinstance(decoded, Err):
            versions.last_refusal = decoded.err_value
            return False
        head = decoded.ok_value
        name = VersionName(head.version, head.digest)
        if versions.is_wanted(name):
            accepted = versions.accept_deltas(chain_of(head))
            if versions.is_kept_out(name) and accepted.is_err():
                # Every process checks and remembers it on its own.
                chain = versions.find_chain(chain_of(head))
                self._relay.announce_rejected(name, chain)
        if versions.is_wanted(name):
            await self._fetch(head)
        versions.observe(name._replace(confirmed_ms=started_ms))
        if (
            versions.is_kept_out(name)
            and name.version > versions.current_set.version
        ):
            # The newest version is faulty, so the one in force stays current.
            versions.confirm_at(started_ms)
        return not versions.is_wanted(name)

    def _now_ms(self) -> int:
        return int(self._context.clock.wall() * 1000)

    async def _fetch(self, head: Head) -> None:
        versions = self._context.versions
        fetched: dict[bytes, bytes] = {}
        missing = set(missing_buckets(versions.current_set, head))
        for key in _keys_of(head, missing):
            if versions.current_set.version >= head.version:
                return
            found = (await self._read(bucket_key(key))).unwrap_or(None)
            if found is not None:
                fetched.update(_unpack(found.content, key, head))
        versions.accept_buckets(head, fetched)


def _no_answer(seconds: float) -> Err[SourceFailure]:
    return Err(SourceUnavailable(f'no answer in {seconds} s'))


def _keys_of(head: Head, missing: set[bytes]) -> list[bytes]:
    if len(missing) <= FEW_BUCKETS or not head.packs:
        return sorted(missing)
    return [
        pack
        for index, pack in enumerate(head.packs)
        if missing.intersection(
            head.buckets[
                index * BUCKETS_PER_PACK : (index + 1) * BUCKETS_PER_PACK
            ]
        )
    ]


def _unpack(content: bytes, digest: bytes, head: Head) -> dict[bytes, bytes]:
    """Return the buckets of a value; none if its digest does not match."""
    if digest in head.packs:
        return decode_pack(content, digest).unwrap_or({})
    if decode_bucket(content, digest).is_ok():
        return {digest: content}
    return {}
