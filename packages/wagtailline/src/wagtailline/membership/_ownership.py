"""Detection of pauses, and confirmation of the endpoint by witnesses."""

from collections.abc import Callable, Sequence

from wagtailline.membership._local import LocalMember
from wagtailline.membership._probing import Prober
from wagtailline.placement import rank_nodes

# Ranking 745 endpoints takes about a millisecond.
_WITNESS_CACHE_SECONDS = 30.0
WitnessCandidates = Callable[[], Sequence[str]]


class PauseDetector:
    """Detects that the process, or its vm, did not run for a while."""

    def __init__(self, local: LocalMember) -> None:
        """Start now; ``record_running`` has to be called regularly.

        The interval between calls must be below the pause limit.
        """
        self._local = local
        self._clock = local.environment.clock
        self._limit_seconds = local.environment.settings.pause_limit_seconds
        self.record_running()

    def record_running(self) -> None:
        """Record the current time of both clocks."""
        self._last_monotonic = self._clock.monotonic()
        self._last_wall = self._clock.wall()

    def was_paused(self) -> bool:
        """Return whether the recorded time is older than the pause limit.

        The monotonic clock of a suspended vm stands still, so the wall
        clock is compared as well.
        """
        elapsed = max(
            self._clock.monotonic() - self._last_monotonic,
            self._clock.wall() - self._last_wall,
        )
        return elapsed > self._limit_seconds


class EndpointOwnership:
    """Confirmation by a majority of witnesses that the endpoint is held.

    The witnesses of an endpoint are the highest ranked other endpoints of
    its data centre by rendezvous hashing. A process and its successor ask
    the same witnesses, so once a majority knows the successor, the
    predecessor can no longer get a majority.
    """

    def __init__(
        self, local: LocalMember, prober: Prober, candidates: WitnessCandidates
    ) -> None:
        """Choose witnesses among the candidates, the own endpoint excluded."""
        self._local = local
        self._prober = prober
        self._witness_candidates = candidates
        self._settings = local.environment.settings
        self.first_confirmed: float | None = None
        self.last_confirmed: float | None = None
        self._valid_from = float('-inf')
        self._witnesses: list[str] = []
        self._witnesses_expire_at = float('-inf')

    def witnesses(self) -> list[str]:
        """Return the endpoints of the witnesses, chosen anew at intervals."""
        own = self._local.member.endpoint
        now = self._local.now()
        if now >= self._witnesses_expire_at or not self._witnesses:
            others = {
                name for name in self._witness_candidates() if name != own
            }
            self._witnesses = rank_nodes(own, others)[
                : self._settings.witness_count
            ]
            self._witnesses_expire_at = now + _WITNESS_CACHE_SECONDS
        return self._witnesses

    def require_new_confirmation(self) -> None:
        """Ignore confirmations that were requested before now."""
        self._valid_from = self._local.now()

    @property
    def is_valid(self) -> bool:
        """Whether the endpoint was confirmed since the last pause, if any."""
        last = self.last_confirmed
        if last is None:
            return self._valid_from == float('-inf')
        return last >= self._valid_from

    async def confirm(self) -> bool:
        """Ask the witnesses and return whether a majority has attested.

        A confirmation is dated to the time of the request, so that it is
        never later than the state that the witnesses attested.
        """
        asked_at = self._local.now()
        witnesses = self.witnesses()
        replies = await self._prober.probe_all(witnesses)
        attesting_count = sum(reply.attests for reply in replies)
        if self._local.successor is not None:
            return False
        if witnesses and attesting_count * 2 <= len(witnesses):
            return False
        if not self._continues_series():
            self.first_confirmed = asked_at
        self.last_confirmed = asked_at
        return True

    def _continues_series(self) -> bool:
        # A restarted witness has forgotten what it attested and may attest
        # to another vm after its quiet time. The series is unbroken only if
        # the gap is too short for such a request in between.
        last = self.last_confirmed
        if last is None or self.first_confirmed is None:
            return False
        settings = self._settings
        valid_seconds = (
            settings.witness_quiet_seconds - settings.probe_timeout_seconds
        )
        return self._local.now() - last <= valid_seconds
