"""State of the upstream, learned from the outcomes of requests."""

from collections.abc import Collection

from wagtailline.admission._availability import Availability
from wagtailline.admission._crashes import CrashDetector
from wagtailline.admission._limit import ConcurrencyLimit
from wagtailline.admission._outcomes import (
    Answered,
    ConnectionRefused,
    Outcome,
    RefusedByUpstream,
    ResetBeforeFirstByte,
    ResetDuringAnswer,
    TimedOut,
    Unused,
)
from wagtailline.admission._slot import Slot

_MIN_SERVER_ERROR = 500
# Weight of a new sample in the moving mean of the time that a slot is held.
_SLOT_TIME_GAIN = 0.1
# A single slow request may just be a large one.
_MIN_STALLED = 2
Fingerprints = tuple[bytes, ...]


class UpstreamState:
    """Concurrency limit, availability and crashes of one upstream."""

    def __init__(self, slots: int, availability: Availability, now: float):
        """Start at the lowest limit: the upstream may be cold."""
        self.limit = ConcurrencyLimit(slots, now)
        self.availability = availability
        self.mean_slot_seconds = float(0)
        self._crash_detector = CrashDetector()

    def record_outcome(
        self,
        slot: Slot,
        outcome: Outcome,
        others: Collection[Slot],
        now: float,
    ) -> Fingerprints:
        """Record an outcome; return the suspects of a crash that it shows.

        ``others`` are the requests that are still in progress.
        """
        match outcome:
            case Answered():
                self._record_answer(slot, outcome, now)
                return self._crash_detector.record_answer(slot, now)
            case RefusedByUpstream():
                self.limit.record_overload(slot.started, now)
                return self._crash_detector.record_answer(slot, now)
            case ConnectionRefused():
                self.availability.record_refused_connection(now)
                self.limit.reset(now)
                return self._crash_detector.record_refused_connection(now)
            case ResetBeforeFirstByte(idle):
                return self._record_reset(slot, others, now, idle)
            case ResetDuringAnswer():
                return self._record_reset(slot, others, now, idle=False)
        return self._record_abandoned(slot, outcome, now)

    def check_stall(self, in_progress: Collection[Slot], now: float) -> None:
        """Lower the limit if most requests are unanswered for too long."""
        oldest = next(iter(in_progress), None)
        if oldest is None or not self._is_stalled(oldest, now):
            return
        stalled = sum(self._is_stalled(slot, now) for slot in in_progress)
        if stalled >= _MIN_STALLED and stalled * 2 > len(in_progress):
            self.limit.record_overload(oldest.started, now)

    def _record_answer(self, slot: Slot, outcome: Answered, now: float) -> None:
        self.availability.record_answer()
        slot_seconds = now - slot.started
        self.mean_slot_seconds += (
            slot_seconds - self.mean_slot_seconds
        ) * _SLOT_TIME_GAIN
        if outcome.status < _MIN_SERVER_ERROR:
            # Server errors may be fast: they do not show the usual latency.
            self.limit.is_growth_paused = self.availability.is_unhealthy(now)
            self.limit.record_answer(
                slot.ticket.kind, outcome.latency, slot.started, now
            )

    def _record_abandoned(
        self, slot: Slot, outcome: Outcome, now: float
    ) -> Fingerprints:
        if isinstance(outcome, Unused):
            return ()
        if isinstance(outcome, TimedOut):
            self.limit.record_overload(slot.started, now)
        return self._crash_detector.record_abandoned(slot, now)

    def _record_reset(
        self, slot: Slot, others: Collection[Slot], now: float, idle: bool
    ) -> Fingerprints:
        suspects = self._crash_detector.record_reset(slot, others, now, idle)
        if suspects or not idle:
            self.limit.reset(now)
        else:
            self.limit.record_overload(slot.started, now)
        return suspects

    def _is_stalled(self, slot: Slot, now: float) -> bool:
        if slot.answering:
            return False
        return now - slot.started > self.limit.stall_seconds(slot.ticket.kind)
