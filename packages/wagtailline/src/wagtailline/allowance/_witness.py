"""Witness: confirms the leases of issuers and refuses conflicting ones."""

from typing import NamedTuple

from wagtailline.allowance._messages import (
    LeaseAnswer,
    LeaseClaim,
    LeaseReply,
    LeaseRequest,
)
from wagtailline.allowance._plan import PlanCache
from wagtailline.allowance._settings import AllowanceSettings
from wagtailline.ports import Clock

_ProcessOrder = tuple[int, str]
# Ended leases are kept for longer than any issuer waits after a conflict.
_RETENTION_SECONDS = 60


class _LeaseHolder(NamedTuple):
    endpoint: str
    order: _ProcessOrder
    digest: bytes


class _GroupState:
    """Newest split of a group in one data centre, and the leases under it.

    Leases under earlier splits are kept as well while they may conflict.
    """

    def __init__(self, ready_at: float) -> None:
        self.digest = b''
        self.settled = False
        self.split_changed_at = ready_at
        self.lease_ends: dict[_LeaseHolder, float] = {}
        self._version = 0

    def update_split(self, version: int, digest: bytes, now: float) -> None:
        """Replace the split if the version is newer than the known one."""
        if version <= self._version:
            return
        if self.digest and digest != self.digest:
            self.split_changed_at = now
            self.settled = False
        self._version = version
        self.digest = digest


class Witness:
    """Confirms one process per endpoint and one split per group at a time.

    A claim is confirmed only after every conflicting lease has ended. A new
    witness process does not know the leases that its predecessor confirmed,
    so it confirms nothing until the longest of them must have ended.
    """

    def __init__(
        self, plans: PlanCache, clock: Clock, settings: AllowanceSettings
    ) -> None:
        """Create a witness that knows no leases of an earlier process."""
        self._plans = plans
        self._clock = clock
        self._settings = settings
        self._ready_at = clock.monotonic() + settings.witness_lease_seconds
        self._newest_orders: dict[str, _ProcessOrder] = {}
        self._groups: dict[tuple[str, int], _GroupState] = {}

    def handle_request(self, request: LeaseRequest) -> LeaseReply:
        """Confirm or refuse each claim of a lease request."""
        order = request.incarnation, request.vm
        newest = max(order, self._newest_orders.get(request.endpoint, order))
        if request.endpoint:
            self._newest_orders[request.endpoint] = newest
        if order < newest:
            return LeaseReply(
                tuple(
                    LeaseAnswer(claim.group, False, superseded=True)
                    for claim in request.claims
                )
            )
        return LeaseReply(
            tuple(
                self._answer_claim(request, order, claim)
                for claim in request.claims
            )
        )

    def _answer_claim(
        self, request: LeaseRequest, order: _ProcessOrder, claim: LeaseClaim
    ) -> LeaseAnswer:
        now = self._clock.monotonic()
        group = self._find_group(request.data_centre, claim, now)
        holder = _LeaseHolder(request.endpoint, order, claim.digest)
        conflicts_end = max(
            group.split_changed_at, _last_conflict_end(group, holder, now)
        )
        if claim.digest != group.digest or now < max(
            conflicts_end, self._ready_at
        ):
            return LeaseAnswer(claim.group, False)
        if request.endpoint:
            end = now + self._settings.witness_lease_seconds
            group.lease_ends[holder] = end
        group.settled = group.settled or claim.settled
        conflict_free_ms = (now - conflicts_end) * 1000
        return LeaseAnswer(claim.group, True, conflict_free_ms, group.settled)

    def _find_group(
        self, data_centre: str, claim: LeaseClaim, now: float
    ) -> _GroupState:
        key = data_centre, claim.group
        if key not in self._groups:
            self._groups[key] = _GroupState(self._ready_at)
        group = self._groups[key]
        group.update_split(claim.version, claim.digest, now)
        # A restarted witness has lost the newest split that it knew. It still
        # must not confirm a split that its own snapshot has replaced.
        plan = self._plans.current()
        if plan is not None:
            digest = plan.group(claim.group, data_centre).digest
            group.update_split(plan.version, digest, now)
        return group


def _last_conflict_end(
    group: _GroupState, holder: _LeaseHolder, now: float
) -> float:
    conflicts_end = float('-inf')
    for other, end in tuple(group.lease_ends.items()):
        if end < now - _RETENTION_SECONDS:
            group.lease_ends.pop(other)
        elif _conflicts(holder, other):
            conflicts_end = max(conflicts_end, end)
    return conflicts_end


def _conflicts(holder: _LeaseHolder, other: _LeaseHolder) -> bool:
    if holder.endpoint == other.endpoint:
        return holder.order != other.order
    return holder.digest != other.digest
