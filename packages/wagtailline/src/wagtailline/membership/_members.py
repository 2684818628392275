"""Statements of members and the table of the latest ones."""

from enum import Enum
from typing import NamedTuple

from wagtailline.membership._digests import Digests
from wagtailline.ports import Address


class Member(NamedTuple):
    """Statement of a vm about itself and the endpoint that it holds.

    ``incarnation`` is its start time in milliseconds since the Unix epoch;
    ``sequence`` counts its statements since then.
    """

    endpoint: str
    vm: str
    data_centre: str
    address: Address
    incarnation: int
    sequence: int = 0
    leaving: bool = False


class Suspicion(NamedTuple):
    """The member that made this statement did not answer a probe."""

    endpoint: str
    incarnation: int
    sequence: int


class MemberStatus(Enum):
    """What this process believes about a member.

    A listed member is known from the platform's list only; a suspect one
    has not answered a probe and can still refute that.
    """

    LISTED = 'listed'
    ANSWERING = 'answering'
    SUSPECT = 'doubted'
    DOWN = 'down'


class Entry(NamedTuple):
    """A member and its status since a monotonic time in seconds."""

    member: Member
    status: MemberStatus
    since: float


class MemberTable:
    """Latest known statement and status of the member at each endpoint."""

    def __init__(self) -> None:
        """Start without members."""
        self._entries: dict[str, Entry] = {}
        self._not_answering: dict[str, Entry] = {}
        self._digests = Digests()
        self._answering: dict[str, dict[str, Member]] = {}
        self._cache: dict[str, tuple[Member, ...]] = {}
        self._changed: dict[str, float] = {}
        self._suspected_at: dict[str, float] = {}

    def update(self, member: Member, now: float = 0) -> bool:
        """Store the statement if it is newer; return whether it is."""
        known = self._entries.get(member.endpoint)
        if known is not None and _outranks(known, member):
            return False
        self._store(Entry(member, MemberStatus.ANSWERING, now))
        return True

    def merge_listed(self, member: Member, now: float) -> bool:
        """Store a listed vm if it is a later occupant; return whether it is.

        A known vm is skipped: its own statement has its start time by its
        own clock, which need not be that of the list.
        """
        known = self._entries.get(member.endpoint)
        if known is not None and (
            known.member.vm == member.vm
            or holder_order(member) <= holder_order(known.member)
        ):
            return False
        self._store(Entry(member, MemberStatus.LISTED, now))
        return True

    def suspect(self, suspicion: Suspicion, now: float) -> bool:
        """Apply a suspicion; return whether an answering member is now suspect.

        A suspicion about an earlier statement has no effect.
        """
        known = self._entries.get(suspicion.endpoint)
        if known is None or known.status is not MemberStatus.ANSWERING:
            return False
        member = known.member
        if (suspicion.incarnation, suspicion.sequence) < (
            member.incarnation,
            member.sequence,
        ):
            return False
        self._store(Entry(member, MemberStatus.SUSPECT, now))
        self._suspected_at[suspicion.endpoint] = now
        return True

    def expire_suspicions(
        self, suspected_before: float, now: float
    ) -> tuple[Member, ...]:
        """Mark members down whose suspicion has expired, and return them."""
        due = [
            endpoint
            for endpoint, since in self._suspected_at.items()
            if since <= suspected_before
        ]
        for endpoint in due:
            del self._suspected_at[endpoint]
        expired = tuple(
            entry.member
            for entry in map(self._entries.get, due)
            if entry is not None and entry.status is MemberStatus.SUSPECT
        )
        for member in expired:
            self._store(Entry(member, MemberStatus.DOWN, now))
        return expired

    def remove(self, endpoint: str, now: float = 0) -> None:
        """Remove the member at an endpoint."""
        self._discard(endpoint, now)

    def find(self, endpoint: str) -> Member | None:
        """Return the member at an endpoint, whatever its status."""
        entry = self._entries.get(endpoint)
        return entry.member if entry is not None else None

    def entry(self, endpoint: str) -> Entry | None:
        """Return the entry of an endpoint."""
        return self._entries.get(endpoint)

    def not_answering(self, status: MemberStatus) -> tuple[Entry, ...]:
        """Return the entries with a status, which is LISTED or DOWN."""
        return tuple(
            entry
            for entry in self._not_answering.values()
            if entry.status is status
        )

    def endpoints(self, data_centre: str) -> tuple[str, ...]:
        """Return all known endpoints of a data centre."""
        answering = self._answering.get(data_centre, {})
        not_answering = (
            entry.member.endpoint
            for entry in self._not_answering.values()
            if entry.member.data_centre == data_centre
        )
        return (*answering, *not_answering)

    def in_data_centre(self, data_centre: str) -> tuple[Member, ...]:
        """Return the answering and suspect members of a data centre.

        A suspect member counts until its suspicion has expired. The order is
        that in which members began to be counted.
        """
        cached = self._cache.get(data_centre)
        if cached is None:
            cached = tuple(self._answering.get(data_centre, {}).values())
            self._cache[data_centre] = cached
        return cached

    def members(self) -> tuple[Member, ...]:
        """Return the answering and suspect members of all data centres."""
        return tuple(
            member
            for group in self._answering.values()
            for member in group.values()
        )

    def data_centres(self) -> tuple[str, ...]:
        """Return the data centres with an answering or suspect member."""
        return tuple(name for name, group in self._answering.items() if group)

    def copy_from(self, other: 'MemberTable') -> None:
        """Replace the entries by those of a table of answering members."""
        self._entries = dict(other._entries)
        self._answering = {
            name: dict(group) for name, group in other._answering.items()
        }
        self._digests = other._digests.copy()
        self._cache = {}

    def digest(self, data_centre: str) -> int:
        """Return the digest of the statements of a data centre."""
        return self._digests.digest(data_centre)

    def fingerprints(self, data_centre: str) -> dict[bytes, str]:
        """Return the endpoints of a data centre by fingerprint."""
        return self._digests.fingerprints(data_centre)

    def changed_at(self, data_centre: str) -> float:
        """Return the monotonic time of the last change in a data centre."""
        return self._changed.get(data_centre, float('-inf'))

    def _store(self, entry: Entry) -> None:
        member = entry.member
        self._discard(member.endpoint, entry.since)
        self._entries[member.endpoint] = entry
        self._changed[member.data_centre] = entry.since
        if is_answering(entry):
            group = self._answering.setdefault(member.data_centre, {})
            group[member.endpoint] = member
            self._cache.pop(member.data_centre, None)
            self._digests.add(member.endpoint, member.data_centre, member)
        else:
            self._not_answering[member.endpoint] = entry

    def _discard(self, endpoint: str, now: float) -> None:
        previous = self._entries.pop(endpoint, None)
        if previous is None:
            return
        data_centre = previous.member.data_centre
        self._changed[data_centre] = now
        if is_answering(previous):
            self._answering[data_centre].pop(endpoint, None)
            self._cache.pop(data_centre, None)
            self._digests.remove(endpoint)
        else:
            self._not_answering.pop(endpoint, None)


def is_answering(entry: Entry) -> bool:
    """Return whether a member is answering, or suspect and not yet down."""
    status = entry.status
    return status is MemberStatus.ANSWERING or status is MemberStatus.SUSPECT


def holder_order(member: Member) -> tuple[int, str]:
    """Return the sort key of occupants; the greatest holds the endpoint.

    The later start wins. With equal start times the name decides, so that
    all members choose the same vm.
    """
    return member.incarnation, member.vm


def statement_order(member: Member) -> tuple[int, str, int]:
    """Return the sort key of statements about one endpoint."""
    return member.incarnation, member.vm, member.sequence


def _outranks(known: Entry, member: Member) -> bool:
    if known.status is MemberStatus.LISTED:
        if known.member.vm == member.vm:
            return False
        return holder_order(known.member) > holder_order(member)
    return statement_order(known.member) >= statement_order(member)
