"""Detects crashes of the upstream from lost connections."""

from collections import deque
from collections.abc import Iterable

from wagtailline.admission._slot import Slot

# The connections of a crashed process end within this time of each other.
_GROUP_SECONDS = 1.0
# An answer that is read within this time after the first reset left the
# upstream before the crash.
_IN_FLIGHT_ANSWER_SECONDS = 0.05
_MIN_LOST = 2
# A request may crash the upstream after its caller has cancelled it.
_ABANDONED_SECONDS = 2.0
_MAX_ABANDONED = 16


class CrashDetector:
    """Detects crashes of the upstream and the requests in progress at them.

    The first reset opens a group of the requests then in progress. The
    upstream has crashed if all of a group of at least two are lost, if a
    single request is lost on a connection that was not idle before, or if
    a refused connection follows. Requests that were cancelled or timed out
    shortly before count among those lost.
    """

    def __init__(self) -> None:
        """Start without resets."""
        self._group_started_at = float(0)
        self._pending: set[Slot] = set()
        self._lost: list[bytes] = []
        self._abandoned: deque[tuple[float, bytes]] = deque(
            maxlen=_MAX_ABANDONED
        )
        self._single_loss_suffices = False

    def record_reset(
        self, slot: Slot, others: Iterable[Slot], now: float, idle: bool
    ) -> tuple[bytes, ...]:
        """Record a lost request; return the suspects of a detected crash.

        ``others`` are the requests still in progress. ``idle`` is true if
        the upstream may have closed the connection because it was idle.
        """
        if slot in self._pending and not self._is_group_over(now):
            self._pending.discard(slot)
        else:
            self._start_group(others, now)
        self._lost.append(slot.ticket.fingerprint)
        self._single_loss_suffices = self._single_loss_suffices or not idle
        return self._check_group(now)

    def record_answer(self, slot: Slot, now: float) -> tuple[bytes, ...]:
        """Record an answer; return the suspects of a detected crash.

        An answer some time after the first reset shows that the upstream
        still runs.
        """
        if slot not in self._pending:
            return ()
        self._pending.discard(slot)
        if now - self._group_started_at > _IN_FLIGHT_ANSWER_SECONDS:
            self._discard_group()
            return ()
        self._single_loss_suffices = False
        return self._check_group(now)

    def record_abandoned(self, slot: Slot, now: float) -> tuple[bytes, ...]:
        """Record a request that was cancelled or timed out."""
        self._abandoned.append((now, slot.ticket.fingerprint))
        if slot not in self._pending:
            return ()
        self._pending.discard(slot)
        return self._check_group(now)

    def record_refused_connection(self, now: float) -> tuple[bytes, ...]:
        """Record a refused connection; return the suspects of the crash."""
        if self._is_group_over(now):
            self._discard_group()
        return self._take_suspects(now)

    def _is_group_over(self, now: float) -> bool:
        return now - self._group_started_at > _GROUP_SECONDS

    def _start_group(self, others: Iterable[Slot], now: float) -> None:
        self._group_started_at = now
        self._pending = set(others)
        self._lost = []
        self._single_loss_suffices = False

    def _check_group(self, now: float) -> tuple[bytes, ...]:
        if self._pending:
            return ()
        if len(self._lost) >= _MIN_LOST or self._single_loss_suffices:
            return self._take_suspects(now)
        return ()

    def _take_suspects(self, now: float) -> tuple[bytes, ...]:
        suspects = [
            *self._lost,
            *(slot.ticket.fingerprint for slot in self._pending),
            *(
                fingerprint
                for ended_at, fingerprint in self._abandoned
                if now - ended_at <= _ABANDONED_SECONDS
            ),
        ]
        self._abandoned.clear()
        self._discard_group()
        return tuple(dict.fromkeys(suspects))

    def _discard_group(self) -> None:
        self._pending = set()
        self._lost = []
