"""Reader of the baselines, in which every daemon reads the source itself."""

import asyncio
from random import Random

from result import Ok

from wagtailline.distribution._versions import Versions
from wagtailline.ports import LoopClock, Source
from wagtailline.release import (
    HEAD_KEY,
    Head,
    bucket_key,
    decode_head,
    decode_pack,
    list_deltas,
)
from wagtailline.snapshot import SnapshotStore
from wagtailline_lab.distribution_fleet import WALL_START

WATCH_SECONDS = 30.0
# Mean interval between polls: a freshness of about 3 s without a watch.
POLL_SECONDS = 3.0


class DirectReader:
    """Daemon that reads every version from the source itself."""

    def __init__(self, source: Source, random: Random, *, polls: bool) -> None:
        """Take the source to poll or watch."""
        self.store = SnapshotStore()
        self._source = source
        self._random = random
        self._polls = polls
        self._versions = Versions(self.store, LoopClock(WALL_START))
        self._revision = 0
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start reading from the source."""
        self._task = asyncio.ensure_future(self._read_versions())

    def stop(self) -> None:
        """Stop reading."""
        if self._task is not None:
            self._task.cancel()

    async def _read_versions(self) -> None:
        while True:
            if self._polls:
                await asyncio.sleep(POLL_SECONDS * self._random.random())
                await self._process_answer(await self._source.read(HEAD_KEY))
                await asyncio.sleep(POLL_SECONDS / 2)
            else:
                await self._process_answer(
                    await self._source.watch(
                        HEAD_KEY, self._revision, WATCH_SECONDS
                    )
                )

    async def _process_answer(self, answer: object) -> None:
        if not isinstance(answer, Ok):
            await asyncio.sleep(1)
        elif answer.ok_value is not None:
            self._revision = answer.ok_value.revision
            head = decode_head(answer.ok_value.content).unwrap()
            accepted = self._versions.accept_deltas(list_deltas(head))
            if accepted.is_err() and head.version > self.store.version:
                await self._fetch_buckets(head)

    async def _fetch_buckets(self, head: Head) -> None:
        fetched: dict[bytes, bytes] = {}
        for digest in head.packs:
            reading = (await self._source.read(bucket_key(digest))).unwrap()
            fetched.update(decode_pack(reading.content, digest).unwrap())
        self._versions.accept_buckets(head, fetched)
