"""Concurrency limit that learns what the upstream can bear."""

import math

from wagtailline.admission._latency import LatencyBaseline

START_LIMIT = 1
_WINDOW_ANSWERS = 8
# Mean latency up to 1.5 times the best is near it; above 2.5 times it rises
# sharply. In between the limit stays.
_NEAR = math.log(1.5)
_SHARP = math.log(2.5)
# A request that is unanswered after this many times the best latency shows
# an upstream that stalls, before any slow answer arrives.
_STALL_FACTOR = 4
_MIN_STALL_SECONDS = 0.02
# Each decrease doubles the windows that the next increase needs, so that an
# upstream that warms slowly is not overloaded in every second window.
_MAX_PATIENCE = 16


class ConcurrencyLimit:
    """Grows by one per good window and halves on signs of overload."""

    def __init__(self, slots: int, now: float) -> None:
        """Begin at the start value."""
        self.current = START_LIMIT
        self.held = False
        self._slots = slots
        self._baseline = LatencyBaseline(now)
        self._decreased_at = now
        self._patience = 1
        self._answers = 0
        self._score = float(0)
        self._full = False

    def resize(self, slots: int) -> None:
        """Take over a published change of the slots."""
        self._slots = max(slots, START_LIMIT)
        self.current = min(self.current, self._slots)

    def mark_full(self) -> None:
        """Note that all of the limit is in use in this window."""
        self._full = True

    def answered(
        self, kind: str, latency: float, started: float, now: float
    ) -> None:
        """Count an answer of the upstream."""
        self._score += self._baseline.compare(kind, latency, now)
        if started < self._decreased_at:
            # It says something about the limit before the last decrease.
            self._score = float(0)
            return
        self._answers += 1
        if self._answers >= _WINDOW_ANSWERS:
            self._close_window(now)

    def overloaded(self, started: float, now: float) -> None:
        """Halve, once for all requests that started under one limit."""
        if started >= self._decreased_at:
            self.current = max(self.current // 2, START_LIMIT)
            self._decrease(now)

    def restart(self, now: float) -> None:
        """Return to the start value; the latencies known no longer hold."""
        if self.current > START_LIMIT:
            self._decrease(now)
        self.current = START_LIMIT
        self._decreased_at = now
        self._baseline.forget()
        self._open_window()

    def idle(self, now: float) -> None:
        """Return to the start value without a sign of overload."""
        self.restart(now)
        self._patience = 1

    def stall_seconds(self, kind: str) -> float:
        """Return the age at which an unanswered request shows a stall."""
        best = self._baseline.best(kind)
        if best is None:
            return math.inf
        return max(best * _STALL_FACTOR, _MIN_STALL_SECONDS)

    def typical_latency(self, kind: str) -> float:
        """Return the best latency in seconds, zero when it is unknown."""
        return self._baseline.best(kind) or 0

    def _close_window(self, now: float) -> None:
        score = self._score / self._answers
        full = self._full
        wanted = _WINDOW_ANSWERS * self._patience
        if score > _NEAR and self.current == START_LIMIT:
            # One request at a time shows the best latency there is now.
            self._baseline.forget()
            self._decrease(now)
        elif score > _SHARP:
            self.overloaded(now, now)
        elif score > _NEAR or not full or self.held:
            self._open_window()
        elif self._answers >= wanted:
            self.current = min(self.current + 1, self._slots)
            self._patience = max(self._patience // 2, 1)
            self._baseline.settle()
            self._open_window()

    def _decrease(self, now: float) -> None:
        self._decreased_at = now
        self._patience = min(self._patience * 2, _MAX_PATIENCE)
        self._baseline.settle()
        self._open_window()

    def _open_window(self) -> None:
        self._answers = 0
        self._score = float(0)
        self._full = False
