"""Leases of an issuer, each confirmed by a majority of its witnesses."""

import asyncio
from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from wagtailline.allowance._elapsed import ClockReading, Stopwatch
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
# Minimum time between queries to other data centres about the splits in use.
_PROBE_INTERVAL_SECONDS = 1


class _Confirmation(NamedTuple):
    sent_at: ClockReading
    conflicts_ended: float
    settled: bool


class _GroupLease:
    """Confirmations of the lease of one group under one split."""

    def __init__(self, plan: GroupPlan) -> None:
        self.plan = plan
        self.confirmations: dict[str, _Confirmation] = {}
        self.remote_confirmations: dict[str, set[str]] = defaultdict(set)
        self.verified_at = _NEVER
        self._evidence_at = float('inf')

    def record(self, witness: str, confirmation: _Confirmation) -> None:
        """Store a confirmation of a witness in this data centre.

        A conflict later than the evidence that no other split is in use
        invalidates that evidence.
        """
        self.confirmations[witness] = confirmation
        if confirmation.conflicts_ended > self._evidence_at:
            self.verified_at = _NEVER
            self._evidence_at = float('inf')
            self.remote_confirmations.clear()

    def record_remote(self, data_centre: str, witness: str, now: float) -> None:
        """Record that a witness for a data centre knows no other split."""
        self.remote_confirmations[data_centre].add(witness)
        self._evidence_at = min(self._evidence_at, now)

    def mark_verified(self, now: float) -> None:
        """Record that no data centre uses another split."""
        self.verified_at = now
        self._evidence_at = min(self._evidence_at, now)


