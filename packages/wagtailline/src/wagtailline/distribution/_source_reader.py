"""Reading of the newest version from the source, by readers only.

The head in the source describes the newest version. A reader reads it and
then watches it for changes.
"""

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
    decode_bucket,
    decode_head,
    decode_pack,
    list_deltas,
    missing_buckets,
)

# Period in which other members check whether they have become readers.
READER_CHECK_SECONDS = 0.5
# A source that has not answered in this time counts as unavailable.
CALL_TIMEOUT_SECONDS = 2.0
FIRST_BACKOFF_SECONDS = 0.5
MAX_BACKOFF_DOUBLINGS = 6
# Mean pause between reads of a member that has no contact in its data centre,
# so that 8,200 members that cannot reach each other make about 1,300 calls/s.
ISOLATED_PAUSE_SECONDS = 10.0
# Up to this number of missing buckets are read one by one instead of as packs.
MAX_SINGLE_BUCKETS = 2

_Reading = Result[SourceReading | None, SourceFailure]


class SourceReader:
    """Task that reads and watches the head, and backs off after a failure."""

    def __init__(
        self,
        context: DistributionContext,
        election: Election,
        source: Source,
        relay: Relay,
    ) -> None:
        """Take the relay that announces confirmed and rejected versions."""
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
        """Read while this member is a reader; run until cancelled."""
        clock = self._context.clock
        # Spreads the first reads of processes that start at the same time.
        await clock.sleep(self._context.random.random() * READER_CHECK_SECONDS)
        while True:
            if not self._election.is_reader:
                await clock.sleep(READER_CHECK_SECONDS)
            elif await self._read_and_watch():
                self._failures = 0
                await self._wait_if_isolated()
            else:
                self._relay.announce()
                await self._back_off()

    async def _read_and_watch(self) -> bool:
        """Read the head, then watch it; return whether both succeeded.

        It returns after a watch without a change, since only a new read
        confirms the version.
        """
        if not await self._read_head():
            return False
        self._relay.announce()
        while True:
            started_ms = self._now_ms()
            reading = await self._watch()
            # A watch that ends without a change proves nothing, as the source
            # may be stale. Only a read confirms the version.
            if reading == Ok(None):
                return True
            if not await self._apply_reading(reading, started_ms):
                return False

    async def _read_head(self) -> bool:
        started_ms = self._now_ms()
        reading = await self._read(HEAD_KEY)
        if isinstance(reading, Err):
            # There is no head before the first publication; watch for it.
            return isinstance(reading.err_value, SourceKeyMissing)
        return await self._apply_reading(reading, started_ms)

    async def _read(self, key: str) -> _Reading:
        await self._limiter.acquire()
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                return self._record_result(await self._source.read(key))
        except TimeoutError:
            return self._record_result(_unavailable(CALL_TIMEOUT_SECONDS))

    async def _watch(self) -> _Reading:
        await self._limiter.acquire()
        watch_seconds = self._context.settings.watch_seconds
        try:
            async with asyncio.timeout(watch_seconds + CALL_TIMEOUT_SECONDS):
                return self._record_result(
                    await self._source.watch(
                        HEAD_KEY, self._revision, watch_seconds
                    )
                )
        except TimeoutError:
            return self._record_result(
                _unavailable(watch_seconds + CALL_TIMEOUT_SECONDS)
            )

    def _record_result(self, reading: _Reading) -> _Reading:
        if isinstance(reading, Err):
            self.last_failure = reading.err_value
        else:
            self.answered_at = self._context.clock.monotonic()
        return reading

    async def _wait_if_isolated(self) -> None:
        if self._election.is_isolated:
            await self._context.clock.sleep(
                ISOLATED_PAUSE_SECONDS * self._context.random.uniform(0.5, 1.5)
            )

    async def _back_off(self) -> None:
        doublings = min(self._failures, MAX_BACKOFF_DOUBLINGS)
        max_delay = min(
            self._context.settings.source_backoff_seconds,
            FIRST_BACKOFF_SECONDS * 2**doublings,
        )
        self._failures += 1
        await self._context.clock.sleep(
            max_delay * self._context.random.uniform(0.5, 1)
        )

    async def _apply_reading(self, reading: _Reading, started_ms: int) -> bool:
        value = reading.unwrap_or(None)
        if value is None:
            return False
        if await self._apply_head(value.content, started_ms):
            self._revision = value.revision
            return True
        return False

    async def _apply_head(self, content: bytes, started_ms: int) -> bool:
        decoded = decode_head(content)
        versions = self._context.versions
        if isinstance(decoded, Err):
            versions.last_refusal = decoded.err_value
            return False
        head = decoded.ok_value
        name = VersionName(head.version, head.digest)
        if versions.is_wanted(name):
            installed = versions.accept_deltas(list_deltas(head))
            if versions.is_kept_out(name) and installed.is_err():
                # Every process checks and records the version itself.
                chain = versions.find_chain(list_deltas(head))
                self._relay.announce_rejected(name, chain)
        if versions.is_wanted(name):
            await self._fetch_buckets(head)
        versions.observe(name._replace(confirmed_ms=started_ms))
        if (
            versions.is_kept_out(name)
            and name.version > versions.current_set.version
        ):
            # The newest version is kept out, so the one in force stays current.
            versions.confirm_at(started_ms)
        return not versions.is_wanted(name)

    def _now_ms(self) -> int:
        return int(self._context.clock.wall() * 1000)

    async def _fetch_buckets(self, head: Head) -> None:
        versions = self._context.versions
        fetched: dict[bytes, bytes] = {}
        missing = set(missing_buckets(versions.current_set, head))
        for digest in _digests_to_read(head, missing):
            if versions.current_set.version >= head.version:
                return
            value = (await self._read(bucket_key(digest))).unwrap_or(None)
            if value is not None:
                fetched.update(_unpack(value.content, digest, head))
        versions.accept_buckets(head, fetched)


def _unavailable(seconds: float) -> Err[SourceFailure]:
    return Err(SourceUnavailable(f'no answer in {seconds} s'))


def _digests_to_read(head: Head, missing: set[bytes]) -> list[bytes]:
    if len(missing) <= MAX_SINGLE_BUCKETS or not head.packs:
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
    """Return the buckets in a value; none if its digest does not match."""
    if digest in head.packs:
        return decode_pack(content, digest).unwrap_or({})
    if decode_bucket(content, digest).is_ok():
        return {digest: content}
    return {}
