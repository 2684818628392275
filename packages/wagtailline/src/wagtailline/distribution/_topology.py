"""Ranks of the members, and the tree of each reader.

Each member has a score for each reader, its rendezvous weight. A relay serves
the members in an interval of scores. It divides those that it knows into four
groups and passes the interval of each group to the first member of the group
that accepts it. Two relays with different member lists therefore differ only
in the members that one of them does not know.
"""

from bisect import bisect_left
from collections import OrderedDict, defaultdict
from typing import NamedTuple

from wagtailline.membership import Member, MemberTable
from wagtailline.placement import rendezvous_weight
from wagtailline.ports import Clock

TREE_DEGREE = 4
MAX_SCORE = 2**64 - 1
# Sorting the members of a large fleet takes about a millisecond each time.
REFRESH_SECONDS = 2.0
# A peer that did not answer is no longer suspect after this time.
SUSPECT_SECONDS = 10.0
_MAX_CACHED_ORDERS = 8


class Branch(NamedTuple):
    """Group of members with the interval of scores that its relay serves."""

    low: int
    high: int
    members: tuple[str, ...]


class Topology:
    """Members as one member knows them; it may lag behind the fleet."""

    def __init__(
        self, member: Member, table: MemberTable, clock: Clock
    ) -> None:
        """Take the member whose view of the fleet this is."""
        self._member = member
        self._table = table
        self._clock = clock
        self._refreshed_at = float('-inf')
        self._suspects: dict[str, float] = {}
        self._listed: dict[str, list[str]] = {}
        self._members: dict[str, tuple[str, ...]] = {}
        self._ranks: dict[str, tuple[str, ...]] = {}
        self._own_ranks: dict[str, int] = {}
        self._score_orders: OrderedDict[str, tuple[tuple[int, str], ...]] = (
            OrderedDict()
        )

    def data_centres(self) -> tuple[str, ...]:
        """Return the data centres with known members."""
        self._refresh()
        return tuple(self._members)

    def members(self, data_centre: str) -> tuple[str, ...]:
        """Return the endpoints of a data centre, sorted by name."""
        self._refresh()
        return self._members.get(data_centre, ())

    def neighbours(self) -> tuple[str, ...]:
        """Return the other endpoints of this data centre."""
        return tuple(
            endpoint
            for endpoint in self.members(self._member.data_centre)
            if endpoint != self._member.endpoint
        )

    def ranked(self, data_centre: str) -> tuple[str, ...]:
        """Return the endpoints of a data centre by rank, readers first."""
        self._refresh()
        return self._ranks.get(data_centre, ())

    def rank_of(self, endpoint: str) -> int:
        """Return the rank in this data centre, 0 for the first reader.

        A member that is not in the table yet ranks after all others.
        """
        self._refresh()
        return self._own_ranks.get(endpoint, len(self._own_ranks))

    def suspect(self, endpoint: str) -> None:
        """Record that a member did not answer."""
        self._suspects[endpoint] = self._clock.monotonic() + SUSPECT_SECONDS

    def clear_suspicion(self, endpoint: str) -> None:
        """Record that a message of a member arrived."""
        self._suspects.pop(endpoint, None)

    def is_suspect(self, endpoint: str) -> bool:
        """Return whether a member recently did not answer."""
        suspect_until = self._suspects.get(endpoint)
        if suspect_until is None:
            return False
        if suspect_until < self._clock.monotonic():
            del self._suspects[endpoint]
            return False
        return True

    def branches(
        self, path: tuple[str, ...], low: int, high: int
    ) -> list[Branch]:
        """Divide the members with a score in the interval into groups.

        The path begins with the reader and ends with this member. The members
        on it are left out.
        """
        order = self._order_by_score(path[0])
        start = bisect_left(order, (low, ''))
        end = bisect_left(order, (high + 1, ''))
        selected = [
            scored for scored in order[start:end] if scored[1] not in path
        ]
        size = max(1, -(-len(selected) // TREE_DEGREE))
        groups = [
            selected[first : first + size]
            for first in range(0, len(selected), size)
        ]
        starts = [low, *(group[0][0] for group in groups[1:])]
        ends = [*(following - 1 for following in starts[1:]), high]
        return [
            Branch(first, last, tuple(endpoint for _, endpoint in group))
            for first, last, group in zip(starts, ends, groups, strict=False)
        ]

    def _order_by_score(self, reader: str) -> tuple[tuple[int, str], ...]:
        self._refresh()
        if reader not in self._score_orders:
            members = self._members.get(self._member.data_centre, ())
            scores = (
                (rendezvous_weight(reader, endpoint), endpoint)
                for endpoint in members
            )
            self._score_orders[reader] = tuple(sorted(scores))
            if len(self._score_orders) > _MAX_CACHED_ORDERS:
                self._score_orders.popitem(last=False)
        return self._score_orders[reader]

    def _refresh(self) -> None:
        now = self._clock.monotonic()
        if now - self._refreshed_at < REFRESH_SECONDS:
            return
        self._refreshed_at = now
        grouped: dict[str, list[str]] = defaultdict(list)
        for member in self._table.members():
            grouped[member.data_centre].append(member.endpoint)
        for absent in self._listed.keys() - grouped.keys():
            del self._listed[absent], self._members[absent], self._ranks[absent]
        for data_centre, endpoints in grouped.items():
            # The table keeps its order, so without changes nothing is sorted.
            if endpoints != self._listed.get(data_centre):
                self._listed[data_centre] = endpoints
                self._set_members(data_centre, tuple(sorted(endpoints)))

    def _set_members(self, data_centre: str, members: tuple[str, ...]) -> None:
        self._members[data_centre] = members
        self._ranks[data_centre] = tuple(
            sorted(
                members,
                key=lambda endpoint: rendezvous_weight(
                    f'readers/{data_centre}', endpoint
                ),
                reverse=True,
            )
        )
        if data_centre == self._member.data_centre:
            self._score_orders.clear()
            self._own_ranks = {
                endpoint: rank
                for rank, endpoint in enumerate(self._ranks[data_centre])
            }
