"""Anti-entropy: synchronizes the statements of a data centre with a peer."""

from collections.abc import Iterable

from wagtailline.membership._digests import fingerprint_of, split_fingerprints
from wagtailline.membership._local import LocalMember
from wagtailline.membership._members import Member
from wagtailline.membership.messages import (
    DataCentreDigest,
    GossipMessage,
    SyncReply,
    SyncRequest,
    UpdateBatch,
)

_REQUEST_TIMEOUT_SECONDS = 1.0


class Synchronizer:
    """Repairs what the bounded number of transmissions has missed."""

    def __init__(self, local: LocalMember) -> None:
        """Synchronize the table of the local member."""
        self._local = local
        self._settings = local.environment.settings
        self._next_sync_at: dict[str, float] = {}

    def select_data_centre(
        self, digests: Iterable[DataCentreDigest]
    ) -> str | None:
        """Return a data centre whose digest differs and that is due, if any.

        While gossip still delivers updates, digests differ anyway, so a
        data centre that has changed recently is not synchronized.
        """
        now = self._local.now()
        for scope in digests:
            name = scope.data_centre
            quiet_seconds = now - self._local.table.changed_at(name)
            differs = scope.digest != self._local.table.digest(name)
            if differs and quiet_seconds >= self._settings.sync_quiet_seconds:
                if now >= self._next_sync_at.get(name, now):
                    jitter = self._local.environment.random.random()
                    wait_seconds = self._settings.sync_interval_seconds * (
                        1 + jitter
                    )
                    self._next_sync_at[name] = now + wait_seconds
                    return name
        return None

    async def synchronize(self, endpoint: str, data_centre: str) -> bool:
        """Exchange differing statements; return whether the peer answered."""
        while True:
            reply = await self._request_difference(endpoint, data_centre)
            if reply is None:
                return False
            for suspicion in reply.suspicions:
                self._local.merge_suspicion(suspicion)
            merged = [
                self._local.merge_statement(member, disseminate=False)
                for member in reply.members
            ]
            await self._send_suspicions(endpoint, reply.members)
            # If no statement was newer, the peer would send the same for ever.
            if not any(merged) or not reply.remaining:
                break
            await self._local.environment.clock.sleep(
                self._settings.sync_pause_seconds
            )
        await self._send_wanted(
            endpoint, data_centre, reply.wanted_fingerprints
        )
        return True

    def answer(self, request: SyncRequest) -> SyncReply:
        """Return what the sender lacks and the fingerprints missing here.

        At most ``sync_batch`` statements are returned.
        """
        theirs = split_fingerprints(request.fingerprints)
        ours = self._local.table.fingerprints(request.data_centre)
        missing = [
            endpoint
            for fingerprint, endpoint in ours.items()
            if fingerprint not in theirs
        ]
        batch = missing[: self._settings.sync_batch]
        return SyncReply(
            self._statements_of(batch),
            self._local.recent_suspicions(theirs),
            b''.join(sorted(theirs - ours.keys())),
            len(missing) - len(batch),
        )

    async def _request_difference(
        self, endpoint: str, data_centre: str
    ) -> SyncReply | None:
        fingerprints = b''.join(self._local.table.fingerprints(data_centre))
        reply = await self._local.environment.peers.request(
            endpoint,
            SyncRequest(data_centre, fingerprints),
            _REQUEST_TIMEOUT_SECONDS,
        )
        return reply if isinstance(reply, SyncReply) else None

    async def _send_suspicions(
        self, endpoint: str, members: tuple[Member, ...]
    ) -> None:
        fingerprints = set(map(fingerprint_of, members))
        suspicions = self._local.recent_suspicions(fingerprints)
        if suspicions:
            await self._local.post(
                endpoint, GossipMessage(UpdateBatch((), suspicions))
            )

    async def _send_wanted(
        self, endpoint: str, data_centre: str, wanted_fingerprints: bytes
    ) -> None:
        ours = self._local.table.fingerprints(data_centre)
        wanted = [
            ours[fingerprint]
            for fingerprint in sorted(split_fingerprints(wanted_fingerprints))
            if fingerprint in ours
        ]
        batch = self._settings.sync_batch
        for start in range(0, len(wanted), batch):
            members = self._statements_of(wanted[start : start + batch])
            await self._local.post(
                endpoint, GossipMessage(UpdateBatch(members))
            )

    def _statements_of(self, endpoints: Iterable[str]) -> tuple[Member, ...]:
        found = map(self._local.table.find, endpoints)
        return tuple(member for member in found if member is not None)
