"""The gate that admits requests to the local upstream."""

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
# A reported load decides only between gates that are otherwise equal.
_TIE_BREAK = 0.01


class GateIdentity(NamedTuple):
    """The endpoint that a gate admits to, and its daemon's incarnation."""

    endpoint: str
    incarnation: int


def _ignore_notice(notice: SuspectNotice) -> None:
    """Drop notices when there are no peers."""


class Gate:
    """Bounds, orders and observes the work of one upstream.

    Every refusal means that the upstream has not begun the request.
    """

    def __init__(
        self,
        identity: GateIdentity,
        slots: int,
        clock: Clock,
        random: Random,
        settings: GateSettings = DEFAULT_SETTINGS,
        observe_notice: NoticeObserver = _ignore_notice,
    ) -> None:
        """Begin with an upstream that is taken to be cold."""
        now = clock.monotonic()
        self._identity = identity
        self._slots = slots
        self._clock = clock
        self._settings = settings
        self._observe_notice = observe_notice
        self._availability = Availability(settings, random)
        self._upstream = UpstreamState(slots, self._availability, now)
        self._dispatcher = Dispatcher(
            self._upstream, clock, settings, self._give_back
        )
        self._suspects = SuspectTable()
        self._deaths = 0
        self._drains: set[str] = set()
        self._ended = asyncio.Event()
        self._last_end = now

    @property
    def limit(self) -> int:
        """Return the requests that may be in progress at once."""
        return self._upstream.limit.current

    @property
    def in_progress(self) -> int:
        """Return the requests in progress."""
        return len(self._dispatcher.in_progress)

    @property
    def queued(self) -> int:
        """Return the requests that wait for a slot."""
        return self._dispatcher.queued

    @property
    def load(self) -> float:
        """Return the load from 0 to 1 as the next request would find it.

        0.5 means that the next request takes the last free slot.
        """
        now = self._clock.monotonic()
        if self._drains or self._availability.backoff_remaining(now):
            return 1
        wanted = (self.in_progress + self.queued + 1) / self.limit
        hint = self._availability.reported_load(now) * _TIE_BREAK
        return min(wanted / (wanted + 1) + hint, 1)

    async def admit(self, ticket: Ticket) -> AdmissionResult:
        """Return a slot once the request may start, or a true refusal.

        A caller that leaves cancels this call, and the request does not
        start. Whoever gets a slot must release it.
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
        places = self._slots * self._settings.queue_per_slot
        return await self._dispatcher.wait_in_queue(ticket, places, now)

    def drain(self, reason: str) -> None:
        """Take no new work for this reason; work in progress goes on."""
        self._drains.add(reason)
        self._dispatcher.refuse_all(Draining(reason))

    def resume(self, reason: str) -> None:
        """Withdraw a reason; the last one reopens the gate at limit 1."""
        if reason in self._drains:
            self._drains.discard(reason)
            self._upstream.limit.reset_after_idle(self._clock.monotonic())

    async def wait_empty(self) -> None:
        """Return once no request is in progress."""
        while self._dispatcher.in_progress:
            self._ended.clear()
            await self._ended.wait()

    def resize(self, slots: int) -> None:
        """Take over the published number of slots."""
        self._slots = slots
        self._upstream.limit.resize(slots)

    def report_health(self, healthy: bool) -> None:
        """Take over what the health endpoint says."""
        self._availability.report_health(healthy, self._clock.monotonic())

    def report_load(self, load: float) -> None:
        """Take over what the load endpoint says, from 0 to 1."""
        self._availability.report_load(load, self._clock.monotonic())

    def note_suspects(self, notice: SuspectNotice) -> None:
        """Take over a notice of a peer of the service."""
        now = self._clock.monotonic()
        self._suspects.note(notice, now)
        self._dispatcher.recheck(
            lambda ticket: bool(self._suspects.find(ticket.fingerprint, now)),
            lambda ticket: self._check(ticket, now),
        )
        self._dispatcher.dispatch()

    def close(self) -> None:
        """Refuse everything that waits and end the timer."""
        self.drain('closed')
        self._dispatcher.close()

    def _check(self, ticket: Ticket, now: float) -> GateRefusal | None:
        if self._drains:
            return Draining(min(self._drains))
        if ticket.deadline <= now:
            return DeadlinePassed()
        pause = self._availability.backoff_remaining(now)
        if pause:
            return UpstreamDown(pause)
        suspect = self._suspects.find(ticket.fingerprint, now)
        if suspect is not None and suspect.blocked_until > now:
            return SuspectBlocked(suspect.blocked_until - now)
        return None

    def _check_upstream(self, now: float) -> None:
        in_progress = self._dispatcher.in_progress
        if in_progress:
            self._upstream.check_stall(in_progress, now)
        elif now - self._last_end > self._settings.idle_seconds:
            self._last_end = now
            self._upstream.limit.reset_after_idle(now)

    def _give_back(self, slot: Slot, outcome: Outcome) -> None:
        now = self._clock.monotonic()
        self._last_end = now
        limit_before = self.limit
        was_trial = self._dispatcher.finish(slot, now)
        dead = self._upstream.record_outcome(
            slot, outcome, self._dispatcher.in_progress, now
        )
        self._ended.set()
        if dead:
            self._report_death(dead)
        if was_trial and isinstance(outcome, Answered):
            self._clear(slot.ticket.fingerprint)
        if isinstance(outcome, ConnectionRefused):
            pause = self._availability.backoff_remaining(now)
            self._dispatcher.refuse_all(UpstreamDown(pause))
        elif self.limit < limit_before:
            self._dispatcher.shed(now)
        self._dispatcher.dispatch()

    def _report_death(self, fingerprints: tuple[bytes, ...]) -> None:
        self._deaths += 1
        for start in range(0, len(fingerprints), MAX_FINGERPRINTS):
            self._publish(
                SuspectNotice(
                    *self._identity,
                    self._deaths,
                    fingerprints[start : start + MAX_FINGERPRINTS],
                )
            )

    def _clear(self, fingerprint: bytes) -> None:
        if self._suspects.clear(fingerprint):
            self._observe_notice(
                SuspectNotice(
                    *self._identity, self._deaths, (fingerprint,), cleared=True
                )
            )

    def _publish(self, notice: SuspectNotice) -> None:
        self.note_suspects(notice)
        self._observe_notice(notice)
