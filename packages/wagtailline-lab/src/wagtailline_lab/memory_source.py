"""In-memory stand-in of the configuration source."""

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
# How long a call to a source that hangs stays without an answer.
HANG_SECONDS = 3600.0


class MemorySource:
    """Holds what was published; may be down, stale, hanging or cut off."""

    def __init__(self) -> None:
        """Begin without values."""
        self.calls = 0
        self.bytes_read = 0
        self.is_down = False
        self.is_hanging = False
        self.stale_revision: int | None = None
        self.reaches: Callable[[Address], bool] = _always
        self.revision = 0
        self._heads: dict[int, bytes] = {}
        self._values: dict[str, SourceReading] = {}
        self._changed = asyncio.Event()

    def publish(self, release: Release) -> None:
        """Put a release in place as the newest one."""
        for digest, content in release.buckets.items():
            self._values[bucket_key(digest)] = SourceReading(1, content)
        self.publish_head(encode_head(release.head))

    def publish_head(self, content: bytes) -> None:
        """Put the bytes of a head in place without its buckets."""
        self.revision += 1
        self._heads[self.revision] = content
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def replace_value(self, digest: bytes, content: bytes | None) -> None:
        """Damage or remove a bucket or pack."""
        if content is None:
            self._values.pop(bucket_key(digest), None)
        else:
            self._values[bucket_key(digest)] = SourceReading(1, content)

    def forget_everything(self) -> None:
        """Begin again without values."""
        self.revision = 0
        self._heads.clear()
        self._values.clear()

    def view(self, address: Address) -> 'SourceView':
        """Return the source as the process at an address reaches it."""
        return SourceView(self, address)

    def look(self, key: str) -> Result[SourceReading, SourceFailure]:
        """Return a value as readers see it now."""
        if key != HEAD_KEY:
            found = self._values.get(key)
            return Ok(found) if found else Err(SourceKeyMissing(key))
        revision = self.visible_revision
        if revision not in self._heads:
            return Err(SourceKeyMissing(key))
        return Ok(SourceReading(revision, self._heads[revision]))

    @property
    def visible_revision(self) -> int:
        """Return the revision that readers see."""
        if self.stale_revision is None:
            return self.revision
        return min(self.stale_revision, self.revision)

    async def wait_change(self, seconds: float) -> None:
        """Return at the next publication or when the time is over."""
        try:
            async with asyncio.timeout(seconds):
                await self._changed.wait()
        except TimeoutError:
            return


class SourceView:
    """The source seen from one address."""

    def __init__(self, source: MemorySource, address: Address) -> None:
        """Look at the source from the address."""
        self._source = source
        self._address = address

    async def read(self, key: str) -> Result[SourceReading, SourceFailure]:
        """Return the value of the key as the source sees it now."""
        failure = await self._begin()
        if failure is not None:
            return Err(failure)
        found = self._source.look(key)
        if isinstance(found, Ok):
            self._source.bytes_read += len(found.ok_value.content)
        return found

    async def watch(
        self, key: str, after: int, wait_seconds: float
    ) -> Result[SourceReading | None, SourceFailure]:
        """Wait for a revision above ``after``; None when the wait ends."""
        failure = await self._begin()
        if failure is not None:
            return Err(failure)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_seconds
        while self._source.visible_revision <= after:
            remaining = deadline - loop.time()
            if remaining < CALL_SECONDS:
                return Ok(None)
            await self._source.wait_change(remaining)
        if self._is_cut:
            return Err(SourceUnavailable('cut off'))
        found = self._source.look(key)
        if isinstance(found, Err):
            return found
        self._source.bytes_read += len(found.ok_value.content)
        return Ok(found.ok_value)

    @property
    def _is_cut(self) -> bool:
        return self._source.is_down or not self._source.reaches(self._address)

    async def _begin(self) -> SourceFailure | None:
        self._source.calls += 1
        await asyncio.sleep(CALL_SECONDS)
        if self._source.is_hanging:
            await asyncio.sleep(HANG_SECONDS)
        return SourceUnavailable('cut off') if self._is_cut else None


class Publisher:
    """Publishes one release after another."""

    def __init__(self, source: MemorySource) -> None:
        """Publish to the source, beginning at version 1."""
        self.source = source
        self.head: Head | None = None
        self.objects: dict[ObjectId, PublishedObject] = {}
        self.digests: set[tuple[int, bytes]] = set()

    def build(self, objects: dict[ObjectId, PublishedObject]) -> Release:
        """Return the release that would follow, without publishing it."""
        return build_release(objects, self.head, self.objects).unwrap()

    def publish(self, objects: dict[ObjectId, PublishedObject]) -> Release:
        """Publish a whole set as the next version."""
        release = self.build(objects)
        self.head, self.objects = release.head, objects
        self.digests.add((release.head.version, release.head.digest))
        self.source.publish(release)
        return release

    def change(self, *changed: PublishedObject) -> Release:
        """Publish the last set with some objects added or replaced."""
        return self.publish(
            self.objects | {object_id(one): one for one in changed}
        )


def _always(address: Address) -> bool:
    return True
