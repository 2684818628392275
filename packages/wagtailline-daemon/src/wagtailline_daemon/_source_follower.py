"""Follows the head in the source without help of peers."""

import asyncio
from contextlib import suppress

from result import Err, Ok

from wagtailline.checks import check_set
from wagtailline.ports import Source, SourceReading
from wagtailline.release import (
    HEAD_KEY,
    Head,
    bucket_key,
    decode_bucket,
    decode_head,
    unpack_object,
)
from wagtailline.snapshot import Snapshot, SnapshotStore

WATCH_SECONDS = 20.0
RETRY_SECONDS = 1.0


class SourceFollower:
    """Installs each version that the source publishes."""

    def __init__(self, source: Source, store: SnapshotStore) -> None:
        """Read from the source into the store."""
        self._source = source
        self._store = store
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begin to watch the head."""
        self._task = asyncio.create_task(self._follow())

    async def stop(self) -> None:
        """End the watch."""
        if self._task is not None:
            self._task.cancel()
            with suppress(asyncio.CancelledError):
                await self._task

    def request_version(self, version: int) -> None:
        """Do nothing: the watch brings the version."""

    async def _follow(self) -> None:
        revision = -1
        while True:
            watched = await self._source.watch(
                HEAD_KEY, revision, WATCH_SECONDS
            )
            match watched:
                case Ok(SourceReading() as reading):
                    revision = reading.revision
                    await self._install(reading.content)
                case Err(_):
                    await asyncio.sleep(RETRY_SECONDS)

    async def _install(self, content: bytes) -> None:
        decoded = decode_head(content)
        if isinstance(decoded, Err):
            return
        head = decoded.ok_value
        snapshot = await self._assemble(head)
        if snapshot is not None and not check_set(snapshot.objects):
            self._store.install(snapshot)

    async def _assemble(self, head: Head) -> Snapshot | None:
        objects = {}
        for digest in set(head.buckets):
            read = await self._source.read(bucket_key(digest))
            if isinstance(read, Err):
                return None
            decoded = decode_bucket(read.ok_value.content, digest)
            if isinstance(decoded, Err):
                return None
            for packed in decoded.ok_value:
                unpacked = unpack_object(packed)
                if isinstance(unpacked, Err):
                    return None
                objects[packed[0], packed[1]] = unpacked.ok_value
        return Snapshot(head.version, head.digest, objects)