class Leases:
    """Renews the leases of one endpoint and tracks until when they hold.

    A group of limits shares one lease under one split, which is the division
    of the limits among issuers. A lease is settled once its split is verified
    to be the only one whose tokens can be spent.
    """

    def __init__(
        self,
        identity: Identity,
        plans: PlanCache,
        peers: PeerRequests,
        witness: Witness,
        stopwatch: Stopwatch,
        settings: AllowanceSettings,
    ) -> None:
        """Create leases that no witness has confirmed yet."""
        self.superseded = False
        self._identity = identity
        self._plans = plans
        self._peers = peers
        self._witness = witness
        self._stopwatch = stopwatch
        self._settings = settings
        self._group_leases: dict[int, list[_GroupLease]] = defaultdict(list)
        self._probed_at = _NEVER
        self._tasks: set[asyncio.Task[None]] = set()

    def close(self) -> None:
        """Cancel the requests in flight."""
        for task in self._tasks:
            task.cancel()

    def valid_until(self, group: int) -> float:
        """Return the monotonic time at which the lease of a group ends.

        This is minus infinity without a lease, and after a newer process has
        taken over the endpoint.
        """
        if self.superseded:
            return _NEVER
        return max(
            (
                self._lease_end(lease)
                for lease in self._group_leases.get(group, ())
            ),
            default=_NEVER,
        )

    def is_settled(self, group: int, digest: bytes) -> bool:
        """Return whether this split is the only one that can be in use.

        Then no grant of an earlier process or under an earlier split can
        still be spent in this data centre, and a majority of witnesses of
        each other data centre has reported the same.
        """
        for lease in self._group_leases.get(group, ()):
            if lease.plan.digest == digest:
                return self._is_lease_settled(lease)
        return False

    async def renew(self) -> bool:
        """Ask all witnesses once and return whether every lease holds."""
        plan = self._plans.current()
        if plan is None or self.superseded:
            return False
        groups = plan.groups_of(
            self._identity.data_centre, self._identity.endpoint
        )
        own = self._identity.data_centre
        self._track_splits(plan, groups)
        await self._send_claims(plan, own, groups)
        now = self._stopwatch.now().monotonic
        unverified = [
            group
            for group in groups
            if self._group_leases[group][-1].verified_at == _NEVER
        ]
        if unverified and now > self._probed_at + _PROBE_INTERVAL_SECONDS:
            self._probed_at = now
            await asyncio.gather(
                *(
                    self._send_claims(plan, data_centre, unverified)
                    for data_centre in plan.data_centres()
                    if data_centre != own
                )
            )
        self._mark_verified(plan, unverified)
        return all(
            self._lease_end(self._group_leases[group][-1]) > now
            for group in groups
        )

    def _track_splits(self, plan: Plan, groups: Iterable[int]) -> None:
        for group in groups:
            group_plan = plan.group(group, self._identity.data_centre)
            leases = self._group_leases[group]
            if not leases or leases[-1].plan.digest != group_plan.digest:
                leases.append(_GroupLease(group_plan))
                self._group_leases[group] = leases[-2:]

    async def _send_claims(
        self, plan: Plan, data_centre: str, groups: Iterable[int]
    ) -> None:
        claims: dict[str, list[LeaseClaim]] = defaultdict(list)
        for group in groups:
            group_plan = plan.group(group, data_centre)
            settled = self._is_lease_settled(self._group_leases[group][-1])
            claim = LeaseClaim(group, plan.version, group_plan.digest, settled)
            for witness in group_plan.witnesses:
                claims[witness].append(claim)
        tasks = [
            asyncio.ensure_future(
                self._request_leases(
                    endpoint, data_centre, tuple(witness_claims)
                )
            )
            for endpoint, witness_claims in claims.items()
        ]
        self._tasks.update(tasks)
        for task in tasks:
            task.add_done_callback(self._tasks.discard)
        # A failed witness must not delay the next renewal. A late answer is
        # still used; its lease begins when the request was sent.
        if tasks:
            await asyncio.wait(tasks, timeout=self._settings.hedge_seconds)

    async def _request_leases(
        self, witness: str, data_centre: str, claims: tuple[LeaseClaim, ...]
    ) -> None:
        identity = self._identity
        is_own = data_centre == identity.data_centre
        request = LeaseRequest(
            identity.endpoint if is_own else '',
            identity.vm,
            identity.incarnation,
            data_centre,
            claims,
        )
        sent_at = self._stopwatch.now()
        reply = await self._send(witness, request)
        if not isinstance(reply, LeaseReply):
            return
        for claim, answer in zip(claims, reply.answers, strict=False):
            if is_own:
                self._record(witness, claim, answer, sent_at)
            elif answer.confirmed:
                self._record_remote(witness, data_centre, claim, answer)

    async def _send(self, witness: str, request: LeaseRequest) -> object:
        if witness == self._identity.endpoint:
            return self._witness.handle_request(request)
        return await self._peers.request(
            witness, request, self._settings.lease_seconds
        )

    def _record(
        self,
        witness: str,
        claim: LeaseClaim,
        answer: LeaseAnswer,
        sent_at: ClockReading,
    ) -> None:
        if answer.superseded:
            self.superseded = True
        if not answer.confirmed or answer.group != claim.group:
            return
        # The witness measured the conflict-free time before its reply arrived,
        # so counting back from the arrival does not overstate it.
        conflicts_ended = (
            self._stopwatch.now().monotonic - answer.conflict_free_ms / 1000
        )
        for lease in self._group_leases[claim.group]:
            if lease.plan.digest == claim.digest:
                confirmation = _Confirmation(
                    sent_at, conflicts_ended, answer.settled
                )
                lease.record(witness, confirmation)

    def _record_remote(
        self,
        witness: str,
        data_centre: str,
        claim: LeaseClaim,
        answer: LeaseAnswer,
    ) -> None:
        lease = self._group_leases[claim.group][-1]
        if (
            answer.conflict_free_ms / 1000
            >= self._settings.issuer_grant_seconds
        ):
            now = self._stopwatch.now().monotonic
            lease.record_remote(data_centre, witness, now)

    def _mark_verified(self, plan: Plan, groups: Iterable[int]) -> None:
        """Mark the groups whose split is the only one in use anywhere."""
        now = self._stopwatch.now().monotonic
        for group in groups:
            lease = self._group_leases[group][-1]
            # Two vms may both act as one witness, so one answer is not enough.
            settled_count = sum(
                confirmation.settled
                for confirmation in lease.confirmations.values()
            )
            if settled_count >= min(2, lease.plan.quorum) or all(
                len(lease.remote_confirmations[name])
                >= plan.group(group, name).quorum
                for name in plan.data_centres()
                if name != self._identity.data_centre
            ):
                lease.mark_verified(now)

    def _is_lease_settled(self, lease: _GroupLease) -> bool:
        now = self._stopwatch.now().monotonic
        latest = min(
            now - self._settings.issuer_grant_seconds, lease.verified_at
        )
        conflict_free = [
            confirmation
            for confirmation in lease.confirmations.values()
            if confirmation.conflicts_ended <= latest
            and self._remaining_seconds(confirmation) > 0
        ]
        return len(conflict_free) >= lease.plan.quorum

    def _remaining_seconds(self, confirmation: _Confirmation) -> float:
        elapsed = self._stopwatch.elapsed(confirmation.sent_at)
        return self._settings.lease_seconds - elapsed

    def _lease_end(self, lease: _GroupLease) -> float:
        now = self._stopwatch.now().monotonic
        ends = sorted(
            (
                now + self._remaining_seconds(confirmation)
                for confirmation in lease.confirmations.values()
            ),
            reverse=True,
        )
        quorum = lease.plan.quorum
        return ends[quorum - 1] if len(ends) >= quorum else _NEVER
