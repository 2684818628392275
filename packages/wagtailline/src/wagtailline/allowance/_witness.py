"""Witness of the leases that make an issuer the only one of its share."""

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

_Order = tuple[int, str]
# Ended leases are remembered for longer than any issuer waits for quiet.
_MEMORY_SECONDS = 60


class _Holder(NamedTuple):
    endpoint: str
    order: _Order
    digest: bytes


class _Group:
    """Newest split of a group in one data centre, and the leases given."""

    def __init__(self, ready: float) -> None:
        self.digest = b''
        self.settled = False
        self.changed = ready
        self.leases: dict[_Holder, float] = {}
        self._version = 0

    def adopt(self, version: int, digest: bytes, now: float) -> None:
        """Take the split of a newer version."""
        if version <= self._version:
            return
        if self.digest and digest != self.digest:
            self.changed = now
            self.settled = False
        self._version = version
        self.digest = digest


class Witness:
    """Confirms one holder per position and one split per group.

    A lease that conflicts with a claim has to end before the claim is
    confirmed. A witness that has just started does not know what its
    predecessor confirmed, and waits for the longest lease.
    """

    def __init__(
        self, plans: PlanCache, clock: Clock, settings: AllowanceSettings
    ) -> None:
        """Remember nothing of what an earlier process confirmed."""
        self._plans = plans
        self._clock = clock
        self._settings = settings
        self._ready = clock.monotonic() + settings.held_lease_seconds
        self._orders: dict[str, _Order] = {}
        self._groups: dict[tuple[str, int], _Group] = {}

    def answer(self, request: LeaseRequest) -> LeaseReply:
        """Confirm or refuse each claim of an issuer."""
        order = request.incarnation, request.vm
        newest = max(order, self._orders.get(request.endpoint, order))
        if request.endpoint:
            self._orders[request.endpoint] = newest
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
        self, request: LeaseRequest, order: _Order, claim: LeaseClaim
    ) -> LeaseAnswer:
        now = self._clock.monotonic()
        group = self._find_group(request.data_centre, claim, now)
        holder = _Holder(request.endpoint, order, claim.digest)
        ended = max(group.changed, _end_of_conflicts(group, holder, now))
        if claim.digest != group.digest or now < max(ended, self._ready):
            return LeaseAnswer(claim.group, False)
        if request.endpoint:
            end = now + self._settings.held_lease_seconds
            group.leases[holder] = end
        group.settled = group.settled or claim.settled
        quiet = (now - ended) * 1000
        return LeaseAnswer(claim.group, True, quiet, group.settled)

    def _find_group(
        self, data_centre: str, claim: LeaseClaim, now: float
    ) -> _Group:
        key = data_centre, claim.group
        if key not in self._groups:
            self._groups[key] = _Group(self._ready)
        group = self._groups[key]
        group.adopt(claim.version, claim.digest, now)
        # A restarted witness must not confirm a split that its own version
        # has replaced, although it forgot having refused it before.
        plan = self._plans.current()
        if plan is not None:
            digest = plan.group(claim.group, data_centre).digest
            group.adopt(plan.version, digest, now)
        return group


def _end_of_conflicts(group: _Group, holder: _Holder, now: float) -> float:
    ended = float('-inf')
    for other, end in tuple(group.leases.items()):
        if end < now - _MEMORY_SECONDS:
            group.leases.pop(other)
        elif _conflict(holder, other):
            ended = max(ended, end)
    return ended


def _conflict(holder: _Holder, other: _Holder) -> bool:
    if holder.endpoint == other.endpoint:
        return holder.order != other.order
    return holder.digest != other.digest
