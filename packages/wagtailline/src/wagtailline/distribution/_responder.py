"""Replies to peers that compare or fetch versions."""

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

# A transfer counts as in progress until this time after its last request.
TRANSFER_TIMEOUT_SECONDS = 1.0
RETRY_AFTER_MS = 1000
# Half of the largest frame of control connections.
MAX_REPLY_BYTES = 512 * 1024


class Responder:
    """Handlers of the requests of peers for versions and their content."""

    def __init__(
        self,
        context: DistributionContext,
        election: Election,
        catch_up: CatchUp,
    ) -> None:
        """Start as a process that has not joined."""
        self.is_ready = False
        self._context = context
        self._election = election
        self._catch_up = catch_up
        self._last_requests: dict[str, float] = {}

    async def answer_probe(
        self, peer: Hello, probe: VersionProbe
    ) -> VersionReply:
        """Return the version in force and record that of the peer."""
        self._election.record_contact(peer.endpoint, peer.data_centre)
        versions = self._context.versions
        if versions.is_wanted(probe.version):
            self._catch_up.offer(peer.endpoint, probe.version)
        return VersionReply(versions.name, self.is_ready)

    async def answer_deltas(
        self, peer: Hello, request: DeltaRequest
    ) -> DeltaReply:
        """Return the deltas that follow the version of the peer."""
        versions = self._context.versions
        return DeltaReply(
            versions.name, versions.delta_log.since(request.digest)
        )

    async def answer_head(self, peer: Hello, request: HeadRequest) -> HeadReply:
        """Return the bucket digests, or none if too many peers are fetching."""
        versions = self._context.versions
        if not self._admit_transfer(peer.endpoint):
            return HeadReply(versions.name, (), RETRY_AFTER_MS)
        return HeadReply(versions.name, versions.current_set.digests)

    async def answer_buckets(
        self, peer: Hello, request: BucketRequest
    ) -> BucketReply:
        """Return the requested buckets, in order, up to the size of a reply.

        Buckets that are not part of the version in force are left out.
        """
        if not self._admit_transfer(peer.endpoint):
            return BucketReply(())
        current_set = self._context.versions.current_set
        by_digest = dict(
            zip(current_set.digests, current_set.encoded, strict=True)
        )
        found: list[bytes] = []
        size_bytes = 0
        for digest in request.digests:
            content = by_digest.get(digest, b'')
            size_bytes += len(content)
            if size_bytes > MAX_REPLY_BYTES:
                break
            if content:
                found.append(content)
        return BucketReply(tuple(found))

    def _admit_transfer(self, endpoint: str) -> bool:
        now = self._context.clock.monotonic()
        self._last_requests = {
            peer: requested_at
            for peer, requested_at in self._last_requests.items()
            if now - requested_at < TRANSFER_TIMEOUT_SECONDS
        }
        limit = self._context.settings.max_transfers
        if (
            endpoint not in self._last_requests
            and len(self._last_requests) >= limit
        ):
            return False
        self._last_requests[endpoint] = now
        return True
