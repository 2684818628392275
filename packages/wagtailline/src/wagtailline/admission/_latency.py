"""Latency of the upstream relative to its best recent mean."""

import math

# Means are geometric, because latency distributions have long tails.
_SAMPLES_PER_MEAN = 16
_MIN_SAMPLES = 4
_MIN_LATENCY_SECONDS = 1e-5
# The baseline is the best mean of the current and the previous epoch, so that
# a lasting increase of the latency becomes the baseline within two epochs.
_EPOCH_SECONDS = 30
_MAX_KINDS = 64


class _LatencyStats:
    """Mean latencies of one kind of request, as logarithms of seconds."""

    __slots__ = ('best', 'count', 'last_best', 'total')

    def __init__(self) -> None:
        self.best = math.inf
        self.last_best = math.inf
        self.count = 0
        self.total = float(0)

    def add(self, sample: float) -> None:
        self.count += 1
        self.total += sample
        if self.count == _SAMPLES_PER_MEAN:
            self.finish_mean()

    def finish_mean(self) -> None:
        """Finish the current mean; discard it if it has too few samples."""
        if self.count >= _MIN_SAMPLES:
            self.best = min(self.best, self.total / self.count)
        self.count = 0
        self.total = float(0)

    def baseline(self) -> float:
        """Return the best mean, or the partial one if none is complete."""
        best = min(self.best, self.last_best)
        if best == math.inf and self.count:
            return self.total / self.count
        return best

    def start_epoch(self) -> None:
        self.last_best = self.best
        self.best = math.inf


class LatencyBaseline:
    """Best mean latency of each kind of request, for example of a route."""

    def __init__(self, now: float) -> None:
        """Start the first epoch without samples."""
        self._kinds: dict[str, _LatencyStats] = {}
        self._epoch_started_at = now

    def add_sample(self, kind: str, latency: float, now: float) -> float:
        """Add a latency; return the logarithm of its ratio to the best mean."""
        if now - self._epoch_started_at > _EPOCH_SECONDS:
            self._start_epoch(now)
        stats = self._get_stats(kind)
        sample = math.log(max(latency, _MIN_LATENCY_SECONDS))
        stats.add(sample)
        return sample - stats.baseline()

    def best_seconds(self, kind: str) -> float | None:
        """Return the best mean in seconds, or None without samples."""
        stats = self._kinds.get(kind)
        if stats is None or stats.baseline() == math.inf:
            return None
        return math.exp(stats.baseline())

    def finish_means(self) -> None:
        """Finish all current means because the limit changes.

        Samples taken under different limits must not share a mean: a first
        mean with samples of an overloaded upstream would be too high, and
        the limit would grow beyond the capacity of the upstream.
        """
        for stats in self._kinds.values():
            stats.finish_mean()

    def clear(self) -> None:
        """Discard all samples, as after a restart of the upstream."""
        self._kinds.clear()

    def _get_stats(self, kind: str) -> _LatencyStats:
        stats = self._kinds.get(kind)
        if stats is None:
            if len(self._kinds) >= _MAX_KINDS:
                self._kinds.pop(next(iter(self._kinds)))
            stats = _LatencyStats()
            self._kinds[kind] = stats
        return stats

    def _start_epoch(self, now: float) -> None:
        self._epoch_started_at = now
        for stats in self._kinds.values():
            stats.start_epoch()
