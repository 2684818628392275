"""In-memory configuration source with simulated faults."""

import asyncio
from collections.abc import Callable

from result import Err, Ok, Result

from wagtailline.objects import ObjectId, PublishedObject, object_id
from wagtailline.ports import (
    Address,
    SourceFailure,
    SourceKeyMissing,
    SourceReading,
    SourceUnavailable,
)
from wagtailline.release import (
    HEAD_KEY,
    Head,
    Release,
    bucket_key,
    build_release,
    encode_head,
)

CALL_SECONDS = 0.002
# A call to a hanging source gets no answer for this time.
HANG_SECONDS = 3600.0


class MemorySource:
    """Source that can be down, hang, be unreachable or serve stale heads."""

    def __init__(self) -> None:
        """Set up a source without values or faults."""
        self.calls = 0
        self.bytes_read = 0
        self.is_down = False
        self.is_hanging = False
        self.stale_revision: int | None = None
        self.reaches: Callable[[Address], bool] = _reaches_all
        self.revision = 0
        self._heads: dict[int, bytes] = {}
        self._values: dict[str, SourceReading] = {}
        self._changed = asyncio.Event()

    def publish(self, release: Release) -> None:
        """Store the buckets of a release and make its head the newest."""
        for digest, content in release.buckets.items():
            self._values[bucket_key(digest)] = SourceReading(1, content)
        self.publish_head(encode_head(release.head))

    def publish_head(self, content: bytes) -> None:
        """Store the bytes of a head as a new revision, without buckets."""
        self.revision += 1
        self._heads[self.revision] = content
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def replace_value(self, digest: bytes, content: bytes | None) -> None:
        """Replace the content of a bucket or pack; None removes it."""
        if content is None:
            self._values.pop(bucket_key(digest), None)
        else:
            self._values[bucket_key(digest)] = SourceReading(1, content)

    def forget_everything(self) -> None:
        """Remove all values and reset the revision to zero."""
        self.revision = 0
        self._heads.clear()
        self._values.clear()

    def view(self, address: Address) -> 'SourceView':
        """Return the source as seen by the process at an address."""
        return SourceView(self, address)

    def read_value(self, key: str) -> Result[SourceReading, SourceFailure]:
        """Return the value of a key at the revision that readers see."""
        if key != HEAD_KEY:
            found = self._values.get(key)
            return Ok(found) if found else Err(SourceKeyMissing(key))
        revision = self.visible_revision
        if revision not in self._heads:
            return Err(SourceKeyMissing(key))
        return Ok(SourceReading(revision, self._heads[revision]))

    @property
    def visible_revision(self) -> int:
        """Return the revision of the head that readers see."""
        if self.stale_revision is None:
            return self.revision
        return min(self.stale_revision, self.revision)

    async def wait_change(self, seconds: float) -> None:
        """Return after the next publication or after the given seconds."""
        try:
            async with asyncio.timeout(seconds):
                await self._changed.wait()
        except TimeoutError:
            return


class SourceView:
    """Client of the source at one address."""

    def __init__(self, source: MemorySource, address: Address) -> None:
        """Take the source and the address of the reader."""
        self._source = source
        self._address = address

    async def read(self, key: str) -> Result[SourceReading, SourceFailure]:
        """Return the current value of the key."""
        failure = await self._start_call()
        if failure is not None:
            return Err(failure)
        found = self._source.read_value(key)
        if isinstance(found, Ok):
            self._source.bytes_read += len(found.ok_value.content)
        return found

    async def watch(
        self, key: str, after: int, wait_seconds: float
    ) -> Result[SourceReading | None, SourceFailure]:
        """Return a revision above ``after``, or None after the wait."""
        failure = await self._start_call()
        if failure is not None:
            return Err(failure)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_seconds
        while self._source.visible_revision <= after:
            remaining = deadline - loop.time()
            if remaining < CALL_SECONDS:
                return Ok(None)
            await self._source.wait_change(remaining)
        if self._is_unreachable:
            return Err(SourceUnavailable('source unreachable'))
        found = self._source.read_value(key)
        if isinstance(found, Err):
            return found
        self._source.bytes_read += len(found.ok_value.content)
        return Ok(found.ok_value)

    @property
    def _is_unreachable(self) -> bool:
        return self._source.is_down or not self._source.reaches(self._address)

    async def _start_call(self) -> SourceFailure | None:
        self._source.calls += 1
        await asyncio.sleep(CALL_SECONDS)
        if self._source.is_hanging:
            await asyncio.sleep(HANG_SECONDS)
        return (
            SourceUnavailable('source unreachable')
            if self._is_unreachable
            else None
        )


class Publisher:
    """Builds releases from object sets and publishes them in sequence."""

    def __init__(self, source: MemorySource) -> None:
        """Take the source; the first release has version 1."""
        self.source = source
        self.head: Head | None = None
        self.objects: dict[ObjectId, PublishedObject] = {}
        self.digests: set[tuple[int, bytes]] = set()

    def build(self, objects: dict[ObjectId, PublishedObject]) -> Release:
        """Return the next release with these objects without publishing."""
        return build_release(objects, self.head, self.objects).unwrap()

    def publish(self, objects: dict[ObjectId, PublishedObject]) -> Release:
        """Publish a complete set of objects as the next version."""
        release = self.build(objects)
        self.head, self.objects = release.head, objects
        self.digests.add((release.head.version, release.head.digest))
        self.source.publish(release)
        return release

    def change(self, *changed: PublishedObject) -> Release:
        """Publish the last set with some objects added or replaced."""
        return self.publish(
            self.objects
            | {object_id(published): published for published in changed}
        )


def _reaches_all(address: Address) -> bool:
    return True
