"""Runs suspects alone, without starving other requests."""

from collections import deque

from wagtailline.admission._queue import Waiter
from wagtailline.admission._slot import Slot


class Trials:
    """Suspects that wait to run alone, and the one that runs.

    Other requests are held back while the slots empty for a suspect and
    while it runs, each for a bounded time, and then get the same time for
    themselves before the next one.
    """

    def __init__(self, hold_seconds: float) -> None:
        """Bound each hold by the given time in seconds."""
        self._hold_seconds = hold_seconds
        self._waiting: deque[Waiter] = deque()
        self._running: Slot | None = None
        self._held_since: float | None = None
        self._rest_until = float(0)

    def __len__(self) -> int:
        """Return the number of waiting suspects."""
        return len(self._waiting)

    def push(self, waiter: Waiter) -> None:
        """Append a suspect."""
        self._waiting.append(waiter)

    def remove(self, waiter: Waiter) -> None:
        """Take a suspect out if it still waits."""
        if waiter in self._waiting:
            self._waiting.remove(waiter)
        if not self._waiting and self._running is None:
            self._held_since = None

    def clear(self) -> tuple[Waiter, ...]:
        """Take out all waiting suspects."""
        waiters = self.waiters()
        for waiter in waiters:
            self.remove(waiter)
        return waiters

    def holds(self, now: float) -> bool:
        """Tell whether other requests have to wait for a suspect."""
        running = self._running
        if running is not None:
            return now - running.started < self._hold_seconds
        if not self._waiting or now < self._rest_until:
            return False
        if self._held_since is None:
            self._held_since = now
        return True

    def pop(self, now: float, in_progress: int, limit: int) -> Waiter | None:
        """Take the next suspect if it may start now."""
        if self._running is not None or not self.holds(now):
            return None
        held_since = now if self._held_since is None else self._held_since
        alone = in_progress == 0
        waited = now - held_since >= self._hold_seconds
        if alone or (waited and in_progress < limit):
            return self._waiting.popleft()
        return None

    def begin(self, slot: Slot | None) -> None:
        """Note the suspect that runs, None when its caller has left."""
        self._running = slot

    def end(self, slot: Slot, now: float) -> bool:
        """Note an ended request; tell whether it was the suspect.

        Other requests now run for as long as they were held back.
        """
        if slot is not self._running:
            return False
        self._running = None
        if self._held_since is not None:
            held = min(now - self._held_since, 2 * self._hold_seconds)
            self._rest_until = now + held
        self._held_since = None
        return True

    def waiters(self) -> tuple[Waiter, ...]:
        """Return the waiting suspects."""
        return tuple(self._waiting)

    def wake_after(self, now: float) -> float | None:
        """Return the seconds until a hold or a rest ends, if one does."""
        if self._running is not None:
            end = self._running.started + self._hold_seconds
        elif not self._waiting:
            return None
        elif self._held_since is None:
            end = self._rest_until
        else:
            end = self._held_since + self._hold_seconds
        return end - now if end > now else None
