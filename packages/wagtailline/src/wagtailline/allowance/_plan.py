"""Split of limits over data centres and issuers."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from hashlib import blake2b
from typing import NamedTuple

import msgpack

from wagtailline.allowance._settings import AllowanceSettings
from wagtailline.objects import Endpoint, Limit
from wagtailline.placement import Ring, rank
from wagtailline.snapshot import Snapshot, SnapshotStore

# Limits share the leases of their group, so that a daemon renews a bounded
# number of leases however many limits are published.
GROUP_COUNT = 64
_DIGEST_BYTES = 8
_DIGITS = 9
# An even number of witnesses, with a majority of half plus one: any two
# majorities share two witnesses, so one of them may be held by two vms, or
# differ between two versions, and the other still separates two holders.
_MAX_WITNESSES = 8
_MIN_WITNESSES = 4


class IssuerShare(NamedTuple):
    """Whole tokens of the burst and the rate that one issuer generates."""

    tokens: int
    rate: float


NO_SHARE = IssuerShare(0, 0)


class LimitPlan(NamedTuple):
    """Issuers of one limit by endpoint, in each data centre by rank."""

    limit: Limit
    group: int
    issuers: Mapping[str, Mapping[str, IssuerShare]]


class GroupPlan(NamedTuple):
    """Witnesses and digest of the split of one group in a data centre."""

    witnesses: tuple[str, ...]
    digest: bytes

    @property
    def quorum(self) -> int:
        """Return how many witnesses have to confirm an issuer."""
        return len(self.witnesses) // 2 + 1


def group_of(limit: str) -> int:
    """Return the group that a limit belongs to."""
    digest = blake2b(limit.encode(), digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest, 'big') % GROUP_COUNT


def divide(tokens: int, parts: int) -> list[int]:
    """Divide into whole numbers that differ by at most one."""
    base, rest = divmod(tokens, parts)
    return [base + (index < rest) for index in range(parts)]


class Plan:
    """Split of every limit of one snapshot, computed when it is needed."""

    def __init__(
        self,
        snapshot: Snapshot,
        settings: AllowanceSettings,
        previous: 'Plan | None' = None,
    ) -> None:
        """Index positions; keep the ranks of data centres without change."""
        self.version = snapshot.version
        self._snapshot = snapshot
        self._settings = settings
        self._positions: dict[str, list[str]] = defaultdict(list)
        self._limits: dict[int, list[Limit]] = defaultdict(list)
        for published in snapshot.objects.values():
            match published:
                case Endpoint():
                    self._positions[published.data_centre].append(
                        published.name
                    )
                case Limit():
                    self._limits[group_of(published.name)].append(published)
        self._rings = self._keep_rings(previous)
        self._own_groups: dict[str, tuple[int, ...]] = {}
        self._plans: dict[str, LimitPlan] = {}
        self._groups: dict[tuple[int, str], GroupPlan] = {}
        if previous is not None and self._has_same_input(previous):
            # Most changes touch neither endpoints nor limits.
            self._own_groups = previous._own_groups
            self._plans = previous._plans
            self._groups = previous._groups

    def limit(self, name: str) -> LimitPlan | None:
        """Return the split of a limit, None when it is not published."""
        plan = self._plans.get(name)
        if plan is None:
            limit = self._snapshot.find_limit(name)
            if limit is None:
                return None
            plan = self._split(limit)
            self._plans[name] = plan
        return plan

    def share(self, name: str, data_centre: str, endpoint: str) -> IssuerShare:
        """Return what an endpoint generates of a limit."""
        plan = self.limit(name)
        if plan is None:
            return NO_SHARE
        return plan.issuers.get(data_centre, {}).get(endpoint, NO_SHARE)

    def groups_of(self, data_centre: str, endpoint: str) -> tuple[int, ...]:
        """Return the groups in which an endpoint is an issuer."""
        if endpoint not in self._own_groups:
            self._own_groups[endpoint] = tuple(
                group
                for group, limits in sorted(self._limits.items())
                if any(
                    self.share(limit.name, data_centre, endpoint).tokens
                    for limit in limits
                )
            )
        return self._own_groups[endpoint]

    def data_centres(self) -> list[str]:
        """Return the data centres that have positions."""
        return list(self._positions)

    def limits_of(self, group: int) -> list[Limit]:
        """Return the limits of a group."""
        return self._limits.get(group, [])

    def group(self, group: int, data_centre: str) -> GroupPlan:
        """Return the witnesses and digest of a group in a data centre."""
        key = group, data_centre
        if key not in self._groups:
            self._groups[key] = GroupPlan(
                self._witnesses(group, data_centre),
                self._digest(group, data_centre),
            )
        return self._groups[key]

    def _has_same_input(self, previous: 'Plan') -> bool:
        return (
            previous._positions == self._positions
            and previous._limits == self._limits
        )

    def _keep_rings(self, previous: 'Plan | None') -> dict[str, Ring]:
        if previous is None:
            return {}
        return {
            data_centre: ring
            for data_centre, ring in previous._rings.items()
            if previous._positions[data_centre]
            == self._positions.get(data_centre)
        }

    def _split(self, limit: Limit) -> LimitPlan:
        group = group_of(limit.name)
        issuers: dict[str, dict[str, IssuerShare]] = {}
        for data_centre, tokens, rate in self._by_data_centre(limit):
            ranked = self._rank(group, data_centre)
            count = min(
                max(1, tokens // self._settings.tokens_per_issuer),
                self._settings.max_issuers,
                len(ranked),
            )
            issuers[data_centre] = {
                endpoint: IssuerShare(part, rate * part / tokens)
                for endpoint, part in zip(
                    ranked, divide(tokens, count), strict=False
                )
            }
        return LimitPlan(limit, group, issuers)

    def _by_data_centre(self, limit: Limit) -> Iterable[tuple[str, int, float]]:
        if limit.shares:
            for data_centre, share in limit.shares.items():
                tokens = int(limit.burst * share)
                if tokens and self._positions.get(data_centre):
                    yield data_centre, tokens, limit.rate * share
            return
        ranked = rank(limit.name, self._positions)
        count = limit.burst // self._settings.tokens_per_data_centre
        count = min(max(1, count), len(ranked))
        if not count:
            return
        parts = divide(limit.burst, count)
        for data_centre, tokens in zip(ranked, parts, strict=False):
            yield data_centre, tokens, limit.rate * tokens / limit.burst

    def _rank(self, group: int, data_centre: str) -> list[str]:
        ring = self._rings.get(data_centre)
        if ring is None:
            ring = Ring(self._positions.get(data_centre, ()))
            self._rings[data_centre] = ring
        return ring.find(f'allowance-{group}', _MAX_WITNESSES)

    def _witnesses(self, group: int, data_centre: str) -> tuple[str, ...]:
        local = self._rank(group, data_centre)
        count = min(len(local), _MAX_WITNESSES)
        if count >= _MIN_WITNESSES:
            return tuple(local[: count - count % 2])
        others = [
            endpoint
            for name in rank(f'{group}-{data_centre}', self._positions)
            if name != data_centre
            for endpoint in self._rank(group, name)
        ]
        return tuple((local + others)[:_MIN_WITNESSES])

    def _digest(self, group: int, data_centre: str) -> bytes:
        split = self._fractions(group, data_centre)
        packed = msgpack.packb((split, self._witnesses(group, data_centre)))
        return blake2b(packed, digest_size=_DIGEST_BYTES).digest()

    def _fractions(self, group: int, data_centre: str) -> list[object]:
        """Return the split of a group over data centres and local issuers."""
        fractions: list[object] = []
        for limit in sorted(self.limits_of(group)):
            plan = self.limit(limit.name)
            issuers = plan.issuers if plan else {}
            local = sorted(issuers.get(data_centre, {}).items())
            fractions.append(
                (
                    limit.name,
                    [
                        (name, _sum_fraction(shares.values(), limit))
                        for name, shares in sorted(issuers.items())
                    ],
                    [
                        (endpoint, _sum_fraction((share,), limit))
                        for endpoint, share in local
                    ],
                )
            )
        return fractions


def _sum_fraction(
    shares: Iterable[IssuerShare], limit: Limit
) -> tuple[float, float]:
    """Return the part of the burst and rate, equal in all daemons."""
    parts = tuple(shares)
    tokens = sum(share.tokens for share in parts) / limit.burst
    rate = sum(share.rate for share in parts) / limit.rate
    return round(tokens, _DIGITS), round(rate, _DIGITS)


class PlanCache:
    """Plan of the snapshot in force."""

    def __init__(
        self, snapshots: SnapshotStore, settings: AllowanceSettings
    ) -> None:
        """Follow the snapshots of a store."""
        self._snapshots = snapshots
        self._settings = settings
        self._snapshot: Snapshot | None = None
        self._plan: Plan | None = None

    def current(self) -> Plan | None:
        """Return the plan in force, None before the first snapshot."""
        snapshot = self._snapshots.current
        if snapshot is not self._snapshot and snapshot is not None:
            self._plan = Plan(snapshot, self._settings, self._plan)
            self._snapshot = snapshot
        return self._plan
