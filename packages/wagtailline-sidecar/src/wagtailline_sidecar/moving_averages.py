"""Exponential moving averages by key."""


class MovingAverages:
    """Exponential moving average of the observed values of each key."""

    def __init__(self, smoothing_factor: float) -> None:
        """Set up averages in which a new value has the given weight."""
        self._smoothing_factor = smoothing_factor
        self._averages: dict[str, float] = {}

    def observe(self, key: str, observed: float) -> None:
        """Update an average; the first value of a key is its average."""
        previous = self._averages.get(key, observed)
        self._averages[key] = previous + self._smoothing_factor * (
            observed - previous
        )

    def find(self, key: str, default: float) -> float:
        """Return the average of a key, or the default without any value."""
        return self._averages.get(key, default)

    def mean(self, default: float) -> float:
        """Return the mean over all keys, or the default without any."""
        if not self._averages:
            return default
        return sum(self._averages.values()) / len(self._averages)
