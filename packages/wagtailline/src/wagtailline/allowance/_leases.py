"""Leases of an issuer, confirmed by a majority of fixed witnesses."""

import asyncio
from collections import defaultdict
from collections.abc import Iterable
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
# Other data centres are asked about a split at most this often.
_PROBE_SECONDS = 1


class _Confirmation(NamedTuple):
    sent: Moment
    conflicts_ended: float
    settled: bool


class _Held:
    """Confirmations of one group under one split."""

    def __init__(self, plan: GroupPlan) -> None:
        self.plan = plan
        self.by_witness: dict[str, _Confirmation] = {}
        self.elsewhere: dict[str, set[str]] = defaultdict(set)
        self.verified_at = _NEVER
        self._evidence_at = float('inf')

    def record(self, witness: str, confirmation: _Confirmation) -> None:
        """Keep a confirmation; a conflict calls for verifying again."""
        self.by_witness[witness] = confirmation
        if confirmation.conflicts_ended > self._evidence_at:
            self.verified_at = _NEVER
            self._evidence_at = float('inf')
            self.elsewhere.clear()

    def record_elsewhere(
        self, data_centre: str, witness: str, now: float
    ) -> None:
        """Note that a witness elsewhere knows of no other split."""
        self.elsewhere[data_centre].add(witness)
        self._evidence_at = min(self._evidence_at, now)

    def verify(self, now: float) -> None:
        """Note that no other split is in use anywhere."""
        self.verified_at = now
        self._evidence_at = min(self._evidence_at, now)


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
        self._probed_at = _NEVER
        self._tasks: set[asyncio.Task[None]] = set()

    def close(self) -> None:
        """Give up the requests in flight."""
        for task in self._tasks:
            task.cancel()

    def valid_until(self, group: int) -> float:
        """Return the monotonic time at which the lease of a group ends."""
        if self.superseded:
            return _NEVER
        return max(
            (self._end(held) for held in self._held.get(group, ())),
            default=_NEVER,
        )

    def is_settled(self, group: int, digest: bytes) -> bool:
        """Tell whether this split is the only one that can be in use.

        No grant of an earlier holder or split can still be spent here, and
        a majority in every other data centre has told the same.
        """
        for held in self._held.get(group, ()):
            if held.plan.digest == digest:
                return self._is_settled(held)
        return False

    async def renew(self) -> bool:
        """Ask all witnesses once; tell whether every group is confirmed."""
        plan = self._plans.current()
        if plan is None or self.superseded:
            return False
        groups = plan.groups_of(
            self._identity.data_centre, self._identity.endpoint
        )
        own = self._identity.data_centre
        self._follow(plan, groups)
        await self._claim(plan, own, groups)
        now = self._stopwatch.now().monotonic
        unverified = [
            group
            for group in groups
            if self._held[group][-1].verified_at == _NEVER
        ]
        if unverified and now > self._probed_at + _PROBE_SECONDS:
            self._probed_at = now
            await asyncio.gather(
                *(
                    self._claim(plan, data_centre, unverified)
                    for data_centre in plan.data_centres()
                    if data_centre != own
                )
            )
        self._verify(plan, unverified)
        return all(self._end(self._held[group][-1]) > now for group in groups)

    def _follow(self, plan: Plan, groups: Iterable[int]) -> None:
        for group in groups:
            group_plan = plan.group(group, self._identity.data_centre)
            held = self._held[group]
            if not held or held[-1].plan.digest != group_plan.digest:
                held.append(_Held(group_plan))
                self._held[group] = held[-2:]

    async def _claim(
        self, plan: Plan, data_centre: str, groups: Iterable[int]
    ) -> None:
        claims: dict[str, list[LeaseClaim]] = defaultdict(list)
        for group in groups:
            group_plan = plan.group(group, data_centre)
            settled = self._is_settled(self._held[group][-1])
            claim = LeaseClaim(group, plan.version, group_plan.digest, settled)
            for witness in group_plan.witnesses:
                claims[witness].append(claim)
        asked = [
            asyncio.ensure_future(
                self._ask(endpoint, data_centre, tuple(to_one))
            )
            for endpoint, to_one in claims.items()
        ]
        self._tasks.update(asked)
        for task in asked:
            task.add_done_callback(self._tasks.discard)
        # A dead witness must not delay the next renewal; a late answer
        # still counts, from when its request was sent.
        if asked:
            await asyncio.wait(asked, timeout=self._settings.hedge_seconds)

    async def _ask(
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
        sent = self._stopwatch.now()
        reply = await self._send(witness, request)
        if not isinstance(reply, LeaseReply):
            return
        for claim, answer in zip(claims, reply.answers, strict=False):
            if is_own:
                self._record(witness, claim, answer, sent)
            elif answer.confirmed:
                self._record_elsewhere(witness, data_centre, claim, answer)

    async def _send(self, witness: str, request: LeaseRequest) -> object:
        if witness == self._identity.endpoint:
            return self._witness.answer(request)
        return await self._peers.request(
            witness, request, self._settings.lease_seconds
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
                confirmation = _Confirmation(sent, ended, answer.settled)
                held.record(witness, confirmation)

    def _record_elsewhere(
        self,
        witness: str,
        data_centre: str,
        claim: LeaseClaim,
        answer: LeaseAnswer,
    ) -> None:
        held = self._held[claim.group][-1]
        if answer.quiet_ms / 1000 >= self._settings.held_grant_seconds:
            now = self._stopwatch.now().monotonic
            held.record_elsewhere(data_centre, witness, now)

    def _verify(self, plan: Plan, groups: Iterable[int]) -> None:
        """Note the groups whose split is the only one in the fleet."""
        now = self._stopwatch.now().monotonic
        for group in groups:
            held = self._held[group][-1]
            # One witness may be held by two vms, so one alone does not count.
            told = sum(each.settled for each in held.by_witness.values())
            if told >= min(2, held.plan.quorum) or all(
                len(held.elsewhere[name]) >= plan.group(group, name).quorum
                for name in plan.data_centres()
                if name != self._identity.data_centre
            ):
                held.verify(now)

    def _is_settled(self, held: _Held) -> bool:
        now = self._stopwatch.now().monotonic
        latest = min(now - self._settings.held_grant_seconds, held.verified_at)
        quiet = [
            each
            for each in held.by_witness.values()
            if each.conflicts_ended <= latest and self._remaining(each) > 0
        ]
        return len(quiet) >= held.plan.quorum

    def _remaining(self, confirmation: _Confirmation) -> float:
        elapsed = self._stopwatch.elapsed(confirmation.sent)
        return self._settings.lease_seconds - elapsed

    def _end(self, held: _Held) -> float:
        now = self._stopwatch.now().monotonic
        ends = sorted(
            (now + self._remaining(each) for each in held.by_witness.values()),
            reverse=True,
        )
        quorum = held.plan.quorum
        return ends[quorum - 1] if len(ends) >= quorum else _NEVER
