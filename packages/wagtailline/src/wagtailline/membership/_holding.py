"""Whether this process still holds its endpoint."""

from collections.abc import Callable, Sequence

from wagtailline.membership._local import LocalMember
from wagtailline.membership._probing import Prober
from wagtailline.placement import rank

# A rank over 745 positions takes about a millisecond.
_WITNESS_SECONDS = 30.0
Positions = Callable[[], Sequence[str]]


class PauseDetector:
    """Finds that the process, or its vm, did not run for a while."""

    def __init__(self, local: LocalMember) -> None:
        """Begin without a pause; ``mark`` has to be called often."""
        self._local = local
        self._clock = local.environment.clock
        self._limit = local.environment.settings.pause_limit
        self.mark()

    def mark(self) -> None:
        """Note that the process runs now."""
        self._monotonic = self._clock.monotonic()
        self._wall = self._clock.wall()

    def was_paused(self) -> bool:
        """Tell whether the last mark is too old.

        The monotonic clock of a suspended vm stands still, so the wall
        clock counts as well.
        """
        elapsed = max(
            self._clock.monotonic() - self._monotonic,
            self._clock.wall() - self._wall,
        )
        return elapsed > self._limit


class Holding:
    """Confirmation of the endpoint by a majority of its witnesses.

    The witnesses of an endpoint are the first positions of its data centre
    by rendezvous hash. An occupant and its successor ask the same ones, so
    that a majority that has learned of the successor leaves none for the
    other.
    """

    def __init__(
        self, local: LocalMember, prober: Prober, positions: Positions
    ) -> None:
        """Choose witnesses among the published positions."""
        self._local = local
        self._prober = prober
        self._positions = positions
        self._settings = local.environment.settings
        self.first_confirmed: float | None = None
        self.last_confirmed: float | None = None
        self._required_from = float('-inf')
        self._chosen: list[str] = []
        self._chosen_until = float('-inf')

    def witnesses(self) -> list[str]:
        """Return the endpoints that are asked."""
        own = self._local.member.endpoint
        now = self._local.now()
        if now >= self._chosen_until or not self._chosen:
            others = {name for name in self._positions() if name != own}
            self._chosen = rank(own, others)[: self._settings.witnesses]
            self._chosen_until = now + _WITNESS_SECONDS
        return self._chosen

    def require(self) -> None:
        """Count only confirmations that are asked for from now on."""
        self._required_from = self._local.now()

    @property
    def is_valid(self) -> bool:
        """Tell whether the endpoint was confirmed since the last pause."""
        last = self.last_confirmed
        if last is None:
            return self._required_from == float('-inf')
        return last >= self._required_from

    async def confirm(self) -> bool:
        """Ask the witnesses; tell whether a majority has confirmed.

        The time of a confirmation is that before the question, so that it
        is never later than what the witnesses knew.
        """
        asked = self._local.now()
        witnesses = self.witnesses()
        replies = await self._prober.ask_all(witnesses)
        agreed = sum(reply.attests for reply in replies)
        if self._local.successor is not None:
            return False
        if witnesses and agreed * 2 <= len(witnesses):
            return False
        if not self._continues():
            self.first_confirmed = asked
        self.last_confirmed = asked
        return True

    def _continues(self) -> bool:
        # A witness that has restarted since the last confirmation attests
        # to another occupant again after its quiet time. Only a series that
        # leaves no room for one question in between excludes that.
        last = self.last_confirmed
        if last is None or self.first_confirmed is None:
            return False
        settings = self._settings
        valid = settings.witness_quiet - settings.probe_timeout
        return self._local.now() - last <= valid
