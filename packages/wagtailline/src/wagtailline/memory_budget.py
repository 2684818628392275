"""Memory of one daemon that everything of one kind shares."""

import math
from collections.abc import Callable
from typing import NamedTuple

from wagtailline.ports import MonotonicClock


class BudgetLimits(NamedTuple):
    """Bytes that all holdings may take, and one however little is free.

    ``share`` is the fraction of the free memory that one holding may take. So
    none takes it all, and each gets less the more there are.
    """

    all_bytes: float
    min_share_bytes: int
    share: float


class MemoryBudget:
    """Bytes that one daemon holds, and the limit of their sum.

    Whoever receives bytes asks for their share and then waits or refuses. If
    more than the limit is held all the same, the holdings that take most for
    longest are cut.
    """

    def __init__(
        self,
        clock: MonotonicClock,
        limits: BudgetLimits,
        observe_cut: Callable[[int, int], None],
    ) -> None:
        """Create an empty memory.

        ``observe_cut`` is called with the bytes of each holding that is cut
        and those of all holdings at that time.
        """
        self.held_bytes = 0
        self._clock = clock
        self._limits = limits
        self._observe_cut = observe_cut
        self._cuttable: set[Holding] = set()

    @property
    def share_bytes(self) -> float:
        """Return the bytes that one holding may take now."""
        free_bytes = self._limits.all_bytes - self.held_bytes
        return max(
            free_bytes * self._limits.share, self._limits.min_share_bytes
        )

    @property
    def is_short(self) -> bool:
        """Return whether no holding may take more than the least share."""
        return self.share_bytes <= self._limits.min_share_bytes

    def record_change(self, holding: 'Holding', change_bytes: int) -> None:
        """Count bytes that a holding has gained or lost."""
        self.held_bytes += change_bytes
        if holding.cut is not None:
            if holding.size_bytes:
                self._cuttable.add(holding)
            else:
                self._cuttable.discard(holding)
        if change_bytes > 0:
            self._cut_largest()

    def now(self) -> float:
        """Return the time from which the age of a holding is counted."""
        return self._clock.monotonic()

    def _cut_largest(self) -> None:
        """Cut holdings until the sum is within the limit, if that can be.

        Small ones are never cut, and none is if the others exceed the limit.
        """
        while self.held_bytes > self._limits.all_bytes:
            large = [
                holding
                for holding in self._cuttable
                if holding.size_bytes > self._limits.min_share_bytes
            ]
            large_bytes = sum(holding.size_bytes for holding in large)
            other_bytes = self.held_bytes - large_bytes
            if not large or other_bytes > self._limits.all_bytes:
                return
            self._cut(max(large, key=_weigh))

    def _cut(self, holding: 'Holding') -> None:
        self._observe_cut(holding.size_bytes, self.held_bytes)
        holding.close()
        if holding.cut is not None:
            holding.cut()


class Holding:
    """Bytes that one owner holds of the memory of its daemon."""

    def __init__(
        self, memory: MemoryBudget, cut: Callable[[], None] | None = None
    ) -> None:
        """Hold nothing yet.

        ``cut`` ends what is held when the memory is short. Without it, the
        bytes are never taken away, so they have to be within the share.
        """
        self.cut = cut
        self.size_bytes = 0
        self._memory = memory
        self._held_since = math.inf

    def resize(self, size_bytes: int) -> None:
        """Hold this many bytes from now on."""
        change_bytes = size_bytes - self.size_bytes
        if not self.size_bytes:
            self._held_since = self._memory.now()
        self.size_bytes = size_bytes
        if change_bytes:
            self._memory.record_change(self, change_bytes)

    def close(self) -> None:
        """Hold nothing any more."""
        self.resize(0)

    @property
    def age_seconds(self) -> float:
        """Return for how long some bytes have been held."""
        return self._memory.now() - self._held_since


def _weigh(holding: Holding) -> tuple[float, int]:
    """Return the rank of a holding for being cut."""
    return holding.size_bytes * holding.age_seconds, holding.size_bytes


class FrozenClock:
    """Clock of a memory without limit, in which no age matters."""

    def monotonic(self) -> float:
        """Return the same time always."""
        return 0
