"""Tells the death of an upstream from the loss of one connection."""

from collections import deque
from collections.abc import Iterable

from wagtailline.admission._slot import Slot

# The connections of a dead process end within this time of each other.
_GROUP_SECONDS = 1.0
# An answer that was read shortly after the first reset left the upstream
# before it died.
_LATE_ANSWER_SECONDS = 0.05
_MIN_LOST = 2
# A caller may leave before its request brings the upstream down.
_LEFT_SECONDS = 2.0
_MAX_LEFT = 16


class DeathWatch:
    """Groups resets by the requests in progress at the first of them.

    A death is the loss of all of a group of at least two, of a single
    request on a connection that was not idle before, or of any request
    when a refused connection follows. Requests whose callers left shortly
    before count among those lost.
    """

    def __init__(self) -> None:
        """Begin without resets."""
        self._opened_at = float(0)
        self._pending: set[Slot] = set()
        self._lost: list[bytes] = []
        self._left: deque[tuple[float, bytes]] = deque(maxlen=_MAX_LEFT)
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
        return self._conclude(now)

    def answered(self, slot: Slot, now: float) -> tuple[bytes, ...]:
        """Note an answer, which shows that the process lives."""
        if slot not in self._pending:
            return ()
        self._pending.discard(slot)
        if now - self._opened_at > _LATE_ANSWER_SECONDS:
            self._forget()
            return ()
        self._sure = False
        return self._conclude(now)

    def left(self, slot: Slot, now: float) -> tuple[bytes, ...]:
        """Note a request that ended without a sign of the upstream."""
        self._left.append((now, slot.ticket.fingerprint))
        if slot not in self._pending:
            return ()
        self._pending.discard(slot)
        return self._conclude(now)

    def refused(self, now: float) -> tuple[bytes, ...]:
        """Note a refused connection; return the requests of the death."""
        if self._is_over(now):
            self._forget()
        return self._close(now)

    def _is_over(self, now: float) -> bool:
        return now - self._opened_at > _GROUP_SECONDS

    def _open(self, others: Iterable[Slot], now: float) -> None:
        self._opened_at = now
        self._pending = set(others)
        self._lost = []
        self._sure = False

    def _conclude(self, now: float) -> tuple[bytes, ...]:
        if self._pending:
            return ()
        if len(self._lost) >= _MIN_LOST or self._sure:
            return self._close(now)
        return ()

    def _close(self, now: float) -> tuple[bytes, ...]:
        found = [
            *self._lost,
            *(slot.ticket.fingerprint for slot in self._pending),
            *(one for at, one in self._left if now - at <= _LEFT_SECONDS),
        ]
        self._left.clear()
        self._forget()
        return tuple(dict.fromkeys(found))

    def _forget(self) -> None:
        self._pending = set()
        self._lost = []
