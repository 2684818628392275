"""Which vm occupies which endpoint."""

from typing import NamedTuple

from wagtailline.ports import Address


class Member(NamedTuple):
    """One vm's own statement about the endpoint that it occupies.

    ``incarnation`` is its start time in milliseconds since the Unix epoch,
    ``sequence`` counts its statements since then.
    """

    endpoint: str
    vm: str
    data_centre: str
    address: Address
    incarnation: int
    sequence: int = 0
    leaving: bool = False


class MemberTable:
    """Latest known statement for each endpoint."""

    def __init__(self) -> None:
        """Begin without members."""
        self._members: dict[str, Member] = {}

    def update(self, member: Member) -> bool:
        """Keep the statement if it is newer; tell whether it was."""
        known = self._members.get(member.endpoint)
        if known is not None and _order(known) >= _order(member):
            return False
        self._members[member.endpoint] = member
        return True

    def find(self, endpoint: str) -> Member | None:
        """Return the member at an endpoint."""
        return self._members.get(endpoint)

    def in_data_centre(self, data_centre: str) -> tuple[Member, ...]:
        """Return the members of one data centre."""
        return tuple(
            member
            for member in self._members.values()
            if member.data_centre == data_centre
        )

    def members(self) -> tuple[Member, ...]:
        """Return all members."""
        return tuple(self._members.values())


def _order(member: Member) -> tuple[int, int, str]:
    return member.incarnation, member.sequence, member.vm
