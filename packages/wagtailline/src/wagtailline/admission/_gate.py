"""Gate that admits requests to the local upstream."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import NamedTuple

from result import Err, Ok

from wagtailline.admission._availability import Availability
from wagtailline.admission._dispatcher import AdmissionResult, Dispatcher
from wagtailline.admission._outcomes import (
    Answered,
    ConnectionRefused,
    Outcome,
)
from wagtailline.admission._slot import Slot
from wagtailline.admission._suspects import SuspectTable
from wagtailline.admission._types import (
    DeadlinePassed,
    Draining,
    GateRefusal,
    GateSettings,
    SuspectBlocked,
    Ticket,
    UpstreamDown,
)
from wagtailline.admission._upstream import UpstreamState
from wagtailline.admission.messages import MAX_FINGERPRINTS, SuspectNotice
from wagtailline.ports import Clock

NoticeObserver = Callable[[SuspectNotice], None]

DEFAULT_SETTINGS = GateSettings()
# The reported load only decides between gates that are otherwise equal.
_LOAD_TIE_BREAK_WEIGHT = 0.01


class GateIdentity(NamedTuple):
    """The endpoint that a gate admits to, and its daemon's incarnation."""

    endpoint: str
    incarnation: int


def _ignore_notice(notice: SuspectNotice) -> None:
    """Ignore a notice; the default without peers."""


