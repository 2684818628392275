"""Tells the death of an upstream from the loss of one connection."""

from collections.abc import Iterable

from wagtailline.admission._slot import Slot

# The connections of a dead process end within this time of each other.
_GROUP_SECONDS = 1.0
# An answer that was read shortly after the first reset left the upstream
# before it died.
_LATE_ANSWER_SECONDS = 0.05
_MIN_LOST = 2


class DeathWatch:
    """Groups resets by the requests in progress at the first of them.

    A death is the loss of all of a group of at least two, of a single
    request on a connection that was not idle before, or of any request
    when a refused connection follows.
    """

    def __init__(self) -> None:
        """Begin without resets."""
        self._opened_at = float(0)
        self._pending: set[Slot] = set()
        self._lost: list[bytes] = []
        self._sure = False

    def reset(
        self, slot: Slot, others: Iterable[Slot], now: float, idle: bool
    ) -> tuple[bytes, ...]:
        """Note a lost request; return those of a death it completes.

        ``others`` are the requests still in progress, ``idle`` tells
        whether the connection may have ended because it was idle.
        """
        if slot in self._pending and not self._is_over(now):
            self._pending.discard(slot)
        else:
            self._open(others, now)
        self._lost.append(slot.ticket.fingerprint)
        self._sure = self._sure or not idle
        return self._conclude()

    def answered(self, slot: Slot, now: float) -> tuple[bytes, ...]:
        """Note an answer, which shows that the process lives."""
        if slot not in self._pending:
            return ()
        self._pending.discard(slot)
        if now - self._opened_at > _LATE_ANSWER_SECONDS:
            self._close()
            return ()
        self._sure = False
        return self._conclude()

    def left(self, slot: Slot) -> tuple[bytes, ...]:
        """Note a request that ended without a sign of the upstream."""
        if slot not in self._pending:
            return ()
        self._pending.discard(slot)
        return self._conclude()

    def refused(self, now: float) -> tuple[bytes, ...]:
        """Note a refused connection; return the requests of the death."""
        if not self._lost or self._is_over(now):
            return ()
        return self._close()

    def _is_over(self, now: float) -> bool:
        return now - self._opened_at > _GROUP_SECONDS

    def _open(self, others: Iterable[Slot], now: float) -> None:
        self._opened_at = now
        self._pending = set(others)
        self._lost = []
        self._sure = False

    def _conclude(self) -> tuple[bytes, ...]:
        if self._pending:
            return ()
        if len(self._lost) >= _MIN_LOST or self._sure:
            return self._close()
        return ()

    def _close(self) -> tuple[bytes, ...]:
        found = tuple(dict.fromkeys(self._lost))
        found += tuple(
            slot.ticket.fingerprint
            for slot in self._pending
            if slot.ticket.fingerprint not in found
        )
        self._pending = set()
        self._lost = []
        return found
