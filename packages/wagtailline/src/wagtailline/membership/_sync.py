"""Comparison of all statements of a data centre with one other member."""

from collections.abc import Iterable

from wagtailline.membership._digests import fingerprint_of, split_prints
from wagtailline.membership._local import LocalMember
from wagtailline.membership._members import Member
from wagtailline.membership.messages import (
    MemberDifference,
    MemberSync,
    MemberUpdate,
    News,
    ScopeDigest,
)

_REQUEST_SECONDS = 1.0


class Synchronizer:
    """Repairs what the bounded retransmission of updates has left out."""

    def __init__(self, local: LocalMember) -> None:
        """Compare on behalf of a member."""
        self._local = local
        self._settings = local.environment.settings
        self._next: dict[str, float] = {}

    def find_due(self, scopes: Iterable[ScopeDigest]) -> str | None:
        """Return a data centre to compare with a peer, if any.

        While updates still arrive the digests differ anyway.
        """
        now = self._local.now()
        for scope in scopes:
            name = scope.data_centre
            quiet = now - self._local.table.changed_at(name)
            differs = scope.digest != self._local.table.digest(name)
            if differs and quiet >= self._settings.sync_quiet:
                if now >= self._next.get(name, now):
                    jitter = self._local.environment.random.random()
                    wait = self._settings.sync_interval * (1 + jitter)
                    self._next[name] = now + wait
                    return name
        return None

    async def pull(self, endpoint: str, data_centre: str) -> bool:
        """Exchange the differences with a peer; tell whether it answered."""
        while True:
            difference = await self._ask(endpoint, data_centre)
            if difference is None:
                return False
            for doubt in difference.doubts:
                self._local.take_doubt(doubt)
            taken = [
                self._local.take_statement(member, spread=False)
                for member in difference.members
            ]
            await self._object(endpoint, difference.members)
            # Statements that are refused here would be sent for ever.
            if not any(taken) or not difference.remaining:
                break
            await self._local.environment.clock.sleep(self._settings.sync_pause)
        await self._give(endpoint, data_centre, difference.wants)
        return True

    def answer(self, request: MemberSync) -> MemberDifference:
        """Return the statements that the sender lacks, and those to send."""
        theirs = split_prints(request.prints)
        ours = self._local.table.prints(request.data_centre)
        missing = [
            endpoint
            for fingerprint, endpoint in ours.items()
            if fingerprint not in theirs
        ]
        batch = missing[: self._settings.sync_batch]
        return MemberDifference(
            self._find(batch),
            self._local.recent_doubts(theirs),
            b''.join(sorted(theirs - ours.keys())),
            len(missing) - len(batch),
        )

    async def _ask(
        self, endpoint: str, data_centre: str
    ) -> MemberDifference | None:
        prints = b''.join(self._local.table.prints(data_centre))
        reply = await self._local.environment.peers.request(
            endpoint, MemberSync(data_centre, prints), _REQUEST_SECONDS
        )
        return reply if isinstance(reply, MemberDifference) else None

    async def _object(self, endpoint: str, members: tuple[Member, ...]) -> None:
        held = set(map(fingerprint_of, members))
        doubts = self._local.recent_doubts(held)
        if doubts:
            await self._local.post(endpoint, MemberUpdate(News((), doubts)))

    async def _give(
        self, endpoint: str, data_centre: str, wants: bytes
    ) -> None:
        ours = self._local.table.prints(data_centre)
        wanted = [
            ours[fingerprint]
            for fingerprint in sorted(split_prints(wants))
            if fingerprint in ours
        ]
        batch = self._settings.sync_batch
        for start in range(0, len(wanted), batch):
            members = self._find(wanted[start : start + batch])
            await self._local.post(endpoint, MemberUpdate(News(members)))

    def _find(self, endpoints: Iterable[str]) -> tuple[Member, ...]:
        found = map(self._local.table.find, endpoints)
        return tuple(member for member in found if member is not None)
