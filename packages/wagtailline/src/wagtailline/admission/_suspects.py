"""Requests that were in progress when upstreams died."""

from typing import NamedTuple

from wagtailline.admission.messages import SuspectNotice

MAX_SUSPECTS = 1024
# A request alone at its second death is taken to be the cause.
_BLOCKING_DEATHS = 2
_BLOCK_SECONDS = 60
_MAX_BLOCK_SECONDS = 3600
_MAX_DEATHS_KEPT = 8
# A suspect that did not come again for this long is forgotten.
_FORGET_SECONDS = 2 * _MAX_BLOCK_SECONDS

DeathId = tuple[str, int, int]


class Suspect(NamedTuple):
    """What is known of one request; times are monotonic seconds."""

    deaths: tuple[DeathId, ...]
    last_death: float
    blocked_until: float


class SuspectTable:
    """Bounded table of suspects of a service, by fingerprint."""

    def __init__(self, capacity: int = MAX_SUSPECTS) -> None:
        """Begin without suspects."""
        self._suspects: dict[bytes, Suspect] = {}
        self._capacity = capacity

    def __len__(self) -> int:
        """Return the number of suspects."""
        return len(self._suspects)

    def find(self, fingerprint: bytes, now: float) -> Suspect | None:
        """Return what is known of a request, None for a harmless one."""
        known = self._suspects.get(fingerprint)
        if known is not None and now - known.last_death > _FORGET_SECONDS:
            self._suspects.pop(fingerprint)
            return None
        return known

    def note(self, notice: SuspectNotice, now: float) -> None:
        """Take over a notice of this gate or a peer; repeats count once."""
        for fingerprint in notice.fingerprints:
            if notice.cleared:
                self.clear(fingerprint)
            else:
                death = (notice.endpoint, notice.incarnation, notice.death)
                self._add(fingerprint, death, now)

    def clear(self, fingerprint: bytes) -> bool:
        """Forget a request that ran alone, unless it is blocked."""
        known = self._suspects.get(fingerprint)
        if known is None or len(known.deaths) >= _BLOCKING_DEATHS:
            return False
        self._suspects.pop(fingerprint)
        return True

    def _add(self, fingerprint: bytes, death: DeathId, now: float) -> None:
        known = self._suspects.pop(fingerprint, None)
        deaths = known.deaths if known else ()
        if known is not None and death in deaths:
            self._suspects[fingerprint] = known
            return
        deaths = (*deaths, death)[-_MAX_DEATHS_KEPT:]
        self._make_room()
        self._suspects[fingerprint] = Suspect(
            deaths, now, now + _block_seconds(len(deaths))
        )

    def _make_room(self) -> None:
        # The order of the table is the order of the last deaths. Suspects
        # that are not blocked go first.
        while len(self._suspects) >= self._capacity:
            victim = next(
                (
                    fingerprint
                    for fingerprint, known in self._suspects.items()
                    if len(known.deaths) < _BLOCKING_DEATHS
                ),
                next(iter(self._suspects)),
            )
            self._suspects.pop(victim)


def _block_seconds(deaths: int) -> float:
    if deaths < _BLOCKING_DEATHS:
        return 0
    doubled = _BLOCK_SECONDS * 2 ** (deaths - _BLOCKING_DEATHS)
    return float(min(doubled, _MAX_BLOCK_SECONDS))
