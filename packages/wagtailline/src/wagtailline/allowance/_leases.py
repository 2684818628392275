"""Leases of a home, confirmed by a majority of fixed witnesses."""

import asyncio
from collections import defaultdict
from typing import NamedTuple

from wagtailline.allowance._elapsed import Moment, Stopwatch
from wagtailline.allowance._messages import (
    LeaseAnswer,
    LeaseClaim,
    LeaseReply,
    LeaseRequest,
)
from wagtailline.allowance._peers import PeerRequests
from wagtailline.allowance._plan import GroupPlan, Plan, PlanCache
from wagtailline.allowance._settings import AllowanceSettings, Identity
from wagtailline.allowance._witness import Witness

_NEVER = float('-inf')


class _Confirmation(NamedTuple):
    sent: Moment
    conflicts_ended: float


class _Held:
    """Confirmations of one group under one split."""

    def __init__(self, plan: GroupPlan) -> None:
        self.plan = plan
        self.by_witness: dict[str, _Confirmation] = {}


class Leases:
    """Keeps the leases of one position and tells until when they hold."""

    def __init__(
        self,
        identity: Identity,
        plans: PlanCache,
        peers: PeerRequests,
        witness: Witness,
        stopwatch: Stopwatch,
        settings: AllowanceSettings,
    ) -> None:
        """Hold nothing until a majority of witnesses has confirmed."""
        self.superseded = False
        self._identity = identity
        self._plans = plans
        self._peers = peers
        self._witness = witness
        self._stopwatch = stopwatch
        self._settings = settings
        self._held: dict[int, list[_Held]] = defaultdict(list)

    def valid_until(self, group: int) -> float:
        """Return the monotonic time at which the lease of a group ends."""
        if self.superseded:
            return _NEVER
        return max(
            (self._end(held) for held in self._held.get(group, ())),
            default=_NEVER,
        )

    def is_settled(self, group: int, digest: bytes) -> bool:
        """Tell whether no earlier holder's grants can still be spent."""
        now = self._stopwatch.now().monotonic
        limit = now - self._settings.held_grant_seconds
        for held in self._held.get(group, ()):
            quiet = [
                confirmation
                for confirmation in held.by_witness.values()
                if confirmation.conflicts_ended <= limit
                and self._remaining(confirmation) > 0
            ]
            if held.plan.digest == digest:
                return len(quiet) >= held.plan.quorum
        return False

    async def renew(self) -> bool:
        """Ask all witnesses once; tell whether every group is confirmed."""
        plan = self._plans.current()
        if plan is None or self.superseded:
            return False
        claims = self._collect(plan)
        await asyncio.gather(
            *(
                self._ask(witness, tuple(of_witness))
                for witness, of_witness in claims.items()
            )
        )
        now = self._stopwatch.now().monotonic
        return all(
            self._held[group] and self._end(self._held[group][-1]) > now
            for group in self._groups(plan)
        )

    def _groups(self, plan: Plan) -> tuple[int, ...]:
        identity = self._identity
        return plan.groups_of(identity.data_centre, identity.endpoint)

    def _collect(self, plan: Plan) -> dict[str, list[LeaseClaim]]:
        claims: dict[str, list[LeaseClaim]] = defaultdict(list)
        for group in self._groups(plan):
            group_plan = plan.group(group, self._identity.data_centre)
            held = self._held[group]
            if not held or held[-1].plan.digest != group_plan.digest:
                held.append(_Held(group_plan))
                self._held[group] = held[-2:]
            for witness in group_plan.witnesses:
                claims[witness].append(
                    LeaseClaim(group, plan.version, group_plan.digest)
                )
        return claims

    async def _ask(self, witness: str, claims: tuple[LeaseClaim, ...]) -> None:
        request = LeaseRequest(
            self._identity.endpoint,
            self._identity.vm,
            self._identity.incarnation,
            claims,
        )
        sent = self._stopwatch.now()
        reply = await self._send(witness, request)
        if isinstance(reply, LeaseReply):
            for claim, answer in zip(claims, reply.answers, strict=False):
                self._record(witness, claim, answer, sent)

    async def _send(self, witness: str, request: LeaseRequest) -> object:
        if witness == self._identity.endpoint:
            return self._witness.answer(request)
        return await self._peers.request(
            witness, request, self._settings.request_seconds
        )

    def _record(
        self,
        witness: str,
        claim: LeaseClaim,
        answer: LeaseAnswer,
        sent: Moment,
    ) -> None:
        if answer.superseded:
            self.superseded = True
        if not answer.confirmed or answer.group != claim.group:
            return
        # The witness measured the quiet time before its reply arrived, so
        # counting back from the arrival never makes it too long.
        ended = self._stopwatch.now().monotonic - answer.quiet_ms / 1000
        for held in self._held[claim.group]:
            if held.plan.digest == claim.digest:
                held.by_witness[witness] = _Confirmation(sent, ended)

    def _remaining(self, confirmation: _Confirmation) -> float:
        elapsed = self._stopwatch.elapsed(confirmation.sent)
        return self._settings.lease_seconds - elapsed

    def _end(self, held: _Held) -> float:
        now = self._stopwatch.now().monotonic
        ends = sorted(
            (
                now + self._remaining(confirmation)
                for confirmation in held.by_witness.values()
            ),
            reverse=True,
        )
        quorum = held.plan.quorum
        return ends[quorum - 1] if len(ends) >= quorum else _NEVER
