"""Adaptive concurrency limit of an upstream."""

import math

from wagtailline.admission._latency import LatencyBaseline

MIN_LIMIT = 1
_ANSWERS_PER_WINDOW = 8
# The limit grows only while the mean latency is at most 1.5 times the best.
# Above 2.5 times, the latency rises sharply with the load, and the limit falls.
# In between it stays.
_GROWTH_LOG_RATIO = math.log(1.5)
_OVERLOAD_LOG_RATIO = math.log(2.5)
# A request that is unanswered after this many times the best latency shows
# that the upstream stalls, even if no slow answer has arrived yet.
_STALL_FACTOR = 4
_MIN_STALL_SECONDS = 0.02
# Each decrease doubles the number of windows before the next increase, so that
# an upstream that warms slowly is not overloaded in every second window.
_MAX_WINDOWS_PER_INCREASE = 16


class ConcurrencyLimit:
    """Concurrency limit with additive increase, multiplicative decrease.

    It grows by one after windows of answers with low latency, provided that
    it was reached, and halves on signs of overload.
    """

    def __init__(self, slots: int, now: float) -> None:
        """Start with the lowest limit; it never exceeds ``slots``."""
        self.current = MIN_LIMIT
        self.is_growth_paused = False
        self._slots = slots
        self._baseline = LatencyBaseline(now)
        self._decreased_at = now
        self._windows_per_increase = 1
        self._answers = 0
        self._log_ratio_sum = float(0)
        self._was_reached = False

    def resize(self, slots: int) -> None:
        """Set the upper bound to the published number of slots."""
        self._slots = max(slots, MIN_LIMIT)
        self.current = min(self.current, self._slots)

    def mark_reached(self) -> None:
        """Record that the number of requests in progress reached the limit."""
        self._was_reached = True

    def record_answer(
        self, kind: str, latency: float, started: float, now: float
    ) -> None:
        """Record an answer and its latency in seconds."""
        self._log_ratio_sum += self._baseline.add_sample(kind, latency, now)
        if started < self._decreased_at:
            # The request started before the last decrease of the limit.
            self._log_ratio_sum = float(0)
            return
        self._answers += 1
        if self._answers >= _ANSWERS_PER_WINDOW:
            self._end_window(now)

    def record_overload(self, started: float, now: float) -> None:
        """Halve the limit, once for all requests that started under it."""
        if started >= self._decreased_at:
            self.current = max(self.current // 2, MIN_LIMIT)
            self._decrease(now)

    def reset(self, now: float) -> None:
        """Return to the lowest limit, and discard latencies as outdated."""
        if self.current > MIN_LIMIT:
            self._decrease(now)
        self.current = MIN_LIMIT
        self._decreased_at = now
        self._baseline.clear()
        self._start_window()

    def reset_after_idle(self, now: float) -> None:
        """Reset the limit without delaying its next increase."""
        self.reset(now)
        self._windows_per_increase = 1

    def stall_seconds(self, kind: str) -> float:
        """Return the age at which an unanswered request shows a stall."""
        best = self._baseline.best_seconds(kind)
        if best is None:
            return math.inf
        return max(best * _STALL_FACTOR, _MIN_STALL_SECONDS)

    def best_latency(self, kind: str) -> float:
        """Return the best mean in seconds, or zero if it is unknown."""
        return self._baseline.best_seconds(kind) or 0

    def _end_window(self, now: float) -> None:
        mean_log_ratio = self._log_ratio_sum / self._answers
        was_reached = self._was_reached
        answers_needed = _ANSWERS_PER_WINDOW * self._windows_per_increase
        if mean_log_ratio > _GROWTH_LOG_RATIO and self.current == MIN_LIMIT:
            # With one request at a time, the upstream is as fast as it can be:
            # the next samples set a new baseline.
            self._baseline.clear()
            self._decrease(now)
        elif mean_log_ratio > _OVERLOAD_LOG_RATIO:
            self.record_overload(now, now)
        elif (
            mean_log_ratio > _GROWTH_LOG_RATIO
            or not was_reached
            or self.is_growth_paused
        ):
            self._start_window()
        elif self._answers >= answers_needed:
            self.current = min(self.current + 1, self._slots)
            self._windows_per_increase = max(self._windows_per_increase // 2, 1)
            self._baseline.finish_means()
            self._start_window()

    def _decrease(self, now: float) -> None:
        self._decreased_at = now
        self._windows_per_increase = min(
            self._windows_per_increase * 2, _MAX_WINDOWS_PER_INCREASE
        )
        self._baseline.finish_means()
        self._start_window()

    def _start_window(self) -> None:
        self._answers = 0
        self._log_ratio_sum = float(0)
        self._was_reached = False
