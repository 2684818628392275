"""Suspects: requests that were in progress when upstreams crashed."""

from typing import NamedTuple

from wagtailline.admission.messages import SuspectNotice

MAX_SUSPECTS = 1024
# A request that was in progress at a second crash is taken to be the cause: a
# suspect runs alone after the first.
_MIN_BLOCKING_CRASHES = 2
_FIRST_BLOCK_SECONDS = 60
_MAX_BLOCK_SECONDS = 3600
_MAX_CRASHES_KEPT = 8
# A suspect without another crash for this long is removed.
_SUSPECT_LIFETIME_SECONDS = 2 * _MAX_BLOCK_SECONDS

CrashId = tuple[str, int, int]


class Suspect(NamedTuple):
    """Crashes of one request; times are monotonic seconds."""

    crashes: tuple[CrashId, ...]
    last_crash_at: float
    blocked_until: float


class SuspectTable:
    """Bounded table of the suspects of a service, by fingerprint."""

    def __init__(self, capacity: int = MAX_SUSPECTS) -> None:
        """Create an empty table for at most ``capacity`` suspects."""
        self._suspects: dict[bytes, Suspect] = {}
        self._capacity = capacity

    def __len__(self) -> int:
        """Return the number of suspects."""
        return len(self._suspects)

    def find(self, fingerprint: bytes, now: float) -> Suspect | None:
        """Return the suspect with this fingerprint, if there is one."""
        suspect = self._suspects.get(fingerprint)
        if (
            suspect is not None
            and now - suspect.last_crash_at > _SUSPECT_LIFETIME_SECONDS
        ):
            self._suspects.pop(fingerprint)
            return None
        return suspect

    def note(self, notice: SuspectNotice, now: float) -> None:
        """Apply a notice of this gate or a peer; repeats have no effect."""
        for fingerprint in notice.fingerprints:
            if notice.cleared:
                self.clear(fingerprint)
            else:
                crash = (notice.endpoint, notice.incarnation, notice.crash)
                self._add(fingerprint, crash, now)

    def clear(self, fingerprint: bytes) -> bool:
        """Remove a suspect that ran alone, unless it is blocked.

        Return whether it was removed.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None or len(suspect.crashes) >= _MIN_BLOCKING_CRASHES:
            return False
        self._suspects.pop(fingerprint)
        return True

    def _add(self, fingerprint: bytes, crash: CrashId, now: float) -> None:
        suspect = self._suspects.pop(fingerprint, None)
        crashes = suspect.crashes if suspect else ()
        if suspect is not None and crash in crashes:
            self._suspects[fingerprint] = suspect
            return
        crashes = (*crashes, crash)[-_MAX_CRASHES_KEPT:]
        self._make_room()
        self._suspects[fingerprint] = Suspect(
            crashes, now, now + _block_seconds(len(crashes))
        )

    def _make_room(self) -> None:
        # The table is ordered by the last crash of each suspect. Suspects
        # that have never been blocked are removed first.
        while len(self._suspects) >= self._capacity:
            evicted = next(
                (
                    fingerprint
                    for fingerprint, suspect in self._suspects.items()
                    if len(suspect.crashes) < _MIN_BLOCKING_CRASHES
                ),
                next(iter(self._suspects)),
            )
            self._suspects.pop(evicted)


def _block_seconds(crashes: int) -> float:
    if crashes < _MIN_BLOCKING_CRASHES:
        return 0
    block_seconds = _FIRST_BLOCK_SECONDS * 2 ** (
        crashes - _MIN_BLOCKING_CRASHES
    )
    return float(min(block_seconds, _MAX_BLOCK_SECONDS))
