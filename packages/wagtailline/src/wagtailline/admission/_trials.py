"""Trials: runs of suspects alone, without starving other requests."""

from collections import deque

from wagtailline.admission._queue import Waiter
from wagtailline.admission._slot import Slot


class Trials:
    """Suspects that wait to run alone, and the one that runs.

    A suspect is a request that was in progress when an upstream crashed.
    Other requests are held while those in progress end before the trial and
    while the suspect runs, each for a bounded time. Then they run for as
    long as they were held before the next trial.
    """

    def __init__(self, max_hold_seconds: float) -> None:
        """Limit the time in seconds that other requests are held."""
        self._max_hold_seconds = max_hold_seconds
        self._waiting: deque[Waiter] = deque()
        self._running: Slot | None = None
        self._held_since: float | None = None
        self._no_hold_before = float(0)

    def __len__(self) -> int:
        """Return the number of waiting suspects."""
        return len(self._waiting)

    def push(self, waiter: Waiter) -> None:
        """Append a suspect to those that wait."""
        self._waiting.append(waiter)

    def remove(self, waiter: Waiter) -> None:
        """Remove a suspect if it still waits."""
        if waiter in self._waiting:
            self._waiting.remove(waiter)
        if not self._waiting and self._running is None:
            self._held_since = None

    def clear(self) -> tuple[Waiter, ...]:
        """Remove and return all waiting suspects."""
        waiters = self.waiters()
        for waiter in waiters:
            self.remove(waiter)
        return waiters

    def holds_others(self, now: float) -> bool:
        """Return whether other requests have to wait for a suspect."""
        running = self._running
        if running is not None:
            return now - running.started < self._max_hold_seconds
        if not self._waiting or now < self._no_hold_before:
            return False
        if self._held_since is None:
            self._held_since = now
        return True

    def pop(self, now: float, in_progress: int, limit: int) -> Waiter | None:
        """Remove and return the next suspect if it may start now."""
        if self._running is not None or not self.holds_others(now):
            return None
        held_since = now if self._held_since is None else self._held_since
        is_alone = in_progress == 0
        is_overdue = now - held_since >= self._max_hold_seconds
        if is_alone or (is_overdue and in_progress < limit):
            return self._waiting.popleft()
        return None

    def begin(self, slot: Slot | None) -> None:
        """Set the running suspect, None if it did not start."""
        self._running = slot

    def finish(self, slot: Slot, now: float) -> bool:
        """Return whether an ended request was the running suspect.

        If it was, other requests now run for as long as they were held.
        """
        if slot is not self._running:
            return False
        self._running = None
        if self._held_since is not None:
            held_seconds = min(
                now - self._held_since, 2 * self._max_hold_seconds
            )
            self._no_hold_before = now + held_seconds
        self._held_since = None
        return True

    def waiters(self) -> tuple[Waiter, ...]:
        """Return the waiting suspects."""
        return tuple(self._waiting)

    def seconds_until_change(self, now: float) -> float | None:
        """Return the seconds until a hold starts or ends, None if none will."""
        if self._running is not None:
            change_at = self._running.started + self._max_hold_seconds
        elif not self._waiting:
            return None
        elif self._held_since is None:
            change_at = self._no_hold_before
        else:
            change_at = self._held_since + self._max_hold_seconds
        return change_at - now if change_at > now else None
