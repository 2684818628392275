"""Whether this process still holds its endpoint."""

from collections.abc import Callable, Sequence

from wagtailline.membership._local import LocalMember
from wagtailline.membership._probing import Prober
from wagtailline.placement import rank

# A rank over 745 positions takes about a millisecond.
_WITNESS_CACHE_SECONDS = 30.0
WitnessCandidates = Callable[[], Sequence[str]]


class PauseDetector:
    """Finds that the process, or its vm, did not run for a while."""

    def __init__(self, local: LocalMember) -> None:
        """Begin without a pause; ``mark`` has to be called often."""
        self._local = local
        self._clock = local.environment.clock
        self._limit_seconds = local.environment.settings.pause_limit_seconds
        self.record_running()

    def record_running(self) -> None:
        """Note that the process runs now."""
        self._last_monotonic = self._clock.monotonic()
        self._last_wall = self._clock.wall()

    def was_paused(self) -> bool:
        """Tell whether the last mark is too old.

        The monotonic clock of a suspended vm stands still, so the wall
        clock counts as well.
        """
        elapsed = max(
            self._clock.monotonic() - self._last_monotonic,
            self._clock.wall() - self._last_wall,
        )
        return elapsed > self._limit_seconds


class EndpointOwnership:
    """Confirmation of the endpoint by a majority of its witnesses.

    The witnesses of an endpoint are the first positions of its data centre
    by rendezvous hash. An occupant and its successor ask the same ones, so
    that a majority that has learned of the successor leaves none for the
    other.
    """

    def __init__(
        self, local: LocalMember, prober: Prober, candidates: WitnessCandidates
    ) -> None:
        """Choose witnesses among the published positions."""
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
        """Return the endpoints that are asked."""
        own = self._local.member.endpoint
        now = self._local.now()
        if now >= self._witnesses_expire_at or not self._witnesses:
            others = {
                name for name in self._witness_candidates() if name != own
            }
            self._witnesses = rank(own, others)[: self._settings.witness_count]
            self._witnesses_expire_at = now + _WITNESS_CACHE_SECONDS
        return self._witnesses

    def require_new_confirmation(self) -> None:
        """Count only confirmations that are asked for from now on."""
        self._valid_from = self._local.now()

    @property
    def is_valid(self) -> bool:
        """Tell whether the endpoint was confirmed since the last pause."""
        last = self.last_confirmed
        if last is None:
            return self._valid_from == float('-inf')
        return last >= self._valid_from

    async def confirm(self) -> bool:
        """Ask the witnesses; tell whether a majority has confirmed.

        The time of a confirmation is that before the question, so that it
        is never later than what the witnesses knew.
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
        # A witness that has restarted since the last confirmation attests
        # to another occupant again after its quiet time. Only a series that
        # leaves no room for one question in between excludes that.
        last = self.last_confirmed
        if last is None or self.first_confirmed is None:
            return False
        settings = self._settings
        valid_seconds = (
            settings.witness_quiet_seconds - settings.probe_timeout_seconds
        )
        return self._local.now() - last <= valid_seconds