class Gate:
    """Admission control for the requests to one upstream.

    Every refusal means that the request was not sent to the upstream.
    """

    def __init__(
        self,
        identity: GateIdentity,
        slots: int,
        clock: Clock,
        random: Random,
        settings: GateSettings = DEFAULT_SETTINGS,
        on_notice: NoticeObserver = _ignore_notice,
    ) -> None:
        """Start at the lowest limit, as for a cold upstream.

        ``on_notice`` gets the notices of suspects for other gates.
        """
        now = clock.monotonic()
        self._identity = identity
        self._slots = slots
        self._clock = clock
        self._settings = settings
        self._on_notice = on_notice
        self._availability = Availability(settings, random)
        self._upstream = UpstreamState(slots, self._availability, now)
        self._dispatcher = Dispatcher(
            self._upstream, clock, settings, self._on_release
        )
        self._suspects = SuspectTable()
        self._crash_count = 0
        self._drain_reasons: set[str] = set()
        self._request_ended = asyncio.Event()
        self._last_ended_at = now

    @property
    def limit(self) -> int:
        """Return how many requests may be in progress at once."""
        return self._upstream.limit.current

    @property
    def in_progress(self) -> int:
        """Return the number of requests in progress."""
        return len(self._dispatcher.in_progress)

    @property
    def queued(self) -> int:
        """Return the number of requests that wait for a slot."""
        return self._dispatcher.queued

    @property
    def load(self) -> float:
        """Return the load from 0 to 1, the next request included.

        0.5 means that the next request takes the last free slot.
        """
        now = self._clock.monotonic()
        if self._drain_reasons or self._availability.backoff_remaining(now):
            return 1
        utilization = (self.in_progress + self.queued + 1) / self.limit
        tie_break = (
            self._availability.reported_load(now) * _LOAD_TIE_BREAK_WEIGHT
        )
        return min(utilization / (utilization + 1) + tie_break, 1)

    async def admit(self, ticket: Ticket) -> AdmissionResult:
        """Return a slot once the request may start, or a refusal.

        If the call is cancelled, the request does not start. The caller
        must release the slot.
        """
        now = self._clock.monotonic()
        refusal = self._check(ticket, now)
        if refusal is not None:
            return Err(refusal)
        self._check_upstream(now)
        if self._suspects.find(ticket.fingerprint, now) is not None:
            return await self._dispatcher.wait_for_trial(ticket, now)
        slot = self._dispatcher.try_start(ticket, now)
        if slot is not None:
            return Ok(slot)
        max_queued = self._slots * self._settings.max_queued_per_slot
        return await self._dispatcher.wait_in_queue(ticket, max_queued, now)

    def drain(self, reason: str) -> None:
        """Refuse new and waiting requests; those in progress continue.

        The gate drains until each reason to drain is withdrawn.
        """
        self._drain_reasons.add(reason)
        self._dispatcher.refuse_all(Draining(reason))

    def resume(self, reason: str) -> None:
        """Withdraw a reason to drain, and reset the limit to 1."""
        if reason in self._drain_reasons:
            self._drain_reasons.discard(reason)
            self._upstream.limit.reset_after_idle(self._clock.monotonic())

    async def wait_until_idle(self) -> None:
        """Return once no request is in progress."""
        while self._dispatcher.in_progress:
            self._request_ended.clear()
            await self._request_ended.wait()

    def resize(self, slots: int) -> None:
        """Set the published number of slots, the upper bound of the limit."""
        self._slots = slots
        self._upstream.limit.resize(slots)

    def report_health(self, healthy: bool) -> None:
        """Record the result of the health endpoint."""
        self._availability.report_health(healthy, self._clock.monotonic())

    def report_load(self, load: float) -> None:
        """Record the load, from 0 to 1, that the load endpoint reports."""
        self._availability.report_load(load, self._clock.monotonic())

    def apply_notice(self, notice: SuspectNotice) -> None:
        """Apply a notice of suspects from another gate of the service."""
        now = self._clock.monotonic()
        self._suspects.note(notice, now)
        self._dispatcher.recheck(
            lambda ticket: bool(self._suspects.find(ticket.fingerprint, now)),
            lambda ticket: self._check(ticket, now),
        )
        self._dispatcher.dispatch()

    def close(self) -> None:
        """Refuse new and waiting requests, and cancel the timer."""
        self.drain('closed')
        self._dispatcher.close()

    def _check(self, ticket: Ticket, now: float) -> GateRefusal | None:
        if self._drain_reasons:
            return Draining(min(self._drain_reasons))
        if ticket.deadline <= now:
            return DeadlinePassed()
        backoff = self._availability.backoff_remaining(now)
        if backoff:
            return UpstreamDown(backoff)
        suspect = self._suspects.find(ticket.fingerprint, now)
        if suspect is not None and suspect.blocked_until > now:
            return SuspectBlocked(suspect.blocked_until - now)
        return None

    def _check_upstream(self, now: float) -> None:
        in_progress = self._dispatcher.in_progress
        if in_progress:
            self._upstream.check_stall(in_progress, now)
        elif now - self._last_ended_at > self._settings.idle_seconds:
            self._last_ended_at = now
            self._upstream.limit.reset_after_idle(now)

    def _on_release(self, slot: Slot, outcome: Outcome) -> None:
        now = self._clock.monotonic()
        self._last_ended_at = now
        limit_before = self.limit
        was_trial = self._dispatcher.finish(slot, now)
        suspects = self._upstream.record_outcome(
            slot, outcome, self._dispatcher.in_progress, now
        )
        self._request_ended.set()
        if suspects:
            self._report_crash(suspects)
        if was_trial and isinstance(outcome, Answered):
            self._clear(slot.ticket.fingerprint)
        if isinstance(outcome, ConnectionRefused):
            backoff = self._availability.backoff_remaining(now)
            self._dispatcher.refuse_all(UpstreamDown(backoff))
        elif self.limit < limit_before:
            self._dispatcher.shed(now)
        self._dispatcher.dispatch()

    def _report_crash(self, fingerprints: tuple[bytes, ...]) -> None:
        self._crash_count += 1
        for start in range(0, len(fingerprints), MAX_FINGERPRINTS):
            self._publish(
                SuspectNotice(
                    *self._identity,
                    self._crash_count,
                    fingerprints[start : start + MAX_FINGERPRINTS],
                )
            )

    def _clear(self, fingerprint: bytes) -> None:
        if self._suspects.clear(fingerprint):
            self._on_notice(
                SuspectNotice(
                    *self._identity,
                    self._crash_count,
                    (fingerprint,),
                    cleared=True,
                )
            )

    def _publish(self, notice: SuspectNotice) -> None:
        self.apply_notice(notice)
        self._on_notice(notice)
