"""Latency of the upstream relative to the best observed."""

import math

# Geometric means are compared, because latencies have long tails.
_SAMPLES_PER_MEAN = 16
_MIN_SAMPLES = 4
_MIN_LATENCY_SECONDS = 1e-5
# The best mean of the present and the last epoch counts, so that an upstream
# that stays slower for good is accepted within two epochs.
_EPOCH_SECONDS = 30
_MAX_KINDS = 64


class _Kind:
    """Means of one kind of request, as logarithms of seconds."""

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
            self.settle()

    def settle(self) -> None:
        """End the mean in progress; one of too few samples is dropped."""
        if self.count >= _MIN_SAMPLES:
            self.best = min(self.best, self.total / self.count)
        self.count = 0
        self.total = float(0)

    def reference(self) -> float:
        """Return the best mean; of fewer samples before there is one."""
        best = min(self.best, self.last_best)
        if best == math.inf and self.count:
            return self.total / self.count
        return best

    def roll(self) -> None:
        self.last_best = self.best
        self.best = math.inf


class LatencyBaseline:
    """Best mean latency of each kind of request."""

    def __init__(self, now: float) -> None:
        """Begin without samples."""
        self._kinds: dict[str, _Kind] = {}
        self._epoch = now

    def compare(self, kind: str, latency: float, now: float) -> float:
        """Add a latency; return the log of its ratio to the best mean."""
        if now - self._epoch > _EPOCH_SECONDS:
            self._roll(now)
        stats = self._find(kind)
        sample = math.log(max(latency, _MIN_LATENCY_SECONDS))
        stats.add(sample)
        return sample - stats.reference()

    def best(self, kind: str) -> float | None:
        """Return the best mean latency in seconds, None before samples."""
        stats = self._kinds.get(kind)
        if stats is None or stats.reference() == math.inf:
            return None
        return math.exp(stats.reference())

    def settle(self) -> None:
        """Keep samples under different limits out of one mean.

        A first mean that held samples of an overloaded upstream would let
        the limit grow above what it can bear.
        """
        for stats in self._kinds.values():
            stats.settle()

    def forget(self) -> None:
        """Begin again, as after a restart of the upstream."""
        self._kinds.clear()

    def _find(self, kind: str) -> _Kind:
        stats = self._kinds.get(kind)
        if stats is None:
            if len(self._kinds) >= _MAX_KINDS:
                self._kinds.pop(next(iter(self._kinds)))
            stats = _Kind()
            self._kinds[kind] = stats
        return stats

    def _roll(self, now: float) -> None:
        self._epoch = now
        for stats in self._kinds.values():
            stats.roll()
