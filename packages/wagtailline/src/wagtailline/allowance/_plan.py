"""Plans: the division of limits among data centres and issuers."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from hashlib import blake2b
from typing import NamedTuple

import msgpack

from wagtailline.allowance._settings import AllowanceSettings
from wagtailline.objects import Endpoint, Limit
from wagtailline.placement import HashRing, rank_nodes
from wagtailline.snapshot import Snapshot, SnapshotStore

# Limits are hashed into groups that share leases, so that the number of leases
# a daemon renews is bounded, however many limits are published.
GROUP_COUNT = 64
_DIGEST_BYTES = 8
_FRACTION_DIGITS = 9
# The number of witnesses is even and a majority is half of them plus one, so
# any two majorities share two witnesses. If one of these runs on two vms, or
# differs between two versions, the other still rejects a second issuer.
_MAX_WITNESSES = 8
_MIN_WITNESSES = 4


class IssuerShare(NamedTuple):
    """Share of one issuer: whole tokens of the burst, and tokens per second."""

    tokens: int
    rate: float


NO_SHARE = IssuerShare(0, 0)


class LimitPlan(NamedTuple):
    """Shares of one limit by data centre and issuer, in order of rank."""

    limit: Limit
    group: int
    issuers: Mapping[str, Mapping[str, IssuerShare]]


class GroupPlan(NamedTuple):
    """Witnesses of one group in a data centre, and the digest of its split.

    A split is the division of the limits of the group among data centres and
    the issuers of this data centre.
    """

    witnesses: tuple[str, ...]
    digest: bytes

    @property
    def quorum(self) -> int:
        """Return the number of witnesses that must confirm an issuer."""
        return len(self.witnesses) // 2 + 1


def group_of(limit: str) -> int:
    """Return the group of a limit by the hash of its name."""
    digest = blake2b(limit.encode(), digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest, 'big') % GROUP_COUNT


def divide(tokens: int, parts: int) -> list[int]:
    """Divide tokens into whole parts that differ by at most one."""
    base, remainder = divmod(tokens, parts)
    return [base + (index < remainder) for index in range(parts)]


class Plan:
    """Division of every limit of one snapshot, computed on first use."""

    def __init__(
        self,
        snapshot: Snapshot,
        settings: AllowanceSettings,
        previous: 'Plan | None' = None,
    ) -> None:
        """Index endpoints and limits; reuse what a previous plan computed."""
        self.version = snapshot.version
        self._snapshot = snapshot
        self._settings = settings
        self._endpoints: dict[str, list[str]] = defaultdict(list)
        self._limits: dict[int, list[Limit]] = defaultdict(list)
        for published in snapshot.objects.values():
            match published:
                case Endpoint():
                    self._endpoints[published.data_centre].append(
                        published.name
                    )
                case Limit():
                    self._limits[group_of(published.name)].append(published)
        self._rings = self._reuse_rings(previous)
        self._groups_by_endpoint: dict[str, tuple[int, ...]] = {}
        self._limit_plans: dict[str, LimitPlan] = {}
        self._group_plans: dict[tuple[int, str], GroupPlan] = {}
        if previous is not None and self._has_equal_inputs(previous):
            # Most snapshots change neither endpoints nor limits.
            self._groups_by_endpoint = previous._groups_by_endpoint
            self._limit_plans = previous._limit_plans
            self._group_plans = previous._group_plans

    def limit(self, name: str) -> LimitPlan | None:
        """Return the plan of a limit, None if the limit is not published."""
        plan = self._limit_plans.get(name)
        if plan is None:
            limit = self._snapshot.find_limit(name)
            if limit is None:
                return None
            plan = self._plan_limit(limit)
            self._limit_plans[name] = plan
        return plan

    def share(self, name: str, data_centre: str, endpoint: str) -> IssuerShare:
        """Return the share of a limit that an endpoint generates."""
        plan = self.limit(name)
        if plan is None:
            return NO_SHARE
        return plan.issuers.get(data_centre, {}).get(endpoint, NO_SHARE)

    def groups_of(self, data_centre: str, endpoint: str) -> tuple[int, ...]:
        """Return the groups in which an endpoint is an issuer."""
        if endpoint not in self._groups_by_endpoint:
            self._groups_by_endpoint[endpoint] = tuple(
                group
                for group, limits in sorted(self._limits.items())
                if any(
                    self.share(limit.name, data_centre, endpoint).tokens
                    for limit in limits
                )
            )
        return self._groups_by_endpoint[endpoint]

    def data_centres(self) -> list[str]:
        """Return the data centres that have endpoints."""
        return list(self._endpoints)

    def limits_of(self, group: int) -> list[Limit]:
        """Return the limits of a group."""
        return self._limits.get(group, [])

    def group(self, group: int, data_centre: str) -> GroupPlan:
        """Return the plan of a group in a data centre."""
        key = group, data_centre
        if key not in self._group_plans:
            self._group_plans[key] = GroupPlan(
                self._choose_witnesses(group, data_centre),
                self._compute_digest(group, data_centre),
            )
        return self._group_plans[key]

    def _has_equal_inputs(self, previous: 'Plan') -> bool:
        return (
            previous._endpoints == self._endpoints
            and previous._limits == self._limits
        )

    def _reuse_rings(self, previous: 'Plan | None') -> dict[str, HashRing]:
        if previous is None:
            return {}
        return {
            data_centre: ring
            for data_centre, ring in previous._rings.items()
            if previous._endpoints[data_centre]
            == self._endpoints.get(data_centre)
        }

    def _plan_limit(self, limit: Limit) -> LimitPlan:
        group = group_of(limit.name)
        issuers: dict[str, dict[str, IssuerShare]] = {}
        for data_centre, tokens, rate in self._divide_by_data_centre(limit):
            ranked = self._rank_endpoints(group, data_centre)
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

    def _divide_by_data_centre(
        self, limit: Limit
    ) -> Iterable[tuple[str, int, float]]:
        if limit.shares:
            for data_centre, share in limit.shares.items():
                tokens = int(limit.burst * share)
                if tokens and self._endpoints.get(data_centre):
                    yield data_centre, tokens, limit.rate * share
            return
        ranked = rank_nodes(limit.name, self._endpoints)
        count = limit.burst // self._settings.tokens_per_data_centre
        count = min(max(1, count), len(ranked))
        if not count:
            return
        parts = divide(limit.burst, count)
        for data_centre, tokens in zip(ranked, parts, strict=False):
            yield data_centre, tokens, limit.rate * tokens / limit.burst

    def _rank_endpoints(self, group: int, data_centre: str) -> list[str]:
        ring = self._rings.get(data_centre)
        if ring is None:
            ring = HashRing(self._endpoints.get(data_centre, ()))
            self._rings[data_centre] = ring
        return ring.find(f'allowance-{group}', _MAX_WITNESSES)

    def _choose_witnesses(
        self, group: int, data_centre: str
    ) -> tuple[str, ...]:
        local = self._rank_endpoints(group, data_centre)
        count = min(len(local), _MAX_WITNESSES)
        if count >= _MIN_WITNESSES:
            return tuple(local[: count - count % 2])
        others = [
            endpoint
            for name in rank_nodes(f'{group}-{data_centre}', self._endpoints)
            if name != data_centre
            for endpoint in self._rank_endpoints(group, name)
        ]
        return tuple((local + others)[:_MIN_WITNESSES])

    def _compute_digest(self, group: int, data_centre: str) -> bytes:
        split = self._split_fractions(group, data_centre)
        packed = msgpack.packb(
            (split, self._choose_witnesses(group, data_centre))
        )
        return blake2b(packed, digest_size=_DIGEST_BYTES).digest()

    def _split_fractions(self, group: int, data_centre: str) -> list[object]:
        """Return the split of a group as fractions of each limit.

        Each limit has its fractions by data centre and, for the given data
        centre, by issuer.
        """
        fractions: list[object] = []
        for limit in sorted(self.limits_of(group)):
            plan = self.limit(limit.name)
            issuers = plan.issuers if plan else {}
            local = sorted(issuers.get(data_centre, {}).items())
            fractions.append(
                (
                    limit.name,
                    [
                        (name, _add_fractions(shares.values(), limit))
                        for name, shares in sorted(issuers.items())
                    ],
                    [
                        (endpoint, _add_fractions((share,), limit))
                        for endpoint, share in local
                    ],
                )
            )
        return fractions


def _add_fractions(
    shares: Iterable[IssuerShare], limit: Limit
) -> tuple[float, float]:
    """Return the fractions of burst and rate that the shares add up to.

    They are rounded, so that they are equal in all daemons.
    """
    parts = tuple(shares)
    tokens = sum(share.tokens for share in parts) / limit.burst
    rate = sum(share.rate for share in parts) / limit.rate
    return round(tokens, _FRACTION_DIGITS), round(rate, _FRACTION_DIGITS)


class PlanCache:
    """Cache of the plan of the current snapshot."""

    def __init__(
        self, snapshots: SnapshotStore, settings: AllowanceSettings
    ) -> None:
        """Create a cache without a plan for the snapshots of a store."""
        self._snapshots = snapshots
        self._settings = settings
        self._snapshot: Snapshot | None = None
        self._plan: Plan | None = None

    def current(self) -> Plan | None:
        """Return the plan of the current snapshot, None if there is none."""
        snapshot = self._snapshots.current
        if snapshot is not self._snapshot and snapshot is not None:
            self._plan = Plan(snapshot, self._settings, self._plan)
            self._snapshot = snapshot
        return self._plan
