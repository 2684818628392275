"""Election of the members of a data centre that read the source.

Each member decides on its own: the members with the first ranks among those
that answer are the readers. Only the few members ranked next probe them
regularly, so that the readers receive few probes however large the data centre
is. A wrong decision costs source calls, never correctness.
"""

import asyncio

from wagtailline.distribution._context import DistributionContext
from wagtailline.distribution.messages import VersionProbe, VersionReply

# Members ranked next after the readers, which probe them each second.
STANDBY_COUNT = 4
# Two periods, in each of which a reader sends at least one notice.
CONTACT_TIMEOUT_SECONDS = 8.0
# Periods between retries. Members that did not answer are probed again one at
# a time, so that a recovered one regains its rank even if its notices are lost.
RETRY_PERIODS = 5


class Election:
    """Election of readers by rank and recent contact, without consensus."""

    def __init__(self, context: DistributionContext) -> None:
        """Start as if every other member had just answered."""
        self._context = context
        self._topology = context.topology
        self._clock = context.clock
        self._data_centre = context.member.data_centre
        self._unresponsive: set[str] = set()
        self._last_contact: dict[str, float] = {}
        self._last_reader_notice = self._clock.monotonic()
        self._last_local_contact = self._last_reader_notice

    @property
    def is_reader(self) -> bool:
        """Return whether this member should read the source."""
        readers = self._context.settings.readers
        return self._effective_rank() < readers or self.is_isolated

    @property
    def is_isolated(self) -> bool:
        """Return whether there was no recent contact in the data centre."""
        return (
            self._clock.monotonic() - self._last_local_contact
            > CONTACT_TIMEOUT_SECONDS
        )

    def record_contact(self, endpoint: str, data_centre: str) -> None:
        """Record that a message of a member arrived."""
        self._topology.clear_suspicion(endpoint)
        if data_centre == self._data_centre:
            self._unresponsive.discard(endpoint)
            self._last_local_contact = self._clock.monotonic()
            self._last_contact[endpoint] = self._last_local_contact

    def record_reader_notice(self, reader: str) -> None:
        """Record a notice of a reader of this data centre."""
        self._last_reader_notice = self._clock.monotonic()
        self.record_contact(reader, self._data_centre)

    def readers_of(self, data_centre: str) -> tuple[str, ...]:
        """Return the likely readers of a data centre and one more member."""
        count = self._context.settings.readers + 1
        found = []
        for endpoint in self._topology.ranked(data_centre):
            if not self._topology.is_suspect(endpoint):
                found.append(endpoint)
            if len(found) == count:
                break
        return tuple(found)

    async def probe_readers(self) -> None:
        """Probe readers that rank before this member; run until cancelled."""
        period = self._context.settings.probe_seconds
        period_count = 0
        while True:
            await self._clock.sleep(
                period * self._context.random.uniform(0.8, 1.2)
            )
            period_count += 1
            targets = self._choose_targets(period_count)
            await asyncio.gather(*(self._probe(target) for target in targets))

    def _choose_targets(self, period_count: int) -> list[str]:
        settings = self._context.settings
        now = self._clock.monotonic()
        rank = self._effective_rank()
        preceding = self._find_preceding(settings.readers + STANDBY_COUNT)
        if rank < settings.readers + STANDBY_COUNT:
            targets = [
                endpoint
                for endpoint in preceding[: settings.readers]
                if now - self._last_contact.get(endpoint, 0)
                > settings.probe_seconds
            ]
            if self._unresponsive and period_count % RETRY_PERIODS == 0:
                targets.append(
                    self._context.random.choice(sorted(self._unresponsive))
                )
            return targets
        if now - self._last_reader_notice > CONTACT_TIMEOUT_SECONDS:
            return preceding
        return []

    async def _probe(self, endpoint: str) -> None:
        timeout_seconds = self._context.settings.probe_seconds
        probe = VersionProbe(self._context.versions.name)
        replied = await self._context.links.request(
            endpoint, probe, VersionReply, timeout_seconds
        )
        if replied.is_ok():
            self.record_contact(endpoint, self._data_centre)
        else:
            self._topology.suspect(endpoint)
            self._unresponsive.add(endpoint)

    def _effective_rank(self) -> int:
        own_rank = self._topology.rank_of(self._context.member.endpoint)
        skipped_ranks = sum(
            self._topology.rank_of(endpoint) < own_rank
            for endpoint in self._unresponsive
        )
        return own_rank - skipped_ranks

    def _find_preceding(self, count: int) -> list[str]:
        found: list[str] = []
        for endpoint in self._topology.ranked(self._data_centre):
            if endpoint == self._context.member.endpoint or len(found) == count:
                break
            if endpoint not in self._unresponsive:
                found.append(endpoint)
        return found
