"""Ranks of the members, and the tree of each reader.

A relay is responsible for an interval of scores. It divides the members that
it knows in the interval into four groups and hands each group's interval to
the first member that accepts it. Two relays with different member lists
therefore disagree only about the members that one of them does not know.
"""

from bisect import bisect_left
from collections import OrderedDict, defaultdict
from typing import NamedTuple

from wagtailline.membership import Member, MemberTable
from wagtailline.placement import score
from wagtailline.ports import Clock

TREE_DEGREE = 4
MAX_SCORE = 2**64 - 1
# Sorting the members of a large fleet takes about a millisecond.
REFRESH_SECONDS = 2.0
# A peer that did not answer is tried again after this time.
SUSPECT_SECONDS = 10.0
_KEPT_ORDERS = 8


class Branch(NamedTuple):
    """A group of members and the scores that its relay answers for."""

    low: int
    high: int
    members: tuple[str, ...]


class Topology:
    """View of the fleet from one member; it may lag behind."""

    def __init__(
        self, member: Member, table: MemberTable, clock: Clock
    ) -> None:
        """Look at the fleet as the member."""
        self._member = member
        self._table = table
        self._clock = clock
        self._refreshed = float('-inf')
        self._suspects: dict[str, float] = {}
        self._listed: dict[str, list[str]] = {}
        self._members: dict[str, tuple[str, ...]] = {}
        self._ranks: dict[str, tuple[str, ...]] = {}
        self._own_ranks: dict[str, int] = {}
        self._orders: OrderedDict[str, tuple[tuple[int, str], ...]] = (
            OrderedDict()
        )

    def data_centres(self) -> tuple[str, ...]:
        """Return every data centre with a known member."""
        self._refresh()
        return tuple(self._members)

    def members(self, data_centre: str) -> tuple[str, ...]:
        """Return the endpoints of a data centre, sorted by name."""
        self._refresh()
        return self._members.get(data_centre, ())

    def neighbours(self) -> tuple[str, ...]:
        """Return the other endpoints of the own data centre."""
        return tuple(
            endpoint
            for endpoint in self.members(self._member.data_centre)
            if endpoint != self._member.endpoint
        )

    def ranked(self, data_centre: str) -> tuple[str, ...]:
        """Return the members in the order in which they read."""
        self._refresh()
        return self._ranks.get(data_centre, ())

    def rank_of(self, endpoint: str) -> int:
        """Return the rank in the own data centre, 0 for the first reader.

        A member that is not in the table yet ranks behind all others.
        """
        self._refresh()
        return self._own_ranks.get(endpoint, len(self._own_ranks))

    def suspect(self, endpoint: str) -> None:
        """Note that a member did not answer."""
        self._suspects[endpoint] = self._clock.monotonic() + SUSPECT_SECONDS

    def clear_suspicion(self, endpoint: str) -> None:
        """Note that a member gave a sign of life."""
        self._suspects.pop(endpoint, None)

    def is_suspect(self, endpoint: str) -> bool:
        """Tell whether a member has not answered lately."""
        until = self._suspects.get(endpoint)
        if until is None:
            return False
        if until < self._clock.monotonic():
            del self._suspects[endpoint]
            return False
        return True

    def branches(
        self, path: tuple[str, ...], low: int, high: int
    ) -> list[Branch]:
        """Divide the members with a score in the interval into groups.

        Those on the path, which ends with the own member, are left out.
        """
        order = self._order(path[0])
        start = bisect_left(order, (low, ''))
        end = bisect_left(order, (high + 1, ''))
        inside = [one for one in order[start:end] if one[1] not in path]
        size = max(1, -(-len(inside) // TREE_DEGREE))
        groups = [
            inside[first : first + size]
            for first in range(0, len(inside), size)
        ]
        starts = [low, *(group[0][0] for group in groups[1:])]
        ends = [*(following - 1 for following in starts[1:]), high]
        return [
            Branch(first, last, tuple(endpoint for _, endpoint in group))
            for first, last, group in zip(starts, ends, groups, strict=False)
        ]

    def _order(self, reader: str) -> tuple[tuple[int, str], ...]:
        self._refresh()
        if reader not in self._orders:
            members = self._members.get(self._member.data_centre, ())
            weights = ((score(reader, one), one) for one in members)
            self._orders[reader] = tuple(sorted(weights))
            if len(self._orders) > _KEPT_ORDERS:
                self._orders.popitem(last=False)
        return self._orders[reader]

    def _refresh(self) -> None:
        now = self._clock.monotonic()
        if now - self._refreshed < REFRESH_SECONDS:
            return
        self._refreshed = now
        grouped: dict[str, list[str]] = defaultdict(list)
        for member in self._table.members():
            grouped[member.data_centre].append(member.endpoint)
        for gone in self._listed.keys() - grouped.keys():
            del self._listed[gone], self._members[gone], self._ranks[gone]
        for data_centre, endpoints in grouped.items():
            # The table keeps its order, so nothing is sorted at rest.
            if endpoints != self._listed.get(data_centre):
                self._listed[data_centre] = endpoints
                self._replace(data_centre, tuple(sorted(endpoints)))

    def _replace(self, data_centre: str, members: tuple[str, ...]) -> None:
        self._members[data_centre] = members
        self._ranks[data_centre] = tuple(
            sorted(
                members,
                key=lambda one: score(f'readers/{data_centre}', one),
                reverse=True,
            )
        )
        if data_centre == self._member.data_centre:
            self._orders.clear()
            self._own_ranks = {
                endpoint: position
                for position, endpoint in enumerate(self._ranks[data_centre])
            }
