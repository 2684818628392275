"""Witness of the leases that make a home the only one of its share."""

from typing import NamedTuple

from wagtailline.allowance._messages import (
    LeaseAnswer,
    LeaseClaim,
    LeaseReply,
    LeaseRequest,
)
from wagtailline.allowance._settings import AllowanceSettings
from wagtailline.ports import Clock

_Order = tuple[int, str]
# Ended leases are remembered for longer than any home waits for quiet.
_MEMORY_SECONDS = 60


class _Holder(NamedTuple):
    endpoint: str
    order: _Order
    digest: bytes


class _Group:
    def __init__(self) -> None:
        self.version = 0
        self.digest = b''
        self.leases: dict[_Holder, float] = {}


class Witness:
    """Confirms one holder per position and one split per group.

    A lease that conflicts with a claim has to end before the claim is
    confirmed. A witness that has just started does not know what its
    predecessor confirmed, and waits for the longest lease.
    """

    def __init__(self, clock: Clock, settings: AllowanceSettings) -> None:
        """Remember nothing of what an earlier process confirmed."""
        self._clock = clock
        self._settings = settings
        self._ready = clock.monotonic() + settings.held_lease_seconds
        self._orders: dict[str, _Order] = {}
        self._groups: dict[int, _Group] = {}

    def answer(self, request: LeaseRequest) -> LeaseReply:
        """Confirm or refuse each claim of a home."""
        order = request.incarnation, request.vm
        newest = max(order, self._orders.get(request.endpoint, order))
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
                self._answer_claim(request.endpoint, order, claim)
                for claim in request.claims
            )
        )

    def _answer_claim(
        self, endpoint: str, order: _Order, claim: LeaseClaim
    ) -> LeaseAnswer:
        now = self._clock.monotonic()
        group = self._groups.setdefault(claim.group, _Group())
        if claim.version > group.version:
            group.version = claim.version
            group.digest = claim.digest
        holder = _Holder(endpoint, order, claim.digest)
        ended = self._end_of_conflicts(group, holder, now)
        if claim.digest != group.digest or ended > now:
            return LeaseAnswer(claim.group, False)
        group.leases[holder] = now + self._settings.held_lease_seconds
        return LeaseAnswer(claim.group, True, (now - ended) * 1000)

    def _end_of_conflicts(
        self, group: _Group, holder: _Holder, now: float
    ) -> float:
        ended = self._ready
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
