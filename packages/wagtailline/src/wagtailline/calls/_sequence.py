"""Numbers that were received, also when they arrive out of order."""

_MAX_GAP = 1024


class ReceivedNumbers:
    """Set of numbers from one upwards, in bounded memory.

    A number more than 1024 received ones below the highest counts as
    received, so that it can't start anything again.
    """

    def __init__(self) -> None:
        """Begin without numbers."""
        self._floor = 0
        self._above: set[int] = set()

    def add(self, number: int) -> bool:
        """Add a number; return False when it was there."""
        if number <= self._floor or number in self._above:
            return False
        self._above.add(number)
        if len(self._above) > _MAX_GAP:
            self._floor = min(self._above)
            self._above.discard(self._floor)
        while self._floor + 1 in self._above:
            self._floor += 1
            self._above.discard(self._floor)
        return True
