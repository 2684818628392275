"""Which member holds itself to be a reader.

The first members by rank that answer read the source. The next few by rank
watch over them, so that the readers receive few probes however large the
data centre is. A wrong view costs source calls, never correctness.
"""

import asyncio

from wagtailline.distribution._context import DistributionContext
from wagtailline.distribution.messages import VersionProbe, VersionReply

# Members below the readers that probe them each second.
DEPUTIES = 4
# Two periods in which a reader sends at least one notice.
SILENCE_SECONDS = 8.0
# Members that did not answer are asked again one at a time, so that a
# returned member takes back its rank even if its notices are lost.
RETRY_PERIODS = 5


class Election:
    """Decides by rank and recent answers, without any agreement."""

    def __init__(self, context: DistributionContext) -> None:
        """Begin as if every other member had just answered."""
        self._context = context
        self._topology = context.topology
        self._clock = context.clock
        self._data_centre = context.member.data_centre
        self._down: set[str] = set()
        self._heard: dict[str, float] = {}
        self._heard_reader = self._clock.monotonic()
        self._heard_any = self._heard_reader

    @property
    def is_reader(self) -> bool:
        """Tell whether this member should read the source."""
        readers = self._context.settings.readers
        return self._position() < readers or self.is_isolated

    @property
    def is_isolated(self) -> bool:
        """Tell whether no member of the data centre was heard lately."""
        return self._clock.monotonic() - self._heard_any > SILENCE_SECONDS

    def record_contact(self, endpoint: str, data_centre: str) -> None:
        """Note a sign of life."""
        self._topology.clear_suspicion(endpoint)
        if data_centre == self._data_centre:
            self._down.discard(endpoint)
            self._heard_any = self._clock.monotonic()
            self._heard[endpoint] = self._heard_any

    def record_reader_notice(self, reader: str) -> None:
        """Note a notice that a reader of the data centre has sent."""
        self._heard_reader = self._clock.monotonic()
        self.record_contact(reader, self._data_centre)

    def readers_of(self, data_centre: str) -> tuple[str, ...]:
        """Return the members that probably read, and one to spare."""
        count = self._context.settings.readers + 1
        found = []
        for endpoint in self._topology.ranked(data_centre):
            if not self._topology.is_suspect(endpoint):
                found.append(endpoint)
            if len(found) == count:
                break
        return tuple(found)

    async def probe_readers(self) -> None:
        """Probe the members ahead that were not heard; never ends."""
        period = self._context.settings.probe_seconds
        rounds = 0
        while True:
            await self._clock.sleep(
                period * self._context.random.uniform(0.8, 1.2)
            )
            rounds += 1
            targets = self._targets(rounds)
            await asyncio.gather(*(self._probe(one) for one in targets))

    def _targets(self, rounds: int) -> list[str]:
        settings = self._context.settings
        now = self._clock.monotonic()
        position = self._position()
        ahead = self._ahead(settings.readers + DEPUTIES)
        if position < settings.readers + DEPUTIES:
            targets = [
                endpoint
                for endpoint in ahead[: settings.readers]
                if now - self._heard.get(endpoint, 0) > settings.probe_seconds
            ]
            if self._down and rounds % RETRY_PERIODS == 0:
                targets.append(self._context.random.choice(sorted(self._down)))
            return targets
        if now - self._heard_reader > SILENCE_SECONDS:
            return ahead
        return []

    async def _probe(self, endpoint: str) -> None:
        seconds = self._context.settings.probe_seconds
        probe = VersionProbe(self._context.versions.name)
        answered = await self._context.links.request(
            endpoint, probe, VersionReply, seconds
        )
        if answered.is_ok():
            self.record_contact(endpoint, self._data_centre)
        else:
            self._topology.suspect(endpoint)
            self._down.add(endpoint)

    def _position(self) -> int:
        own = self._topology.rank_of(self._context.member.endpoint)
        down = sum(
            self._topology.rank_of(endpoint) < own for endpoint in self._down
        )
        return own - down

    def _ahead(self, count: int) -> list[str]:
        found: list[str] = []
        for endpoint in self._topology.ranked(self._data_centre):
            if endpoint == self._context.member.endpoint or len(found) == count:
                break
            if endpoint not in self._down:
                found.append(endpoint)
        return found
