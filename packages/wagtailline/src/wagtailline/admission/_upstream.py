"""What the outcomes of requests say of the upstream."""

from collections.abc import Collection

from wagtailline.admission._availability import Availability
from wagtailline.admission._deaths import DeathWatch
from wagtailline.admission._limit import ConcurrencyLimit
from wagtailline.admission._outcomes import (
    Answered,
    ConnectionRefused,
    Outcome,
    RefusedByUpstream,
    ResetBeforeFirstByte,
    ResetLater,
    TimedOut,
    Unused,
)
from wagtailline.admission._slot import Slot

_SERVER_ERRORS = 500
# Weight of a new sample in the mean time that a slot is held.
_HOLD_GAIN = 0.1
# One request that takes long may just be a large one.
_MIN_STALLED = 2
Fingerprints = tuple[bytes, ...]


class UpstreamState:
    """Learns limit, availability and deaths from outcomes alone."""

    def __init__(self, slots: int, availability: Availability, now: float):
        """Begin with an upstream that is taken to be cold."""
        self.limit = ConcurrencyLimit(slots, now)
        self.availability = availability
        self.mean_hold = float(0)
        self._watch = DeathWatch()

    def end(
        self,
        slot: Slot,
        outcome: Outcome,
        others: Collection[Slot],
        now: float,
    ) -> Fingerprints:
        """Learn from an outcome; return the requests of a death it shows.

        ``others`` are the requests that are still in progress.
        """
        match outcome:
            case Answered():
                self._learn(slot, outcome, now)
                return self._watch.answered(slot, now)
            case RefusedByUpstream():
                self.limit.record_overload(slot.started, now)
                return self._watch.answered(slot, now)
            case ConnectionRefused():
                self.availability.refused(now)
                self.limit.reset(now)
                return self._watch.refused(now)
            case ResetBeforeFirstByte(idle):
                return self._reset(slot, others, now, idle)
            case ResetLater():
                return self._reset(slot, others, now, idle=False)
        return self._left(slot, outcome, now)

    def check_stall(self, in_progress: Collection[Slot], now: float) -> None:
        """Lower the limit when most requests are unanswered for long."""
        oldest = next(iter(in_progress), None)
        if oldest is None or not self._is_stalled(oldest, now):
            return
        stalled = sum(self._is_stalled(slot, now) for slot in in_progress)
        if stalled >= _MIN_STALLED and stalled * 2 > len(in_progress):
            self.limit.record_overload(oldest.started, now)

    def _learn(self, slot: Slot, outcome: Answered, now: float) -> None:
        self.availability.answered()
        held = now - slot.started
        self.mean_hold += (held - self.mean_hold) * _HOLD_GAIN
        if outcome.status < _SERVER_ERRORS:
            # A fast error says nothing about the latency of real work.
            self.limit.is_growth_paused = self.availability.is_doubtful(now)
            self.limit.record_answer(
                slot.ticket.kind, outcome.latency, slot.started, now
            )

    def _left(self, slot: Slot, outcome: Outcome, now: float) -> Fingerprints:
        if isinstance(outcome, Unused):
            return ()
        if isinstance(outcome, TimedOut):
            self.limit.record_overload(slot.started, now)
        return self._watch.left(slot, now)

    def _reset(
        self, slot: Slot, others: Collection[Slot], now: float, idle: bool
    ) -> Fingerprints:
        death = self._watch.reset(slot, others, now, idle)
        if death or not idle:
            self.limit.reset(now)
        else:
            self.limit.record_overload(slot.started, now)
        return death

    def _is_stalled(self, slot: Slot, now: float) -> bool:
        if slot.answering:
            return False
        return now - slot.started > self.limit.stall_seconds(slot.ticket.kind)
