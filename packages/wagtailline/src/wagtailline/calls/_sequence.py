"""Set of received numbers that need not arrive in order."""

_MAX_NUMBERS_ABOVE_FLOOR = 1024


class ReceivedNumbers:
    """Set of numbers from one upwards, in bounded memory.

    Every number up to the floor counts as received; single numbers are
    stored only above it. Once there are more than 1024 of these, the floor
    rises past the gap below them, so the missing numbers count as received
    too and a late message can't start a call.
    """

    def __init__(self) -> None:
        """Create an empty set with its floor at 0."""
        self._floor = 0
        self._above_floor: set[int] = set()

    def add(self, number: int) -> bool:
        """Add a number; return False when it was already received."""
        if number <= self._floor or number in self._above_floor:
            return False
        self._above_floor.add(number)
        if len(self._above_floor) > _MAX_NUMBERS_ABOVE_FLOOR:
            self._floor = min(self._above_floor)
            self._above_floor.discard(self._floor)
        while self._floor + 1 in self._above_floor:
            self._floor += 1
            self._above_floor.discard(self._floor)
        return True
