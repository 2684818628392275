"""The local member: its own statement, table and update queue."""

from collections.abc import Callable, Container, Sequence
from random import Random
from typing import NamedTuple, TypeVar

from wagtailline.codec import Message
from wagtailline.membership._digests import fingerprint_of
from wagtailline.membership._gossip import UpdateQueue
from wagtailline.membership._members import (
    Entry,
    Member,
    MemberStatus,
    MemberTable,
    Suspicion,
    holder_order,
)
from wagtailline.membership._peers import PeerTransport
from wagtailline.membership._settings import MembershipSettings
from wagtailline.membership.messages import DataCentreDigest, UpdateBatch
from wagtailline.ports import Clock

# After this time a suspicion has reached every member that gossip can reach.
# If another member still states that the suspect answers, the suspicion is
# not repeated; a probe finds out which of the two is right.
_RECENT_SUSPICION_SECONDS = 30.0
_Drawn = TypeVar('_Drawn')


class MembershipPorts(NamedTuple):
    """Dependencies of the membership service."""

    peers: PeerTransport
    clock: Clock
    random: Random
    table: MemberTable
    settings: MembershipSettings


class LocalMember:
    """Own statement, member table and update queue of one process.

    ``successor`` is the later occupant of the own endpoint once one is
    known; from then on this process may not act for the endpoint.
    ``disputed`` are endpoints of members that are answering according to
    others but down according to this process.
    """

    def __init__(self, member: Member, environment: MembershipPorts) -> None:
        """Add the own statement to the table and to the queue."""
        self.member = member
        self.successor: Member | None = None
        self.queue = UpdateQueue(environment.settings)
        self.disputed: set[str] = set()
        self.environment = environment
        self.table = environment.table
        self.on_change: Callable[[], None] = _do_nothing
        self._publish_own()

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self.environment.clock.monotonic()

    def merge_updates(self, updates: UpdateBatch) -> None:
        """Merge a batch of updates; new ones are queued for dissemination."""
        for member in updates.members:
            self.merge_statement(member)
        for suspicion in updates.suspicions:
            self.merge_suspicion(suspicion)

    def merge_statement(
        self, member: Member, *, disseminate: bool = True
    ) -> bool:
        """Merge the statement of another member; return whether it is newer.

        A statement that came by anti-entropy is known to most members
        already and need not be disseminated.
        """
        if member.endpoint == self.member.endpoint:
            self._merge_own_endpoint(member)
            return False
        if not self.table.update(member, self.now()):
            self.queue.count_duplicate(member)
            self._check_stale_statement(member)
            return False
        self.disputed.discard(member.endpoint)
        if disseminate:
            self.queue.add(member)
        self.on_change()
        return True

    def merge_suspicion(self, suspicion: Suspicion) -> None:
        """Merge a suspicion, or refute one about this process."""
        if suspicion.endpoint == self.member.endpoint:
            if suspicion.incarnation == self.member.incarnation:
                self.refute(suspicion.sequence)
            return
        if self.table.suspect(suspicion, self.now()):
            self.queue.add(suspicion)
        else:
            self.queue.count_duplicate(suspicion)

    def refute(self, sequence: int) -> None:
        """Publish a statement that supersedes the suspected one.

        A suspicion about an older statement is refuted already. One about a
        newer statement is false: refuting it would let a faulty peer
        exhaust the counter.
        """
        if sequence == self.member.sequence and self.successor is None:
            self.publish_statement(self.member._replace(sequence=sequence + 1))

    def publish_statement(self, member: Member) -> None:
        """Replace the own statement and queue it for dissemination."""
        self.member = member
        self._publish_own()

    def merge_listed(self, listed: Sequence[Member]) -> None:
        """Merge members from the platform's list of vms."""
        for member in listed:
            if member.endpoint == self.member.endpoint:
                if member.vm != self.member.vm:
                    self._merge_own_endpoint(member)
            elif self.table.merge_listed(member, self.now()):
                self.on_change()

    def digests(self) -> tuple[DataCentreDigest, ...]:
        """Return the digests of the own and of a random other data centre."""
        own = self.member.data_centre
        names = [own]
        others = [name for name in self.table.data_centres() if name != own]
        if others:
            names.append(self.environment.random.choice(others))
        return tuple(
            DataCentreDigest(name, self.table.digest(name)) for name in names
        )

    def suspicions_about(self, endpoint: str) -> tuple[Suspicion, ...]:
        """Return the suspicion that a member has to refute, if any."""
        entry = self.table.entry(endpoint)
        if entry is None:
            return ()
        if (
            entry.status is MemberStatus.SUSPECT
            or entry.status is MemberStatus.DOWN
        ):
            return (make_suspicion(entry.member),)
        return ()

    def recent_suspicions(
        self, fingerprints: Container[bytes]
    ) -> tuple[Suspicion, ...]:
        """Return suspicions about members that have gone down recently.

        Only members whose statement has one of the fingerprints count.
        """
        return tuple(
            make_suspicion(entry.member)
            for entry in self.table.not_answering(MemberStatus.DOWN)
            if self._is_recent(entry)
            and fingerprint_of(entry.member) in fingerprints
        )

    def choose_peers(self, count: int, *excluded: str) -> list[str]:
        """Return random endpoints of the own data centre.

        Members that are known from the list only are used when too few are
        answering.
        """
        own = self.member
        group = self.table.in_data_centre(own.data_centre)
        drawn = self._sample(group, count + 1 + len(excluded))
        skipped = {own.endpoint, *excluded}
        found = [
            member.endpoint
            for member in drawn
            if member.endpoint not in skipped
        ]
        if len(found) < count:
            listed = set(self.listed_endpoints()) - skipped
            found.extend(self._sample(sorted(listed), count - len(found)))
        return found[:count]

    def choose_remote_peer(self) -> str | None:
        """Return a random endpoint of a random other data centre, if any."""
        own = self.member.data_centre
        others = [name for name in self.table.data_centres() if name != own]
        random = self.environment.random
        if others:
            group = self.table.in_data_centre(random.choice(others))
            return random.choice(group).endpoint
        listed = [
            entry.member.endpoint
            for entry in self.table.not_answering(MemberStatus.LISTED)
            if entry.member.data_centre != own
        ]
        return random.choice(listed) if listed else None

    def listed_endpoints(self) -> list[str]:
        """Return endpoints of the own data centre known from the list only."""
        return [
            entry.member.endpoint
            for entry in self.table.not_answering(MemberStatus.LISTED)
            if entry.member.data_centre == self.member.data_centre
        ]

    async def post(self, endpoint: str, message: Message) -> None:
        """Send a message without waiting for a reply; it may be lost."""
        await self.environment.peers.post(endpoint, message)

    def _sample(self, found: Sequence[_Drawn], count: int) -> list[_Drawn]:
        return self.environment.random.sample(found, min(count, len(found)))

    def _merge_own_endpoint(self, member: Member) -> None:
        highest = self.successor or self.member
        if holder_order(member) > holder_order(highest):
            self.successor = member
            self.table.update(member, self.now())
            self.queue.add(member)
            self.on_change()

    def _check_stale_statement(self, member: Member) -> None:
        entry = self.table.entry(member.endpoint)
        if entry is None or entry.status is not MemberStatus.DOWN:
            return
        if member.sequence < entry.member.sequence:
            return
        # According to the sender this member is answering; here it is down.
        if not self._is_recent(entry):
            self.disputed.add(member.endpoint)
        elif not self.queue.contains(member.endpoint):
            self.queue.add(make_suspicion(entry.member))

    def _is_recent(self, entry: Entry) -> bool:
        return self.now() - entry.since <= _RECENT_SUSPICION_SECONDS

    def _publish_own(self) -> None:
        self.table.update(self.member, self.now())
        self.queue.add(self.member)
        self.on_change()


def make_suspicion(member: Member) -> Suspicion:
    """Return a suspicion about a statement of a member."""
    return Suspicion(member.endpoint, member.incarnation, member.sequence)


def _do_nothing() -> None:
    """Do nothing; this is the default of ``on_change``."""
