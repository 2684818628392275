"""Fetching of the newest known version from peers that have it."""

import asyncio
from typing import NamedTuple, TypeVar

from result import Err, Ok, Result

from wagtailline.codec import Message
from wagtailline.distribution._context import DistributionContext
from wagtailline.distribution.messages import (
    BucketReply,
    BucketRequest,
    DeltaReply,
    DeltaRequest,
    HeadReply,
    HeadRequest,
    VersionName,
)
from wagtailline.peers import PeerFailure
from wagtailline.release import Head, digest_content, missing_buckets

MAX_OFFERS = 16
MAX_TRIES = 5
# Longest pause after the first fetch that did not help; doubles with each try.
RETRY_SECONDS = 0.05
# 64 buckets of a set with 8,200 endpoints take about 170 KB.
BUCKETS_PER_REQUEST = 64


_Reply = TypeVar('_Reply')


class _Offer(NamedTuple):
    name: VersionName
    tries: int = 0


class CatchUp:
    """Task that fetches newer versions from the peers that offer them."""

    def __init__(self, context: DistributionContext) -> None:
        """Start without offers."""
        self._context = context
        self._offers: dict[str, _Offer] = {}
        self._buckets: dict[bytes, bytes] = {}
        self._wake = asyncio.Event()

    def offer(self, endpoint: str, name: VersionName) -> None:
        """Record that a peer has a version that is wanted here."""
        previous = self._offers.get(endpoint)
        if previous is not None and previous.name.version >= name.version:
            return
        if len(self._offers) < MAX_OFFERS or previous is not None:
            self._offers[endpoint] = _Offer(name)
            self._wake.set()

    async def run(self) -> None:
        """Fetch whenever there is an offer; run until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while True:
                endpoint = self._choose_holder()
                if endpoint is None:
                    break
                await self._fetch(endpoint)
                await self._back_off(endpoint)

    def _choose_holder(self) -> str | None:
        versions = self._context.versions
        self._offers = {
            endpoint: offer
            for endpoint, offer in self._offers.items()
            if versions.is_wanted(offer.name) and offer.tries < MAX_TRIES
        }
        newest = max(
            (offer.name.version for offer in self._offers.values()), default=0
        )
        holders = [
            endpoint
            for endpoint, offer in self._offers.items()
            if offer.name.version == newest
        ]
        return self._context.random.choice(holders) if holders else None

    async def _back_off(self, endpoint: str) -> None:
        offer = self._offers.get(endpoint)
        if offer is None or not self._context.versions.is_wanted(offer.name):
            return
        self._offers[endpoint] = offer._replace(tries=offer.tries + 1)
        max_delay = RETRY_SECONDS * 2**offer.tries
        await self._context.clock.sleep(
            self._context.random.uniform(max_delay / 2, max_delay)
        )

    async def _fetch(self, endpoint: str) -> None:
        versions = self._context.versions
        request = DeltaRequest(versions.current_set.digest)
        match await self._request(endpoint, request, DeltaReply):
            case Ok(reply):
                installed = versions.accept_deltas(reply.deltas)
                if installed.is_err() and versions.is_wanted(reply.version):
                    await self._fetch_buckets(endpoint)
                versions.observe(reply.version)
            case Err(_):
                self._context.topology.suspect(endpoint)
                self._offers.pop(endpoint, None)

    async def _fetch_buckets(self, endpoint: str) -> None:
        replied = await self._request(endpoint, HeadRequest(), HeadReply)
        if isinstance(replied, Err):
            return
        reply = replied.ok_value
        if reply.retry_after_ms:
            await self._context.clock.sleep(
                reply.retry_after_ms / 1000 * self._context.random.random()
            )
            return
        name = reply.version
        head = Head(name.version, b'', name.digest, reply.buckets)
        if not self._context.versions.is_wanted(name):
            return
        if await self._fetch_missing(endpoint, head):
            self._context.versions.accept_buckets(head, self._buckets)
            self._buckets = {}

    async def _fetch_missing(self, endpoint: str, head: Head) -> bool:
        missing = [
            digest
            for digest in missing_buckets(
                self._context.versions.current_set, head
            )
            if digest not in self._buckets
        ]
        for start in range(0, len(missing), BUCKETS_PER_REQUEST):
            wanted = tuple(missing[start : start + BUCKETS_PER_REQUEST])
            request = BucketRequest(wanted)
            match await self._request(endpoint, request, BucketReply):
                case Ok(reply):
                    self._store_buckets(reply.buckets, wanted)
                case Err(_):
                    return False
        return all(digest in self._buckets for digest in missing)

    def _store_buckets(
        self, buckets: tuple[bytes, ...], wanted: tuple[bytes, ...]
    ) -> None:
        for content in buckets:
            digest = digest_content(content)
            if digest in wanted:
                self._buckets[digest] = content

    async def _request(
        self, endpoint: str, request: Message, reply: type[_Reply]
    ) -> Result[_Reply, PeerFailure]:
        settings = self._context.settings
        timeout_seconds = (
            settings.transfer_seconds
            if isinstance(request, BucketRequest)
            else settings.probe_seconds
        )
        return await self._context.links.request(
            endpoint, request, reply, timeout_seconds
        )
