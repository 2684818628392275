"""Answers peers that compare versions or fetch them."""

from wagtailline.distribution._catch_up import CatchUp
from wagtailline.distribution._context import DistributionContext
from wagtailline.distribution._election import Election
from wagtailline.distribution.messages import (
    BucketReply,
    BucketRequest,
    DeltaReply,
    DeltaRequest,
    HeadReply,
    HeadRequest,
    VersionProbe,
    VersionReply,
)
from wagtailline.messages import Hello

# A transfer counts as in progress for this time after its last request.
TRANSFER_LAPSE_SECONDS = 1.0
RETRY_AFTER_MS = 1000
# Half of the frame limit of control connections.
MAX_REPLY_BYTES = 512 * 1024


class Responder:
    """Responders of the distribution."""

    def __init__(
        self,
        context: DistributionContext,
        election: Election,
        catch_up: CatchUp,
    ) -> None:
        """Begin as a process that has not joined."""
        self.is_ready = False
        self._context = context
        self._election = election
        self._catch_up = catch_up
        self._transfers: dict[str, float] = {}

    async def answer_probe(
        self, peer: Hello, probe: VersionProbe
    ) -> VersionReply:
        """Tell the version in force and take the other's."""
        self._election.record_contact(peer.endpoint, peer.data_centre)
        versions = self._context.versions
        if versions.is_wanted(probe.version):
            self._catch_up.offer(peer.endpoint, probe.version)
        return VersionReply(versions.name, self.is_ready)

    async def answer_deltas(
        self, peer: Hello, request: DeltaRequest
    ) -> DeltaReply:
        """Give the deltas that follow the asker's version."""
        versions = self._context.versions
        return DeltaReply(
            versions.name, versions.delta_log.since(request.digest)
        )

    async def answer_head(self, peer: Hello, request: HeadRequest) -> HeadReply:
        """Give the bucket digests unless too many others are fetching."""
        versions = self._context.versions
        if not self._admit(peer.endpoint):
            return HeadReply(versions.name, (), RETRY_AFTER_MS)
        return HeadReply(versions.name, versions.current_set.digests)

    async def answer_buckets(
        self, peer: Hello, request: BucketRequest
    ) -> BucketReply:
        """Give the buckets that are held, as far as they fit."""
        if not self._admit(peer.endpoint):
            return BucketReply(())
        held = self._context.versions.current_set
        by_digest = dict(zip(held.digests, held.encoded, strict=True))
        found: list[bytes] = []
        size = 0
        for digest in request.digests:
            content = by_digest.get(digest, b'')
            size += len(content)
            if size > MAX_REPLY_BYTES:
                break
            if content:
                found.append(content)
        return BucketReply(tuple(found))

    def _admit(self, endpoint: str) -> bool:
        now = self._context.clock.monotonic()
        self._transfers = {
            peer: last
            for peer, last in self._transfers.items()
            if now - last < TRANSFER_LAPSE_SECONDS
        }
        limit = self._context.settings.max_transfers
        if endpoint not in self._transfers and len(self._transfers) >= limit:
            return False
        self._transfers[endpoint] = now
        return True
